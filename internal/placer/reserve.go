package placer

import (
	"cmp"
	"slices"
	"time"
)

// spread is the delay by which equal servers differ from request to request, so that the
// entries, which do not know of each other, do not all ask the same ones first.
const spread = 10 * time.Millisecond

// RankUnlent returns the decode servers of a pool that have no lender, the best first, by
// distance and by what this process has sent them. Which of them has memory is only known
// to the servers, and they are asked in this order.
func (p *Placer) RankUnlent(now time.Time, q Query) []Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Candidate
	for _, st := range p.pools[q.Pool] {
		if st.barred(now) || st.Stage != Decode || st.full.After(now) || slices.Contains(q.Avoid, st.ID) {
			continue
		}
		out = append(out, Candidate{
			Server: st.copy(),
			Cost: p.distance(&st.Server) + until(now, st.avoid) + until(now, st.reads) +
				time.Duration(st.running)*p.s.Running + time.Duration(p.s.Draw()*float64(spread)),
		})
	}
	slices.SortStableFunc(out, func(a, b Candidate) int { return cmp.Compare(a.Cost, b.Cost) })

	return out
}

// Full tells that a server had no memory to reserve; others are asked for a time.
func (p *Placer) Full(now time.Time, id string, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if st := p.servers[id]; st != nil {
		st.full = now.Add(wait)
	}
}

// Claim counts a request at the decode server that has reserved memory for it, and
// chooses the prefill server, if one is expected to be faster than the decode server
// itself. ok is false if the server is not known any more.
func (p *Placer) Claim(now time.Time, q Query, id string) (c Choice, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.servers[id]
	if st == nil {
		return Choice{}, false
	}
	st.running++
	c.Server = st.copy()
	own := p.reading(q.Prompt, p.s.DecodeRate)
	reads := p.reading(q.Prompt, p.s.PrefillRate)
	cost := func(pre *state) time.Duration {
		return p.distance(&pre.Server) + until(now, pre.reads) + p.transfer(&pre.Server, &st.Server)
	}
	pre := p.least(now, q, Prefill, cost)
	if pre == nil || pre.avoid.After(now) || cost(pre)+reads >= until(now, st.reads)+own {
		st.reads = later(now, st.reads).Add(own)

		return c, true
	}
	pre.reads = later(now, pre.reads).Add(reads)
	pre.running++
	c.Prefill = pre.copy()

	return c, true
}
