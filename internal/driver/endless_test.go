package driver_test

import (
	"context"
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
	)
	for name, call := range testCalls() {
		check := func(t *testing.T, calls int, e testlistener.EndlessResponse) {
			client := driver.New(testlistener.ServeEndless(t, e), time.Second)
			client.LimitMemory(maxAllocated / 16)
			testlistener.CheckCalls(t, calls, maxAllocated, func(ctx context.Context) {
				if err := call.run(ctx, client); err == nil {
					t.Error("got no error, want one")
				}
			})
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
