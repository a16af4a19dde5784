package subscriber

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/wire"
)

// confirmTimeout limits a query for the versions. It covers the round trips between regions in
// which a control host asks a majority.
const confirmTimeout = 500 * time.Millisecond

// versionsQuery asks the control hosts for the software versions of all pools. Calls that
// arrive while a query is in flight share the next one, so that each gets an answer that is
// newer than the call. The fields are guarded by the mutex of the Subscriber.
type versionsQuery struct {
	running bool
	next    *versionsAnswer
}

// versionsAnswer is the answer that calls wait for.
type versionsAnswer struct {
	done  chan struct{}
	table *wire.Table
	err   error
}

// ConfirmVersion reports whether a version is the only one of a pool whose streams may still go
// on. A majority of the control hosts confirms this after the call, since this process may have
// been frozen or cut off and know older versions only.
func (s *Subscriber) ConfirmVersion(ctx context.Context, pool, version string) (bool, error) {
	answer := s.joinVersionsQuery() //nolint:contextcheck // the query is shared and outlives the call
	select {
	case <-answer.done:
	case <-ctx.Done():
		return false, errors.Newf("confirm version: %w", context.Cause(ctx))
	case <-s.ctx.Done():
		return false, errors.Newf("confirm version: %w", s.ctx.Err())
	}
	if answer.err != nil {
		return false, errors.Newf("confirm version: %w", answer.err)
	}
	// The table separates versions with commas.
	if strings.Contains(version, ",") {
		return false, nil
	}

	return slices.ContainsFunc(answer.table.GetRows(), func(r *wire.Row) bool {
		cells := r.GetCells()

		return len(cells) > 1 && cells[0] == pool && cells[1] == version
	}), nil
}

// joinVersionsQuery returns the next answer, and starts a query if none is in flight.
func (s *Subscriber) joinVersionsQuery() *versionsAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := &s.versions
	if q.next == nil {
		q.next = &versionsAnswer{done: make(chan struct{})}
	}
	if !q.running && s.ctx.Err() == nil {
		q.running = true
		s.wg.Add(1)
		go s.runVersionsQueries()
	}

	return q.next
}

// runVersionsQueries sends one query after the other until nobody waits for one.
func (s *Subscriber) runVersionsQueries() {
	defer s.wg.Done()
	for {
		s.mu.Lock()
		answer := s.versions.next
		s.versions.next = nil
		s.versions.running = answer != nil
		s.mu.Unlock()
		if answer == nil {
			return
		}
		answer.table, answer.err = s.queryVersions()
		close(answer.done)
	}
}

// errNoMajority is returned if no majority of control hosts has confirmed an answer.
var errNoMajority = errors.New("no majority of control hosts has confirmed the answer")

func (s *Subscriber) queryVersions() (*wire.Table, error) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	defer s.clock.After(confirmTimeout, func(time.Time) { cancel() })()
	table, err := s.client.Query(ctx, &wire.Query{Subject: "versions"})
	if err != nil {
		return nil, err
	}
	if table.GetStale() {
		return nil, errNoMajority
	}

	return table, nil
}
