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
)

// Guards against sending further requests to a server that has announced its shutdown or
// asked for a pause, although the host list names it and there is no other server.
func TestNotices(t *testing.T) {
	for name, test := range map[string]struct {
		path    string
		stage   placer.Stage
		handler http.HandlerFunc
		after   string // Retry-After of the second response
	}{
		"leaving, answered": {"/read/", placer.Plain, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Leaving", "1")
			io.WriteString(w, "ok")
		}, "0.8"},
		"leaving, failed": {"/once/", placer.Plain, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Leaving", "1")
			w.WriteHeader(http.StatusInternalServerError)
		}, "0.8"},
		"leaving, stream": {"/stream/", placer.Decode, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Leaving", "1")
			io.WriteString(w, "id: 1\n\n")
		}, "0.8"},
		"pause": {"/once/", placer.Plain, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Rest", "1h")
			refuseRequest(w, r)
		}, "600"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, "s1", test.handler)
			r := newTestGateway(t, nil, b.server(test.stage))
			r.call(t, http.MethodPost, test.path, "body", nil)
			got := r.call(t, http.MethodPost, test.path, "body", http.Header{"Id": {"r2"}})
			if got.status != http.StatusServiceUnavailable {
				t.Errorf("status of the second request: got %d, want 503", got.status)
			}
			if after := got.header.Get("Retry-After"); after[:1] != test.after[:1] && after[:2] != "59" {
				t.Errorf("Retry-After: got %s, want about %s", after, test.after)
			}
			if n := len(b.arrivals()); n != 1 {
				t.Errorf("arrivals: got %d, want 1", n)
			}
		})
	}
}

// Guards against taking a late duplicate of an earlier response for the response to a second
// send to the same server: the second send must use another connection.
func TestSecondSendUsesFreshConnection(t *testing.T) {
	var from []string
	decode := newBackend(t, "d", func(w http.ResponseWriter, r *http.Request) {
		from = append(from, r.RemoteAddr)
		if r.Header.Get("Source") != "" {
			refuseRequest(w, r)

			return
		}
		io.WriteString(w, "id: 1\n\n")
	})
	prefill := newBackend(t, "p", respondWith(http.StatusOK, "handle"))
	r := newTestGateway(t, &fakeAgents{}, decode.server(placer.Decode), prefill.server(placer.Prefill))
	got := r.call(t, http.MethodPost, "/stream/", "body", http.Header{"Prompt": {"5000"}})
	if got.status != http.StatusOK {
		t.Fatalf("status: got %d, want 200", got.status)
	}
	if len(from) != 2 || from[0] == from[1] {
		t.Errorf("connections of the two sends: got %v, want two different ones", from)
	}
}

// Guards against unlimited sends to prefill servers that refuse, in turn or all in flight at the same
// time, with granted turns or without.
func TestRefusedPrefillsUseRetryBudget(t *testing.T) {
	const requests, slack, ratio = 40, 8, 0.1
	for name, test := range map[string]struct {
		agents     gateway.Agents
		concurrent bool
		want       int
	}{
		"in turn":          {nil, false, slack},
		"at the same time": {nil, true, slack},
		"granted":          {&fakeAgents{}, false, slack},
	} {
		t.Run(name, func(t *testing.T) {
			decode := newBackend(t, "d", respondWith(http.StatusOK, "id: 1\n\n"))
			prefill := newBackend(t, "p", func(w http.ResponseWriter, r *http.Request) {
				if test.concurrent {
					// Long enough for all requests to have arrived.
					<-time.After(300 * time.Millisecond)
				}
				refuseRequest(w, r)
			})
			r := newTestGatewayWith(t, func(s *gateway.Settings) { s.RetrySlack, s.RetryRatio, s.Agents = slack, ratio, test.agents },
				decode.server(placer.Decode), prefill.server(placer.Prefill))
			call := func() {
				got := r.call(t, http.MethodPost, "/stream/", "body", http.Header{"Prompt": {"50000"}})
				if got.status != http.StatusOK {
					t.Errorf("status: got %d, want 200", got.status)
				}
				// The placer's penalty for a server that refused would hide the effect of the
				// budget.
				r.placer.RecordSuccess("p")
			}
			var callers sync.WaitGroup
			for range requests {
				if test.concurrent {
					callers.Go(call)
				} else {
					call()
				}
			}
			callers.Wait()
			if got := len(prefill.arrivals()); got > test.want || got == 0 {
				t.Errorf("refused prefills: got %d, want 1 to %d", got, test.want)
			}
		})
	}
}

// Guards against taking a connection that broke for the refusal of a granted prompt. Prompts would be processed
// by decode servers, at half the speed, as soon as the retry budget is used up.
func TestBrokenPrefillIsNoRefusal(t *testing.T) {
	decode := newBackend(t, "d", respondWith(http.StatusOK, "id: 1\n\n"))
	prefill := newBackend(t, "p", breakConnection)
	r := newTestGatewayWith(t, func(s *gateway.Settings) { s.RetrySlack, s.RetryRatio, s.Agents = 4, 0.0001, &fakeAgents{} },
		decode.server(placer.Decode), prefill.server(placer.Prefill))
	const requests = 10
	for range requests {
		r.call(t, http.MethodPost, "/stream/", "body", http.Header{"Prompt": {"50000"}})
		r.placer.RecordSuccess("p")
	}
	got := 0
	for _, arrival := range prefill.arrivals() {
		if strings.HasPrefix(arrival, "POST") {
			got++
		}
	}
	if got != requests {
		t.Errorf("prompts sent to the prefill server: got %d, want %d", got, requests)
	}
}

// Guards against charging the retry budget for prompts that prefill servers accept.
func TestAcceptedPrefillsUseNoRetryBudget(t *testing.T) {
	decode := newBackend(t, "d", respondWith(http.StatusOK, "id: 1\n\n"))
	prefill := newBackend(t, "p", respondWith(http.StatusOK, "handle"))
	r := newTestGatewayWith(t, func(s *gateway.Settings) { s.RetrySlack, s.RetryRatio = 2, 0.0001 },
		decode.server(placer.Decode), prefill.server(placer.Prefill))
	const requests = 20
	for range requests {
		r.call(t, http.MethodPost, "/stream/", "body", http.Header{"Prompt": {"50000"}})
	}
	if got := len(prefill.arrivals()); got != requests {
		t.Errorf("accepted prefills: got %d, want %d", got, requests)
	}
}

// Guards against buffering a body that never ends, and against passing it off as complete.
func TestEndlessBody(t *testing.T) {
	endless := func(w http.ResponseWriter, _ *http.Request) {
		piece := make([]byte, 64<<10)
		// Fast enough to exceed all limits, and no faster than the test reads.
		pause := time.NewTicker(time.Millisecond)
		defer pause.Stop()
		for range pause.C {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
	}
	for name, test := range map[string]struct {
		path  string
		stage placer.Stage
		head  int
		want  int
	}{
		"plain":          {"/read/", placer.Plain, http.StatusOK, http.StatusOK},
		"failure":        {"/once/", placer.Plain, http.StatusInternalServerError, http.StatusBadGateway},
		"event":          {"/stream/", placer.Decode, http.StatusOK, http.StatusBadGateway},
		"failing stream": {"/stream/", placer.Decode, http.StatusInternalServerError, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, "s", func(w http.ResponseWriter, r *http.Request) {
				w.WriteHeader(test.head)
				endless(w, r)
			})
			r := newTestGateway(t, nil, b.server(test.stage))
			started := time.Now()
			got := r.call(t, http.MethodPost, test.path, "body", http.Header{"Wait": {"1000"}})
			if got.status != test.want {
				t.Errorf("status: got %d, want %d", got.status, test.want)
			}
			if test.want == http.StatusOK && !got.broken {
				t.Error("the answer looks whole")
			}
			if took := time.Since(started); took > 2*time.Second {
				t.Errorf("took %s, want at most the caller's second and some", took)
			}
		})
	}
}
