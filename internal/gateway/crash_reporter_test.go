package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/gateway"
	"github.com/damasklever/damasklever/internal/placer"
)

// fakeLedger is a CrashLedger that records reports and blocks requests on demand.
type fakeLedger struct {
	mu      sync.Mutex
	blames  []string // reported servers
	digests []string
	blocked bool
	// blockedNames are the names that are blocked, and suspected those that are suspected.
	blockedNames, suspected []string
	prefixes                [][]string
	sound                   []string
	clears                  chan []string // segments cleared by each call
}

func (l *fakeLedger) Blocked(now time.Time, name string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.blocked && !slices.Contains(l.blockedNames, name) {
		return time.Time{}
	}

	return now.Add(time.Minute)
}

func (l *fakeLedger) block() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blocked = true
}

func (l *fakeLedger) Suspected(segment string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return slices.Contains(l.suspected, segment)
}

func (l *fakeLedger) Clear(_ context.Context, segments []string) error {
	l.clears <- segments

	return nil
}

func (l *fakeLedger) Blame(_ context.Context, server string, digests []string, prefixes [][]string, sound []string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prefixes = append(l.prefixes, prefixes...)
	l.sound = append(l.sound, sound...)
	l.blames = append(l.blames, server)
	l.digests = append(l.digests, digests...)

	return nil
}

func (l *fakeLedger) blamed() (servers, digests []string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return slices.Clone(l.blames), slices.Clone(l.digests)
}

// await waits until a number of reports has arrived, or for a limited time.
func (l *fakeLedger) await(wait time.Duration, reports int) (servers, digests []string) {
	for limit := time.Now().Add(wait); time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
		if servers, _ = l.blamed(); len(servers) >= reports {
			break
		}
	}

	return l.blamed()
}

// newCrashingBackend returns a backend that answers the body "good" and crashes on any
// other.
func newCrashingBackend(t *testing.T, id string) *backend {
	t.Helper()
	b := newBackend(t, id, nil)
	b.handler = func(w http.ResponseWriter, r *http.Request) {
		if body, _ := io.ReadAll(r.Body); string(body) == "good" {
			io.WriteString(w, "id: 1\n\n")

			return
		}
		b.Listener.Close()
		b.Config.Close()
		breakConnection(w, r)
	}

	return b
}

func newCrashTestGateway(t *testing.T, l *fakeLedger, agents gateway.Agents, servers ...placer.Server) *testGateway {
	t.Helper()

	return newTestGatewayWith(t, func(s *gateway.Settings) { s.CrashLedger, s.Agents = l, agents }, servers...)
}

// Guards against crashes that are not attributed to the request and so are forgotten with
// each attempt, and against reporting a request when only its connection broke.
func TestCrashIsReported(t *testing.T) {
	for name, test := range map[string]struct {
		path   string
		stage  placer.Stage
		crash  bool
		blames int
	}{
		"plain":             {"/once/x", placer.Plain, true, 1},
		"stream":            {"/stream/x", placer.Decode, true, 1},
		"connection broken": {"/once/x", placer.Plain, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l := &fakeLedger{}
			b := newCrashingBackend(t, "s")
			if !test.crash {
				b.handler = breakConnection
			}
			r := newCrashTestGateway(t, l, nil, b.server(test.stage))
			r.call(t, http.MethodPost, test.path, "poison", nil)
			wait := testTimeout
			if test.blames == 0 {
				wait = time.Second // several times as long as an entry takes to check the server
			}
			servers, digests := l.await(wait, max(test.blames, 1))
			if len(servers) != test.blames || len(digests) != test.blames {
				t.Errorf("reports: got %v of %v, want %d", digests, servers, test.blames)
			}
		})
	}
}

// Guards against reporting a request that has completed before, because it was running at a
// server when another request crashed it.
func TestRequestThatRanBeforeIsNotBlamed(t *testing.T) {
	l := &fakeLedger{}
	b := newBackend(t, "s", nil)
	arrived, crash := make(chan struct{}, 2), make(chan struct{})
	var first sync.Once
	b.handler = func(w http.ResponseWriter, r *http.Request) {
		answered := false
		first.Do(func() {
			answered = true
			io.WriteString(w, "good")
		})
		if answered {
			return
		}
		arrived <- struct{}{}
		<-crash
		breakConnection(w, r)
	}
	r := newCrashTestGateway(t, l, nil, b.server(placer.Plain))
	r.call(t, http.MethodPost, "/once/x", "popular", nil)
	var calls sync.WaitGroup
	for _, body := range []string{"popular", "poison"} {
		calls.Go(func() { r.call(t, http.MethodPost, "/once/x", body, nil) })
	}
	<-arrived
	<-arrived
	b.Listener.Close()
	close(crash)
	calls.Wait()
	if _, digests := l.await(testTimeout, 1); len(digests) != 1 {
		t.Errorf("requests reported: got %v, want the one that never ran well", digests)
	}
}

// Guards against sending a blocked request, and against stating that a request has not run
// if it was blocked only after its first attempt.
func TestBlockedRequestIsNotSent(t *testing.T) {
	for name, test := range map[string]struct {
		path   string
		stage  placer.Stage
		before bool // blocked before it arrives
		status int
		sends  int
	}{
		"plain":                  {"/read/x", placer.Plain, true, http.StatusServiceUnavailable, 0},
		"stream":                 {"/stream/x", placer.Decode, true, http.StatusServiceUnavailable, 0},
		"after the first send":   {"/read/x", placer.Plain, false, http.StatusBadGateway, 1},
		"stream, after one send": {"/resume/x", placer.Decode, false, http.StatusBadGateway, 1},
	} {
		for _, withAgents := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", with agents ", withAgents), func(t *testing.T) {
				l := &fakeLedger{blocked: test.before}
				var agents gateway.Agents
				if withAgents {
					agents = &fakeAgents{}
				}
				var backends []*backend
				var servers []placer.Server
				for _, id := range []string{"a", "b"} {
					b := newBackend(t, id, func(w http.ResponseWriter, r *http.Request) {
						l.block()
						breakConnection(w, r)
					})
					backends = append(backends, b)
					servers = append(servers, b.server(test.stage))
				}
				r := newCrashTestGateway(t, l, agents, servers...)
				got := r.call(t, http.MethodPost, test.path, "poison", nil)
				if got.status != test.status {
					t.Errorf("status: got %d, want %d", got.status, test.status)
				}
				if after := got.header.Get("Retry-After"); test.before && after != "60" {
					t.Errorf("Retry-After: got %q, want 60", after)
				}
				if n := len(backends[0].arrivals()) + len(backends[1].arrivals()); n != test.sends {
					t.Errorf("sends: got %d, want %d", n, test.sends)
				}
			})
		}
	}
}

// Guards against blocking a harmless request because an equal request of another caller
// crashes servers.
func TestDigestDependsOnCaller(t *testing.T) {
	l := &fakeLedger{}
	var servers []placer.Server
	for _, id := range []string{"a", "b"} {
		servers = append(servers, newCrashingBackend(t, id).server(placer.Plain))
	}
	r := newCrashTestGateway(t, l, nil, servers...)
	for _, address := range []string{"127.0.0.1", "127.0.0.2"} {
		dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(address)}}
		conn, err := dialer.DialContext(t.Context(), "tcp", r.gateway.Addr())
		if err != nil {
			t.Fatal(err)
		}
		exchange(t, conn, http.MethodPost, "/once/x", "poison", nil)
		conn.Close()
	}
	if _, digests := l.await(testTimeout, 2); len(digests) != 2 || digests[0] == digests[1] {
		t.Errorf("digests: got %v, want two different ones", digests)
	}
}

// Guards against sending on requests with a blocked segment of their prompts, and against refusing others.
func TestBlockedSegment(t *testing.T) {
	decode := newBackend(t, "d", respondWith(http.StatusOK, "id: 1\n\n"))
	prefill := newBackend(t, "p", respondWith(http.StatusOK, "handle"))
	ledger := &fakeLedger{blockedNames: []string{"segment:bad", "own"}}
	r := newTestGatewayWith(t, func(s *gateway.Settings) { s.CrashLedger = ledger }, decode.server(placer.Decode), prefill.server(placer.Prefill))
	for name, test := range map[string]struct {
		segments []string
		want     int
	}{
		"blocked":            {[]string{"first", "bad"}, http.StatusServiceUnavailable},
		"blocked, in front":  {[]string{"bad", "second"}, http.StatusServiceUnavailable},
		"same first segment": {[]string{"first", "good"}, http.StatusOK},
		"named as a digest":  {[]string{"own"}, http.StatusOK},
		"none":               {nil, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			before := len(decode.arrivals()) + len(prefill.arrivals())
			got := r.call(t, http.MethodPost, "/stream/x", name, http.Header{"Segment": test.segments, "Prompt": {"50000"}})
			if got.status != test.want {
				t.Errorf("status: got %d, want %d", got.status, test.want)
			}
			if test.want == http.StatusOK {
				return
			}
			if sent := len(decode.arrivals()) + len(prefill.arrivals()) - before; sent != 0 || got.header.Get("Retry-After") == "" {
				t.Errorf("blocked request: got %d sends and Retry-After %q, want none and a time", sent, got.header.Get("Retry-After"))
			}
		})
	}
}

// Guards against a crash that is not counted against the segments of the prompts on the server.
func TestSegmentsAreBlamed(t *testing.T) {
	b := newCrashingBackend(t, "s")
	ledger := &fakeLedger{}
	r := newTestGatewayWith(t, func(s *gateway.Settings) { s.CrashLedger = ledger }, b.server(placer.Decode))
	r.call(t, http.MethodPost, "/stream/x", "bad", http.Header{"Segment": {"first", "second"}})
	ledger.await(testTimeout, 1)
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	if got, want := fmt.Sprint(ledger.prefixes), "[[segment:first segment:second]]"; got != want {
		t.Errorf("blamed: got %s, want %s", got, want)
	}
}

// Guards against an outage that is taken for proof against segments with which requests were answered well shortly before.
func TestSoundSegmentsAreNamed(t *testing.T) {
	b := newCrashingBackend(t, "s")
	ledger := &fakeLedger{}
	r := newTestGatewayWith(t, func(s *gateway.Settings) { s.CrashLedger = ledger }, b.server(placer.Decode))
	r.call(t, http.MethodPost, "/stream/x", "good", http.Header{"Segment": {"first", "second"}})
	r.call(t, http.MethodPost, "/stream/x", "bad", http.Header{"Segment": {"first", "third"}})
	ledger.await(testTimeout, 1)
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	if got, want := fmt.Sprint(ledger.prefixes, ledger.sound), "[[segment:first segment:third]] [segment:first]"; got != want {
		t.Errorf("blamed, sound: got %s, want %s", got, want)
	}
}

// Guards against segments that stay suspected although a request with them was answered well, and against clearing others.
func TestSuspectedSegmentsAreCleared(t *testing.T) {
	unframed := func(w http.ResponseWriter, _ *http.Request) {
		conn, out, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		io.WriteString(out, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\n\n")
		out.Flush()
		conn.Close()
	}
	for name, test := range map[string]struct {
		answer http.HandlerFunc
		want   []string
	}{
		"well":                {respondWith(http.StatusOK, "id: 1\n\n"), []string{"segment:a"}},
		"rejected":            {respondWith(http.StatusBadRequest, "no"), nil},
		"failed":              {respondWith(http.StatusInternalServerError, "no"), nil},
		"broken off":          {breakConnection, nil},
		"end of a connection": {unframed, nil},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, "s", test.answer)
			ledger := &fakeLedger{suspected: []string{"segment:a"}, clears: make(chan []string, 1)}
			r := newTestGatewayWith(t, func(s *gateway.Settings) { s.CrashLedger = ledger }, b.server(placer.Decode))
			r.call(t, http.MethodPost, "/stream/x", "body", http.Header{"Segment": {"a", "b"}})
			limit := time.NewTimer(300 * time.Millisecond)
			defer limit.Stop()
			var got []string
			select {
			case got = <-ledger.clears:
			case <-limit.C:
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("cleared: got %v, want %v", got, test.want)
			}
		})
	}
}
