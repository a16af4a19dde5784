// Package sharer divides the work of one priority rank of a server among callers, in
// proportion to their weights. The load it answers: one caller asks for far more than others
// of the same rank, and the server is full. The caller with the least recent work for its
// weight comes first, so that a caller gets its share if it asks for it, and what it does not
// ask for goes to the others at once. It does no I/O, and starts no goroutine.
package sharer

import (
	"math"
	"time"

	"github.com/damasklever/damasklever/internal/meter"
)

const (
	// maxWeight bounds the weights that peers may send.
	maxWeight = 1e6
	// idleWork is recent work, in seconds, that is too little to affect a share.
	idleWork = 1e-3
	// equalGrants is the number of typical grants by which the levels of callers may differ
	// before the order of the queue, which is that of the deadlines, gives way to fairness.
	equalGrants = 3
)

// Ask is work that a caller asks for.
type Ask struct {
	Caller string
	Weight float64 // of the caller; 0 or an invalid one counts as 1
	Work   float64 // in unit-seconds
}

// weight returns the weight that applies.
func (a Ask) weight() float64 {
	if a.Weight > 0 && a.Weight <= maxWeight {
		return a.Weight
	}

	return 1
}

// Queue is the queue of a rank, the next one first if all are of the same caller.
type Queue interface {
	Len() int
	At(i int) Ask
}

// Sharer keeps what was granted to each caller of a rank. It is not safe for concurrent use.
type Sharer struct {
	window  time.Duration
	granted map[string]*meter.Sum
	// queued is what Ahead and Evict have counted for each caller, by weight.
	queued map[string]float64
}

// New returns a sharer that counts the work of a recent period.
func New(window time.Duration) *Sharer {
	return &Sharer{window: window, granted: make(map[string]*meter.Sum), queued: make(map[string]float64)}
}

// SetWindow changes the period.
func (s *Sharer) SetWindow(window time.Duration) { s.window = window }

// Grant records work that is granted.
func (s *Sharer) Grant(now time.Time, a Ask) {
	sum := s.granted[a.Caller]
	if sum == nil {
		sum = &meter.Sum{}
		s.granted[a.Caller] = sum
	}
	sum.Add(now, s.window, a.Work)
}

// Return takes back work that was granted a while ago and not used.
func (s *Sharer) Return(now time.Time, a Ask, ago time.Duration) {
	if sum := s.granted[a.Caller]; sum != nil {
		left := a.Work * math.Exp(-ago.Seconds()/s.window.Seconds())
		sum.Add(now, s.window, -min(left, sum.At(now, s.window)))
	}
}

// DropIdle forgets callers without recent work.
func (s *Sharer) DropIdle(now time.Time) {
	for name, sum := range s.granted {
		if sum.At(now, s.window) < idleWork {
			delete(s.granted, name)
		}
	}
}

// ExceedsLimit reports whether a caller has more than a fraction of the total once more work is
// granted to it.
func (s *Sharer) ExceedsLimit(now time.Time, caller string, more, fraction, total float64) bool {
	sum := s.granted[caller]
	if sum == nil {
		return false
	}

	return sum.At(now, s.window)+more > fraction*(total+more)
}

// level returns the recent work of a caller by weight.
func (s *Sharer) level(now time.Time, a Ask) float64 {
	sum := s.granted[a.Caller]
	if sum == nil {
		return 0
	}

	return sum.At(now, s.window) / a.weight()
}

// Next returns the index of the ask to be granted next. Callers whose levels differ by less
// than equalGrants are equal, so that the order of the queue counts among them.
func (s *Sharer) Next(now time.Time, q Queue, typical float64) int {
	least := math.Inf(1)
	for i := range q.Len() {
		least = min(least, s.level(now, q.At(i)))
	}
	for i := range q.Len() {
		if a := q.At(i); s.level(now, a) <= least+equalGrants*typical/a.weight() {
			return i
		}
	}

	return 0
}

// Ahead calls count with the index of each ask that is expected to be granted before another
// one, whose place in the queue is given.
func (s *Sharer) Ahead(now time.Time, q Queue, own Ask, place int, typical float64, count func(i int)) {
	clear(s.queued)
	target, margin := s.level(now, own), equalGrants*typical/own.weight()
	for i := range place {
		if a := q.At(i); a.Caller == own.Caller {
			target += a.Work / a.weight()
		}
	}
	for i := range q.Len() {
		a := q.At(i)
		if a.Caller == own.Caller {
			if i < place {
				count(i)
			}

			continue
		}
		level := s.level(now, a) + s.queued[a.Caller]
		if level < target-margin || i < place && level <= target+margin {
			s.queued[a.Caller] += a.Work / a.weight()
			count(i)
		}
	}
}

// Evict returns the index of the ask that must give way to another one in a full queue: the
// last one of the caller with the most work, granted and waiting. It returns -1 if the other
// ask is of that caller itself.
func (s *Sharer) Evict(now time.Time, q Queue, own Ask) int {
	clear(s.queued)
	s.queued[own.Caller] = own.Work / own.weight()
	for i := range q.Len() {
		a := q.At(i)
		s.queued[a.Caller] += a.Work / a.weight()
	}
	most, evicted := s.level(now, own)+s.queued[own.Caller], -1
	for i := range q.Len() {
		a := q.At(i)
		if level := s.level(now, a) + s.queued[a.Caller]; a.Caller != own.Caller && level >= most && (evicted >= 0 || level > most) {
			most, evicted = level, i
		}
	}

	return evicted
}
