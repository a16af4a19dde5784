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
	// blockAfterCrashes is the number of crashes after which a request is blocked.
	// Entries cannot run suspected requests in isolation, so an innocent request may
	// be on the server in two crashes by coincidence.
	blockAfterCrashes = 3
	// crashReportWindow is the time within which several entries report the same
	// crash. A server takes longer than that to restart and crash again.
	crashReportWindow = 2 * time.Second
)

// CrashLedger gives an entry access to the record of requests that crash servers,
// which the control hosts keep in their replicated state.
type CrashLedger struct {
	s          *Subscriber
	lastReport atomic.Uint64 // number of the last report, part of its command id
}

// NewCrashLedger returns a CrashLedger that uses the control hosts of the subscriber.
func NewCrashLedger(s *Subscriber) *CrashLedger { return &CrashLedger{s: s} }

// Blocked returns the time until which a request is blocked because it crashes
// servers, or the zero time if it is not blocked.
func (l *CrashLedger) Blocked(now time.Time, digest string) time.Time {
	b := l.s.View().Blocked(digest, now)
	if b == nil {
		return time.Time{}
	}

	return time.UnixMilli(b.GetUntil())
}

// Blame reports the digests of the requests that were on a server when it crashed.
// It retries until a control host has stored the report or ctx ends.
func (l *CrashLedger) Blame(ctx context.Context, server string, digests []string) error {
	a := l.s.s.Attach
	_, err := l.s.Propose(ctx, &wire.Command{
		Id:  fmt.Sprintf("blame/%s/%d/%d", a.GetName(), a.GetEpoch(), l.lastReport.Add(1)),
		Who: a.GetName(), Expect: -1,
		Body: &wire.Command_Blame{Blame: &wire.Blame{
			Digests: digests, Server: server, Crash: "server " + server, After: blockAfterCrashes, Span: crashReportWindow.Milliseconds(),
		}},
	})
	if err != nil {
		return errors.Newf("report crash of %s: %w", server, err)
	}

	return nil
}
