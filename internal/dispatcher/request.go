// Package dispatcher holds the state machine of one request. It takes events
// and the current time and returns actions. It starts no goroutine, opens no
// socket and reads no clock.
package dispatcher

import (
	"time"

	"github.com/damasklever/damasklever/internal/filler"
	"github.com/damasklever/damasklever/internal/wire"
)

// Request describes one request. It is not changed after New.
type Request struct {
	ID      string
	Kind    wire.Kind
	Service string
	Caller  string
	Digest  string
	Rank    int // 0 is the most urgent

	// Start is the time after which a grant is useless, because the first
	// token or the answer would be too late. Zero means End.
	Start time.Time
	// End is the deadline of the whole request. Zero means Limits.Total after
	// Begin.
	End time.Time

	// Model requests.
	Prompt string
	Prefix []uint64      // hashes of the prompt's memory blocks, first block first
	Tokens int64         // prompt tokens
	Limit  int64         // most tokens to generate
	Pieces int64         // memory blocks of prompt and answer together
	Work   time.Duration // expected prefill time, 0 if unknown
	Stream time.Duration // expected decode time, 0 if unknown

	// Plain calls.
	Method     string
	Path       string
	Headers    []*wire.Header
	Body       []byte
	Idempotent bool
	Key        string // of the claim; non-idempotent calls only

	Limits Limits
}

// Limits bounds each phase. Zero fields take the value of DefaultLimits.
type Limits struct {
	Total    time.Duration // whole request, if it names no End
	Claim    time.Duration // wait for the replicated log
	Prefill  time.Duration // from dispatch to Prefilled
	Transfer time.Duration // a longer transfer counts as stalled
	Keep     time.Duration // a prefill result is evicted this long after Prefilled at the latest
	Gap      time.Duration // a longer pause between chunks counts as a lost stream
	Linger   time.Duration // wait for the end of a claimed call after its final answer
	Patience time.Duration // wait for a server for a request that was started again
	Asks     int           // candidates asked at once
	Rounds   int           // times that candidates are asked for one phase
	Resumes  int           // resumptions without a new chunk
}

// DefaultLimits returns the limits of a request that sets none. Transfer is
// below half of Keep, so that a stalled transfer can be repeated.
func DefaultLimits() Limits {
	return Limits{
		Total: 2 * time.Minute, Claim: 3 * time.Second, Prefill: 20 * time.Second,
		Transfer: 400 * time.Millisecond, Keep: time.Second, Gap: 2 * time.Second,
		Linger: 4 * time.Second, Patience: 3 * time.Second, Asks: 2, Rounds: 3, Resumes: 2,
	}
}

func (l Limits) filled() Limits {
	d := DefaultLimits()
	filler.Zero(&l.Total, d.Total)
	filler.Zero(&l.Claim, d.Claim)
	filler.Zero(&l.Prefill, d.Prefill)
	filler.Zero(&l.Transfer, d.Transfer)
	filler.Zero(&l.Keep, d.Keep)
	filler.Zero(&l.Gap, d.Gap)
	filler.Zero(&l.Linger, d.Linger)
	filler.Zero(&l.Patience, d.Patience)
	filler.Zero(&l.Asks, d.Asks)
	filler.Zero(&l.Rounds, d.Rounds)
	filler.Zero(&l.Resumes, d.Resumes)

	return l
}

// Choice asks for candidates.
type Choice struct {
	Phase wire.Phase
	Near  string   // server that the candidate exchanges KV cache with, or empty
	Avoid []string // servers already tried
	// Crashes is how many servers crashed while they ran the request. A policy
	// isolates such a request where possible.
	Crashes int
	Count   int
}

// Policy selects servers and owns the retry budget.
type Policy interface {
	// Pick returns names of servers, the best first, at most c.Count.
	Pick(now time.Time, r *Request, c Choice) []string
	// Retry takes one retry from the service's budget, or returns false.
	Retry(now time.Time, service string) bool
	// Fail reports that a server failed an attempt.
	Fail(now time.Time, server string)
}
