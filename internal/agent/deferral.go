package agent

import (
	"slices"
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

// deferredAsk is an ask that is not queued yet, because a suspect runs alone on the
// server or because the ask is itself a suspect that waits for an idle server.
type deferredAsk struct {
	ask          *wire.Ask
	stream       stream
	suspect      bool
	isolateUntil time.Time // end of a suspect's wait for an idle server
	deadline     time.Time // time by which the ask must be granted
}

// admitOrDefer submits an ask, or defers it while a suspect runs alone. A suspect is a
// request whose digest was in flight at a crash of this server, or whose entry asks to
// run it alone after the crash of a server. It runs alone if the server becomes idle
// within the isolation timeout, and otherwise together with other requests but with no
// other suspect. A second crash is then attributed to it and not to the requests that
// run beside it.
func (m *machine) admitOrDefer(now time.Time, s stream, ask *wire.Ask) {
	m.deferred = append(m.deferred, &deferredAsk{
		ask: ask, stream: s, isolateUntil: now.Add(m.settings.isolateTimeout),
		deadline: now.Add(time.Duration(ask.GetDue()) * time.Millisecond),
		suspect:  ask.GetAlone() || m.correlator.IsSuspect(now, ask.GetDigest()),
	})
	m.admitDeferred(now)
}

// noneActive reports whether no attempt is queued for the server or uses it.
func (m *machine) noneActive() bool {
	for _, a := range m.attempts {
		if a.active() {
			return false
		}
	}

	return true
}

// suspectActive reports whether a suspect is queued for the server or uses it.
func (m *machine) suspectActive() bool {
	for _, a := range m.attempts {
		if a.suspect && a.active() {
			return true
		}
	}

	return false
}

// admitDeferred submits the deferred asks that no longer have to wait, and refuses
// those past their deadline.
func (m *machine) admitDeferred(now time.Time) {
	waiting := m.deferred
	m.deferred = nil
	for _, d := range waiting {
		switch {
		case now.After(d.deadline):
			m.refuseDeferred(now, d)
		case m.isolatedID != "":
			m.deferred = append(m.deferred, d)
		case !d.suspect:
			m.submitAsk(now, d.stream, d.ask, d.deadline, false)
		case m.noneActive():
			m.isolatedID = d.ask.GetId()
			m.submitAsk(now, d.stream, d.ask, d.deadline, true)
		case !now.Before(d.isolateUntil) && !m.suspectActive():
			m.submitAsk(now, d.stream, d.ask, d.deadline, true)
		default:
			m.deferred = append(m.deferred, d)
		}
	}
}

func (m *machine) refuseDeferred(now time.Time, d *deferredAsk) {
	m.sendRefused(d.stream, d.ask.GetId(), reasonBusy, isolateRetry)
	m.rememberEnded(now, d.ask.GetId(), false)
	m.metrics.Refused(d.ask.GetRank(), reasonBusy)
}

// findDeferred returns the deferred ask with the id, or nil. A repeated ask must not be
// deferred twice, because its attempt would then run twice.
func (m *machine) findDeferred(id string) *deferredAsk {
	for _, d := range m.deferred {
		if d.ask.GetId() == id {
			return d
		}
	}

	return nil
}

func (m *machine) removeDeferred(id string) {
	m.deferred = slices.DeleteFunc(m.deferred, func(d *deferredAsk) bool { return d.ask.GetId() == id })
}
