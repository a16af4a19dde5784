package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/subscriber"
	"github.com/damasklever/damasklever/internal/wire"
)

// View is one immutable state of the configuration.
type View interface {
	Index() uint64
	Revision() uint64
	Service(name string) *wire.Service
	Services() []*wire.Service
	Rank(name string) *wire.Rank
	Ranks() []*wire.Rank
	Rules() []*wire.Rule
	Servers(service string) []*wire.Server
	Server(name string) *wire.Server
	Blocked(digest string, now time.Time) *wire.Block
}

// Control is the control plane.
type Control interface {
	Start()
	Close()
	View() View
	Changed() <-chan struct{}
	Fresh(now time.Time) bool
	Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error)
}

// client adapts a subscriber.
type client struct{ *subscriber.Subscriber }

var _ Control = client{}

// View implements Control.
func (c client) View() View { return c.Subscriber.View() }

func (r *Router) connect() (Control, error) {
	s, err := subscriber.New(subscriber.Settings{
		Hosts: r.settings.Control,
		Attach: &wire.Attach{
			Name: r.settings.Name, Role: "entry", Addr: r.settings.Listen,
			Region: r.settings.Region, Centre: r.settings.Centre, Epoch: r.epoch,
		},
		Flights: r.flights, Leaving: r.leaving.Load, Log: r.log,
	}, r.timers)
	if err != nil {
		return nil, errors.Newf("set up control client: %w", err)
	}

	return client{s}, nil
}

// follow applies each new view.
func (r *Router) follow() {
	for {
		changed := r.control.Changed()
		r.fleet.update(r.timers.Now(), r.control.View())
		select {
		case <-changed:
		case <-r.ctx.Done():
			return
		}
	}
}
