package attendant

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/damasklever/damasklever/internal/timer"
)

// Deps are the parts that the agent's surroundings provide.
type Deps struct {
	Timer    timer.Service
	Log      *log.Logger
	Registry prometheus.Registerer
}

// Attendant is the agent process.
type Attendant struct {
	settings Settings
	deps     Deps
	done     chan struct{}
}

// New validates the settings and opens nothing.
func New(s Settings, d Deps) (*Attendant, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, errors.Newf("agent settings: %w", err)
	}

	return &Attendant{settings: s, deps: d, done: make(chan struct{})}, nil
}

// Start opens the listener, reconciles with the backend server and registers
// with control. The agent works until ctx ends or Leave has completed.
func (a *Attendant) Start(_ context.Context) error { return nil }

// Addr returns the address entries dial, "ip:port". Valid after Start.
func (a *Attendant) Addr() string { return "" }

// Leave rejects new work with the reason, lets running work finish and then
// closes Done. It may be called more than once.
func (a *Attendant) Leave(_ string) {}

// Ready reports whether the agent grants work.
func (a *Attendant) Ready() bool { return false }

// Dump returns the state as a struct for JSON.
func (a *Attendant) Dump() any { return nil }

// Done is closed when the agent has ended.
func (a *Attendant) Done() <-chan struct{} { return a.done }

// Close ends the agent at once without waiting for running work.
func (a *Attendant) Close() error { return nil }
