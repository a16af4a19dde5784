package subscriber

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// crashesToBlock is the number of crashes after which a request is blocked: entries
	// cannot run suspects by themselves, so a neighbour may be at two crashes by chance.
	crashesToBlock = 3
	// crashSpan is how long the reports of several entries on one crash take to arrive. A
	// server takes longer to start and crash again.
	crashSpan = 2 * time.Second
)

// Ledger is an entry's side of the record of requests that crash servers, which is kept
// in the log.
type Ledger struct {
	s       *Subscriber
	reports atomic.Uint64
}

// NewLedger returns the record that the subscriber's control hosts keep.
func NewLedger(s *Subscriber) *Ledger { return &Ledger{s: s} }

// Blocked returns until when a request is blocked because it crashes servers; the time is
// zero if it is not.
func (l *Ledger) Blocked(now time.Time, digest string) time.Time {
	b := l.s.View().Blocked(digest, now)
	if b == nil {
		return time.Time{}
	}

	return time.UnixMilli(b.GetUntil())
}

// Blame reports the requests that were at a server when it crashed. It tries until a
// control host has counted them or ctx ends.
func (l *Ledger) Blame(ctx context.Context, server string, digests []string) error {
	a := l.s.s.Attach
	_, err := l.s.Propose(ctx, &wire.Command{
		Id:  fmt.Sprintf("blame/%s/%d/%d", a.GetName(), a.GetEpoch(), l.reports.Add(1)),
		Who: a.GetName(), Expect: -1,
		Body: &wire.Command_Blame{Blame: &wire.Blame{
			Digests: digests, Server: server, Crash: "server " + server, After: crashesToBlock, Span: crashSpan.Milliseconds(),
		}},
	})
	if err != nil {
		return errors.Newf("report crash of %s: %w", server, err)
	}

	return nil
}
