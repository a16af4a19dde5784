package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/drainer"
	"github.com/damasklever/damasklever/internal/gateway"
	"github.com/damasklever/damasklever/internal/grantclient"
	"github.com/damasklever/damasklever/internal/matcher"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/timer"
	"github.com/damasklever/damasklever/internal/wire"
)

func newDrainer(t *testing.T) *drainer.Drainer {
	t.Helper()
	clock := timer.New()
	t.Cleanup(clock.Close)

	return drainer.New(clock)
}

// Guards against requests that wait for memory when a shutdown begins and are held until its end.
func TestShutdownEndsEarlierWaits(t *testing.T) {
	const answer, limit = 400 * time.Millisecond, time.Second
	noMemory := func(ctx context.Context, a grantclient.Ask) error {
		if a.ID == "warm" {
			return nil
		}
		<-ctx.Done()

		return context.Cause(ctx)
	}
	for _, path := range []string{"/stream/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			a := newBackend(t, "a", func(w http.ResponseWriter, _ *http.Request) {
				<-time.After(answer)
				io.WriteString(w, "id: 1\ndata: x\n\n")
			})
			d := newDrainer(t)
			r := newTestGatewayWith(t, func(s *gateway.Settings) { s.Agents, s.Drainer = &fakeAgents{refuse: noMemory}, d }, a.server(placer.Decode))
			if got, want := (<-heldRequest(t, r, path, "warm")).status, http.StatusOK; got != want {
				t.Fatalf("first answer: got %d, want %d", got, want)
			}
			result := heldRequest(t, r, path, "r1")
			for r.gateway.Active() == 0 {
				<-time.After(time.Millisecond)
			}
			<-time.After(50 * time.Millisecond)
			d.Begin(0, limit)
			begun := time.Now()
			if got, want := (<-result).status, http.StatusServiceUnavailable; got != want {
				t.Errorf("status: got %d, want %d", got, want)
			}
			if got, want := time.Since(begun), limit-answer+answer/4; got > want {
				t.Errorf("refused after: got %v, want at most %v", got, want)
			}
		})
	}
}

// Guards against a refusal of requests whose deadline is before the end of a shutdown.
func TestShutdownServesUntilDeadline(t *testing.T) {
	const usual, limit = 900 * time.Millisecond, 800 * time.Millisecond
	a := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Id") == "warm" {
			<-time.After(usual)
		}
		io.WriteString(w, "whole")
	})
	d := newDrainer(t)
	r := newTestGatewayWith(t, func(s *gateway.Settings) { s.Drainer = d }, a.server(placer.Plain))
	if got, want := (<-heldRequest(t, r, "/once/x", "warm")).status, http.StatusOK; got != want {
		t.Fatalf("first answer: got %d, want %d", got, want)
	}
	d.Begin(0, limit)
	if got, want := r.call(t, http.MethodPost, "/once/x", "", http.Header{"Wait": {"300"}}).status, http.StatusOK; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
}

// Guards against another attempt in the last moments of a shutdown on a path without earlier answers.
func TestShutdownNoAttemptInLastMoments(t *testing.T) {
	const limit = 400 * time.Millisecond
	for _, path := range []string{"/once/x", "/read/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			var attempts atomic.Int32
			draining := make(chan struct{})
			handler := func(w http.ResponseWriter, r *http.Request) {
				if attempts.Add(1) == 1 {
					<-draining
					refuseRequest(w, r)

					return
				}
				<-r.Context().Done()
			}
			a, b := newBackend(t, "a", handler), newBackend(t, "b", handler)
			clock := timer.NewManual(time.Unix(1000, 0))
			d := drainer.New(clock)
			r := newTestGatewayWith(t, func(s *gateway.Settings) { s.Drainer = d }, a.server(placer.Plain), b.server(placer.Plain))
			result := heldRequest(t, r, path, "r1")
			for attempts.Load() == 0 {
				<-time.After(time.Millisecond)
			}
			d.Begin(0, limit)
			clock.Advance(limit - 30*time.Millisecond)
			close(draining)
			if got, want := (<-result).status, http.StatusServiceUnavailable; got != want {
				t.Errorf("status: got %d, want %d", got, want)
			}
			if got, want := int(attempts.Load()), 1; got != want {
				t.Errorf("attempts: got %d, want %d", got, want)
			}
		})
	}
}

// Guards against requests that are passed on while a drain closes their connections, which were
// idle or had not sent a request.
func TestDrainAnswersWhatItPassesOn(t *testing.T) {
	const rounds, callers = 10, 300
	for name, test := range map[string]struct {
		kept   bool
		closed time.Duration // when the drain closes the connections
	}{
		"kept": {true, 0},
		"new":  {false, gateway.FirstRequestWait},
	} {
		t.Run(name, func(t *testing.T) {
			for range rounds {
				testDrainCloses(t, callers, test.kept, test.closed)
			}
		})
	}
}

func testDrainCloses(t *testing.T, callers int, kept bool, closed time.Duration) {
	t.Helper()
	var received sync.Map
	a := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request) {
		received.Store(r.Header.Get("Id"), true)
		io.WriteString(w, "whole")
	})
	r := newTestGateway(t, nil, a.server(placer.Plain))
	conns := make([]net.Conn, callers)
	for i := range conns {
		var err error
		if conns[i], err = (&net.Dialer{}).DialContext(t.Context(), "tcp", r.gateway.Addr()); err != nil {
			t.Fatal(err)
		}
		defer conns[i].Close()
		if kept {
			exchange(t, conns[i], http.MethodPost, "/once/x", "", nil)
		}
	}
	// A response on a later connection shows that the others have been accepted.
	r.call(t, http.MethodPost, "/once/x", "", nil)
	var calls sync.WaitGroup
	var lost atomic.Int32
	begun := time.Now()
	for i, conn := range conns {
		calls.Go(func() {
			id := fmt.Sprint("caller-", i)
			<-time.After(time.Until(begun.Add(closed + time.Duration(i)*10*time.Microsecond)))
			fmt.Fprintf(conn, "POST /once/x HTTP/1.1\r\nHost: h\r\nId: %s\r\nContent-Length: 2\r\n\r\nab", id)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil {
				response.Body.Close()

				return
			}
			if _, ok := received.Load(id); ok {
				lost.Add(1)
			}
		})
	}
	<-time.After(2 * time.Millisecond)
	if err := r.gateway.Drain(t.Context()); err != nil {
		t.Errorf("drain: got %v, want no error", err)
	}
	calls.Wait()
	if got := lost.Load(); got > 0 {
		t.Errorf("requests that were passed on and not answered: got %d of %d, want 0", got, callers)
	}
}

// Guards against an answer to a request from before a shutdown that invites a next request.
func TestDrainAnnouncesClose(t *testing.T) {
	release := make(chan struct{})
	a := newBackend(t, "a", func(w http.ResponseWriter, _ *http.Request) {
		<-release
		io.WriteString(w, "whole")
	})
	r := newTestGateway(t, nil, a.server(placer.Plain))
	answer := heldRequest(t, r, "/once/x", "r1")
	for len(a.arrivals()) == 0 {
		<-time.After(time.Millisecond)
	}
	r.gateway.BeginDrain()
	close(release)
	if got := <-answer; got.status != http.StatusOK || !got.closes {
		t.Errorf("answer: got status %d, closes %v, want 200, true", got.status, got.closes)
	}
}

// Guards against a close that waits forever for a server that a plan has started meanwhile.
func TestCloseWhilePlansChange(t *testing.T) {
	const rounds = 200
	for range rounds {
		r := newTestGateway(t, nil)
		plans := make(chan struct{})
		go func() {
			defer close(plans)
			for i := int64(0); r.gateway.Ready(); i++ {
				p := standardPlan()
				p.Bounds = &wire.Bounds{Idle: 1000 + i%2}
				r.setPlan(matcher.New(p))
				r.gateway.ApplyPlan()
			}
		}()
		closed := make(chan struct{})
		go func() {
			<-time.After(time.Millisecond)
			r.gateway.Close()
			close(closed)
		}()
		select {
		case <-closed:
		case <-time.After(5 * time.Second):
			t.Fatal("close: still waiting after 5 s, want it to end")
		}
		<-plans
	}
}

// Guards against a shutdown that waits for the body of a request that is refused without it.
func TestShutdownAnswersBeforeBody(t *testing.T) {
	const limit = 300 * time.Millisecond
	a := newBackend(t, "a", respondWith(http.StatusOK, "whole"))
	d := newDrainer(t)
	r := newTestGatewayWith(t, func(s *gateway.Settings) { s.Drainer = d }, a.server(placer.Plain))
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", r.gateway.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, "POST /none/x HTTP/1.1\r\nHost: h\r\nId: x\r\nContent-Length: 2\r\n\r\na")
	for r.gateway.Active() == 0 {
		<-time.After(time.Millisecond)
	}
	// So that the answer does not end the connection.
	<-time.After(50 * time.Millisecond)
	d.Begin(0, limit)
	ended := make(chan error, 1)
	go func() { ended <- r.gateway.Drain(t.Context()) }()
	conn.SetReadDeadline(time.Now().Add(limit + 2*time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("answer: got error %v, want one", err)
	}
	defer response.Body.Close()
	if got, want := response.StatusCode, http.StatusNotFound; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
	if err := <-ended; err != nil {
		t.Errorf("drain: got %v, want no error", err)
	}
}
