package attendant

import (
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// unseenTime is how long after its start an agent answers ran=true for an
	// id it has not seen: the attempt may have run before the restart.
	unseenTime = time.Minute
	// pastTime is how long the ids of attempts are remembered after their end,
	// and maxPast how many.
	pastTime = 10 * time.Minute
	maxPast  = 1 << 16
)

// Withdraw ends an attempt. The reply tells whether the backend server has seen
// it; a later copy of its Ask or dispatch is discarded.
func (k *keeper) Withdraw(now time.Time, l link, w *wire.Withdraw) []action {
	id := w.GetId()
	a := k.attempts[id]
	if a == nil {
		k.unpen(id)
		k.decide(now, k.queue.Withdraw(now, id))
		ran := k.mayHaveRun(now, w)
		k.remember(now, id, ran)
		sendWithdrawn(l, id, ran)
		k.admitDeferred(now)

		return k.take()
	}
	switch {
	case a.stage == stageOver:
		sendWithdrawn(l, id, a.sent)
		k.gone(now, a)
	case !a.sent:
		k.gone(now, a)
		sendWithdrawn(l, id, false)
	case k.s.plain:
		k.withdrawCall(now, a, l)
	case a.stage == stageCancelling:
		sendWithdrawn(l, id, true)
	default:
		k.cancel(now, a)
		sendWithdrawn(l, id, true)
	}

	return k.take()
}

// withdrawCall ends a plain call that runs. Whether the service has seen it is
// known when the call has ended. A call with a key goes on to its end, as its
// answer is stored for the caller's next try.
func (k *keeper) withdrawCall(now time.Time, a *attempt, l link) {
	a.withdrawer = l
	keyed := a.call.GetRun().GetKey() != ""
	if a.stage == stageCancelling {
		return
	}
	k.move(now, a, stageCancelling)
	if !keyed {
		k.do(action{kind: actDrop, id: a.id})
	}
}

// cancel has the backend server end the attempt. Its units are released after
// the confirmation.
func (k *keeper) cancel(now time.Time, a *attempt) {
	if a.stage == stageRunning || a.stage == stageDecoding {
		k.blamer.End(a.digest, false)
	}
	k.move(now, a, stageCancelling)
	k.do(action{kind: actStop, id: a.id})
}

// revoke ends an attempt whose lease is over.
func (k *keeper) revoke(now time.Time, a *attempt, reason string) {
	switch {
	case a.stage == stageOver || a.stage == stageCancelling:
	case !a.sent:
		k.forgetRefused(now, a, reason, 0)
		k.decide(now, k.queue.Withdraw(now, a.id))
	default:
		r := endedReply(a.id, wire.Status_STATUS_REVOKED, 0, reason)
		if a.link != nil {
			a.link.Send(r)
		}
		a.final = r
		k.observe.Ended(a, wire.Status_STATUS_REVOKED.String(), now.Sub(a.began))
		if k.s.plain {
			k.move(now, a, stageCancelling)
			if a.call.GetRun().GetKey() == "" {
				k.do(action{kind: actDrop, id: a.id})
			}

			return
		}
		k.cancel(now, a)
	}
}

// past is an attempt that the agent no longer holds.
type past struct {
	ran bool
	at  time.Time
}

// remember keeps what became of an attempt, for a late Withdraw or Ask.
func (k *keeper) remember(now time.Time, id string, ran bool) {
	if old, ok := k.past[id]; ok {
		k.past[id] = past{ran: ran || old.ran, at: old.at}

		return
	}
	k.past[id] = past{ran: ran, at: now}
	k.order = append(k.order, id)
	for len(k.order) > maxPast || now.Sub(k.past[k.order[0]].at) > pastTime {
		delete(k.past, k.order[0])
		k.order = k.order[1:]
	}
}

// mayHaveRun answers for an id that the agent holds no attempt of.
func (k *keeper) mayHaveRun(now time.Time, w *wire.Withdraw) bool {
	if old, ok := k.past[w.GetId()]; ok {
		return old.ran
	}
	if w.GetEpoch() != 0 {
		return w.GetEpoch() != k.s.epoch
	}

	return now.Sub(k.began) < unseenTime
}
