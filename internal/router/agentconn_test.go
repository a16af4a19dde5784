package router_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/router"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// fakeAgent is an agent under the control of a test. It answers Hello, and unless it
// is silent also Renew and Ask. It confirms Withdraw if ran is set. All calls but
// Hello are passed to the test.
type fakeAgent struct {
	t        *testing.T
	name     string
	calls    chan *wire.Call // all but Hello
	mu       sync.Mutex
	epoch    uint64
	hellos   []*wire.Hello
	streams  []*messenger.Stream
	ran      *bool // in the reply to Withdraw, nil for no reply
	silent   bool  // doesn't answer Ask and Renew
	busy     bool  // doesn't answer Ask
	listener *messenger.Listener
}

func newFakeAgent(t *testing.T, name string) *fakeAgent {
	t.Helper()
	a := &fakeAgent{t: t, name: name, calls: make(chan *wire.Call, 1000), epoch: 1}
	var err error
	if a.listener, err = messenger.Listen("127.0.0.1:0", a.serve); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.listener.Close() })

	return a
}

func (a *fakeAgent) serve(_ context.Context, s *messenger.Stream) {
	a.mu.Lock()
	a.streams = append(a.streams, s)
	a.mu.Unlock()
	for {
		call := new(wire.Call)
		if s.Recv(call) != nil {
			return
		}
		a.mu.Lock()
		epoch, ran, silent, busy := a.epoch, a.ran, a.silent, a.busy
		if h := call.GetHello(); h != nil {
			a.hellos = append(a.hellos, h)
		}
		a.mu.Unlock()
		switch b := call.GetBody().(type) {
		case *wire.Call_Hello:
			s.Send(&wire.Reply{Body: &wire.Reply_Welcome{Welcome: &wire.Welcome{Server: a.name, Epoch: epoch}}})

			continue
		case *wire.Call_Renew:
			if !silent {
				s.Send(&wire.Reply{Body: &wire.Reply_Load{Load: &wire.Load{Total: 2, Free: 2}}})
			}
		case *wire.Call_Ask:
			if silent || busy {
				break
			}
			s.Send(&wire.Reply{Body: &wire.Reply_Granted{Granted: &wire.Granted{Id: b.Ask.GetId(), Epoch: epoch}}})
		case *wire.Call_Withdraw:
			if ran != nil {
				s.Send(&wire.Reply{Body: &wire.Reply_Withdrawn{Withdrawn: &wire.Withdrawn{Id: b.Withdraw.GetId(), Ran: *ran}}})
			}
		}
		a.calls <- call
	}
}

// closeStreams closes every stream. Without their control streams the sessions end
// too.
func (a *fakeAgent) closeStreams() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.streams {
		s.Close()
	}
	a.streams = nil
}

// set changes fields of the agent under its lock.
func (a *fakeAgent) set(change func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change()
}

// awaitCall returns the next call that satisfies ok and drops the ones before it.
func (a *fakeAgent) awaitCall(what string, ok func(c *wire.Call) bool) *wire.Call {
	a.t.Helper()
	deadline := time.After(testTimeout)
	for {
		select {
		case c := <-a.calls:
			if ok(c) {
				return c
			}
		case <-deadline:
			a.t.Fatalf("got no %s, want one", what)
		}
	}
}

func isRun(c *wire.Call) bool      { return c.GetRun() != nil }
func isWithdraw(c *wire.Call) bool { return c.GetWithdraw() != nil }

// newFakeAgentCluster starts an entry whose plain service has fake agents.
func newFakeAgentCluster(t *testing.T, clock timer.Service, reg prometheus.Registerer, agents ...*fakeAgent) *testCluster {
	t.Helper()
	s := &testCluster{t: t, control: newControl()}
	s.control.config.services = []*wire.Service{{Name: "desk", Kind: wire.Kind_KIND_PLAIN, Timeout: 5000}}
	s.control.config.ranks = []*wire.Rank{{Name: "master", First: 2000}}
	for _, a := range agents {
		s.control.config.servers = append(s.control.config.servers, &wire.Server{
			Name: a.name, Service: "desk", Phase: "plain", Addr: a.listener.Addr(), Region: "kochi", Pieces: 2,
		})
	}
	s.control.config.index = 1
	var err error
	s.entry, err = router.New(router.Settings{Name: "e1", Region: "kochi", Listen: "127.0.0.1:0"},
		router.Deps{Timer: clock, Log: discardLogger(), Control: s.control, Registry: reg})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.entry.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.entry.Close() })

	return s
}

// Guards against a lease that expires although the entry is alive. That would cancel
// every request that takes longer than the lease.
func TestRenew(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	agent := newFakeAgent(t, "s1")
	s := newFakeAgentCluster(t, clock, nil, agent)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _ = s.do(ctx, "POST", "/s/desk/book", "x") }()
	agent.awaitCall("run", isRun)
	for range 4 {
		clock.Advance(time.Second)
		agent.awaitCall("renewal", func(c *wire.Call) bool { return c.GetRenew() != nil })
		// The clock only moves by Advance, so the silence is 0 after the reply.
		// Without this wait, four replies in transit would make the agent look
		// silent.
		s.await("reply to a renewal", func() bool {
			state, ok := s.entry.Dump().(router.State)

			return ok && len(state.Sessions) == 1 && state.Sessions[0].Up && state.Sessions[0].Silence == 0
		})
	}
	if h := agent.hellos[0]; h.GetEntry() != "e1" || h.GetEpoch() == 0 {
		t.Errorf("hello: got %v, want the entry's name and epoch", h)
	}
}

// The connection to the agent breaks after a booking was dispatched. Guards against
// sending it to a second server, against losing the withdrawal with the connection,
// and against keeping the claim although the agent confirmed that nothing ran.
func TestLostAcknowledgement(t *testing.T) {
	tests := map[string]struct {
		ran  bool
		want wire.Stage
	}{
		"not run": {false, wire.Stage_STAGE_FREE},
		"ran":     {true, wire.Stage_STAGE_LOST},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := timer.NewManual(time.Unix(1000, 0))
			agents := []*fakeAgent{newFakeAgent(t, "s1"), newFakeAgent(t, "s2")}
			s := newFakeAgentCluster(t, clock, nil, agents...)
			ended := make(chan reply, 1)
			go func() { ended <- s.call("POST", "/s/desk/book", "x") }()
			agent := s.awaitRun(agents)
			agent.closeStreams()
			r := <-ended
			if r.status != 502 || r.outcome != "may-have-run" {
				t.Errorf("got %d %s, want 502 may-have-run", r.status, r.outcome)
			}
			agent.set(func() { agent.ran = &test.ran })
			for len(s.settledStages()) == 0 {
				clock.Advance(200 * time.Millisecond) // for the reconnect, and for the confirmation timeout of a call that ran
				<-time.After(time.Millisecond)
			}
			if got := s.settledStages()[0]; got != test.want {
				t.Errorf("claim: got %v, want %v", got, test.want)
			}
			for _, a := range agents {
				select {
				case c := <-a.calls:
					if isRun(c) {
						t.Errorf("%s: got a second dispatch %v, want none", a.name, c)
					}
				default:
				}
			}
		})
	}
}

// awaitRun waits until one of two agents receives a Run call and returns that agent.
func (s *testCluster) awaitRun(agents []*fakeAgent) *fakeAgent {
	s.t.Helper()
	deadline := time.After(testTimeout)
	for {
		select {
		case c := <-agents[0].calls:
			if isRun(c) {
				return agents[0]
			}
		case c := <-agents[1].calls:
			if isRun(c) {
				return agents[1]
			}
		case <-deadline:
			s.t.Fatal("got no run call, want one")
		}
	}
}

// settledStages returns the stages of all settlements so far.
func (s *testCluster) settledStages() []wire.Stage {
	s.control.mu.Lock()
	defer s.control.mu.Unlock()

	return append([]wire.Stage(nil), s.control.settledStages...)
}

// Two of three agents don't answer. Guards against a request that keeps waiting for
// them instead of asking the third.
func TestSilentAgents(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	agents := []*fakeAgent{newFakeAgent(t, "s1"), newFakeAgent(t, "s2"), newFakeAgent(t, "s3")}
	for _, a := range agents {
		a.silent = true
	}
	s := newFakeAgentCluster(t, clock, nil, agents...)
	s.control.set(func(c *config) {
		c.ranks = []*wire.Rank{{Name: "drill"}}
		c.services = []*wire.Service{{Name: "desk", Kind: wire.Kind_KIND_PLAIN, Timeout: 60_000}}
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _ = s.do(ctx, "POST", "/s/desk/book", "x") }()
	s.await("asks", func() bool { return len(agents[0].calls)+len(agents[1].calls)+len(agents[2].calls) == 2 })
	for _, a := range agents {
		a.set(func() { a.silent = len(a.calls) > 0 })
	}
	for _, a := range agents {
		if !a.silent {
			for range 5 { // well before the deadline of the request
				clock.Advance(time.Second)
			}
			a.awaitCall("run", isRun)
		}
	}
}

// Guards against a withdrawal without the epoch of the grant: a restarted agent would
// reply that the attempt did not run. Also guards against not counting the restart.
func TestAgentRestart(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	reg := prometheus.NewRegistry()
	agent := newFakeAgent(t, "s1")
	s := newFakeAgentCluster(t, clock, reg, agent)
	go func() { _, _ = s.do(t.Context(), "POST", "/s/desk/book", "x") }()
	agent.awaitCall("run", isRun)
	agent.set(func() { agent.epoch = 2 })
	agent.closeStreams()
	var withdraw *wire.Call
	for withdraw == nil {
		clock.Advance(200 * time.Millisecond)
		select {
		case c := <-agent.calls:
			if isWithdraw(c) {
				withdraw = c
			}
		case <-time.After(time.Millisecond):
		}
	}
	if got, want := withdraw.GetWithdraw().GetEpoch(), uint64(1); got != want {
		t.Errorf("epoch of the withdrawal: got %d, want %d", got, want)
	}
	// The withdrawal may still have been sent in the old session.
	s.await("new session", func() bool {
		clock.Advance(200 * time.Millisecond)

		return counterValue(t, reg, "damask_agent_restarts_total") > 0
	})
	if got, want := counterValue(t, reg, "damask_agent_restarts_total"), 1.0; got != want {
		t.Errorf("restarts: got %v, want %v", got, want)
	}
}

// counterValue returns the sum of a counter over all its labels.
func counterValue(t *testing.T, reg *prometheus.Registry, name string) float64 {
	t.Helper()
	families, err := reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	sum := 0.0
	for _, f := range families {
		if f.GetName() == name {
			for _, m := range f.GetMetric() {
				sum += m.GetCounter().GetValue()
			}
		}
	}

	return sum
}

// Guards against accepting a request that would exceed its latency target, and
// against a refusal that isn't counted.
func TestOverload(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	reg := prometheus.NewRegistry()
	agent := newFakeAgent(t, "s1")
	s := newFakeAgentCluster(t, clock, reg, agent)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _ = s.do(ctx, "POST", "/s/desk/book", "x") }()
	agent.awaitCall("run", isRun)
	agent.set(func() {
		agent.streams[0].Send(&wire.Reply{Body: &wire.Reply_Load{Load: &wire.Load{Total: 2, Waits: []int64{60_000}}}})
	})
	var r reply
	s.await("refusal", func() bool {
		short, stop := context.WithTimeout(ctx, 100*time.Millisecond)
		defer stop()
		r, _ = s.do(short, "POST", "/s/desk/book", "y")

		return r.status != 0
	})
	if r.status != 429 || r.outcome != "not-run" || r.header.Get("Retry-After") == "" {
		t.Errorf("got %d %s %s, want 429 not-run and Retry-After", r.status, r.outcome, r.body)
	}
	if got := counterValue(t, reg, "damask_requests_total"); got < 1 {
		t.Errorf("requests counted: got %v, want at least 1", got)
	}
}
