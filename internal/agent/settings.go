// Package agent implements the agent process, which manages one backend server. It
// grants the server's KV cache blocks or call slots to entries, executes the work of
// granted attempts and cancels work that no entry waits for. No other process grants
// the units of that server.
package agent

import (
	"cmp"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/surveyor"
)

const (
	defaultLeaseTimeout    = 3 * time.Second
	defaultResultRetention = 10 * time.Second
	defaultUnits           = 40
	// defaultMaxPrefills keeps one prefill queued in the engine besides the running
	// one, so that the engine is never idle between two of them. With more than 2, the
	// engine instead of the grant queue would decide the order, and urgent asks would
	// wait behind everything already granted.
	defaultMaxPrefills  = 2
	defaultStallTimeout = 500 * time.Millisecond
	defaultCallTimeout  = 30 * time.Second
	defaultDrainTimeout = 5 * time.Minute
)

// Settings configures an agent.
type Settings struct {
	Name     string   // name of the backend server
	Listen   string   // address to listen on for entries, "ip:port"
	Addr     string   // address that entries dial; the listener's if empty
	Backend  string   // address of the backend server, "ip:port"
	Control  []string // addresses of the control hosts
	Region   string
	Centre   string
	Service  string
	Phase    string // prefill, decode or plain
	Pieces   int64  // KV cache blocks, or call slots of a plain service
	Slots    int64  // maximum number of prefills granted at a time on a prefill server
	Hosts    string // path of the host list file; optional
	HostName string // name of this host in the host list; the host part of Addr or Listen if empty
	// Lease is the time after the last Renew at which the grants of an entry expire.
	Lease time.Duration
	// ResultRetention is how long the result of a finished attempt is kept for an
	// entry that lost its stream.
	ResultRetention time.Duration
	// StallTimeout is the time without progress after which a transfer is aborted.
	StallTimeout time.Duration
	// CallTimeout bounds a plain call if the configuration sets no timeout for the
	// service.
	CallTimeout time.Duration
	// Memory is how many bytes of memory the process may use; that of the host if zero.
	Memory int64
	// DrainTimeout is the maximum time that BeginDrain waits for running work.
	DrainTimeout time.Duration
}

// Defaults sets empty fields to their default values.
func (s *Settings) Defaults() {
	if s.Listen == "" {
		s.Listen = "127.0.0.1:0"
	}
	if s.Phase == "" {
		s.Phase = phaseDecode
	}
	if s.Pieces == 0 {
		s.Pieces = defaultUnits
	}
	if s.Slots == 0 {
		s.Slots = defaultMaxPrefills
	}
	if s.Lease == 0 {
		s.Lease = defaultLeaseTimeout
	}
	if s.ResultRetention == 0 {
		s.ResultRetention = defaultResultRetention
	}
	if s.StallTimeout == 0 {
		s.StallTimeout = defaultStallTimeout
	}
	if s.CallTimeout == 0 {
		s.CallTimeout = defaultCallTimeout
	}
	if s.Memory == 0 {
		s.Memory = surveyor.Memory()
	}
	if s.DrainTimeout == 0 {
		s.DrainTimeout = defaultDrainTimeout
	}
	if s.HostName == "" {
		s.HostName = hostOf(cmp.Or(s.Addr, s.Listen))
	}
}

// Validate returns the errors of all invalid settings, joined.
func (s *Settings) Validate() error {
	var err error
	add := func(bad bool, format string, args ...any) {
		if bad {
			err = errors.Join(err, errors.Newf(format, args...))
		}
	}
	add(s.Name == "", "name: must not be empty")
	add(s.Service == "", "service: must not be empty")
	add(s.Region == "", "region: must not be empty")
	add(!isAddress(s.Listen), "listen: %q is not ip:port", s.Listen)
	add(s.Addr != "" && !isAddress(s.Addr), "addr: %q is not ip:port", s.Addr)
	add(!isAddress(s.Backend), "backend: %q is not ip:port", s.Backend)
	for _, addr := range s.Control {
		add(!isAddress(addr), "control: %q is not ip:port", addr)
	}
	add(s.Phase != phasePrefill && s.Phase != phaseDecode && s.Phase != phasePlain,
		"phase: %q is not prefill, decode or plain", s.Phase)
	add(s.Pieces < 1, "pieces: %d, want at least 1", s.Pieces)
	add(s.Slots < 1, "slots: %d, want at least 1", s.Slots)
	add(s.Lease < time.Second, "lease: %s, want at least 1s", s.Lease)
	add(s.ResultRetention <= 0, "result retention: %s, want more than 0", s.ResultRetention)
	add(s.StallTimeout <= 0, "stall timeout: %s, want more than 0", s.StallTimeout)
	add(s.CallTimeout <= 0, "call timeout: %s, want more than 0", s.CallTimeout)
	add(s.DrainTimeout <= 0, "drain timeout: %s, want more than 0", s.DrainTimeout)

	return err
}

// isAddress reports whether addr has the form host:port.
func isAddress(addr string) bool {
	_, _, err := net.SplitHostPort(addr)

	return err == nil
}

// Values of Settings.Phase, as registered with control.
const (
	phasePrefill = "prefill"
	phaseDecode  = "decode"
	phasePlain   = "plain"
)
