package agent

import (
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// unknownIDWindow is the time after its start during which an agent answers
	// ran=true for an unknown id in a Withdraw without an epoch, because the attempt
	// may have run before a restart of the agent.
	unknownIDWindow = time.Minute
	// endedRetention is how long the ids of ended attempts are remembered, and
	// maxEnded is the maximum number of them.
	endedRetention = 10 * time.Minute
	maxEnded       = 1 << 16
)

// Withdraw ends an attempt. The reply says whether the attempt may have reached the
// backend server. A copy of its Ask or dispatch that arrives later is refused.
func (m *machine) Withdraw(now time.Time, s stream, w *wire.Withdraw) []action {
	id := w.GetId()
	a := m.attempts[id]
	if a == nil {
		m.removeDeferred(id)
		m.applyDecisions(now, m.queue.Withdraw(now, id))
		ran := m.mayHaveRun(now, w)
		m.rememberEnded(now, id, ran)
		sendWithdrawn(s, id, ran)
		m.admitDeferred(now)

		return m.takeActions()
	}
	switch {
	case a.stage == stageOver:
		sendWithdrawn(s, id, a.sent)
		m.discardAttempt(now, a)
	case !a.sent:
		m.discardAttempt(now, a)
		sendWithdrawn(s, id, false)
	case m.settings.plain:
		m.withdrawPlainCall(now, a, s)
	case a.stage == stageCancelling:
		sendWithdrawn(s, id, true)
	default:
		m.cancel(now, a)
		sendWithdrawn(s, id, true)
	}

	return m.takeActions()
}

// withdrawPlainCall ends a running plain call. Withdrawn is sent when the call has
// ended, because only then is it known whether the service has received it. A call
// with an idempotency key is not aborted, because its answer is stored for the
// caller's next try.
func (m *machine) withdrawPlainCall(now time.Time, a *attempt, s stream) {
	a.withdrawStream = s
	keyed := a.call.GetRun().GetKey() != ""
	if a.stage == stageCancelling {
		return
	}
	m.setStage(now, a, stageCancelling)
	if !keyed {
		m.addAction(action{kind: actAbort, id: a.id})
	}
}

// cancel cancels the attempt at the backend server. Its units are released once the
// server has confirmed the cancellation.
func (m *machine) cancel(now time.Time, a *attempt) {
	if a.stage == stageRunning || a.stage == stageDecoding {
		m.correlator.End(a.digest, false)
	}
	m.setStage(now, a, stageCancelling)
	m.addAction(action{kind: actCancel, id: a.id})
}

// revoke ends an attempt whose lease has expired.
func (m *machine) revoke(now time.Time, a *attempt, reason string) {
	switch {
	case a.stage == stageOver || a.stage == stageCancelling:
	case !a.sent:
		m.refuseAttempt(now, a, reason, 0)
		m.applyDecisions(now, m.queue.Withdraw(now, a.id))
	default:
		r := endedReply(a.id, wire.Status_STATUS_REVOKED, 0, reason)
		if a.stream != nil {
			a.stream.Send(r)
		}
		a.finalReply = r
		m.metrics.Ended(a, wire.Status_STATUS_REVOKED.String(), now.Sub(a.createdAt))
		if m.settings.plain {
			m.setStage(now, a, stageCancelling)
			if a.call.GetRun().GetKey() == "" {
				m.addAction(action{kind: actAbort, id: a.id})
			}

			return
		}
		m.cancel(now, a)
	}
}

// ended is the record of an attempt that was removed.
type ended struct {
	ran bool
	at  time.Time
}

// rememberEnded records whether an ended attempt has run, to answer a later Withdraw or
// Ask of the same id.
func (m *machine) rememberEnded(now time.Time, id string, ran bool) {
	if old, ok := m.ended[id]; ok {
		m.ended[id] = ended{ran: ran || old.ran, at: old.at}

		return
	}
	m.ended[id] = ended{ran: ran, at: now}
	m.endedOrder = append(m.endedOrder, id)
	for len(m.endedOrder) > maxEnded || now.Sub(m.ended[m.endedOrder[0]].at) > endedRetention {
		delete(m.ended, m.endedOrder[0])
		m.endedOrder = m.endedOrder[1:]
	}
}

// mayHaveRun reports whether an attempt that the agent does not hold may have run.
func (m *machine) mayHaveRun(now time.Time, w *wire.Withdraw) bool {
	if old, ok := m.ended[w.GetId()]; ok {
		return old.ran
	}
	if w.GetEpoch() != 0 {
		return w.GetEpoch() != m.settings.epoch
	}

	return now.Sub(m.startedAt) < unknownIDWindow
}
