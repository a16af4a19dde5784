package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/gateway"
	"github.com/damasklever/damasklever/internal/grantclient"
	"github.com/damasklever/damasklever/internal/logger"
	"github.com/damasklever/damasklever/internal/matcher"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/wire"
)

// testTimeout limits each wait of a test.
const testTimeout = 10 * time.Second

// Guards against running a request twice that must not be repeated, not retrying one that
// may be, and stating that a request has not run although it may have.
func TestPlain(t *testing.T) {
	good := respondWith(http.StatusOK, "good")
	for name, test := range map[string]struct {
		path          string
		first, second http.HandlerFunc
		status        int
		body          string
		sends         int
	}{
		"answered":              {"/once/x", good, good, 200, "good", 1},
		"client error passes":   {"/read/x", respondWith(404, "none"), good, 404, "none", 1},
		"refused, other server": {"/once/x", refuseRequest, good, 200, "good", 2},
		"refused by both":       {"/once/x", refuseRequest, refuseRequest, 503, "", 2},
		"broken, once":          {"/once/x", breakConnection, good, 502, "", 1},
		"broken, repeatable":    {"/read/x", breakConnection, good, 200, "good", 2},
		"failed, once":          {"/once/x", respondWith(500, "bad"), good, 500, "bad", 1},
		"failed, repeatable":    {"/read/x", respondWith(500, "bad"), good, 200, "good", 2},
		"failed twice":          {"/read/x", respondWith(500, "bad"), respondWith(500, "worse"), 500, "worse", 2},
		"failed, then broken":   {"/read/x", respondWith(500, "bad"), breakConnection, 500, "bad", 2},
		"broken, then refused":  {"/read/x", breakConnection, refuseRequest, 502, "", 2},
		"path, method, body kept": {"/once/a%2Fb?q=%20", func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			io.WriteString(w, r.Method+r.RequestURI+string(body))
		}, good, 200, "POST/once/a%2Fb?q=%20body", 1},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newBackend(t, "a", test.first), newBackend(t, "b", test.second)
			r := newTestGateway(t, nil, a.server(placer.Plain), b.server(placer.Plain))
			got := r.call(t, http.MethodPost, test.path, "body", nil)
			if got.status != test.status || test.body != "" && got.body != test.body || got.broken {
				t.Errorf("answer: got %d %q, want %d %q", got.status, got.body, test.status, test.body)
			}
			if got := len(a.arrivals()) + len(b.arrivals()); got != test.sends {
				t.Errorf("sends: got %d, want %d", got, test.sends)
			}
		})
	}
}

// Guards against a 503 without Retry-After when the only server refuses the request.
func TestRefusalHasRetryAfter(t *testing.T) {
	a := newBackend(t, "a", refuseRequest)
	r := newTestGateway(t, nil, a.server(placer.Plain))
	got := r.call(t, http.MethodPost, "/once/x", "", nil)
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || got.header.Get("Served-By") != "" {
		t.Errorf("answer: got %d %v, want 503 with Retry-After and no header of the server", got.status, got.header)
	}
}

// Guards against invalid requests that get no clear status or are forwarded.
func TestBadInput(t *testing.T) {
	a := newBackend(t, "a", respondWith(http.StatusOK, ""))
	r := newTestGateway(t, nil, a.server(placer.Plain))
	small := standardPlan()
	small.Bounds = &wire.Bounds{Body: 10}
	r.setPlan(matcher.New(small))
	for name, test := range map[string]struct {
		raw  string
		want string
	}{
		"no path":              {"GET /none/ HTTP/1.1\r\nHost: h\r\nId: r\r\n\r\n", "404"},
		"other host":           {"GET /read/ HTTP/1.1\r\nHost: i\r\nId: r\r\n\r\n", "404"},
		"no host":              {"GET /read/ HTTP/1.1\r\nId: r\r\n\r\n", "400"},
		"no id":                {"GET /read/ HTTP/1.1\r\nHost: h\r\n\r\n", "400"},
		"space before colon":   {"POST /once/ HTTP/1.1\r\nHost: h\r\nId: r\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n", "400"},
		"two lengths":          {"POST /once/ HTTP/1.1\r\nHost: h\r\nId: r\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400"},
		"body over the limit":  {"POST /once/ HTTP/1.1\r\nHost: h\r\nId: r\r\nContent-Length: 11\r\n\r\n12345678901", "413"},
		"chunks over it":       {"POST /once/ HTTP/1.1\r\nHost: h\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n12345678901\r\n0\r\n\r\n", "413"},
		"headers over 16 kB":   {"GET /read/ HTTP/1.1\r\nHost: h\r\nId: r\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n", "431"},
		"malformed chunk size": {"POST /once/ HTTP/1.1\r\nHost: h\r\nId: r\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", r.gateway.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			io.WriteString(conn, test.raw)
			line := make([]byte, len("HTTP/1.1 400"))
			if _, err := io.ReadFull(conn, line); err != nil {
				t.Fatalf("answer: got %v", err)
			}
			if got := string(line[len("HTTP/1.1 "):]); got != test.want {
				t.Errorf("status: got %s, want %s", got, test.want)
			}
		})
	}
	if got := a.arrivals(); len(got) > 0 {
		t.Errorf("requests at the server: got %v, want none", got)
	}
}

// Guards against answering 404 before the first plan has arrived.
func TestNoPlanYet(t *testing.T) {
	r := newTestGateway(t, nil)
	r.setPlan(nil)
	if got, want := r.call(t, http.MethodGet, "/read/", "", nil).status, http.StatusServiceUnavailable; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
	if got, want := r.gateway.Ready(), false; got != want {
		t.Errorf("ready: got %v, want %v", got, want)
	}
}

// Guards against applying the limits of an old plan to new connections.
func TestFollowBounds(t *testing.T) {
	r := newTestGateway(t, nil)
	p := standardPlan()
	p.Bounds = &wire.Bounds{Head: 50}
	r.setPlan(matcher.New(p))
	r.gateway.ApplyPlan()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", r.gateway.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, "GET /read/ HTTP/1.1\r\nHost:")
	if err := conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(conn); err != nil {
		t.Errorf("headers that are never finished: got %v, want the end of the connection", err)
	}
}

// Guards against a response long after the deadline, and against stating then that the
// request has not run.
func TestDeadline(t *testing.T) {
	release := make(chan struct{})
	a := newBackend(t, "a", func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	defer close(release)
	r := newTestGateway(t, nil, a.server(placer.Plain))
	got := r.call(t, http.MethodPost, "/once/x", "", http.Header{"Wait": {"100"}})
	if got, want := got.status, http.StatusGatewayTimeout; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
}

// Guards against a server that goes on working for a caller that has disconnected.
func TestCallerDisconnects(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	a := newBackend(t, "a", func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	r := newTestGateway(t, nil, a.server(placer.Plain))
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", r.gateway.Addr())
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(conn, "POST /once/ HTTP/1.1\r\nHost: h\r\nId: r\r\nContent-Length: 0\r\n\r\n")
	<-started
	conn.Close()
	limit := time.NewTimer(testTimeout)
	defer limit.Stop()
	select {
	case <-ended:
	case <-limit.C:
		t.Errorf("the server's request: got no end in %v", testTimeout)
	}
}

// writeEvents returns a handler that streams events with ids from first to last. Unless
// whole is set, the stream breaks off in the next event.
func writeEvents(first, last int, whole bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for id := first; id <= last; id++ {
			io.WriteString(w, "id: "+string(rune('0'+id))+"\ndata: "+strings.Repeat("x", id)+"\n\n")
		}
		if !whole {
			io.WriteString(w, "id: 9\nda")
			http.NewResponseController(w).Flush()
			breakConnection(w, r)
		}
	}
}

const (
	event1 = "id: 1\ndata: x\n\n"
	event2 = "id: 2\ndata: xx\n\n"
	event3 = "id: 3\ndata: xxx\n\n"
)

// Guards against joining the events of two runs wrongly, passing a broken stream off as
// complete, and running a request twice.
func TestStream(t *testing.T) {
	failing := respondWith(http.StatusInternalServerError, "bad")
	for name, test := range map[string]struct {
		path          string
		first, second http.HandlerFunc
		status        int
		body          string
		broken        bool
		resumed       string // request that arrives at the second server
	}{
		"whole":                       {"/stream/x", writeEvents(1, 3, true), writeEvents(1, 3, true), 200, event1 + event2 + event3, false, ""},
		"broken":                      {"/stream/x", writeEvents(1, 2, false), writeEvents(1, 3, true), 200, event1 + event2, true, ""},
		"broken, resumed":             {"/resume/x", writeEvents(1, 2, false), writeEvents(3, 3, true), 200, event1 + event2 + event3, false, "POST /resume/x 2"},
		"broken first, repeated":      {"/resume/x", breakConnection, writeEvents(1, 3, true), 200, event1 + event2 + event3, false, "POST /resume/x"},
		"broken first, not repeated":  {"/stream/x", breakConnection, writeEvents(1, 3, true), 502, "", false, ""},
		"failed, passed":              {"/stream/x", failing, writeEvents(1, 3, true), 500, "bad", false, ""},
		"failed, repeated":            {"/resume/x", failing, writeEvents(1, 3, true), 200, event1 + event2 + event3, false, "POST /resume/x"},
		"resumed and failed":          {"/resume/x", writeEvents(1, 2, false), failing, 200, event1 + event2, true, "POST /resume/x 2"},
		"refused, other server takes": {"/stream/x", refuseRequest, writeEvents(1, 3, true), 200, event1 + event2 + event3, false, "POST /stream/x"},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newBackend(t, "a", test.first), newBackend(t, "b", test.second)
			r := newTestGateway(t, nil, a.server(placer.Decode), b.server(placer.Decode))
			got := r.call(t, http.MethodPost, test.path, "prompt", nil)
			if got.status != test.status || test.body != "" && got.body != test.body || got.broken != test.broken {
				t.Errorf("answer: got %d %q broken %v, want %d %q %v", got.status, got.body, got.broken, test.status, test.body, test.broken)
			}
			if got := strings.Join(b.arrivals(), "; "); got != test.resumed {
				t.Errorf("arrivals at the second server: got %q, want %q", got, test.resumed)
			}
			if servedBy := got.header.Get("Served-By"); test.status == 200 && test.resumed == "POST /resume/x 2" && servedBy != "server a" {
				t.Errorf("headers of a resumed stream: got those of %q, want those of the first server", servedBy)
			}
		})
	}
}

// Guards against an agent that is not told that its server could not be reached or broke
// off, and against reporting a server that answered.
func TestStreamReportsBrokenServer(t *testing.T) {
	gone := newBackend(t, "gone", breakConnection)
	gone.Close()
	for name, test := range map[string]struct {
		server *backend
		broken int
	}{
		"not reached": {gone, 1},
		"broken off":  {newBackend(t, "torn", writeEvents(1, 2, false)), 1},
		"failed":      {newBackend(t, "bad", respondWith(http.StatusInternalServerError, "bad")), 0},
		"whole":       {newBackend(t, "whole", writeEvents(1, 3, true)), 0},
	} {
		t.Run(name, func(t *testing.T) {
			agents := &fakeAgents{}
			r := newTestGateway(t, agents, test.server.server(placer.Decode))
			r.call(t, http.MethodPost, "/stream/x", "prompt", http.Header{"Prompt": {"5000"}})
			if err := r.gateway.Drain(t.Context()); err != nil {
				t.Fatal(err)
			}
			agents.mu.Lock()
			defer agents.mu.Unlock()
			if agents.released == 0 || agents.broken < test.broken || test.broken == 0 && agents.broken > 0 {
				t.Errorf("broken of %d grants: got %d, want %d", agents.released, agents.broken, test.broken)
			}
		})
	}
}

// Guards against waiting for a prefill server that has stopped responding.
func TestStreamUnresponsivePrefill(t *testing.T) {
	ended := make(chan struct{})
	pre := newBackend(t, "pre", func(_ http.ResponseWriter, r *http.Request) {
		// net/http notices the end of a request only once its body has been read.
		io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		close(ended)
	})
	dec := newBackend(t, "dec", writeEvents(1, 1, true))
	r := newTestGateway(t, &fakeAgents{}, dec.server(placer.Decode), pre.server(placer.Prefill))
	started := time.Now()
	got := r.call(t, http.MethodPost, "/stream/x", "prompt", http.Header{"Prompt": {"5000"}})
	if got.body != event1 {
		t.Errorf("stream: got %d %q, want %q", got.status, got.body, event1)
	}
	// The target latency of the path, counted from the arrival of the request.
	if got, want := time.Since(started), time.Second; got > want {
		t.Errorf("time: got %v, want at most %v", got, want)
	}
	<-ended
}

// Guards against processing a prompt before there is memory for its answer, and against
// memory that is not released.
func TestStreamReservesMemory(t *testing.T) {
	dec := newBackend(t, "dec", writeEvents(1, 1, true))
	pre := newBackend(t, "pre", respondWith(http.StatusOK, "handle"))
	agents := &fakeAgents{}
	r := newTestGateway(t, agents, dec.server(placer.Decode), pre.server(placer.Prefill))
	got := r.call(t, http.MethodPost, "/stream/x", "prompt", http.Header{"Prompt": {"5000"}})
	if got.body != event1 {
		t.Errorf("stream: got %q, want %q", got.body, event1)
	}
	if err := r.gateway.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	agents.mu.Lock()
	defer agents.mu.Unlock()
	var phases []string
	for _, a := range agents.asks {
		phases = append(phases, a.Phase.String())
	}
	if want := []string{"PHASE_DECODE", "PHASE_PREFILL"}; !slices.Equal(phases, want) {
		t.Errorf("asks: got %v, want %v", phases, want)
	}
	if got, want := agents.released, 2; got != want {
		t.Errorf("grants refunded: got %d, want %d", got, want)
	}
	if got, want := pre.arrivals(), []string{"POST /stream/x prefill"}; !slices.Equal(got, want) {
		t.Errorf("arrivals at the prefill server: got %q, want %q", got, want)
	}
	if got, want := dec.arrivals(), []string{"POST /stream/x " + pre.Listener.Addr().String() + "/handle"}; !slices.Equal(got, want) {
		t.Errorf("arrivals at the decode server: got %q, want %q", got, want)
	}
}

// Guards against waiting although no server will have memory in time, and against sending a
// request after it was given up.
func TestStreamRefused(t *testing.T) {
	dec := newBackend(t, "dec", writeEvents(1, 1, true))
	agents := &fakeAgents{refuse: func(context.Context, grantclient.Ask) error {
		return &grantclient.RefusedError{Reason: "deadline", After: 1500 * time.Millisecond}
	}}
	r := newTestGateway(t, agents, dec.server(placer.Decode))
	got := r.call(t, http.MethodPost, "/stream/x", "prompt", http.Header{"Prompt": {"5000"}})
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") != "1.5" {
		t.Errorf("answer: got %d, Retry-After %q, want 503, 1.5", got.status, got.header.Get("Retry-After"))
	}
	if got := dec.arrivals(); len(got) > 0 {
		t.Errorf("arrivals of a request that has not run: got %v, want none", got)
	}
}

// Guards against a late request that takes memory from requests that can still meet their
// target, and against giving up a late request that may still be served.
func TestStreamLate(t *testing.T) {
	dec := newBackend(t, "dec", writeEvents(1, 1, true))
	agents := &fakeAgents{refuse: func(ctx context.Context, a grantclient.Ask) error {
		if a.Rank > 0 {
			return nil
		}
		<-ctx.Done()

		return context.Cause(ctx)
	}}
	r := newTestGateway(t, agents, dec.server(placer.Decode))
	p := standardPlan()
	for _, path := range p.GetPaths() {
		path.Target = 400
	}
	r.setPlan(matcher.New(p))
	if got := r.call(t, http.MethodPost, "/stream/x", "prompt", http.Header{"Prompt": {"5000"}}); got.body != event1 {
		t.Errorf("answer: got %d %q, want %q", got.status, got.body, event1)
	}
	agents.mu.Lock()
	defer agents.mu.Unlock()
	if len(agents.asks) < 2 || agents.asks[0].Rank >= agents.asks[1].Rank || agents.asks[0].Due <= agents.asks[1].Due {
		t.Errorf("asks: got %+v, want a second one of a lower rank with less time left", agents.asks)
	}
}

// Guards against giving up a request, or processing its prompt at another prefill server in
// vain, because the prompt that a prefill server has processed is gone when it is fetched.
func TestStreamRereadsLostPrompt(t *testing.T) {
	dec := newBackend(t, "dec", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Source") != "" {
			refuseRequest(w, r)

			return
		}
		writeEvents(1, 1, true)(w, r)
	})
	pre := newBackend(t, "pre", respondWith(http.StatusOK, "handle"))
	r := newTestGateway(t, &fakeAgents{}, dec.server(placer.Decode), pre.server(placer.Prefill))
	for i, want := range []int{2, 3} {
		got := r.call(t, http.MethodPost, "/stream/x", "prompt", http.Header{"Prompt": {"5000"}})
		if got.body != event1 {
			t.Errorf("request %d: got %d %q, want %q", i, got.status, got.body, event1)
		}
		// The second request does not use the prefill server, which is marked as failed.
		if got := len(dec.arrivals()); got != want {
			t.Errorf("arrivals after request %d: got %d, want %d", i, got, want)
		}
	}
}

// Guards against refusing a caller twice while the first plan is on its way, after a restart
// of all processes.
func TestWaitsForFirstPlan(t *testing.T) {
	a := newBackend(t, "a", respondWith(http.StatusOK, "good"))
	r := newTestGateway(t, nil, a.server(placer.Plain))
	r.setPlan(nil)
	answer := make(chan callResult, 1)
	go func() { answer <- r.call(t, http.MethodGet, "/read/", "", nil) }()
	for r.gateway.Active() == 0 {
		runtime.Gosched()
	}
	r.setPlan(matcher.New(standardPlan()))
	if got := <-answer; got.body != "good" {
		t.Errorf("answer: got %d %q, want the server's", got.status, got.body)
	}
}

// Guards against requests that block because the log is not read.
func TestStalledLogDoesNotBlockRequests(t *testing.T) {
	a := newBackend(t, "a", respondWith(http.StatusOK, "good"))
	stalled := make(chan struct{})
	pipe := logger.NewAsyncWriter(blockedWriter{stalled})
	r := newTestGatewayWith(t, func(s *gateway.Settings) {
		s.Log = logger.New(logger.Settings{Role: "entry", Name: "e", Level: "info", Writer: pipe})
	}, a.server(placer.Plain))
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", r.gateway.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	// With two lines for each request, these are more than the pipe holds.
	for n := range 800 {
		if got := exchange(t, conn, http.MethodGet, "/read/x", "", nil); got.body != "good" {
			t.Fatalf("request %d: got %d %q, want good", n, got.status, got.body)
		}
	}
	close(stalled)
	pipe.Close()
	<-pipe.Done()
}

// blockedWriter is a writer that blocks until a channel is closed.
type blockedWriter struct{ until chan struct{} }

func (b blockedWriter) Write(line []byte) (int, error) {
	<-b.until

	return len(line), nil
}

// Guards against gateways that together make more retries than the operator allows: each one
// gets its share of the slack.
func TestBudgetIsShared(t *testing.T) {
	for name, test := range map[string]struct {
		gateways int
		want     int // retries
	}{
		"alone": {1, 5}, "one of five": {5, 1}, "one of many": {100, 0},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newBackend(t, "a", breakConnection), newBackend(t, "b", breakConnection)
			r := newTestGatewayWith(t, func(s *gateway.Settings) {
				s.RetryRatio, s.RetrySlack, s.GatewayCount = 0.0001, 10, func() int { return test.gateways }
			}, a.server(placer.Plain), b.server(placer.Plain))
			for range 8 {
				r.call(t, http.MethodGet, "/read/x", "", nil)
			}
			if got := countReads(a) + countReads(b) - 8; got != test.want {
				t.Errorf("retries: got %d, want %d", got, test.want)
			}
		})
	}
}

// countReads returns the number of requests for the path /read/ that arrived at a server.
// Its gateway also checks the status of a server that breaks connections.
func countReads(b *backend) int {
	n := 0
	for _, arrival := range b.arrivals() {
		if strings.HasPrefix(arrival, "GET /read/") {
			n++
		}
	}

	return n
}

// Guards against a larger part of the retry slack while the number of gateways is unknown or has just fallen.
func TestBudgetWhileGatewayCountChanges(t *testing.T) {
	for name, test := range map[string]struct {
		before, after int
		want          int // retries after the change
	}{
		"unknown": {0, 0, 0}, "fallen": {100, 1, 0}, "lost": {100, 0, 0}, "risen": {1, 100, 0}, "steady": {1, 1, 5},
	} {
		t.Run(name, func(t *testing.T) {
			var gateways atomic.Int64
			gateways.Store(int64(test.before))
			a, b := newBackend(t, "a", breakConnection), newBackend(t, "b", breakConnection)
			r := newTestGatewayWith(t, func(s *gateway.Settings) {
				s.RetryRatio, s.RetrySlack, s.GatewayCount = 0.0001, 10, func() int { return int(gateways.Load()) }
			}, a.server(placer.Plain), b.server(placer.Plain))
			// A request that may not be repeated shows the number to the budget.
			r.call(t, http.MethodPost, "/once/x", "", nil)
			gateways.Store(int64(test.after))
			for range 8 {
				r.call(t, http.MethodGet, "/read/x", "", nil)
			}
			if got := countReads(a) + countReads(b) - 8; got != test.want {
				t.Errorf("retries: got %d, want %d", got, test.want)
			}
		})
	}
}

// Guards against a stream that is continued from another server under the length of the first answer.
func TestStreamWithLengthIsContinued(t *testing.T) {
	first := newBackend(t, "a", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "9")
		io.WriteString(w, "id: 1\n\n")
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	second := newBackend(t, "b", respondWith(http.StatusOK, "id: 2\n\nid: 3\n\n"))
	r := newTestGateway(t, nil, first.server(placer.Decode), second.server(placer.Decode))
	want := "id: 1\n\nid: 2\n\nid: 3\n\n"
	if got := r.call(t, http.MethodPost, "/resume/x", "", nil); got.broken || got.body != want {
		t.Errorf("stream: got body %q, broken %v, want %q whole", got.body, got.broken, want)
	}
}
