package attendant

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/driver"
	"github.com/damasklever/damasklever/internal/wire"
)

// outcome is the end of what an actStart began. Exactly one result is set if
// err is nil.
type outcome struct {
	prefilled *wire.Prefilled
	imported  bool
	chunks    int64 // of a decode
	answer    *wire.Answer
	err       error
	down      bool // nothing listens at the backend server's address
}

// Finished handles the end of a call to the backend server.
func (k *keeper) Finished(now time.Time, id string, o outcome) []action {
	a := k.attempts[id]
	if a == nil || a.stage == stageOver {
		return k.take()
	}
	if a.stage == stageCancelling {
		if k.s.plain {
			k.finishedCancelled(now, a, o)
		}

		return k.take()
	}
	if a.stage != stageRunning && a.stage != stageDecoding {
		return k.take()
	}
	if o.err != nil {
		k.failed(now, a, o.err)

		return k.take()
	}
	// A suspect is cleared at its end; a transfer alone proves nothing.
	k.blamer.End(a.digest, a.suspect && !o.imported)
	switch {
	case o.prefilled != nil:
		k.move(now, a, stageReady)
		k.reply(a, &wire.Reply{Body: &wire.Reply_Prefilled{Prefilled: o.prefilled}})
		// The next prefill may start; the result holds its pieces until it is
		// handed over or evicted.
		k.decide(now, k.queue.Keep(now, id))
	case o.imported:
		k.move(now, a, stageReady)
		k.reply(a, &wire.Reply{Body: &wire.Reply_Imported{Imported: &wire.Imported{Id: id}}})
	case o.answer != nil:
		k.finish(now, a, &wire.Reply{Body: &wire.Reply_Answer{Answer: o.answer}}, "done")
		k.release(now, a)
	default:
		k.finish(now, a, endedReply(id, wire.Status_STATUS_DONE, o.chunks, ""), "done")
		k.release(now, a)
	}

	return k.take()
}

// finishedCancelled ends a plain call that was withdrawn while it ran.
func (k *keeper) finishedCancelled(now time.Time, a *attempt, o outcome) {
	k.endBlame(a)
	if o.answer != nil && a.link != nil {
		a.link.Send(&wire.Reply{Body: &wire.Reply_Answer{Answer: o.answer}})
	}
	a.sent = !unsent(o.err)
	k.confirm(a)
	k.gone(now, a)
}

// endBlame takes an attempt off the crash record. After a crash it is off
// already, and another attempt of its digest may be on.
func (k *keeper) endBlame(a *attempt) {
	if !a.crashed {
		k.blamer.End(a.digest, false)
	}
}

// failed ends an attempt with an error of the backend server. What the server
// still holds of it is cancelled before its memory is granted again.
func (k *keeper) failed(now time.Time, a *attempt, err error) {
	k.endBlame(a)
	if unsent(err) || errors.Is(err, driver.ErrMemory) {
		a.sent = false
		reason := reasonDown
		if errors.Is(err, driver.ErrMemory) {
			reason = reasonMemory
		}
		k.forgetRefused(now, a, reason, retryDown)
		k.decide(now, k.queue.Withdraw(now, a.id))
		k.admitDeferred(now)

		return
	}
	status, reason := statusOf(err)
	if a.crashed {
		status, reason = wire.Status_STATUS_CRASHED, "the backend server crashed"
	}
	k.finish(now, a, endedReply(a.id, status, 0, reason), status.String())
	if k.s.plain {
		k.release(now, a)

		return
	}
	k.move(now, a, stageCancelling)
	k.do(action{kind: actStop, id: a.id})
}

func unsent(err error) bool {
	var e *driver.UnsentError

	return errors.As(err, &e)
}

func statusOf(err error) (wire.Status, string) {
	switch {
	case errors.Is(err, driver.ErrEvicted):
		return wire.Status_STATUS_EVICTED, "evicted"
	case errors.Is(err, driver.ErrStalled):
		return wire.Status_STATUS_FAILED, "stalled"
	case errors.Is(err, driver.ErrSource):
		return wire.Status_STATUS_FAILED, "the source of the transfer failed"
	case errors.Is(err, driver.ErrCancelled):
		return wire.Status_STATUS_CANCELLED, "cancelled on the engine"
	case errors.Is(err, driver.ErrRefused):
		return wire.Status_STATUS_FAILED, "refused by the backend server"
	case errors.Is(err, driver.ErrBroken), errors.Is(err, driver.ErrUnreachable):
		return wire.Status_STATUS_FAILED, "the connection to the backend server broke"
	default:
		return wire.Status_STATUS_FAILED, err.Error()
	}
}

// finish stores and sends the final reply; the attempt is over for the entry.
func (k *keeper) finish(now time.Time, a *attempt, r *wire.Reply, status string) {
	a.final = r
	if a.link != nil {
		a.link.Send(r)
	}
	k.observe.Ended(a, status, now.Sub(a.began))
	k.move(now, a, stageOver)
	a.call = nil
}

// release gives the units back after the backend server has freed them. The
// attempt stays for an entry that lost its stream.
func (k *keeper) release(now time.Time, a *attempt) {
	k.move(now, a, stageOver)
	if k.solo == a.id {
		k.solo = ""
	}
	k.decide(now, k.queue.Release(now, a.id))
	k.admitDeferred(now)
}

// gone forgets an attempt that nobody will ask for again, except by a late
// Withdraw.
func (k *keeper) gone(now time.Time, a *attempt) {
	k.forget(now, a)
	k.decide(now, k.queue.Withdraw(now, a.id))
	k.admitDeferred(now)
}

// Cancelled says that the backend server holds nothing of the attempt any more.
func (k *keeper) Cancelled(now time.Time, id string) []action {
	a := k.attempts[id]
	if a == nil || a.stage != stageCancelling {
		return k.take()
	}
	if a.final != nil {
		k.release(now, a)
	} else {
		k.gone(now, a)
	}

	return k.take()
}

// confirm answers a Withdraw that waited.
func (k *keeper) confirm(a *attempt) {
	if a.withdrawer != nil {
		sendWithdrawn(a.withdrawer, a.id, a.sent)
		a.withdrawer = nil
	}
}

func sendWithdrawn(l link, id string, ran bool) {
	l.Send(&wire.Reply{Body: &wire.Reply_Withdrawn{Withdrawn: &wire.Withdrawn{Id: id, Ran: ran}}})
}
