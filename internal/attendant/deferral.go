package attendant

import (
	"slices"
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

// deferredAsk is an ask that waits because a suspect has the server alone, or that
// is a suspect itself.
type deferredAsk struct {
	ask     *wire.Ask
	link    link
	suspect bool
	alone   time.Time // end of a suspect's wait for an idle server
	due     time.Time // of the ask
}

// enter submits an ask, or keeps it while a suspect has the server alone. A
// digest that was in flight at a crash runs alone if the server becomes idle
// soon, and otherwise as the only suspect beside others: a second crash then
// names it and not its neighbours.
func (k *keeper) enter(now time.Time, l link, ask *wire.Ask) {
	k.deferred = append(k.deferred, &deferredAsk{
		ask: ask, link: l, alone: now.Add(k.s.isolate),
		due:     now.Add(time.Duration(ask.GetDue()) * time.Millisecond),
		suspect: ask.GetAlone() || k.blamer.Suspect(now, ask.GetDigest()),
	})
	k.admitDeferred(now)
}

// idle reports whether no attempt waits for or has a part of the server.
func (k *keeper) idle() bool {
	for _, a := range k.attempts {
		if a.active() {
			return false
		}
	}

	return true
}

// suspectActive reports whether a suspect waits for or has a part of the server.
func (k *keeper) suspectActive() bool {
	for _, a := range k.attempts {
		if a.suspect && a.active() {
			return true
		}
	}

	return false
}

// admitDeferred submits what no longer has to wait.
func (k *keeper) admitDeferred(now time.Time) {
	waiting := k.deferred
	k.deferred = nil
	for _, p := range waiting {
		switch {
		case now.After(p.due):
			k.refuseDeferred(now, p)
		case k.solo != "":
			k.deferred = append(k.deferred, p)
		case !p.suspect:
			k.submit(now, p.link, p.ask, p.due, false)
		case k.idle():
			k.solo = p.ask.GetId()
			k.submit(now, p.link, p.ask, p.due, true)
		case !now.Before(p.alone) && !k.suspectActive():
			k.submit(now, p.link, p.ask, p.due, true)
		default:
			k.deferred = append(k.deferred, p)
		}
	}
}

func (k *keeper) refuseDeferred(now time.Time, p *deferredAsk) {
	k.refuse(p.link, p.ask.GetId(), reasonBusy, retryBusy)
	k.remember(now, p.ask.GetId(), false)
	k.observe.Refused(p.ask.GetRank(), reasonBusy)
}

// findDeferred returns the waiting ask of an id, or nil. A repeated ask must not wait
// twice, or its attempt would run twice.
func (k *keeper) findDeferred(id string) *deferredAsk {
	for _, p := range k.deferred {
		if p.ask.GetId() == id {
			return p
		}
	}

	return nil
}

func (k *keeper) unpen(id string) {
	k.deferred = slices.DeleteFunc(k.deferred, func(p *deferredAsk) bool { return p.ask.GetId() == id })
}
