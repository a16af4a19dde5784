package dispatcher

import (
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

// claim follows the claim of a non-idempotent call.
type claim struct {
	sent  bool
	held  bool // taken by this request, or perhaps taken
	until time.Time
	// waiting is true before Claimed, and after Finish while the stage to
	// settle is open.
	waiting bool
}

func (m *Machine) take() {
	m.claim = claim{sent: true, waiting: true, until: m.now.Add(m.limits.Claim)}
	m.do(Claim{Key: m.req.Key})
}

func (m *Machine) claimed(e Claimed) {
	if !m.claim.sent || !m.claim.waiting {
		return
	}
	m.claim.waiting = false
	switch {
	case e.OK && e.Fresh:
		m.claim.held = true
		m.ask(&m.run, "")
	case e.OK:
		m.finish(duplicate(e))
	case e.Conflict:
		m.finish(Outcome{
			Result: NotRun, Status: statusMismatch,
			Reason: "the idempotency key was used with another body",
		})
	default:
		m.claim.held = e.Unknown
		m.giveUp(statusUnavailable, "the booking could not be recorded: "+e.Text, minRetryAfter)
	}
}

// duplicate is the outcome of a call whose key was claimed earlier.
func duplicate(e Claimed) Outcome {
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
	a := m.dispatch(&m.run, m.end.Sub(m.now))
	m.do(Run{ID: a.id, Server: a.server})
}

func (m *Machine) answered(e Answered) {
	if !m.run.is(e.ID) || m.run.step != stepSent {
		return
	}
	delete(m.open, e.ID)
	m.finish(Outcome{Result: Done, Status: e.Status, Answer: stored(e)})
}

func stored(e Answered) *wire.Stored {
	answer := &wire.Stored{Status: int32(e.Status), Body: e.Body}
	for _, h := range e.Headers {
		answer.Headers = append(answer.Headers, &wire.Field{Name: h.GetName(), Value: h.GetValue()})
	}

	return answer
}

// failedRun handles the end of the current attempt of a plain call. A
// non-idempotent call is never dispatched a second time.
func (m *Machine) failedRun(reason string) {
	t := &m.run
	if !t.cur.sent {
		t.reason = reason
		m.drop(t)
		m.advance()

		return
	}
	if !m.req.Idempotent {
		m.giveUp(statusFailed, reason, 0)

		return
	}
	if !m.retry(t.server(), t.phase, reason) {
		return
	}
	t.failed = append(t.failed, t.server())
	m.drop(t)
	t.retried()
	m.advance()
}

// settle records the end of a claimed call. If the call was dispatched and its
// end isn't known, the record waits for the agent's confirmation; the final
// answer doesn't.
func (m *Machine) settle(o Outcome) {
	m.claim.waiting = m.claim.waiting && m.claim.sent && !m.claim.held
	if m.claim.waiting {
		// The caller left before the log answered.
		return
	}
	if !m.claim.held {
		return
	}
	switch {
	case o.Result == Done:
		m.settled(wire.Stage_STAGE_DONE, o.Answer)
	case len(m.unsure) == 0:
		m.settled(wire.Stage_STAGE_FREE, nil)
	case !m.awaited():
		// The agent ended the call itself and has nothing more to say.
		m.settled(wire.Stage_STAGE_LOST, nil)
	default:
		m.claim.waiting = true
		m.claim.until = m.now.Add(m.limits.Linger)
	}
}

// awaited reports whether the agent will still confirm what became of a
// dispatch.
func (m *Machine) awaited() bool {
	for id := range m.unsure {
		if _, ok := m.open[id]; ok {
			return true
		}
	}

	return false
}

func (m *Machine) settled(stage wire.Stage, answer *wire.Stored) {
	m.claim.waiting = false
	m.claim.held = false
	m.do(Settle{Key: m.req.Key, Stage: stage, Answer: answer})
}

// after handles events that follow the final answer. They only decide how the
// claim is settled.
func (m *Machine) after(e Event) {
	if !m.claim.waiting {
		return
	}
	if !m.claim.held {
		m.lateClaim(e)

		return
	}
	switch e := e.(type) {
	case Answered:
		if m.unsure[e.ID] {
			m.settled(wire.Stage_STAGE_DONE, stored(e))
		}
	case Withdrawn:
		if !e.Ran && m.unsure[e.ID] {
			delete(m.unsure, e.ID)
			m.settled(wire.Stage_STAGE_FREE, nil)
		}
	case Woken:
		if !m.now.Before(m.claim.until) {
			m.settled(wire.Stage_STAGE_LOST, nil)
		}
	}
}

// lateClaim releases a claim that was taken after the caller had left.
func (m *Machine) lateClaim(e Event) {
	switch e := e.(type) {
	case Claimed:
		m.claim.waiting = false
		if e.OK && e.Fresh || e.Unknown {
			m.settled(wire.Stage_STAGE_FREE, nil)
		}
	case Woken:
		if !m.now.Before(m.claim.until) {
			m.settled(wire.Stage_STAGE_FREE, nil)
		}
	}
}
