package dispatcher

import (
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

// Event is one of the types below.
type Event interface{ event() }

// Begin is the first event of a machine.
type Begin struct{}

// Granted says that an agent granted an Ask.
type Granted struct{ ID string }

// Refused says that an agent rejected an Ask, or no longer knows the attempt.
type Refused struct {
	ID     string
	Reason string
	After  time.Duration // until a new try can succeed, 0 if unknown
}

// Prefilled says that the KV cache of the prompt can be imported.
type Prefilled struct {
	ID     string
	Handle string
	Source string
	Tokens int64
	Cached int64
}

// Imported says that the decode engine holds the KV cache.
type Imported struct{ ID string }

// Arrived is one chunk of the answer.
type Arrived struct {
	ID     string
	Seq    int64 // from 0
	Text   string
	Tokens int64
}

// Ended is the end of a stream or of an attempt.
type Ended struct {
	ID     string
	Status wire.Status
	Chunks int64 // in the whole answer, if the status is done
	Reason string
}

// Answered is the answer of a plain service.
type Answered struct {
	ID      string
	Status  int // HTTP
	Headers []*wire.Header
	Body    []byte
}

// Withdrawn confirms a Withdraw. If Ran is false, the backend server has not
// seen the attempt and never will.
type Withdrawn struct {
	ID  string
	Ran bool
}

// Lost says that the exchange with the agent about one attempt broke. The
// agent may still hold the grant.
type Lost struct {
	ID     string
	Reason string
}

// Claimed is the result of a Claim.
type Claimed struct {
	// OK is false if the log did not take the claim, for example without a
	// quorum; Text gives the reason.
	OK     bool
	Fresh  bool       // the claim was taken by this request
	Stage  wire.Stage // of an older claim
	Answer *wire.Stored
	// Conflict says that the key was used with another body.
	Conflict bool
	// Unknown says that the log may still take the claim although no result
	// arrived; the claim is released when the request ends.
	Unknown bool
	Text    string
}

// Gone says that the caller disconnected.
type Gone struct{}

// Woken reports that a requested time has come.
type Woken struct{}

func (Begin) event()     {}
func (Granted) event()   {}
func (Refused) event()   {}
func (Prefilled) event() {}
func (Imported) event()  {}
func (Arrived) event()   {}
func (Ended) event()     {}
func (Answered) event()  {}
func (Withdrawn) event() {}
func (Lost) event()      {}
func (Claimed) event()   {}
func (Gone) event()      {}
func (Woken) event()     {}
