package gateway

import (
	"slices"
	"sync"
	"time"
)

// backlogWindow is the period over which memory grants to late requests are counted. It
// covers several answers, so that a server that becomes free is noticed, and is shorter than
// callers wait.
const backlogWindow = 4 * time.Second

// queueKey identifies one queue of late requests.
type queueKey struct {
	pool string
	rank int
}

// backlog decides whether a request that can no longer meet its target latency should still
// wait for memory. During an overload that outlasts the callers' patience, all memory that
// becomes free goes to requests that can still meet their target, so a late request would
// wait for its whole time and be refused at the end. One request of each queue may always
// wait, so that the end of the overload is noticed.
type backlog struct {
	mu      sync.Mutex
	waiting map[queueKey]int
	granted map[queueKey][]time.Time
}

func newBacklog() *backlog {
	return &backlog{waiting: make(map[queueKey]int), granted: make(map[queueKey][]time.Time)}
}

// enter reports whether a late request that can wait for the remaining time is expected to
// get memory in that time. If it returns true, leave must be called.
func (b *backlog) enter(now time.Time, key queueKey, remaining time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.granted[key] = slices.DeleteFunc(b.granted[key], func(at time.Time) bool { return now.Sub(at) > backlogWindow })
	// The number of grants in the remaining time if they go on at the recent rate.
	expected := float64(len(b.granted[key])) * float64(remaining) / float64(backlogWindow)
	if b.waiting[key] > 0 && float64(b.waiting[key]+1) > expected {
		return false
	}
	b.waiting[key]++

	return true
}

// leave ends the wait of a request and records whether it got memory.
func (b *backlog) leave(now time.Time, key queueKey, granted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting[key]--
	if granted {
		b.granted[key] = append(b.granted[key], now)
	}
}
