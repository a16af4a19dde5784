package driver

import (
	"sync"
	"time"
)

// clock is the subset of timer.Service that a watchdog uses.
type clock interface {
	After(d time.Duration, fn func(now time.Time)) (stop func())
}

// wallClock is the system clock. It runs each callback in a new goroutine.
type wallClock struct{}

// After implements clock.
func (wallClock) After(d time.Duration, fn func(now time.Time)) func() {
	t := time.AfterFunc(d, func() { fn(time.Now()) })

	return func() { t.Stop() }
}

// watchdog calls fn when it has not been reset for the duration limit.
type watchdog struct {
	clock clock
	limit time.Duration
	fn    func()
	mu    sync.Mutex
	stop  func()
}

func newWatchdog(c clock, limit time.Duration, fn func()) *watchdog {
	w := &watchdog{clock: c, limit: limit, fn: fn, stop: func() {}}
	w.reset()

	return w
}

func (w *watchdog) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stop()
	w.stop = w.clock.After(w.limit, func(time.Time) { w.fn() })
}

func (w *watchdog) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stop()
}
