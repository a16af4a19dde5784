package gateway

import (
	"net/http"
	"time"

	"github.com/damasklever/damasklever/internal/courier"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/wire"
)

// Hints is what a caller says about its request beside the request itself.
type Hints struct {
	ID string
	// Key is the key of the caller's customer, empty if the request carries none.
	Key string
	// Wait is how long the caller waits for the answer, 0 if it does not say.
	Wait time.Duration
	// Prompt and Limit are the prompt tokens and the most output tokens of a model
	// request.
	Prompt, Limit int
	// Guess is the caller's estimate of the output tokens, often far off; 0 if it
	// makes none.
	Guess int
	// Last is the id of the last event that the caller has, of a stream that it
	// resumes.
	Last string
}

// Send is what one send adds to the caller's headers.
type Send struct {
	// Server is the only server that may run the request.
	Server string
	// Left is the time until the answer is due.
	Left time.Duration
	Rank int32
	// Customer is whose request it is, nil if that is not known. Guarded tells that
	// requests carry keys, which servers must not see.
	Customer *wire.Customer
	Guarded  bool
	// Prefill asks for the prompt to be read and kept, without an answer.
	Prefill bool
	// Source is the address of the server that keeps the prompt, and Handle the
	// name of what it keeps; both are empty if the server reads the prompt itself.
	Source, Handle string
	// Hold is the name of the memory that the server has reserved for the request, or "".
	Hold string
	// Last is the id of the last event that the caller has been sent.
	Last string
}

// Notice is what a response says of its server beside the answer itself.
type Notice struct {
	// Leaving tells that the server is about to stop.
	Leaving bool
	// Rest is how long the server wants no further request; 0 if it does not say.
	Rest time.Duration
	// Fault describes a part of the notice that could not be read; nil if there is none.
	Fault error
}

// Dialect translates between HTTP headers and the gateway's types.
type Dialect interface {
	// Hints reads what the caller says. The error tells the caller what is wrong.
	Hints(h http.Header) (Hints, error)
	// Challenge says which key a request must carry, for the WWW-Authenticate header.
	Challenge() string
	// Header returns the end-to-end headers of one send. Those that the system sets
	// are taken out if the caller sent them.
	Header(caller http.Header, s Send) http.Header
	// Refused tells whether a response says that the request has not run.
	Refused(status int, h http.Header) bool
	// Notice reads what a response says of its server.
	Notice(status int, h http.Header) Notice
	// Handle reads the answer to a send with Prefill.
	Handle(body []byte) (string, error)
	// Reserve is the request that asks a server to reserve memory for a time.
	Reserve(s *placer.Server, tokens int, hold time.Duration) *courier.Request
	// Reserved reads the name of the memory from the answer to it.
	Reserved(body []byte) (string, error)
	// Unreserve is the request that gives reserved memory back.
	Unreserve(s *placer.Server, hold string) *courier.Request
	// Free is the request that gives back what a server keeps under a handle.
	Free(s *placer.Server, handle string) *courier.Request
}
