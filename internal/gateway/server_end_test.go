package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/gateway"
	"github.com/damasklever/damasklever/internal/placer"
)

// serverEnd is what happens to a server under a request.
type serverEnd string

const (
	endsSilently    serverEnd = "falls silent"
	endsForGood     serverEnd = "is lost for good"
	endsReplaced    serverEnd = "is replaced under a new id at once"
	endsRestarted   serverEnd = "is back at once under its id"
	onlyBreaks      serverEnd = "only breaks the connection"
	onlyTakesLong   serverEnd = "only takes long"
	statusPath                = "/status"
	poisonBody                = "poison"
	answerWithin              = 1500 // milliseconds that the callers wait
	reportTolerance           = 500 * time.Millisecond
)

// endingServer is a backend that ends in some way when it runs the body "poison". It
// answers other bodies.
type endingServer struct {
	*backend
	end serverEnd

	mu      sync.Mutex
	ended   bool
	started time.Time
	runs    int
}

func newEndingServer(t *testing.T, id string, end serverEnd) *endingServer {
	t.Helper()
	s := &endingServer{end: end, started: time.Now().Add(-time.Hour)}
	s.backend = newBackend(t, id, s.serve)

	return s
}

// crash ends the server and returns whether its connections break.
func (s *endingServer) crash() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	s.ended = true
	switch s.end {
	case endsForGood:
		s.Listener.Close()
	case endsRestarted:
		s.started = time.Now()
	case endsSilently, onlyTakesLong:
		return false
	case endsReplaced, onlyBreaks:
	}

	return true
}

func (s *endingServer) state() (ended bool, started time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.ended, s.started
}

func (s *endingServer) serve(w http.ResponseWriter, r *http.Request) {
	ended, started := s.state()
	switch body, _ := io.ReadAll(r.Body); {
	case ended && s.end == endsSilently:
		<-r.Context().Done()
	case ended && s.end == endsReplaced:
		w.Header().Set("Refused", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.URL.Path == statusPath:
		io.WriteString(w, strconv.FormatInt(started.UnixMilli(), 10))
	case string(body) == poisonBody:
		if s.crash() {
			breakConnection(w, r)
		} else {
			<-r.Context().Done()
		}
	default:
		io.WriteString(w, "id: 1\n\n")
	}
}

// Guards against a server's end that is not counted against the request that it was running.
func TestServerEndIsCounted(t *testing.T) {
	calls := map[string]struct {
		path   string
		stage  placer.Stage
		prompt int
	}{
		"unsafe":           {"/once/x", placer.Plain, 0},
		"safe":             {"/read/x", placer.Plain, 0},
		"stream":           {"/stream/x", placer.Decode, 0},
		"resumable stream": {"/resume/x", placer.Decode, 0},
		"prefill":          {"/stream/x", placer.Prefill, 10_000},
	}
	for end, want := range map[serverEnd]int{
		endsSilently: 1, endsForGood: 1, endsReplaced: 1, endsRestarted: 1, onlyBreaks: 0, onlyTakesLong: 0,
	} {
		for name, call := range calls {
			t.Run(string(end)+"/"+name, func(t *testing.T) {
				t.Parallel()
				l := &fakeLedger{}
				servers := []placer.Server{newEndingServer(t, "ending", end).server(call.stage)}
				if call.stage == placer.Prefill {
					decode := newBackend(t, "decode", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "id: 1\n\n") })
					servers = append(servers, decode.server(placer.Decode))
				}
				r := newCrashTestGateway(t, l, nil, servers...)
				r.call(t, http.MethodPost, call.path, poisonBody, http.Header{
					"Wait": {strconv.Itoa(answerWithin)}, "Prompt": {strconv.Itoa(call.prompt)},
				})
				checkReports(t, l, want)
			})
		}
	}
}

// checkReports checks that the crash of the server "ending" was reported a number of times
// with one digest.
func checkReports(t *testing.T, l *fakeLedger, want int) {
	t.Helper()
	l.await(4*time.Second, max(want, 1))
	servers, digests := l.await(reportTolerance, want+1)
	if len(servers) != want || len(digests) != want || slices.ContainsFunc(servers, func(s string) bool { return s != "ending" }) {
		t.Errorf("reports: got %v of %v, want %d", digests, servers, want)
	}
}

// Guards against the end of a server that is not counted because the rest of the answer of
// the one that took its address is missing.
func TestReplacedServerWithUnfinishedStatusIsCounted(t *testing.T) {
	for _, end := range []bodyEnd{endedByServer, endedByDeadline} {
		t.Run(string(end), func(t *testing.T) {
			t.Parallel()
			part := answerPart{http.StatusMisdirectedRequest, withLength, "text/plain", "x"}
			l := &fakeLedger{}
			b := newBackend(t, "ending", func(w http.ResponseWriter, r *http.Request) {
				if isStatusRequest(r) {
					part.serve(w, r, end, func() {})
				} else {
					breakConnection(w, r)
				}
			})
			r := newCrashTestGateway(t, l, nil, b.server(placer.Plain))
			r.call(t, http.MethodPost, "/once/x", poisonBody, nil)
			checkReports(t, l, 1)
		})
	}
}

// Guards against a server's end that is not counted because the caller had left before.
func TestServerEndIsCountedAfterCallerLeft(t *testing.T) {
	for name, test := range map[string]struct {
		end  serverEnd
		want int
	}{
		"silent server": {endsSilently, 1},
		"slow server":   {onlyTakesLong, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := &fakeLedger{}
			r := newCrashTestGateway(t, l, nil, newEndingServer(t, "ending", test.end).server(placer.Plain))
			conn, err := net.Dial("tcp", r.gateway.Addr())
			if err != nil {
				t.Fatal(err)
			}
			io.WriteString(conn, "POST /once/x HTTP/1.1\r\nHost: h\r\nId: r1\r\nContent-Length: 6\r\n\r\n"+poisonBody)
			leave := time.NewTimer(200 * time.Millisecond)
			defer leave.Stop()
			<-leave.C
			conn.Close()
			checkReports(t, l, test.want)
		})
	}
}

// Guards against forgetting a server's end in an answer that is too long to buffer.
func TestServerEndInLongAnswerIsCounted(t *testing.T) {
	l := &fakeLedger{}
	b := newBackend(t, "ending", nil)
	b.handler = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(4<<20))
		io.WriteString(w, strings.Repeat("x", 1<<20))
		http.NewResponseController(w).Flush()
		b.Listener.Close()
		panic(http.ErrAbortHandler)
	}
	r := newCrashTestGateway(t, l, nil, b.server(placer.Plain))
	r.call(t, http.MethodPost, "/read/x", poisonBody, nil)
	checkReports(t, l, 1)
}

// Guards against clearing a request because a server answered it with an error.
func TestFailedAnswerDoesNotClearRequest(t *testing.T) {
	l := &fakeLedger{}
	b := newBackend(t, "ending", nil)
	var first sync.Once
	b.handler = func(w http.ResponseWriter, r *http.Request) {
		failed := false
		first.Do(func() {
			failed = true
			w.WriteHeader(http.StatusInternalServerError)
		})
		if !failed {
			b.Listener.Close()
			breakConnection(w, r)
		}
	}
	r := newCrashTestGateway(t, l, nil, b.server(placer.Plain))
	for range 2 {
		r.call(t, http.MethodPost, "/once/x", poisonBody, nil)
	}
	checkReports(t, l, 1)
}

// Guards against popular requests that crowd out the one that crashes servers.
func TestServerEndUnderManyRequests(t *testing.T) {
	const popular = 200
	l := &fakeLedger{}
	b := newBackend(t, "ending", nil)
	var mu sync.Mutex
	crashing, arrived := false, 0
	all := make(chan struct{})
	b.handler = func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		if !crashing {
			mu.Unlock()
			io.WriteString(w, "ok")

			return
		}
		if arrived++; arrived == popular+1 {
			b.Listener.Close()
			close(all)
		}
		mu.Unlock()
		<-all
		breakConnection(w, r)
	}
	r := newCrashTestGateway(t, l, nil, b.server(placer.Plain))
	for n := range popular {
		r.call(t, http.MethodPost, "/once/x", strconv.Itoa(n), nil)
	}
	mu.Lock()
	crashing = true
	mu.Unlock()
	var calls sync.WaitGroup
	for n := range popular {
		calls.Go(func() { r.call(t, http.MethodPost, "/once/x", strconv.Itoa(n), nil) })
	}
	calls.Go(func() { r.call(t, http.MethodPost, "/once/x", poisonBody, nil) })
	calls.Wait()
	checkReports(t, l, 1)
}

// Guards against a report of a crash that keeps the gateway from closing.
func TestCloseDuringReport(t *testing.T) {
	l := &stuckLedger{entered: make(chan struct{})}
	s := newEndingServer(t, "ending", endsForGood)
	r := newTestGatewayWith(t, func(x *gateway.Settings) { x.CrashLedger = l }, s.server(placer.Plain))
	r.call(t, http.MethodPost, "/once/x", poisonBody, nil)
	<-l.entered
	closed := make(chan struct{})
	go func() {
		r.gateway.Close()
		close(closed)
	}()
	limit := time.NewTimer(testTimeout)
	defer limit.Stop()
	select {
	case <-closed:
	case <-limit.C:
		t.Fatalf("close: got none within %v, want one", testTimeout)
	}
}

// stuckLedger is a CrashLedger whose reports are not stored.
type stuckLedger struct {
	once    sync.Once
	entered chan struct{}
}

// Blocked implements gateway.CrashLedger.
func (*stuckLedger) Blocked(time.Time, string) time.Time { return time.Time{} }

// Suspected implements gateway.CrashLedger.
func (*stuckLedger) Suspected(string) bool { return false }

// Clear implements gateway.CrashLedger.
func (*stuckLedger) Clear(context.Context, []string) error { return nil }

// Blame implements gateway.CrashLedger.
func (l *stuckLedger) Blame(ctx context.Context, _ string, _ []string, _ [][]string, _ []string) error {
	l.once.Do(func() { close(l.entered) })
	<-ctx.Done()

	return ctx.Err()
}

// Guards against the end of a server that is not counted because a forwarder still accepts connections for it.
func TestServerEndBehindForwarderIsCounted(t *testing.T) {
	l := &fakeLedger{}
	b := newBackend(t, "ending", breakConnection)
	r := newCrashTestGateway(t, l, nil, b.server(placer.Plain))
	r.call(t, http.MethodPost, "/once/x", poisonBody, nil)
	checkReports(t, l, 1)
}
