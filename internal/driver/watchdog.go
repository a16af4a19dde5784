package driver

import (
	"sync"
	"time"
)

// clock is the part of a timer service that a watchdog needs.
type clock interface {
	After(d time.Duration, fn func(now time.Time)) (stop func())
}

// wallClock runs each callback in a goroutine of its own.
type wallClock struct{}

// After implements clock.
func (wallClock) After(d time.Duration, fn func(now time.Time)) func() {
	t := time.AfterFunc(d, func() { fn(time.Now()) })

	return func() { t.Stop() }
}

// watchdog runs a callback once nothing has been fed to it for a limit.
type watchdog struct {
	clock clock
	limit time.Duration
	fn    func()
	mu    sync.Mutex
	stop  func()
}

func newWatchdog(c clock, limit time.Duration, fn func()) *watchdog {
	w := &watchdog{clock: c, limit: limit, fn: fn, stop: func() {}}
	w.feed()

	return w
}

func (w *watchdog) feed() {
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
