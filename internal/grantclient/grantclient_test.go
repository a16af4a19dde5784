package grantclient_test

import (
	"context"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/grantclient"
	"github.com/damasklever/damasklever/internal/grantserver"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// testTimeout bounds every wait of a test.
const testTimeout = 10 * time.Second

// source returns the reports of a fake backend server.
type source struct {
	mu     sync.Mutex
	report grantserver.Report
	err    error
}

func (s *source) Report(context.Context) (grantserver.Report, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.report, s.err
}

func (s *source) set(change func(r *grantserver.Report), err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.report)
	s.err = err
}

// fixture is a grant server for a backend server with 1,600 tokens of memory, and a client.
type fixture struct {
	source      *source
	grantserver *grantserver.Server
	grantclient *grantclient.Client
	clock       timer.Service
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	clock := timer.New()
	t.Cleanup(clock.Close)
	p := &fixture{clock: clock, source: &source{report: grantserver.Report{Phase: grantserver.Decode, Total: 1600, StartID: 1}}}
	p.grantserver = startServer(t, clock, p.source, "127.0.0.1:0")
	p.grantclient = startClient(t, clock, "e1")
	p.grantclient.SetGrantServers(map[string]string{"s": p.grantserver.Addr()})
	waitFor(t, "a session", func() bool { l, ok := p.grantclient.Load("s"); return ok && !l.Leaving })

	return p
}

func startServer(t *testing.T, clock timer.Service, reports grantserver.ReportSource, listen string) *grantserver.Server {
	t.Helper()
	gs, err := grantserver.New(grantserver.Settings{
		Listen: listen, Backend: "s", ReportSource: reports, Timer: clock, PollInterval: 10 * time.Millisecond, DownAfter: 50 * time.Millisecond,
		MinPushInterval: 10 * time.Millisecond, Lease: 300 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := gs.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(gs.Close)

	return gs
}

func startClient(t *testing.T, clock timer.Service, name string) *grantclient.Client {
	t.Helper()
	c, err := grantclient.New(grantclient.Settings{
		Name: name, Timer: clock, Renew: 50 * time.Millisecond, MinBackoff: 10 * time.Millisecond, MaxBackoff: 50 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)

	return c
}

// waitFor polls until a condition holds.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	look := time.NewTicker(time.Millisecond)
	defer look.Stop()
	limit := time.NewTimer(testTimeout)
	defer limit.Stop()
	for !ok() {
		select {
		case <-look.C:
		case <-limit.C:
			t.Fatalf("%s: not within %v", what, testTimeout)
		}
	}
}

func ask(id string, rank, tokens int, due time.Duration) grantclient.Ask {
	return grantclient.Ask{
		ID: id, Phase: wire.Phase_PHASE_DECODE, Rank: rank, Due: due, Tokens: tokens, Cost: time.Second, Caller: "c",
	}
}

func (p *fixture) ask(t *testing.T, a grantclient.Ask) (*grantclient.Grant, error) {
	t.Helper()

	return p.grantclient.Ask(t.Context(), a, []string{"s"})
}

func (p *fixture) mustAsk(t *testing.T, a grantclient.Ask) *grantclient.Grant {
	t.Helper()
	g, err := p.ask(t, a)
	if err != nil {
		t.Fatalf("ask %s: got %v, want a grant", a.ID, err)
	}

	return g
}

// Two entries together must not overcommit the memory of a server, and freed memory must
// go to the most urgent ask first.
func TestMemoryIsSharedByRank(t *testing.T) {
	p := newFixture(t)
	other := startClient(t, p.clock, "e2")
	other.SetGrantServers(map[string]string{"s": p.grantserver.Addr()})
	waitFor(t, "a second session", func() bool { _, ok := other.Load("s"); return ok })
	full := p.mustAsk(t, ask("full", 2, 1500, testTimeout))

	order := make(chan string, 2)
	grant := func(c *grantclient.Client, a grantclient.Ask) {
		g, err := c.Ask(context.WithoutCancel(t.Context()), a, []string{"s"})
		if err != nil {
			order <- err.Error()

			return
		}
		order <- a.ID
		g.Release()
	}
	go grant(other, ask("low", 2, 1500, testTimeout))
	waitFor(t, "the first ask", func() bool { l, _ := p.grantclient.Load("s"); return l.Queued == 1 })
	go grant(p.grantclient, ask("urgent", 0, 1500, testTimeout))
	waitFor(t, "the second ask", func() bool { l, _ := p.grantclient.Load("s"); return l.Queued == 2 })
	full.Release()
	for _, want := range []string{"urgent", "low"} {
		if got := <-order; got != want {
			t.Errorf("next grant: got %q, want %q", got, want)
		}
	}
}

// An ask that cannot be granted before it is due must be refused immediately.
func TestRefusedAtOnce(t *testing.T) {
	p := newFixture(t)
	p.mustAsk(t, ask("full", 0, 1500, testTimeout))
	_, err := p.ask(t, ask("late", 0, 1500, time.Millisecond))
	var refused *grantclient.RefusedError
	if !errors.As(err, &refused) {
		t.Fatalf("ask that is due before memory is free: got %v, want a refusal", err)
	}
	if got := refused.After; got <= 0 {
		t.Errorf("retry time: got %v, want a positive one", got)
	}
}

// The memory granted to an entry that has gone must be freed when its lease expires.
func TestLeaseEnds(t *testing.T) {
	p := newFixture(t)
	other := startClient(t, p.clock, "e2")
	other.SetGrantServers(map[string]string{"s": p.grantserver.Addr()})
	waitFor(t, "a second session", func() bool { _, ok := other.Load("s"); return ok })
	if _, err := other.Ask(t.Context(), ask("held", 0, 1500, testTimeout), []string{"s"}); err != nil {
		t.Fatal(err)
	}
	other.Close()
	p.mustAsk(t, ask("next", 0, 1500, testTimeout))
}

// When a session is lost and established again, a grant that is still in use must stay
// and one that was released meanwhile must be freed.
func TestSessionLost(t *testing.T) {
	p := newFixture(t)
	kept, freed := p.mustAsk(t, ask("kept", 0, 800, testTimeout)), p.mustAsk(t, ask("freed", 0, 800, testTimeout))
	p.grantclient.SetGrantServers(map[string]string{"s": p.grantserver.Addr()}) // the same address must not reconnect
	addr := p.grantserver.Addr()
	p.grantserver.Close()
	waitFor(t, "the end of the session", func() bool { _, ok := p.grantclient.Load("s"); return !ok })
	freed.Release()
	p.grantserver = startServer(t, p.clock, p.source, addr)
	waitFor(t, "a new session", func() bool { l, ok := p.grantclient.Load("s"); return ok && !l.Leaving })
	p.mustAsk(t, ask("next", 0, 800, testTimeout)).Release()
	kept.Release()
}

// A server that is down, is leaving or runs another phase must not be granted.
func TestUnavailableServer(t *testing.T) {
	for name, test := range map[string]struct {
		change func(r *grantserver.Report)
		err    error
	}{
		"down":        {func(*grantserver.Report) {}, errors.New("no answer")},
		"leaving":     {func(r *grantserver.Report) { r.Leaving = true }, nil},
		"other phase": {func(r *grantserver.Report) { r.Phase = grantserver.Prefill }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			p := newFixture(t)
			p.source.set(test.change, test.err)
			waitFor(t, "a refusal", func() bool {
				g, err := p.ask(t, ask("a", 0, 100, testTimeout))
				if err == nil {
					g.Release()
				}

				return err != nil
			})
		})
	}
}

// A server that refuses connections has crashed and must count as down immediately. Its
// memory looks free, so otherwise all requests would be sent there until the silence
// timeout. A server that is only slow to answer must not count as down.
func TestCrashedServerIsDownAtOnce(t *testing.T) {
	clock := timer.New()
	t.Cleanup(clock.Close)
	src := &source{report: grantserver.Report{Phase: grantserver.Decode, Total: 1600, StartID: 1}}
	gs, err := grantserver.New(grantserver.Settings{
		Listen: "127.0.0.1:0", Backend: "s", ReportSource: src, Timer: clock, PollInterval: 10 * time.Millisecond, DownAfter: 10 * testTimeout,
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := gs.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(gs.Close)
	waitFor(t, "the server", gs.Ready)
	src.set(func(*grantserver.Report) {}, errors.Newf("ask for the report: %w", syscall.ECONNREFUSED))
	waitFor(t, "the crash to be noticed", func() bool { return !gs.Ready() })
	src.set(func(*grantserver.Report) {}, nil)
	waitFor(t, "the server to return", gs.Ready)
	src.set(func(*grantserver.Report) {}, errors.New("no answer in time"))
	<-time.After(100 * time.Millisecond)
	if got, want := gs.Ready(), true; got != want {
		t.Errorf("ready after a short silence: got %v, want %v", got, want)
	}
}

// When work was broken off, its memory must be granted again only after the server has
// answered. If the server has crashed, its memory must not be granted; if only the
// connection broke, the memory must not stay in use.
func TestBrokenWorkIsCheckedFirst(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		want bool
	}{
		"server crashed":    {syscall.ECONNREFUSED, false},
		"connection broken": {nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			clock := timer.New()
			t.Cleanup(clock.Close)
			src := &source{report: grantserver.Report{Phase: grantserver.Decode, Total: 1600, StartID: 1}}
			// Reports are read only at the start and after broken work.
			gs, err := grantserver.New(grantserver.Settings{
				Listen: "127.0.0.1:0", Backend: "s", ReportSource: src, Timer: clock, PollInterval: 10 * testTimeout, DownAfter: 20 * testTimeout,
			})
			if err != nil {
				t.Fatal(err)
			}
			if err := gs.Start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(gs.Close)
			p := &fixture{source: src, grantserver: gs, grantclient: startClient(t, clock, "e1"), clock: clock}
			p.grantclient.SetGrantServers(map[string]string{"s": gs.Addr()})
			waitFor(t, "a session", func() bool { load, ok := p.grantclient.Load("s"); return ok && !load.Leaving })
			full := p.mustAsk(t, ask("full", 0, 1500, testTimeout))
			next := make(chan bool, 1)
			go func() {
				_, err := p.grantclient.Ask(context.WithoutCancel(t.Context()), ask("next", 0, 1500, testTimeout), []string{"s"})
				next <- err == nil
			}()
			waitFor(t, "the next ask", func() bool { load, _ := p.grantclient.Load("s"); return load.Queued == 1 })
			src.set(func(*grantserver.Report) {}, test.err)
			full.ReleaseBroken()
			if got := <-next; got != test.want {
				t.Errorf("next ask granted: got %v, want %v", got, test.want)
			}
		})
	}
}

// Memory granted before a restart of the server must count as free afterwards.
func TestServerRestarts(t *testing.T) {
	p := newFixture(t)
	p.mustAsk(t, ask("before", 0, 1500, testTimeout))
	p.source.set(func(r *grantserver.Report) { r.StartID = 2 }, nil)
	p.mustAsk(t, ask("after", 0, 1500, testTimeout))
}

// When several servers grant the same request, the surplus grants must be returned.
func TestFirstGrantWins(t *testing.T) {
	p := newFixture(t)
	second := startServer(t, p.clock, &source{report: p.source.report}, "127.0.0.1:0")
	p.grantclient.SetGrantServers(map[string]string{"s": p.grantserver.Addr(), "t": second.Addr()})
	waitFor(t, "the second grant server", func() bool { l, ok := p.grantclient.Load("t"); return ok && !l.Leaving })
	for range 50 {
		g, err := p.grantclient.Ask(t.Context(), ask("both", 0, 1500, testTimeout), []string{"s", "t"})
		if err != nil {
			t.Fatal(err)
		}
		g.Release()
	}
	for _, server := range []string{"s", "t"} {
		waitFor(t, "free memory of "+server, func() bool { l, _ := p.grantclient.Load(server); return l.Free == l.Total })
	}
}

// Memory used by a request without a grant must not be granted to others. This happens if
// an entry was frozen for longer than its lease.
func TestRunsWithoutGrant(t *testing.T) {
	p := newFixture(t)
	p.source.set(func(r *grantserver.Report) { r.Requests = map[string]int{"foreign": 700} }, nil)
	waitFor(t, "less free memory", func() bool { l, _ := p.grantclient.Load("s"); return l.Free <= 500 })
	g := p.mustAsk(t, ask("a/caller's/own", 0, 400, testTimeout))
	p.source.set(func(r *grantserver.Report) { r.Requests = map[string]int{"a/caller's/own": 400} }, nil)
	waitFor(t, "only the granted memory to be in use", func() bool { l, _ := p.grantclient.Load("s"); return l.Free == 1200 })
	// Leave time for further reports with the same request.
	<-time.After(100 * time.Millisecond)
	if l, _ := p.grantclient.Load("s"); l.Free != 1200 {
		t.Errorf("free memory while the granted request runs: got %d, want 1200", l.Free)
	}
	g.Release()
}

// Guards against a limit that a server names to its agent alone, and against one kept after its end.
func TestLimitNamedToAgent(t *testing.T) {
	p := newFixture(t)
	for _, want := range []float64{2.5, 0} {
		p.source.set(func(r *grantserver.Report) { r.Limit = want }, nil)
		waitFor(t, "the limit", func() bool { return p.grantclient.Limited()["s"].Limit == want })
	}
}

// Guards against grants of a server that refuses all requests because it is changing its phase.
func TestNoGrantsDuringPhaseChange(t *testing.T) {
	for name, after := range map[string]grantserver.Phase{
		"changed": grantserver.Prefill, "not changed": grantserver.Decode,
	} {
		t.Run(name, func(t *testing.T) {
			p := newFixture(t)
			p.source.set(func(r *grantserver.Report) { r.Limit = 2.5 }, nil)
			p.mustAsk(t, ask("full", 0, 1500, testTimeout))
			next := make(chan error, 1)
			go func() {
				_, err := p.grantclient.Ask(context.WithoutCancel(t.Context()), ask("next", 0, 1500, testTimeout), []string{"s"})
				next <- err
			}()
			waitFor(t, "the next ask", func() bool { load, _ := p.grantclient.Load("s"); return load.Queued == 1 })
			p.source.set(func(r *grantserver.Report) { r.ChangingStage = true }, nil)
			waitFor(t, "the phase change to be noticed", func() bool { load, _ := p.grantclient.Load("s"); return load.Leaving })
			var refused *grantclient.RefusedError
			if err := <-next; !errors.As(err, &refused) {
				t.Errorf("waiting ask: got %v, want a refusal", err)
			}
			if _, err := p.ask(t, ask("during", 0, 1, testTimeout)); !errors.As(err, &refused) {
				t.Errorf("ask during the change: got %v, want a refusal", err)
			}
			if got, want := p.grantclient.Limited()["s"].Limit, 2.5; got != want {
				t.Errorf("limit during the change: got %g, want %g", got, want)
			}
			p.source.set(func(r *grantserver.Report) { r.ChangingStage, r.Phase = false, after }, nil)
			waitFor(t, "the end of the change", func() bool { load, _ := p.grantclient.Load("s"); return !load.Leaving && load.Free > 0 })
			a := ask("after", 0, 1, testTimeout)
			if after == grantserver.Prefill {
				a.Phase = wire.Phase_PHASE_PREFILL
			}
			p.mustAsk(t, a)
		})
	}
}
