package gateway

import (
	"net/http"
	"time"

	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/requester"
	"github.com/damasklever/damasklever/internal/wire"
)

// Hints holds what a caller states about its request in the headers.
type Hints struct {
	ID string
	// Key is the API key of the customer; empty if the request carries none.
	Key string
	// Timeout is how long the caller waits for the answer; 0 if it does not say.
	Timeout time.Duration
	// Prompt is the number of prompt tokens of a model request, and MaxOutputTokens the maximum
	// number of its output tokens.
	Prompt, MaxOutputTokens int
	// Segments identify the segments of the prompt that it shares with other requests, in
	// order.
	Segments []string
	// OutputEstimate is the caller's estimate of the number of output tokens, which is often
	// far off; 0 if it gives none.
	OutputEstimate int
	// LastEventID is the id of the last event that the caller has received, if it resumes a
	// stream.
	LastEventID string
	// Resumes is the id of the request that brought the first event of the stream that the
	// caller resumes; empty if it names none.
	Resumes string
}

// Attempt holds the parameters of one attempt to send a request, which are added to the
// caller's headers.
type Attempt struct {
	// Server is the id of the only server that may run the request.
	Server string
	// TimeLeft is the time until the deadline of the request.
	TimeLeft time.Duration
	Rank     int32
	// Customer is the customer that the request belongs to, nil if unknown. KeysRequired
	// is set if requests carry keys, which must not be passed on to servers.
	Customer     *wire.Customer
	KeysRequired bool
	// Prefill asks the server to process the prompt and keep the result, without generating
	// an answer.
	Prefill bool
	// Source is the address of the server that keeps the processed prompt, and Handle the
	// name under which it does. Both are empty if the server processes the prompt itself.
	Source, Handle string
	// ReservationID is the name of the memory that the server has reserved for the request;
	// empty if there is none.
	ReservationID string
	// LastEventID is the id of the last event that was passed on to the caller.
	LastEventID string
}

// Notice holds what a response states about the condition of its server.
type Notice struct {
	// Leaving is set if the server is about to shut down.
	Leaving bool
	// Pause is how long the server wants to receive no further requests; 0 if it does not
	// say.
	Pause time.Duration
	// Limit is the number of requests per second that the server takes from all gateways
	// together; 0 if it names none.
	Limit float64
	// Fault is the error of a part of the notice that could not be parsed or was out of
	// range; nil if there is none.
	Fault error
}

// ServerStatus is what a server states about itself when asked for its status.
type ServerStatus struct {
	// Replaced is set if another server has started at the address.
	Replaced bool
	// StartedAt is when the server was started, zero if it does not say.
	StartedAt time.Time
}

// Dialect translates between HTTP headers and the gateway's types.
type Dialect interface {
	// Hints parses the headers of a caller's request. The text of an error is sent to the
	// caller.
	Hints(h http.Header) (Hints, error)
	// Challenge returns the value of the WWW-Authenticate header for requests without a
	// valid key.
	Challenge() string
	// Header returns the end-to-end headers of one attempt. Headers that only the system may
	// set are removed from those of the caller.
	Header(caller http.Header, s Attempt) http.Header
	// IsRefusal reports whether a response states that the request has not run.
	IsRefusal(status int, h http.Header) bool
	// Notice parses what a response states about its server.
	Notice(status int, h http.Header) Notice
	// ParseHandle parses the response to a send with Prefill and returns the handle of the
	// prompt.
	ParseHandle(body []byte) (string, error)
	// ReserveRequest returns the request that asks a server to reserve memory for a limited
	// time.
	ReserveRequest(s *placer.Server, tokens int, hold time.Duration) *requester.Request
	// ParseReservation parses the response to that request and returns the name of the
	// reservation.
	ParseReservation(body []byte) (string, error)
	// ReleaseRequest returns the request that releases a reservation.
	ReleaseRequest(s *placer.Server, hold string) *requester.Request
	// FreePromptRequest returns the request that frees the prompt that a server keeps under a
	// handle.
	FreePromptRequest(s *placer.Server, handle string) *requester.Request
	// StatusRequest returns the request for the status of a server, which needs no capacity
	// there.
	StatusRequest(id, addr string) *requester.Request
	// ParseStatus parses the response to that request. On an error, the status has what
	// could be read.
	ParseStatus(status int, body []byte) (ServerStatus, error)
}
