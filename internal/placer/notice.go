package placer

import "time"

// maxRest bounds the time for which a server may turn requests away.
const maxRest = 10 * time.Minute

// Left tells that a server has said in an answer that it leaves. It gets no more
// requests, whatever the host list says, until the list shows another server or that
// this one has left and come back.
func (p *Placer) Left(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.servers[id]
	if st == nil || st.left {
		return false
	}
	st.left, st.drains = true, st.Leaving

	return true
}

// Rest tells that a server wants no request for a time. It returns the time that is
// kept, which is bounded.
func (p *Placer) Rest(now time.Time, id string, after time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	after = min(max(after, 0), maxRest)
	if st := p.servers[id]; st != nil {
		st.rests = later(st.rests, now.Add(after))
	}

	return after
}

// Barred tells whether a server gets no requests now: it is leaving or gone, or has
// asked for a rest.
func (p *Placer) Barred(now time.Time, id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.servers[id]

	return st == nil || st.barred(now)
}

// Resting returns how long it takes until the first server of a pool that has asked
// for a rest takes requests again, 0 if none has.
func (p *Placer) Resting(now time.Time, pool string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var least time.Duration
	for _, st := range p.pools[pool] {
		if rest := until(now, st.rests); rest > 0 && !st.Leaving && !st.left && (least == 0 || rest < least) {
			least = rest
		}
	}

	return least
}

func (st *state) barred(now time.Time) bool { return st.Leaving || st.left || st.rests.After(now) }

// follow takes over what the host list says of a server that has said that it leaves.
func (st *state) follow(leaving bool) {
	switch {
	case !st.left:
	case leaving:
		st.drains = true
	case st.drains:
		st.left, st.drains = false, false
	}
}
