package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/gateway"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/planner"
	"github.com/damasklever/damasklever/internal/wire"
)

// cell is a server without an agent that has room for a number of requests, and reserves
// it before they come.
type cell struct {
	mu                        sync.Mutex
	room, held, running, most int
	bare                      int // requests that came without a reservation
	dropped                   int
	hold                      time.Duration // of each answer
}

func (c *cell) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodPost && strings.HasPrefix(r.RequestURI, "/reserve/"):
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.held+c.running >= c.room {
			w.WriteHeader(http.StatusServiceUnavailable)

			return
		}
		c.held++
		io.WriteString(w, "h")
	case r.Method == http.MethodDelete:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.held--
		c.dropped++
	default:
		c.run(w, r)
	}
}

func (c *cell) run(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	if r.Header.Get("Hold") == "" {
		c.bare++
	} else {
		c.held--
	}
	c.running++
	c.most = max(c.most, c.running)
	c.mu.Unlock()
	<-time.After(c.hold)
	c.mu.Lock()
	c.running--
	c.mu.Unlock()
	io.WriteString(w, "id: 1\n\n")
}

// withHolds makes the engines of the pool reserve memory.
func withHolds(s *gateway.Settings) {
	plan := standardPlan()
	plan.Pools[0].Engine = &wire.Engine{Reserve: 2000, Memory: 100}
	in := planner.New(plan)
	s.Plan = func() *planner.Planner { return in }
}

// A burst on servers without agents: what is sent has room, the rest waits for it or is
// told to come back, and nothing is sent that the server would have to refuse.
func TestBurstWithoutAgents(t *testing.T) {
	const requests = 24
	cells := []*cell{{room: 2, hold: 50 * time.Millisecond}, {room: 2, hold: 50 * time.Millisecond}}
	first, second := newBackend(t, "d1", cells[0].serve), newBackend(t, "d2", cells[1].serve)
	r := newRigWith(t, withHolds, first.server(placer.Decode), second.server(placer.Decode))
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
	for i, c := range cells {
		if c.most > c.room || c.bare > 0 {
			t.Errorf("server %d: got %d at a time and %d without a reservation, want at most %d and none", i, c.most, c.bare, c.room)
		}
		if c.most == 0 {
			t.Errorf("server %d: got no request, want some", i)
		}
	}
	if got[http.StatusOK] < requests/2 || got[http.StatusOK]+got[http.StatusServiceUnavailable] != requests {
		t.Errorf("answers by status: got %v, want at least %d with 200 and the rest 503", got, requests/2)
	}
}

// In a pool where some servers have an agent and one has none, the one without is used
// when the others have nothing to spare.
func TestServerBesideAgents(t *testing.T) {
	for name, test := range map[string]struct {
		full bool
		want string
	}{
		"agents have room": {false, "lent"},
		"agents are full":  {true, "bare"},
	} {
		t.Run(name, func(t *testing.T) {
			c := &cell{room: 1}
			lent := newBackend(t, "lent", answering(http.StatusOK, "id: 1\n\n"))
			bare := newBackend(t, "bare", c.serve)
			r := newRigWith(t, func(s *gateway.Settings) {
				withHolds(s)
				s.Lenders = &lenders{absent: "bare", full: test.full}
			}, lent.server(placer.Decode), bare.server(placer.Decode))
			got := r.call(t, http.MethodPost, "/stream/", "body", http.Header{"Prompt": {"10"}})
			if server := got.header.Get("Proof"); got.status != http.StatusOK || server != "of "+test.want {
				t.Errorf("server: got status %d %s, want 200 of %s", got.status, server, test.want)
			}
		})
	}
}

// Memory that is reserved for a request whose prompt nobody could read in time is given
// back.
func TestHoldIsDropped(t *testing.T) {
	c := &cell{room: 1}
	decode := newBackend(t, "d", c.serve)
	released := make(chan struct{})
	prefill := newBackend(t, "p", func(http.ResponseWriter, *http.Request) { <-released })
	r := newRigWith(t, withHolds, decode.server(placer.Decode), prefill.server(placer.Prefill))
	answer := r.call(t, http.MethodPost, "/stream/", "body", http.Header{"Prompt": {"20000"}, "Wait": {"900"}})
	close(released)
	if answer.status == http.StatusOK {
		t.Fatalf("status: got %d, want a failure", answer.status)
	}
	limit := time.After(5 * time.Second)
	for {
		c.mu.Lock()
		held, dropped := c.held, c.dropped
		c.mu.Unlock()
		if held == 0 && dropped == 1 {
			return
		}
		select {
		case <-limit:
			t.Fatalf("reservations: got %d held and %d dropped, want 0 and 1", held, dropped)
		case <-time.After(5 * time.Millisecond):
		}
	}
}
