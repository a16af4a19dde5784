package attendant_test

import (
	"context"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/attendant"
	"github.com/damasklever/damasklever/internal/imitator"
	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// patience bounds every wait of a test. It is far above any expected time, as
// the machine may be busy.
const patience = 20 * time.Second

// control is a fake of the control hosts with one server.
type control struct {
	mu       sync.Mutex
	server   *wire.Server
	blocked  map[string]bool
	commands []*wire.Command
	refuse   int // proposals that fail before one is stored
	stale    bool
	checks   int           // of whether the view is fresh
	timeout  time.Duration // of the service
	followed int           // times that a follower began to wait for the next view
	changed  chan struct{}
}

func newControl() *control {
	return &control{blocked: make(map[string]bool), changed: make(chan struct{})}
}

func (c *control) Start() {}
func (c *control) Close() {}

func (c *control) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.followed++

	return c.changed
}

func (c *control) View() attendant.View { return c }

func (c *control) Server(string) *wire.Server {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.server
}

func (c *control) Blocked(digest string, _ time.Time) *wire.Block {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.blocked[digest] {
		return &wire.Block{Digest: digest}
	}

	return nil
}

func (c *control) Service(string) *wire.Service {
	return &wire.Service{Timeout: c.timeout.Milliseconds()}
}

func (c *control) Fresh(time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checks++

	return !c.stale
}

func (c *control) Ranks() []*wire.Rank { return nil }
func (c *control) Rules() []*wire.Rule { return nil }

func (c *control) Propose(_ context.Context, cmd *wire.Command) (*wire.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refuse > 0 {
		c.refuse--

		return &wire.Result{Outcome: wire.Outcome_OUTCOME_REFUSED}, nil
	}
	c.commands = append(c.commands, cmd)
	if r := cmd.GetReport(); r != nil {
		server, _ := proto.Clone(c.server).(*wire.Server)
		server.Orders = slices.DeleteFunc(server.GetOrders(), func(o *wire.Order) bool {
			return o.GetId() == r.GetOrder()
		})
		c.server = server
	}
	if r := cmd.GetRegister(); r != nil && c.server != nil {
		server, _ := proto.Clone(c.server).(*wire.Server)
		server.Phase = r.GetAttach().GetPhase()
		c.server = server
	}
	c.announce()

	return &wire.Result{Outcome: wire.Outcome_OUTCOME_DONE}, nil
}

func (c *control) announce() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *control) set(s *wire.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server = s
	c.announce()
}

// seen stores a view and returns after every follower has read it.
func (c *control) seen(s *wire.Server) {
	// A follower asks for the next change before it reads a view, so it has
	// read the first of these when it is woken by the second.
	for range 2 {
		c.mu.Lock()
		before := c.followed
		c.mu.Unlock()
		c.set(s)
		for c.followers() < before+followers {
			pauseBriefly()
		}
	}
}

// followers is the number of goroutines of an agent that follow the view.
const followers = 2

func (c *control) followers() int {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.followed
}

// await blocks until a stored command satisfies ok.
func (c *control) await(t *testing.T, ok func(*wire.Command) bool) *wire.Command {
	t.Helper()
	deadline := time.After(patience)
	for {
		c.mu.Lock()
		changed, list := c.changed, c.commands
		c.mu.Unlock()
		for _, cmd := range list {
			if ok(cmd) {
				return cmd
			}
		}
		select {
		case <-changed:
		case <-deadline:
			t.Fatalf("got commands %v, want another one", list)
		}
	}
}

// site is one agent with its backend server and an entry's session.
type site struct {
	t       *testing.T
	clock   *timer.Manual
	engine  *imitator.Engine
	plain   *imitator.Plain
	control *control
	agent   *attendant.Attendant
	session *messenger.Session
	hello   *exchange
	last    func() // ends what else a test holds
}

func fast(role string) imitator.EngineSettings {
	return imitator.EngineSettings{
		Role: role, Pieces: 8, PrefillRate: 1e6, DecodeRate: 1000, LinkRate: 1e8,
		Keep: time.Hour, EventDelay: time.Millisecond, Restart: 30 * time.Millisecond,
		LoadTime: time.Millisecond,
	}
}

func quiet() *log.Logger {
	return &log.Logger{Level: log.FatalLevel, Writer: &log.IOWriter{Writer: io.Discard}}
}

// logTo shows the agent's log when a test fails.
func logTo(t *testing.T) *log.Logger {
	return &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: t.Output()}}
}

// newSite starts an engine and its agent. The agent's clock is driven by the
// test; the sockets are real.
func newSite(t *testing.T, s imitator.EngineSettings) *site {
	t.Helper()
	engine, err := imitator.NewEngine(s)
	if err != nil {
		t.Fatal(err)
	}
	if err := engine.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = engine.Close() })
	h := &site{t: t, engine: engine, clock: timer.NewManual(time.Unix(1e6, 0)), control: newControl()}
	h.start(engine.Addr(), s.Role, s.Pieces)

	return h
}

func newPlainSite(t *testing.T) *site {
	t.Helper()
	plain := imitator.NewPlain(30 * time.Millisecond)
	if err := plain.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = plain.Close() })
	h := &site{t: t, plain: plain, clock: timer.NewManual(time.Unix(1e6, 0)), control: newControl()}
	h.start(plain.Addr(), "plain", 2)

	return h
}

// rigSlots lets one prefill run, one crash the engine and one wait for its
// dispatch at the same time.
const rigSlots = 3

func (h *site) start(backend, phase string, pieces int64) {
	h.t.Helper()
	agent, err := attendant.New(attendant.Settings{
		Name: "s1", Service: "desk", Region: "kochi", Backend: backend, Phase: phase,
		Pieces: pieces, Slots: rigSlots, Stall: 300 * time.Millisecond,
	}, attendant.Deps{Timer: h.clock, Log: logTo(h.t), Control: h.control})
	if err != nil {
		h.t.Fatal(err)
	}
	if err := agent.Start(context.Background()); err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = agent.Close() })
	h.agent = agent
	h.awaitReady()
	h.dial(1)
}

func (h *site) awaitReady() {
	h.t.Helper()
	deadline := time.Now().Add(patience)
	for !h.agent.Ready() {
		if time.Now().After(deadline) {
			h.t.Fatalf("got an agent that is not ready, want it ready: %+v", h.agent.Dump())
		}
		pauseBriefly()
	}
}

// pauseBriefly lets other goroutines run while a test polls a state that has no
// channel.
func pauseBriefly() {
	<-time.After(time.Millisecond)
}

// dial opens a session of the entry process with the epoch.
func (h *site) dial(epoch uint64) {
	h.t.Helper()
	session, err := messenger.Dial(h.t.Context(), h.agent.Addr())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = session.Close() })
	h.session = session
	h.hello = h.open()
	h.hello.send(&wire.Call{Body: &wire.Call_Hello{Hello: &wire.Hello{Entry: "e1", Epoch: epoch}}})
	if got := h.hello.next().GetWelcome(); got.GetEpoch() != h.agent.Epoch() {
		h.t.Fatalf("welcome: got %v, want epoch %d", got, h.agent.Epoch())
	}
}

// exchange is one stream to the agent.
type exchange struct {
	t      *testing.T
	stream *messenger.Stream
}

func (h *site) open() *exchange {
	h.t.Helper()
	stream, err := h.session.Open(h.t.Context())
	if err != nil {
		h.t.Fatal(err)
	}
	_ = stream.SetDeadline(time.Now().Add(patience))

	return &exchange{t: h.t, stream: stream}
}

func (x *exchange) send(c *wire.Call) {
	x.t.Helper()
	if err := x.stream.Send(c); err != nil {
		x.t.Fatal(err)
	}
}

func (x *exchange) next() *wire.Reply {
	x.t.Helper()
	var r wire.Reply
	if err := x.stream.Recv(&r); err != nil {
		x.t.Fatalf("got %v, want a reply", err)
	}

	return &r
}

func (x *exchange) ask(id string, phase wire.Phase, change ...func(*wire.Ask)) {
	x.t.Helper()
	a := &wire.Ask{
		Id: id, Phase: phase, Due: 60_000, Pieces: 2, Cost: 1000, Service: "desk",
		Caller: "c1", Entry: "e1", Epoch: 1, Digest: "digest of " + id,
	}
	for _, fn := range change {
		fn(a)
	}
	x.send(&wire.Call{Body: &wire.Call_Ask{Ask: a}})
}

// granted asks and expects the grant.
func (x *exchange) granted(id string, phase wire.Phase, change ...func(*wire.Ask)) {
	x.t.Helper()
	x.ask(id, phase, change...)
	if got := x.next(); got.GetGranted().GetId() != id {
		x.t.Fatalf("got %v, want a grant of %s", got, id)
	}
}

func (x *exchange) prefill(id, prompt string, tokens int64) {
	x.t.Helper()
	x.send(&wire.Call{Body: &wire.Call_Prefill{Prefill: &wire.Prefill{
		Id: id, Prompt: prompt, Tokens: tokens,
	}}})
}

func (x *exchange) load(id string, from *wire.Prefilled) {
	x.t.Helper()
	x.send(&wire.Call{Body: &wire.Call_Import{Import: &wire.Import{
		Id: id, Handle: from.GetHandle(), Source: from.GetSource(), Tokens: from.GetTokens(),
	}}})
}

func (x *exchange) decode(id string, offset, limit int64) {
	x.t.Helper()
	x.send(&wire.Call{Body: &wire.Call_Decode{Decode: &wire.Decode{Id: id, Offset: offset, Limit: limit}}})
}

func (x *exchange) withdraw(id string) {
	x.t.Helper()
	x.send(&wire.Call{Body: &wire.Call_Withdraw{Withdraw: &wire.Withdraw{Id: id}}})
}

// withdrawn expects the confirmation, after other replies.
func (x *exchange) withdrawn(id string, ran bool) {
	x.t.Helper()
	for {
		got := x.next().GetWithdrawn()
		if got == nil {
			continue
		}
		if got.GetId() != id || got.GetRan() != ran {
			x.t.Fatalf("got %v, want id %s and ran %v", got, id, ran)
		}

		return
	}
}

// ended expects the end of an attempt, after other replies.
func (x *exchange) ended(status wire.Status) string {
	x.t.Helper()
	var text strings.Builder
	for {
		r := x.next()
		text.WriteString(r.GetChunk().GetText())
		if r.GetEnded() == nil {
			continue
		}
		if got := r.GetEnded().GetStatus(); got != status {
			x.t.Fatalf("got %v, want %v", r, status)
		}

		return text.String()
	}
}

func (x *exchange) refused(reason string) {
	x.t.Helper()
	if got := x.next(); !strings.HasPrefix(got.GetRefused().GetReason(), reason) {
		x.t.Fatalf("got %v, want a refusal for %q", got, reason)
	}
}

// freed waits until the engine holds nothing and the agent has released all.
func (h *site) freed() {
	h.t.Helper()
	h.awaitEngine(func(c imitator.Counters) bool { return c.Held == 0 && c.Running == 0 })
	deadline := time.Now().Add(patience)
	for d := h.agent.Dump(); d.Free != d.Total; d = h.agent.Dump() {
		if time.Now().After(deadline) {
			h.t.Fatalf("got %d of %d pieces free, want all: %+v", d.Free, d.Total, d.Grants)
		}
		pauseBriefly()
	}
}

func (h *site) awaitEngine(ok func(c imitator.Counters) bool) {
	h.t.Helper()
	ctx, cancel := context.WithTimeout(h.t.Context(), patience)
	defer cancel()
	if err := h.engine.Await(ctx, ok); err != nil {
		h.t.Fatal(err)
	}
}

// imported takes an attempt of a decode site to the point where it can decode.
func (h *site) imported(x *exchange, id, prompt string, change ...func(*wire.Ask)) {
	h.t.Helper()
	x.granted(id, wire.Phase_PHASE_DECODE, change...)
	x.load(id, h.source(prompt, 100))
	if got := x.next(); got.GetImported().GetId() != id {
		h.t.Fatalf("got %v, want %s imported", got, id)
	}
}

// source runs a prefill on another engine.
func (h *site) source(prompt string, tokens int64) *wire.Prefilled {
	h.t.Helper()
	other := newSite(h.t, fast("prefill"))
	x := other.open()
	x.granted("p", wire.Phase_PHASE_PREFILL)
	x.prefill("p", prompt, tokens)
	r := x.next().GetPrefilled()
	if r == nil {
		h.t.Fatal("got no prefill result, want one")
	}
	h.t.Cleanup(func() { _ = other.session.Close() })

	return r
}
