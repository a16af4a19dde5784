package dispatcher

import "time"

const reasonStopping = "the process is stopping"

// limitToShutdown shortens the deadlines so that the request ends before the process does.
func (m *Machine) limitToShutdown() {
	if m.stopBy.IsZero() {
		return
	}
	if m.stopBy.Before(m.deadline) {
		m.deadline = m.stopBy
	}
	for _, t := range m.tracks() {
		if limit := m.nextGrantDeadline(); t.step == stepAsked && limit.Before(t.expiry) {
			t.expiry = limit
		}
	}
}

// lastDispatch returns the time after which new work is not expected to end before the process
// does. It is zero unless the process is stopping.
func (m *Machine) lastDispatch() time.Time {
	switch {
	case m.stopBy.IsZero():
		return time.Time{}
	case m.isPlain():
		return m.stopBy.Add(-m.req.CallTime)
	case m.prefill.step >= stepReady:
		return m.stopBy.Add(-m.req.DecodeTime)
	default:
		return m.stopBy.Add(-m.req.WorkTime - m.req.DecodeTime)
	}
}

// lacksTime reports whether new work is not expected to end before the process does.
func (m *Machine) lacksTime() bool {
	last := m.lastDispatch()

	return !last.IsZero() && !m.now.Before(last)
}

// refuseForShutdown ends a request that the process can no longer complete.
func (m *Machine) refuseForShutdown() {
	m.fail(statusGatewayTimeout, reasonStopping, minRetryAfter)
}
