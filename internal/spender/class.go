package spender

import (
	"slices"
	"strings"
	"time"
)

const (
	// smallPart is the fraction of the rate that is kept for small requests as far as they ask
	// for it.
	smallPart = 0.5
	// coveredMargin is the factor by which a class may exceed its recent demand if that leaves
	// enough to the others.
	coveredMargin = 1.5
	// rankPart is the fraction of the rate that each rank keeps while more urgent ones ask for
	// all of it.
	rankPart = 0.1
	// sizeWeight is the weight of the latest request in the average size of its class.
	sizeWeight = 0.1
)

// classOf records a request and returns its class.
func (s *Spender) classOf(now time.Time, r Request) *class {
	s.spent.Add(now, sizeWindow, r.Cost)
	s.squares.Add(now, sizeWindow, r.Cost*r.Cost)
	s.demand.Add(now, r.Cost)
	s.prune(now)
	k := key{small: r.Cost <= smallFraction*s.usualCost(now), rank: r.Rank, path: r.Path}
	c := s.classes[k]
	if c == nil {
		c = &class{key: k, size: r.Cost}
		c.credit = c.maxCredit()
		s.classes[k] = c
		i, _ := slices.BinarySearchFunc(s.ordered, c, compare)
		s.ordered = slices.Insert(s.ordered, i, c)
	}
	c.size += sizeWeight * (r.Cost - c.size)
	c.demand.Add(now, r.Cost)
	c.asked = now
	if c.limit == 0 {
		// Until the next division.
		c.part = c.demand.ValueAt(now)
		c.limit = c.part
	}

	return c
}

// usualCost returns the cost of the requests that most is spent on.
func (s *Spender) usualCost(now time.Time) float64 {
	spent := s.spent.At(now, sizeWindow)
	if spent <= 0 {
		return 0
	}

	return s.squares.At(now, sizeWindow) / spent
}

// compare orders small requests before large ones, and then by rank.
func compare(a, b *class) int {
	switch {
	case a.before(b):
		return -1
	case b.before(a):
		return 1
	default:
		return strings.Compare(a.path, b.path)
	}
}

// before reports whether requests of a class go before those of another.
func (c *class) before(other *class) bool {
	if c.small != other.small {
		return c.small
	}

	return !c.small && c.rank < other.rank
}

// prune forgets classes without recent requests.
func (s *Spender) prune(now time.Time) {
	if now.Sub(s.pruned) < idleTime {
		return
	}
	s.pruned = now
	s.ordered = slices.DeleteFunc(s.ordered, func(c *class) bool {
		idle := now.Sub(c.asked) >= idleTime
		if idle {
			delete(s.classes, c.key)
		}

		return idle
	})
}

// divide sets the parts of the classes: first of the small ones, then by rank. Each rank keeps
// a minimum, and within a rank the paths get equal parts as far as they ask for them.
func (s *Spender) divide(now time.Time, rate float64) {
	groups := s.groups()
	left := rate
	kept := make([]float64, len(groups))
	demands := make([]float64, len(groups))
	for i, group := range groups {
		for _, c := range group {
			demands[i] += c.demand.ValueAt(now)
		}
		if !group[0].small {
			kept[i] = min(demands[i], rankPart*rate, rate/float64(2*len(groups)))
			left -= kept[i]
		}
	}
	for i, group := range groups {
		limit := left + kept[i]
		if group[0].small {
			limit = min(limit, smallPart*rate)
		}
		left -= min(limit, demands[i]) - kept[i]
		split(now, limit, group)
	}
}

// groups returns the classes that are treated alike, in their order.
func (s *Spender) groups() [][]*class {
	var out [][]*class
	begin := 0
	for i := 1; i <= len(s.ordered); i++ {
		if i == len(s.ordered) || s.ordered[begin].before(s.ordered[i]) {
			out = append(out, s.ordered[begin:i])
			begin = i
		}
	}

	return out
}

// split divides a rate among classes: equally, but none gets more than it asks for. Since
// requests arrive unevenly, a class may use more than its part if that leaves enough to the
// others.
func split(now time.Time, rate float64, classes []*class) {
	byDemand := slices.Clone(classes)
	slices.SortFunc(byDemand, func(a, b *class) int {
		switch x, y := a.demand.ValueAt(now), b.demand.ValueAt(now); {
		case x < y:
			return -1
		case x > y:
			return 1
		default:
			return 0
		}
	})
	for i, c := range byDemand {
		demand, equal := c.demand.ValueAt(now), rate/float64(len(byDemand)-i)
		c.part, c.limit = min(demand, equal), min(coveredMargin*demand, equal)
		rate -= c.part
	}
}
