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

// reopenWait is the pause before a control host that failed is opened again, for
// example while its disk takes no writes.
const reopenWait = 250 * time.Millisecond

// Keeper keeps a control host open: one that fails is opened again.
type Keeper struct {
	settings func() Settings
	timer    timer.Service
	log      *log.Logger
	current  atomic.Pointer[Controller]
	done     chan struct{}
}

// NewKeeper returns a keeper of the control host with the settings, which are asked
// for at each opening.
func NewKeeper(settings func() Settings, t timer.Service, l *log.Logger) *Keeper {
	return &Keeper{settings: settings, timer: t, log: l, done: make(chan struct{})}
}

// Done is closed when Run has ended.
func (k *Keeper) Done() <-chan struct{} { return k.done }

// Run keeps the control host open until ctx ends. It must be called once.
func (k *Keeper) Run(ctx context.Context) {
	defer close(k.done)
	for ctx.Err() == nil {
		if err := k.open(ctx); err != nil {
			k.log.Error().Err(err).Msg("control host failed; opening it again")
		}
		pause := make(chan struct{})
		stop := k.timer.After(reopenWait, func(time.Time) { close(pause) })
		select {
		case <-pause:
		case <-ctx.Done():
		}
		stop()
	}
}

// open runs one control host until it fails or ctx ends.
func (k *Keeper) open(ctx context.Context) error {
	c, err := New(k.settings())
	if err != nil {
		return errors.Newf("open control host: %w", err)
	}
	if err := c.Start(ctx); err != nil {
		return errors.Newf("start control host: %w", errors.CombineErrors(err, c.Close())) //nolint:contextcheck // it closes after ctx ended
	}
	k.current.Store(c)
	defer k.current.Store(nil)
	select {
	case <-c.Done():
	case <-ctx.Done():
	}
	if err := c.Close(); err != nil { //nolint:contextcheck // it closes after ctx ended
		return errors.Newf("control host: %w", err)
	}

	return nil
}

// Replace puts a plan in force. While no control host is open nothing is stored.
func (k *Keeper) Replace(ctx context.Context, p *wire.Plan) *wire.Result {
	c := k.current.Load()
	if c == nil {
		return &wire.Result{Outcome: wire.Outcome_OUTCOME_REFUSED, Text: "the control host is closed"}
	}

	return c.Replace(ctx, p)
}

// Plan reads the plan in force, or returns ErrClosed while no control host is open.
func (k *Keeper) Plan(ctx context.Context) (*wire.Plan, error) {
	c := k.current.Load()
	if c == nil {
		return nil, ErrClosed
	}

	return c.Plan(ctx)
}

// Ready tells whether a control host is open and ready.
func (k *Keeper) Ready() bool {
	c := k.current.Load()

	return c != nil && c.Ready()
}

// Dump returns the state of the control host, or the zero Dump while none is open.
func (k *Keeper) Dump() Dump {
	if c := k.current.Load(); c != nil {
		return c.Dump()
	}

	return Dump{}
}
