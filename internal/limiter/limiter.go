// Package limiter keeps customers within their rates over many entries. Each entry has
// token buckets (Limiter), and one process divides each customer's rate among the entries
// by their demand (Allocator). Neither does I/O nor starts a goroutine.
package limiter

import (
	"math"
	"sync"
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// demandTime is the time over which the demand of a customer is averaged.
	demandTime = 2 * time.Second
	// depthTime is the time for which a bucket gathers what is not used.
	depthTime = 500 * time.Millisecond
	// openTime is how old the word may get that all entries together ask for less than the
	// rate: two pulses of a control host.
	openTime = 600 * time.Millisecond
	// staleTime is how long the last report of an entry counts, and the longest time after
	// which a refused request may come again.
	staleTime = 3 * time.Second
	// openPart is the part of its rate that a customer may use at one entry while it asks
	// for less than its rate at all entries together: all its callers may be there.
	openPart = 1
	// unknownEntries is the number of entries until a control host has told it.
	unknownEntries = 30
	// leastRetry is the least time after which a request may come again.
	leastRetry = 100 * time.Millisecond
)

// Limiter admits the requests of customers at one entry. Its methods may be called from
// any goroutine.
type Limiter struct {
	// slack is what all entries together may admit beyond a rate and its burst in any case.
	slack float64

	mu        sync.Mutex
	customers map[string]*bucket
	parts     map[string]*wire.Allotment
	told      time.Time // when the parts came; zero if none have
	entries   int
}

// bucket is what this entry knows of one customer. The level may become negative: a
// request is admitted while there is anything left, since requests differ much in size.
type bucket struct {
	level  float64
	filled time.Time
	demand average // lately
	asked  time.Time
	used   float64
}

// New returns a limiter that shares the slack with the other entries: each bucket holds
// at least its part of it, so that small customers may send two requests in a row.
func New(slack float64) *Limiter {
	return &Limiter{slack: slack, entries: unknownEntries, customers: make(map[string]*bucket)}
}

// Cost is what a request counts for.
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

// Refusal says why a request is over the rate of its customer.
type Refusal struct {
	// After is the time after which it may come again.
	After time.Duration
	// Rate is what this entry may admit of the customer a second, and Level what is left.
	Rate, Level float64
	// Age is that of the allotments.
	Age time.Duration
}

// Take admits a request of a customer and returns nil, or says why it is over the rate.
func (l *Limiter) Take(now time.Time, c *wire.Customer, cost float64) *Refusal {
	if c.GetRate() <= 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.customers[c.GetName()]
	if b == nil {
		b = &bucket{level: math.Inf(1), filled: now}
		l.customers[c.GetName()] = b
	}
	rate := l.part(now, c.GetName()) * c.GetRate()
	depth := max(rate*depthTime.Seconds(), l.slack/float64(l.entries))
	b.asked = now
	b.demand.add(now, cost)
	b.level = min(b.level+rate*now.Sub(b.filled).Seconds(), depth)
	b.filled = now
	if b.level <= 0 {
		wait := time.Duration(math.Min(-b.level/max(rate, 1), staleTime.Seconds()) * float64(time.Second))

		return &Refusal{After: max(wait, leastRetry), Rate: rate, Level: b.level, Age: now.Sub(l.told)}
	}
	b.level -= cost
	b.used += cost

	return nil
}

// Refund gives back what a request took that has not run.
func (l *Limiter) Refund(c *wire.Customer, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.customers[c.GetName()]; b != nil {
		b.level += cost
		b.used -= cost
	}
}

// Allot takes the parts that this entry may admit, and how many entries there are.
func (l *Limiter) Allot(now time.Time, entries int, allotments []*wire.Allotment) {
	parts := make(map[string]*wire.Allotment, len(allotments))
	for _, a := range allotments {
		if !isAmount(a.GetPart()) {
			continue
		}
		parts[a.GetCustomer()] = a
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.parts, l.told, l.entries = parts, now, max(entries, 1)
}

// Usages returns what was asked and admitted of customers that have asked lately.
func (l *Limiter) Usages(now time.Time) []*wire.Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*wire.Usage
	for name, b := range l.customers {
		if now.Sub(b.asked) > staleTime {
			continue
		}
		out = append(out, &wire.Usage{Customer: name, Demand: b.demand.at(now), Used: b.used})
	}

	return out
}

// part is the part of a customer's rate that this entry may admit now. It needs the lock.
func (l *Limiter) part(now time.Time, customer string) float64 {
	a := l.parts[customer]
	told := l.told.IsZero() || now.Sub(l.told) <= openTime
	switch {
	case told && (a == nil || a.GetOpen()):
		return openPart
	case a != nil:
		return a.GetPart()
	default:
		return evenPart / float64(l.entries)
	}
}

// average is an exponential average of what comes a second.
type average struct {
	value float64
	since time.Time
}

func (a *average) add(now time.Time, n float64) {
	a.value = a.at(now) + n/demandTime.Seconds()
	a.since = now
}

func (a *average) at(now time.Time) float64 {
	return a.value * math.Exp(-now.Sub(a.since).Seconds()/demandTime.Seconds())
}
