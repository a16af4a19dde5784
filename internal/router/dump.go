package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

// State is the dump of an entry process.
type State struct {
	Name     string         `json:"name"`
	Region   string         `json:"region"`
	Centre   string         `json:"centre"`
	Epoch    uint64         `json:"epoch"`
	Leaving  bool           `json:"leaving"`
	Index    uint64         `json:"index"`
	Revision uint64         `json:"revision"`
	Fresh    bool           `json:"fresh"`
	Servers  int            `json:"servers"` // that requests can be sent to
	Requests []RequestState `json:"requests"`
	Sessions []SessionState `json:"sessions"`
}

// RequestState describes one request in flight.
type RequestState struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Caller  string `json:"caller"`
	Rank    int    `json:"rank"`
	Phase   string `json:"phase"`
	Server  string `json:"server"`
	Waits   string `json:"waits"` // for what
	Age     int64  `json:"age"`   // milliseconds
	Late    int64  `json:"late"`  // milliseconds past the target of the first token, negative while in time
	Chunks  int64  `json:"chunks"`
	Open    int    `json:"open"` // attempts
}

// SessionState describes the session to one agent.
type SessionState struct {
	Server  string `json:"server"`
	Up      bool   `json:"up"`
	Epoch   uint64 `json:"epoch"`
	Streams int    `json:"streams"`
	Pending int    `json:"pending"` // withdrawals without confirmation
	Error   string `json:"error,omitempty"`
}

// Dump returns the state of the process, the oldest requests first.
func (r *Router) Dump() any {
	v := r.control.View()
	s := State{
		Name: r.settings.Name, Region: r.settings.Region, Centre: r.settings.Centre, Epoch: r.epoch,
		Leaving: r.leaving.Load(), Index: v.Index(), Revision: v.Revision(),
		Fresh: r.control.Fresh(r.timers.Now()), Servers: r.fleet.count(),
		Requests: r.requests(), Sessions: []SessionState{},
	}
	r.eachLink(func(l *link) { s.Sessions = append(s.Sessions, l.state()) })
	slices.SortFunc(s.Sessions, func(a, b SessionState) int { return cmp.Compare(a.Server, b.Server) })

	return s
}

func (r *Router) requests() []RequestState {
	out := []RequestState{}
	now := r.timers.Now()
	for _, s := range r.shards {
		for _, f := range s.list() {
			out = append(out, f.state(now))
		}
	}
	slices.SortFunc(out, func(a, b RequestState) int {
		return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.ID, b.ID))
	})

	return out
}

func (f *flight) state(now time.Time) RequestState {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.machine.Status()
	age := now.Sub(f.began)
	late := age
	if !f.first.IsZero() {
		late = f.first.Sub(f.began)
	}
	target := milliseconds(f.rank.GetFirst())
	if target <= 0 {
		target = late // without a target nothing is late
	}

	return RequestState{
		ID: f.request.ID, Service: f.request.Service, Caller: f.request.Caller, Rank: f.request.Rank,
		Phase: s.Phase, Server: s.Server, Waits: s.Waits, Age: age.Milliseconds(),
		Late: (late - target).Milliseconds(), Chunks: s.Chunks, Open: s.Open,
	}
}

func (l *link) state() SessionState {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := SessionState{
		Server: l.name, Up: l.session != nil, Epoch: l.epoch, Streams: l.streams, Pending: len(l.pending),
	}
	if l.err != nil && l.session == nil {
		s.Error = l.err.Error()
	}

	return s
}

// maxFlights bounds the requests reported in a heartbeat. The oldest are those
// that operators ask about.
const maxFlights = 100

// flights returns the oldest requests in flight.
func (r *Router) flights() []*wire.Flight {
	var out []*wire.Flight
	for _, s := range r.requests() {
		if len(out) == maxFlights {
			break
		}
		out = append(out, &wire.Flight{
			Id: s.ID, Service: s.Service, Caller: s.Caller, Rank: int32(s.Rank), Phase: s.Phase,
			Server: s.Server, Age: s.Age, Late: s.Late,
		})
	}

	return out
}
