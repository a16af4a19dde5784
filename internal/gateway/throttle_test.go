package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/gateway"
	"github.com/damasklever/damasklever/internal/matcher"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/throttler"
	"github.com/damasklever/damasklever/internal/wire"
)

// limitHeader names the limit of a server in the test dialect.
const limitHeader = "Limit"

// newThrottledGateway returns a gateway that keeps the limits of servers, alone.
func newThrottledGateway(t *testing.T, agents gateway.Agents, reserve bool, servers ...placer.Server) (*testGateway, *throttler.Throttler) {
	t.Helper()
	limits := throttler.New(func() int { return 1 })
	r := newTestGatewayWith(t, func(s *gateway.Settings) {
		s.Throttler, s.Agents = limits, agents
		p, err := placer.New(placer.Settings{Centre: "c", Region: "r", Random: func() float64 { return 0.99 }, Throttle: limits})
		if err != nil {
			t.Fatal(err)
		}
		p.SetServers(servers)
		s.Placer = p
	}, servers...)
	if reserve {
		plan := standardPlan()
		plan.Pools[0].Engine = &wire.Engine{Reserve: 2000}
		r.setPlan(matcher.New(plan))
	}

	return r, limits
}

// Guards against kinds of answers whose limit is missed, and of requests that are not counted.
func TestLimitOfServer(t *testing.T) {
	for name, test := range map[string]struct {
		path    string
		stage   placer.Stage
		handler http.HandlerFunc
		reserve bool
		agents  bool
	}{
		"answer":             {path: "/read/x", handler: respondWith(http.StatusOK, "ok")},
		"unsafe":             {path: "/once/x", handler: respondWith(http.StatusOK, "ok")},
		"failure":            {path: "/once/x", handler: respondWith(http.StatusInternalServerError, "bad")},
		"refusal":            {path: "/once/x", handler: refuseRequest},
		"stream":             {path: "/stream/x", stage: placer.Decode, handler: respondWith(http.StatusOK, "id: 1\n\n")},
		"stream with agents": {path: "/resume/x", stage: placer.Decode, handler: respondWith(http.StatusOK, "id: 1\n\n"), agents: true},
		"prefill":            {path: "/stream/x", stage: placer.Prefill, handler: respondWith(http.StatusOK, "handle")},
		"refused prefill":    {path: "/stream/x", stage: placer.Prefill, handler: refuseRequest},
		"refused reservation": {path: "/stream/x", stage: placer.Decode, reserve: true, handler: func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, "/reserve/") {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, "limited", func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(limitHeader, "0.1")
				test.handler(w, r)
			})
			servers := []placer.Server{b.server(test.stage)}
			if test.stage == placer.Prefill {
				servers = append(servers, newBackend(t, "decode", respondWith(http.StatusOK, "id: 1\n\n")).server(placer.Decode))
			}
			var agents gateway.Agents
			if test.agents {
				agents = &fakeAgents{}
			}
			r, limits := newThrottledGateway(t, agents, test.reserve, servers...)
			header := http.Header{"Prompt": {"10000"}, "Wait": {"1500"}}
			for range 4 {
				r.call(t, http.MethodPost, test.path, "body", header)
			}
			// The first request makes the limit known; one more may follow.
			if got, want := len(b.arrivals()), 2; got > want {
				t.Errorf("requests to the server: got %d, want at most %d", got, want)
			}
			if got, want := limits.Known(), 1; got != want {
				t.Errorf("limits known: got %d, want %d", got, want)
			}
		})
	}
}

// Guards against refusing what a server takes a moment later, and holding what it does not.
func TestWaitForLimitedServer(t *testing.T) {
	b := newBackend(t, "limited", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(limitHeader, "2")
		io.WriteString(w, "ok")
	})
	r, _ := newThrottledGateway(t, nil, false, b.server(placer.Plain))
	for range 2 {
		r.call(t, http.MethodPost, "/once/x", "body", nil)
	}
	started := time.Now()
	if got := r.call(t, http.MethodPost, "/once/x", "body", nil); got.status != http.StatusOK {
		t.Errorf("request half a second before the next grant: got %d, want 200", got.status)
	}
	if waited := time.Since(started); waited < 200*time.Millisecond {
		t.Errorf("time until the answer: got %v, want about half a second", waited)
	}
	var calls sync.WaitGroup
	var mu sync.Mutex
	refused := 0
	for range 20 {
		calls.Go(func() {
			got := r.call(t, http.MethodPost, "/once/x", "body", nil)
			mu.Lock()
			defer mu.Unlock()
			if got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") == "1" {
				refused++
			}
		})
	}
	started = time.Now()
	calls.Wait()
	if refused < 18 || time.Since(started) > 2*time.Second {
		t.Errorf("20 requests at once: got %d refused in %v, want 18 at least, at once", refused, time.Since(started))
	}
}

// Guards against counting a request that did not reach its server.
func TestUnsentRequestIsNotCounted(t *testing.T) {
	b := newBackend(t, "limited", respondWith(http.StatusOK, "ok"))
	r, limits := newThrottledGateway(t, nil, false, b.server(placer.Plain))
	limits.Observe(time.Now(), "limited", 0.1)
	b.Listener.Close()
	r.call(t, http.MethodPost, "/once/x", "body", nil)
	if got, want := limits.Throttles(time.Now())[0].GetUsed(), 0.0; got != want {
		t.Errorf("requests counted: got %g, want %g", got, want)
	}
}

// Guards against a limit that does not end, or that ends with another kind of answer.
func TestEndOfLimit(t *testing.T) {
	for name, test := range map[string]struct {
		handler http.HandlerFunc
		ends    bool
	}{
		"answer":  {respondWith(http.StatusOK, "ok"), true},
		"failure": {respondWith(http.StatusInternalServerError, "bad"), false},
		"refusal": {refuseRequest, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, "limited", test.handler)
			r, limits := newThrottledGateway(t, nil, false, b.server(placer.Plain))
			limits.Observe(time.Now(), "limited", 0.1)
			r.call(t, http.MethodPost, "/once/x", "body", nil)
			if got := !limits.Exhausted(time.Now(), "limited"); got != test.ends {
				t.Errorf("limit ended: got %v, want %v", got, test.ends)
			}
		})
	}
}
