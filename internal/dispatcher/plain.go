package dispatcher

import (
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

// claim is the state of the claim of a non-idempotent call.
type claim struct {
	requested bool
	held      bool // the log accepted the claim of this request, or may have
	expiry    time.Time
	// waiting is true until Claimed, and again after Finish until the stage to
	// record is known.
	waiting bool
}

func (m *Machine) requestClaim() {
	m.claim = claim{requested: true, waiting: true, expiry: m.now.Add(m.limits.Claim)}
	m.addAction(Claim{Key: m.req.Key})
}

func (m *Machine) claimed(e Claimed) {
	if !m.claim.requested || !m.claim.waiting {
		return
	}
	m.claim.waiting = false
	switch {
	case e.OK && e.Fresh:
		m.claim.held = true
		m.ask(&m.run, "")
	case e.OK:
		m.finish(duplicateOutcome(e))
	case e.Conflict:
		m.finish(Outcome{
			Result: NotRun, Status: statusUnprocessableEntity,
			Reason: "the idempotency key was used with another body",
		})
	default:
		m.claim.held = e.Unknown
		m.fail(statusUnavailable, "the booking could not be recorded: "+e.Text, minRetryAfter)
	}
}

// duplicateOutcome returns the outcome of a call whose key was claimed earlier.
func duplicateOutcome(e Claimed) Outcome {
	switch {
	case e.Stage == wire.Stage_STAGE_DONE && e.Answer != nil:
		return Outcome{
			Result: Done, Status: int(e.Answer.GetStatus()), Answer: e.Answer, Stored: true,
		}
	case e.Stage == wire.Stage_STAGE_RUNNING:
		return Outcome{
			Result: NotRun, Status: statusConflict,
			Reason: "the same booking is still running", After: minRetryAfter,
		}
	default:
		return Outcome{
			Result: NotRun, Status: statusConflict,
			Reason: "the same booking may have run; it is not sent again",
		}
	}
}

func (m *Machine) dispatchRun() {
	a := m.dispatch(&m.run, m.deadline.Sub(m.now))
	m.addAction(Run{ID: a.id, Server: a.server})
}

func (m *Machine) responseReceived(e ResponseReceived) {
	if !m.run.isCurrent(e.ID) || m.run.step != stepDispatched {
		return
	}
	delete(m.open, e.ID)
	m.finish(Outcome{Result: Done, Status: e.Status, Answer: recordedAnswer(e)})
}

func recordedAnswer(e ResponseReceived) *wire.Stored {
	answer := &wire.Stored{Status: int32(e.Status), Body: e.Body}
	for _, h := range e.Headers {
		answer.Headers = append(answer.Headers, &wire.Field{Name: h.GetName(), Value: h.GetValue()})
	}

	return answer
}

// callAttemptFailed handles the failure of the current attempt of a plain call. A
// non-idempotent call is never dispatched a second time.
func (m *Machine) callAttemptFailed(reason string) {
	t := &m.run
	if !t.current.dispatched {
		t.reason = reason
		m.resetTrack(t)
		m.advance()

		return
	}
	if !m.req.Idempotent {
		m.fail(statusBadGateway, reason, 0)

		return
	}
	if !m.takeRetry(t.server(), t.phase, reason) {
		return
	}
	t.failed = append(t.failed, t.server())
	m.resetTrack(t)
	t.resetRounds()
	m.advance()
}

// settleClaim records the result of a claimed call. If the call was dispatched and it
// is not known whether it ran, recording waits for the agent's confirmation. The
// answer to the caller does not wait.
func (m *Machine) settleClaim(o Outcome) {
	m.claim.waiting = m.claim.waiting && m.claim.requested && !m.claim.held
	if m.claim.waiting {
		// The request ended before the log answered.
		return
	}
	if !m.claim.held {
		return
	}
	switch {
	case o.Result == Done:
		m.addSettle(wire.Stage_STAGE_DONE, o.Answer)
	case len(m.unconfirmed) == 0:
		m.addSettle(wire.Stage_STAGE_FREE, nil)
	case !m.awaitsConfirmation():
		// The agent ended the call itself and sends no confirmation.
		m.addSettle(wire.Stage_STAGE_LOST, nil)
	default:
		m.claim.waiting = true
		m.claim.expiry = m.now.Add(m.limits.ConfirmationTimeout)
	}
}

// awaitsConfirmation reports whether an agent is still to confirm whether a dispatched
// attempt ran.
func (m *Machine) awaitsConfirmation() bool {
	for id := range m.unconfirmed {
		if _, ok := m.open[id]; ok {
			return true
		}
	}

	return false
}

func (m *Machine) addSettle(stage wire.Stage, answer *wire.Stored) {
	m.claim.waiting = false
	m.claim.held = false
	m.addAction(Settle{Key: m.req.Key, Stage: stage, Answer: answer})
}

// handleAfterFinish handles events after Finish. They only decide which stage is
// recorded for the claim.
func (m *Machine) handleAfterFinish(e Event) {
	if !m.claim.waiting {
		return
	}
	if !m.claim.held {
		m.handleLateClaim(e)

		return
	}
	switch e := e.(type) {
	case ResponseReceived:
		if m.unconfirmed[e.ID] {
			m.addSettle(wire.Stage_STAGE_DONE, recordedAnswer(e))
		}
	case Withdrawn:
		if !e.Ran && m.unconfirmed[e.ID] {
			delete(m.unconfirmed, e.ID)
			m.addSettle(wire.Stage_STAGE_FREE, nil)
		}
	case TimerFired:
		if !m.now.Before(m.claim.expiry) {
			m.addSettle(wire.Stage_STAGE_LOST, nil)
		}
	}
}

// handleLateClaim releases a claim that the log accepted after the request had ended.
func (m *Machine) handleLateClaim(e Event) {
	switch e := e.(type) {
	case Claimed:
		m.claim.waiting = false
		if e.OK && e.Fresh || e.Unknown {
			m.addSettle(wire.Stage_STAGE_FREE, nil)
		}
	case TimerFired:
		if !m.now.Before(m.claim.expiry) {
			m.addSettle(wire.Stage_STAGE_FREE, nil)
		}
	}
}
