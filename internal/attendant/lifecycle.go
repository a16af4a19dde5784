package attendant

import (
	"maps"
	"slices"
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

// Hello renews the lease of an entry process. An older process of the same name
// is gone, so its attempts end at once. It reports false for a process that is
// itself the older one.
func (k *keeper) Hello(now time.Time, entry string, epoch uint64) (bool, []action) {
	if epoch < k.epochs[entry] {
		return false, nil
	}
	if old := k.epochs[entry]; old != 0 && old != epoch {
		k.expire(now, leaseName(entry, old), reasonOld)
	}
	k.epochs[entry] = epoch
	k.leases[leaseName(entry, epoch)] = now

	return true, k.take()
}

// Renew extends the lease of an entry process. A lease that has ended stays
// ended for its attempts.
func (k *keeper) Renew(now time.Time, entry string, epoch uint64) {
	k.leases[leaseName(entry, epoch)] = now
}

// Tick ends what has expired.
func (k *keeper) Tick(now time.Time) []action {
	for entry, seen := range k.leases {
		if now.Sub(seen) > k.s.lease {
			k.expire(now, entry, "lease")
		}
	}
	// The keeper alone ends leases, as memory must not be granted again before
	// the engine has confirmed the cancellation.
	for _, id := range k.sorted() {
		a := k.attempts[id]
		if a.active() {
			k.queue.Renew(now, a.entry)
		} else if now.Sub(a.since) > k.s.linger {
			k.forget(now, a)
		}
	}
	k.decide(now, k.queue.Tick(now))
	k.admitDeferred(now)

	return k.take()
}

// expire ends every attempt of a lease.
func (k *keeper) expire(now time.Time, entry, reason string) {
	delete(k.leases, entry)
	k.deferred = slices.DeleteFunc(k.deferred, func(p *deferredAsk) bool {
		return leaseName(p.ask.GetEntry(), p.ask.GetEpoch()) == entry
	})
	k.dropUnsent(now, reason, 0, func(a *attempt) bool { return a.entry == entry })
	for _, id := range k.sorted() {
		if a := k.attempts[id]; a != nil && a.entry == entry {
			k.revoke(now, a, reason)
		}
	}
}

// dropUnsent refuses the attempts that match and have no work on the backend
// server. All are forgotten before the grant queue may give their units to
// others, as those others must not be among them.
func (k *keeper) dropUnsent(now time.Time, reason string, after time.Duration, match func(*attempt) bool) {
	var ids []string
	for _, id := range k.sorted() {
		if a := k.attempts[id]; a.active() && !a.sent && match(a) {
			k.forgetRefused(now, a, reason, after)
			ids = append(ids, id)
		}
	}
	for _, id := range ids {
		k.decide(now, k.queue.Withdraw(now, id))
	}
}

// sorted lists the ids of all attempts, so that equal events have equal results.
func (k *keeper) sorted() []string { return slices.Sorted(maps.Keys(k.attempts)) }

// Down handles a crash of the backend server: what ran on it ends at once, and
// what waits for it is refused.
func (k *keeper) Down(now time.Time) []action {
	if !k.up {
		return nil
	}
	k.up = false
	k.observe.Crashed()
	if digests := k.blamer.Crash(now); len(digests) > 0 {
		k.do(action{kind: actBlame, digests: digests})
	}
	for _, p := range k.deferred {
		k.refuse(p.link, p.ask.GetId(), reasonCrashed, retryDown)
		k.remember(now, p.ask.GetId(), false)
	}
	k.deferred = nil
	k.dropUnsent(now, reasonCrashed, retryDown, func(*attempt) bool { return true })
	for _, id := range k.sorted() {
		if a := k.attempts[id]; a != nil {
			k.crash(now, a)
		}
	}
	k.solo = ""

	return k.take()
}

func (k *keeper) crash(now time.Time, a *attempt) {
	switch {
	case a.stage == stageOver:
	case k.s.plain:
		// Only the end of the call tells whether the service has seen it.
		a.crashed = true
		k.do(action{kind: actDrop, id: a.id})
	case a.stage == stageCancelling:
		k.do(action{kind: actDrop, id: a.id})
		k.gone(now, a)
	default:
		k.do(action{kind: actDrop, id: a.id})
		status := wire.Status_STATUS_CRASHED
		k.finish(now, a, endedReply(a.id, status, 0, "the backend server crashed"), status.String())
		k.release(now, a)
	}
}

// Up says that the backend server runs and holds nothing.
func (k *keeper) Up() { k.up = true }

// Leave refuses new asks and those that wait; grants go on to their end.
func (k *keeper) Leave(now time.Time, reason string) []action {
	if k.leaving != "" {
		return nil
	}
	k.leaving = reason
	text := reasonLeaving + ": " + reason
	for _, p := range k.deferred {
		k.refuse(p.link, p.ask.GetId(), text, 0)
		k.remember(now, p.ask.GetId(), false)
	}
	k.deferred = nil
	k.dropUnsent(now, text, 0, func(a *attempt) bool { return a.stage == stageQueued })

	return k.take()
}

// Return takes new asks again after an operator's drain.
func (k *keeper) Return() { k.leaving = "" }

// Idle reports whether no attempt is unfinished, and every final reply had a
// stream to go to or has waited for one long enough.
func (k *keeper) Idle(now time.Time) bool {
	for _, a := range k.attempts {
		if a.active() || a.link == nil && now.Sub(a.since) < k.s.lease {
			return false
		}
	}

	return true
}

// Sweep compares the work of the engine, listed after the time asked, with the
// attempts. It returns the ids that the engine should not hold, and releases
// prefill results that the engine has evicted or handed over.
func (k *keeper) Sweep(now, asked time.Time, held []string) ([]string, []action) {
	var orphans []string
	for _, id := range held {
		a := k.attempts[id]
		if a == nil || a.stage == stageOver || !a.sent {
			orphans = append(orphans, id)
		}
	}
	for _, id := range k.sorted() {
		a := k.attempts[id]
		if a == nil || a.stage != stageReady || a.phase != wire.Phase_PHASE_PREFILL ||
			!a.since.Before(asked) || slices.Contains(held, id) {
			continue
		}
		a.final = endedReply(id, wire.Status_STATUS_EVICTED, 0, "evicted")
		k.observe.Ended(a, "done", now.Sub(a.began))
		k.release(now, a)
	}

	return orphans, k.take()
}
