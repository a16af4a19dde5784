package granter

import (
	"slices"
	"time"

	"github.com/damasklever/damasklever/internal/meter"
	"github.com/damasklever/damasklever/internal/sharer"
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
	grantedWork meter.Sum
	typicalWork float64   // work of one grant, moving average
	lastAsk     time.Time // of the last ask
	sharer      *sharer.Sharer
}

// Len implements sharer.Queue.
func (q *rankQueue) Len() int { return len(q.waiting) }

// At implements sharer.Queue.
func (q *rankQueue) At(i int) sharer.Ask { return q.waiting[i].share() }

// share returns what the ask counts for among its callers.
func (att *attempt) share() sharer.Ask {
	return sharer.Ask{Caller: att.Caller, Weight: att.Weight, Work: att.work}
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
func (q *rankQueue) account(now time.Time, att *attempt, window time.Duration) {
	q.grantedWork.Add(now, window, att.work)
	if q.typicalWork == 0 {
		q.typicalWork = att.work
	}
	q.typicalWork += typicalWeight * (att.work - q.typicalWork)
	q.sharer.Grant(now, att.share())
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
