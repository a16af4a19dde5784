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
	"github.com/damasklever/damasklever/internal/wire"
)

// reservingServer is a server without an agent that has capacity for a number of requests
// and reserves it on request.
type reservingServer struct {
	mu                                      sync.Mutex
	capacity, reserved, running, maxRunning int
	unreserved                              int // requests without a reservation
	returned                                int
	serviceTime                             time.Duration // of each answer
}

func (s *reservingServer) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodPost && strings.HasPrefix(r.RequestURI, "/reserve/"):
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.reserved+s.running >= s.capacity {
			w.WriteHeader(http.StatusServiceUnavailable)

			return
		}
		s.reserved++
		io.WriteString(w, "h")
	case r.Method == http.MethodDelete:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reserved--
		s.returned++
	default:
		s.run(w, r)
	}
}

func (s *reservingServer) run(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	if r.Header.Get("Hold") == "" {
		s.unreserved++
	} else {
		s.reserved--
	}
	s.running++
	s.maxRunning = max(s.maxRunning, s.running)
	s.mu.Unlock()
	<-time.After(s.serviceTime)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	io.WriteString(w, "id: 1\n\n")
}

// withReservations sets a plan in which the engines of the pool can reserve memory.
func withReservations(s *gateway.Settings) {
	plan := standardPlan()
	plan.Pools[0].Engine = &wire.Engine{Reserve: 2000, Memory: 100}
	in := matcher.New(plan)
	s.Plan = func() *matcher.Matcher { return in }
}

// Guards against overloading servers without agents in a burst: requests are only sent with
// a reservation, and the others wait for one or are refused with Retry-After.
func TestBurstWithoutAgents(t *testing.T) {
	const requests = 24
	servers := []*reservingServer{{capacity: 2, serviceTime: 50 * time.Millisecond}, {capacity: 2, serviceTime: 50 * time.Millisecond}}
	first, second := newBackend(t, "d1", servers[0].serve), newBackend(t, "d2", servers[1].serve)
	r := newTestGatewayWith(t, withReservations, first.server(placer.Decode), second.server(placer.Decode))
	var mu sync.Mutex
	got := make(map[int]int)
	var work sync.WaitGroup
	for range requests {
		work.Go(func() {
			answer := r.call(t, http.MethodPost, "/stream/", "body", http.Header{"Prompt": {"10"}})
			mu.Lock()
			defer mu.Unlock()
			got[answer.status]++
			if answer.status != http.StatusOK && answer.header.Get("Retry-After") == "" {
				t.Errorf("answer with status %d: got no Retry-After, want one", answer.status)
			}
		})
	}
	work.Wait()
	for i, s := range servers {
		if s.maxRunning > s.capacity || s.unreserved > 0 {
			t.Errorf("server %d: got %d at a time and %d without a reservation, want at most %d and none", i, s.maxRunning, s.unreserved, s.capacity)
		}
		if s.maxRunning == 0 {
			t.Errorf("server %d: got no request, want some", i)
		}
	}
	if got[http.StatusOK] < requests/2 || got[http.StatusOK]+got[http.StatusServiceUnavailable] != requests {
		t.Errorf("answers by status: got %v, want at least %d with 200 and the rest 503", got, requests/2)
	}
}

// Guards against ignoring the server without an agent in a pool where the other servers have
// one but no memory to spare.
func TestServerWithoutAgentInMixedPool(t *testing.T) {
	for name, test := range map[string]struct {
		full bool
		want string
	}{
		"agents have room": {false, "agent"},
		"agents are full":  {true, "no agent"},
	} {
		t.Run(name, func(t *testing.T) {
			c := &reservingServer{capacity: 1}
			withAgent := newBackend(t, "agent", respondWith(http.StatusOK, "id: 1\n\n"))
			withoutAgent := newBackend(t, "no agent", c.serve)
			r := newTestGatewayWith(t, func(s *gateway.Settings) {
				withReservations(s)
				s.Agents = &fakeAgents{absent: "no agent", full: test.full}
			}, withAgent.server(placer.Decode), withoutAgent.server(placer.Decode))
			got := r.call(t, http.MethodPost, "/stream/", "body", http.Header{"Prompt": {"10"}})
			if server := got.header.Get("Served-By"); got.status != http.StatusOK || server != "server "+test.want {
				t.Errorf("server: got status %d %s, want 200 server %s", got.status, server, test.want)
			}
		})
	}
}

// Guards against a reservation that is not released when the prompt could not be processed
// in time.
func TestUnusedReservationIsReleased(t *testing.T) {
	c := &reservingServer{capacity: 1}
	decode := newBackend(t, "d", c.serve)
	released := make(chan struct{})
	prefill := newBackend(t, "p", func(http.ResponseWriter, *http.Request) { <-released })
	r := newTestGatewayWith(t, withReservations, decode.server(placer.Decode), prefill.server(placer.Prefill))
	answer := r.call(t, http.MethodPost, "/stream/", "body", http.Header{"Prompt": {"20000"}, "Wait": {"900"}})
	close(released)
	if answer.status == http.StatusOK {
		t.Fatalf("status: got %d, want a failure", answer.status)
	}
	limit := time.After(5 * time.Second)
	for {
		c.mu.Lock()
		reserved, returned := c.reserved, c.returned
		c.mu.Unlock()
		if reserved == 0 && returned == 1 {
			return
		}
		select {
		case <-limit:
			t.Fatalf("reservations: got %d held and %d released, want 0 and 1", reserved, returned)
		case <-time.After(5 * time.Millisecond):
		}
	}
}
