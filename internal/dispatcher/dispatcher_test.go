package dispatcher_test

import (
	"slices"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/dispatcher"
	"github.com/damasklever/damasklever/internal/wire"
)

// fleet is a Policy with a fixed list of servers.
type fleet struct {
	servers map[wire.Phase][]string
	retries int
	failed  []string
}

func newFleet() *fleet {
	return &fleet{retries: 1, servers: map[wire.Phase][]string{
		wire.Phase_PHASE_DECODE:  {"d1", "d2", "d3", "d4"},
		wire.Phase_PHASE_PREFILL: {"p1", "p2", "p3", "p4"},
		wire.Phase_PHASE_PLAIN:   {"s1", "s2", "s3", "s4"},
	}}
}

func (f *fleet) Pick(_ time.Time, _ *dispatcher.Request, selection dispatcher.Selection) []string {
	var out []string
	for _, s := range f.servers[selection.Phase] {
		if len(out) < selection.Count && !slices.Contains(selection.Exclude, s) {
			out = append(out, s)
		}
	}

	return out
}

func (f *fleet) TakeRetry(time.Time, string) bool {
	f.retries--

	return f.retries >= 0
}

func (f *fleet) Fail(_ time.Time, server string) { f.failed = append(f.failed, server) }

// harness drives one machine and records its actions.
type harness struct {
	fleet      *fleet
	machine    *dispatcher.Machine
	now        time.Time
	actions    []dispatcher.Action
	text       string
	final      []dispatcher.Outcome
	open       map[string]string // server of each attempt that an agent still holds
	dispatches map[string]int    // number of dispatches by kind
	withdrawn  map[string]bool   // attempts that were withdrawn
	imports    map[string]int    // number of imports by attempt
	invalid    []dispatcher.Action
}

func newHarness(r dispatcher.Request) *harness {
	h := &harness{
		fleet: newFleet(), now: time.Unix(1000, 0),
		open: make(map[string]string), dispatches: make(map[string]int),
		withdrawn: make(map[string]bool), imports: make(map[string]int),
	}
	r.ID, r.Service = "r", "service"
	h.machine = dispatcher.New(r, h.fleet)

	return h
}

func model() dispatcher.Request {
	return dispatcher.Request{Kind: wire.Kind_KIND_MODEL, Tokens: 100, Limit: 10, Pieces: 1}
}

func booking() dispatcher.Request {
	return dispatcher.Request{Kind: wire.Kind_KIND_PLAIN, Method: "POST", Path: "/book", Key: "k"}
}

func lookup() dispatcher.Request {
	return dispatcher.Request{Kind: wire.Kind_KIND_PLAIN, Method: "GET", Path: "/seats", Idempotent: true}
}

// step passes events to the machine and records the actions.
func (h *harness) step(events ...dispatcher.Event) {
	for _, e := range events {
		for _, a := range h.machine.Step(h.now, e) {
			h.record(a)
			h.actions = append(h.actions, a)
		}
	}
}

// dispatched records a dispatch. Dispatches that an agent would reject are recorded as
// invalid: work for a withdrawn attempt, or a second import of one attempt.
func (h *harness) dispatched(kind, id string, a dispatcher.Action) {
	h.dispatches[kind]++
	if kind == "import" {
		h.imports[id]++
	}
	if h.withdrawn[id] || h.imports[id] > 1 && kind == "import" {
		h.invalid = append(h.invalid, a)
	}
}

func (h *harness) record(a dispatcher.Action) {
	switch a := a.(type) {
	case dispatcher.Ask:
		h.open[a.ID] = a.Server
	case dispatcher.Withdraw:
		delete(h.open, a.ID)
		h.withdrawn[a.ID] = true
	case dispatcher.Emit:
		h.text += a.Text
	case dispatcher.Finish:
		h.final = append(h.final, a.Outcome)
	case dispatcher.Prefill:
		h.dispatched("prefill", a.ID, a)
	case dispatcher.Import:
		h.dispatched("import", a.ID, a)
	case dispatcher.Run:
		h.dispatched("run", a.ID, a)
	case dispatcher.Decode:
		kind := "decode"
		if a.Resume {
			kind = "resume"
		}
		h.dispatched(kind, a.ID, a)
	}
}

// wait advances the time and wakes the machine.
func (h *harness) wait(d time.Duration) {
	h.now = h.now.Add(d)
	h.step(dispatcher.TimerFired{})
}

func (h *harness) chunk(id string, seq int64) dispatcher.ChunkReceived {
	return dispatcher.ChunkReceived{ID: id, Seq: seq, Text: string(rune('a' + seq)), Tokens: 1}
}

// lastAction returns the last action of a type.
func lastAction[T dispatcher.Action](h *harness) (last T) {
	for _, a := range h.actions {
		if a, ok := a.(T); ok {
			last = a
		}
	}

	return last
}

// prefilling advances a model request to its prefill. Asks r.1 and r.2 are for decode
// memory, r.3 and r.4 for the prefill.
func (h *harness) prefilling() *harness {
	h.step(dispatcher.Started{}, dispatcher.Granted{ID: "r.1"}, dispatcher.Granted{ID: "r.3"})

	return h
}

func (h *harness) importing() *harness {
	h.prefilling().step(dispatcher.Prefilled{ID: "r.3", Handle: "h", Source: "p1", Tokens: 100})

	return h
}

// stallTransfer lets the running transfer exceed its limit.
func (h *harness) stallTransfer() { h.wait(dispatcher.DefaultLimits().Transfer) }

// repeating advances a model request to its second import, r.5 on d1.
func (h *harness) repeating() *harness {
	h.importing().stallTransfer()
	h.step(dispatcher.Granted{ID: "r.5"})

	return h
}

func (h *harness) decoding() *harness {
	h.importing().step(dispatcher.Imported{ID: "r.1"})

	return h
}

// TestModelRequest checks that a request without failures emits the right answer and
// leaves no grant behind.
func TestModelRequest(t *testing.T) {
	h := newHarness(model()).decoding()
	h.step(h.chunk("r.1", 0), h.chunk("r.1", 1),
		dispatcher.Ended{ID: "r.1", Status: wire.Status_STATUS_DONE, Chunks: 2})
	if got, want := h.text, "ab"; got != want {
		t.Errorf("text: got %q, want %q", got, want)
	}
	if got, want := h.final, []dispatcher.Outcome{{Result: dispatcher.Done, Status: 200}}; !slices.Equal(got, want) {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
	delete(h.open, "r.1") // ended by the agent
	if got, want := len(h.open), 0; got != want {
		t.Errorf("open attempts: got %v, want %d", h.open, want)
	}
	if !h.machine.Finished() {
		t.Error("got a machine that still waits for events, want it finished")
	}
}

// BenchmarkModelRequest measures all steps of a request with 100 chunks.
func BenchmarkModelRequest(b *testing.B) {
	b.ReportAllocs()
	for range b.N {
		h := newHarness(model()).decoding()
		for seq := range int64(100) {
			h.step(dispatcher.ChunkReceived{ID: "r.1", Seq: seq, Text: "x", Tokens: 1})
		}
		h.done("r.1", 100)
	}
}
