// Package registrar is the replicated state machine: it applies committed
// commands, answers queries and produces updates for subscribers. It starts no
// goroutine and reads no clock; the caller serialises all calls.
package registrar

import (
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

// Registrar holds the state. The messages that it hands out are shared and read
// only: a change replaces an object and never alters it.
type Registrar struct{}

// New returns an empty state.
func New() *Registrar { return &Registrar{} }

// Apply applies the committed command at a log index. Now is the time in the log
// entry, so that all replicas decide alike.
func (r *Registrar) Apply(index uint64, now time.Time, cmd *wire.Command) *wire.Result {
	return &wire.Result{Id: cmd.GetId(), Index: index}
}

// Index returns the log index of the last change that subscribers see. Claims
// and other commands that subscribers don't see leave it as it is.
func (r *Registrar) Index() uint64 { return 0 }

// Applied returns the log index of the last command applied.
func (r *Registrar) Applied() uint64 { return 0 }

// Revision returns the operators' revision.
func (r *Registrar) Revision() uint64 { return 0 }

// Query answers a query over the replicated subjects. Requests, processes and
// peers belong to the control process, which can answer them by Select.
func (r *Registrar) Query(q *wire.Query) (*wire.Table, error) { return &wire.Table{}, nil }

// UpdateSince returns every object changed after index, or a full snapshot if
// index is zero or lies before the oldest deletion kept. Its Index is Index().
func (r *Registrar) UpdateSince(index uint64) *wire.Update { return &wire.Update{} }

// Snapshot encodes the state; equal states give equal bytes.
func (r *Registrar) Snapshot() ([]byte, error) { return nil, nil }

// Restore replaces the state by a snapshot. On an error the state is unchanged.
func (r *Registrar) Restore(data []byte) error { return nil }
