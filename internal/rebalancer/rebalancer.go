package rebalancer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/damasklever/damasklever/internal/defaulter"
	"github.com/damasklever/damasklever/internal/logger"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/timer"
)

// Engines gives access to the servers.
type Engines interface {
	Report(ctx context.Context, s placer.Server) (Report, error)
	// Order tells a server to change to another stage. ErrTaken and ErrFenced mark orders
	// that the server rejected. After any other error, it may have accepted the order.
	Order(ctx context.Context, m StageChange, fence uint64) error
}

var (
	// ErrBusy marks an order that a server rejected because it is carrying out another
	// one, or has accepted one since its report.
	ErrBusy = errors.New("the server has another order")
	// ErrFenced marks an order that a server rejected because it has seen a higher fence.
	ErrFenced = errors.New("the server has seen a higher fence")
)

// Leadership provides the leadership of this process and the configuration that only
// the leader acts on.
type Leadership interface {
	// LeaderTerm returns the term in which this process leads. ok is true only if a majority
	// has just confirmed the leadership.
	LeaderTerm() (term uint64, ok bool)
	// Servers returns the servers of the host list, nil until the list is known.
	Servers() []placer.Server
	// AllowsStageChanges reports whether servers of the pool may change their stage.
	AllowsStageChanges(pool string) bool
}

// Settings configures a Balancer. Leadership, Engines and Timer have no defaults.
type Settings struct {
	Leadership Leadership
	Engines    Engines
	Timer      timer.Service
	Log        *log.Logger
	// Interval is the time between two cycles. Each cycle reads all reports.
	Interval time.Duration
	// ElectionDelay is how long a new leader sends no orders, because the previous leader may not
	// know yet that it was deposed.
	ElectionDelay time.Duration
	// Timeout limits a single report or order.
	Timeout time.Duration
	// MaxCalls is the maximum number of concurrent requests for reports.
	MaxCalls int
}

const (
	defaultInterval = 2 * time.Second
	defaultLease    = 3 * time.Second
	defaultTimeout  = 700 * time.Millisecond
	defaultMaxCalls = 8
)

// Defaults sets fields that are zero to their default values.
func (s *Settings) Defaults() {
	defaulter.Default(&s.Interval, defaultInterval)
	defaulter.Default(&s.ElectionDelay, defaultLease)
	defaulter.Default(&s.Timeout, defaultTimeout)
	defaulter.Default(&s.MaxCalls, defaultMaxCalls)
	if s.Log == nil {
		s.Log = logger.Discard()
	}
}

// Validate reports missing and negative fields.
func (s *Settings) Validate() error {
	if s.Leadership == nil || s.Engines == nil || s.Timer == nil {
		return errors.New("balancer settings: leadership, engines and timer must be set")
	}
	if s.Interval < 0 || s.ElectionDelay < 0 || s.Timeout < 0 || s.MaxCalls < 0 {
		return errors.New("balancer settings: interval, lease, timeout and max calls must not be negative")
	}

	return nil
}

// Rebalancer periodically decides on stage changes in all pools while its process leads.
type Rebalancer struct {
	s      Settings
	ctx    context.Context //nolint:containedctx // lifetime of the balancer
	cancel context.CancelFunc
	done   chan struct{}
	once   sync.Once
	work   sync.WaitGroup
	stop   func()

	mu        sync.Mutex
	running   bool
	term      uint64    // term to which the deciders belong
	termSince time.Time // when the term was first seen
	fenced    bool      // a server rejected an order of this term with ErrFenced
	deciders  map[string]*Decider
}

// New returns a balancer that does nothing until Start.
func New(s Settings) (*Rebalancer, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())

	return &Rebalancer{s: s, ctx: ctx, cancel: cancel, done: make(chan struct{}), deciders: make(map[string]*Decider)}, nil
}

// Start begins to run a cycle at each interval.
func (b *Rebalancer) Start() {
	b.stop = b.s.Timer.Every(b.s.Interval, func(time.Time) { b.startCycle() })
}

// Close stops the cycles and waits for a running one.
func (b *Rebalancer) Close() {
	b.once.Do(func() {
		b.cancel()
		if b.stop != nil {
			b.stop()
		}
		b.work.Wait()
		close(b.done)
	})
}

// Done returns a channel that Close closes.
func (b *Rebalancer) Done() <-chan struct{} { return b.done }

// Wait returns when no cycle is running.
func (b *Rebalancer) Wait() { b.work.Wait() }

// startCycle runs a cycle in a new goroutine, unless one is still running.
func (b *Rebalancer) startCycle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running || b.ctx.Err() != nil {
		return
	}
	b.running = true
	b.work.Add(1)
	go func() {
		defer b.work.Done()
		b.runCycle()
		b.mu.Lock()
		b.running = false
		b.mu.Unlock()
	}()
}

// runCycle reads the reports of all pools and sends the orders that follow from them.
func (b *Rebalancer) runCycle() {
	term, ok := b.s.Leadership.LeaderTerm()
	if !ok {
		return
	}
	now := b.s.Timer.Now()
	if term != b.term {
		b.term, b.termSince, b.fenced, b.deciders = term, now, false, make(map[string]*Decider)
	}
	if b.fenced || now.Sub(b.termSince) < b.s.ElectionDelay {
		return
	}
	pools := make(map[string][]placer.Server)
	for _, s := range b.s.Leadership.Servers() {
		if s.Stage != placer.Plain && b.s.Leadership.AllowsStageChanges(s.Pool) {
			pools[s.Pool] = append(pools[s.Pool], s)
		}
	}
	for pool, servers := range pools {
		d := b.deciders[pool]
		if d == nil {
			d = NewDecider()
			b.deciders[pool] = d
		}
		for _, m := range d.Decide(b.s.Timer.Now(), b.collectReports(servers)) {
			b.sendOrder(d, m, term)
		}
	}
}

// collectReports requests the reports of servers. Servers that do not answer are left
// out.
func (b *Rebalancer) collectReports(servers []placer.Server) []State {
	var mu sync.Mutex
	var out []State
	var work sync.WaitGroup
	slots := make(chan struct{}, b.s.MaxCalls)
	for _, s := range servers {
		slots <- struct{}{}
		work.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(b.ctx, b.s.Timeout)
			defer cancel()
			r, err := b.s.Engines.Report(ctx, s)
			if err != nil {
				b.s.Log.Debug().Str("server", s.ID).Err(err).Msg("server did not report")

				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, State{Server: s, Report: r})
		})
	}
	work.Wait()

	return out
}

// sendOrder sends an order if this process still leads in the same term.
func (b *Rebalancer) sendOrder(d *Decider, m StageChange, term uint64) {
	if current, ok := b.s.Leadership.LeaderTerm(); !ok || current != term || b.fenced {
		d.CancelMove(m.Server.ID)

		return
	}
	ctx, cancel := context.WithTimeout(b.ctx, b.s.Timeout)
	defer cancel()
	err := b.s.Engines.Order(ctx, m, term)
	memory, busyPrefill := d.Load()
	b.s.Log.Info().Str("server", m.Server.ID).Str("pool", m.Server.Pool).Int("stage", int(m.To)).Uint64("fence", term).
		Int64("sequence", m.Sequence).Float64("memory", memory).Float64("reading", busyPrefill).Err(err).Msg("stage change ordered")
	switch {
	case errors.Is(err, ErrFenced):
		// Another process leads, so no more orders are sent in this term.
		b.fenced = true
		d.CancelMove(m.Server.ID)
	case errors.Is(err, ErrBusy):
		d.CancelMove(m.Server.ID)
	}
}
