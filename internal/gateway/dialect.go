package gateway

import (
	"net/http"
	"time"

	"github.com/damasklever/damasklever/internal/courier"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/wire"
)

// Hints holds what a caller states about its request in the headers.
type Hints struct {
	ID string
	// Key is the API key of the customer; empty if the request carries none.
	Key string
	// Wait is how long the caller waits for the answer; 0 if it does not say.
	Wait time.Duration
	// Prompt is the number of prompt tokens of a model request, and Limit the maximum number
	// of its output tokens.
	Prompt, Limit int
	// Guess is the caller's estimate of the number of output tokens, which is often far off;
	// 0 if it gives none.
	Guess int
	// Last is the id of the last event that the caller has received, if it resumes a stream.
	Last string
}

// Send holds the parameters of one attempt to send a request, which are added to the
// caller's headers.
type Send struct {
	// Server is the id of the only server that may run the request.
	Server string
	// Left is the time until the deadline of the request.
	Left time.Duration
	Rank int32
	// Customer is the customer that the request belongs to, nil if unknown. Guarded is set
	// if requests carry keys, which must not be passed on to servers.
	Customer *wire.Customer
	Guarded  bool
	// Prefill asks the server to process the prompt and keep the result, without generating
	// an answer.
	Prefill bool
	// Source is the address of the server that keeps the processed prompt, and Handle the
	// name under which it does. Both are empty if the server processes the prompt itself.
	Source, Handle string
	// Hold is the name of the memory that the server has reserved for the request; empty if
	// there is none.
	Hold string
	// Last is the id of the last event that was passed on to the caller.
	Last string
}

// Notice holds what a response states about the condition of its server.
type Notice struct {
	// Leaving is set if the server is about to shut down.
	Leaving bool
	// Rest is how long the server wants to receive no further requests; 0 if it does not
	// say.
	Rest time.Duration
	// Fault is the error of a part of the notice that could not be parsed; nil if there is
	// none.
	Fault error
}

// Dialect translates between HTTP headers and the gateway's types.
type Dialect interface {
	// Hints parses the headers of a caller's request. The text of an error is sent to the
	// caller.
	Hints(h http.Header) (Hints, error)
	// Challenge returns the value of the WWW-Authenticate header for requests without a
	// valid key.
	Challenge() string
	// Header returns the end-to-end headers of one send. Headers that only the system may
	// set are removed from those of the caller.
	Header(caller http.Header, s Send) http.Header
	// Refused reports whether a response states that the request has not run.
	Refused(status int, h http.Header) bool
	// Notice parses what a response states about its server.
	Notice(status int, h http.Header) Notice
	// Handle parses the response to a send with Prefill and returns the handle of the
	// prompt.
	Handle(body []byte) (string, error)
	// Reserve returns the request that asks a server to reserve memory for a limited time.
	Reserve(s *placer.Server, tokens int, hold time.Duration) *courier.Request
	// Reserved parses the response to that request and returns the name of the reservation.
	Reserved(body []byte) (string, error)
	// Unreserve returns the request that releases a reservation.
	Unreserve(s *placer.Server, hold string) *courier.Request
	// Free returns the request that frees the prompt that a server keeps under a handle.
	Free(s *placer.Server, handle string) *courier.Request
}
