package balancer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/damasklever/damasklever/internal/filler"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/reporter"
	"github.com/damasklever/damasklever/internal/timer"
)

// Engines are the servers, which report and take orders.
type Engines interface {
	Report(ctx context.Context, s placer.Server) (Report, error)
	// Order asks a server to do the work of a stage. ErrTaken and ErrFenced mark what the
	// server refused; after any other error the order may have been accepted.
	Order(ctx context.Context, m Move, fence uint64) error
}

var (
	// ErrTaken marks an order that a server refused since it carries out another one or
	// has accepted one since its report.
	ErrTaken = errors.New("the server has another order")
	// ErrFenced marks an order that a server refused since it has seen a higher fence.
	ErrFenced = errors.New("the server has seen a higher fence")
)

// Leadership tells who may order.
type Leadership interface {
	// Lead returns the term of this process's leadership; ok is false unless a majority has
	// confirmed it just now.
	Lead() (term uint64, ok bool)
	// Servers returns the host list, nil before it is known.
	Servers() []placer.Server
	// Moves tells whether the servers of a pool change their stage.
	Moves(pool string) bool
}

// Settings of a balancer. Leadership, Engines and Timer have no defaults.
type Settings struct {
	Leadership Leadership
	Engines    Engines
	Timer      timer.Service
	Log        *log.Logger
	// Look is the time between two readings of all reports.
	Look time.Duration
	// Lease is how long after its election a leader gives no orders: the one before may
	// not know yet that it was deposed.
	Lease time.Duration
	// Timeout bounds one report or order.
	Timeout time.Duration
	// Calls is the number of reports that are asked for at a time.
	Calls int
}

const (
	defaultLook    = 2 * time.Second
	defaultLease   = 3 * time.Second
	defaultTimeout = 700 * time.Millisecond
	defaultCalls   = 8
)

// Defaults fills the fields that are zero.
func (s *Settings) Defaults() {
	filler.Zero(&s.Look, defaultLook)
	filler.Zero(&s.Lease, defaultLease)
	filler.Zero(&s.Timeout, defaultTimeout)
	filler.Zero(&s.Calls, defaultCalls)
	if s.Log == nil {
		s.Log = reporter.Discard()
	}
}

// Validate reports every fault at once.
func (s *Settings) Validate() error {
	if s.Leadership == nil || s.Engines == nil || s.Timer == nil {
		return errors.New("settings of balancer: leadership, engines and timer must be set")
	}
	if s.Look < 0 || s.Lease < 0 || s.Timeout < 0 || s.Calls < 0 {
		return errors.New("settings of balancer: nothing may be negative")
	}

	return nil
}

// Balancer watches the pools while its process leads.
type Balancer struct {
	s      Settings
	ctx    context.Context //nolint:containedctx // it is the lifetime of the balancer
	cancel context.CancelFunc
	done   chan struct{}
	once   sync.Once
	work   sync.WaitGroup
	stop   func()

	mu       sync.Mutex
	looking  bool
	term     uint64    // that the deciders are of
	since    time.Time // when the term was seen first
	fenced   bool      // in this term
	deciders map[string]*Decider
}

// New checks the settings; Start begins to look.
func New(s Settings) (*Balancer, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())

	return &Balancer{s: s, ctx: ctx, cancel: cancel, done: make(chan struct{}), deciders: make(map[string]*Decider)}, nil
}

// Start looks at each interval.
func (b *Balancer) Start() {
	b.stop = b.s.Timer.Every(b.s.Look, func(time.Time) { b.begin() })
}

// Close ends the looks.
func (b *Balancer) Close() {
	b.once.Do(func() {
		b.cancel()
		if b.stop != nil {
			b.stop()
		}
		b.work.Wait()
		close(b.done)
	})
}

// Done is closed by Close.
func (b *Balancer) Done() <-chan struct{} { return b.done }

// Wait returns when the look under way, if any, has ended.
func (b *Balancer) Wait() { b.work.Wait() }

// begin looks in a goroutine of its own unless a look is under way.
func (b *Balancer) begin() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.looking || b.ctx.Err() != nil {
		return
	}
	b.looking = true
	b.work.Add(1)
	go func() {
		defer b.work.Done()
		b.look()
		b.mu.Lock()
		b.looking = false
		b.mu.Unlock()
	}()
}

// look reads the reports and gives the orders that follow from them.
func (b *Balancer) look() {
	term, ok := b.s.Leadership.Lead()
	if !ok {
		return
	}
	now := b.s.Timer.Now()
	if term != b.term {
		b.term, b.since, b.fenced, b.deciders = term, now, false, make(map[string]*Decider)
	}
	if b.fenced || now.Sub(b.since) < b.s.Lease {
		return
	}
	pools := make(map[string][]placer.Server)
	for _, s := range b.s.Leadership.Servers() {
		if s.Stage != placer.Plain && b.s.Leadership.Moves(s.Pool) {
			pools[s.Pool] = append(pools[s.Pool], s)
		}
	}
	for pool, servers := range pools {
		d := b.deciders[pool]
		if d == nil {
			d = NewDecider()
			b.deciders[pool] = d
		}
		for _, m := range d.Next(b.s.Timer.Now(), b.reports(servers)) {
			b.order(d, m, term)
		}
	}
}

// reports asks the servers for their reports. Those that do not answer are left out.
func (b *Balancer) reports(servers []placer.Server) []State {
	var mu sync.Mutex
	var out []State
	var work sync.WaitGroup
	turns := make(chan struct{}, b.s.Calls)
	for _, s := range servers {
		turns <- struct{}{}
		work.Go(func() {
			defer func() { <-turns }()
			ctx, cancel := context.WithTimeout(b.ctx, b.s.Timeout)
			defer cancel()
			r, err := b.s.Engines.Report(ctx, s)
			if err != nil {
				b.s.Log.Debug().Str("server", s.ID).Err(err).Msg("no report")

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

// order gives one order, if this process leads in the same term still.
func (b *Balancer) order(d *Decider, m Move, term uint64) {
	if now, ok := b.s.Leadership.Lead(); !ok || now != term || b.fenced {
		d.Undone(m.Server.ID)

		return
	}
	ctx, cancel := context.WithTimeout(b.ctx, b.s.Timeout)
	defer cancel()
	err := b.s.Engines.Order(ctx, m, term)
	memory, reading := d.Load()
	b.s.Log.Info().Str("server", m.Server.ID).Str("pool", m.Server.Pool).Int("stage", int(m.To)).Uint64("fence", term).
		Int64("sequence", m.Sequence).Float64("memory", memory).Float64("reading", reading).Err(err).Msg("stage ordered")
	switch {
	case errors.Is(err, ErrFenced):
		// Another process leads: nothing more is ordered in this term.
		b.fenced = true
		d.Undone(m.Server.ID)
	case errors.Is(err, ErrTaken):
		d.Undone(m.Server.ID)
	}
}
