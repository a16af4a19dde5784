package agent

import (
	"maps"
	"slices"
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

// Hello renews the lease of an entry process. If the process has replaced an older one
// of the same name, the attempts of the older one end immediately. Hello returns false
// if a newer process of that name is already known.
func (m *machine) Hello(now time.Time, entry string, epoch uint64) (bool, []action) {
	if epoch < m.entryEpochs[entry] {
		return false, nil
	}
	if old := m.entryEpochs[entry]; old != 0 && old != epoch {
		m.expireLease(now, newLeaseID(entry, old), reasonOld)
	}
	m.entryEpochs[entry] = epoch
	m.leases[newLeaseID(entry, epoch)] = now

	return true, m.takeActions()
}

// Renew extends the lease of an entry process. If the lease has already expired, this
// does not restore its attempts.
func (m *machine) Renew(now time.Time, entry string, epoch uint64) {
	m.leases[newLeaseID(entry, epoch)] = now
}

// Tick handles expired leases, deadlines and retention times.
func (m *machine) Tick(now time.Time) []action {
	for leaseID, seen := range m.leases {
		if now.Sub(seen) > m.settings.leaseTimeout {
			m.expireLease(now, leaseID, "lease")
		}
	}
	// Leases of active attempts are renewed in the grant queue, so that only the
	// machine expires leases: memory must not be granted again before the engine has
	// confirmed the cancellation.
	for _, id := range m.sortedIDs() {
		a := m.attempts[id]
		if a.active() {
			m.queue.Renew(now, a.leaseID)
		} else if now.Sub(a.stageSince) > m.settings.resultRetention {
			m.removeAttempt(now, a)
		}
	}
	m.applyDecisions(now, m.queue.Tick(now))
	m.admitDeferred(now)

	return m.takeActions()
}

// expireLease ends all attempts of a lease.
func (m *machine) expireLease(now time.Time, leaseID, reason string) {
	delete(m.leases, leaseID)
	m.deferred = slices.DeleteFunc(m.deferred, func(d *deferredAsk) bool {
		return newLeaseID(d.ask.GetEntry(), d.ask.GetEpoch()) == leaseID
	})
	m.refuseUnsent(now, reason, 0, func(a *attempt) bool { return a.leaseID == leaseID })
	for _, id := range m.sortedIDs() {
		if a := m.attempts[id]; a != nil && a.leaseID == leaseID {
			m.revoke(now, a, reason)
		}
	}
}

// refuseUnsent refuses the matching attempts for which no work was sent to the backend
// server. All of them are removed before they are withdrawn from the grant queue,
// because a withdrawal can grant the freed units to other attempts, which must not be
// among those to be refused.
func (m *machine) refuseUnsent(now time.Time, reason string, after time.Duration, match func(*attempt) bool) {
	var ids []string
	for _, id := range m.sortedIDs() {
		if a := m.attempts[id]; a.active() && !a.sent && match(a) {
			m.refuseAttempt(now, a, reason, after)
			ids = append(ids, id)
		}
	}
	for _, id := range ids {
		m.applyDecisions(now, m.queue.Withdraw(now, id))
	}
}

// sortedIDs returns the ids of all attempts in order, so that the same events always
// have the same results.
func (m *machine) sortedIDs() []string { return slices.Sorted(maps.Keys(m.attempts)) }

// BackendDown handles a crash of the backend server. Running attempts end immediately,
// those of a plain service as soon as their aborted call has ended; waiting ones are
// refused.
func (m *machine) BackendDown(now time.Time) []action {
	if !m.backendUp {
		return nil
	}
	m.backendUp = false
	m.metrics.Crashed()
	if digests := m.correlator.RecordCrash(now); len(digests) > 0 {
		m.addAction(action{kind: actReportCrash, digests: digests})
	}
	for _, d := range m.deferred {
		m.sendRefused(d.stream, d.ask.GetId(), reasonCrashed, backendDownRetry)
		m.rememberEnded(now, d.ask.GetId(), false)
	}
	m.deferred = nil
	m.refuseUnsent(now, reasonCrashed, backendDownRetry, func(*attempt) bool { return true })
	for _, id := range m.sortedIDs() {
		if a := m.attempts[id]; a != nil {
			m.failOnCrash(now, a)
		}
	}
	m.isolatedID = ""

	return m.takeActions()
}

// failOnCrash ends an attempt whose work was sent to a backend server that crashed.
func (m *machine) failOnCrash(now time.Time, a *attempt) {
	switch {
	case a.stage == stageOver:
	case m.settings.plain:
		// Whether the service has received the call is only known when it ends.
		a.crashed = true
		m.addAction(action{kind: actAbort, id: a.id})
	case a.stage == stageCancelling:
		m.addAction(action{kind: actAbort, id: a.id})
		m.discardAttempt(now, a)
	default:
		m.addAction(action{kind: actAbort, id: a.id})
		status := wire.Status_STATUS_CRASHED
		m.sendFinal(now, a, endedReply(a.id, status, 0, "the backend server crashed"), status.String())
		m.releaseUnits(now, a)
	}
}

// BackendUp records that the backend server is running and holds no work.
func (m *machine) BackendUp() { m.backendUp = true }

// BeginDrain refuses new and queued asks with the reason. Granted attempts continue.
func (m *machine) BeginDrain(now time.Time, reason string) []action {
	if m.drainReason != "" {
		return nil
	}
	m.drainReason = reason
	text := reasonLeaving + ": " + reason
	for _, d := range m.deferred {
		m.sendRefused(d.stream, d.ask.GetId(), text, 0)
		m.rememberEnded(now, d.ask.GetId(), false)
	}
	m.deferred = nil
	m.refuseUnsent(now, text, 0, func(a *attempt) bool { return a.stage == stageQueued })

	return m.takeActions()
}

// RevokeAll ends all attempts.
func (m *machine) RevokeAll(now time.Time, reason string) []action {
	m.refuseUnsent(now, reason, 0, func(*attempt) bool { return true })
	for _, id := range m.sortedIDs() {
		if a := m.attempts[id]; a != nil {
			m.revoke(now, a, reason)
		}
	}

	return m.takeActions()
}

// EndDrain accepts new asks again after an operator has ended a drain.
func (m *machine) EndDrain() { m.drainReason = "" }

// Drained reports whether all attempts are finished and their final replies were sent.
// A final reply without a stream is kept for the lease timeout, in case the entry
// reconnects.
func (m *machine) Drained(now time.Time) bool {
	for _, a := range m.attempts {
		if a.active() || a.stream == nil && now.Sub(a.stageSince) < m.settings.leaseTimeout {
			return false
		}
	}

	return true
}

// CompareWork compares the ids of the work held by the engine with the attempts. The
// ids were listed after the time asked. It returns the ids of orphaned work and
// releases prefill results that the engine no longer holds, because they were evicted
// or handed over.
func (m *machine) CompareWork(now, asked time.Time, held []string) ([]string, []action) {
	var orphans []string
	for _, id := range held {
		a := m.attempts[id]
		if a == nil || a.stage == stageOver || !a.sent {
			orphans = append(orphans, id)
		}
	}
	for _, id := range m.sortedIDs() {
		a := m.attempts[id]
		if a == nil || a.stage != stageReady || a.phase != wire.Phase_PHASE_PREFILL ||
			!a.stageSince.Before(asked) || slices.Contains(held, id) {
			continue
		}
		a.finalReply = endedReply(id, wire.Status_STATUS_EVICTED, 0, "evicted")
		m.metrics.Ended(a, "done", now.Sub(a.createdAt))
		m.releaseUnits(now, a)
	}

	return orphans, m.takeActions()
}
