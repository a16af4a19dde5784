package granter

import (
	"slices"
	"time"
)

// event is a change of the free units that is expected at a time.
type event struct {
	at    time.Time
	units int
}

// timeline fills events with the expected releases and, if firms is set, the
// promises that become firm, in order of time. Releases come before firm
// promises of the same time.
func (g *Granter) timeline(now time.Time, firms bool) {
	g.events = g.events[:0]
	for _, it := range g.held {
		end := it.end
		if over := now.Sub(end); over >= 0 {
			end = now.Add(time.Duration(residual * float64(it.Cost)))
		}
		g.events = append(g.events, event{at: end, units: it.units})
		if firms && it.state != used {
			firm := it.firm
			if firm.Before(now) {
				firm = now
			}
			g.events = append(g.events, event{at: firm, units: -it.units})
		}
	}
	slices.SortFunc(g.events, func(a, b event) int {
		if d := a.at.Compare(b.at); d != 0 {
			return d
		}

		return b.units - a.units
	})
}

// fits tells whether an ask can be granted now: its units must be free from
// the time it becomes firm, without taking those of promises made before.
func (g *Granter) fits(now time.Time, it *item) bool {
	free := g.s.units() - g.used
	if it.Hold == 0 && it.units > free {
		return false
	}
	if it.units <= g.free() {
		return true
	}
	g.timeline(now, true)
	firm := now.Add(it.Hold)
	end := firm.Add(it.Cost)
	checked := false
	for _, e := range g.events {
		if !checked && e.at.After(firm) {
			if free < it.units {
				return false
			}
			checked = true
		}
		if e.at.After(end) {
			break
		}
		free += e.units
		if checked && e.units < 0 && free < it.units {
			return false
		}
	}

	return checked || free >= it.units
}

// wait estimates how long an ask waits until it can be dispatched: behind the
// more urgent ranks and the earlier deadlines of its own, but never longer than
// its rank's floor allows. Asks of callers over their share do not delay those
// of others.
func (g *Granter) wait(now time.Time, it *item) time.Duration {
	var units int
	var work, above float64
	for r := range it.Rank {
		above += g.classes[r].work
		for _, w := range g.classes[r].waiting {
			units += w.units
		}
	}
	var own float64
	over := g.over(now, it.Rank, it.Caller)
	for _, w := range g.classes[it.Rank].waiting {
		if w.Due.After(it.Due) {
			break
		}
		if !over && w.Caller != it.Caller && g.over(now, it.Rank, w.Caller) {
			continue
		}
		own += w.work
		units += w.units
	}
	work = above + own
	wait := g.until(now, units+it.units, work/g.portion(it.Rank))
	if floor := float64(g.s.Ranks[it.Rank].Floor) / 100; floor > 0 && above > 0 {
		wait = min(wait, g.until(now, it.units, own/floor))
	}

	return wait
}

// portion is the part of the server left to the ranks up to rank when the
// floors of the waiting ranks below it are served.
func (g *Granter) portion(rank int) float64 {
	p := 1.0
	for r := rank + 1; r < len(g.classes); r++ {
		if len(g.classes[r].waiting) > 0 {
			p -= float64(g.s.Ranks[r].Floor) / 100
		}
	}

	return max(p, 0.05)
}

// until is the time after which units have become free, when work unit-seconds
// are waiting ahead.
func (g *Granter) until(now time.Time, units int, work float64) time.Duration {
	queued := time.Duration(work / g.s.rate() * float64(time.Second))
	free := g.free()
	if !g.s.Serial && units <= free {
		return 0
	}
	g.timeline(now, false)
	var last time.Duration
	for _, e := range g.events {
		last = e.at.Sub(now)
		free += e.units
		if !g.s.Serial && free >= units {
			return max(last, 0)
		}
	}
	if g.s.Serial {
		return max(last, 0) + queued
	}
	var rest float64
	for _, it := range g.held {
		rest += max(it.end.Sub(now).Seconds(), 0) * float64(it.units)
	}

	return max(last, time.Duration(rest/g.s.rate()*float64(time.Second))+queued)
}
