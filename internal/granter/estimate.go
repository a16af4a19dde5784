package granter

import (
	"math"
	"slices"
	"time"
)

// event is a change of the free units that is expected at a time.
type event struct {
	at    time.Time
	units int
}

// timeline fills events with the expected releases in order of time.
func (g *Granter) timeline(now time.Time) {
	g.events = g.events[:0]
	for _, it := range g.held {
		end := it.end
		if !g.s.Serial {
			end = g.ends(now, it)
		}
		g.events = append(g.events, event{at: end, units: it.units})
	}
	slices.SortFunc(g.events, func(a, b event) int { return a.at.Compare(b.at) })
}

// ends is the expected end of a grant by what similar work took lately.
func (g *Granter) ends(now time.Time, it *item) time.Time {
	if it.Cost <= 0 {
		return now
	}
	from, age := it.firm, 0.0
	if it.state == used {
		from, age = now, float64(now.Sub(it.firm))/float64(it.Cost)
	}

	return from.Add(time.Duration(g.life.rest(age) * float64(it.Cost)))
}

// fits tells whether an ask can be granted now. A grant for at once needs units
// that are neither occupied nor promised. A promise may count on releases until
// it becomes firm, less Settings.Caution standard deviations.
func (g *Granter) fits(now time.Time, it *item) bool {
	if !g.remembers(it) {
		return false
	}
	free := float64(g.s.units())
	var released, variance float64
	for _, h := range g.held {
		units := float64(h.units)
		free -= units
		if it.Hold == 0 || h.state != used || h.Cost <= 0 {
			continue
		}
		cost := float64(h.Cost)
		p := g.life.ends(float64(now.Sub(h.firm))/cost, float64(it.Hold)/cost)
		released += p * units
		variance += p * (1 - p) * units * units
	}

	free -= float64(g.headroom(now, it))

	return float64(it.units) <= free+max(released-g.s.Caution*math.Sqrt(variance), 0)
}

// remembers tells whether the pieces of an ask fit beside those of the grants
// and the kept results, where Settings.Memory bounds them.
func (g *Granter) remembers(it *item) bool {
	if g.s.Slots == 0 || g.s.Memory == 0 {
		return true
	}
	pieces := it.Pieces
	for _, h := range g.held {
		pieces += h.Pieces
	}
	for _, n := range g.kept {
		pieces += n
	}

	return pieces <= g.s.Memory
}

// headroom is the number of units kept free for the asks of more urgent ranks
// that are expected, because running work is never interrupted for them. A rank
// below its floor need not leave any, nor an ask whose prefill is done.
func (g *Granter) headroom(now time.Time, it *item) int {
	if g.s.Slots > 0 || it.Hold == 0 || g.deficit(now, it.Rank) < 1 {
		return 0
	}
	for _, c := range g.classes[:it.Rank] {
		if !c.asked.IsZero() && now.Sub(c.asked) < g.s.Window {
			return g.s.units() * g.s.Headroom / 100
		}
	}

	return 0
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
	over := g.over(now, it.Rank, it.Caller, 0)
	for _, w := range g.classes[it.Rank].waiting {
		if !w.before(it) {
			break
		}
		if !over && w.Caller != it.Caller && g.over(now, it.Rank, w.Caller, 0) {
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
	g.timeline(now)
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
		rest += max(g.ends(now, it).Sub(now).Seconds(), 0) * float64(it.units)
	}

	return max(last, time.Duration(rest/g.s.rate()*float64(time.Second))+queued)
}
