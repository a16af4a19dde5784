package picker

import (
	"slices"
	"time"
)

// scoreJitter is the maximum of the random part of a score, in seconds. It keeps
// entries that received the same reports from all choosing the same server.
const scoreJitter = 2e-3

// origin is the source of the traffic to a candidate.
type origin struct {
	region, centre string
	carriesKVCache bool // the traffic is a KV cache transfer
}

// match is a server believed to have cached the leading blocks of the prompt.
type match struct {
	node   *node
	blocks int
}

// sampleCandidates fills p.sampled with a bounded number of servers: near ones first,
// a few from elsewhere, and those believed to have cached the longest prefixes.
func (p *Picker) sampleCandidates(q Query) origin {
	p.sampled, p.sampleQuota = p.sampled[:0], 0
	from := origin{region: q.Region, centre: q.Centre}
	if peer := p.nodes[q.KVCachePeer]; peer != nil {
		from = origin{region: peer.Region, centre: peer.Centre, carriesKVCache: true}
	}
	p.addSample(p.centre[indexKey{q.Service, q.Phase, from.centre}], p.settings.SampleSize)
	p.addSample(p.region[indexKey{q.Service, q.Phase, from.region}], (p.settings.SampleSize+1)/2)
	p.addSample(p.all[indexKey{q.Service, q.Phase, ""}], (p.settings.SampleSize+1)/2)
	p.matches = p.matches[:0]
	if q.Phase != Prefill {
		return from
	}
	p.matches = p.prefixIndex.longestMatches(q.Prefix, p.matches)
	for _, m := range p.matches {
		if n := m.node; n.Service == q.Service && n.Phase == q.Phase &&
			!n.Drained && !slices.Contains(p.sampled, n) {
			p.sampled = append(p.sampled, n)
		}
	}

	return from
}

// addSample adds servers of list that are not in p.sampled yet, starting at a random
// position. It adds at most limit of them, plus the number by which earlier lists
// fell short of theirs. The cost does not grow with the length of list.
func (p *Picker) addSample(list []*node, limit int) {
	if len(list) == 0 {
		return
	}
	p.sampleQuota += limit
	i := p.rand.IntN(len(list))
	for range min(len(list), 4*p.settings.SampleSize) {
		if p.sampleQuota <= 0 {
			return
		}
		if n := list[i]; !slices.Contains(p.sampled, n) {
			p.sampled = append(p.sampled, n)
			p.sampleQuota--
		}
		if i++; i == len(list) {
			i = 0
		}
	}
}

// score returns the server as a candidate, with its expected cost.
func (p *Picker) score(now time.Time, q Query, from origin, n *node) Candidate {
	c := Candidate{Server: n.Name, ExpectedWait: p.expectedWait(now, q, n)}
	cost := c.ExpectedWait
	switch {
	case n.Region != from.region:
		c.CrossRegion = true
		cost += 2 * p.settings.RegionDelay
		if from.carriesKVCache {
			cost += p.settings.CrossRegionKVCache
		} else {
			cost += p.settings.CrossRegion
		}
	case n.Centre != from.centre:
		cost += 2 * p.settings.CentreDelay
	}
	if q.Phase == Decode && !from.carriesKVCache {
		cost += p.prefillWait(now, q, n.Region)
	}
	for _, m := range p.matches {
		if m.node == n {
			c.CachedBlocks = m.blocks
			cost -= time.Duration(c.CachedBlocks) * p.settings.Prefill
		}
	}
	c.Score = cost.Seconds() + scoreJitter*p.rand.Float64()

	return c
}

// expectedWait adds the delay of the requests sent since the last report to the
// reported wait. A server without a recent report is assumed to be lightly loaded;
// because that is uncertain, the delay of one more request is added.
func (p *Picker) expectedWait(now time.Time, q Query, n *node) time.Duration {
	requestDelay := p.requestDelay(q, n)
	if n.reportedAt.IsZero() || now.Sub(n.reportedAt) > p.settings.StaleAfter {
		return requestDelay + time.Duration(n.expectedGrants*float64(requestDelay))
	}
	var w time.Duration
	if q.Rank >= 0 && q.Rank < len(n.load.Waits) {
		w = n.load.Waits[q.Rank]
	}
	ahead := n.expectedGrants
	if q.Phase != Prefill {
		// The fuller the server, the more likely a grant has to wait for a release.
		ahead += 1 - float64(n.load.Free)/float64(max(n.load.Total, 1))
	}

	return w + time.Duration(ahead*float64(requestDelay))
}

// requestDelay is the delay that one more request is expected to add.
func (p *Picker) requestDelay(q Query, n *node) time.Duration {
	if q.Phase == Prefill {
		return p.settings.Prefill
	}

	return p.settings.Prefill / time.Duration(max(n.load.Total, n.Pieces, 1)) * time.Duration(max(q.Pieces, 1))
}

// prefillWait is the shorter expected wait of two random prefill servers of a region.
// The prefill is placed in the region of the decode memory, because the KV cache
// should not cross regions.
func (p *Picker) prefillWait(now time.Time, q Query, region string) time.Duration {
	list := p.region[indexKey{q.Service, Prefill, region}]
	if len(list) == 0 {
		return p.settings.CrossRegionKVCache
	}
	q.Phase = Prefill
	i := p.rand.IntN(len(list))

	return min(p.expectedWait(now, q, list[i]), p.expectedWait(now, q, list[(i+1)%len(list)]))
}
