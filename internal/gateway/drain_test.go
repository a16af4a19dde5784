package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/placer"
)

// Guards against a shutdown that cuts off a request in flight, also on a connection that was
// kept alive.
func TestDrain(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	a := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/once/slow" {
			close(started)
			<-release
		}
		io.WriteString(w, "whole")
	})
	r := newTestGateway(t, nil, a.server(placer.Plain))
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", r.gateway.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	exchange(t, conn, http.MethodPost, "/once/x", "", nil)
	answer := make(chan callResult, 1)
	go func() { answer <- exchange(t, conn, http.MethodPost, "/once/slow", "", nil) }()
	<-started
	r.gateway.BeginDrain()
	if got, want := r.call(t, http.MethodPost, "/once/x", "", nil).closes, true; got != want {
		t.Errorf("connection ends after a request while leaving: got %v, want %v", got, want)
	}
	ended := make(chan error, 1)
	go func() { ended <- r.gateway.Drain(context.Background()) }()
	close(release)
	if got := <-answer; got.body != "whole" || got.broken {
		t.Errorf("answer in flight: got %+v, want a whole one", got)
	}
	if err := <-ended; err != nil {
		t.Errorf("drain: got %v, want no error", err)
	}
	<-r.gateway.Done()
}

// Guards against a shutdown that drops a request which arrives while the gateway drains, on
// a connection that was accepted before.
func TestDrainServesAccepted(t *testing.T) {
	a := newBackend(t, "a", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "whole") })
	for name, part := range map[string]int{"nothing sent": 0, "part of the header": 10} {
		t.Run(name, func(t *testing.T) {
			r := newTestGateway(t, nil, a.server(placer.Plain))
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", r.gateway.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			request := "POST /once/x HTTP/1.1\r\nHost: h\r\nId: x\r\nContent-Length: 0\r\n\r\n"
			io.WriteString(conn, request[:part])
			// A response on a later connection shows that this one has been accepted.
			r.call(t, http.MethodPost, "/once/x", "", nil)
			ended := make(chan error, 1)
			go func() { ended <- r.gateway.Drain(context.Background()) }()
			for refused := false; !refused; {
				probe, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", r.gateway.Addr())
				if refused = err != nil; !refused {
					probe.Close()
				}
			}
			// Gives Drain time to proceed after it has closed the socket.
			<-time.After(100 * time.Millisecond)
			io.WriteString(conn, request[part:])
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("answer: got error %v, want a whole one", err)
			}
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			if got, want := string(body), "whole"; got != want || err != nil {
				t.Errorf("answer: got %q %v, want %q", got, err, want)
			}
			if err := <-ended; err != nil {
				t.Errorf("drain: got %v, want no error", err)
			}
		})
	}
}

// Guards against a drain that keeps idle connections open while a long answer runs. Callers
// would send requests on them that no longer have time to complete.
func TestDrainDisconnectsIdleCallers(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	a := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/once/slow" {
			close(started)
			<-release
		}
		io.WriteString(w, "whole")
	})
	r := newTestGateway(t, nil, a.server(placer.Plain))
	dial := func() net.Conn {
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", r.gateway.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })

		return conn
	}
	silent, kept, slow := dial(), dial(), dial()
	exchange(t, kept, http.MethodPost, "/once/x", "", nil)
	answer := make(chan callResult, 1)
	go func() { answer <- exchange(t, slow, http.MethodPost, "/once/slow", "", nil) }()
	<-started
	ended := make(chan error, 1)
	go func() { ended <- r.gateway.Drain(context.Background()) }()
	for name, conn := range map[string]net.Conn{"silent": silent, "kept": kept} {
		conn.SetReadDeadline(time.Now().Add(testTimeout))
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("%s caller: got %v, want the end of its connection", name, err)
		}
	}
	close(release)
	if got := <-answer; got.body != "whole" || got.broken {
		t.Errorf("answer in flight: got %+v, want a whole one", got)
	}
	if err := <-ended; err != nil {
		t.Errorf("drain: got %v, want no error", err)
	}
}
