package agent

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/driver"
	"github.com/damasklever/damasklever/internal/wire"
)

// callResult is the result of a call started by an actStart. If err is nil, it is a
// Prefilled, an import, an Answer or the end of a decode.
type callResult struct {
	prefilled   *wire.Prefilled
	imported    bool
	chunks      int64 // number of chunks of a decode
	answer      *wire.Answer
	err         error
	backendDown bool // the backend server does not accept connections
	// release frees the memory of the answer once it has been sent; may be nil.
	release func()
}

// Finished handles the result of a call to the backend server.
func (m *machine) Finished(now time.Time, id string, result callResult) []action {
	a := m.attempts[id]
	if a == nil || a.stage == stageOver {
		return m.takeActions()
	}
	if a.stage == stageCancelling {
		if m.settings.plain {
			m.withdrawnCallEnded(now, a, result)
		}

		return m.takeActions()
	}
	if a.stage != stageRunning && a.stage != stageDecoding {
		return m.takeActions()
	}
	if result.err != nil {
		m.callFailed(now, a, result.err)

		return m.takeActions()
	}
	// A suspect is cleared once its work has completed. A completed transfer alone is
	// no evidence and does not clear it.
	m.correlator.End(a.digest, a.suspect && !result.imported)
	switch {
	case result.prefilled != nil:
		m.setStage(now, a, stageReady)
		m.sendProgress(a, &wire.Reply{Body: &wire.Reply_Prefilled{Prefilled: result.prefilled}})
		// The next prefill may start. The blocks of this result stay in use until
		// it is handed over or evicted.
		m.applyDecisions(now, m.queue.ReleaseSlot(now, id))
	case result.imported:
		m.setStage(now, a, stageReady)
		m.sendProgress(a, &wire.Reply{Body: &wire.Reply_Imported{Imported: &wire.Imported{Id: id}}})
	case result.answer != nil:
		m.sendFinal(now, a, &wire.Reply{Body: &wire.Reply_Answer{Answer: result.answer}}, "done")
		m.releaseUnits(now, a)
		m.keepResult(now, a, result.answer)
	default:
		m.sendFinal(now, a, endedReply(id, wire.Status_STATUS_DONE, result.chunks, ""), "done")
		m.releaseUnits(now, a)
	}

	return m.takeActions()
}

// withdrawnCallEnded handles the result of a plain call that was withdrawn while it
// was running.
func (m *machine) withdrawnCallEnded(now time.Time, a *attempt, result callResult) {
	m.endCrashTracking(a)
	if result.answer != nil && a.stream != nil {
		a.stream.Send(&wire.Reply{Body: &wire.Reply_Answer{Answer: result.answer}})
	}
	a.sent = !isUnsent(result.err)
	m.confirmWithdrawal(a)
	m.discardAttempt(now, a)
}

// endCrashTracking removes an attempt from the work tracked for crashes. After a crash
// it was removed already, and the digest may belong to another running attempt.
func (m *machine) endCrashTracking(a *attempt) {
	if !a.crashed {
		m.correlator.End(a.digest, false)
	}
}

// callFailed ends an attempt after a failed call to the backend server. Work that an
// engine may still hold is cancelled before its memory is granted again.
func (m *machine) callFailed(now time.Time, a *attempt, err error) {
	m.endCrashTracking(a)
	if isUnsent(err) || errors.Is(err, driver.ErrOutOfMemory) {
		a.sent = false
		reason := reasonDown
		if errors.Is(err, driver.ErrOutOfMemory) {
			reason = reasonMemory
		}
		m.refuseAttempt(now, a, reason, backendDownRetry)
		m.applyDecisions(now, m.queue.Withdraw(now, a.id))
		m.admitDeferred(now)

		return
	}
	status, reason := endStatus(err)
	if a.crashed {
		status, reason = wire.Status_STATUS_CRASHED, "the backend server crashed"
	}
	m.sendFinal(now, a, endedReply(a.id, status, 0, reason), status.String())
	if m.settings.plain {
		m.releaseUnits(now, a)

		return
	}
	m.setStage(now, a, stageCancelling)
	m.addAction(action{kind: actCancel, id: a.id})
}

// isUnsent reports whether the call was never sent to the backend server.
func isUnsent(err error) bool {
	var e *driver.UnsentError

	return errors.As(err, &e)
}

// endStatus returns the status and reason that are sent to the entry for an error.
func endStatus(err error) (wire.Status, string) {
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
	case errors.Is(err, driver.ErrConnBroken), errors.Is(err, driver.ErrUnreachable):
		return wire.Status_STATUS_FAILED, "the connection to the backend server broke"
	default:
		return wire.Status_STATUS_FAILED, err.Error()
	}
}

// sendFinal sends the final reply of an attempt and keeps it for an entry that
// reconnects.
func (m *machine) sendFinal(now time.Time, a *attempt, r *wire.Reply, status string) {
	a.finalReply = r
	if a.stream != nil {
		a.stream.Send(r)
	}
	m.metrics.Ended(a, status, now.Sub(a.createdAt))
	m.setStage(now, a, stageOver)
	a.call = nil
}

// releaseUnits returns the units of an attempt to the grant queue after the backend
// server has freed them. The attempt itself is kept for an entry that lost its stream.
func (m *machine) releaseUnits(now time.Time, a *attempt) {
	m.setStage(now, a, stageOver)
	if m.isolatedID == a.id {
		m.isolatedID = ""
	}
	m.applyDecisions(now, m.queue.Release(now, a.id))
	m.admitDeferred(now)
}

// discardAttempt removes an attempt and returns its units. The entry will not ask for
// it again, except by a late Withdraw.
func (m *machine) discardAttempt(now time.Time, a *attempt) {
	m.removeAttempt(now, a)
	m.applyDecisions(now, m.queue.Withdraw(now, a.id))
	m.admitDeferred(now)
}

// Cancelled handles the confirmation that the backend server holds no work of the
// attempt any more.
func (m *machine) Cancelled(now time.Time, id string) []action {
	a := m.attempts[id]
	if a == nil || a.stage != stageCancelling {
		return m.takeActions()
	}
	if a.finalReply != nil {
		m.releaseUnits(now, a)
	} else {
		m.discardAttempt(now, a)
	}

	return m.takeActions()
}

// confirmWithdrawal answers a Withdraw that is waiting for the end of the call.
func (m *machine) confirmWithdrawal(a *attempt) {
	if a.withdrawStream != nil {
		sendWithdrawn(a.withdrawStream, a.id, a.sent)
		a.withdrawStream = nil
	}
}

func sendWithdrawn(s stream, id string, ran bool) {
	s.Send(&wire.Reply{Body: &wire.Reply_Withdrawn{Withdrawn: &wire.Withdrawn{Id: id, Ran: ran}}})
}
