package controller

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

// reopenDelay is the delay before a failed control host is opened again. It may have
// failed, for example, because its disk rejects writes.
const reopenDelay = 250 * time.Millisecond

// Supervisor runs a control host and opens it again after a failure.
type Supervisor struct {
	newSettings func() Settings
	timer       timer.Service
	log         *log.Logger
	current     atomic.Pointer[Controller]
	done        chan struct{}
}

// NewSupervisor returns a supervisor for a control host. It calls newSettings each time it
// opens the host.
func NewSupervisor(newSettings func() Settings, t timer.Service, l *log.Logger) *Supervisor {
	return &Supervisor{newSettings: newSettings, timer: t, log: l, done: make(chan struct{})}
}

// Done is closed when Run has returned.
func (s *Supervisor) Done() <-chan struct{} { return s.done }

// Run keeps the control host running until ctx ends. It must be called only once.
func (s *Supervisor) Run(ctx context.Context) {
	defer close(s.done)
	for ctx.Err() == nil {
		if err := s.open(ctx); err != nil {
			s.log.Error().Err(err).Msg("control host failed; reopening it")
		}
		pause := make(chan struct{})
		stop := s.timer.After(reopenDelay, func(time.Time) { close(pause) })
		select {
		case <-pause:
		case <-ctx.Done():
		}
		stop()
	}
}

// open opens a control host and waits until it fails or ctx ends.
func (s *Supervisor) open(ctx context.Context) error {
	c, err := New(s.newSettings())
	if err != nil {
		return errors.Newf("open control host: %w", err)
	}
	if err := c.Start(ctx); err != nil {
		return errors.Newf("start control host: %w", errors.CombineErrors(err, c.Close())) //nolint:contextcheck // runs after ctx has ended
	}
	s.current.Store(c)
	defer s.current.Store(nil)
	select {
	case <-c.Done():
	case <-ctx.Done():
	}
	if err := c.Close(); err != nil { //nolint:contextcheck // runs after ctx has ended
		return errors.Newf("run control host: %w", err)
	}

	return nil
}

// ReplacePlan activates a plan. While no control host is open, the plan is refused and not
// stored.
func (s *Supervisor) ReplacePlan(ctx context.Context, p *wire.Plan) *wire.Result {
	c := s.current.Load()
	if c == nil {
		return &wire.Result{Outcome: wire.Outcome_OUTCOME_REFUSED, Text: "the control host is closed"}
	}

	return c.ReplacePlan(ctx, p)
}

// Plan returns the active plan, or ErrClosed while no control host is open.
func (s *Supervisor) Plan(ctx context.Context) (*wire.Plan, error) {
	c := s.current.Load()
	if c == nil {
		return nil, ErrClosed
	}

	return c.Plan(ctx)
}

// Ready reports whether a control host is open and ready.
func (s *Supervisor) Ready() bool {
	c := s.current.Load()

	return c != nil && c.Ready()
}

// Dump returns the state of the control host, or a zero Dump while none is open.
func (s *Supervisor) Dump() Dump {
	if c := s.current.Load(); c != nil {
		return c.Dump()
	}

	return Dump{}
}
