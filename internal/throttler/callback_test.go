package throttler_test

import (
	"testing"
	"time"

	"github.com/damasklever/damasklever/internal/throttler"
)

// Guards against an entry that deadlocks because the number of entries comes from a part that
// sets grants at the same time.
func TestEntriesMayWaitForThrottler(t *testing.T) {
	const timeout = 10 * time.Second
	now := time.Now()
	for name, call := range map[string]func(*throttler.Throttler){
		"Allows":    func(th *throttler.Throttler) { th.Allows(now, "s") },
		"Exhausted": func(th *throttler.Throttler) { th.Exhausted(now, "s") },
		"Take":      func(th *throttler.Throttler) { th.Take(now, "s", 1) },
		"Charge":    func(th *throttler.Throttler) { th.Charge(now, "s", 1) },
	} {
		t.Run(name, func(t *testing.T) {
			var th *throttler.Throttler
			th = throttler.New(func() int {
				th.SetGrants(now, nil)

				return 3
			})
			th.Observe(now, "s", 10)
			returned := make(chan struct{})
			go func() {
				defer close(returned)
				call(th)
			}()
			select {
			case <-returned:
			case <-time.After(timeout):
				t.Fatalf("got no return after %v", timeout)
			}
		})
	}
}
