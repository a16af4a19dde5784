package gateway

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/damasklever/damasklever/internal/courier"
	"github.com/damasklever/damasklever/internal/filler"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/planner"
	"github.com/damasklever/damasklever/internal/reporter"
	"github.com/damasklever/damasklever/internal/timer"
)

// Settings of a gateway. Listen, Dialect, Plan, Placer, Courier and Timer have no
// defaults.
type Settings struct {
	// Listen is ip:port for callers.
	Listen string
	// Dialect translates headers.
	Dialect Dialect
	// Plan returns the plan in force, nil before the first one.
	Plan func() *planner.Planner
	// Known tells whether the servers are known; nil if they always are.
	Known func() bool
	// Missing is called when no server of a pool could be reached; may be nil.
	Missing func()
	// Crowded is called when the lenders that are known had no memory in time; may be nil.
	Crowded func()
	Placer  *placer.Placer
	Courier *courier.Courier
	// Lenders lend the memory of model servers; nil if there are none.
	Lenders Lenders
	// Limiter keeps customers within their rates; nil if nothing limits them.
	Limiter Limiter
	// Ledger is the record of requests that crash servers; nil if none is kept.
	Ledger Ledger
	Timer  timer.Service
	// Log receives one line a decision; nil discards them.
	Log *log.Logger
	// Repeats is the fraction of a pool's requests that all gateways together may
	// send once more, and Spare the number that they may in any case, both in about
	// Window.
	Repeats float64
	Spare   float64
	Window  time.Duration
	// Gateways returns how many gateways share the spare sends, 0 if unknown; nil
	// if this one is alone.
	Gateways func() int
	// Startup is how long a request waits for the first plan and the first servers:
	// after a restart of everything they are there as soon as a leader is elected,
	// and callers come back only once.
	Startup time.Duration
	// Return is when callers may come back after a refusal because no server has
	// room.
	Return time.Duration
	// Absent is when callers may come back while no server can be reached.
	Absent time.Duration
	// Growth is the part of the most output tokens that is reserved beside the
	// prompt.
	Growth float64
	// Step is the time of one output token, and Read that of one prompt token at a
	// prefill server.
	Step, Read time.Duration
	// Stall is how long a caller may take to read one piece of its answer.
	Stall time.Duration
}

const (
	defaultRepeats = 0.1
	defaultSpare   = 20
	// caution keeps all gateways together below the limit: their meters forget
	// exponentially, so that a full window may hold 1.7 times as many.
	caution = 0.5
	// unknownGateways shares the spare sends until a control host has told how many
	// gateways there are.
	unknownGateways = 30
	defaultWindow   = 10 * time.Second
	defaultReturn   = 200 * time.Millisecond
	// defaultAbsent is what the host list lags behind servers that have come back.
	// Callers who wait two or three seconds in all honour no more.
	defaultAbsent = 800 * time.Millisecond
	// defaultStartup covers an election and a connection to a control host.
	defaultStartup = 1500 * time.Millisecond
	defaultStall   = 10 * time.Second
	// defaultGrowth keeps ten answers, whose lengths vary, within the memory of a
	// server in all but one of some hundred cases.
	defaultGrowth = 0.5
	// defaultStep and defaultRead are those of a 70 B model on four accelerators.
	defaultStep = 4600 * time.Microsecond
	defaultRead = 18 * time.Microsecond
)

// Defaults fills the fields that are zero.
func (s *Settings) Defaults() {
	filler.Zero(&s.Repeats, defaultRepeats)
	filler.Zero(&s.Spare, defaultSpare)
	filler.Zero(&s.Window, defaultWindow)
	filler.Zero(&s.Return, defaultReturn)
	filler.Zero(&s.Startup, defaultStartup)
	filler.Zero(&s.Absent, defaultAbsent)
	if s.Missing == nil {
		s.Missing = func() {}
	}
	if s.Crowded == nil {
		s.Crowded = func() {}
	}
	if s.Known == nil {
		s.Known = func() bool { return true }
	}
	if s.Limiter == nil {
		s.Limiter = noLimiter{}
	}
	if s.Ledger == nil {
		s.Ledger = noLedger{}
	}
	filler.Zero(&s.Stall, defaultStall)
	filler.Zero(&s.Growth, defaultGrowth)
	filler.Zero(&s.Step, defaultStep)
	filler.Zero(&s.Read, defaultRead)
	if s.Log == nil {
		s.Log = reporter.Discard()
	}
}

// Validate reports every fault at once.
func (s *Settings) Validate() error {
	var faults []error
	add := func(bad bool, text string) {
		if bad {
			faults = append(faults, errors.New(text))
		}
	}
	add(s.Listen == "", "listen: missing")
	add(s.Dialect == nil || s.Plan == nil, "dialect and plan: missing")
	add(s.Placer == nil || s.Courier == nil || s.Timer == nil, "placer, courier and timer: missing")
	add(s.Repeats < 0 || s.Spare < 0, "repeats and spare: must not be negative")
	add(s.Window <= 0 || s.Return <= 0 || s.Stall <= 0, "durations: must be positive")
	if err := errors.Join(faults...); err != nil {
		return errors.Newf("settings of gateway: %w", err)
	}

	return nil
}
