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

// ledger is a fake of the record of requests that crash servers.
type ledger struct {
	mu      sync.Mutex
	blames  []string // servers
	digests []string
	blocked bool
}

func (l *ledger) Blocked(now time.Time, _ string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.blocked {
		return time.Time{}
	}

	return now.Add(time.Minute)
}

func (l *ledger) block() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blocked = true
}

func (l *ledger) Blame(_ context.Context, server string, digests []string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blames = append(l.blames, server)
	l.digests = append(l.digests, digests...)

	return nil
}

func (l *ledger) blamed() (servers, digests []string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return slices.Clone(l.blames), slices.Clone(l.digests)
}

// await waits until there are some reports, or for a time.
func (l *ledger) await(wait time.Duration, reports int) (servers, digests []string) {
	for limit := time.Now().Add(wait); time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
		if servers, _ = l.blamed(); len(servers) >= reports {
			break
		}
	}

	return l.blamed()
}

// crashing returns a backend that answers the body "good" and crashes under any other.
func crashing(t *testing.T, id string) *backend {
	t.Helper()
	b := newBackend(t, id, nil)
	b.handler = func(w http.ResponseWriter, r *http.Request) {
		if body, _ := io.ReadAll(r.Body); string(body) == "good" {
			io.WriteString(w, "id: 1\n\n")

			return
		}
		b.Listener.Close()
		b.Config.Close()
		breaking(w, r)
	}

	return b
}

func ledgerRig(t *testing.T, l *ledger, lent gateway.Lenders, servers ...placer.Server) *rig {
	t.Helper()

	return newRigWith(t, func(s *gateway.Settings) { s.Ledger, s.Lenders = l, lent }, servers...)
}

// Guards against a request whose crashes of servers are forgotten with each attempt, and
// against blame where only a connection broke.
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
			l := &ledger{}
			b := crashing(t, "s")
			if !test.crash {
				b.handler = breaking
			}
			r := ledgerRig(t, l, nil, b.server(test.stage))
			r.call(t, http.MethodPost, test.path, "poison", nil)
			wait := patience
			if test.blames == 0 {
				wait = time.Second // some times what an entry takes to look
			}
			servers, digests := l.await(wait, max(test.blames, 1))
			if len(servers) != test.blames || len(digests) != test.blames {
				t.Errorf("reports: got %v of %v, want %d", digests, servers, test.blames)
			}
		})
	}
}

// Guards against blame for a request that ran well before it was at a crash.
func TestCrashWithPopularNeighbour(t *testing.T) {
	l := &ledger{}
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
		breaking(w, r)
	}
	r := ledgerRig(t, l, nil, b.server(placer.Plain))
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
	if _, digests := l.await(patience, 1); len(digests) != 1 {
		t.Errorf("requests reported: got %v, want the one that never ran well", digests)
	}
}

// Guards against a blocked request that reaches a server, and against "has not run" for
// one that is blocked after its first send.
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
		for _, lent := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", lent ", lent), func(t *testing.T) {
				l := &ledger{blocked: test.before}
				var lenderSet gateway.Lenders
				if lent {
					lenderSet = &lenders{}
				}
				var backends []*backend
				var servers []placer.Server
				for _, id := range []string{"a", "b"} {
					b := newBackend(t, id, func(w http.ResponseWriter, r *http.Request) {
						l.block()
						breaking(w, r)
					})
					backends = append(backends, b)
					servers = append(servers, b.server(test.stage))
				}
				r := ledgerRig(t, l, lenderSet, servers...)
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

// Guards against a caller whose sound request is taken for that of another caller, which
// crashes servers.
func TestCallersAreToldApart(t *testing.T) {
	l := &ledger{}
	var servers []placer.Server
	for _, id := range []string{"a", "b"} {
		servers = append(servers, crashing(t, id).server(placer.Plain))
	}
	r := ledgerRig(t, l, nil, servers...)
	for _, address := range []string{"127.0.0.1", "127.0.0.2"} {
		dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(address)}}
		conn, err := dialer.DialContext(t.Context(), "tcp", r.gateway.Addr())
		if err != nil {
			t.Fatal(err)
		}
		exchange(t, conn, http.MethodPost, "/once/x", "poison", nil)
		conn.Close()
	}
	if _, digests := l.await(patience, 2); len(digests) != 2 || digests[0] == digests[1] {
		t.Errorf("digests: got %v, want two different ones", digests)
	}
}
