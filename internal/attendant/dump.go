package attendant

import (
	"slices"
	"time"
)

// Dump is the state of an agent for people.
type Dump struct {
	Server   string            `json:"server"`
	Epoch    uint64            `json:"epoch"`
	Up       bool              `json:"up"`
	Leaving  string            `json:"leaving,omitempty"`
	Total    int               `json:"total"`
	Free     int               `json:"free"`
	Queued   []int             `json:"queued"` // by rank
	Token    uint64            `json:"token"`
	Fenced   bool              `json:"fenced"` // the token was read from control
	Grants   []Grant           `json:"grants"`
	Deferred []string          `json:"deferred,omitempty"`
	Suspects []string          `json:"suspects,omitempty"`
	Leases   map[string]int64  `json:"leases"` // milliseconds since the last sign of life
	Orders   map[string]string `json:"orders,omitempty"`
}

// Grant is one attempt in a Dump. Times are in milliseconds.
type Grant struct {
	ID       string `json:"id"`
	Request  string `json:"request"`
	Entry    string `json:"entry"`
	Caller   string `json:"caller"`
	Phase    string `json:"phase"`
	Rank     int32  `json:"rank"`
	Pieces   int64  `json:"pieces"`
	Stage    string `json:"stage"`
	Waits    string `json:"waits"` // for what
	Age      int64  `json:"age"`
	Since    int64  `json:"since"` // in this stage
	Chunks   int    `json:"chunks"`
	Attached bool   `json:"attached"` // has a stream of its entry
}

var waitsFor = map[stage]string{
	stageQueued:     "free memory or a call slot",
	stageGranted:    "a dispatch of the entry",
	stageHeld:       "promised memory to become free",
	stageRunning:    "the backend server",
	stageReady:      "the next call of the entry",
	stageDecoding:   "tokens of the engine",
	stageCancelling: "the backend server to confirm the cancellation",
	stageOver:       "an entry that lost its stream",
}

// Dump returns the state: every grant, its age and what it waits for.
func (a *Attendant) Dump() Dump {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Timer.Now()
	k := a.keeper
	load := a.queue.Load(now)
	token, fenced := a.fencer.Token()
	d := Dump{
		Server: a.settings.Name, Epoch: a.epoch, Up: k.up, Leaving: k.leaving,
		Total: load.Total, Free: load.Free, Queued: load.Queued, Token: token, Fenced: fenced,
		Grants: []Grant{}, Leases: make(map[string]int64), Orders: make(map[string]string),
		Suspects: k.blamer.Suspects(now),
	}
	for _, id := range k.sorted() {
		d.Grants = append(d.Grants, describe(now, k.attempts[id]))
	}
	for _, p := range k.deferred {
		d.Deferred = append(d.Deferred, p.ask.GetId())
	}
	slices.Sort(d.Deferred)
	for entry, seen := range k.leases {
		d.Leases[entry] = now.Sub(seen).Milliseconds()
	}
	for id, state := range a.orders {
		d.Orders[id] = state
	}

	return d
}

func describe(now time.Time, a *attempt) Grant {
	return Grant{
		ID: a.id, Request: a.request, Entry: a.entry, Caller: a.caller,
		Phase: a.phase.String(), Rank: a.rank, Pieces: a.pieces, Stage: string(a.stage),
		Waits: waitsFor[a.stage], Age: now.Sub(a.began).Milliseconds(),
		Since: now.Sub(a.since).Milliseconds(), Chunks: len(a.chunks), Attached: a.link != nil,
	}
}
