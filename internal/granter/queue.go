package granter

import (
	"slices"
	"time"
)

// state is the state of an attempt.
type state int

const (
	waiting       state = iota // in its rankQueue
	reserved                   // granted with Ask.Hold, not dispatched yet
	awaitingUnits              // to be dispatched, but Confirm found too few free units
	inUse                      // dispatched, occupies its units
)

// attempt is an ask and its grant, from arrival to release.
type attempt struct {
	Ask
	units       int
	work        float64 // in unit-seconds, on a serial server in seconds
	state       state
	startTime   time.Time // expected start of a reservation, actual start of a grant in use
	expectedEnd time.Time // expected release
	grantedAt   time.Time
}

// rankQueue holds the waiting asks of one rank in the order of attempt.before, and what
// was granted to the rank.
type rankQueue struct {
	waiting     []*attempt
	work        float64 // unit-seconds waiting
	grantedWork decayingSum
	typicalWork float64   // work of one grant, moving average
	lastAsk     time.Time // of the last ask
	callers     map[string]*decayingSum
}

// decayingSum is a sum of granted work that decays exponentially with time.
type decayingSum struct {
	value   float64
	updated time.Time
}

// read returns the value at the given time.
func (sum *decayingSum) read(now time.Time, decay func(time.Duration) float64) float64 {
	if d := now.Sub(sum.updated); d > 0 {
		sum.value *= decay(d)
		sum.updated = now
	}

	return sum.value
}

// before reports whether att is granted before other in the same rank. Asks without
// Hold come first, then the earlier deadline. On a server that also gets asks with
// Hold, an ask without it belongs to a finished prefill, whose result is evicted in
// under a second whatever the deadline.
func (att *attempt) before(other *attempt) bool {
	if ready := att.Hold == 0; ready != (other.Hold == 0) {
		return ready
	}

	return !other.Due.Before(att.Due)
}

func (q *rankQueue) add(att *attempt) {
	i, _ := slices.BinarySearchFunc(q.waiting, att, func(a, b *attempt) int {
		if a.before(b) {
			return -1
		}

		return 1
	})
	q.waiting = slices.Insert(q.waiting, i, att)
	q.work += att.work
}

func (q *rankQueue) remove(att *attempt) {
	if i := slices.Index(q.waiting, att); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
		q.work -= att.work
	}
	if len(q.waiting) == 0 {
		q.work = 0
	}
}

// typicalWeight is the weight of the latest grant in rankQueue.typicalWork.
const typicalWeight = 0.05

// account adds granted work to what the rank's floor and the caller's share are
// compared with.
func (q *rankQueue) account(now time.Time, att *attempt, decay func(time.Duration) float64) {
	q.grantedWork.read(now, decay)
	q.grantedWork.value += att.work
	if q.typicalWork == 0 {
		q.typicalWork = att.work
	}
	q.typicalWork += typicalWeight * (att.work - q.typicalWork)
	sum := q.callers[att.Caller]
	if sum == nil {
		sum = &decayingSum{updated: now}
		q.callers[att.Caller] = sum
	}
	sum.read(now, decay)
	sum.value += att.work
}

// dropIdleCallers removes the sums of callers without recent work.
func (q *rankQueue) dropIdleCallers(now time.Time, decay func(time.Duration) float64) {
	const idle = 1e-3 // unit-seconds, too little to affect a share
	for name, sum := range q.callers {
		if sum.read(now, decay) < idle {
			delete(q.callers, name)
		}
	}
}

// withdrawnIDs holds the recently withdrawn ids, limited in number by
// Settings.Withdrawn and in time by Settings.Retention.
type withdrawnIDs struct {
	withdrawnAt map[string]time.Time
	order       []string
}

func (w *withdrawnIDs) add(now time.Time, id string, s Settings) {
	w.prune(now, s)
	if _, ok := w.withdrawnAt[id]; ok {
		return
	}
	if len(w.order) >= s.Withdrawn {
		delete(w.withdrawnAt, w.order[0])
		w.order = w.order[1:]
	}
	w.withdrawnAt[id] = now
	w.order = append(w.order, id)
}

func (w *withdrawnIDs) prune(now time.Time, s Settings) {
	for len(w.order) > 0 && now.Sub(w.withdrawnAt[w.order[0]]) > s.Retention {
		delete(w.withdrawnAt, w.order[0])
		w.order = w.order[1:]
	}
}
