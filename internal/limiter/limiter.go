// Package limiter enforces the rate limits of customers across many entries. Each entry has
// token buckets (Limiter), and one process divides each customer's rate among the entries by
// their demand (Allocator). Neither does I/O or starts a goroutine.
package limiter

import (
	"sync"
	"time"

	"github.com/damasklever/damasklever/internal/meter"
	"github.com/damasklever/damasklever/internal/spender"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// burstTime is the time for which a bucket accumulates unused rate.
	burstTime = 500 * time.Millisecond
	// openValidity is how long the information that all entries together ask for less than
	// the rate stays valid: two pulse messages of a control host.
	openValidity = 600 * time.Millisecond
	// staleTime is how long the last report of an entry counts.
	staleTime = 3 * time.Second
	// openShare is the fraction of its rate that a customer may use at one entry while it
	// asks for less than its rate at all entries together, because all its callers may be
	// there.
	openShare = 1
	// unknownShare is the fraction of its rate of which an entry may admit an equal part if it
	// has no allotment of the customer and no contact.
	unknownShare = 0.2
	// defaultEntries is the assumed number of entries until a control host has reported it.
	defaultEntries = 30
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

// bucket is the token bucket of one customer at this entry.
type bucket struct {
	spender   *spender.Spender
	demand    meter.Rate
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
	spender.Refusal
	// Rate is what this entry may admit of the customer per second.
	Rate float64
	// Age is the age of the allotments.
	Age time.Duration
}

// Take admits a request of a customer and returns nil, or returns a Refusal if the customer
// is over its rate.
func (l *Limiter) Take(now time.Time, c *wire.Customer, r spender.Request) *Refusal {
	if c.GetRate() <= 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[c.GetName()]
	if b == nil {
		b = &bucket{spender: spender.New(now)}
		l.buckets[c.GetName()] = b
	}
	budget := l.budget(now, c)
	b.lastAsked = now
	b.demand.Add(now, r.Cost)
	if refusal := b.spender.Take(now, budget, r); refusal != nil {
		return &Refusal{Refusal: *refusal, Rate: budget.Rate, Age: now.Sub(l.updated)}
	}
	b.used += r.Cost

	return nil
}

// Refund gives back what an admitted request was charged that has not run.
func (l *Limiter) Refund(c *wire.Customer, r spender.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[c.GetName()]; b != nil {
		b.spender.Refund(r)
		b.used -= r.Cost
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

// budget returns what this entry may admit of a customer now. The caller must hold mu.
func (l *Limiter) budget(now time.Time, c *wire.Customer) spender.Budget {
	a := l.shares[c.GetName()]
	part := unknownShare / float64(l.entries)
	if a != nil {
		part = a.GetPart()
	}
	var out spender.Budget
	out.Rate, out.Depth = l.bucket(part * c.GetRate())
	out.Base.Rate, out.Base.Depth = out.Rate, out.Depth
	updated := l.updated.IsZero() || now.Sub(l.updated) <= openValidity
	if updated && (a == nil || a.GetOpen()) {
		out.Lent = true
		out.Rate, out.Depth = l.bucket(openShare * c.GetRate())
	}

	return out
}

// bucket returns the rate and the depth of a bucket.
func (l *Limiter) bucket(rate float64) (float64, float64) {
	return rate, max(rate*burstTime.Seconds(), l.slack/float64(l.entries))
}
