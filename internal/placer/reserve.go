package placer

import (
	"cmp"
	"slices"
	"time"
)

// rankJitter is the maximum random delay added to the cost of a server. Without it, entry
// processes, which do not coordinate, would all ask the same of several equal servers
// first.
const rankJitter = 10 * time.Millisecond

// RankWithoutAgent returns the decode servers of a pool in the order in which they should be
// asked for memory if they have no agent. Only the servers themselves know how much
// memory they have, so the order depends on distance and on the requests that this
// process has sent.
func (p *Placer) RankWithoutAgent(now time.Time, q Query) []Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	var usable []*serverState
	for _, st := range p.pools[q.Pool] {
		if !st.unavailable(now) && st.Stage == Decode && q.allows(&st.Server) {
			usable = append(usable, st)
		}
	}
	paced := p.s.Paced(q.Pool)
	var out []Candidate
	for _, st := range p.admitted(now, q, usable) {
		if st.fullUntil.After(now) || !p.s.Throttle.Allows(now, st.ID) {
			continue
		}
		c := Candidate{
			Server: st.serverCopy(),
			Cost: p.distanceDelay(&st.Server) + remaining(now, st.readTime) +
				time.Duration(st.running)*p.s.RequestDelay + time.Duration(p.s.Random()*float64(rankJitter)),
		}
		if !paced {
			c.Cost += remaining(now, st.avoidUntil)
		}
		out = append(out, c)
	}
	slices.SortStableFunc(out, func(a, b Candidate) int { return cmp.Compare(a.Cost, b.Cost) })

	return out
}

// MarkFull records that a server had no memory to reserve. RankWithoutAgent leaves it out
// for the given time.
func (p *Placer) MarkFull(now time.Time, id string, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if st := p.servers[id]; st != nil {
		st.fullUntil = now.Add(wait)
	}
}

// PickReserved records a request at the decode server that has reserved memory for it, and
// selects a prefill server if one is expected to process the prompt faster than the
// decode server itself. ok is false if the decode server is no longer listed.
func (p *Placer) PickReserved(now time.Time, q Query, id string) (c Choice, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.servers[id]
	if st == nil {
		return Choice{}, false
	}
	st.startRequest()
	c.Server = st.serverCopy()
	decodeRead := p.readDuration(q.Prompt, p.s.DecodeRate)
	readTime := p.readDuration(q.Prompt, p.s.PrefillRate)
	cost := func(pre *serverState) time.Duration {
		return p.distanceDelay(&pre.Server) + remaining(now, pre.readTime) + p.transferDelay(&pre.Server, &st.Server)
	}
	pre := p.pickCheapest(now, q, Prefill, cost)
	if pre == nil || p.class(now, pre, q) > 0 || cost(pre)+readTime >= remaining(now, st.readTime)+decodeRead {
		st.readTime = laterOf(now, st.readTime).Add(decodeRead)

		return c, true
	}
	pre.readTime = laterOf(now, pre.readTime).Add(readTime)
	pre.startRequest()
	c.Prefill = pre.serverCopy()

	return c, true
}
