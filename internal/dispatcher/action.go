package dispatcher

import (
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

// Action is an instruction to the caller of Step: one of the types below. The
// actions that one Step returns are carried out in order, without blocking the
// machine.
type Action interface{ action() }

// Ask requests a grant of KV cache blocks or a call slot from a server. It starts a
// new attempt.
type Ask struct {
	ID     string
	Server string
	Phase  wire.Phase
	Due    time.Time // a grant after this time is useless
	Pieces int64
	Cost   time.Duration // expected time on the server
	Hold   time.Duration // expected time from grant to dispatch; until then the grant is a reservation
	// Alone asks the agent to run the request in isolation, because a server
	// crashed while running it.
	Alone bool
}

// Withdraw ends an attempt. It must reach the agent even if the connection for the
// attempt is broken. The agent's confirmation is passed in as Withdrawn.
type Withdraw struct{ ID, Server string }

// Prefill starts the prefill of the prompt on a granted server.
type Prefill struct{ ID, Server string }

// Import tells the decode server to fetch the KV cache.
type Import struct {
	ID, Server string
	Handle     string
	Source     string
	From       string // prefill server
	Tokens     int64
}

// Decode starts the answer stream, or resumes it on a new connection.
type Decode struct {
	ID, Server string
	Offset     int64 // first chunk to send
	Limit      int64
	Resume     bool
}

// Run dispatches a plain call to the server.
type Run struct{ ID, Server string }

// Claim reserves the idempotency key of a non-idempotent call in the replicated
// log.
type Claim struct{ Key string }

// Settle records the result of a claimed call in the replicated log.
type Settle struct {
	Key    string
	Stage  wire.Stage
	Answer *wire.Stored
}

// Emit sends the next chunk to the caller.
type Emit struct {
	Seq    int64
	Text   string
	Tokens int64
}

// Finish reports the outcome of the request. It is returned exactly once.
type Finish struct{ Outcome Outcome }

// RequestWake requests a TimerFired event at the given time.
type RequestWake struct{ At time.Time }

// Retried reports, for logs and metrics, that work is retried: on another server,
// or on the same one after a stalled transfer.
type Retried struct {
	Server string // of the failed attempt
	Phase  wire.Phase
	Reason string
}

func (Ask) action()         {}
func (Withdraw) action()    {}
func (Prefill) action()     {}
func (Import) action()      {}
func (Decode) action()      {}
func (Run) action()         {}
func (Claim) action()       {}
func (Settle) action()      {}
func (Emit) action()        {}
func (Finish) action()      {}
func (RequestWake) action() {}
func (Retried) action()     {}

// Result classifies the outcome of a request.
type Result int

// Results of a request.
const (
	Done Result = iota + 1
	// NotRun means that the request was not executed.
	NotRun
	// MayHaveRun means that the request failed after it was dispatched.
	MayHaveRun
)

// String returns the value of the Damask-Outcome header.
func (r Result) String() string {
	switch r {
	case Done:
		return "done"
	case NotRun:
		return "not-run"
	case MayHaveRun:
		return "may-have-run"
	default:
		return "unknown"
	}
}

// Outcome describes how a request ended.
type Outcome struct {
	Result Result
	Status int // HTTP
	Reason string
	After  time.Duration // delay before a retry can succeed; 0: none is announced
	// CallerGone means that the caller has disconnected and does not read the outcome.
	CallerGone bool
	// Answer is the response of a plain call, set if Result is Done.
	Answer *wire.Stored
	// Stored means that Answer is the recorded response to an earlier call with the
	// same key.
	Stored bool
}
