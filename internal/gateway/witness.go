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

// Ledger is the record of requests that crash servers, which all gateways share.
type Ledger interface {
	// Blocked returns until when a request is blocked; the time is zero if it is not.
	Blocked(now time.Time, digest string) time.Time
	// Blame reports the requests that were at a server when it crashed.
	Blame(ctx context.Context, server string, digests []string) error
}

// noLedger keeps no record.
type noLedger struct{}

// Blocked implements Ledger.
func (noLedger) Blocked(time.Time, string) time.Time { return time.Time{} }

// Blame implements Ledger.
func (noLedger) Blame(context.Context, string, []string) error { return nil }

const (
	// gatherTime is how long the requests whose connections to one server break are taken
	// together: those of one crash break at the same moment.
	gatherTime = 100 * time.Millisecond
	// maxGathered bounds the requests of one crash: about as many as run on a server. The
	// control hosts keep them for thousands of crashes.
	maxGathered = 64
	// reportTime bounds the report of a crash; a control group that has lost its leader
	// has another one sooner.
	reportTime = 30 * time.Second
)

// errBlocked keeps a request that crashes servers from being sent.
var errBlocked = errors.Mark(errors.New("the request has crashed servers"), courier.ErrNotSent)

// blocked returns how long the request is blocked for, 0 if it may be sent.
func (f *flight) blocked() time.Duration {
	now := f.g.s.Timer.Now()
	until := f.g.s.Ledger.Blocked(now, f.digest)
	if until.IsZero() {
		return 0
	}

	return until.Sub(now)
}

// witness notes which requests were at a server when their connections to it broke, finds
// out whether the server has crashed, and reports those that may have caused it.
type witness struct {
	g         *Gateway
	survivors *blamer.Survivors

	mu     sync.Mutex
	broken map[string]map[string]string // by server, the id of an attempt by the digest of its request
}

func newWitness(g *Gateway) (*witness, error) {
	survivors, err := blamer.NewSurvivors()
	if err != nil {
		return nil, errors.Newf("witness of crashes: %w", err)
	}

	return &witness{g: g, survivors: survivors, broken: make(map[string]map[string]string)}, nil
}

// broke notes that the connection of a request to a server broke. It is called while the
// request is in flight, so the gateway has not ended.
func (w *witness) broke(f *flight, s *placer.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	digests := w.broken[s.ID]
	if digests == nil {
		digests = make(map[string]string)
		w.broken[s.ID] = digests
		w.g.work.Add(1)
		go func() {
			defer w.g.work.Done()
			w.examine(w.g.ctx, s)
		}()
	}
	if len(digests) < maxGathered {
		digests[f.digest] = f.hints.ID
	}
}

// examine gathers the requests that broke at a server, and finds out what became of it.
func (w *witness) examine(ctx context.Context, s *placer.Server) {
	w.gather(ctx)
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
		entry.Msg("connections to a server broke")

		return
	}
	suspects := w.survivors.Suspects(w.g.s.Timer.Now(), all)
	entry.Strs("suspects", suspects).Err(err).Msg("server crashed under requests")
	if len(suspects) == 0 {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, reportTime)
	defer cancel()
	if err := w.g.s.Ledger.Blame(bounded, s.ID, suspects); err != nil {
		w.g.s.Log.Warn().Str("server", s.ID).Strs("suspects", suspects).Err(err).Msg("crash not reported")
	}
}

func (w *witness) gather(ctx context.Context) {
	woken := make(chan struct{})
	defer w.g.s.Timer.After(gatherTime, func(time.Time) { close(woken) })()
	select {
	case <-woken:
	case <-ctx.Done():
	}
}
