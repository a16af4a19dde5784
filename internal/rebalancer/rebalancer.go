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
	// Order tells a server to change to another stage. ErrBusy and ErrFenced mark orders
	// that the server rejected. After any other error, it may have accepted the order.
	Order(ctx context.Context, change StageChange, fence uint64) error
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
	// ComparesSpeeds reports whether the servers of the pool differ in speed, so that their
	// stages are chosen by it.
	ComparesSpeeds(pool string) bool
}

// Settings configures a Rebalancer. Leadership, Engines and Timer have no defaults.
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
	defaultInterval      = 2 * time.Second
	defaultElectionDelay = 3 * time.Second
	defaultTimeout       = 700 * time.Millisecond
	defaultMaxCalls      = 8
)

// Defaults sets fields that are zero to their default values.
func (s *Settings) Defaults() {
	defaulter.Default(&s.Interval, defaultInterval)
	defaulter.Default(&s.ElectionDelay, defaultElectionDelay)
	defaulter.Default(&s.Timeout, defaultTimeout)
	defaulter.Default(&s.MaxCalls, defaultMaxCalls)
	if s.Log == nil {
		s.Log = logger.Discard()
	}
}

// Validate reports missing and negative fields.
func (s *Settings) Validate() error {
	if s.Leadership == nil || s.Engines == nil || s.Timer == nil {
		return errors.New("rebalancer settings: leadership, engines and timer must be set")
	}
	if s.Interval < 0 || s.ElectionDelay < 0 || s.Timeout < 0 || s.MaxCalls < 0 {
		return errors.New("rebalancer settings: interval, election delay, timeout and max calls must not be negative")
	}

	return nil
}

// Rebalancer periodically decides on stage changes in all pools while its process leads.
type Rebalancer struct {
	s      Settings
	ctx    context.Context //nolint:containedctx // lifetime of the rebalancer
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

// New returns a Rebalancer that does nothing until Start.
func New(s Settings) (*Rebalancer, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())

	return &Rebalancer{s: s, ctx: ctx, cancel: cancel, done: make(chan struct{}), deciders: make(map[string]*Decider)}, nil
}

// Start begins to run a cycle at each interval.
func (r *Rebalancer) Start() {
	r.stop = r.s.Timer.Every(r.s.Interval, func(time.Time) { r.startCycle() })
}

// Close stops the cycles and waits for a running one.
func (r *Rebalancer) Close() {
	r.once.Do(func() {
		r.cancel()
		if r.stop != nil {
			r.stop()
		}
		r.work.Wait()
		close(r.done)
	})
}

// Done returns a channel that Close closes.
func (r *Rebalancer) Done() <-chan struct{} { return r.done }

// Wait returns when no cycle is running.
func (r *Rebalancer) Wait() { r.work.Wait() }

// startCycle runs a cycle in a new goroutine, unless one is still running.
func (r *Rebalancer) startCycle() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running || r.ctx.Err() != nil {
		return
	}
	r.running = true
	r.work.Add(1)
	go func() {
		defer r.work.Done()
		r.runCycle()
		r.mu.Lock()
		r.running = false
		r.mu.Unlock()
	}()
}

// runCycle reads the reports of all pools and sends the orders that follow from them.
func (r *Rebalancer) runCycle() {
	term, ok := r.s.Leadership.LeaderTerm()
	if !ok {
		return
	}
	now := r.s.Timer.Now()
	if term != r.term {
		r.term, r.termSince, r.fenced, r.deciders = term, now, false, make(map[string]*Decider)
	}
	if r.fenced || now.Sub(r.termSince) < r.s.ElectionDelay {
		return
	}
	pools := make(map[string][]placer.Server)
	for _, s := range r.s.Leadership.Servers() {
		if s.Stage != placer.Plain && r.s.Leadership.AllowsStageChanges(s.Pool) {
			pools[s.Pool] = append(pools[s.Pool], s)
		}
	}
	for pool, servers := range pools {
		d := r.deciders[pool]
		if d == nil {
			d = NewDecider()
			r.deciders[pool] = d
		}
		d.compareSpeeds(r.s.Leadership.ComparesSpeeds(pool), r.s.Interval)
		d.retainServers(servers)
		r.sendOrders(d, d.Decide(r.s.Timer.Now(), r.collectReports(servers)), term)
	}
}

// collectReports requests the reports of servers. Servers that do not answer are left
// out.
func (r *Rebalancer) collectReports(servers []placer.Server) []State {
	var mu sync.Mutex
	var out []State
	var work sync.WaitGroup
	slots := make(chan struct{}, r.s.MaxCalls)
	for _, s := range servers {
		slots <- struct{}{}
		work.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(r.ctx, r.s.Timeout)
			defer cancel()
			report, err := r.s.Engines.Report(ctx, s)
			if err != nil {
				r.s.Log.Debug().Str("server", s.ID).Err(err).Msg("server did not report")

				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, State{Server: s, Report: report})
		})
	}
	work.Wait()

	return out
}

// sendOrders sends the orders of one decision. Those that compare stages belong together: if one
// is not accepted, the others are not sent.
func (r *Rebalancer) sendOrders(d *Decider, changes []StageChange, term uint64) {
	for i, change := range changes {
		if r.sendOrder(d, change, term) || d.balancer == nil {
			continue
		}
		for _, rest := range changes[i+1:] {
			d.CancelChange(rest.Server.ID)
		}

		return
	}
}

// sendOrder sends an order if this process still leads in the same term. It returns false if the
// server has not accepted it.
func (r *Rebalancer) sendOrder(d *Decider, change StageChange, term uint64) bool {
	if current, ok := r.s.Leadership.LeaderTerm(); !ok || current != term || r.fenced {
		d.CancelChange(change.Server.ID)

		return false
	}
	ctx, cancel := context.WithTimeout(r.ctx, r.s.Timeout)
	defer cancel()
	err := r.s.Engines.Order(ctx, change, term)
	memory, busyPrefill := d.Load()
	r.s.Log.Info().Str("server", change.Server.ID).Str("pool", change.Server.Pool).Int("stage", int(change.To)).Uint64("fence", term).
		Int64("sequence", change.Sequence).Float64("memory", memory).Float64("reading", busyPrefill).Float64("speed", d.speed(change.Server.ID)).Err(err).Msg("stage change ordered")
	switch {
	case errors.Is(err, ErrFenced):
		// Another process leads, so no more orders are sent in this term.
		r.fenced = true
		d.CancelChange(change.Server.ID)
	case errors.Is(err, ErrBusy):
		d.rejectChange(change.Server.ID)
	}

	return err == nil
}
