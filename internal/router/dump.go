package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

// State is the state of an entry process, as shown by a dump.
type State struct {
	Name     string         `json:"name"`
	Region   string         `json:"region"`
	Centre   string         `json:"centre"`
	Epoch    uint64         `json:"epoch"`
	Leaving  bool           `json:"leaving"`
	Index    uint64         `json:"index"`
	Revision uint64         `json:"revision"`
	Fresh    bool           `json:"fresh"`
	Servers  int            `json:"servers"` // in the current configuration
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
	Waits   string `json:"waits"` // the event that the request waits for
	Age     int64  `json:"age"`   // milliseconds
	Late    int64  `json:"late"`  // milliseconds past the first-token target, negative while in time
	Chunks  int64  `json:"chunks"`
	Open    int    `json:"open"` // number of open attempts
}

// SessionState describes the connection to one agent.
type SessionState struct {
	Server  string `json:"server"`
	Up      bool   `json:"up"`
	Epoch   uint64 `json:"epoch"`
	Streams int    `json:"streams"`
	Pending int    `json:"pending"` // unconfirmed withdrawals
	Silence int64  `json:"silence"` // milliseconds since the agent's last message, 0 while down
	Error   string `json:"error,omitempty"`
}

// Dump returns the State of the process. Requests are sorted by age, oldest first.
func (r *Router) Dump() any {
	v, now := r.control.View(), r.timers.Now()
	s := State{
		Name: r.settings.Name, Region: r.settings.Region, Centre: r.settings.Centre, Epoch: r.epoch,
		Leaving: r.drainer.Stopping(), Index: v.Index(), Revision: v.Revision(),
		Fresh: r.control.Fresh(now), Servers: r.fleet.count(),
		Requests: r.requestStates(), Sessions: []SessionState{},
	}
	r.eachAgent(func(c *agentConn) { s.Sessions = append(s.Sessions, c.state(now)) })
	slices.SortFunc(s.Sessions, func(a, b SessionState) int { return cmp.Compare(a.Server, b.Server) })

	return s
}

// requestStates returns the requests in flight, oldest first.
func (r *Router) requestStates() []RequestState {
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

func (f *inflight) state(now time.Time) RequestState {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.machine.Status()
	age := now.Sub(f.started)
	late := age
	if !f.firstToken.IsZero() {
		late = f.firstToken.Sub(f.started)
	}
	target := milliseconds(f.rank.GetFirst())
	if target <= 0 {
		target = late // a rank without a target is never late
	}

	return RequestState{
		ID: f.request.ID, Service: f.request.Service, Caller: f.request.Caller, Rank: f.request.Rank,
		Phase: s.Phase, Server: s.Server, Waits: s.Waits, Age: age.Milliseconds(),
		Late: (late - target).Milliseconds(), Chunks: s.Chunks, Open: s.Open,
	}
}

func (c *agentConn) state(now time.Time) SessionState {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := SessionState{
		Server: c.serverName, Up: c.session != nil, Epoch: c.epoch, Streams: c.streams, Pending: len(c.pending),
	}
	if c.session != nil {
		s.Silence = now.Sub(c.lastMessage).Milliseconds()
	}
	if c.err != nil && c.session == nil {
		s.Error = c.err.Error()
	}

	return s
}

// maxHeartbeatFlights limits the requests listed in a heartbeat. The oldest ones
// are listed, because operators ask about those.
const maxHeartbeatFlights = 100

// heartbeatFlights returns the requests in flight to list in a heartbeat.
func (r *Router) heartbeatFlights() []*wire.Flight {
	var out []*wire.Flight
	for _, s := range r.requestStates() {
		if len(out) == maxHeartbeatFlights {
			break
		}
		out = append(out, &wire.Flight{
			Id: s.ID, Service: s.Service, Caller: s.Caller, Rank: int32(s.Rank), Phase: s.Phase,
			Server: s.Server, Age: s.Age, Late: s.Late,
		})
	}

	return out
}
