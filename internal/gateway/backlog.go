package gateway

import (
	"slices"
	"sync"
	"time"
)

// backlogWindow is how far back grants of late requests count: some lives of an
// answer, so that a server that comes free shows, and shorter than callers wait.
const backlogWindow = 4 * time.Second

// line is one queue of late requests.
type line struct {
	pool string
	rank int
}

// backlog decides whether a request that can no longer be in time still waits for
// memory. It answers the load of a burst that outlasts callers' patience: whatever
// comes free goes to requests that can be in time, and a late one would be held for
// all its time and refused at its end. One of each line always waits, so that the end
// of the burst is noticed.
type backlog struct {
	mu      sync.Mutex
	waiting map[line]int
	granted map[line][]time.Time
}

func newBacklog() *backlog {
	return &backlog{waiting: make(map[line]int), granted: make(map[line][]time.Time)}
}

// enter tells whether a late request that can wait for a time is expected to get
// memory in it. If so, leave must be called.
func (b *backlog) enter(now time.Time, l line, left time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.granted[l] = slices.DeleteFunc(b.granted[l], func(at time.Time) bool { return now.Sub(at) > backlogWindow })
	// So many are granted until this one gives up, if it goes on as lately.
	expected := float64(len(b.granted[l])) * float64(left) / float64(backlogWindow)
	if b.waiting[l] > 0 && float64(b.waiting[l]+1) > expected {
		return false
	}
	b.waiting[l]++

	return true
}

// leave ends the wait of a request.
func (b *backlog) leave(now time.Time, l line, granted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting[l]--
	if granted {
		b.granted[l] = append(b.granted[l], now)
	}
}
