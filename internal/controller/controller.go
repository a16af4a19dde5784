// Package controller is the control process: it keeps the replicated log with
// the other control hosts, applies it to the state and serves the processes and
// operators.
package controller

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Controller is one control host.
type Controller struct {
	s    Settings
	done chan struct{}
}

// Dump is the state of a control host in a form that encodes to JSON.
type Dump struct {
	Number  uint64
	Leader  bool
	Term    uint64
	Index   uint64
	Applied uint64
}

// New checks the settings and opens the data directory.
func New(s Settings) (*Controller, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, errors.Newf("new controller: %w", err)
	}

	return &Controller{s: s, done: make(chan struct{})}, nil
}

// Start listens and takes part in the log. It does not wait for a leader.
func (c *Controller) Start(_ context.Context) error { return nil }

// Addr returns the address served, "ip:port".
func (c *Controller) Addr() string { return c.s.Listen }

// Ready reports whether the host knows a leader and has heard from a majority.
func (c *Controller) Ready() bool { return false }

// Done is closed when the process has ended, by Close or by a fault.
func (c *Controller) Done() <-chan struct{} { return c.done }

// Err returns the fault that ended the process, or nil.
func (c *Controller) Err() error { return nil }

// Dump returns the state for the operations port.
func (c *Controller) Dump() Dump { return Dump{Number: c.s.Number} }

// Close ends the process and waits for it.
func (c *Controller) Close() error { close(c.done); return nil }
