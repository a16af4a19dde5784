package agent

import (
	"slices"
	"time"
)

// Dump is a snapshot of an agent's state for operators.
type Dump struct {
	Server     string            `json:"server"`
	Epoch      uint64            `json:"epoch"`
	Up         bool              `json:"up"`
	Leaving    string            `json:"leaving,omitempty"`
	Total      int               `json:"total"`
	Free       int               `json:"free"`
	Queued     []int             `json:"queued"` // number of queued asks by rank
	Token      uint64            `json:"token"`
	TokenKnown bool              `json:"fenced"` // the fencing token was read from control
	Grants     []Grant           `json:"grants"`
	Deferred   []string          `json:"deferred,omitempty"`
	Suspects   []string          `json:"suspects,omitempty"`
	Leases     map[string]int64  `json:"leases"` // milliseconds since the last renewal, by lease ID
	Orders     map[string]string `json:"orders,omitempty"`
}

// Grant is one attempt in a Dump. Times are in milliseconds.
type Grant struct {
	ID       string `json:"id"`
	Request  string `json:"request"`
	Entry    string `json:"entry"`
	Caller   string `json:"caller"`
	Phase    string `json:"phase"`
	Rank     int32  `json:"rank"`
	Units    int64  `json:"pieces"`
	Stage    string `json:"stage"`
	WaitsFor string `json:"waits"` // what the attempt waits for
	Age      int64  `json:"age"`
	StageAge int64  `json:"since"` // time in the current stage
	Chunks   int    `json:"chunks"`
	Attached bool   `json:"attached"` // has a stream to its entry
}

// stageWaits describes what an attempt waits for in each stage.
var stageWaits = map[stage]string{
	stageQueued:     "free memory or a call slot",
	stageGranted:    "a dispatch of the entry",
	stageHeld:       "promised memory to become free",
	stageRunning:    "the backend server",
	stageReady:      "the next call of the entry",
	stageDecoding:   "tokens of the engine",
	stageCancelling: "the backend server to confirm the cancellation",
	stageOver:       "an entry that lost its stream",
}

// Dump returns the state of the agent, with the age of each attempt and what it waits
// for.
func (a *Agent) Dump() Dump {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Timer.Now()
	m := a.machine
	load := a.queue.Load(now)
	token, tokenKnown := a.fencer.Token()
	d := Dump{
		Server: a.settings.Name, Epoch: a.epoch, Up: m.backendUp, Leaving: m.drainReason,
		Total: load.Total, Free: load.Free, Queued: load.Queued, Token: token, TokenKnown: tokenKnown,
		Grants: []Grant{}, Leases: make(map[string]int64), Orders: make(map[string]string),
		Suspects: m.correlator.Suspects(now),
	}
	for _, id := range m.sortedIDs() {
		d.Grants = append(d.Grants, describeAttempt(now, m.attempts[id]))
	}
	for _, p := range m.deferred {
		d.Deferred = append(d.Deferred, p.ask.GetId())
	}
	slices.Sort(d.Deferred)
	for entry, seen := range m.leases {
		d.Leases[entry] = now.Sub(seen).Milliseconds()
	}
	for id, state := range a.orderStates {
		d.Orders[id] = state
	}

	return d
}

func describeAttempt(now time.Time, a *attempt) Grant {
	return Grant{
		ID: a.id, Request: a.request, Entry: a.leaseID, Caller: a.caller,
		Phase: a.phase.String(), Rank: a.rank, Units: a.units, Stage: string(a.stage),
		WaitsFor: stageWaits[a.stage], Age: now.Sub(a.createdAt).Milliseconds(),
		StageAge: now.Sub(a.stageSince).Milliseconds(), Chunks: len(a.chunks), Attached: a.stream != nil,
	}
}
