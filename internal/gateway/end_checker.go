package gateway

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/correlator"
)

// errServerEnded is returned at the end of an answer that ended with its connection when the
// server was not confirmed to run on.
var errServerEnded = errors.Mark(errors.New("the server has ended with its answer"), io.ErrUnexpectedEOF)

// endChecker tells whether servers run on after answers that ended with their connections.
// Without framing, the end of the connection is the end of the answer, and also what is seen
// of a server that crashes.
type endChecker struct {
	c *crashReporter

	mu      sync.Mutex
	running map[string]bool // by server
	// next has the check of a server that has not begun yet.
	next map[string]*endCheck
}

// endCheck is one status request to a server, on behalf of all answers that ended before it.
type endCheck struct {
	done   chan struct{}
	state  correlator.State
	status ServerStatus
	err    error
}

func newEndChecker(c *crashReporter) *endChecker {
	return &endChecker{c: c, running: make(map[string]bool), next: make(map[string]*endCheck)}
}

// confirm returns nil if a server that has just ended an answer runs since before sent, and
// errServerEnded if not. A server that does not say when it was started is confirmed when it
// answers.
func (e *endChecker) confirm(ctx context.Context, s correlator.Server, sent time.Time) error {
	check := e.join(s)
	select {
	case <-check.done:
	case <-ctx.Done():
		return errors.Newf("check server %s: %w", s.ID, context.Cause(ctx))
	}
	started := check.status.StartedAt
	replaced := !started.IsZero() && !started.Before(sent.Truncate(time.Millisecond))
	whole := check.state == correlator.Running && (check.err == nil || errors.Is(check.err, errInvalidStatus)) && !replaced
	e.c.g.metrics.observeUnframedEnd(whole)
	if whole {
		return nil
	}
	e.c.g.s.Log.Warn().Str("server", s.ID).Str("addr", s.Addr).Bool("replaced", replaced || check.status.Replaced).
		Err(check.err).Msg("server has ended with its answer")

	return errServerEnded
}

// join returns the next check of a server, and starts it if none is in flight.
func (e *endChecker) join(s correlator.Server) *endCheck {
	e.mu.Lock()
	defer e.mu.Unlock()
	check := e.next[s.ID]
	if check == nil {
		check = &endCheck{done: make(chan struct{})}
		e.next[s.ID] = check
	}
	if !e.running[s.ID] {
		e.running[s.ID] = true
		e.c.g.tasks.Add(1)
		go func() {
			defer e.c.g.tasks.Done()
			e.run(e.c.g.ctx, s)
		}()
	}

	return check
}

// run makes the checks of a server one after the other until none is asked for.
func (e *endChecker) run(ctx context.Context, s correlator.Server) {
	for {
		e.mu.Lock()
		check := e.next[s.ID]
		delete(e.next, s.ID)
		if check == nil {
			delete(e.running, s.ID)
			e.mu.Unlock()

			return
		}
		e.mu.Unlock()
		check.state, check.status, check.err = e.c.requestStatus(ctx, s)
		close(check.done)
	}
}
