package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/blamer"
	"github.com/damasklever/damasklever/internal/courier"
	"github.com/damasklever/damasklever/internal/placer"
)

// Ledger is the record of requests that crash servers. All gateways share it.
type Ledger interface {
	// Blocked returns the time until which a request is blocked; zero if it is not.
	Blocked(now time.Time, digest string) time.Time
	// Blame reports the requests that were running at a server when it crashed.
	Blame(ctx context.Context, server string, digests []string) error
}

// noLedger keeps no record.
type noLedger struct{}

// Blocked implements Ledger.
func (noLedger) Blocked(time.Time, string) time.Time { return time.Time{} }

// Blame implements Ledger.
func (noLedger) Blame(context.Context, string, []string) error { return nil }

const (
	// gatherWindow is the time in which connections that break to one server are attributed
	// to the same crash: all connections of a server that crashes break at the same moment.
	gatherWindow = 100 * time.Millisecond
	// maxSuspects limits the requests that are reported for one crash to about as many as
	// run on a server, because the control hosts keep them for thousands of crashes.
	maxSuspects = 64
	// reportTime limits the report of a crash. A control group that has lost its leader
	// elects another one in less time.
	reportTime = 30 * time.Second
)

// errBlocked is returned for a request that is not sent because it has crashed servers.
var errBlocked = errors.Mark(errors.New("the request has crashed servers"), courier.ErrNotSent)

// blocked returns for how long the request is blocked, 0 if it may be sent.
func (f *forwarder) blocked() time.Duration {
	now := f.g.s.Timer.Now()
	until := f.g.s.Ledger.Blocked(now, f.digest)
	if until.IsZero() {
		return 0
	}

	return until.Sub(now)
}

// crashReporter records which requests were running at a server when their connections to it
// broke, finds out whether the server has crashed, and reports the requests that may have
// caused the crash.
type crashReporter struct {
	g         *Gateway
	survivors *blamer.Survivors

	mu     sync.Mutex
	broken map[string]map[string]string // request ids by digest, by server
}

func newCrashReporter(g *Gateway) (*crashReporter, error) {
	survivors, err := blamer.NewSurvivors()
	if err != nil {
		return nil, errors.Newf("crash reporter: %w", err)
	}

	return &crashReporter{g: g, survivors: survivors, broken: make(map[string]map[string]string)}, nil
}

// noteBroken records that the connection of a request to a server broke. It is called while
// the request is in flight, so the gateway has not ended.
func (w *crashReporter) noteBroken(f *forwarder, s *placer.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	digests := w.broken[s.ID]
	if digests == nil {
		digests = make(map[string]string)
		w.broken[s.ID] = digests
		w.g.tasks.Add(1)
		go func() {
			defer w.g.tasks.Done()
			w.checkServer(w.g.ctx, s)
		}()
	}
	if len(digests) < maxSuspects {
		digests[f.digest] = f.hints.ID
	}
}

// checkServer collects the requests whose connections to a server broke, and finds out
// whether it has crashed.
func (w *crashReporter) checkServer(ctx context.Context, s *placer.Server) {
	w.waitForOthers(ctx)
	w.mu.Lock()
	digests := w.broken[s.ID]
	delete(w.broken, s.ID)
	w.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	all := slices.Sorted(maps.Keys(digests))
	entry := w.g.s.Log.Warn().Str("server", s.ID).Str("addr", s.Addr).Strs("digests", all).
		Strs("ids", slices.Sorted(maps.Values(digests)))
	err := w.g.s.Courier.Probe(ctx, s.Addr)
	if err == nil {
		entry.Msg("connections broke, but the server is reachable")

		return
	}
	suspects := w.survivors.Suspects(w.g.s.Timer.Now(), all)
	entry.Strs("suspects", suspects).Err(err).Msg("server crashed while running requests")
	if len(suspects) == 0 {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	if err := w.g.s.Ledger.Blame(bounded, s.ID, suspects); err != nil {
		w.g.s.Log.Warn().Str("server", s.ID).Strs("suspects", suspects).Err(err).Msg("failed to report crash")
	}
}

func (w *crashReporter) waitForOthers(ctx context.Context) {
	woken := make(chan struct{})
	defer w.g.s.Timer.After(gatherWindow, func(time.Time) { close(woken) })()
	select {
	case <-woken:
	case <-ctx.Done():
	}
}
