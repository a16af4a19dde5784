package admitter

import (
	"math"
	"time"
)

// Budget limits retries and other repeated sends of a service's requests to a
// fraction of its recent first sends. It is not safe for concurrent use.
type Budget struct {
	fraction   float64
	minimum    float64
	window     time.Duration
	firstSends decayingSum
	extraSends decayingSum
}

// NewBudget returns a budget that allows fraction repeated sends per first send,
// and at least minimum of them. Both are counted over about the length of window.
func NewBudget(fraction, minimum float64, window time.Duration) *Budget {
	return &Budget{fraction: fraction, minimum: minimum, window: window}
}

// Configure changes the limits from now on.
func (b *Budget) Configure(fraction, minimum float64) { b.fraction, b.minimum = fraction, minimum }

// First counts the first send of a request.
func (b *Budget) First(now time.Time) { b.firstSends.add(now, 1, b.window) }

func (b *Budget) allowed(now time.Time) float64 {
	return math.Max(b.minimum, b.fraction*b.firstSends.current(now, b.window))
}

// CountExtra counts a repeated send without checking the budget.
func (b *Budget) CountExtra(now time.Time) { b.extraSends.add(now, 1, b.window) }

// Take takes one repeated send from the budget. It returns false if none is
// left.
func (b *Budget) Take(now time.Time) bool {
	if b.extraSends.current(now, b.window)+1 > b.allowed(now) {
		return false
	}
	b.CountExtra(now)

	return true
}

// Refund gives back what was taken at the given time, for a send that turned out not to be
// a repeated one.
func (b *Budget) Refund(now, taken time.Time) {
	left := math.Exp(-now.Sub(taken).Seconds() / b.window.Seconds())
	b.extraSends.add(now, -min(left, b.extraSends.current(now, b.window)), b.window)
}
