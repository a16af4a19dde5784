package dispatcher

import (
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

// Action is one of the types below. Actions of one Step are carried out in
// order; none of them may block the machine.
type Action interface{ action() }

// Ask requests memory blocks or a call slot of a server for a new attempt.
type Ask struct {
	ID     string
	Server string
	Phase  wire.Phase
	Due    time.Time // after which a grant is useless
	Pieces int64
	Cost   time.Duration // expected time on the server
	Hold   time.Duration // until the grant becomes firm
	// Alone asks the agent to run the request by itself, because a server
	// crashed while it ran.
	Alone bool
}

// Withdraw ends an attempt. It must reach the agent even if the exchange about
// the attempt is broken; the confirmation comes back as Withdrawn.
type Withdraw struct{ ID, Server string }

// Prefill runs the prompt under a grant.
type Prefill struct{ ID, Server string }

// Import lets the decode server fetch the KV cache.
type Import struct {
	ID, Server string
	Handle     string
	Source     string
	From       string // server that ran the prefill
	Tokens     int64
}

// Decode starts the stream, or resumes it on a new exchange.
type Decode struct {
	ID, Server string
	Offset     int64 // first chunk wanted
	Limit      int64
	Resume     bool
}

// Run dispatches a plain call.
type Run struct{ ID, Server string }

// Claim takes the key of a non-idempotent call in the log.
type Claim struct{ Key string }

// Settle records the end of a claimed call.
type Settle struct {
	Key    string
	Stage  wire.Stage
	Answer *wire.Stored
}

// Emit passes the next chunk to the caller.
type Emit struct {
	Seq    int64
	Text   string
	Tokens int64
}

// Finish is the final answer. It occurs exactly once.
type Finish struct{ Outcome Outcome }

// Wake asks for a Woken event at a time.
type Wake struct{ At time.Time }

// Retried reports, for logs and metrics, that work starts again,
// elsewhere or, after a stalled transfer, at the same server.
type Retried struct {
	Server string // of the failed attempt
	Phase  wire.Phase
	Reason string
}

func (Ask) action()      {}
func (Withdraw) action() {}
func (Prefill) action()  {}
func (Import) action()   {}
func (Decode) action()   {}
func (Run) action()      {}
func (Claim) action()    {}
func (Settle) action()   {}
func (Emit) action()     {}
func (Finish) action()   {}
func (Wake) action()     {}
func (Retried) action()  {}

// Result classifies the end of a request.
type Result int

// Results of a request.
const (
	Done Result = iota + 1
	// NotRun says that the request was not executed.
	NotRun
	// MayHaveRun says that the request failed after a dispatch.
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

// Outcome is the typed end of a request.
type Outcome struct {
	Result Result
	Status int // HTTP
	Reason string
	After  time.Duration // until a new try can succeed; 0: do not announce one
	// Gone says that the caller disconnected, so nobody reads the outcome.
	Gone bool
	// Answer is set for a plain call that is done.
	Answer *wire.Stored
	// Stored says that Answer is the recorded result of an earlier call.
	Stored bool
}
