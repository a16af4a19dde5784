package gateway

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/requester"
)

// Throttler keeps the limits that servers name, together with all other gateways.
type Throttler interface {
	// Observe records the limit that an answer of a server names, in requests per second. It
	// returns true if the limit has changed.
	Observe(now time.Time, server string, limit float64) bool
	// ObserveNone records that a server has run a request that was sent at a time, and names
	// no limit. It returns true if a limit has ended.
	ObserveNone(now, sent time.Time, server string) bool
	// Take counts requests to a server if one may be sent now, and returns false otherwise.
	Take(now time.Time, server string, requests float64) bool
	// Charge counts requests to a server that are sent in any case.
	Charge(now time.Time, server string, requests float64)
	// Refund takes back requests that did not reach the server.
	Refund(server string, requests float64)
	// GrantRate returns the number of requests to a server that were granted per second
	// lately.
	GrantRate(now time.Time, server string) float64
}

// noThrottler limits nothing.
type noThrottler struct{}

// Observe implements Throttler.
func (noThrottler) Observe(time.Time, string, float64) bool { return false }

// ObserveNone implements Throttler.
func (noThrottler) ObserveNone(time.Time, time.Time, string) bool { return false }

// Take implements Throttler.
func (noThrottler) Take(time.Time, string, float64) bool { return true }

// Charge implements Throttler.
func (noThrottler) Charge(time.Time, string, float64) {}

// Refund implements Throttler.
func (noThrottler) Refund(string, float64) {}

// GrantRate implements Throttler.
func (noThrottler) GrantRate(time.Time, string) float64 { return 0 }

const (
	// maxGrantWait is how long a request waits for a server that limits its requests if there
	// is no other: the time in which a control host grants one that can be granted.
	maxGrantWait = 700 * time.Millisecond
	// grantPollInterval is the interval at which a waiting request checks for a grant.
	grantPollInterval = 20 * time.Millisecond
	// limitedRetryAfter is the time after which callers may retry a request if all servers
	// limit their requests.
	limitedRetryAfter = time.Second
)

// errThrottled is returned for a send to a server that limits its requests.
var errThrottled = errors.Mark(errors.New("the server takes no more requests now"), requester.ErrNotSent)

// observeLimit records what an answer states about the limit of its server. sent is when the
// request was sent if the server has run it, zero otherwise: only such an answer can end a
// limit.
func (g *Gateway) observeLimit(server string, limit float64, sent time.Time) {
	now := g.s.Timer.Now()
	switch {
	case limit > 0:
		if g.s.Throttler.Observe(now, server, limit) {
			g.s.Log.Info().Str("server", server).Float64("limit", limit).Msg("server limits its requests")
		}
	case !sent.IsZero() && g.s.Throttler.ObserveNone(now, sent, server):
		g.s.Log.Info().Str("server", server).Msg("server no longer limits its requests")
	}
}

// grantWaiters counts the requests that wait for servers with a limit, by pool.
type grantWaiters struct {
	mu    sync.Mutex
	count map[string]int
}

// enter adds a request, unless there are already as many as limit.
func (w *grantWaiters) enter(pool string, limit int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.count[pool] >= limit {
		return false
	}
	w.count[pool]++

	return true
}

func (w *grantWaiters) leave(pool string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count[pool]--
}

// awaitGrant waits until a server takes a request, if all servers that could run it limit
// their requests. It returns false if there is none, or if too many requests wait already
// to get one in time.
func (f *forwarder) awaitGrant() bool {
	q := f.query()
	start := f.g.s.Timer.Now()
	rate := 0.0
	exhausted := f.g.s.Placer.Exhausted(start, q)
	for _, id := range exhausted {
		rate += f.g.s.Throttler.GrantRate(start, id)
	}
	if len(exhausted) == 0 || f.waitedForGrant || !f.g.grantWaiters.enter(f.pool, max(int(rate*maxGrantWait.Seconds()), 1)) {
		return false
	}
	defer f.g.grantWaiters.leave(f.pool)
	f.waitedForGrant = true
	for f.ctx.Err() == nil && f.timeLeft() > minRetryTime && f.fits() && f.g.s.Timer.Now().Sub(start) < maxGrantWait {
		f.sleep(grantPollInterval)
		if len(f.g.s.Placer.Exhausted(f.g.s.Timer.Now(), q)) == 0 {
			return true
		}
	}

	return false
}
