// Package spender decides which requests of a customer may use up the customer's rate while
// the customer asks for more than that. The load it answers: a customer at several times its
// usual load, with large requests that use up the rate and can wait, and many small or urgent
// ones that need little of it. It does no I/O, and starts no goroutine.
package spender

import (
	"math"
	"time"

	"github.com/damasklever/damasklever/internal/meter"
)

const (
	// smallFraction is the size below which a request is small, as a fraction of the size at
	// which the customer spends most.
	smallFraction = 0.1
	// sizeWindow is the period over which the sizes of a customer's requests are averaged.
	sizeWindow = 10 * time.Second
	// fullFraction is the level, as a fraction of the depth, above which nothing is reserved.
	fullFraction = 0.9
	// smallBurst is the number of small requests of one path that may arrive at once.
	smallBurst = 4
	// creditTime is the time for which a class accumulates its unused part.
	creditTime = time.Second
	// divideInterval is the time between two divisions of the rate, which looks at all classes.
	divideInterval = 20 * time.Millisecond
	// heldWindow is the time for which a refused amount may be used later instead.
	heldWindow = 2 * time.Second
	// maxBaseDebt is the most that is made up for once a budget is no longer lent, as a multiple
	// of the base's depth.
	maxBaseDebt = 1.5
	// idleTime is the time without requests after which a class is forgotten.
	idleTime = 10 * time.Second
	// minRetryAfter and maxRetryAfter bound the time after which a refused request may be
	// retried. Callers of streams wait for about 5 s, a third of their time.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Request is what a customer asks for.
type Request struct {
	// Rank is the priority of the path among those of the customer, 0 for the most urgent.
	Rank int
	Path string
	Cost float64
}

// Budget is what may be spent at one entry.
type Budget struct {
	Rate  float64 // per second
	Depth float64 // the maximum that accumulates while it is not spent
	// Lent is set if the budget may be used at all entries at once, since the customer is
	// expected to use it at few of them. Base is then what the entry may spend in any case. What
	// it spends beyond that is made up for when the budget is no longer lent.
	Lent bool
	Base struct{ Rate, Depth float64 }
}

// Refusal describes why a request may not spend anything now.
type Refusal struct {
	// RetryAfter is the time until a request of this class is expected to be admitted.
	RetryAfter time.Duration
	// Small is set if the request is small for its customer.
	Small bool
	// Level is what the customer has left here, Part the class's part of the rate, Credit what
	// the class has left of it, and Demand what all classes ask for per second.
	Level, Part, Credit, Demand float64
}

// Spender keeps the account of one customer at one entry. It is not safe for concurrent use.
type Spender struct {
	level   float64
	base    float64 // level of Budget.Base while more is lent
	lent    bool
	held    meter.Sum // refused to keep the level for others, may accumulate beyond the depth
	updated time.Time
	divided time.Time
	pruned  time.Time
	demand  meter.Rate
	classes map[key]*class
	ordered []*class // small ones first, then by rank
	// spent and squares are the recent costs and their squares. Their quotient is the size of
	// the requests that most is spent on.
	spent, squares meter.Sum
}

// key identifies requests that are treated alike.
type key struct {
	small bool
	rank  int
	path  string
}

// class is the account of requests that are treated alike.
type class struct {
	key
	demand  meter.Rate
	size    float64 // moving average of the costs
	part    float64 // of the rate, per second
	limit   float64 // what the class may use per second while it gets all that it asks for
	credit  float64 // unused part; negative after a request that cost more
	asked   time.Time
	promise time.Time // when the last caller that was refused may come back
}

// New returns a spender whose budget is unused.
func New(now time.Time) *Spender {
	return &Spender{level: math.Inf(1), base: math.Inf(1), updated: now, divided: now, pruned: now, classes: make(map[key]*class)}
}

// Take charges a request and returns nil, or returns why it must wait.
func (s *Spender) Take(now time.Time, b Budget, r Request) *Refusal {
	if r.Cost <= 0 {
		return nil
	}
	c := s.classOf(now, r)
	s.refill(now, b)
	refusal := s.take(now, b, c, r.Cost)
	if refusal == nil {
		s.level -= r.Cost
		s.base = max(s.base-r.Cost, -maxBaseDebt*b.Base.Depth)
	}

	return refusal
}

// take charges the class of a request that is admitted.
func (s *Spender) take(now time.Time, b Budget, c *class, cost float64) *Refusal {
	demand := s.demand.ValueAt(now)
	switch {
	case s.level > 0 && (demand <= b.Rate || s.level >= fullFraction*b.Depth || s.spare(c)):
		return nil
	case s.mayUsePart(now, b, c):
		c.credit = max(c.credit-cost, -cost)

		return nil
	}
	if s.level > 0 {
		s.held.Add(now, heldWindow, cost)
	}

	return &Refusal{
		RetryAfter: s.retryAfter(now, b, c, cost), Small: c.small,
		Level: s.level, Part: c.part, Credit: c.credit, Demand: demand,
	}
}

// Refund gives back what a request was charged that has not run.
func (s *Spender) Refund(r Request) {
	s.level += r.Cost
	s.base += r.Cost
	for _, small := range []bool{true, false} {
		if c := s.classes[key{small, r.Rank, r.Path}]; c != nil && c.credit < 0 {
			c.credit = min(c.credit+r.Cost, 0)

			return
		}
	}
}

// mayUsePart reports whether a class may use its part of the rate now. A small request may
// also use it while a large one is made up for.
func (s *Spender) mayUsePart(now time.Time, b Budget, c *class) bool {
	switch {
	case c.credit <= 0:
		return false
	case c.small:
		return s.level > -b.Depth-s.usualCost(now)
	case c.covered():
		return s.level > -s.usualCost(now) && s.level >= s.fundedLevel(b, c)-s.usualCost(now)
	default:
		return s.level > 0 && s.level >= s.fundedLevel(b, c)
	}
}

// fundedLevel is the level that a large request needs. It must leave nothing to make up for if
// others would then have to wait for it. The usual size of its class counts: if each request
// needed its own, the smaller ones of the class would always come first and use the level up.
func (s *Spender) fundedLevel(b Budget, c *class) float64 {
	if !s.precedes(c) {
		return 0
	}

	return min(c.size, fullFraction*b.Depth)
}

// precedes reports whether there are large requests that are more urgent than those of a
// class, or are as urgent and ask for less than their part while the class asks for more.
func (s *Spender) precedes(c *class) bool {
	for _, other := range s.ordered {
		if !other.small && (other.rank < c.rank || other.rank == c.rank && other.covered() && !c.covered()) {
			return true
		}
	}

	return false
}

// covered reports whether a class gets all that it asks for.
func (c *class) covered() bool { return c.limit > c.part }

// spare reports whether a request leaves to all other classes what they have not used of
// their parts.
func (s *Spender) spare(c *class) bool {
	left := s.level - c.size
	for _, other := range s.ordered {
		if other != c {
			left -= max(other.credit, 0)
		}
	}

	return left >= 0
}

// refill adds what has become available since the last call.
func (s *Spender) refill(now time.Time, b Budget) {
	elapsed := max(now.Sub(s.updated).Seconds(), 0)
	s.updated = now
	if s.lent && !b.Lent {
		s.level = min(s.level, s.base)
	}
	s.lent = b.Lent
	s.base = min(s.base+b.Base.Rate*elapsed, b.Base.Depth)
	s.level = min(s.level+b.Rate*elapsed, b.Depth+min(s.held.At(now, heldWindow), b.Depth))
	sinceDivided := now.Sub(s.divided)
	if sinceDivided < divideInterval {
		return
	}
	s.divided = now
	s.divide(now, b.Rate)
	for _, c := range s.ordered {
		c.credit = min(c.credit+c.limit*sinceDivided.Seconds(), c.maxCredit())
	}
}

// maxCredit returns what a class may accumulate: enough for one request, however small its
// part.
func (c *class) maxCredit() float64 {
	requests := 1.0
	if c.small {
		requests = smallBurst
	}

	return max(c.part*creditTime.Seconds(), requests*c.size)
}

// retryAfter returns when a request is expected to be admitted, after the callers that were
// refused before it.
func (s *Spender) retryAfter(now time.Time, b Budget, c *class, cost float64) time.Duration {
	level, rate := s.fundedLevel(b, c), b.Rate
	if c.small {
		level = math.Inf(-1)
	}
	for _, other := range s.ordered {
		if other.before(c) {
			rate -= other.part
		}
	}
	wait := max(secondsUntil(level-s.level, max(rate, c.part)), secondsUntil(-c.credit, c.limit))
	at := now.Add(wait)
	if next := c.promise.Add(secondsUntil(cost, c.limit)); next.After(at) {
		at = next
	}
	after := min(max(at.Sub(now), minRetryAfter), maxRetryAfter)
	c.promise = now.Add(after)

	return after
}

// secondsUntil returns the time until an amount is there, at most maxRetryAfter.
func secondsUntil(amount, rate float64) time.Duration {
	if amount <= 0 {
		return 0
	}
	if rate <= 0 {
		return maxRetryAfter
	}

	return time.Duration(min(amount/rate, maxRetryAfter.Seconds()) * float64(time.Second))
}
