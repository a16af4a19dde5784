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
// wait, so that the end of the overload is noticed. A customer may have its part of those that
// are expected to get memory, whatever others have waiting.
type backlog struct {
	mu      sync.Mutex
	waiting map[queueKey]*lateQueue
	granted map[queueKey][]time.Time
}

// lateQueue counts the waiting requests of a queue.
type lateQueue struct {
	all        int
	byCustomer map[lateWaiter]int
}

// lateWaiter is a customer with its weight. It is empty for requests without a customer.
type lateWaiter struct {
	customer string
	weight   float64
}

// lateWaiter returns the customer of the request as it counts in a backlog.
func (f *forwarder) lateWaiter() lateWaiter {
	return lateWaiter{f.customer.GetName(), f.weight}
}

func newBacklog() *backlog {
	return &backlog{waiting: make(map[queueKey]*lateQueue), granted: make(map[queueKey][]time.Time)}
}

// part returns the fraction of the queue for a customer, if all customers that wait and this
// one share it by their weights.
func (q *lateQueue) part(own lateWaiter) float64 {
	weight := func(w lateWaiter) float64 {
		if w.weight > 0 {
			return w.weight
		}

		return 1
	}
	sum := 0.0
	for w := range q.byCustomer {
		if w != own {
			sum += weight(w)
		}
	}

	return weight(own) / (sum + weight(own))
}

// enter reports whether a late request that can wait for the remaining time is expected to
// get memory in that time. If it returns true, leave must be called.
func (b *backlog) enter(now time.Time, key queueKey, waiter lateWaiter, remaining time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.granted[key] = slices.DeleteFunc(b.granted[key], func(at time.Time) bool { return now.Sub(at) > backlogWindow })
	// The number of grants in the remaining time if they go on at the recent rate.
	expected := float64(len(b.granted[key])) * float64(remaining) / float64(backlogWindow)
	q := b.waiting[key]
	if q == nil {
		q = &lateQueue{byCustomer: make(map[lateWaiter]int)}
		b.waiting[key] = q
	}
	if q.all > 0 && float64(q.all+1) > expected && float64(q.byCustomer[waiter]+1) > expected*q.part(waiter) {
		return false
	}
	q.all++
	q.byCustomer[waiter]++

	return true
}

// leave ends the wait of a request and records whether it got memory.
func (b *backlog) leave(now time.Time, key queueKey, waiter lateWaiter, granted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := b.waiting[key]
	q.all--
	if q.byCustomer[waiter]--; q.byCustomer[waiter] == 0 {
		delete(q.byCustomer, waiter)
	}
	if granted {
		b.granted[key] = append(b.granted[key], now)
	}
}
