package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/drainer"
	"github.com/damasklever/damasklever/internal/gateway"
	"github.com/damasklever/damasklever/internal/grantclient"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/timer"
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

// stageOf returns the stage of the servers of a path.
func stageOf(path string) placer.Stage {
	if strings.HasPrefix(path, "/once/") || strings.HasPrefix(path, "/read/") {
		return placer.Plain
	}

	return placer.Decode
}

// heldRequest sends a request on a connection of its own and returns its answer when there is
// one.
func heldRequest(t *testing.T, r *testGateway, path, id string) <-chan callResult {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", r.gateway.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	answer := make(chan callResult, 1)
	go func() {
		answer <- exchange(t, conn, http.MethodPost, path, "", http.Header{"Id": {id}, "Prompt": {"10"}})
	}()

	return answer
}

// Guards against requests in flight at the end of a shutdown that are left without an answer, or
// held until then although they can no longer be sent.
func TestShutdownAnswersRequestsInFlight(t *testing.T) {
	const limit = 600 * time.Millisecond
	hold := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	stall := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "10")
		w.WriteHeader(http.StatusOK)
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
	begin := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, "id: 1\ndata: x\n\n")
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
	noMemory := func(ctx context.Context, _ grantclient.Ask) error {
		<-ctx.Done()

		return context.Cause(ctx)
	}
	for name, test := range map[string]struct {
		path    string
		handler http.HandlerFunc
		agents  gateway.Agents
		status  int
		sent    bool
		broken  bool
	}{
		"once, held":                 {"/once/x", hold, nil, http.StatusGatewayTimeout, true, false},
		"read, held":                 {"/read/x", hold, nil, http.StatusGatewayTimeout, true, false},
		"stream, held":               {"/stream/x", hold, nil, http.StatusGatewayTimeout, true, false},
		"resume, held":               {"/resume/x", hold, nil, http.StatusGatewayTimeout, true, false},
		"once, stalled":              {"/once/x", stall, nil, http.StatusGatewayTimeout, true, false},
		"read, stalled":              {"/read/x", stall, nil, http.StatusGatewayTimeout, true, false},
		"stream, stalled":            {"/stream/x", stall, nil, http.StatusGatewayTimeout, true, false},
		"resume, stalled":            {"/resume/x", stall, nil, http.StatusGatewayTimeout, true, false},
		"stream, begun":              {"/stream/x", begin, nil, http.StatusOK, true, true},
		"resume, begun":              {"/resume/x", begin, nil, http.StatusOK, true, true},
		"once, refused":              {"/once/x", refuseRequest, nil, http.StatusServiceUnavailable, true, false},
		"stream, waiting for memory": {"/stream/x", hold, &fakeAgents{refuse: noMemory}, http.StatusServiceUnavailable, false, false},
		"resume, waiting for memory": {"/resume/x", hold, &fakeAgents{refuse: noMemory}, http.StatusServiceUnavailable, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := newBackend(t, "a", test.handler)
			clock := timer.New()
			t.Cleanup(clock.Close)
			d := drainer.New(clock)
			r := newTestGatewayWith(t, func(s *gateway.Settings) { s.Agents, s.Drainer = test.agents, d }, a.server(stageOf(test.path)))
			answer := heldRequest(t, r, test.path, "r1")
			for test.sent && len(a.arrivals()) == 0 || !test.sent && r.gateway.Active() == 0 {
				<-time.After(time.Millisecond)
			}
			d.Begin(0, limit)
			begun := time.Now()
			if err := r.gateway.Drain(t.Context()); err != nil {
				t.Errorf("drain: got %v, want no error", err)
			}
			got := <-answer
			if got.status != test.status || got.broken != test.broken {
				t.Errorf("answer: got %+v, want status %d, broken %v", got, test.status, test.broken)
			}
			if got, want := len(a.arrivals()) > 0, test.sent; got != want {
				t.Errorf("sent to the server: got %v, want %v", got, want)
			}
			if got, want := time.Since(begun), limit+time.Second; got > want {
				t.Errorf("drain: took %v, want at most %v", got, want)
			}
		})
	}
}

// Guards against a request that is read whole so late in a shutdown that its answer may not come
// in time, and that is passed on all the same.
func TestShutdownRefusesLateRequests(t *testing.T) {
	const limit = 2500 * time.Millisecond
	for name, test := range map[string]struct {
		path   string
		linger time.Duration
		wait   int           // of the caller, in milliseconds
		left   time.Duration // when the request is whole; 0 if it never is
		status int
		sent   bool
	}{
		"once, lingering":                {"/once/x", limit, 0, 2 * time.Second, http.StatusOK, true},
		"once":                           {"/once/x", 0, 0, 1500 * time.Millisecond, http.StatusServiceUnavailable, false},
		"read":                           {"/read/x", 0, 0, 300 * time.Millisecond, http.StatusServiceUnavailable, false},
		"stream":                         {"/stream/x", 0, 0, 300 * time.Millisecond, http.StatusServiceUnavailable, false},
		"resume":                         {"/resume/x", 0, 0, 100 * time.Millisecond, http.StatusServiceUnavailable, false},
		"once, whose deadline is before": {"/once/x", 0, 2000, 2 * time.Second, http.StatusOK, true},
		"once, never whole":              {"/once/x", 0, 0, 0, http.StatusServiceUnavailable, false},
		"stream, never whole":            {"/stream/x", 0, 0, 0, http.StatusServiceUnavailable, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := newBackend(t, "a", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "whole") })
			clock := timer.New()
			t.Cleanup(clock.Close)
			d := drainer.New(clock)
			r := newTestGatewayWith(t, func(s *gateway.Settings) { s.Drainer = d }, a.server(stageOf(test.path)))
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", r.gateway.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nId: x\r\nWait: %d\r\nContent-Length: 2\r\n\r\na", test.path, test.wait)
			for r.gateway.Active() == 0 {
				<-time.After(time.Millisecond)
			}
			if test.wait > 0 {
				// The deadline counts from the head of the request.
				<-time.After(100 * time.Millisecond)
			}
			d.Begin(test.linger, limit)
			ended := make(chan error, 1)
			go func() { ended <- r.gateway.Drain(t.Context()) }()
			if test.left > 0 {
				<-time.After(limit - test.left)
				io.WriteString(conn, "b")
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("answer: got error %v, want a whole one", err)
			}
			defer response.Body.Close()
			if _, err := io.ReadAll(response.Body); err != nil {
				t.Errorf("answer: got %v, want a whole one", err)
			}
			if got, want := response.StatusCode, test.status; got != want {
				t.Errorf("status: got %d, want %d", got, want)
			}
			if got, want := response.StatusCode == http.StatusServiceUnavailable, response.Header.Get("Retry-After") != ""; got != want {
				t.Errorf("Retry-After: got %v, want %v", want, got)
			}
			if got, want := len(a.arrivals()) > 0, test.sent; got != want {
				t.Errorf("sent to the server: got %v, want %v", got, want)
			}
			if err := <-ended; err != nil {
				t.Errorf("drain: got %v, want no error", err)
			}
		})
	}
}

// Guards against a request whose next attempt, or whose turn after a wait, comes so late in a
// shutdown that answers like it do not end in time.
func TestShutdownSendsOnlyWhatFits(t *testing.T) {
	const (
		answer = 300 * time.Millisecond // usual time of an answer
		limit  = 500 * time.Millisecond
	)
	for name, test := range map[string]struct {
		path   string
		refuse time.Duration // when the first server refuses
		status int
		sent   int // attempts
	}{
		"read, in time":  {"/read/x", 50 * time.Millisecond, http.StatusOK, 2},
		"read, too late": {"/read/x", 250 * time.Millisecond, http.StatusServiceUnavailable, 1},
		"once, too late": {"/once/x", 250 * time.Millisecond, http.StatusServiceUnavailable, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var attempts atomic.Int32
			draining := make(chan struct{})
			handler := func(w http.ResponseWriter, r *http.Request) {
				select {
				case <-draining:
				default:
					if r.Header.Get("Id") == "warm" {
						<-time.After(answer)
						io.WriteString(w, "whole")

						return
					}
				}
				if attempts.Add(1) == 1 {
					<-draining
					<-time.After(test.refuse)
					refuseRequest(w, r)

					return
				}
				<-time.After(answer)
				io.WriteString(w, "whole")
			}
			a, b := newBackend(t, "a", handler), newBackend(t, "b", handler)
			clock := timer.New()
			t.Cleanup(clock.Close)
			d := drainer.New(clock)
			r := newTestGatewayWith(t, func(s *gateway.Settings) { s.Drainer = d }, a.server(placer.Plain), b.server(placer.Plain))
			if got, want := (<-heldRequest(t, r, test.path, "warm")).status, http.StatusOK; got != want {
				t.Fatalf("first answer: got %d, want %d", got, want)
			}
			result := heldRequest(t, r, test.path, "r1")
			for attempts.Load() == 0 {
				<-time.After(time.Millisecond)
			}
			d.Begin(0, limit)
			close(draining)
			if err := r.gateway.Drain(t.Context()); err != nil {
				t.Errorf("drain: got %v, want no error", err)
			}
			if got, want := (<-result).status, test.status; got != want {
				t.Errorf("status: got %d, want %d", got, want)
			}
			if got, want := int(attempts.Load()), test.sent; got != want {
				t.Errorf("attempts: got %d, want %d", got, want)
			}
		})
	}
}

// Guards against a gateway that is closed without a drain and leaves requests without an answer.
func TestCloseAnswersRequestsInFlight(t *testing.T) {
	a := newBackend(t, "a", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	r := newTestGateway(t, nil, a.server(placer.Plain))
	answer := heldRequest(t, r, "/once/x", "r1")
	for len(a.arrivals()) == 0 {
		<-time.After(time.Millisecond)
	}
	r.gateway.Close()
	if got, want := (<-answer).status, http.StatusGatewayTimeout; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
}
