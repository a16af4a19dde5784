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

// fakeAgent is an agent whose replies a test gives. It answers Hello, Ask and,
// if told so, Withdraw by itself.
type fakeAgent struct {
	t       *testing.T
	name    string
	calls   chan *wire.Call // all but Hello
	mu      sync.Mutex
	epoch   uint64
	hellos  []*wire.Hello
	streams []*messenger.Stream
	ran     *bool // answer to a Withdraw, nil: none
	mute    bool  // grants nothing and reports no load
	inner   *messenger.Listener
}

func newFakeAgent(t *testing.T, name string) *fakeAgent {
	t.Helper()
	a := &fakeAgent{t: t, name: name, calls: make(chan *wire.Call, 1000), epoch: 1}
	var err error
	if a.inner, err = messenger.Listen("127.0.0.1:0", a.serve); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.inner.Close() })

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
		epoch, ran, mute := a.epoch, a.ran, a.mute
		if h := call.GetHello(); h != nil {
			a.hellos = append(a.hellos, h)
		}
		a.mu.Unlock()
		switch b := call.GetBody().(type) {
		case *wire.Call_Hello:
			s.Send(&wire.Reply{Body: &wire.Reply_Welcome{Welcome: &wire.Welcome{Server: a.name, Epoch: epoch}}})

			continue
		case *wire.Call_Renew:
			if !mute {
				s.Send(&wire.Reply{Body: &wire.Reply_Load{Load: &wire.Load{Total: 2, Free: 2}}})
			}
		case *wire.Call_Ask:
			if mute {
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

// cut breaks every stream, and the sessions by their control streams.
func (a *fakeAgent) cut() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.streams {
		s.Close()
	}
	a.streams = nil
}

func (a *fakeAgent) set(change func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change()
}

// next waits for the next call that satisfies ok.
func (a *fakeAgent) next(what string, ok func(c *wire.Call) bool) *wire.Call {
	a.t.Helper()
	deadline := time.After(patience)
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

// newFakeSite is an entry with fake agents of the plain service.
func newFakeSite(t *testing.T, clock timer.Service, reg prometheus.Registerer, agents ...*fakeAgent) *site {
	t.Helper()
	s := &site{t: t, control: newControl()}
	s.control.view.services = []*wire.Service{{Name: "desk", Kind: wire.Kind_KIND_PLAIN, Timeout: 5000}}
	s.control.view.ranks = []*wire.Rank{{Name: "master", First: 2000}}
	for _, a := range agents {
		s.control.view.servers = append(s.control.view.servers, &wire.Server{
			Name: a.name, Service: "desk", Phase: "plain", Addr: a.inner.Addr(), Region: "kochi", Pieces: 2,
		})
	}
	s.control.view.index = 1
	var err error
	s.entry, err = router.New(router.Settings{Name: "e1", Region: "kochi", Listen: "127.0.0.1:0"},
		router.Deps{Timer: clock, Log: quiet(), Control: s.control, Registry: reg})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.entry.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.entry.Close() })

	return s
}

// Guards against a lease that ends while its entry is alive, which would cancel
// every request that runs longer than it.
func TestRenew(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	agent := newFakeAgent(t, "s1")
	s := newFakeSite(t, clock, nil, agent)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _ = s.do(ctx, "POST", "/s/desk/book", "x") }()
	agent.next("run", isRun)
	for range 4 {
		clock.Advance(time.Second)
		agent.next("renewal", func(c *wire.Call) bool { return c.GetRenew() != nil })
		// The clock stands, so the reply ends the silence; without the wait four
		// replies on their way would look like a silent agent.
		s.await("reply to a renewal", func() bool {
			state, ok := s.entry.Dump().(router.State)

			return ok && len(state.Sessions) == 1 && state.Sessions[0].Up && state.Sessions[0].Silence == 0
		})
	}
	if h := agent.hellos[0]; h.GetEntry() != "e1" || h.GetEpoch() == 0 {
		t.Errorf("hello: got %v, want the entry's name and epoch", h)
	}
}

// Guards against a booking that is sent to a second server after its
// acknowledgement was lost, against a withdrawal that is lost with the
// connection, and against a claim that stays taken although the agent confirmed
// that nothing ran.
func TestLostAcknowledgement(t *testing.T) {
	tests := map[string]struct {
		ran  bool
		want wire.Stage
	}{
		"discarded": {false, wire.Stage_STAGE_FREE},
		"ran":       {true, wire.Stage_STAGE_LOST},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clock := timer.NewManual(time.Unix(1000, 0))
			agents := []*fakeAgent{newFakeAgent(t, "s1"), newFakeAgent(t, "s2")}
			s := newFakeSite(t, clock, nil, agents...)
			ended := make(chan reply, 1)
			go func() { ended <- s.call("POST", "/s/desk/book", "x") }()
			agent := s.running(agents)
			agent.cut()
			r := <-ended
			if r.status != 502 || r.outcome != "may-have-run" {
				t.Errorf("got %d %s, want 502 may-have-run", r.status, r.outcome)
			}
			agent.set(func() { agent.ran = &test.ran })
			for len(s.settled()) == 0 {
				clock.Advance(200 * time.Millisecond) // reconnect; and the linger of a call that ran
				<-time.After(time.Millisecond)
			}
			if got := s.settled()[0]; got != test.want {
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

// running waits for the dispatch and returns its agent.
func (s *site) running(agents []*fakeAgent) *fakeAgent {
	s.t.Helper()
	deadline := time.After(patience)
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
			s.t.Fatal("got no dispatch, want one")
		}
	}
}

func (s *site) settled() []wire.Stage {
	s.control.mu.Lock()
	defer s.control.mu.Unlock()

	return append([]wire.Stage(nil), s.control.settled...)
}

// Guards against a request that waits for silent agents although another one
// is there.
func TestSilentAgents(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	agents := []*fakeAgent{newFakeAgent(t, "s1"), newFakeAgent(t, "s2"), newFakeAgent(t, "s3")}
	for _, a := range agents {
		a.mute = true
	}
	s := newFakeSite(t, clock, nil, agents...)
	s.control.set(func(v *view) {
		v.ranks = []*wire.Rank{{Name: "drill"}}
		v.services = []*wire.Service{{Name: "desk", Kind: wire.Kind_KIND_PLAIN, Timeout: 60_000}}
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _ = s.do(ctx, "POST", "/s/desk/book", "x") }()
	s.await("asks", func() bool { return len(agents[0].calls)+len(agents[1].calls)+len(agents[2].calls) == 2 })
	for _, a := range agents {
		a.set(func() { a.mute = len(a.calls) > 0 })
	}
	for _, a := range agents {
		if !a.mute {
			for range 5 { // far from the deadline of the request
				clock.Advance(time.Second)
			}
			a.next("run", isRun)
		}
	}
}

// Guards against a withdrawal without the epoch of the grant, which a restarted
// agent would answer as if it had not run the attempt, and against a restart
// that goes unnoticed.
func TestAgentRestart(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	reg := prometheus.NewRegistry()
	agent := newFakeAgent(t, "s1")
	s := newFakeSite(t, clock, reg, agent)
	go func() { _, _ = s.do(t.Context(), "POST", "/s/desk/book", "x") }()
	agent.next("run", isRun)
	agent.set(func() { agent.epoch = 2 })
	agent.cut()
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
	// The withdrawal may still have left on the old session.
	s.await("new session", func() bool {
		clock.Advance(200 * time.Millisecond)

		return value(t, reg, "damask_agent_restarts_total") > 0
	})
	if got, want := value(t, reg, "damask_agent_restarts_total"), 1.0; got != want {
		t.Errorf("restarts: got %v, want %v", got, want)
	}
}

func value(t *testing.T, reg *prometheus.Registry, name string) float64 {
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

// Guards against work that is accepted although it would come too late, and
// against a refusal that isn't counted.
func TestOverload(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	reg := prometheus.NewRegistry()
	agent := newFakeAgent(t, "s1")
	s := newFakeSite(t, clock, reg, agent)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _ = s.do(ctx, "POST", "/s/desk/book", "x") }()
	agent.next("run", isRun)
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
	if got := value(t, reg, "damask_requests_total"); got < 1 {
		t.Errorf("requests counted: got %v, want at least 1", got)
	}
}
