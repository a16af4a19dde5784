package placer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// apart is the delay that a server at the other end of the pool counts for: more than the
// way between regions, since a large request finds no memory where small ones are.
const apart = 100 * time.Millisecond

// spread is the delay by which equal servers differ from request to request, so that the
// entries, which do not know of each other, do not all ask the same ones first.
const spread = 10 * time.Millisecond

// Need notes the memory that a request of a pool needs, in tokens.
func (p *Placer) Need(pool string, need int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mixes[pool] == nil {
		p.mixes[pool] = &mix{}
	}
	p.mixes[pool].add(need)
}

const (
	// shortWindow is how long the requests of a rank keep to their place after a more
	// urgent one has found no memory: some lives of an answer.
	shortWindow = 8 * time.Second
	// reach is how far from their place, as a share of the pool, they are sent then.
	reach = 0.2
)

// Short tells that a request of a rank has found no memory in time. Less urgent ones
// leave the servers of other sizes to it and its like for a while.
func (p *Placer) Short(now time.Time, pool string, rank int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.short[pool] == nil {
		p.short[pool] = make(map[int]time.Time)
	}
	p.short[pool][rank] = now
}

// crowded tells whether a request more urgent than a rank has found no memory lately. It
// needs the lock.
func (p *Placer) crowded(now time.Time, pool string, rank int) bool {
	for r, at := range p.short[pool] {
		if r < rank && now.Sub(at) < shortWindow {
			return true
		}
	}

	return false
}

// RankUnlent returns the decode servers of a pool that have no lender, the best first for
// a request that needs so many tokens: by its size, by distance and by what this process
// has sent them. It answers the load of a pool that many processes share and that is
// nearly full: which of the servers has memory is only known to the servers, and they are
// asked in this order.
func (p *Placer) RankUnlent(now time.Time, q Query, rank, need int) []Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	place := 0.0
	if m := p.mixes[q.Pool]; m != nil {
		place = m.place(need)
	}
	crowded := p.crowded(now, q.Pool, rank)
	var out []Candidate
	for _, st := range p.pools[q.Pool] {
		if st.barred(now) || st.Stage != Decode || st.full.After(now) || slices.Contains(q.Avoid, st.ID) {
			continue
		}
		off := math.Abs(st.position - place)
		if crowded && off > reach {
			continue
		}
		out = append(out, Candidate{
			Server: st.copy(),
			Cost: p.distance(&st.Server) + until(now, st.avoid) + until(now, st.reads) +
				time.Duration(st.running)*p.s.Running + time.Duration(p.s.Draw()*float64(spread)) +
				time.Duration(off*float64(apart)),
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
