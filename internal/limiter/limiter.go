// Package limiter enforces the rate limits of customers across many entries. Each entry has
// token buckets (Limiter), and one process divides each customer's rate among the entries by
// their demand (Allocator). Neither does I/O or starts a goroutine.
package limiter

import (
	"math"
	"sync"
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// demandWindow is the time over which the demand of a customer is averaged.
	demandWindow = 2 * time.Second
	// burstTime is the time for which a bucket accumulates unused rate.
	burstTime = 500 * time.Millisecond
	// openValidity is how long the information that all entries together ask for less than
	// the rate stays valid: two pulse messages of a control host.
	openValidity = 600 * time.Millisecond
	// staleTime is how long the last report of an entry counts, and the maximum time after
	// which a refused request may be retried.
	staleTime = 3 * time.Second
	// openShare is the fraction of its rate that a customer may use at one entry while it
	// asks for less than its rate at all entries together, because all its callers may be
	// there.
	openShare = 1
	// defaultEntries is the assumed number of entries until a control host has reported it.
	defaultEntries = 30
	// minRetryAfter is the minimum time after which a refused request may be retried.
	minRetryAfter = 100 * time.Millisecond
)

// Limiter decides at one entry which requests of customers are admitted. Its methods are
// safe for concurrent use.
type Limiter struct {
	// slack is what all entries together may admit in any case, in addition to a rate and
	// its burst.
	slack float64

	mu      sync.Mutex
	buckets map[string]*bucket
	shares  map[string]*wire.Allotment
	updated time.Time // when the shares arrived; zero if none have
	entries int
}

// bucket is the token bucket of one customer at this entry. Its level may become negative:
// requests differ much in size, so one is admitted while there is anything left.
type bucket struct {
	level     float64
	refilled  time.Time
	demand    MovingRate
	lastAsked time.Time
	used      float64
}

// New returns a limiter that shares the slack with the other entries. Each bucket holds at
// least its share of the slack, so that small customers may send two requests in a row.
func New(slack float64) *Limiter {
	return &Limiter{slack: slack, entries: defaultEntries, buckets: make(map[string]*bucket)}
}

// Cost returns what a request is charged: its tokens, or the plain amount of the customer if
// it states none, or 1 if the customer's rate counts requests.
func Cost(c *wire.Customer, tokens int) float64 {
	switch {
	case c.GetUnit() != wire.Unit_UNIT_TOKENS:
		return 1
	case tokens <= 0:
		return float64(c.GetPlain())
	default:
		return float64(tokens)
	}
}

// Refusal describes why a request is over the rate of its customer.
type Refusal struct {
	// RetryAfter is the time after which the request may be retried.
	RetryAfter time.Duration
	// Rate is what this entry may admit of the customer per second, and Level the level of
	// the bucket.
	Rate, Level float64
	// Age is the age of the allotments.
	Age time.Duration
}

// Take admits a request of a customer and returns nil, or returns a Refusal if the customer
// is over its rate.
func (l *Limiter) Take(now time.Time, c *wire.Customer, cost float64) *Refusal {
	if c.GetRate() <= 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[c.GetName()]
	if b == nil {
		b = &bucket{level: math.Inf(1), refilled: now}
		l.buckets[c.GetName()] = b
	}
	rate := l.share(now, c.GetName()) * c.GetRate()
	depth := max(rate*burstTime.Seconds(), l.slack/float64(l.entries))
	b.lastAsked = now
	b.demand.Add(now, cost)
	b.level = min(b.level+rate*now.Sub(b.refilled).Seconds(), depth)
	b.refilled = now
	if b.level <= 0 {
		wait := time.Duration(math.Min(-b.level/max(rate, 1), staleTime.Seconds()) * float64(time.Second))

		return &Refusal{RetryAfter: max(wait, minRetryAfter), Rate: rate, Level: b.level, Age: now.Sub(l.updated)}
	}
	b.level -= cost
	b.used += cost

	return nil
}

// Refund gives back what an admitted request was charged that has not run.
func (l *Limiter) Refund(c *wire.Customer, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[c.GetName()]; b != nil {
		b.level += cost
		b.used -= cost
	}
}

// SetAllotments sets the shares that this entry may admit, and the number of entries.
func (l *Limiter) SetAllotments(now time.Time, entries int, allotments []*wire.Allotment) {
	shares := make(map[string]*wire.Allotment, len(allotments))
	for _, a := range allotments {
		if !isValidAmount(a.GetPart()) {
			continue
		}
		shares[a.GetCustomer()] = a
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shares, l.updated, l.entries = shares, now, max(entries, 1)
}

// Usages returns the demand and the admitted amount of the customers with recent requests.
func (l *Limiter) Usages(now time.Time) []*wire.Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*wire.Usage
	for name, b := range l.buckets {
		if now.Sub(b.lastAsked) > staleTime {
			continue
		}
		out = append(out, &wire.Usage{Customer: name, Demand: b.demand.ValueAt(now), Used: b.used})
	}

	return out
}

// share returns the fraction of a customer's rate that this entry may admit now. The caller
// must hold mu.
func (l *Limiter) share(now time.Time, customer string) float64 {
	a := l.shares[customer]
	updated := l.updated.IsZero() || now.Sub(l.updated) <= openValidity
	switch {
	case updated && (a == nil || a.GetOpen()):
		return openShare
	case a != nil:
		return a.GetPart()
	default:
		return evenShare / float64(l.entries)
	}
}

// MovingRate is an exponentially weighted average of an amount per second, over some
// seconds.
type MovingRate struct {
	value   float64
	updated time.Time
}

// Add adds an amount.
func (a *MovingRate) Add(now time.Time, n float64) {
	a.value = a.ValueAt(now) + n/demandWindow.Seconds()
	a.updated = now
}

// ValueAt returns the amount per second.
func (a *MovingRate) ValueAt(now time.Time) float64 {
	return a.value * math.Exp(-now.Sub(a.updated).Seconds()/demandWindow.Seconds())
}
