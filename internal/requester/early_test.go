package requester_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/requester"
	"github.com/damasklever/damasklever/internal/testlistener"
)

const (
	// uploadSize is more than the buffers of a connection hold.
	uploadSize = 16 << 20
	// earlyRounds is how often a response is sent early. What notices a reset first, the reader
	// of the response or the writer of the request, differs.
	earlyRounds = 40
)

// Guards against a response without framing that looks whole although its connection was reset
// while the request was being written, and against a whole one that does not.
func TestEarlyResponseAndEndOfConnection(t *testing.T) {
	for framing, text := range map[string]string{
		"connection": "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart",
		"length":     "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 4\r\n\r\npart",
		"chunks":     "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n",
	} {
		for name, ending := range testlistener.Endings() {
			t.Run(framing+"/"+name, func(t *testing.T) {
				t.Parallel()
				rq := newRequester(t)
				request := &requester.Request{
					Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{headID: {"a"}}, Body: make([]byte, uploadSize),
				}
				failed := 0
				for round := range earlyRounds {
					addr := testlistener.ServeEarly(t, text, ending, time.Duration(round%10)*time.Millisecond)
					r, err := rq.Do(t.Context(), addr, request)
					if err != nil {
						t.Fatalf("head: got %v, want one", err)
					}
					body, err := io.ReadAll(r.Body)
					r.Body.Close()
					if err == nil && string(body) != "part" || errors.Is(err, requester.ErrNotSent) {
						t.Errorf("got body %q, error %v, want part or that it broke off", body, err)
					}
					if whole := ending.Whole || framing != "connection"; (err == nil) != whole {
						failed++
					}
				}
				if failed > 0 {
					t.Errorf("taken for whole, or for broken: got %d of %d responses, want none", failed, earlyRounds)
				}
			})
		}
	}
}
