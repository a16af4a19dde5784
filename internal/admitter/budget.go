package admitter

import (
	"math"
	"time"
)

// Budget bounds the second and later sends of a service's requests by a fraction
// of its recent first ones. It is not safe for concurrent use.
type Budget struct {
	fraction float64
	spare    float64
	window   time.Duration
	firsts   meter
	repeats  meter
}

// NewBudget returns a budget that allows the fraction of the first sends in about
// window, and at least spare.
func NewBudget(fraction, spare float64, window time.Duration) *Budget {
	return &Budget{fraction: fraction, spare: spare, window: window}
}

// Configure changes what is allowed from now on.
func (b *Budget) Configure(fraction, spare float64) { b.fraction, b.spare = fraction, spare }

// First counts the first send of a request.
func (b *Budget) First(now time.Time) { b.firsts.add(now, 1, b.window) }

// Left tells whether the further sends so far are below what is allowed, for a send that
// is counted only if it turns out to be a further one.
func (b *Budget) Left(now time.Time) bool {
	return b.repeats.read(now, b.window) < b.allowed(now)
}

func (b *Budget) allowed(now time.Time) float64 {
	return math.Max(b.spare, b.fraction*b.firsts.read(now, b.window))
}

// Charge counts a further send that was not asked for before.
func (b *Budget) Charge(now time.Time) { b.repeats.add(now, 1, b.window) }

// Repeat takes one further send and tells whether there was one left.
func (b *Budget) Repeat(now time.Time) bool {
	if b.repeats.read(now, b.window)+1 > b.allowed(now) {
		return false
	}
	b.Charge(now)

	return true
}
