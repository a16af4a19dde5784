package granter

import (
	"math"
	"slices"
	"time"
)

// release is the expected end of a grant.
type release struct {
	at    time.Time
	units int
}

// updateReleases fills g.releases with the expected ends of all grants in order of
// time.
func (g *Granter) updateReleases(now time.Time) {
	g.releases = g.releases[:0]
	for _, att := range g.grants {
		expectedEnd := att.expectedEnd
		if !g.s.Serial {
			expectedEnd = g.estimatedEnd(now, att)
		}
		g.releases = append(g.releases, release{at: expectedEnd, units: att.units})
	}
	slices.SortFunc(g.releases, func(a, b release) int { return a.at.Compare(b.at) })
}

// estimatedEnd returns the expected end of a grant according to the durations of
// recent work.
func (g *Granter) estimatedEnd(now time.Time, att *attempt) time.Time {
	if att.Cost <= 0 {
		return now
	}
	from, age := att.startTime, 0.0
	if att.state == inUse {
		from, age = now, float64(now.Sub(att.startTime))/float64(att.Cost)
	}

	return from.Add(time.Duration(g.durations.expectedRemaining(age) * float64(att.Cost)))
}

// fits reports whether an ask can be granted now. A grant without Ask.Hold needs units
// that are neither in use nor reserved. A reservation may also count on the units that
// are expected to be released before its dispatch, less a margin of
// Settings.ReleaseMargin standard deviations.
func (g *Granter) fits(now time.Time, att *attempt) bool {
	if !g.fitsMemory(att) {
		return false
	}
	free := float64(g.s.units())
	var released, variance float64
	for _, grant := range g.grants {
		units := float64(grant.units)
		free -= units
		if att.Hold == 0 || grant.state != inUse || grant.Cost <= 0 {
			continue
		}
		cost := float64(grant.Cost)
		p := g.durations.endProbability(float64(now.Sub(grant.startTime))/cost, float64(att.Hold)/cost)
		released += p * units
		variance += p * (1 - p) * units * units
	}

	free -= float64(g.headroom(now, att))

	return float64(att.units) <= free+max(released-g.s.ReleaseMargin*math.Sqrt(variance), 0) && g.paceAdmits(now, att)
}

// fitsMemory reports whether the memory blocks of an ask fit into Settings.MemoryBlocks
// together with those of all grants and kept results.
func (g *Granter) fitsMemory(att *attempt) bool {
	if g.s.Slots == 0 || g.s.MemoryBlocks == 0 {
		return true
	}
	blocks := att.Pieces
	for _, grant := range g.grants {
		blocks += grant.Pieces
	}
	for _, n := range g.kept {
		blocks += n
	}

	return blocks <= g.s.MemoryBlocks
}

// headroom returns the number of units that an ask must leave free for expected asks
// of more urgent ranks, because running work is never preempted for them. It is 0 for
// a rank that has received less than its floor and for an ask whose prefill is done.
func (g *Granter) headroom(now time.Time, att *attempt) int {
	if g.s.Slots > 0 || att.Hold == 0 || g.floorRatio(now, att.Rank) < 1 {
		return 0
	}
	for _, q := range g.queues[:att.Rank] {
		if !q.lastAsk.IsZero() && now.Sub(q.lastAsk) < g.s.Window {
			return g.s.units() * g.s.Headroom / 100
		}
	}

	return 0
}

// expectedWait estimates how long an ask waits until it can be dispatched. Asks of
// more urgent ranks and those of its own rank with an earlier deadline come first, but
// the wait is never longer than the floor of its rank allows. Asks of callers over
// their share do not delay those of other callers.
func (g *Granter) expectedWait(now time.Time, att *attempt) time.Duration {
	var units int
	var work, urgentWork float64
	for r := range att.Rank {
		urgentWork += g.queues[r].work
		for _, w := range g.queues[r].waiting {
			units += w.units
		}
	}
	rankUnits, rankWork := g.aheadInRank(now, att)
	units += rankUnits
	work = urgentWork + rankWork
	expectedWait := g.timeUntilFree(now, units+att.units, work/g.availableFraction(att.Rank))
	if floor := float64(g.s.Ranks[att.Rank].Floor) / 100; floor > 0 && urgentWork > 0 {
		expectedWait = min(expectedWait, g.timeUntilFree(now, att.units, rankWork/floor))
	}

	return expectedWait
}

// aheadInRank returns the units and the work of the asks of the same rank that are granted
// before att. An ask without a caller stands for any caller.
func (g *Granter) aheadInRank(now time.Time, att *attempt) (units int, work float64) {
	q := g.queues[att.Rank]
	count := func(i int) {
		work += q.waiting[i].work
		units += q.waiting[i].units
	}
	place := 0
	for place < len(q.waiting) && q.waiting[place].before(att) {
		place++
	}
	if g.s.FairWindow > 0 && att.Caller != "" {
		q.sharer.Ahead(now, q, att.share(), place, q.typicalWork, count)

		return units, work
	}
	overShare := g.overShare(now, att.Rank, att.Caller, 0)
	for i, w := range q.waiting[:place] {
		if overShare || w.Caller == att.Caller || !g.overShare(now, att.Rank, w.Caller, 0) {
			count(i)
		}
	}

	return units, work
}

// availableFraction returns the fraction of the server that remains for rank and the
// more urgent ones after the floors of all less urgent ranks with waiting asks.
func (g *Granter) availableFraction(rank int) float64 {
	p := 1.0
	for r := rank + 1; r < len(g.queues); r++ {
		if len(g.queues[r].waiting) > 0 {
			p -= float64(g.s.Ranks[r].Floor) / 100
		}
	}

	return max(p, 0.05)
}

// timeUntilReleased returns the time until the given number of units is free if work (in
// unit-seconds) is waiting ahead.
func (g *Granter) timeUntilReleased(now time.Time, units int, work float64) time.Duration {
	queued := time.Duration(work / g.s.workRate() * float64(time.Second))
	freeUnits := g.freeUnits()
	if !g.s.Serial && units <= freeUnits {
		return 0
	}
	g.updateReleases(now)
	var last time.Duration
	for _, r := range g.releases {
		last = r.at.Sub(now)
		freeUnits += r.units
		if !g.s.Serial && freeUnits >= units {
			return max(last, 0)
		}
	}
	if g.s.Serial {
		return max(last, 0) + queued
	}
	var rest float64
	for _, att := range g.grants {
		rest += max(g.estimatedEnd(now, att).Sub(now).Seconds(), 0) * float64(att.units)
	}

	return max(last, time.Duration(rest/g.s.workRate()*float64(time.Second))+queued)
}
