// Package attendant is the agent process beside one backend server. It is the
// only one that grants the server's memory pieces or call slots, carries out
// the work of granted attempts, and cancels work that nobody waits for.
package attendant

import (
	"cmp"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	defaultLease  = 3 * time.Second
	defaultLinger = 10 * time.Second
	defaultPieces = 40
	// defaultSlots keeps one prefill waiting in the engine, so that it is never
	// idle between two of them. With more, the engine and not the queue decides
	// the order, and urgent asks wait behind all that was granted.
	defaultSlots   = 2
	defaultStall   = 500 * time.Millisecond
	defaultTimeout = 30 * time.Second
	defaultDrain   = 5 * time.Minute
)

// Settings of one agent.
type Settings struct {
	Name    string   // of the backend server
	Listen  string   // address for entries, "ip:port"
	Addr    string   // address that entries dial, the listener's if empty
	Backend string   // address of the backend server, "ip:port"
	Control []string // addresses of the control hosts
	Region  string
	Centre  string
	Service string
	Phase   string // prefill, decode or plain
	Pieces  int64  // memory pieces, or call slots of a plain service
	Slots   int64  // prefills granted at a time on a prefill server
	Hosts   string // file with the host list; empty for none
	Host    string // name of this host in the list, the address of Addr if empty
	// Lease is the time without a Renew after which an entry's grants end.
	Lease time.Duration
	// Linger is the time that the result of a finished attempt stays available
	// to an entry that lost its stream.
	Linger time.Duration
	// Stall is the time without progress after which a transfer is abandoned.
	Stall time.Duration
	// Timeout bounds one plain call if the service has no timeout of its own.
	Timeout time.Duration
	// Drain is the longest wait for running work when the agent leaves.
	Drain time.Duration
}

// Defaults fills the fields that are empty.
func (s *Settings) Defaults() {
	if s.Listen == "" {
		s.Listen = "127.0.0.1:0"
	}
	if s.Phase == "" {
		s.Phase = phaseDecode
	}
	if s.Pieces == 0 {
		s.Pieces = defaultPieces
	}
	if s.Slots == 0 {
		s.Slots = defaultSlots
	}
	if s.Lease == 0 {
		s.Lease = defaultLease
	}
	if s.Linger == 0 {
		s.Linger = defaultLinger
	}
	if s.Stall == 0 {
		s.Stall = defaultStall
	}
	if s.Timeout == 0 {
		s.Timeout = defaultTimeout
	}
	if s.Drain == 0 {
		s.Drain = defaultDrain
	}
	if s.Host == "" {
		s.Host = hostOf(cmp.Or(s.Addr, s.Listen))
	}
}

// Validate reports every fault at once.
func (s *Settings) Validate() error {
	var err error
	add := func(bad bool, format string, args ...any) {
		if bad {
			err = errors.Join(err, errors.Newf(format, args...))
		}
	}
	add(s.Name == "", "name: is empty")
	add(s.Service == "", "service: is empty")
	add(s.Region == "", "region: is empty")
	add(!isAddress(s.Listen), "listen: %q is not ip:port", s.Listen)
	add(s.Addr != "" && !isAddress(s.Addr), "addr: %q is not ip:port", s.Addr)
	add(!isAddress(s.Backend), "backend: %q is not ip:port", s.Backend)
	for _, addr := range s.Control {
		add(!isAddress(addr), "control: %q is not ip:port", addr)
	}
	add(s.Phase != phasePrefill && s.Phase != phaseDecode && s.Phase != phasePlain,
		"phase: %q is not prefill, decode or plain", s.Phase)
	add(s.Pieces < 1, "pieces: %d is less than 1", s.Pieces)
	add(s.Slots < 1, "slots: %d is less than 1", s.Slots)
	add(s.Lease < time.Second, "lease: %s is less than 1s", s.Lease)
	add(s.Linger <= 0, "linger: %s is not positive", s.Linger)
	add(s.Stall <= 0, "stall: %s is not positive", s.Stall)
	add(s.Timeout <= 0, "timeout: %s is not positive", s.Timeout)
	add(s.Drain <= 0, "drain: %s is not positive", s.Drain)

	return err
}

func isAddress(addr string) bool {
	_, _, err := net.SplitHostPort(addr)

	return err == nil
}

// Names of the phases in settings, as registered with control.
const (
	phasePrefill = "prefill"
	phaseDecode  = "decode"
	phasePlain   = "plain"
)
