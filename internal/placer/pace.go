package placer

import (
	"time"

	"github.com/damasklever/damasklever/internal/pacer"
)

// defaultFullUse is the number of requests of this process at one server from which the
// server counts as fully used.
const defaultFullUse = 16

// class orders servers before their costs: 0 for a server that takes a request now, 1 for one
// at its limit or that is avoided, 2 for one that has failed since its last answer.
func (p *Placer) class(now time.Time, st *serverState, q Query) int {
	switch {
	case !p.s.Paced(st.Pool):
		if st.avoidUntil.After(now) {
			return 1
		}
	case st.pace == nil:
	case q.Unsafe && st.pace.Failing(now):
		// A request that may not run twice is not the one to test the server with.
		return 2
	case !st.pace.Admits(now, float64(st.running), 1):
		if st.pace.Failing(now) {
			return 2
		}

		return 1
	}

	return 0
}

// startRequest counts a request that is sent to a server.
func (st *serverState) startRequest() {
	st.running++
	if st.pace != nil {
		st.pace.Started()
	}
}

// pacerOf returns the pacer of a server, nil if its pool has none.
func (p *Placer) pacerOf(st *serverState) *pacer.Pacer {
	if !p.s.Paced(st.Pool) {
		return nil
	}
	if st.pace == nil {
		st.pace, _ = pacer.New(pacer.Settings{Full: p.s.FullUse}) // Validate has checked it
	}

	return st.pace
}

// limit limits the requests to a server from the given time on.
func (p *Placer) limit(now, from time.Time, st *serverState, reason string) {
	if pace := p.pacerOf(st); pace != nil {
		pace.Restart(from)
		p.s.Recorder.Began(now, st.ID, reason, pace, float64(st.running))
	}
}

// paceFailure records a failure in the pace of a server.
func (p *Placer) paceFailure(now time.Time, st *serverState) {
	pace := p.pacerOf(st)
	if pace == nil {
		return
	}
	_, before := pace.Limit(now)
	pace.Failed(now)
	if !before {
		p.s.Recorder.Began(now, st.ID, pacer.ReasonFailure, pace, float64(st.running))
	}
	p.s.Recorder.Update(now, st.ID, pace, float64(st.running))
}

// paceAnswer records an answer in the pace of a server. expected is 0 if unknown.
func (p *Placer) paceAnswer(now time.Time, st *serverState, took, expected time.Duration) {
	pace := p.pacerOf(st)
	if pace == nil {
		return
	}
	pace.Ended(now, pacer.Sample{InFlight: float64(st.running), Size: 1, Took: took, Expected: expected})
	p.s.Recorder.Update(now, st.ID, pace, float64(st.running))
}

// RecordAnswer records a successful response of a server, and the time that it took and that
// was expected; 0 if unknown.
func (p *Placer) RecordAnswer(now time.Time, id string, took, expected time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if st := p.servers[id]; st != nil {
		st.failures, st.avoidUntil = 0, time.Time{}
		p.paceAnswer(now, st, took, expected)
	}
}

// RecordSuccess records a successful response of a server and resets its penalty.
func (p *Placer) RecordSuccess(id string) { p.RecordAnswer(p.s.Now(), id, 0, 0) }

// RecordFailure records that a server failed or could not be reached. It returns how long
// the server is avoided.
func (p *Placer) RecordFailure(now time.Time, id string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.servers[id]
	if st == nil {
		return 0
	}
	penalty := min(p.s.Penalty<<min(st.failures, 10), p.s.MaxPenalty)
	st.failures++
	st.avoidUntil = now.Add(penalty)
	p.paceFailure(now, st)

	return penalty
}

// paceListed limits the requests to servers that have joined a pool which others serve, or
// that have come back. old are the servers of the previous list. The caller must hold p.mu.
func (p *Placer) paceListed(now time.Time, old map[string]*serverState, returned []*serverState) {
	served := make(map[string]bool)
	for _, st := range old {
		served[st.Pool] = true
		if p.servers[st.ID] == nil {
			p.s.Recorder.Forget(st.ID)
		}
	}
	for id, st := range p.servers {
		if old[id] != st && p.departed[id] != st && served[st.Pool] {
			p.limit(now, now, st, pacer.ReasonNew)
		} else if st.pace != nil {
			p.s.Recorder.Update(now, id, st.pace, float64(st.running))
		}
	}
	for _, st := range returned {
		p.limit(now, now, st, pacer.ReasonStarted)
	}
}

// admitted returns the servers that take a request now, or all if none does. Servers that
// have no memory at the moment count among those that do.
func (p *Placer) admitted(now time.Time, q Query, list []*serverState) []*serverState {
	if !p.s.Paced(q.Pool) {
		return list
	}
	var out []*serverState
	for _, st := range list {
		if p.class(now, st, q) == 0 {
			out = append(out, st)
		}
	}
	if len(out) == 0 {
		return list
	}

	return out
}
