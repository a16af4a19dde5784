// Package timer provides the timer service that the parts of a process
// subscribe to. Real follows the machine's clock; Manual is driven by a test.
package timer

import (
	"sync"
	"time"
)

// Service runs callbacks at points in time. Callbacks of one service never run
// at the same time as each other and must not block. A callback may subscribe
// and stop subscriptions.
type Service interface {
	// Now returns the service's current time.
	Now() time.Time
	// After runs fn once, d from now. The returned function cancels it.
	After(d time.Duration, fn func(now time.Time)) (stop func())
	// Every runs fn each d until the returned function is called. A period
	// that is not positive counts as one nanosecond.
	Every(d time.Duration, fn func(now time.Time)) (stop func())
}

// Real is a Service on the machine's clock with one goroutine for all
// subscriptions.
type Real struct {
	mu    sync.Mutex
	queue queue
	wake  chan struct{}
	done  chan struct{}
	once  sync.Once
}

var _ Service = (*Real)(nil)

// New starts a Real service. Close ends it.
func New() *Real {
	r := &Real{wake: make(chan struct{}, 1), done: make(chan struct{})}
	go r.run()

	return r
}

// Now returns the wall-clock time with its monotonic reading.
func (r *Real) Now() time.Time { return time.Now() }

// After implements Service.
func (r *Real) After(d time.Duration, fn func(now time.Time)) func() {
	return r.add(d, 0, fn)
}

// Every implements Service.
func (r *Real) Every(d time.Duration, fn func(now time.Time)) func() {
	d = max(d, 1)

	return r.add(d, d, fn)
}

// Close stops all callbacks. A callback that is running may still finish.
func (r *Real) Close() { r.once.Do(func() { close(r.done) }) }

// Done is closed by Close.
func (r *Real) Done() <-chan struct{} { return r.done }

func (r *Real) add(d, period time.Duration, fn func(now time.Time)) func() {
	r.mu.Lock()
	job := r.queue.add(time.Now().Add(d), period, fn)
	first := r.queue.jobs[0] == job
	r.mu.Unlock()
	if first {
		r.notify()
	}

	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.queue.remove(job)
	}
}

func (r *Real) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Real) run() {
	clock := time.NewTimer(time.Hour)
	defer clock.Stop()
	for {
		clock.Reset(r.runDue())
		select {
		case <-clock.C:
		case <-r.wake:
		case <-r.done:
			return
		}
	}
}

// runDue runs what is due and returns the time until the next job.
func (r *Real) runDue() time.Duration {
	for {
		r.mu.Lock()
		now := time.Now()
		job := r.queue.due(now)
		wait := r.queue.wait(now)
		r.mu.Unlock()
		if job == nil {
			return wait
		}
		job.fn(now)
	}
}
