package granter

import (
	"math"
	"slices"
	"time"
)

// shortest is the least time to retry that a refusal names, so that callers do
// not return within one report interval of the queue.
const shortest = 100 * time.Millisecond

func (g *Granter) resize() {
	n := len(g.s.Ranks)
	for len(g.classes) < n {
		g.classes = append(g.classes, &class{callers: map[string]*meter{}})
	}
	for _, c := range g.classes[n:] {
		for _, it := range c.waiting {
			it.Rank = n - 1
			g.classes[n-1].add(it)
		}
	}
	for _, it := range g.held {
		it.Rank = min(it.Rank, n-1)
	}
	g.classes = g.classes[:n]
}

func (g *Granter) decay(d time.Duration) float64 {
	return math.Exp(-d.Seconds() / g.s.Window.Seconds())
}

// free is the number of units neither occupied nor promised.
func (g *Granter) free() int {
	n := g.s.units()
	for _, it := range g.held {
		n -= it.units
	}

	return max(n, 0)
}

// serve firms up promises, then grants waiting asks while they fit.
func (g *Granter) serve(now time.Time) {
	g.confirm(now)
	for {
		it := g.next(now)
		if it == nil {
			return
		}
		if now.After(it.Due) {
			g.drop(now, it)
			g.say(it, Refused, ReasonDeadline, max(g.wait(now, it), shortest))

			continue
		}
		if !g.fits(now, it) {
			if wait := g.until(now, it.units, 0); now.Add(wait).After(it.Due.Add(it.Hold)) {
				g.drop(now, it)
				g.say(it, Refused, ReasonDeadline, max(wait, shortest))

				continue
			}

			return
		}
		g.grant(now, it)
	}
}

// confirm gives free units to the promises whose dispatch is waiting.
func (g *Granter) confirm(now time.Time) {
	for {
		var best *item
		for _, it := range g.held {
			if it.state == wanted && (best == nil || it.Rank < best.Rank) {
				best = it
			}
		}
		if best == nil || best.units > g.s.units()-g.used {
			return
		}
		g.occupy(now, best)
		g.say(best, Firm, "", 0)
	}
}

// next returns the waiting ask to be granted first: of the rank that is
// furthest under its floor, else of the most urgent rank.
func (g *Granter) next(now time.Time) *item {
	var first *class
	var rank int
	worst := 1.0
	for r, c := range g.classes {
		if len(c.waiting) == 0 {
			continue
		}
		if first == nil {
			first, rank = c, r
		}
		if d := g.deficit(now, r); d < worst {
			worst = d
			first, rank = c, r
		}
	}
	if first == nil {
		return nil
	}
	for _, it := range first.waiting {
		if !g.over(now, rank, it.Caller, first.typical) {
			return it
		}
	}

	return first.waiting[0]
}

// floorMargin raises the floors for the grants that are withdrawn or whose
// answers come late: they count as granted, but serve nobody.
const floorMargin = 1.1

// deficit is the work lately granted to a rank, relative to its floor: below 1
// the rank has had less. A rank without a floor has no deficit.
func (g *Granter) deficit(now time.Time, rank int) float64 {
	var total float64
	for _, c := range g.classes {
		total += c.served.read(now, g.decay)
	}
	floor := floorMargin * float64(g.s.Ranks[rank].Floor) / 100 * total
	if floor <= 0 {
		return 1
	}

	return g.classes[rank].served.value / floor
}

// over tells whether a caller has more than its share of the rank, once more
// work is granted to it. The typical work of a grant stands for that of the next
// one: with its own work, long prompts would always come last.
func (g *Granter) over(now time.Time, rank int, caller string, more float64) bool {
	c := g.classes[rank]
	m := c.callers[caller]
	if m == nil {
		return false
	}
	share := float64(g.s.Ranks[rank].Share) / 100

	return m.read(now, g.decay)+more > share*(c.served.read(now, g.decay)+more)
}

func (g *Granter) grant(now time.Time, it *item) {
	c := g.classes[it.Rank]
	c.remove(it)
	c.charge(now, it, g.decay)
	g.held = append(g.held, it)
	it.began = now
	it.firm = now.Add(it.Hold)
	it.end = it.firm.Add(it.Cost)
	it.state = promised
	if it.Hold == 0 {
		g.occupy(now, it)
	}
	g.say(it, Granted, "", 0)
}

func (g *Granter) occupy(now time.Time, it *item) {
	it.state = used
	it.firm = now
	it.end = now.Add(it.Cost)
	g.used += it.units
	g.chain(now)
}

// chain sets the expected ends of a serial server, where each grant starts
// when the one before it ends.
func (g *Granter) chain(now time.Time) {
	if !g.s.Serial {
		return
	}
	end := now
	for i, it := range g.held {
		if i == 0 {
			if it.end.After(now) {
				end = it.end
			}

			continue
		}
		end = end.Add(it.Cost)
		it.end = end
	}
}

func (g *Granter) drop(now time.Time, it *item) {
	delete(g.items, it.ID)
	if it.state == waiting {
		g.classes[it.Rank].remove(it)

		return
	}
	i := slices.Index(g.held, it)
	g.held = slices.Delete(g.held, i, i+1)
	if it.state == used {
		g.used -= it.units
	}
	if g.s.Serial && i == 0 && len(g.held) > 0 {
		g.held[0].end = now.Add(g.held[0].Cost)
		g.chain(now)
	}
}

// evict makes room in a full queue for an ask of a caller within its share by
// refusing waiting asks of callers that are over theirs, the latest first.
func (g *Granter) evict(now time.Time, it *item) bool {
	if g.over(now, it.Rank, it.Caller, 0) {
		return false
	}
	c := g.classes[it.Rank]
	limit := g.s.Queue.Seconds() * g.s.rate()
	for i := len(c.waiting) - 1; i >= 0 && c.work+it.work > limit; i-- {
		if w := c.waiting[i]; g.over(now, it.Rank, w.Caller, 0) {
			g.drop(now, w)
			g.say(w, Refused, ReasonQueue, max(g.wait(now, w), shortest))
		}
	}

	return c.work+it.work <= limit
}

// expire revokes the grants of silent entries and refuses asks past their due
// time.
func (g *Granter) expire(now time.Time) {
	for entry, seen := range g.entries {
		if now.Sub(seen) <= g.s.Lease {
			continue
		}
		delete(g.entries, entry)
		for _, it := range slices.Clone(g.held) {
			if it.Entry == entry {
				g.drop(now, it)
				g.say(it, Revoked, ReasonLease, 0)
			}
		}
		for _, c := range g.classes {
			for _, it := range slices.Clone(c.waiting) {
				if it.Entry == entry {
					g.drop(now, it)
					g.say(it, Refused, ReasonLease, 0)
				}
			}
		}
	}
	for _, c := range g.classes {
		for _, it := range slices.Clone(c.waiting) {
			if now.After(it.Due) {
				g.drop(now, it)
				g.say(it, Refused, ReasonDeadline, max(g.wait(now, it), shortest))
			}
		}
	}
}
