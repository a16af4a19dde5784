// Package timer schedules the callbacks of all parts of a process. Real uses the system
// clock; Manual is controlled by a test.
package timer

import (
	"sync"
	"time"
)

// Service runs callbacks at scheduled times. Callbacks of one service run one at a time and
// must not block. A callback may schedule and cancel callbacks.
type Service interface {
	// Now returns the service's current time.
	Now() time.Time
	// After runs fn once after d. The returned function cancels it.
	After(d time.Duration, fn func(now time.Time)) (stop func())
	// Every runs fn at intervals of d until the returned function is called. An
	// interval that is not positive is set to one nanosecond.
	Every(d time.Duration, fn func(now time.Time)) (stop func())
}

// Real is a Service that uses the system clock. One goroutine runs all callbacks.
type Real struct {
	mu    sync.Mutex
	queue queue
	wake  chan struct{}
	done  chan struct{}
	once  sync.Once
}

var _ Service = (*Real)(nil)

// New starts a Real service. Close must be called to stop it.
func New() *Real {
	r := &Real{wake: make(chan struct{}, 1), done: make(chan struct{})}
	go r.run()

	return r
}

// Now returns the wall-clock time with a monotonic clock reading.
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

// Close stops the service. It does not wait for a callback that is running.
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

// runDue runs all due jobs and returns the time until the next one.
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
