package imitator

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// lane lets one prefill compute at a time, the most urgent rank first.
type lane struct {
	mu      sync.Mutex
	busy    bool
	waiting []*ticket
}

type ticket struct {
	rank  int32
	ready chan struct{}
}

func newLane() *lane { return &lane{} }

// enter waits for the lane; it reports false if ctx ended before.
func (l *lane) enter(ctx context.Context, rank int32) bool {
	l.mu.Lock()
	if !l.busy {
		l.busy = true
		l.mu.Unlock()

		return true
	}
	t := &ticket{rank: rank, ready: make(chan struct{})}
	l.waiting = append(l.waiting, t)
	l.mu.Unlock()
	select {
	case <-t.ready:
		return true
	case <-ctx.Done():
		l.abandon(t)

		return false
	}
}

func (l *lane) abandon(t *ticket) {
	l.mu.Lock()
	for i, other := range l.waiting {
		if other == t {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			l.mu.Unlock()

			return
		}
	}
	l.mu.Unlock()
	l.leave() // the lane was given to t meanwhile
}

func (l *lane) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting) == 0 {
		l.busy = false

		return
	}
	best := 0
	for i, t := range l.waiting {
		if t.rank < l.waiting[best].rank {
			best = i
		}
	}
	t := l.waiting[best]
	l.waiting = append(l.waiting[:best], l.waiting[best+1:]...)
	close(t.ready)
}

// link limits the rate of all exports of an engine together.
type link struct{ limit *rate.Limiter }

// linkStep is the number of tokens sent at once, and linkBurst bounds how many
// go out without waiting.
const (
	linkStep  = 512
	linkBurst = linkStep
)

func newLink(tokens float64) *link {
	return &link{limit: rate.NewLimiter(rate.Limit(tokens), linkBurst)}
}

func (l *link) wait(ctx context.Context, tokens int) error {
	return l.limit.WaitN(ctx, tokens)
}

// prefillStep is the time after which a more urgent prefill takes over.
const prefillStep = 10 * time.Millisecond
