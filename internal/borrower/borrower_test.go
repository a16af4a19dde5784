package borrower_test

import (
	"context"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/borrower"
	"github.com/damasklever/damasklever/internal/lender"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// patience bounds each wait of a test.
const patience = 10 * time.Second

// gauge is a backend server of 1,600 tokens.
type gauge struct {
	mu     sync.Mutex
	report lender.Report
	err    error
}

func (g *gauge) Report(context.Context) (lender.Report, error) {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.report, g.err
}

func (g *gauge) set(change func(r *lender.Report), err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.report)
	g.err = err
}

type pair struct {
	gauge    *gauge
	lender   *lender.Lender
	borrower *borrower.Borrower
	clock    timer.Service
}

func newPair(t *testing.T) *pair {
	t.Helper()
	clock := timer.New()
	t.Cleanup(clock.Close)
	p := &pair{clock: clock, gauge: &gauge{report: lender.Report{Phase: lender.Decode, Total: 1600, Born: 1}}}
	p.lender = startLender(t, clock, p.gauge, "127.0.0.1:0")
	p.borrower = startBorrower(t, clock, "e1")
	p.borrower.SetLenders(map[string]string{"s": p.lender.Addr()})
	waitFor(t, "a session", func() bool { l, ok := p.borrower.Load("s"); return ok && !l.Leaving })

	return p
}

func startLender(t *testing.T, clock timer.Service, g lender.Gauge, listen string) *lender.Lender {
	t.Helper()
	l, err := lender.New(lender.Settings{
		Listen: listen, Server: "s", Gauge: g, Timer: clock, Look: 10 * time.Millisecond, Lost: 50 * time.Millisecond,
		Push: 10 * time.Millisecond, Lease: 300 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)

	return l
}

func startBorrower(t *testing.T, clock timer.Service, name string) *borrower.Borrower {
	t.Helper()
	b, err := borrower.New(borrower.Settings{
		Name: name, Timer: clock, Renew: 50 * time.Millisecond, MinWait: 10 * time.Millisecond, MaxWait: 50 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)

	return b
}

// waitFor looks until a condition holds.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	look := time.NewTicker(time.Millisecond)
	defer look.Stop()
	limit := time.NewTimer(patience)
	defer limit.Stop()
	for !ok() {
		select {
		case <-look.C:
		case <-limit.C:
			t.Fatalf("%s: got none, want it in %v", what, patience)
		}
	}
}

func ask(id string, rank, tokens int, due time.Duration) borrower.Ask {
	return borrower.Ask{
		ID: id, Phase: wire.Phase_PHASE_DECODE, Rank: rank, Due: due, Tokens: tokens, Cost: time.Second, Caller: "c",
	}
}

func (p *pair) ask(t *testing.T, a borrower.Ask) (*borrower.Grant, error) {
	t.Helper()

	return p.borrower.Ask(t.Context(), a, []string{"s"})
}

func (p *pair) must(t *testing.T, a borrower.Ask) *borrower.Grant {
	t.Helper()
	g, err := p.ask(t, a)
	if err != nil {
		t.Fatalf("ask %s: got %v, want a grant", a.ID, err)
	}

	return g
}

// Guards against two entries that together fill a server beyond its memory, and
// against less urgent work that goes first.
func TestMemoryIsSharedByRank(t *testing.T) {
	p := newPair(t)
	other := startBorrower(t, p.clock, "e2")
	other.SetLenders(map[string]string{"s": p.lender.Addr()})
	waitFor(t, "a second session", func() bool { _, ok := other.Load("s"); return ok })
	full := p.must(t, ask("full", 2, 1500, patience))

	order := make(chan string, 2)
	grant := func(b *borrower.Borrower, a borrower.Ask) {
		g, err := b.Ask(context.WithoutCancel(t.Context()), a, []string{"s"})
		if err != nil {
			order <- err.Error()

			return
		}
		order <- a.ID
		g.Release()
	}
	go grant(other, ask("low", 2, 1500, patience))
	waitFor(t, "the first ask", func() bool { l, _ := p.borrower.Load("s"); return l.Queued == 1 })
	go grant(p.borrower, ask("urgent", 0, 1500, patience))
	waitFor(t, "the second ask", func() bool { l, _ := p.borrower.Load("s"); return l.Queued == 2 })
	full.Release()
	for _, want := range []string{"urgent", "low"} {
		if got := <-order; got != want {
			t.Errorf("next grant: got %q, want %q", got, want)
		}
	}
}

// Guards against a request that waits although it can't be served in time.
func TestRefusedAtOnce(t *testing.T) {
	p := newPair(t)
	p.must(t, ask("full", 0, 1500, patience))
	_, err := p.ask(t, ask("late", 0, 1500, time.Millisecond))
	var refused *borrower.RefusedError
	if !errors.As(err, &refused) {
		t.Fatalf("ask that is due too soon: got %v, want a refusal", err)
	}
	if got := refused.After; got <= 0 {
		t.Errorf("time to come back: got %v, want a positive one", got)
	}
}

// Guards against memory that stays lent to an entry that is gone.
func TestLeaseEnds(t *testing.T) {
	p := newPair(t)
	other := startBorrower(t, p.clock, "e2")
	other.SetLenders(map[string]string{"s": p.lender.Addr()})
	waitFor(t, "a second session", func() bool { _, ok := other.Load("s"); return ok })
	if _, err := other.Ask(t.Context(), ask("held", 0, 1500, patience), []string{"s"}); err != nil {
		t.Fatal(err)
	}
	other.Close()
	p.must(t, ask("next", 0, 1500, patience))
}

// Guards against a grant that is lost with its session, in either direction: one
// in use must stay, and one given back meanwhile must not.
func TestSessionLost(t *testing.T) {
	p := newPair(t)
	kept, freed := p.must(t, ask("kept", 0, 800, patience)), p.must(t, ask("freed", 0, 800, patience))
	p.borrower.SetLenders(map[string]string{"s": p.lender.Addr()}) // the same address changes nothing
	addr := p.lender.Addr()
	p.lender.Close()
	waitFor(t, "the loss", func() bool { _, ok := p.borrower.Load("s"); return !ok })
	freed.Release()
	p.lender = startLender(t, p.clock, p.gauge, addr)
	waitFor(t, "a new session", func() bool { l, ok := p.borrower.Load("s"); return ok && !l.Leaving })
	p.must(t, ask("next", 0, 800, patience)).Release()
	kept.Release()
}

// Guards against grants of a server that is down, leaving or does other work.
func TestUnfitServer(t *testing.T) {
	for name, test := range map[string]struct {
		change func(r *lender.Report)
		err    error
	}{
		"down":       {func(*lender.Report) {}, errors.New("no answer")},
		"leaving":    {func(r *lender.Report) { r.Leaving = true }, nil},
		"other work": {func(r *lender.Report) { r.Phase = lender.Prefill }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t)
			p.gauge.set(test.change, test.err)
			waitFor(t, "a refusal", func() bool {
				g, err := p.ask(t, ask("a", 0, 100, patience))
				if err == nil {
					g.Release()
				}

				return err != nil
			})
		})
	}
}

// Guards against a crashed server whose memory looks free, so that everything is sent
// there, until the time after which a silent one counts as down.
func TestCrashedServerIsDownAtOnce(t *testing.T) {
	clock := timer.New()
	t.Cleanup(clock.Close)
	g := &gauge{report: lender.Report{Phase: lender.Decode, Total: 1600, Born: 1}}
	l, err := lender.New(lender.Settings{
		Listen: "127.0.0.1:0", Server: "s", Gauge: g, Timer: clock, Look: 10 * time.Millisecond, Lost: 10 * patience,
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	waitFor(t, "the server", l.Ready)
	g.set(func(*lender.Report) {}, errors.Newf("ask for the report: %w", syscall.ECONNREFUSED))
	waitFor(t, "the loss of a crashed server", func() bool { return !l.Ready() })
	g.set(func(*lender.Report) {}, nil)
	waitFor(t, "its return", l.Ready)
	g.set(func(*lender.Report) {}, errors.New("no answer in time"))
	<-time.After(100 * time.Millisecond)
	if got, want := l.Ready(), true; got != want {
		t.Errorf("a server that has been silent for a moment is lent: got %v, want %v", got, want)
	}
}

// Guards against memory of a crashed server that is lent again because its work was
// broken off, and against memory that stays lent where only the connection was.
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
			g := &gauge{report: lender.Report{Phase: lender.Decode, Total: 1600, Born: 1}}
			// No report is asked for but at the start and for a doubt.
			l, err := lender.New(lender.Settings{
				Listen: "127.0.0.1:0", Server: "s", Gauge: g, Timer: clock, Look: 10 * patience, Lost: 20 * patience,
			})
			if err != nil {
				t.Fatal(err)
			}
			if err := l.Start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(l.Close)
			p := &pair{gauge: g, lender: l, borrower: startBorrower(t, clock, "e1"), clock: clock}
			p.borrower.SetLenders(map[string]string{"s": l.Addr()})
			waitFor(t, "a session", func() bool { load, ok := p.borrower.Load("s"); return ok && !load.Leaving })
			full := p.must(t, ask("full", 0, 1500, patience))
			next := make(chan bool, 1)
			go func() {
				_, err := p.borrower.Ask(context.WithoutCancel(t.Context()), ask("next", 0, 1500, patience), []string{"s"})
				next <- err == nil
			}()
			waitFor(t, "the next ask", func() bool { load, _ := p.borrower.Load("s"); return load.Queued == 1 })
			g.set(func(*lender.Report) {}, test.err)
			full.Broken()
			if got := <-next; got != test.want {
				t.Errorf("next ask is granted: got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against memory that counts as lent after the server has started again.
func TestServerRestarts(t *testing.T) {
	p := newPair(t)
	p.must(t, ask("before", 0, 1500, patience))
	p.gauge.set(func(r *lender.Report) { r.Born = 2 }, nil)
	p.must(t, ask("after", 0, 1500, patience))
}

// Guards against memory that is lost when several servers grant one request.
func TestFirstGrantWins(t *testing.T) {
	p := newPair(t)
	second := startLender(t, p.clock, &gauge{report: p.gauge.report}, "127.0.0.1:0")
	p.borrower.SetLenders(map[string]string{"s": p.lender.Addr(), "t": second.Addr()})
	waitFor(t, "the second lender", func() bool { l, ok := p.borrower.Load("t"); return ok && !l.Leaving })
	for range 50 {
		g, err := p.borrower.Ask(t.Context(), ask("both", 0, 1500, patience), []string{"s", "t"})
		if err != nil {
			t.Fatal(err)
		}
		g.Release()
	}
	for _, server := range []string{"s", "t"} {
		waitFor(t, "free memory of "+server, func() bool { l, _ := p.borrower.Load(server); return l.Free == l.Total })
	}
}

// Guards against memory that is lent although a request without a grant uses it:
// its entry was frozen for longer than its lease.
func TestForeignRuns(t *testing.T) {
	p := newPair(t)
	p.gauge.set(func(r *lender.Report) { r.Runs = map[string]int{"foreign": 700} }, nil)
	waitFor(t, "less free memory", func() bool { l, _ := p.borrower.Load("s"); return l.Free <= 500 })
	g := p.must(t, ask("a/caller's/own", 0, 400, patience))
	p.gauge.set(func(r *lender.Report) { r.Runs = map[string]int{"a/caller's/own": 400} }, nil)
	waitFor(t, "all memory but that lent", func() bool { l, _ := p.borrower.Load("s"); return l.Free == 1200 })
	// Some more reports of the same work.
	<-time.After(100 * time.Millisecond)
	if l, _ := p.borrower.Load("s"); l.Free != 1200 {
		t.Errorf("free memory while the own work runs on: got %d, want 1200", l.Free)
	}
	g.Release()
}
