// Package meter measures amounts over a recent period. Older amounts count less and less, so
// that no list of them has to be kept.
package meter

import (
	"math"
	"time"
)

// Sum is a sum of amounts that decays exponentially. The zero value is empty. It is not safe
// for concurrent use.
type Sum struct {
	value   float64
	updated time.Time
}

// At returns the sum at a time, which decays with the time constant window.
func (s *Sum) At(now time.Time, window time.Duration) float64 {
	if d := now.Sub(s.updated); d > 0 {
		s.value *= math.Exp(-d.Seconds() / window.Seconds())
		s.updated = now
	}

	return s.value
}

// Add adds an amount.
func (s *Sum) Add(now time.Time, window time.Duration, n float64) {
	s.At(now, window)
	s.value += n
}

// rateWindow is the time over which a Rate is averaged.
const rateWindow = 2 * time.Second

// Rate is a moving average of an amount per second. The zero value is empty. It is not safe
// for concurrent use.
type Rate struct {
	sum Sum
}

// Add adds an amount.
func (r *Rate) Add(now time.Time, n float64) { r.sum.Add(now, rateWindow, n) }

// ValueAt returns the amount per second.
func (r *Rate) ValueAt(now time.Time) float64 {
	return r.sum.At(now, rateWindow) / rateWindow.Seconds()
}
