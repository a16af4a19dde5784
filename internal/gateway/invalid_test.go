package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/matcher"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/testlistener"
	"github.com/damasklever/damasklever/internal/wire"
)

// rawServer answers each request with text and closes the connection, and status requests well.
func rawServer(t *testing.T, text string, stage placer.Stage) placer.Server {
	t.Helper()

	return rawServerWith(t, stage, func(conn net.Conn, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(conn, text)
	})
}

// rawServerWith has answer respond to each request before the connection is closed, and answers
// status requests well.
func rawServerWith(t *testing.T, stage placer.Stage, answer func(conn net.Conn, r *http.Request)) placer.Server {
	t.Helper()
	addr := testlistener.Serve(t, func(conn net.Conn, r *http.Request) {
		if isStatusRequest(r) {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1")
		} else {
			answer(conn, r)
		}
	})

	return placer.Server{ID: "a", Addr: addr, Pool: "pool", Centre: "c", Region: "r", Stage: stage}
}

var invalidPaths = map[string]placer.Stage{
	"/once/x": placer.Plain, "/read/x": placer.Plain, "/stream/x": placer.Decode, "/resume/x": placer.Decode,
}

// Guards against what a server in trouble sends and that is passed on as its answer.
func TestInvalidResponse(t *testing.T) {
	for path, stage := range invalidPaths {
		for name, text := range testlistener.InvalidResponses("id: 1\n\n") {
			t.Run(path+"/"+name, func(t *testing.T) {
				t.Parallel()
				got := newTestGateway(t, nil, rawServer(t, text, stage)).call(t, http.MethodPost, path, "body", nil)
				if got.status != http.StatusBadGateway || got.broken {
					t.Errorf("got status %d, body %q, broken %v, want 502", got.status, got.body, got.broken)
				}
			})
		}
	}
}

// Guards against unusual responses that are not passed on.
func TestSoundResponse(t *testing.T) {
	const body = "id: 1\n\n"
	for path, stage := range invalidPaths {
		for name, text := range testlistener.SoundResponses(body) {
			t.Run(path+"/"+name, func(t *testing.T) {
				t.Parallel()
				got := newTestGateway(t, nil, rawServer(t, text, stage)).call(t, http.MethodPost, path, "body", nil)
				if got.status != http.StatusOK || got.body != body || got.broken {
					t.Errorf("got status %d, body %q, broken %v, want a whole answer", got.status, got.body, got.broken)
				}
			})
		}
	}
}

// Guards against a part of an answer that is passed on as whole because the server has reset the
// connection while the request was being written, and against a whole early answer that is not.
func TestEarlyAnswerAndEndOfConnection(t *testing.T) {
	const (
		// uploadSize is more than the buffers of a connection hold.
		uploadSize = 16 << 20
		// rounds is how often an answer is sent early. Whether the reader of the answer or the
		// writer of the request notices a reset first differs.
		rounds = 10
		body   = "id: 1\n\n"
	)
	upload := strings.Repeat("x", uploadSize)
	for path, stage := range invalidPaths {
		for name, ending := range testlistener.Endings() {
			t.Run(path+"/"+name, func(t *testing.T) {
				s := rawServerWith(t, stage, func(conn net.Conn, _ *http.Request) {
					io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+body)
					ending.End(conn, 5*time.Millisecond)
				})
				plan := standardPlan()
				plan.Bounds = &wire.Bounds{Body: uploadSize}
				failed := 0
				for range rounds {
					r := newTestGateway(t, nil, s)
					r.setPlan(matcher.New(plan))
					got := r.call(t, http.MethodPost, path, upload, nil)
					whole := got.status == http.StatusOK && !got.broken
					if whole != ending.Whole || whole && got.body != body {
						failed++
					}
				}
				if failed > 0 {
					t.Errorf("taken for whole, or for broken: got %d of %d answers, want none", failed, rounds)
				}
			})
		}
	}
}
