package router_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/emulator"
	"github.com/damasklever/damasklever/internal/router"
	"github.com/damasklever/damasklever/internal/wire"
)

// completionBody returns the JSON of a completion request. The text in more is added
// to its fields.
func completionBody(prompt string, limit int, more string) string {
	return fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d%s}`, prompt, limit, more)
}

// Guards against a wrong or incomplete answer, from the caller to the engines and
// back, and against memory that stays allocated afterwards.
func TestCompletion(t *testing.T) {
	s := newTestCluster(t, "p1", "p2", "d1", "d2")
	for range 3 {
		r := s.call("POST", "/v1/completions", completionBody("a prompt", 20, ""))
		if got, want := r.text(), emulator.Answer("a prompt", 20); got != want || r.outcome != "done" {
			t.Errorf("got %d %q %q, want done and %q", r.status, r.outcome, r.body, want)
		}
	}
	r := s.call("POST", "/v1/completions", completionBody("b", 3, `,"stream":true`))
	if got, want := r.body, "data: [DONE]\n\n"; !strings.HasSuffix(got, want) {
		t.Errorf("stream: got %q, want %q at the end", got, want)
	}
	s.awaitIdle()
}

// Guards against a request that keeps running and holding engine memory after its
// caller has disconnected.
func TestCallerLeaves(t *testing.T) {
	s := newTestCluster(t, "p1", "d1")
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := s.do(ctx, "POST", "/v1/completions", completionBody("a", 64, `,"stream":true`))
		ended <- err
	}()
	s.await("tokens", func() bool { return s.engines["d1"].Counters().Tokens > 0 })
	cancel()
	if err := <-ended; err == nil {
		t.Error("got a whole answer, want it cancelled")
	}
	s.awaitIdle()
	if got, want := s.engines["d1"].Counters().Tokens, 64; got >= want {
		t.Errorf("tokens: got %d, want fewer than %d", got, want)
	}
}

// Guards against failing a request with its decode server although there is another
// one, and against retrying a request that crashes every server it runs on.
func TestServerCrash(t *testing.T) {
	tests := map[string]struct {
		prompt      string
		status      int
		outcome     string
		wantCrashes int
	}{
		"crashes servers": {"a [crash] prompt", 502, "may-have-run", 2},
		"other":           {"a prompt", 200, "done", 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestCluster(t, "p1", "p2", "p3", "d1", "d2", "d3")
			r := s.call("POST", "/v1/completions", completionBody(test.prompt, 4, ""))
			if r.status != test.status || r.outcome != test.outcome {
				t.Errorf("got %d %s %s, want %d %s", r.status, r.outcome, r.body, test.status, test.outcome)
			}
			crashes := 0
			for _, e := range s.engines {
				crashes += e.Counters().Crashes
			}
			if got, want := crashes, test.wantCrashes; got != want {
				t.Errorf("crashes: got %d, want %d", got, want)
			}
			s.awaitIdle()
		})
	}
}

// Guards against failing a request because of one stalled transfer although the
// request can still be served in another way.
func TestStalledTransfer(t *testing.T) {
	s := newTestCluster(t, "p1", "p2", "d1", "d2")
	s.engines["p1"].StallExports(true)
	r := s.call("POST", "/v1/completions", completionBody("a prompt", 4, ""))
	if got, want := r.text(), emulator.Answer("a prompt", 4); got != want {
		t.Errorf("got %d %q, want %q", r.status, r.body, want)
	}
	s.engines["p1"].StallExports(false)
	s.awaitIdle()
}

// Guards against presenting a truncated answer as complete when the agent's
// connection breaks.
func TestAgentLost(t *testing.T) {
	s := newTestCluster(t, "p1", "d1")
	ended := make(chan reply, 1)
	go func() { ended <- s.call("POST", "/v1/completions", completionBody("a", 64, `,"stream":true`)) }()
	s.await("tokens", func() bool { return s.engines["d1"].Counters().Tokens > 0 })
	s.agents["d1"].Close()
	r := <-ended
	if strings.Contains(r.body, "[DONE]") || !strings.Contains(r.body, `"outcome":"may-have-run"`) {
		t.Errorf("got %q, want an error event and no [DONE]", r.body)
	}
	s.await("no request", func() bool { return len(s.state().Requests) == 0 })
}

// Guards against running a booking twice, and against a wrong reply to a duplicate.
func TestBooking(t *testing.T) {
	s := newTestCluster(t, "s1", "s2")
	runs := func() int { return s.plains["s1"].Runs("") + s.plains["s2"].Runs("") }
	for range 3 {
		r := s.call("POST", "/s/desk/book/1", "seat 4", "Idempotency-Key", "k1")
		if r.status != 200 || r.outcome != "done" {
			t.Errorf("got %d %s %s, want 200 done", r.status, r.outcome, r.body)
		}
	}
	if got, want := runs(), 1; got != want {
		t.Errorf("runs with a key: got %d, want %d", got, want)
	}
	for range 2 {
		s.call("POST", "/s/desk/book/2", "seat 5")
	}
	if got, want := runs(), 2; got != want {
		t.Errorf("runs without a key: got %d, want %d", got, want)
	}
	tests := map[string]struct {
		key, body, caller string
		status            int
	}{
		"key of another body":   {"k1", "seat 9", "", 422},
		"key of another caller": {"k1", "seat 9", "someone", 200},
	}
	for name, test := range tests {
		r := s.call("POST", "/s/desk/book/1", test.body, "Idempotency-Key", test.key, "Damask-Caller", test.caller)
		if got, want := r.status, test.status; got != want {
			t.Errorf("%s: got %d %s, want %d", name, got, r.body, want)
		}
	}
}

// The connection to the service breaks during a booking. Guards against sending the
// booking again, and against a wrong reply to a duplicate of it.
func TestBookingLost(t *testing.T) {
	s := newTestCluster(t, "s1", "s2")
	for _, want := range []struct {
		status  int
		outcome string
	}{{502, "may-have-run"}, {409, "not-run"}} {
		r := s.call("POST", "/s/desk/book/1", "x", "Idempotency-Key", "k", emulator.HeaderFault, "lost")
		if r.status != want.status || r.outcome != want.outcome {
			t.Errorf("got %d %s %s, want %d %s", r.status, r.outcome, r.body, want.status, want.outcome)
		}
	}
	if got, want := s.plains["s1"].Runs("")+s.plains["s2"].Runs(""), 1; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// Guards against running a booking whose claim could not be stored, and against
// requiring a claim for an idempotent call.
func TestNoQuorum(t *testing.T) {
	s := newTestCluster(t, "s1")
	s.control.noQuorum = true
	r := s.call("POST", "/s/desk/book/1", "x")
	if r.status != 503 || r.outcome != "not-run" || r.header.Get("Retry-After") == "" {
		t.Errorf("booking: got %d %s %s, want 503 not-run and Retry-After", r.status, r.outcome, r.body)
	}
	if got, want := s.plains["s1"].Runs(""), 0; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
	if r := s.call("GET", "/s/desk/seats", ""); r.status != 200 {
		t.Errorf("look-up: got %d %s, want 200", r.status, r.body)
	}
}

// Guards against failing a lookup with one server without trying another one.
func TestLookupRetried(t *testing.T) {
	s := newTestCluster(t, "s1", "s2")
	r := s.call("GET", "/s/desk/seats", "", emulator.HeaderFault, "lost")
	if r.status != 502 || r.outcome != "may-have-run" {
		t.Errorf("got %d %s, want 502 may-have-run", r.status, r.outcome)
	}
	if got, want := s.plains["s1"].Runs("")+s.plains["s2"].Runs(""), 2; got != want {
		t.Errorf("runs: got %d, want %d", got, want)
	}
}

// Guards against a refusal with a wrong status or outcome.
func TestRefusals(t *testing.T) {
	s := newTestCluster(t, "p1", "d1", "s1")
	tests := map[string]struct {
		method, path, body string
		status             int
	}{
		"unknown model":    {"POST", "/v1/completions", `{"model":"x","prompt":"a"}`, 404},
		"unknown service":  {"GET", "/s/none/seats", "", 404},
		"model as service": {"GET", "/s/digest/x", "", 404},
		"unknown path":     {"GET", "/s/desk/none", "", 404},
		"partial segment":  {"GET", "/s/desk/seatsx", "", 404},
		"wrong method":     {"DELETE", "/s/desk/seats", "", 405},
		"path with ../":    {"GET", "/s/desk/seats/%2e%2e/book", "", 400},
		"body too long":    {"POST", "/s/desk/book", strings.Repeat("x", 1001), 413},
		"prompt too long":  {"POST", "/v1/completions", completionBody(strings.Repeat("x", 8*8192), 1, ""), 413},
	}
	for name, test := range tests {
		r := s.call(test.method, test.path, test.body)
		if r.status != test.status || r.outcome != "not-run" || strings.Count(r.body, "\n") != 1 {
			t.Errorf("%s: got %d %s %q, want %d not-run", name, r.status, r.outcome, r.body, test.status)
		}
	}
	s.control.set(func(c *config) { c.blocked = map[string]bool{"*": true} })
	if r := s.call("POST", "/v1/completions", completionBody("a", 1, "")); r.status != 403 || r.outcome != "not-run" {
		t.Errorf("blocked: got %d %s %s, want 403 not-run", r.status, r.outcome, r.body)
	}
	s.control.set(func(c *config) { c.servers, c.blocked = nil, nil })
	s.await("refusal without servers", func() bool {
		r := s.call("POST", "/v1/completions", completionBody("a", 1, ""))

		return r.status == 503 && r.outcome == "not-run" && r.header.Get("Retry-After") != ""
	})
}

// Guards against a refused, retried or blocked request without a log line with its
// id, and against text from the caller in metric labels.
func TestLogAndMetrics(t *testing.T) {
	s := newTestCluster(t, "s1", "s2")
	refused := s.call("POST", "/v1/completions", `{"model":"madeup","prompt":"a"}`)
	retried := s.call("GET", "/s/desk/seats", "", emulator.HeaderFault, "lost")
	s.control.set(func(c *config) { c.blocked = map[string]bool{"*": true} })
	blocked := s.call("GET", "/s/desk/seats", "")
	for message, r := range map[string]reply{"refused": refused, "retry": retried, "blocked": blocked} {
		found := false
		for line := range strings.SplitSeq(s.logBuffer.String(), "\n") {
			found = found || strings.Contains(line, r.header.Get("Damask-Request")) && strings.Contains(line, `"`+message+`"`)
		}
		if !found {
			t.Errorf("log: got no line %q of %s, want one in %s", message, r.header.Get("Damask-Request"), &s.logBuffer)
		}
	}
	families, err := s.reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	if got := fmt.Sprint(families); strings.Contains(got, "madeup") || !strings.Contains(got, "damask_retries_total") {
		t.Errorf("metrics: got %s, want retries and no words of the caller", got)
	}
}

// Guards against giving a caller the rank of another.
func TestRank(t *testing.T) {
	s := newTestCluster(t, "p1", "d1")
	s.engines["d1"].StallExports(true)
	tests := map[string]int{"master-anna": 0, "someone": 2}
	for caller, want := range tests {
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			_, _ = s.do(ctx, "POST", "/v1/completions", completionBody("a", 64, ""), "Damask-Caller", caller)
		}()
		var requests []router.RequestState
		s.await("request", func() bool {
			requests = s.state().Requests

			return len(requests) == 1
		})
		if got := requests[0]; got.Rank != want || got.Caller != caller || got.Waits == "" || got.Phase == "" {
			t.Errorf("%s: got %+v, want rank %d and what it waits for", caller, got, want)
		}
		cancel()
		s.await("end", func() bool { return len(s.state().Requests) == 0 })
	}
	s.engines["d1"].StallExports(false)
}

// Guards against a shutdown that aborts a request or does not wait for it, and
// against a second shutdown signal that has an effect.
func TestGracefulShutdown(t *testing.T) {
	s := newTestCluster(t, "p1", "d1")
	ended := make(chan reply, 1)
	go func() { ended <- s.call("POST", "/v1/completions", completionBody("a", 64, "")) }()
	s.await("tokens", func() bool { return s.engines["d1"].Counters().Tokens > 0 })
	if !s.entry.Ready() {
		t.Error("before: got not ready, want ready")
	}
	s.entry.BeginDrain()
	s.entry.BeginDrain()
	if s.entry.Ready() {
		t.Error("leaving: got ready, want not ready")
	}
	r := <-ended
	if got, want := r.text(), emulator.Answer("a", 64); got != want {
		t.Errorf("got %d %q, want %q", r.status, r.body, want)
	}
	select {
	case <-s.entry.Done():
	case <-time.After(testTimeout):
		t.Error("got no end, want one after the request")
	}
}

// Guards against sending a request to a server outside the regions of its rule.
func TestRegions(t *testing.T) {
	s := newTestCluster(t, "s1", "s2")
	s.control.set(func(c *config) {
		c.rules = []*wire.Rule{{Name: "r", Caller: "*", Rank: "drill", Regions: []string{"thrissur"}}}
		far := &wire.Server{Name: "s2", Service: "desk", Phase: "plain", Addr: s.agents["s2"].Addr(), Region: "thrissur", Pieces: 8}
		c.servers = []*wire.Server{c.servers[0], far}
	})
	s.await("view", func() bool { return s.call("GET", "/s/desk/seats", "").status == 200 })
	before := s.plains["s1"].Runs("")
	for range 10 {
		s.call("GET", "/s/desk/seats", "")
	}
	if got, want := s.plains["s1"].Runs(""), before; got != want {
		t.Errorf("calls outside the regions: got %d, want %d", got, want)
	}
}

// Guards against reporting only the first invalid setting.
func TestSettings(t *testing.T) {
	s := router.Settings{MaxBody: -1, Listen: "x", Control: []string{"y"}}
	s.Defaults()
	got := fmt.Sprint(s.Validate())
	for _, want := range []string{"name", "region", "body", "listen", "control"} {
		if !strings.Contains(got, want) {
			t.Errorf("got %q, want %q in it", got, want)
		}
	}
}
