package picker

import (
	"slices"
	"time"
)

// noise is the random part of a score in seconds. It keeps entries with equal
// reports from all choosing the same server.
const noise = 2e-3

// gather fills seen with a bounded sample of servers: near ones first, a few
// from elsewhere, and those believed to hold the longest cached prefix.
func (p *Picker) gather(q Query) {
	p.seen = p.seen[:0]
	centre, region := q.Centre, q.Region
	if near := p.nodes[q.Near]; near != nil {
		centre, region = near.Centre, near.Region
	}
	p.sample(p.centre[place{q.Service, q.Phase, centre}])
	p.sample(p.region[place{q.Service, q.Phase, region}])
	p.sample(p.all[place{q.Service, q.Phase, ""}])
	if _, holders := p.cache.longest(q.Prefix); holders != nil {
		for _, name := range holders.names() {
			if n := p.nodes[name]; n != nil && n.Service == q.Service && n.Phase == q.Phase &&
				!n.Drained && !slices.Contains(p.seen, n) {
				p.seen = append(p.seen, n)
			}
		}
	}
}

// sample adds up to Settings.Sample servers of list: all of a short list, else
// random ones, so that the cost does not grow with the list.
func (p *Picker) sample(list []*node) {
	if len(list) <= p.s.Sample {
		for _, n := range list {
			if !slices.Contains(p.seen, n) {
				p.seen = append(p.seen, n)
			}
		}

		return
	}
	for range p.s.Sample {
		if n := list[p.rand.IntN(len(list))]; !slices.Contains(p.seen, n) {
			p.seen = append(p.seen, n)
		}
	}
}

// score is the expected cost of a server in seconds.
func (p *Picker) score(now time.Time, q Query, n *node) Candidate {
	c := Candidate{Server: n.Name, Wait: p.wait(now, q, n)}
	region, centre := q.Region, q.Centre
	kv := false
	if near := p.nodes[q.Near]; near != nil {
		region, centre, kv = near.Region, near.Centre, true
	}
	cost := c.Wait
	switch {
	case n.Region != region:
		c.Paid = true
		cost += 2 * p.s.Regions
		if kv {
			cost += p.s.Cross
		} else {
			cost += p.s.Paid
		}
	case n.Centre != centre:
		cost += 2 * p.s.Centres
	}
	if q.Phase == Prefill {
		c.Cached = p.cached(q, n.Name)
		cost -= time.Duration(c.Cached) * p.s.Prefill
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
	// The fuller the server, the more likely the grant waits for a release.
	full := 1 - float64(n.load.Free)/float64(max(n.load.Total, 1))

	return w + time.Duration((n.sent+full)*float64(unit))
}

// unit is the delay that one more ask is expected to add.
func (p *Picker) unit(q Query, n *node) time.Duration {
	if q.Phase == Prefill {
		return p.s.Prefill
	}

	return p.s.Prefill / time.Duration(max(n.load.Total, n.Pieces, 1)) * time.Duration(max(q.Pieces, 1))
}

// cached is the number of leading pieces of the prompt that the server is
// believed to hold.
func (p *Picker) cached(q Query, server string) int {
	low := max(len(q.Prefix)-maxPrefix, 0)
	for i := len(q.Prefix); i > low; i-- {
		if h := p.cache.holders[q.Prefix[i-1]]; h != nil && h.has(server) {
			return i
		}
	}

	return 0
}
