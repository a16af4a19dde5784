package emulator

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// priorityLock lets one prefill at a time compute and passes to the waiter with
// the most urgent rank.
type priorityLock struct {
	mu      sync.Mutex
	held    bool
	waiting []*waiter
}

type waiter struct {
	rank     int32
	acquired chan struct{}
}

func newPriorityLock() *priorityLock { return &priorityLock{} }

// acquire waits for the lock. It returns false if ctx ends first.
func (pl *priorityLock) acquire(ctx context.Context, rank int32) bool {
	pl.mu.Lock()
	if !pl.held {
		pl.held = true
		pl.mu.Unlock()

		return true
	}
	w := &waiter{rank: rank, acquired: make(chan struct{})}
	pl.waiting = append(pl.waiting, w)
	pl.mu.Unlock()
	select {
	case <-w.acquired:
		return true
	case <-ctx.Done():
		pl.cancelWait(w)

		return false
	}
}

func (pl *priorityLock) cancelWait(w *waiter) {
	pl.mu.Lock()
	for i, other := range pl.waiting {
		if other == w {
			pl.waiting = append(pl.waiting[:i], pl.waiting[i+1:]...)
			pl.mu.Unlock()

			return
		}
	}
	pl.mu.Unlock()
	pl.release() // release has passed the lock to w meanwhile
}

func (pl *priorityLock) release() {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if len(pl.waiting) == 0 {
		pl.held = false

		return
	}
	next := 0
	for i, w := range pl.waiting {
		if w.rank < pl.waiting[next].rank {
			next = i
		}
	}
	w := pl.waiting[next]
	pl.waiting = append(pl.waiting[:next], pl.waiting[next+1:]...)
	close(w.acquired)
}

// exportLimiter limits the total rate of the exports of an engine.
type exportLimiter struct{ limiter *rate.Limiter }

// exportStep is the number of tokens that an export sends at once. exportBurst is
// the number of tokens that the limiter lets pass without a wait.
const (
	exportStep  = 512
	exportBurst = exportStep
)

func newExportLimiter(tokensPerSecond float64) *exportLimiter {
	return &exportLimiter{limiter: rate.NewLimiter(rate.Limit(tokensPerSecond), exportBurst)}
}

func (rl *exportLimiter) wait(ctx context.Context, tokens int) error {
	return rl.limiter.WaitN(ctx, tokens)
}

// prefillTimeSlice is how long a prefill computes before it passes the lock to a
// more urgent one.
const prefillTimeSlice = 10 * time.Millisecond
