package agent_test

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

	"github.com/damasklever/damasklever/internal/agent"
	"github.com/damasklever/damasklever/internal/emulator"
	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// testTimeout bounds each wait of a test. It is much longer than any expected wait,
// because the machine may be busy.
const testTimeout = 20 * time.Second

// control is a fake of the control hosts that holds one server.
type control struct {
	mu            sync.Mutex
	server        *wire.Server
	blocked       map[string]bool
	commands      []*wire.Command
	failProposals int           // number of proposals to fail before one is stored
	stale         bool          // the view is reported as not confirmed
	freshChecks   int           // number of calls of Fresh
	timeout       time.Duration // timeout of the service
	changedCalls  int           // number of calls of Changed
	changed       chan struct{}
}

func newControl() *control {
	return &control{blocked: make(map[string]bool), changed: make(chan struct{})}
}

func (c *control) Start() {}
func (c *control) Close() {}

func (c *control) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changedCalls++

	return c.changed
}

func (c *control) View() agent.View { return c }

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
	c.freshChecks++

	return !c.stale
}

func (c *control) Ranks() []*wire.Rank { return nil }
func (c *control) Rules() []*wire.Rule { return nil }

func (c *control) Propose(_ context.Context, cmd *wire.Command) (*wire.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failProposals > 0 {
		c.failProposals--

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
	c.notifyChanged()

	return &wire.Result{Outcome: wire.Outcome_OUTCOME_DONE}, nil
}

// notifyChanged wakes the followers of the view. The caller holds mu.
func (c *control) notifyChanged() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *control) set(s *wire.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server = s
	c.notifyChanged()
}

// setAndAwaitRead replaces the server and returns after every follower has read the new
// view.
func (c *control) setAndAwaitRead(s *wire.Server) {
	// A follower calls Changed before it reads the view, so it has read the first of
	// two views once it calls Changed again after the second.
	for range 2 {
		c.mu.Lock()
		before := c.changedCalls
		c.mu.Unlock()
		c.set(s)
		for c.followers() < before+followers {
			pollPause()
		}
	}
}

// followers is the number of goroutines of an agent that follow the view: followView and
// followOrders.
const followers = 2

// followers returns the number of calls of Changed by all followers.
func (c *control) followers() int {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.changedCalls
}

// awaitCommand waits for a stored command that satisfies ok.
func (c *control) awaitCommand(t *testing.T, ok func(*wire.Command) bool) *wire.Command {
	t.Helper()
	deadline := time.After(testTimeout)
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

// harness runs one agent with its backend server and a session of an entry.
type harness struct {
	t             *testing.T
	clock         *timer.Manual
	engine        *emulator.Engine
	plain         *emulator.PlainService
	control       *control
	testAgent     *agent.Agent
	session       *messenger.Session
	controlStream *entryStream
	cleanup       func() // releases what a test holds besides the attempt under test
}

// fastEngine returns the settings of an engine with the role and short delays.
func fastEngine(role string) emulator.EngineSettings {
	return emulator.EngineSettings{
		Role: role, Pieces: 8, PrefillRate: 1e6, DecodeRate: 1000, ExportRate: 1e8,
		ResultTTL: time.Hour, EventDelay: time.Millisecond, RestartDelay: 30 * time.Millisecond,
		OrderTime: time.Millisecond,
	}
}

func discardLogger() *log.Logger {
	return &log.Logger{Level: log.FatalLevel, Writer: &log.IOWriter{Writer: io.Discard}}
}

// testLogger returns a logger that writes to the output of the test.
func testLogger(t *testing.T) *log.Logger {
	return &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: t.Output()}}
}

// newHarness starts an engine and its agent. The test controls the agent's clock; the
// connections are real.
func newHarness(t *testing.T, s emulator.EngineSettings, change ...func(*agent.Settings)) *harness {
	t.Helper()
	engine, err := emulator.NewEngine(s)
	if err != nil {
		t.Fatal(err)
	}
	if err := engine.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = engine.Close() })
	h := &harness{t: t, engine: engine, clock: timer.NewManual(time.Unix(1e6, 0)), control: newControl()}
	h.startAgent(engine.Addr(), s.Role, s.Pieces, change...)

	return h
}

// newPlainHarness starts a plain service with two call slots and its agent.
func newPlainHarness(t *testing.T, change ...func(*agent.Settings)) *harness {
	t.Helper()
	plain := emulator.NewPlainService(30 * time.Millisecond)
	if err := plain.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = plain.Close() })
	h := &harness{t: t, plain: plain, clock: timer.NewManual(time.Unix(1e6, 0)), control: newControl()}
	h.startAgent(plain.Addr(), "plain", 2, change...)

	return h
}

// testMaxPrefills allows three prefills at a time: one that runs, one that crashes the
// engine and one that waits for its dispatch.
const testMaxPrefills = 3

func (h *harness) startAgent(backend, phase string, blocks int64, change ...func(*agent.Settings)) {
	h.t.Helper()
	settings := agent.Settings{
		Name: "s1", Service: "desk", Region: "kochi", Backend: backend, Phase: phase,
		Pieces: blocks, Slots: testMaxPrefills, StallTimeout: 300 * time.Millisecond,
	}
	for _, f := range change {
		f(&settings)
	}
	testAgent, err := agent.New(settings, agent.Deps{Timer: h.clock, Log: testLogger(h.t), Control: h.control})
	if err != nil {
		h.t.Fatal(err)
	}
	if err := testAgent.Start(context.Background()); err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = testAgent.Close() })
	h.testAgent = testAgent
	h.awaitReady()
	h.dial(1)
}

func (h *harness) awaitReady() {
	h.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !h.testAgent.Ready() {
		if time.Now().After(deadline) {
			h.t.Fatalf("agent is not ready: %+v", h.testAgent.Dump())
		}
		pollPause()
	}
}

// pollPause is called between two checks of a state that a test can only poll.
func pollPause() {
	<-time.After(time.Millisecond)
}

// dial opens a session as an entry process with the given epoch.
func (h *harness) dial(epoch uint64) {
	h.t.Helper()
	session, err := messenger.Dial(h.t.Context(), h.testAgent.Addr())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = session.Close() })
	h.session = session
	h.controlStream = h.openStream()
	h.controlStream.send(&wire.Call{Body: &wire.Call_Hello{Hello: &wire.Hello{Entry: "e1", Epoch: epoch}}})
	if got := h.controlStream.recv().GetWelcome(); got.GetEpoch() != h.testAgent.Epoch() {
		h.t.Fatalf("welcome: got %v, want epoch %d", got, h.testAgent.Epoch())
	}
}

// entryStream is one stream from an entry to the agent.
type entryStream struct {
	t      *testing.T
	stream *messenger.Stream
}

func (h *harness) openStream() *entryStream {
	h.t.Helper()
	stream, err := h.session.Open(h.t.Context())
	if err != nil {
		h.t.Fatal(err)
	}
	_ = stream.SetDeadline(time.Now().Add(testTimeout))

	return &entryStream{t: h.t, stream: stream}
}

func (x *entryStream) send(c *wire.Call) {
	x.t.Helper()
	if err := x.stream.Send(c); err != nil {
		x.t.Fatal(err)
	}
}

func (x *entryStream) recv() *wire.Reply {
	x.t.Helper()
	var r wire.Reply
	if err := x.stream.Recv(&r); err != nil {
		x.t.Fatalf("got %v, want a reply", err)
	}

	return &r
}

func (x *entryStream) ask(id string, phase wire.Phase, change ...func(*wire.Ask)) {
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

// granted sends an ask and expects a grant.
func (x *entryStream) granted(id string, phase wire.Phase, change ...func(*wire.Ask)) {
	x.t.Helper()
	x.ask(id, phase, change...)
	if got := x.recv(); got.GetGranted().GetId() != id {
		x.t.Fatalf("got %v, want a grant of %s", got, id)
	}
}

func (x *entryStream) prefill(id, prompt string, tokens int64) {
	x.t.Helper()
	x.send(&wire.Call{Body: &wire.Call_Prefill{Prefill: &wire.Prefill{
		Id: id, Prompt: prompt, Tokens: tokens,
	}}})
}

func (x *entryStream) startImport(id string, from *wire.Prefilled) {
	x.t.Helper()
	x.send(&wire.Call{Body: &wire.Call_Import{Import: &wire.Import{
		Id: id, Handle: from.GetHandle(), Source: from.GetSource(), Tokens: from.GetTokens(),
	}}})
}

func (x *entryStream) decode(id string, offset, limit int64) {
	x.t.Helper()
	x.send(&wire.Call{Body: &wire.Call_Decode{Decode: &wire.Decode{Id: id, Offset: offset, Limit: limit}}})
}

func (x *entryStream) withdraw(id string) {
	x.t.Helper()
	x.send(&wire.Call{Body: &wire.Call_Withdraw{Withdraw: &wire.Withdraw{Id: id}}})
}

// withdrawn expects the confirmation of a withdrawal and skips other replies.
func (x *entryStream) withdrawn(id string, ran bool) {
	x.t.Helper()
	for {
		got := x.recv().GetWithdrawn()
		if got == nil {
			continue
		}
		if got.GetId() != id || got.GetRan() != ran {
			x.t.Fatalf("got %v, want id %s and ran %v", got, id, ran)
		}

		return
	}
}

// ended expects the end of an attempt with the status. It skips other replies and
// returns the text of the chunks among them.
func (x *entryStream) ended(status wire.Status) string {
	x.t.Helper()
	var text strings.Builder
	for {
		r := x.recv()
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

func (x *entryStream) refused(reason string) {
	x.t.Helper()
	if got := x.recv(); !strings.HasPrefix(got.GetRefused().GetReason(), reason) {
		x.t.Fatalf("got %v, want a refusal for %q", got, reason)
	}
}

// awaitAllFree waits until the engine holds no memory and the agent has released all
// grants.
func (h *harness) awaitAllFree() {
	h.t.Helper()
	h.awaitEngine(func(c emulator.Counters) bool { return c.HeldBlocks == 0 && c.RunningJobs == 0 })
	deadline := time.Now().Add(testTimeout)
	for d := h.testAgent.Dump(); d.Free != d.Total; d = h.testAgent.Dump() {
		if time.Now().After(deadline) {
			h.t.Fatalf("got %d of %d blocks free, want all: %+v", d.Free, d.Total, d.Grants)
		}
		pollPause()
	}
}

func (h *harness) awaitEngine(ok func(c emulator.Counters) bool) {
	h.t.Helper()
	ctx, cancel := context.WithTimeout(h.t.Context(), testTimeout)
	defer cancel()
	if err := h.engine.Await(ctx, ok); err != nil {
		h.t.Fatal(err)
	}
}

// importPrompt asks for a decode and imports a prompt, so that the attempt can decode.
func (h *harness) importPrompt(x *entryStream, id, prompt string, change ...func(*wire.Ask)) {
	h.t.Helper()
	x.granted(id, wire.Phase_PHASE_DECODE, change...)
	x.startImport(id, h.prefillElsewhere(prompt, 100))
	if got := x.recv(); got.GetImported().GetId() != id {
		h.t.Fatalf("got %v, want %s imported", got, id)
	}
}

// prefillElsewhere runs a prefill on another engine and returns its result.
func (h *harness) prefillElsewhere(prompt string, tokens int64) *wire.Prefilled {
	h.t.Helper()
	other := newHarness(h.t, fastEngine("prefill"))
	x := other.openStream()
	x.granted("p", wire.Phase_PHASE_PREFILL)
	x.prefill("p", prompt, tokens)
	r := x.recv().GetPrefilled()
	if r == nil {
		h.t.Fatal("got no prefill result, want one")
	}
	h.t.Cleanup(func() { _ = other.session.Close() })

	return r
}
