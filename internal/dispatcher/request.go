// Package dispatcher implements the state machine of a request: it takes events and
// the current time, and returns actions. It does no I/O, starts no goroutines and
// reads no clock.
package dispatcher

import (
	"time"

	"github.com/damasklever/damasklever/internal/defaulter"
	"github.com/damasklever/damasklever/internal/wire"
)

// Request describes a request. It does not change after New.
type Request struct {
	ID      string
	Kind    wire.Kind
	Service string
	Caller  string
	Digest  string
	Rank    int // 0 is the most urgent

	// GrantDeadline is the deadline for grants. After a later one, the first token or the
	// response would miss its target. Zero means Deadline.
	GrantDeadline time.Time
	// Deadline is the deadline of the whole request. Zero means Limits.Total after Started.
	Deadline time.Time

	// Model requests.
	Prompt     string
	Prefix     []uint64      // hashes of the prompt's blocks, in order
	Tokens     int64         // prompt tokens
	Limit      int64         // maximum number of tokens to generate
	Pieces     int64         // KV cache blocks of prompt and answer together
	WorkTime   time.Duration // expected time of the prefill, or of a plain call; 0 if unknown
	DecodeTime time.Duration // expected decode time, 0 if unknown

	// Plain calls.
	CallTime   time.Duration // expected time of the call; only limits it when the process stops
	Method     string
	Path       string
	Headers    []*wire.Header
	Body       []byte
	Idempotent bool
	Key        string // idempotency key, non-idempotent calls only

	Limits Limits
}

// Limits bounds the phases of a request. Fields that are zero default to those of
// DefaultLimits.
type Limits struct {
	Total               time.Duration // whole request, if Request.Deadline is zero
	Claim               time.Duration // wait for the replicated log
	Prefill             time.Duration // from dispatch to Prefilled
	Transfer            time.Duration // a longer transfer is treated as stalled
	HandleLifetime      time.Duration // time after Prefilled by which a prefill result is evicted
	ChunkTimeout        time.Duration // a stream with a longer pause between chunks is treated as lost
	ConfirmationTimeout time.Duration // wait for the confirmation whether a claimed call ran, after Finish
	RestartTimeout      time.Duration // wait for a server after work was restarted
	ParallelAsks        int           // candidates asked in parallel
	MaxRounds           int           // rounds of asking candidates for a phase
	MaxResumes          int           // stream resumptions without a new chunk
}

// DefaultLimits returns the default limits. Transfer is less than half of
// HandleLifetime, so that there is time to repeat a stalled transfer.
func DefaultLimits() Limits {
	return Limits{
		Total: 2 * time.Minute, Claim: 3 * time.Second, Prefill: 20 * time.Second,
		Transfer: 400 * time.Millisecond, HandleLifetime: time.Second, ChunkTimeout: 2 * time.Second,
		ConfirmationTimeout: 4 * time.Second, RestartTimeout: 3 * time.Second, ParallelAsks: 2, MaxRounds: 3, MaxResumes: 2,
	}
}

func (l Limits) withDefaults() Limits {
	d := DefaultLimits()
	defaulter.Default(&l.Total, d.Total)
	defaulter.Default(&l.Claim, d.Claim)
	defaulter.Default(&l.Prefill, d.Prefill)
	defaulter.Default(&l.Transfer, d.Transfer)
	defaulter.Default(&l.HandleLifetime, d.HandleLifetime)
	defaulter.Default(&l.ChunkTimeout, d.ChunkTimeout)
	defaulter.Default(&l.ConfirmationTimeout, d.ConfirmationTimeout)
	defaulter.Default(&l.RestartTimeout, d.RestartTimeout)
	defaulter.Default(&l.ParallelAsks, d.ParallelAsks)
	defaulter.Default(&l.MaxRounds, d.MaxRounds)
	defaulter.Default(&l.MaxResumes, d.MaxResumes)

	return l
}

// Selection describes the candidates that Policy.Pick is to return.
type Selection struct {
	Phase       wire.Phase
	KVCachePeer string   // server at the other end of the KV cache transfer, or empty
	Exclude     []string // servers already tried
	// Crashes is the number of servers that crashed while running the request. A
	// policy isolates such a request where possible.
	Crashes int
	Count   int // maximum number of candidates
}

// Policy selects servers and owns the retry budget.
type Policy interface {
	// Pick returns the names of at most selection.Count servers, best first.
	Pick(now time.Time, r *Request, selection Selection) []string
	// TakeRetry takes one retry from the service's budget. It returns false if none is
	// left.
	TakeRetry(now time.Time, service string) bool
	// Fail reports that a server failed an attempt.
	Fail(now time.Time, server string)
}
