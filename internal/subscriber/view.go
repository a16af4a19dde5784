package subscriber

import (
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

// View is one immutable state of the configuration. The messages that it hands
// out are shared and read only.
type View struct{}

// Index returns the log index of the last change in the view.
func (v *View) Index() uint64 { return 0 }

// Revision returns the operators' revision.
func (v *View) Revision() uint64 { return 0 }

// Service returns a service by name, or nil.
func (v *View) Service(name string) *wire.Service { return nil }

// Services returns all services, sorted by name.
func (v *View) Services() []*wire.Service { return nil }

// Rank returns a rank by name, or nil.
func (v *View) Rank(name string) *wire.Rank { return nil }

// Ranks returns all ranks, the most urgent first.
func (v *View) Ranks() []*wire.Rank { return nil }

// Rules returns all rules in the order in which they are matched.
func (v *View) Rules() []*wire.Rule { return nil }

// Servers returns the servers of a service, sorted by name, drained ones too.
func (v *View) Servers(service string) []*wire.Server { return nil }

// Server returns a server by name, or nil.
func (v *View) Server(name string) *wire.Server { return nil }

// Blocked returns the block of a digest that is in effect at now, or nil.
func (v *View) Blocked(digest string, now time.Time) *wire.Block { return nil }

// Fence returns the current fencing token of a server, 0 if it is unknown.
func (v *View) Fence(server string) uint64 { return 0 }
