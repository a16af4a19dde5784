package dispatcher

import "time"

// checkDeadlines handles the deadlines of the request, the claim and each step.
func (m *Machine) checkDeadlines() {
	if !m.now.Before(m.deadline) {
		m.fail(statusGatewayTimeout, "deadline exceeded while "+m.waitsFor(), minRetryAfter)

		return
	}
	if m.claim.waiting && m.lacksTime() {
		m.refuseForShutdown()

		return
	}
	if m.claim.waiting && !m.now.Before(m.claim.expiry) {
		m.claimed(Claimed{Unknown: true, Text: "no answer from the log in time"})

		return
	}
	for _, t := range m.tracks() {
		if t.expiry.IsZero() || m.now.Before(t.expiry) {
			continue
		}
		t.expiry = time.Time{}
		m.stepTimedOut(t)

		return
	}
}

// stepTimedOut handles a step that took too long.
func (m *Machine) stepTimedOut(t *track) {
	switch {
	case t.step == stepWaiting:
		m.askAfterWait(t)
	case t.step == stepAsked && m.lacksTime():
		m.refuseForShutdown()
	case t.step == stepAsked && t.repeatingTransfer:
		// The memory went to another request, so other decode servers are asked as well.
		t.repeatingTransfer = false
		m.ask(t, m.prefill.server())
	case t.step == stepAsked && m.isForTransfer(t):
		m.restartPrefill(t, "no grant before the prefill result was evicted", true)
	case t.step == stepAsked:
		m.fail(statusTooManyRequests, "no grant in time", max(t.retryAfter, minRetryAfter))
	case t == &m.decode && t.step == stepReady:
		m.resumeStream("no chunk in time")
	case m.canRepeatTransfer(t):
		m.repeatTransfer(reasonStalled)
	case t == &m.decode:
		m.attemptFailed(t, reasonStalled, false)
	default:
		m.attemptFailed(t, "the server did not answer in time", false)
	}
}
