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

// Blocked returns the time until which a request, or all requests with a segment of their
// prompts, are blocked because they crash servers, or the zero time if they are not.
func (l *CrashLedger) Blocked(now time.Time, digest string) time.Time {
	b := l.s.View().Blocked(digest, now)
	if b == nil {
		return time.Time{}
	}

	return time.UnixMilli(b.GetUntil())
}

// Suspected reports whether a segment of prompts is suspected of crashing servers.
func (l *CrashLedger) Suspected(segment string) bool { return l.s.View().Suspected(segment) }

// Blame reports the digests and the shared segments of the prompts of the requests that were
// on a server when it crashed, and which segments cannot have caused it. It retries until a
// control host has stored the report or ctx ends.
func (l *CrashLedger) Blame(ctx context.Context, server string, digests []string, prefixes [][]string, sound []string) error {
	blame := &wire.Blame{
		Digests: digests, Server: server, Crash: "server " + server, After: blockAfterCrashes, Span: crashReportWindow.Milliseconds(), Sound: sound,
	}
	for _, segments := range prefixes {
		blame.Prefixes = append(blame.Prefixes, &wire.Prefix{Segments: segments})
	}
	if err := l.propose(ctx, &wire.Command{Id: l.commandID("blame"), Body: &wire.Command_Blame{Blame: blame}}); err != nil {
		return errors.Newf("report crash of %s: %w", server, err)
	}

	return nil
}

// Clear reports that a request with these segments of its prompt was answered well. It
// retries until a control host has stored the report or ctx ends.
func (l *CrashLedger) Clear(ctx context.Context, segments []string) error {
	if err := l.propose(ctx, &wire.Command{Id: l.commandID("clear"), Body: &wire.Command_Clear{Clear: &wire.Clear{Segments: segments}}}); err != nil {
		return errors.Newf("clear segments: %w", err)
	}

	return nil
}

func (l *CrashLedger) commandID(verb string) string {
	a := l.s.s.Attach

	return fmt.Sprintf("%s/%s/%d/%d", verb, a.GetName(), a.GetEpoch(), l.lastReport.Add(1))
}

func (l *CrashLedger) propose(ctx context.Context, cmd *wire.Command) error {
	cmd.Who, cmd.Expect = l.s.s.Attach.GetName(), -1
	_, err := l.s.Propose(ctx, cmd)

	return err
}
