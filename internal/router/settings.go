package router

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/damasklever/damasklever/internal/dispatcher"
	"github.com/damasklever/damasklever/internal/surveyor"
	"github.com/damasklever/damasklever/internal/timer"
)

// Settings configures an entry process.
type Settings struct {
	Name, Region, Centre string
	Control              []string      // addresses of the control hosts, "ip:port"
	Listen               string        // ip:port for callers
	MaxBody              int64         // maximum size of a request body in bytes
	Memory               int64         // bytes of memory that the process may use; that of the host if zero
	Linger               time.Duration // how long callers are still accepted after BeginDrain
	Drain                time.Duration // maximum wait for requests in flight after that
	// DuplicateWindow is how long an equal non-idempotent call without an
	// Idempotency-Key counts as a duplicate of the first one.
	DuplicateWindow time.Duration
	// DefaultOutput limits the tokens of an answer if the caller sets no limit. A
	// lower limit of the service takes precedence.
	DefaultOutput int64
	// PrefillRate is the expected number of prompt tokens that a prefill server
	// processes per second, and TokenInterval the expected time between generated
	// tokens. Agents use both to order their queues.
	PrefillRate   int64
	TokenInterval time.Duration
	// IdleTimeout is how long a session with an agent stays open without an attempt.
	IdleTimeout time.Duration
	Limits      dispatcher.Limits
}

const (
	defaultBody            = 4 << 20
	defaultLinger          = 5 * time.Second
	defaultDrain           = 5 * time.Minute
	defaultDuplicateWindow = 10 * time.Minute
	defaultOutput          = 256
	defaultPrefillRate     = 10000
	defaultTokenInterval   = 30 * time.Millisecond
	defaultIdleTimeout     = time.Minute

	// answerShare is the share of the process's memory for large messages from agents, whose
	// answers are not written yet: one part in so many. copiesOfAnswer is how often such a
	// message is in memory: as received and decoded.
	answerShare    = 4
	copiesOfAnswer = 2
)

// Defaults sets fields that are zero to their defaults. In Linger and Drain zero is a
// valid value, and a negative one selects the default.
func (s *Settings) Defaults() {
	if s.Listen == "" {
		s.Listen = "127.0.0.1:8080"
	}
	if s.MaxBody == 0 {
		s.MaxBody = defaultBody
	}
	if s.Linger < 0 {
		s.Linger = defaultLinger
	}
	if s.Drain < 0 {
		s.Drain = defaultDrain
	}
	if s.DuplicateWindow == 0 {
		s.DuplicateWindow = defaultDuplicateWindow
	}
	if s.DefaultOutput == 0 {
		s.DefaultOutput = defaultOutput
	}
	if s.PrefillRate == 0 {
		s.PrefillRate = defaultPrefillRate
	}
	if s.TokenInterval == 0 {
		s.TokenInterval = defaultTokenInterval
	}
	if s.Memory == 0 {
		s.Memory = surveyor.Memory()
	}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = defaultIdleTimeout
	}
}

// Validate returns the errors of all invalid settings, joined.
func (s *Settings) Validate() error {
	var errs []error
	add := func(bad bool, format string, args ...any) {
		if bad {
			errs = append(errs, errors.Newf(format, args...))
		}
	}
	add(s.Name == "", "name: must not be empty")
	add(s.Region == "", "region: must not be empty")
	add(!isAddress(s.Listen), "listen: %q is not ip:port", s.Listen)
	for _, addr := range s.Control {
		add(!isAddress(addr), "control: %q is not ip:port", addr)
	}
	add(s.MaxBody < 1, "body: %d bytes, want at least 1", s.MaxBody)
	add(s.DuplicateWindow < time.Second, "duplicate window: %s, want at least 1s", s.DuplicateWindow)
	add(s.DefaultOutput < 1, "default output: %d tokens, want at least 1", s.DefaultOutput)
	add(s.PrefillRate < 1, "prefill rate: %d tokens/s, want at least 1", s.PrefillRate)
	add(s.TokenInterval <= 0, "token interval: %s, want more than 0", s.TokenInterval)
	add(s.IdleTimeout < time.Second, "idle timeout: %s, want at least 1s", s.IdleTimeout)

	return errors.Join(errs...)
}

// isAddress reports whether addr has the form host:port.
func isAddress(addr string) bool {
	_, _, err := net.SplitHostPort(addr)

	return err == nil
}

// Deps are the services of the process that a router uses.
type Deps struct {
	Timer    timer.Service
	Log      *log.Logger
	Registry prometheus.Registerer
	// Control is the client of the control plane. If nil, New creates one for
	// Settings.Control.
	Control Control
}
