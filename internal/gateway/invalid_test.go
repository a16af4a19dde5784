package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/testlistener"
)

// rawServer answers each request with text and closes the connection, and status requests well.
func rawServer(t *testing.T, text string, stage placer.Stage) placer.Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				io.Copy(io.Discard, r.Body)
				if isStatusRequest(r) {
					io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1")
				} else {
					io.WriteString(conn, text)
				}
			}()
		}
	}()

	return placer.Server{ID: "a", Addr: l.Addr().String(), Pool: "pool", Centre: "c", Region: "r", Stage: stage}
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
