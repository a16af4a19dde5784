package router_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/emulator"
)

// Many callers connect and disconnect while engines crash and transfers stall. Guards
// against answers that are mixed up or incomplete, and against memory that stays
// allocated.
func TestConcurrentCallers(t *testing.T) {
	const callers, requests = 24, 12
	s := newTestCluster(t, "p1", "p2", "p3", "d1", "d2", "d3")
	var running sync.WaitGroup
	var mu sync.Mutex
	done := 0
	for caller := range callers {
		running.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(caller)))
			for n := range requests {
				prompt, limit := fmt.Sprintf("prompt %d of %d", n, caller), 1+random.IntN(30)
				ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
				if random.IntN(3) == 0 {
					cancel()
					ctx, cancel = context.WithTimeout(t.Context(), time.Duration(random.IntN(40))*time.Millisecond)
				}
				r, err := s.do(ctx, "POST", "/v1/completions", completionBody(prompt, limit, ""))
				cancel()
				if err != nil {
					continue // the caller disconnected
				}
				if r.outcome == "" || r.status == 200 && r.text() != emulator.Answer(prompt, int64(limit)) {
					t.Errorf("got %d %q %q, want the answer to %q", r.status, r.outcome, r.body, prompt)
				}
				if r.status == 200 {
					mu.Lock()
					done++
					mu.Unlock()
				}
			}
		})
	}
	for _, name := range []string{"d1", "p2", "d3"} {
		s.await("work", func() bool { return s.engines[name].Counters().Boots > 0 && len(s.state().Requests) > 0 })
		s.engines[name].Crash()
		s.engines["p3"].StallExports(name == "p2")
	}
	running.Wait()
	if done == 0 {
		t.Error("got no answer, want some")
	}
	t.Logf("%d of %d requests done", done, callers*requests)
	s.awaitIdle()
}
