package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/correlator"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/requester"
)

// CrashLedger is the record of requests that crash servers. All gateways share it.
type CrashLedger interface {
	// Blocked returns the time until which a request is blocked; zero if it is not.
	Blocked(now time.Time, digest string) time.Time
	// Blame reports the requests that were running at a server when it crashed.
	Blame(ctx context.Context, server string, digests []string) error
}

// noCrashLedger keeps no record.
type noCrashLedger struct{}

// Blocked implements CrashLedger.
func (noCrashLedger) Blocked(time.Time, string) time.Time { return time.Time{} }

// Blame implements CrashLedger.
func (noCrashLedger) Blame(context.Context, string, []string) error { return nil }

const (
	// gatherWindow is the time in which connections that break to one server are attributed
	// to the same crash: all connections of a server that crashes break at the same moment.
	gatherWindow = 100 * time.Millisecond
	// maxSuspects limits the requests that are reported for one crash to about as many as
	// run on a server, because the control hosts keep them for thousands of crashes.
	maxSuspects = 64
	// reportTimeout limits the report of a crash. A control group that has lost its leader
	// elects another one in less time.
	reportTimeout = 30 * time.Second
)

// errBlocked is returned for a request that is not sent because it has crashed servers.
var errBlocked = errors.Mark(errors.New("the request has crashed servers"), requester.ErrNotSent)

// blocked returns for how long the request is blocked, 0 if it may be sent.
func (f *forwarder) blocked() time.Duration {
	now := f.g.s.Timer.Now()
	until := f.g.s.CrashLedger.Blocked(now, f.digest)
	if until.IsZero() {
		return 0
	}

	return until.Sub(now)
}

// crashReporter records which requests were running at a server when their connections to it
// broke, finds out whether the server has crashed, and reports the requests that may have
// caused the crash.
type crashReporter struct {
	g               *Gateway
	recentSuccesses *correlator.RecentSuccesses

	mu     sync.Mutex
	broken map[string]map[string]string // request ids by digest, by server
}

func newCrashReporter(g *Gateway) (*crashReporter, error) {
	recentSuccesses, err := correlator.NewRecentSuccesses()
	if err != nil {
		return nil, errors.Newf("crash reporter: %w", err)
	}

	return &crashReporter{g: g, recentSuccesses: recentSuccesses, broken: make(map[string]map[string]string)}, nil
}

// noteBroken records that the connection of a request to a server broke. It is called while
// the request is in flight, so the gateway has not ended.
func (c *crashReporter) noteBroken(f *forwarder, s *placer.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	digests := c.broken[s.ID]
	if digests == nil {
		digests = make(map[string]string)
		c.broken[s.ID] = digests
		c.g.tasks.Add(1)
		go func() {
			defer c.g.tasks.Done()
			c.checkServer(c.g.ctx, s)
		}()
	}
	if len(digests) < maxSuspects {
		digests[f.digest] = f.hints.ID
	}
}

// checkServer collects the requests whose connections to a server broke, and finds out
// whether it has crashed.
func (c *crashReporter) checkServer(ctx context.Context, s *placer.Server) {
	c.waitForOthers(ctx)
	c.mu.Lock()
	digests := c.broken[s.ID]
	delete(c.broken, s.ID)
	c.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	all := slices.Sorted(maps.Keys(digests))
	entry := c.g.s.Log.Warn().Str("server", s.ID).Str("addr", s.Addr).Strs("digests", all).
		Strs("ids", slices.Sorted(maps.Values(digests)))
	err := c.g.s.Requester.Probe(ctx, s.Addr)
	if err == nil {
		entry.Msg("connections broke, but the server is reachable")

		return
	}
	suspects := c.recentSuccesses.Suspects(c.g.s.Timer.Now(), all)
	entry.Strs("suspects", suspects).Err(err).Msg("server crashed while running requests")
	if len(suspects) == 0 {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := c.g.s.CrashLedger.Blame(bounded, s.ID, suspects); err != nil {
		c.g.s.Log.Warn().Str("server", s.ID).Strs("suspects", suspects).Err(err).Msg("failed to report crash")
	}
}

func (c *crashReporter) waitForOthers(ctx context.Context) {
	woken := make(chan struct{})
	defer c.g.s.Timer.After(gatherWindow, func(time.Time) { close(woken) })()
	select {
	case <-woken:
	case <-ctx.Done():
	}
}
