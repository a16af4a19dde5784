package picker

import (
	"slices"
	"time"
)

// noise is the random part of a score in seconds. It keeps entries with equal
// reports from all choosing the same server.
const noise = 2e-3

// origin is where the traffic to a candidate comes from.
type origin struct {
	region, centre string
	kv             bool // the traffic is KV cache
}

// hit is a server believed to hold leading pieces of the prompt.
type hit struct {
	node   *node
	pieces int
}

// gather fills seen with a bounded sample of servers: near ones first, a few
// from elsewhere, and those believed to hold the longest cached prefix.
func (p *Picker) gather(q Query) origin {
	p.seen, p.quota = p.seen[:0], 0
	from := origin{region: q.Region, centre: q.Centre}
	if near := p.nodes[q.Near]; near != nil {
		from = origin{region: near.Region, centre: near.Centre, kv: true}
	}
	p.sample(p.centre[place{q.Service, q.Phase, from.centre}], p.s.Sample)
	p.sample(p.region[place{q.Service, q.Phase, from.region}], (p.s.Sample+1)/2)
	p.sample(p.all[place{q.Service, q.Phase, ""}], (p.s.Sample+1)/2)
	p.hits = p.hits[:0]
	if q.Phase != Prefill {
		return from
	}
	p.hits = p.cache.longest(q.Prefix, p.hits)
	for _, h := range p.hits {
		if n := h.node; n.Service == q.Service && n.Phase == q.Phase &&
			!n.Drained && !slices.Contains(p.seen, n) {
			p.seen = append(p.seen, n)
		}
	}

	return from
}

// sample adds servers of list that are not in seen yet, from a random place
// on, at most most of them and one more for each that an earlier list lacked.
// The cost does not grow with the list.
func (p *Picker) sample(list []*node, most int) {
	if len(list) == 0 {
		return
	}
	p.quota += most
	i := p.rand.IntN(len(list))
	for range min(len(list), 4*p.s.Sample) {
		if p.quota <= 0 {
			return
		}
		if n := list[i]; !slices.Contains(p.seen, n) {
			p.seen = append(p.seen, n)
			p.quota--
		}
		if i++; i == len(list) {
			i = 0
		}
	}
}

// score is the expected cost of a server in seconds.
func (p *Picker) score(now time.Time, q Query, from origin, n *node) Candidate {
	c := Candidate{Server: n.Name, Wait: p.wait(now, q, n)}
	cost := c.Wait
	switch {
	case n.Region != from.region:
		c.Paid = true
		cost += 2 * p.s.Regions
		if from.kv {
			cost += p.s.Cross
		} else {
			cost += p.s.Paid
		}
	case n.Centre != from.centre:
		cost += 2 * p.s.Centres
	}
	if q.Phase == Decode && !from.kv {
		cost += p.prefillWait(now, q, n.Region)
	}
	for _, h := range p.hits {
		if h.node == n {
			c.Cached = h.pieces
			cost -= time.Duration(c.Cached) * p.s.Prefill
		}
	}
	c.Score = cost.Seconds() + noise*p.rand.Float64()

	return c
}

// wait is the reported wait plus that of the asks sent since the report. A
// server without a recent report counts as lightly loaded but uncertain.
func (p *Picker) wait(now time.Time, q Query, n *node) time.Duration {
	unit := p.unit(q, n)
	if n.seen.IsZero() || now.Sub(n.seen) > p.s.Stale {
		return unit + time.Duration(n.sent*float64(unit))
	}
	var w time.Duration
	if q.Rank >= 0 && q.Rank < len(n.load.Waits) {
		w = n.load.Waits[q.Rank]
	}
	ahead := n.sent
	if q.Phase != Prefill {
		// The fuller the server, the more likely the grant waits for a release.
		ahead += 1 - float64(n.load.Free)/float64(max(n.load.Total, 1))
	}

	return w + time.Duration(ahead*float64(unit))
}

// unit is the delay that one more ask is expected to add.
func (p *Picker) unit(q Query, n *node) time.Duration {
	if q.Phase == Prefill {
		return p.s.Prefill
	}

	return p.s.Prefill / time.Duration(max(n.load.Total, n.Pieces, 1)) * time.Duration(max(q.Pieces, 1))
}

// prefillWait is the wait at the better of two prefill servers of a region. The
// prefill follows the decode memory there, because KV cache stays in a region.
func (p *Picker) prefillWait(now time.Time, q Query, region string) time.Duration {
	list := p.region[place{q.Service, Prefill, region}]
	if len(list) == 0 {
		return p.s.Cross
	}
	q.Phase = Prefill
	i := p.rand.IntN(len(list))

	return min(p.wait(now, q, list[i]), p.wait(now, q, list[(i+1)%len(list)]))
}
