package gateway

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/damasklever/damasklever/internal/budgeter"
	"github.com/damasklever/damasklever/internal/defaulter"
	"github.com/damasklever/damasklever/internal/drainer"
	"github.com/damasklever/damasklever/internal/logger"
	"github.com/damasklever/damasklever/internal/matcher"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/requester"
	"github.com/damasklever/damasklever/internal/timer"
)

// Settings configures a gateway. Listen, Dialect, Plan, Placer, Requester and Timer have no
// defaults.
type Settings struct {
	// Listen is the "ip:port" address on which callers connect.
	Listen string
	// Dialect translates between headers and the types of the gateway.
	Dialect Dialect
	// Plan returns the current plan, nil before the first one.
	Plan func() *matcher.Matcher
	// Known reports whether the list of servers has arrived; nil if it is always there.
	Known func() bool
	// OnNoServer is called when no server of a pool could be reached; may be nil.
	OnNoServer func()
	// OnNoMemory is called when no agent with a session had memory in time; may be nil.
	OnNoMemory func()
	Placer     *placer.Placer
	Requester  *requester.Requester
	// Agents are the agents of the model servers; nil if there are none.
	Agents Agents
	// Limiter enforces the rate limits of customers; nil for no limits.
	Limiter Limiter
	// Throttler keeps the limits that servers name; nil to ignore them.
	Throttler Throttler
	// Versions knows at which software version streams began; nil if every pool has only the
	// versions that are listed.
	Versions Versions
	// CrashLedger is the record of requests that crash servers; nil to keep none.
	CrashLedger CrashLedger
	Timer       timer.Service
	// Budget bounds the bytes held for callers, and Conns the number of their connections; nil for
	// no bound.
	Budget, Conns *budgeter.Budget
	// Drainer keeps the time of the shutdown of the process; nil if Drain has no time limit.
	Drainer *drainer.Drainer
	// Log receives one line for each decision; nil discards them.
	Log *log.Logger
	// RetryRatio is the fraction of a pool's requests that all gateways together may retry, and
	// RetrySlack the number of retries that they may make in any case, both in about
	// RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// GatewayCount returns the number of gateways that share RetrySlack, 0 if unknown, in
	// which case this one has no part of it; nil if this is the only one.
	GatewayCount func() int
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
	retryBudgetMargin  = 0.5
	defaultRetryWindow = 10 * time.Second
	defaultRetryAfter  = 200 * time.Millisecond
	// defaultNoServerRetryAfter is how far the host list lags behind servers that have come
	// back. Callers that wait two or three seconds in total do not honour a longer one.
	defaultNoServerRetryAfter = 800 * time.Millisecond
	// defaultStartupWait covers an election and a connection to a control host.
	defaultStartupWait  = 1500 * time.Millisecond
	defaultWriteTimeout = 10 * time.Second
	// defaultOutputReserve keeps ten answers of varying length within the memory of a server
	// in all but one of some hundred cases.
	defaultOutputReserve = 0.5
	// defaultOutputTokenTime and defaultPromptTokenTime are those of a 70 B model on four
	// accelerators.
	defaultOutputTokenTime = 4600 * time.Microsecond
	defaultPromptTokenTime = 18 * time.Microsecond
)

// Defaults sets the fields that are zero.
func (s *Settings) Defaults() {
	defaulter.Default(&s.RetryRatio, defaultRetryRatio)
	defaulter.Default(&s.RetrySlack, defaultRetrySlack)
	defaulter.Default(&s.RetryWindow, defaultRetryWindow)
	defaulter.Default(&s.RetryAfter, defaultRetryAfter)
	defaulter.Default(&s.StartupWait, defaultStartupWait)
	defaulter.Default(&s.NoServerRetryAfter, defaultNoServerRetryAfter)
	if s.OnNoServer == nil {
		s.OnNoServer = func() {}
	}
	if s.OnNoMemory == nil {
		s.OnNoMemory = func() {}
	}
	for _, b := range []**budgeter.Budget{&s.Budget, &s.Conns} {
		if *b == nil {
			*b = budgeter.Unlimited(s.Timer)
		}
	}
	if s.Known == nil {
		s.Known = func() bool { return true }
	}
	if s.Limiter == nil {
		s.Limiter = noLimiter{}
	}
	if s.Throttler == nil {
		s.Throttler = noThrottler{}
	}
	if s.Versions == nil {
		s.Versions = listedVersions{s.Placer}
	}
	if s.CrashLedger == nil {
		s.CrashLedger = noCrashLedger{}
	}
	if s.Drainer == nil && s.Timer != nil {
		s.Drainer = drainer.New(s.Timer)
	}
	defaulter.Default(&s.WriteTimeout, defaultWriteTimeout)
	defaulter.Default(&s.OutputReserve, defaultOutputReserve)
	defaulter.Default(&s.OutputTokenTime, defaultOutputTokenTime)
	defaulter.Default(&s.PromptTokenTime, defaultPromptTokenTime)
	if s.Log == nil {
		s.Log = logger.Discard()
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
	add(s.Placer == nil || s.Requester == nil || s.Timer == nil, "placer, requester and timer: missing")
	add(s.RetryRatio < 0 || s.RetrySlack < 0, "retry ratio and retry slack: must not be negative")
	add(s.RetryWindow <= 0 || s.RetryAfter <= 0 || s.WriteTimeout <= 0, "durations: must be positive")
	if err := errors.Join(problems...); err != nil {
		return errors.Newf("settings of gateway: %w", err)
	}

	return nil
}
