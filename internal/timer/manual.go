package timer

import (
	"sync"
	"time"
)

// Manual is a Service for tests. Its clock moves only when Advance is called.
type Manual struct {
	mu    sync.Mutex
	now   time.Time
	queue queue
}

var _ Service = (*Manual)(nil)

// NewManual returns a service whose clock is stopped at start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the time that Advance has reached. During a callback it is the time of the
// callback.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.now
}

// After implements Service.
func (m *Manual) After(d time.Duration, fn func(now time.Time)) func() {
	return m.add(d, 0, fn)
}

// Every implements Service.
func (m *Manual) Every(d time.Duration, fn func(now time.Time)) func() {
	d = max(d, 1)

	return m.add(d, d, fn)
}

// Advance moves the clock forward by d and runs the callbacks that become due in order,
// each with the clock at its due time. It returns after the last callback.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	end := m.now.Add(d)
	for len(m.queue.jobs) > 0 && !m.queue.jobs[0].at.After(end) {
		m.now = laterTime(m.now, m.queue.jobs[0].at)
		job := m.queue.due(m.now)
		now := m.now
		m.mu.Unlock()
		job.fn(now)
		m.mu.Lock()
	}
	m.now = end
	m.mu.Unlock()
}

func (m *Manual) add(d, period time.Duration, fn func(now time.Time)) func() {
	m.mu.Lock()
	job := m.queue.add(m.now.Add(d), period, fn)
	m.mu.Unlock()

	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.queue.remove(job)
	}
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
