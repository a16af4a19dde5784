package granter

import (
	"slices"
	"time"

	"github.com/damasklever/damasklever/internal/sharer"
)

// minRetryAfter is the shortest Decision.After of a refusal, so that callers do not
// retry within one report interval of the queue.
const minRetryAfter = 100 * time.Millisecond

// applyRanks adjusts the queues to Settings.Ranks. Asks and grants of a rank that no
// longer exists move to the last one.
func (g *Granter) applyRanks() {
	n := len(g.s.Ranks)
	for len(g.queues) < n {
		g.queues = append(g.queues, &rankQueue{sharer: sharer.New(g.s.shareWindow())})
	}
	for _, q := range g.queues {
		q.sharer.SetWindow(g.s.shareWindow())
	}
	for _, q := range g.queues[n:] {
		for _, att := range q.waiting {
			att.Rank = n - 1
			g.queues[n-1].add(att)
		}
	}
	for _, att := range g.grants {
		att.Rank = min(att.Rank, n-1)
	}
	g.queues = g.queues[:n]
}

// freeUnits returns the number of units that are neither in use nor reserved.
func (g *Granter) freeUnits() int {
	n := g.s.units()
	for _, att := range g.grants {
		n -= att.units
	}

	return max(n, 0)
}

// grantWaiting confirms reservations whose dispatch waits for units, then grants
// waiting asks while they fit.
func (g *Granter) grantWaiting(now time.Time) {
	g.confirmReserved(now)
	for {
		att := g.nextWaiting(now)
		if att == nil {
			return
		}
		if now.After(att.Due) {
			g.deleteAttempt(now, att)
			g.decide(att, Refused, ReasonDeadline, max(g.expectedWait(now, att), minRetryAfter))

			continue
		}
		if !g.fits(now, att) {
			if expectedWait := g.timeUntilFree(now, att.units, 0); now.Add(expectedWait).After(att.Due.Add(att.Hold)) {
				g.deleteAttempt(now, att)
				g.decide(att, Refused, ReasonDeadline, max(expectedWait, minRetryAfter))

				continue
			}

			return
		}
		g.grant(now, att)
	}
}

// confirmReserved assigns free units to the reservations whose dispatch waits for
// them, the most urgent rank first.
func (g *Granter) confirmReserved(now time.Time) {
	for {
		var best *attempt
		for _, att := range g.grants {
			if att.state == awaitingUnits && (best == nil || att.Rank < best.Rank) {
				best = att
			}
		}
		if best == nil || best.units > g.s.units()-g.inUse {
			return
		}
		g.occupy(now, best)
		g.decide(best, Confirmed, "", 0)
	}
}

// nextWaiting returns the waiting ask to be granted next: of the rank that is furthest
// below its floor, otherwise of the most urgent rank. Within the rank, callers within
// their share come first, or the one with the least work if the rank is divided among them.
func (g *Granter) nextWaiting(now time.Time) *attempt {
	var first *rankQueue
	var rank int
	worst := 1.0
	for r, q := range g.queues {
		if len(q.waiting) == 0 {
			continue
		}
		if first == nil {
			first, rank = q, r
		}
		if d := g.floorRatio(now, r); d < worst {
			worst = d
			first, rank = q, r
		}
	}
	if first == nil {
		return nil
	}
	if g.s.FairWindow > 0 {
		return first.waiting[first.sharer.Next(now, first, first.typicalWork)]
	}
	for _, att := range first.waiting {
		if !g.overShare(now, rank, att.Caller, first.typicalWork) {
			return att
		}
	}

	return first.waiting[0]
}

// floorMargin is the factor by which floors are raised. It compensates for grants that
// are withdrawn or whose answers come too late: they count as granted work, but serve
// no caller.
const floorMargin = 1.1

// floorRatio returns the work recently granted to a rank divided by its floor. The
// result is below 1 if the rank has received less than its floor, and 1 for a rank
// without a floor.
func (g *Granter) floorRatio(now time.Time, rank int) float64 {
	var total float64
	for _, q := range g.queues {
		total += q.grantedWork.At(now, g.s.Window)
	}
	floor := floorMargin * float64(g.s.Ranks[rank].Floor) / 100 * total
	if floor <= 0 {
		return 1
	}

	return g.queues[rank].grantedWork.At(now, g.s.Window) / floor
}

// overShare reports whether a caller exceeds its share of the rank once more work is
// granted to it. nextWaiting passes the typical work of a grant rather than the work of
// the next ask, with which long prompts would always come last.
func (g *Granter) overShare(now time.Time, rank int, caller string, more float64) bool {
	q := g.queues[rank]
	share := float64(g.s.Ranks[rank].Share) / 100

	return q.sharer.ExceedsLimit(now, caller, more, share, q.grantedWork.At(now, g.s.Window))
}

// grant grants a waiting ask, as a reservation if it has a Hold.
func (g *Granter) grant(now time.Time, att *attempt) {
	q := g.queues[att.Rank]
	q.remove(att)
	q.account(now, att, g.s.Window)
	g.grants = append(g.grants, att)
	att.grantedAt = now
	att.startTime = now.Add(att.Hold)
	att.expectedEnd = att.startTime.Add(att.Cost)
	att.state = reserved
	if att.Hold == 0 {
		g.occupy(now, att)
	}
	g.decide(att, Granted, "", 0)
}

// occupy marks the units of a grant as in use from now on.
func (g *Granter) occupy(now time.Time, att *attempt) {
	att.state = inUse
	att.startTime = now
	att.expectedEnd = now.Add(att.Cost)
	g.inUse += att.units
	g.updateSerialEnds(now)
}

// updateSerialEnds sets the expected ends of the grants of a serial server, on which
// each grant starts when the previous one ends.
func (g *Granter) updateSerialEnds(now time.Time) {
	if !g.s.Serial {
		return
	}
	expectedEnd := now
	for i, att := range g.grants {
		if i == 0 {
			if att.expectedEnd.After(now) {
				expectedEnd = att.expectedEnd
			}

			continue
		}
		expectedEnd = expectedEnd.Add(att.Cost)
		att.expectedEnd = expectedEnd
	}
}

// deleteAttempt removes an ask from its queue, or a grant and frees its units.
func (g *Granter) deleteAttempt(now time.Time, att *attempt) {
	delete(g.attempts, att.ID)
	if att.state == waiting {
		g.queues[att.Rank].remove(att)

		return
	}
	i := slices.Index(g.grants, att)
	g.grants = slices.Delete(g.grants, i, i+1)
	if att.state == inUse {
		g.inUse -= att.units
	}
	if g.s.Serial && i == 0 && len(g.grants) > 0 {
		g.grants[0].expectedEnd = now.Add(g.grants[0].Cost)
		g.updateSerialEnds(now)
	}
}

// evictOverShare makes room in a full queue for an ask of a caller within its share. It
// refuses waiting asks of callers over their share, the last in the queue first, and
// reports whether there is enough room.
func (g *Granter) evictOverShare(now time.Time, att *attempt) bool {
	if g.s.FairWindow > 0 {
		return g.evictMost(now, att)
	}
	if g.overShare(now, att.Rank, att.Caller, 0) {
		return false
	}
	q := g.queues[att.Rank]
	limit := g.s.MaxQueuedWork.Seconds() * g.s.workRate()
	for i := len(q.waiting) - 1; i >= 0 && q.work+att.work > limit; i-- {
		if w := q.waiting[i]; g.overShare(now, att.Rank, w.Caller, 0) {
			g.deleteAttempt(now, w)
			g.decide(w, Refused, ReasonQueue, max(g.expectedWait(now, w), minRetryAfter))
		}
	}

	return q.work+att.work <= limit
}

// evictMost makes room in a full queue by refusing asks of the callers with the most work.
func (g *Granter) evictMost(now time.Time, att *attempt) bool {
	q := g.queues[att.Rank]
	limit := g.s.MaxQueuedWork.Seconds() * g.s.workRate()
	for q.work+att.work > limit {
		i := q.sharer.Evict(now, q, att.share())
		if i < 0 {
			return false
		}
		w := q.waiting[i]
		g.deleteAttempt(now, w)
		g.decide(w, Refused, ReasonQueue, max(g.expectedWait(now, w), minRetryAfter))
	}

	return true
}

// expireLeases revokes the grants and refuses the asks of entries whose lease has
// expired, and refuses asks past their due time.
func (g *Granter) expireLeases(now time.Time) {
	for entry, seen := range g.lastSeen {
		if now.Sub(seen) <= g.s.Lease {
			continue
		}
		delete(g.lastSeen, entry)
		for _, att := range slices.Clone(g.grants) {
			if att.Entry == entry {
				g.deleteAttempt(now, att)
				g.decide(att, Revoked, ReasonLease, 0)
			}
		}
		for _, q := range g.queues {
			for _, att := range slices.Clone(q.waiting) {
				if att.Entry == entry {
					g.deleteAttempt(now, att)
					g.decide(att, Refused, ReasonLease, 0)
				}
			}
		}
	}
	for _, q := range g.queues {
		for _, att := range slices.Clone(q.waiting) {
			if now.After(att.Due) {
				g.deleteAttempt(now, att)
				g.decide(att, Refused, ReasonDeadline, max(g.expectedWait(now, att), minRetryAfter))
			}
		}
	}
}
