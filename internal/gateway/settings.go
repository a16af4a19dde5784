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

// Settings configures a gateway. Listen, Dialect, Plan, Placer, Courier and Timer have no
// defaults.
type Settings struct {
	// Listen is the "ip:port" address on which callers connect.
	Listen string
	// Dialect translates between headers and the types of the gateway.
	Dialect Dialect
	// Plan returns the current plan, nil before the first one.
	Plan func() *planner.Planner
	// Known reports whether the list of servers has arrived; nil if it is always there.
	Known func() bool
	// Missing is called when no server of a pool could be reached; may be nil.
	Missing func()
	// Crowded is called when no agent with a session had memory in time; may be nil.
	Crowded func()
	Placer  *placer.Placer
	Courier *courier.Courier
	// Lenders are the agents of the model servers; nil if there are none.
	Lenders Lenders
	// Limiter enforces the rate limits of customers; nil for no limits.
	Limiter Limiter
	// Ledger is the record of requests that crash servers; nil to keep none.
	Ledger Ledger
	Timer  timer.Service
	// Log receives one line for each decision; nil discards them.
	Log *log.Logger
	// Repeats is the fraction of a pool's requests that all gateways together may retry, and
	// Spare the number of retries that they may make in any case, both in about Window.
	Repeats float64
	Spare   float64
	Window  time.Duration
	// Gateways returns the number of gateways that share the Spare retries, 0 if unknown;
	// nil if this is the only one.
	Gateways func() int
	// StartupWait is how long a request waits for the first plan and the first list of
	// servers. After a restart of all processes they arrive as soon as a leader is elected,
	// and callers retry only once.
	StartupWait time.Duration
	// RetryAfter is the time after which callers may retry a request that was refused
	// because no server has room.
	RetryAfter time.Duration
	// NoServerRetryAfter is the time after which callers may retry a request that was
	// refused because no server can be reached.
	NoServerRetryAfter time.Duration
	// OutputReserve is the fraction of the maximum output tokens for which memory is
	// reserved in addition to the prompt.
	OutputReserve float64
	// OutputTokenTime is the time to generate one output token, and PromptTokenTime the time
	// in which a prefill server processes one prompt token.
	OutputTokenTime, PromptTokenTime time.Duration
	// WriteTimeout is how long a caller may take to receive one piece of its answer.
	WriteTimeout time.Duration
}

const (
	defaultRetryRatio = 0.1
	defaultRetrySlack = 20
	// retryBudgetMargin keeps all gateways together below the limit: their counters decay
	// exponentially, so a full window may hold 1.7 times as many retries.
	retryBudgetMargin = 0.5
	// unknownGateways is the assumed number of gateways until a control host has reported
	// it.
	unknownGateways    = 30
	defaultRetryWindow = 10 * time.Second
	defaultRetryAfter  = 200 * time.Millisecond
	// defaultNoServerRetryAfter is how far the host list lags behind servers that have come
	// back. Callers that wait two or three seconds in total do not honour a longer one.
	defaultNoServerRetryAfter = 800 * time.Millisecond
	// defaultStartupWait covers an election and a connection to a control host.
	defaultStartupWait  = 1500 * time.Millisecond
	defaultWriteTimeout = 10 * time.Second
	// defaultOutputReserve keeps ten answers of varying length within the memory of a server
	// in all but about one of a hundred cases.
	defaultOutputReserve = 0.5
	// defaultOutputTokenTime and defaultPromptTokenTime are those of a 70 B model on four
	// accelerators.
	defaultOutputTokenTime = 4600 * time.Microsecond
	defaultPromptTokenTime = 18 * time.Microsecond
)

// Defaults sets the fields that are zero.
func (s *Settings) Defaults() {
	filler.Zero(&s.Repeats, defaultRetryRatio)
	filler.Zero(&s.Spare, defaultRetrySlack)
	filler.Zero(&s.Window, defaultRetryWindow)
	filler.Zero(&s.RetryAfter, defaultRetryAfter)
	filler.Zero(&s.StartupWait, defaultStartupWait)
	filler.Zero(&s.NoServerRetryAfter, defaultNoServerRetryAfter)
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
	filler.Zero(&s.WriteTimeout, defaultWriteTimeout)
	filler.Zero(&s.OutputReserve, defaultOutputReserve)
	filler.Zero(&s.OutputTokenTime, defaultOutputTokenTime)
	filler.Zero(&s.PromptTokenTime, defaultPromptTokenTime)
	if s.Log == nil {
		s.Log = reporter.Discard()
	}
}

// Validate reports all invalid fields at once.
func (s *Settings) Validate() error {
	var problems []error
	add := func(bad bool, text string) {
		if bad {
			problems = append(problems, errors.New(text))
		}
	}
	add(s.Listen == "", "listen: missing")
	add(s.Dialect == nil || s.Plan == nil, "dialect and plan: missing")
	add(s.Placer == nil || s.Courier == nil || s.Timer == nil, "placer, courier and timer: missing")
	add(s.Repeats < 0 || s.Spare < 0, "repeats and spare: must not be negative")
	add(s.Window <= 0 || s.RetryAfter <= 0 || s.WriteTimeout <= 0, "durations: must be positive")
	if err := errors.Join(problems...); err != nil {
		return errors.Newf("settings of gateway: %w", err)
	}

	return nil
}
