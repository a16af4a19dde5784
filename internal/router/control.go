package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/subscriber"
	"github.com/damasklever/damasklever/internal/wire"
)

// View is an immutable snapshot of the configuration.
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

// Control is the entry's access to the control plane: it follows the configuration
// and proposes commands to the replicated log.
type Control interface {
	Start()
	Close()
	View() View
	// Changed returns a channel that is closed when the view is replaced. Take the
	// channel before reading the view, so that no change is missed.
	Changed() <-chan struct{}
	// Fresh reports whether a control host in touch with a quorum has confirmed the
	// view recently.
	Fresh(now time.Time) bool
	Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error)
}

// controlClient adapts a subscriber to Control.
type controlClient struct{ *subscriber.Subscriber }

var _ Control = controlClient{}

// View implements Control.
func (c controlClient) View() View { return c.Subscriber.View() }

// newControlClient returns a client of the control hosts in the settings.
func (r *Router) newControlClient() (Control, error) {
	s, err := subscriber.New(subscriber.Settings{
		Hosts: r.settings.Control,
		Attach: &wire.Attach{
			Name: r.settings.Name, Role: "entry", Addr: r.settings.Listen,
			Region: r.settings.Region, Centre: r.settings.Centre, Epoch: r.epoch,
		},
		Flights: r.heartbeatFlights, Leaving: r.drainer.Stopping, Log: r.log,
	}, r.timers)
	if err != nil {
		return nil, errors.Newf("set up control client: %w", err)
	}

	return controlClient{s}, nil
}

// watchConfiguration applies each new view to the fleet until the process ends.
func (r *Router) watchConfiguration() {
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
