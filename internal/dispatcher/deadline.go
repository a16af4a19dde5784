package dispatcher

import "time"

// overdue checks the deadline of the request and of each step.
func (m *Machine) overdue() {
	if !m.now.Before(m.end) {
		m.giveUp(statusDeadline, "deadline exceeded while "+m.waitsFor(), minRetryAfter)

		return
	}
	if m.claim.waiting && !m.now.Before(m.claim.until) {
		m.claimed(Claimed{Unknown: true, Text: "no answer from the log in time"})

		return
	}
	for _, t := range m.tracks() {
		if t.until.IsZero() || m.now.Before(t.until) {
			continue
		}
		t.until = time.Time{}
		m.late(t)

		return
	}
}

// late handles a step that took too long.
func (m *Machine) late(t *track) {
	switch {
	case t.step == stepPaused:
		m.unpause(t)
	case t.step == stepAsked && t.repeating:
		// The memory went to another request: a second path is tried as well.
		t.repeating = false
		m.ask(t, m.prefill.server())
	case t.step == stepAsked && m.transferring(t):
		m.restart(t, "no grant before the prefill result was evicted", true)
	case t.step == stepAsked:
		m.giveUp(statusBusy, "no grant in time", max(t.after, minRetryAfter))
	case t == &m.decode && t.step == stepReady:
		m.resume("no chunk in time")
	case m.repeatable(t):
		m.repeat(reasonStalled)
	case t == &m.decode:
		m.failed(t, reasonStalled, false)
	default:
		m.failed(t, "the server did not answer in time", false)
	}
}
