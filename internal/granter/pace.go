package granter

import (
	"slices"
	"time"
)

// Pace limits the units in grants of a server that has just started or recovered.
type Pace interface {
	// Limit returns the limit, and false if there is none.
	Limit(now time.Time) (units float64, limited bool)
	// Admits reports whether more units may be granted.
	Admits(now time.Time, granted, more float64) bool
	// Until estimates the time until the limit reaches the given units.
	Until(now time.Time, units float64) time.Duration
}

// grantedUnits returns the number of units in grants.
func (g *Granter) grantedUnits() int {
	n := 0
	for _, att := range g.grants {
		n += att.units
	}

	return n
}

// paceAdmits reports whether the pace of the server admits an ask that fits otherwise.
func (g *Granter) paceAdmits(now time.Time, att *attempt) bool {
	return g.s.Pace == nil || g.s.Pace.Admits(now, float64(g.grantedUnits()), float64(att.units))
}

// pacedLoad lowers the units of a load to those that the pace of the server admits. The total
// is lowered as well, so that entries do not take the server for an occupied one.
func (g *Granter) pacedLoad(now time.Time, l Load) Load {
	if g.s.Pace == nil {
		return l
	}
	if limit, limited := g.s.Pace.Limit(now); limited {
		l.Total = min(l.Total, max(int(limit), 1))
		l.Free = min(l.Free, max(l.Total-g.grantedUnits(), 0))
	}

	return l
}

// timeUntilFree returns the time until the given number of units can be granted if work (in
// unit-seconds) is waiting ahead.
func (g *Granter) timeUntilFree(now time.Time, units int, work float64) time.Duration {
	wait := g.timeUntilReleased(now, units, work)
	if g.s.Pace == nil {
		return wait
	}
	granted := g.grantedUnits()
	idle := granted == 0 && !slices.ContainsFunc(g.queues, func(q *rankQueue) bool { return len(q.waiting) > 0 })
	if idle {
		// One ask, whatever its size, is admitted at once.
		return wait
	}

	return max(wait, g.s.Pace.Until(now, float64(min(granted+units, g.s.units()))))
}
