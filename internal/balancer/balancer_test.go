package balancer_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/balancer"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/timer"
)

const (
	look  = time.Second
	lease = 4 * time.Second
)

// leadership is one that a test gives and takes.
type leadership struct {
	mu   sync.Mutex
	term uint64
	ok   bool
}

func (l *leadership) set(term uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term, l.ok = term, ok
}

func (l *leadership) Lead() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.term, l.ok
}

func (l *leadership) Servers() []placer.Server {
	var out []placer.Server
	for _, s := range (pool{20, 10, 1, 0}).states() {
		out = append(out, s.Server)
	}

	return append(out, placer.Server{ID: "plain", Pool: "pool"}, placer.Server{ID: "x", Pool: "fixed", Stage: placer.Prefill})
}

func (l *leadership) Moves(pool string) bool { return pool == "pool" }

// engines are servers whose decode memory is full.
type engines struct {
	mu     sync.Mutex
	asked  map[string]int
	fences []uint64
	answer error
	// during runs in the first report of a look.
	during func()
}

func (e *engines) Report(_ context.Context, s placer.Server) (balancer.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked[s.ID]++
	if e.during != nil {
		e.during()
	}
	if s.ID == "d1" {
		return balancer.Report{}, errors.New("no answer")
	}

	return balancer.Report{Stage: s.Stage, Total: 1000, Used: 1000}, nil
}

func (e *engines) Order(_ context.Context, _ balancer.Move, fence uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fences = append(e.fences, fence)

	return e.answer
}

func (e *engines) orders() []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()

	return append([]uint64(nil), e.fences...)
}

type rig struct {
	*leadership
	*engines
	balancer *balancer.Balancer
	clock    *timer.Manual
}

func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{leadership: &leadership{}, engines: &engines{asked: make(map[string]int)}, clock: timer.NewManual(start)}
	var err error
	r.balancer, err = balancer.New(balancer.Settings{
		Leadership: r.leadership, Engines: r.engines, Timer: r.clock, Look: look, Lease: lease,
	})
	if err != nil {
		t.Fatal(err)
	}
	r.balancer.Start()
	t.Cleanup(r.balancer.Close)

	return r
}

// advance passes a time and waits for the looks in it.
func (r *rig) advance(d time.Duration) {
	for ; d > 0; d -= look {
		r.clock.Advance(look)
		r.balancer.Wait()
	}
}

// Only the leader orders, not before the one before it is sure to have stopped, and each
// term has its own fence.
func TestOnlyLeaderOrders(t *testing.T) {
	r := newRig(t)
	r.advance(20 * time.Second)
	if got := r.orders(); len(got) > 0 {
		t.Errorf("orders of a follower: got %v, want none", got)
	}
	r.set(7, true)
	r.advance(lease)
	if got := r.orders(); len(got) > 0 {
		t.Errorf("orders within the lease of the leader before: got %v, want none", got)
	}
	r.advance(10 * time.Second)
	got := r.orders()
	if len(got) == 0 || got[0] != 7 {
		t.Fatalf("fences of the orders: got %v, want 7", got)
	}
	r.set(9, true)
	r.advance(lease)
	if more := r.orders(); len(more) != len(got) {
		t.Errorf("orders within the lease after another election: got %v, want none more than %v", more, got)
	}
	r.advance(10 * time.Second)
	if more := r.orders(); more[len(more)-1] != 9 {
		t.Errorf("fence after another election: got %d, want 9", more[len(more)-1])
	}
	if r.asked["plain"]+r.asked["x"] > 0 {
		t.Error("reports of servers that do not change their stage: got some, want none")
	}
}

// A leader that is deposed while it reads the reports orders nothing.
func TestDeposedInLook(t *testing.T) {
	r := newRig(t)
	r.set(3, true)
	r.during = func() { r.set(3, r.clock.Now().Sub(start) < 5*time.Second) }
	r.advance(5 * time.Second)
	r.set(3, true)
	r.advance(10 * time.Second)
	if got := r.orders(); len(got) > 0 {
		t.Errorf("orders: got %v, want none", got)
	}
}

// A server that has seen a higher fence ends the orders of the term.
func TestFencedOnce(t *testing.T) {
	r := newRig(t)
	r.answer = errors.Mark(errors.New("refused"), balancer.ErrFenced)
	r.set(3, true)
	r.advance(30 * time.Second)
	if got := len(r.orders()); got != 1 {
		t.Errorf("orders: got %d, want 1", got)
	}
}
