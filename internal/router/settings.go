package router

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/damasklever/damasklever/internal/dispatcher"
	"github.com/damasklever/damasklever/internal/timer"
)

// Settings of an entry process.
type Settings struct {
	Name, Region, Centre string
	Control              []string      // addresses of the control hosts, "ip:port"
	Listen               string        // ip:port for callers
	Body                 int64         // most bytes of a request body
	Linger               time.Duration // accepts callers this long after Leave
	Drain                time.Duration // longest wait for requests in flight after that
	// Window is how long a non-idempotent call without an Idempotency-Key counts
	// as a repetition of an equal one.
	Window time.Duration
	// Output is the most tokens of an answer if neither the caller nor the
	// service names a number.
	Output int64
	// Speed is the number of prompt tokens that a prefill server is expected to
	// take each second, and Token the expected time between tokens. Agents use
	// both to order their queues.
	Speed int64
	Token time.Duration
	// Idle is the time without an attempt after which the session to an agent
	// is closed.
	Idle   time.Duration
	Limits dispatcher.Limits
}

const (
	defaultBody   = 4 << 20
	defaultLinger = 5 * time.Second
	defaultDrain  = 5 * time.Minute
	defaultWindow = 10 * time.Minute
	defaultOutput = 256
	defaultSpeed  = 10000
	defaultToken  = 30 * time.Millisecond
	defaultIdle   = time.Minute
)

// Defaults fills the fields that are zero. Linger and Drain may be zero; a
// negative value chooses the default.
func (s *Settings) Defaults() {
	if s.Listen == "" {
		s.Listen = "127.0.0.1:8080"
	}
	if s.Body == 0 {
		s.Body = defaultBody
	}
	if s.Linger < 0 {
		s.Linger = defaultLinger
	}
	if s.Drain < 0 {
		s.Drain = defaultDrain
	}
	if s.Window == 0 {
		s.Window = defaultWindow
	}
	if s.Output == 0 {
		s.Output = defaultOutput
	}
	if s.Speed == 0 {
		s.Speed = defaultSpeed
	}
	if s.Token == 0 {
		s.Token = defaultToken
	}
	if s.Idle == 0 {
		s.Idle = defaultIdle
	}
}

// Validate returns every fault at once, joined.
func (s *Settings) Validate() error {
	var faults []error
	add := func(bad bool, format string, args ...any) {
		if bad {
			faults = append(faults, errors.Newf(format, args...))
		}
	}
	add(s.Name == "", "name: is empty")
	add(s.Region == "", "region: is empty")
	add(!isAddress(s.Listen), "listen: %q is not ip:port", s.Listen)
	for _, addr := range s.Control {
		add(!isAddress(addr), "control: %q is not ip:port", addr)
	}
	add(s.Body < 1, "body: %d bytes, want at least 1", s.Body)
	add(s.Window < time.Second, "window: %s, want at least 1s", s.Window)
	add(s.Output < 1, "output: %d tokens, want at least 1", s.Output)
	add(s.Speed < 1, "speed: %d tokens/s, want at least 1", s.Speed)
	add(s.Token <= 0, "token: %s, want more than 0", s.Token)
	add(s.Idle < time.Second, "idle: %s, want at least 1s", s.Idle)

	return errors.Join(faults...)
}

func isAddress(addr string) bool {
	_, _, err := net.SplitHostPort(addr)

	return err == nil
}

// Deps are what a router uses of its process.
type Deps struct {
	Timer    timer.Service
	Log      *log.Logger
	Registry prometheus.Registerer
	// Control is the control plane; nil connects to Settings.Control.
	Control Control
}
