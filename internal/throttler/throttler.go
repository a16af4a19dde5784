// Package throttler keeps the limits that backend servers name: the requests per second that
// a server takes from all entries together. Each entry counts what it sends (Throttler), and
// one process grants single requests to the entries (Distributor), so that the sum is kept
// however many entries there are. Neither does I/O or starts a goroutine.
package throttler

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/damasklever/damasklever/internal/meter"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// endReportTime is how long an entry reports a limit that has ended.
	endReportTime = 5 * time.Second
	// grantValidity is how long grants are used. After that, the control hosts are out of
	// reach and an entry uses its even part of the limit.
	grantValidity = time.Second
	// forgetTime is how long a limit is kept after its server has left the host list, which
	// may be incomplete for a while.
	forgetTime = time.Minute
	// defaultEntries is the assumed number of entries until a control host has reported it.
	defaultEntries = 30
	// maxReported limits the servers in one heartbeat, and in one message to an entry.
	maxReported = 256
	// maxAge limits the age of an answer in messages.
	maxAge = time.Hour
	// maxAmount limits the numbers in messages, so that sums of them stay exact enough.
	maxAmount = 1e15
)

// Throttler counts at one entry the requests to servers that limit them. It is safe for
// concurrent use.
type Throttler struct {
	// entries returns the number of entries, 0 if unknown.
	entries func() int

	mu      sync.Mutex
	servers map[string]*serverLimit
}

// serverLimit is what this entry knows of one server.
type serverLimit struct {
	limit    float64 // 0 if it has ended
	heardAt  time.Time
	answerAt time.Time // of the last answer to this entry that has set heardAt; zero if there was none
	used     float64
	granted  float64
	grantAt  time.Time // of the last message of a control host; zero if there was none
	level    float64   // of the own allowance, which is used without valid grants
	refilled time.Time
	demand   meter.Rate
	grants   meter.Rate
}

// New returns a Throttler that knows no limits. entries returns the number of entries that
// share a limit, 0 if unknown.
func New(entries func() int) *Throttler {
	return &Throttler{entries: entries, servers: make(map[string]*serverLimit)}
}

// Observe records the limit that an answer of a server names. It returns true if the limit
// has changed.
func (t *Throttler) Observe(now time.Time, server string, limit float64) bool {
	if !isValidAmount(limit) || limit == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server]
	changed := s == nil || s.limit != limit
	t.setLimit(now, server, limit, now)
	t.servers[server].answerAt = now

	return changed
}

// ObserveNone records that a server has answered a request without naming a limit. It
// returns true if that ends the limit: an answer to a request that was sent before the limit
// was last named does not.
func (t *Throttler) ObserveNone(now, sent time.Time, server string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server]
	if s == nil || s.limit == 0 || !sent.After(s.heardAt) {
		return false
	}
	s.limit, s.heardAt, s.answerAt = 0, now, now

	return true
}

// setLimit records a limit that was named at heardAt. The caller must hold t.mu.
func (t *Throttler) setLimit(now time.Time, server string, limit float64, heardAt time.Time) {
	s := t.servers[server]
	switch {
	case s == nil:
		s = &serverLimit{}
		t.servers[server] = s
	case heardAt.Before(s.heardAt):
		return
	}
	if s.limit == 0 && limit > 0 {
		// One request can be sent at once, before the control hosts have granted any.
		s.level, s.refilled, s.grantAt = 1, now, time.Time{}
	}
	s.limit, s.heardAt = limit, heardAt
}

// Allows reports whether a request may be sent to a server now, and counts as demand for it.
func (t *Throttler) Allows(now time.Time, server string) bool {
	entries := t.entryCount()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server]
	if s == nil || s.limit == 0 {
		return true
	}
	s.demand.Add(now, 1)

	return s.allowance(now, entries) >= 1
}

// Exhausted reports whether no request may be sent to a server now. It does not count as
// demand.
func (t *Throttler) Exhausted(now time.Time, server string) bool {
	entries := t.entryCount()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server]

	return s != nil && s.limit > 0 && s.allowance(now, entries) < 1
}

// GrantRate returns the number of requests to a server that were granted per second lately.
func (t *Throttler) GrantRate(now time.Time, server string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[server]; s != nil {
		return s.grants.ValueAt(now)
	}

	return 0
}

// Take counts requests to a server, if one may be sent now. Otherwise it returns false.
func (t *Throttler) Take(now time.Time, server string, requests float64) bool {
	entries := t.entryCount()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[server]
	if s == nil || s.limit == 0 {
		return true
	}
	if s.allowance(now, entries) < 1 {
		return false
	}
	s.count(requests)

	return true
}

// Charge counts requests to a server that are sent in any case.
func (t *Throttler) Charge(now time.Time, server string, requests float64) {
	entries := t.entryCount()
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[server]; s != nil && s.limit > 0 {
		s.allowance(now, entries)
		s.count(requests)
	}
}

// Refund takes back requests that did not reach the server.
func (t *Throttler) Refund(server string, requests float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[server]; s != nil && s.limit > 0 {
		s.count(-requests)
	}
}

func (s *serverLimit) count(requests float64) {
	s.used = max(s.used+requests, 0)
	s.level -= requests
}

// entryCount returns the number of entries that share a limit. The caller must not hold t.mu.
func (t *Throttler) entryCount() int {
	if entries := t.entries(); entries > 0 {
		return entries
	}

	return defaultEntries
}

// allowance returns how many requests may be sent now. The caller must hold the mutex of the
// Throttler.
func (s *serverLimit) allowance(now time.Time, entries int) float64 {
	if !s.grantAt.IsZero() && now.Sub(s.grantAt) <= grantValidity {
		return s.granted - s.used
	}
	s.level = min(s.level+max(now.Sub(s.refilled).Seconds(), 0)*s.limit/float64(entries), 1)
	s.refilled = now

	return s.level
}

// SetGrants applies the grants of a control host.
func (t *Throttler) SetGrants(now time.Time, grants []*wire.RequestGrant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range grants {
		if !isValidAmount(g.GetLimit()) || !isValidAmount(g.GetGranted()) || g.GetAge() < 0 {
			continue
		}
		t.setLimit(now, g.GetServer(), g.GetLimit(), now.Add(-ageOf(g.GetAge())))
		s := t.servers[g.GetServer()]
		s.grants.Add(now, max(g.GetGranted()-s.granted, 0))
		s.granted = g.GetGranted()
		if g.GetUnknown() {
			s.granted = s.used
		}
		s.level, s.refilled, s.grantAt = 0, now, now
	}
}

// Throttles returns what to report to the control hosts.
func (t *Throttler) Throttles(now time.Time) []*wire.Throttle {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*wire.Throttle
	for server, s := range t.servers {
		if s.limit == 0 && now.Sub(s.heardAt) > endReportTime {
			continue
		}
		out = append(out, &wire.Throttle{
			Server: server, Limit: s.limit, Age: min(now.Sub(s.answerAt), maxAge).Milliseconds(), Demand: s.demand.ValueAt(now), Used: s.used,
			Granted: s.granted,
		})
	}
	slices.SortFunc(out, func(a, b *wire.Throttle) int {
		return cmp.Or(cmp.Compare(b.GetDemand(), a.GetDemand()), cmp.Compare(a.GetServer(), b.GetServer()))
	})

	return out[:min(len(out), maxReported)]
}

// Known returns the number of servers that have named a limit.
func (t *Throttler) Known() int {
	t.mu.Lock()
	defer t.mu.Unlock()

	return len(t.servers)
}

// Retain forgets the limits of servers that are not listed and were not heard from lately.
func (t *Throttler) Retain(now time.Time, listed func(server string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for server, s := range t.servers {
		if now.Sub(s.heardAt) > forgetTime && (s.limit == 0 || !listed(server)) {
			delete(t.servers, server)
		}
	}
}

// isValidAmount reports whether x is in the valid range. A faulty peer may send any number.
func isValidAmount(x float64) bool { return x >= 0 && x <= maxAmount }

// ageOf returns an age in a message as a duration.
func ageOf(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxAge.Milliseconds())) * time.Millisecond
}
