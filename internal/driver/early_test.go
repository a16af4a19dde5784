package driver_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/driver"
	"github.com/damasklever/damasklever/internal/testlistener"
)

const (
	// uploadSize is more than the buffers of a connection hold.
	uploadSize = 16 << 20
	// earlyRounds is how often a response is sent early. What notices a reset first, the reader
	// of the response or the writer of the call, differs.
	earlyRounds = 40
)

// Guards against a response without framing that looks whole although its connection was reset
// while the call was being written.
func TestEarlyResponseAndReset(t *testing.T) {
	reset := testlistener.Endings()["reset"]
	c := driver.Call{Method: http.MethodPost, Path: "/x", Body: make([]byte, uploadSize)}
	whole := 0
	for round := range earlyRounds {
		addr := testlistener.ServeEarly(t, "HTTP/1.1 200 OK\r\n\r\npart", reset, time.Duration(round%10)*time.Millisecond)
		_, err := driver.New(addr, time.Second).Run(t.Context(), c)
		var unsent *driver.UnsentError
		if errors.As(err, &unsent) {
			t.Errorf("got %v, want no UnsentError", err)
		}
		if err == nil {
			whole++
		}
	}
	if whole > 0 {
		t.Errorf("taken for whole: got %d of %d responses, want none", whole, earlyRounds)
	}
}

// Guards against a part of an engine's reply, or of its stream, that is taken for the whole, however
// its connection ends.
func TestPartOfUnframedReply(t *testing.T) {
	for name, call := range testCalls() {
		if name == "run" { // its body has no form of its own
			continue
		}
		for end, ending := range testlistener.Endings() {
			t.Run(name+"/"+end, func(t *testing.T) {
				t.Parallel()
				text := "HTTP/1.1 200 OK\r\n\r\n" + call.body[:len(call.body)-1]
				err := call.run(t.Context(), driver.New(testlistener.ServeEarly(t, text, ending, time.Millisecond), time.Second))
				if err == nil {
					t.Error("got no error, want one")
				}
			})
		}
	}
}
