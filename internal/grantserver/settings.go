package grantserver

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/damasklever/damasklever/internal/defaulter"
	"github.com/damasklever/damasklever/internal/logger"
	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/pacer"
	"github.com/damasklever/damasklever/internal/timer"
)

// Phase is the part of model requests that a server processes.
type Phase string

// Phases of a model request.
const (
	Prefill Phase = "prefill" // processes prompts for decode servers
	Decode  Phase = "decode"  // generates tokens
)

// Report is a backend server's report of its own state.
type Report struct {
	Phase Phase
	// Total is the server's memory in tokens.
	Total int
	// Requests holds the memory used by each running request, in tokens by request ID.
	Requests map[string]int
	// Events holds the number of events that each running request has generated, by request ID.
	Events map[string]int
	// StartID differs for each start of the server.
	StartID int64
	Leaving bool
	// ChangingStage is set while the server changes its phase. It refuses new requests then.
	ChangingStage bool
	// Limit is the number of requests per second that the server takes in all, 0 if it names
	// none.
	Limit float64
	// Fault is the error of a part that could not be parsed or was out of range; nil if there
	// is none.
	Fault error
}

// ReportSource reads the backend server's report.
type ReportSource interface {
	Report(ctx context.Context) (Report, error)
}

// Settings configures a Server. Listen, Backend, ReportSource and Timer are required.
type Settings struct {
	// Listen is the "ip:port" on which entries connect.
	Listen string
	// Backend is the name or address of the backend server, as reported to entries.
	Backend      string
	ReportSource ReportSource
	Timer        timer.Service
	// Limits bounds what is held for entries.
	Limits messenger.Limits
	Log    *log.Logger
	// BlockSize is the unit in which memory is granted, in tokens.
	BlockSize int
	// ConcurrentPrompts is the number of prompts granted at a time on a prefill server,
	// so that the next prompt is already there when one ends.
	ConcurrentPrompts int
	// Ranks is the number of priority classes.
	Ranks int
	// Floor is the percentage of the server that each rank except the most urgent one
	// keeps under load.
	Floor int
	// Headroom is the percentage of a decode server's memory that is kept free for more
	// urgent ranks that asked recently.
	Headroom int
	// Lease is how long the grants of a silent entry stay valid.
	Lease time.Duration
	// ExpectedGrowth is the memory that a request running without a grant may still take,
	// in tokens.
	ExpectedGrowth int
	// PollInterval is the time between two reports. The server counts as down once reports
	// have failed for DownAfter.
	PollInterval, DownAfter time.Duration
	// Pace records how the grants of a server that has started are limited; nil for none.
	Pace *pacer.Recorder
	// Origins is the number of streams whose software version is kept for entries.
	Origins int
	// MinPushInterval and MaxPushInterval bound the time between two load messages to an
	// entry.
	MinPushInterval, MaxPushInterval time.Duration
}

const (
	defaultBlockSize         = 16
	defaultConcurrentPrompts = 2
	// defaultRanks includes ranks for late requests below those of requests in time.
	defaultRanks = 10
	defaultFloor = 3
	// defaultHeadroom is the memory of about two requests. On a full server, memory becomes
	// free about three times a second, which is too late for an urgent request that needs
	// some immediately.
	defaultHeadroom = 18
	defaultLease    = 2 * time.Second
	// defaultExpectedGrowth is half of a typical response.
	defaultExpectedGrowth = 400
	defaultPollInterval   = 250 * time.Millisecond
	defaultDownAfter      = 700 * time.Millisecond
	// defaultOrigins is enough for 13,000 streams per second of 20 s each, with three copies at
	// 32 agents: 24,400 at each.
	defaultOrigins = 32_768
	// defaultMinPushInterval limits the traffic between regions to a few hundred bytes per
	// second for each entry.
	defaultMinPushInterval = 150 * time.Millisecond
	defaultMaxPushInterval = 600 * time.Millisecond
)

// Defaults sets zero fields to their default values.
func (s *Settings) Defaults() {
	defaulter.Default(&s.BlockSize, defaultBlockSize)
	defaulter.Default(&s.ConcurrentPrompts, defaultConcurrentPrompts)
	defaulter.Default(&s.Ranks, defaultRanks)
	defaulter.Default(&s.Floor, defaultFloor)
	defaulter.Default(&s.Headroom, defaultHeadroom)
	defaulter.Default(&s.Lease, defaultLease)
	defaulter.Default(&s.ExpectedGrowth, defaultExpectedGrowth)
	defaulter.Default(&s.PollInterval, defaultPollInterval)
	defaulter.Default(&s.DownAfter, defaultDownAfter)
	defaulter.Default(&s.Origins, defaultOrigins)
	defaulter.Default(&s.MinPushInterval, defaultMinPushInterval)
	defaulter.Default(&s.MaxPushInterval, defaultMaxPushInterval)
	if s.Log == nil {
		s.Log = logger.Discard()
	}
}

// Validate reports all invalid fields in one error.
func (s *Settings) Validate() error {
	var faults []error
	add := func(bad bool, text string) {
		if bad {
			faults = append(faults, errors.New(text))
		}
	}
	_, _, err := net.SplitHostPort(s.Listen)
	add(err != nil, "Listen must have the form ip:port")
	add(s.Backend == "" || s.ReportSource == nil || s.Timer == nil, "the server name, the source of reports and the timer are required")
	add(s.BlockSize <= 0 || s.ConcurrentPrompts <= 0 || s.Ranks <= 0 || s.Origins <= 0, "BlockSize, ConcurrentPrompts, Ranks and Origins must be positive")
	add(s.Floor < 0 || s.Floor*s.Ranks > 100, "Floor must not be negative, nor exceed 100 percent over all ranks")
	add(s.Lease <= 0 || s.PollInterval <= 0 || s.DownAfter <= 0 || s.MinPushInterval <= 0 || s.MaxPushInterval < s.MinPushInterval,
		"durations must be positive, and MaxPushInterval not below MinPushInterval")
	if err := errors.Join(faults...); err != nil {
		return errors.Newf("grant server settings: %w", err)
	}

	return nil
}
