package dispatcher

import (
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

// Event is an input of the state machine: one of the types below.
type Event interface{ event() }

// Started starts the machine. It is its first event.
type Started struct{}

// Granted reports that an agent granted an Ask.
type Granted struct{ ID string }

// Refused reports that an agent rejected an Ask, or no longer knows the attempt.
type Refused struct {
	ID     string
	Reason string
	After  time.Duration // delay before a retry can succeed, 0 if unknown
}

// Prefilled reports that the KV cache of the prompt can be imported.
type Prefilled struct {
	ID     string
	Handle string
	Source string
	Tokens int64
	Cached int64
}

// Imported reports that the decode engine holds the KV cache.
type Imported struct{ ID string }

// ChunkReceived passes in one chunk of the answer.
type ChunkReceived struct {
	ID     string
	Seq    int64 // from 0
	Text   string
	Tokens int64
}

// Ended reports the end of a stream or an attempt.
type Ended struct {
	ID     string
	Status wire.Status
	Chunks int64 // number of chunks in the whole answer, if Status is STATUS_DONE
	Reason string
}

// ResponseReceived passes in the response of a plain service.
type ResponseReceived struct {
	ID      string
	Status  int // HTTP
	Headers []*wire.Header
	Body    []byte
}

// Withdrawn confirms a Withdraw, or reports that the agent withdrew the attempt by
// itself. If Ran is false, the attempt has not reached the backend server and never
// will.
type Withdrawn struct {
	ID  string
	Ran bool
}

// ConnectionLost reports that the connection to the agent for an attempt broke. The
// agent may still hold the grant.
type ConnectionLost struct {
	ID     string
	Reason string
}

// Claimed reports the result of a Claim.
type Claimed struct {
	// OK is false if the log did not accept the claim, for example because it has no
	// quorum. Text gives the reason.
	OK     bool
	Fresh  bool       // the claim belongs to this request
	Stage  wire.Stage // stage of an earlier claim
	Answer *wire.Stored
	// Conflict means that the key was used with another body.
	Conflict bool
	// Unknown means that no result arrived but the log may still accept the claim.
	// The claim is released when the request ends.
	Unknown bool
	Text    string
}

// CallerGone reports that the caller disconnected.
type CallerGone struct{}

// Stopping reports that the process is stopping and that the request must end by the given
// time. Before Started it limits a request that begins during the shutdown.
type Stopping struct{ End time.Time }

// TimerFired reports that the time of a RequestWake has come.
type TimerFired struct{}

func (Started) event()          {}
func (Granted) event()          {}
func (Refused) event()          {}
func (Prefilled) event()        {}
func (Imported) event()         {}
func (ChunkReceived) event()    {}
func (Ended) event()            {}
func (ResponseReceived) event() {}
func (Withdrawn) event()        {}
func (ConnectionLost) event()   {}
func (Claimed) event()          {}
func (CallerGone) event()       {}
func (Stopping) event()         {}
func (TimerFired) event()       {}
