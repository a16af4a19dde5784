package placer

import "time"

// maxRest bounds the time for which a server may turn requests away.
const maxRest = 10 * time.Minute

// leftTime is how long a server's word that it leaves counts against a list that shows it
// ready: by then the list has either shown that it left, or the server has started again
// under its name.
const leftTime = time.Minute

// Left tells that a server has said in an answer that it leaves. It gets no more
// requests, whatever the host list says, until the list has shown that it left and came
// back, or for leftTime. It returns false if that was known.
func (p *Placer) Left(now time.Time, id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.servers[id]
	if st == nil {
		return false
	}
	known := st.hasLeft(now)
	st.left = now
	if !known {
		st.drains = st.Leaving
	}

	return !known
}

// remember keeps what is known of servers that said that they leave and are not listed
// any more. It needs the lock.
func (p *Placer) remember(old map[string]*state) {
	now := p.s.Now()
	for id, st := range p.departed {
		if p.servers[id] != nil || !st.hasLeft(now) {
			delete(p.departed, id)
		}
	}
	for id, st := range old {
		if p.servers[id] == nil && st.hasLeft(now) {
			p.departed[id] = st
		}
	}
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
		if rest := until(now, st.rests); rest > 0 && !st.Leaving && !st.hasLeft(now) && (least == 0 || rest < least) {
			least = rest
		}
	}

	return least
}

func (st *state) barred(now time.Time) bool {
	return st.Leaving || st.hasLeft(now) || st.rests.After(now)
}

func (st *state) hasLeft(now time.Time) bool { return !st.left.IsZero() && now.Sub(st.left) < leftTime }

// follow takes over what the host list says of a server that has said that it leaves.
func (st *state) follow(leaving bool) {
	switch {
	case st.left.IsZero():
	case leaving:
		st.drains = true
	case st.drains:
		st.left, st.drains = time.Time{}, false
	}
}
