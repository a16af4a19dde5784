package dispatcher_test

import (
	"slices"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/dispatcher"
	"github.com/damasklever/damasklever/internal/wire"
)

// fleet is a policy over fixed servers.
type fleet struct {
	servers map[wire.Phase][]string
	budget  int
	failed  []string
}

func newFleet() *fleet {
	return &fleet{budget: 1, servers: map[wire.Phase][]string{
		wire.Phase_PHASE_DECODE:  {"d1", "d2", "d3", "d4"},
		wire.Phase_PHASE_PREFILL: {"p1", "p2", "p3", "p4"},
		wire.Phase_PHASE_PLAIN:   {"s1", "s2", "s3", "s4"},
	}}
}

func (f *fleet) Pick(_ time.Time, _ *dispatcher.Request, c dispatcher.Choice) []string {
	var out []string
	for _, s := range f.servers[c.Phase] {
		if len(out) < c.Count && !slices.Contains(c.Avoid, s) {
			out = append(out, s)
		}
	}

	return out
}

func (f *fleet) Retry(time.Time, string) bool {
	f.budget--

	return f.budget >= 0
}

func (f *fleet) Fail(_ time.Time, server string) { f.failed = append(f.failed, server) }

// rig drives one machine and records what comes out.
type rig struct {
	fleet   *fleet
	machine *dispatcher.Machine
	now     time.Time
	all     []dispatcher.Action
	text    string
	final   []dispatcher.Outcome
	open    map[string]string // attempts that the agents still hold, by server
	sent    map[string]int    // dispatches by kind
	ended   map[string]bool   // withdrawn attempts
	imports map[string]int    // by attempt
	misuse  []dispatcher.Action
}

func newRig(r dispatcher.Request) *rig {
	g := &rig{
		fleet: newFleet(), now: time.Unix(1000, 0),
		open: make(map[string]string), sent: make(map[string]int),
		ended: make(map[string]bool), imports: make(map[string]int),
	}
	r.ID, r.Service = "r", "service"
	g.machine = dispatcher.New(r, g.fleet)

	return g
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

// step passes events in order.
func (g *rig) step(events ...dispatcher.Event) {
	for _, e := range events {
		for _, a := range g.machine.Step(g.now, e) {
			g.record(a)
			g.all = append(g.all, a)
		}
	}
}

// dispatched checks what no agent accepts: work for a withdrawn attempt, or a
// second import of one attempt.
func (g *rig) dispatched(kind, id string, a dispatcher.Action) {
	g.sent[kind]++
	if kind == "import" {
		g.imports[id]++
	}
	if g.ended[id] || g.imports[id] > 1 && kind == "import" {
		g.misuse = append(g.misuse, a)
	}
}

func (g *rig) record(a dispatcher.Action) {
	switch a := a.(type) {
	case dispatcher.Ask:
		g.open[a.ID] = a.Server
	case dispatcher.Withdraw:
		delete(g.open, a.ID)
		g.ended[a.ID] = true
	case dispatcher.Emit:
		g.text += a.Text
	case dispatcher.Finish:
		g.final = append(g.final, a.Outcome)
	case dispatcher.Prefill:
		g.dispatched("prefill", a.ID, a)
	case dispatcher.Import:
		g.dispatched("import", a.ID, a)
	case dispatcher.Run:
		g.dispatched("run", a.ID, a)
	case dispatcher.Decode:
		kind := "decode"
		if a.Resume {
			kind = "resume"
		}
		g.dispatched(kind, a.ID, a)
	}
}

// wait moves the time and wakes the machine.
func (g *rig) wait(d time.Duration) {
	g.now = g.now.Add(d)
	g.step(dispatcher.Woken{})
}

func (g *rig) chunk(id string, seq int64) dispatcher.Arrived {
	return dispatcher.Arrived{ID: id, Seq: seq, Text: string(rune('a' + seq)), Tokens: 1}
}

// find returns the last action of a type.
func find[T dispatcher.Action](g *rig) (last T) {
	for _, a := range g.all {
		if a, ok := a.(T); ok {
			last = a
		}
	}

	return last
}

// prefilling takes a model request to its prefill; asks r.1 and r.2 are for
// decode memory, r.3 and r.4 for the prefill.
func (g *rig) prefilling() *rig {
	g.step(dispatcher.Begin{}, dispatcher.Granted{ID: "r.1"}, dispatcher.Granted{ID: "r.3"})

	return g
}

func (g *rig) importing() *rig {
	g.prefilling().step(dispatcher.Prefilled{ID: "r.3", Handle: "h", Source: "p1", Tokens: 100})

	return g
}

// stall lets the running transfer exceed its limit.
func (g *rig) stall() { g.wait(dispatcher.DefaultLimits().Transfer) }

// repeating takes a model request to the second import, r.5 at d1.
func (g *rig) repeating() *rig {
	g.importing().stall()
	g.step(dispatcher.Granted{ID: "r.5"})

	return g
}

func (g *rig) decoding() *rig {
	g.importing().step(dispatcher.Imported{ID: "r.1"})

	return g
}

// Guards against a happy path that emits a wrong answer or leaves a grant.
func TestModelRequest(t *testing.T) {
	g := newRig(model()).decoding()
	g.step(g.chunk("r.1", 0), g.chunk("r.1", 1),
		dispatcher.Ended{ID: "r.1", Status: wire.Status_STATUS_DONE, Chunks: 2})
	if got, want := g.text, "ab"; got != want {
		t.Errorf("text: got %q, want %q", got, want)
	}
	if got, want := g.final, []dispatcher.Outcome{{Result: dispatcher.Done, Status: 200}}; !slices.Equal(got, want) {
		t.Errorf("outcome: got %v, want %v", got, want)
	}
	delete(g.open, "r.1") // the agent ended it
	if got, want := len(g.open), 0; got != want {
		t.Errorf("open attempts: got %v, want %d", g.open, want)
	}
	if !g.machine.Over() {
		t.Error("got a machine that waits, want it over")
	}
}

// BenchmarkModelRequest measures the decisions of one request with 100 chunks.
func BenchmarkModelRequest(b *testing.B) {
	b.ReportAllocs()
	for range b.N {
		g := newRig(model()).decoding()
		for seq := range int64(100) {
			g.step(dispatcher.Arrived{ID: "r.1", Seq: seq, Text: "x", Tokens: 1})
		}
		g.done("r.1", 100)
	}
}
