package driver_test

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/driver"
	"github.com/damasklever/damasklever/internal/testlistener"
)

// Guards against a backend server whose response does not end and fills the memory of its agent.
func TestResponseWithoutEnd(t *testing.T) {
	const (
		callsAtOnce = 16 // of an engine
		// maxAllocated is the memory of a small host.
		maxAllocated = 256 << 20
		timeout      = 10 * time.Second
	)
	for name, call := range testCalls() {
		check := func(t *testing.T, calls int, e testlistener.EndlessResponse) {
			client := driver.New(testlistener.ServeEndless(t, e), time.Second)
			client.LimitMemory(maxAllocated / 4)
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var work sync.WaitGroup
			for range calls {
				work.Go(func() {
					if err := call.run(ctx, client); err == nil {
						t.Error("got no error, want one")
					}
				})
			}
			work.Wait()
			runtime.ReadMemStats(&after)
			if ctx.Err() != nil {
				t.Errorf("calls: got no end in %s, want one", timeout)
			}
			if got := after.TotalAlloc - before.TotalAlloc; got > maxAllocated {
				t.Errorf("allocated by %d calls: got %d MB, want at most %d MB", calls, got>>20, maxAllocated>>20)
			}
		}
		for response, e := range testlistener.EndlessHeads() {
			t.Run(name+"/head/"+response, func(t *testing.T) { check(t, callsAtOnce, e) })
		}
		for response, e := range testlistener.EndlessBodies() {
			calls := callsAtOnce
			if name == "run" {
				calls = 2 // one waits until the response to the other has been rejected
			}
			t.Run(name+"/body/"+response, func(t *testing.T) { check(t, calls, e) })
		}
	}
}
