package attendant

import (
	"slices"
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

// penned is an ask that waits because a suspect runs alone, or a suspect that
// waits for an idle server.
type penned struct {
	ask   *wire.Ask
	link  link
	alone bool
	due   time.Time // end of the wait
	until time.Time // the ask's own due time
}

// enter submits an ask, or keeps it while a suspect has the server alone. A
// digest that was in flight at a crash runs alone, so that a second crash names
// it and not its neighbours.
func (k *keeper) enter(now time.Time, l link, ask *wire.Ask) {
	due := now.Add(time.Duration(ask.GetDue()) * time.Millisecond)
	alone := ask.GetAlone() || k.blamer.Suspect(now, ask.GetDigest())
	switch {
	case alone && !k.idle():
		k.pen = append(k.pen, &penned{ask: ask, link: l, alone: true, until: due, due: earliest(due, now.Add(k.s.isolate))})
	case alone:
		k.solo = ask.GetId()
		k.submit(now, l, ask, due, true)
	case k.solo != "":
		k.pen = append(k.pen, &penned{ask: ask, link: l, due: due, until: due})
	default:
		k.submit(now, l, ask, due, false)
	}
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

// admitPen submits what no longer has to wait.
func (k *keeper) admitPen(now time.Time) {
	waiting := k.pen
	k.pen = nil
	for i, p := range waiting {
		switch {
		case now.After(p.due):
			k.refusePenned(now, p)
		case p.alone && k.solo == "" && k.idle():
			k.solo = p.ask.GetId()
			k.submit(now, p.link, p.ask, p.until, true)
		case !p.alone && k.solo == "":
			k.submit(now, p.link, p.ask, p.until, false)
		default:
			k.pen = append(k.pen, waiting[i])
		}
	}
}

func (k *keeper) refusePenned(now time.Time, p *penned) {
	k.refuse(p.link, p.ask.GetId(), reasonBusy, retryBusy)
	k.remember(now, p.ask.GetId(), false)
	k.observe.Refused(p.ask.GetRank(), reasonBusy)
}

func (k *keeper) unpen(id string) {
	k.pen = slices.DeleteFunc(k.pen, func(p *penned) bool { return p.ask.GetId() == id })
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}

	return b
}
