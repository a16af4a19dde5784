package placer

import (
	"time"

	"github.com/damasklever/damasklever/internal/pacer"
)

// maxPause caps the pause that a server may ask for.
const maxPause = 10 * time.Minute

// leavingTTL is how long a server's own announcement that it is leaving overrides a host
// list that shows it as ready. After that time the list has either shown the departure, or
// the server has restarted under the same name.
const leavingTTL = time.Minute

// MarkLeaving records that a server announced in a response that it is leaving. The server
// gets no more requests, whatever the host list says, until the list has shown it leaving
// and then ready again, or until leavingTTL has passed. It returns false if the departure
// was already known.
func (p *Placer) MarkLeaving(now time.Time, id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.servers[id]
	if st == nil {
		return false
	}
	known := st.announcedLeaving(now)
	st.leavingSince = now
	if !known {
		st.listedLeaving = st.Leaving
	}

	return !known
}

// keepDeparted keeps the state of servers that announced their departure and are no longer
// listed, and drops what has expired. The caller must hold p.mu.
func (p *Placer) keepDeparted(old map[string]*serverState) {
	now := p.s.Now()
	for id, st := range p.departed {
		if p.servers[id] != nil || !st.announcedLeaving(now) {
			delete(p.departed, id)
		}
	}
	for id, st := range old {
		if p.servers[id] == nil && st.announcedLeaving(now) {
			p.departed[id] = st
		}
	}
}

// Pause records that a server asked for no requests for the given time. It returns the
// pause that is applied, which is at most maxPause.
func (p *Placer) Pause(now time.Time, id string, after time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	after = min(max(after, 0), maxPause)
	if st := p.servers[id]; st != nil {
		st.pausedUntil = laterOf(st.pausedUntil, now.Add(after))
		p.limit(now, st.pausedUntil, st, pacer.ReasonPause)
	}

	return after
}

// Unavailable reports whether a server must not get requests now because it is leaving, is
// not listed, or has asked for a pause.
func (p *Placer) Unavailable(now time.Time, id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.servers[id]

	return st == nil || st.unavailable(now)
}

// PauseRemaining returns the time until the first paused server of a pool accepts requests
// again, or 0 if no server is paused.
func (p *Placer) PauseRemaining(now time.Time, pool string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var least time.Duration
	for _, st := range p.pools[pool] {
		if left := remaining(now, st.pausedUntil); left > 0 && !st.Leaving && !st.announcedLeaving(now) && (least == 0 || left < least) {
			least = left
		}
	}

	return least
}

// Exhausted returns the servers that could run a request but that limit their requests and
// may get none now, if there is no other server.
func (p *Placer) Exhausted(now time.Time, q Query) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, st := range p.pools[q.Pool] {
		if st.unavailable(now) || st.Stage == Prefill || !q.allows(&st.Server) {
			continue
		}
		if !p.s.Throttle.Exhausted(now, st.ID) {
			return nil
		}
		out = append(out, st.ID)
	}

	return out
}

func (st *serverState) unavailable(now time.Time) bool {
	return st.Leaving || st.announcedLeaving(now) || st.pausedUntil.After(now)
}

func (st *serverState) announcedLeaving(now time.Time) bool {
	return !st.leavingSince.IsZero() && now.Sub(st.leavingSince) < leavingTTL
}

// applyListed updates the state of a server that announced its departure from the host
// list. The announcement is cleared once the list has shown the server leaving and then
// ready again.
func (st *serverState) applyListed(leaving bool) {
	switch {
	case st.leavingSince.IsZero():
	case leaving:
		st.listedLeaving = true
	case st.listedLeaving:
		st.leavingSince, st.listedLeaving = time.Time{}, false
	}
}
