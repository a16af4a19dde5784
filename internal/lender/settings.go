package lender

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/damasklever/damasklever/internal/filler"
	"github.com/damasklever/damasklever/internal/reporter"
	"github.com/damasklever/damasklever/internal/timer"
)

// Phase is the work that a server does.
type Phase string

// Phases.
const (
	Prefill Phase = "prefill" // reads prompts for others
	Decode  Phase = "decode"  // generates
)

// Report is what the backend server says of itself.
type Report struct {
	Phase Phase
	// Total is its memory in tokens.
	Total int
	// Runs are the requests that it works on: tokens in memory by request.
	Runs map[string]int
	// Born differs for each start of the server.
	Born    int64
	Leaving bool
}

// Gauge reads the backend server's report.
type Gauge interface {
	Report(ctx context.Context) (Report, error)
}

// Settings of a lender. Listen, Server, Gauge and Timer have no defaults.
type Settings struct {
	// Listen is ip:port for entries.
	Listen string
	// Server names the backend server.
	Server string
	Gauge  Gauge
	Timer  timer.Service
	Log    *log.Logger
	// Block is the number of tokens that memory is lent by.
	Block int
	// Readers is the number of prompts that a prefill server reads at a time: the
	// next one is there when one ends.
	Readers int
	// Ranks is the number of priority classes.
	Ranks int
	// Floor is the percent of the server that each rank but the most urgent keeps
	// under load.
	Floor int
	// Headroom is the percent of a decode server's memory that is kept free for more
	// urgent ranks which asked lately.
	Headroom int
	// Lease ends the grants of an entry that is silent for so long.
	Lease time.Duration
	// Growth is what a request that runs without a grant may still take, in tokens.
	Growth int
	// Look is the time between two reports, and Lost how long they may fail before
	// the server counts as down.
	Look, Lost time.Duration
	// Push is the least time between two loads sent to an entry, and Pulse the most.
	Push, Pulse time.Duration
}

const (
	defaultBlock   = 16
	defaultReaders = 2
	// defaultRanks leaves room for requests that are late below those in time.
	defaultRanks = 10
	defaultFloor = 3
	// defaultHeadroom is two requests: while a server is full, memory comes free
	// about three times a second, too late for an urgent request that needs some at
	// once.
	defaultHeadroom = 18
	defaultLease    = 2 * time.Second
	// defaultGrowth is half of a usual answer.
	defaultGrowth = 400
	defaultLook   = 250 * time.Millisecond
	defaultLost   = 700 * time.Millisecond
	// defaultPush bounds the traffic between regions to a few hundred bytes a second
	// for each entry.
	defaultPush  = 150 * time.Millisecond
	defaultPulse = 600 * time.Millisecond
)

// Defaults fills the fields that are zero.
func (s *Settings) Defaults() {
	filler.Zero(&s.Block, defaultBlock)
	filler.Zero(&s.Readers, defaultReaders)
	filler.Zero(&s.Ranks, defaultRanks)
	filler.Zero(&s.Floor, defaultFloor)
	filler.Zero(&s.Headroom, defaultHeadroom)
	filler.Zero(&s.Lease, defaultLease)
	filler.Zero(&s.Growth, defaultGrowth)
	filler.Zero(&s.Look, defaultLook)
	filler.Zero(&s.Lost, defaultLost)
	filler.Zero(&s.Push, defaultPush)
	filler.Zero(&s.Pulse, defaultPulse)
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
	_, _, err := net.SplitHostPort(s.Listen)
	add(err != nil, "listen: want ip:port")
	add(s.Server == "" || s.Gauge == nil || s.Timer == nil, "server, gauge and timer: missing")
	add(s.Block <= 0 || s.Readers <= 0 || s.Ranks <= 0, "block, readers and ranks: must be positive")
	add(s.Floor < 0 || s.Floor*s.Ranks > 100, "floor: over 100 percent for all ranks")
	add(s.Lease <= 0 || s.Look <= 0 || s.Lost <= 0 || s.Push <= 0 || s.Pulse < s.Push, "durations: must be positive")
	if err := errors.Join(faults...); err != nil {
		return errors.Newf("settings of lender: %w", err)
	}

	return nil
}
