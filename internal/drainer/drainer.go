// Package drainer keeps the time of a graceful shutdown. All parts of a process ask it whether
// what they are about to start can still be completed, and when whatever is in flight must be
// answered.
package drainer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/timer"
)

// ErrStopping is the cause of contexts that end because of a shutdown.
var ErrStopping = errors.New("the process is stopping")

// MaxAnswerTime is the longest time for sending the final answers.
const MaxAnswerTime = time.Second

// AnswerTime returns the part of a drain time that is left for sending the final answers.
func AnswerTime(drain time.Duration) time.Duration {
	const fraction = 5

	return min(MaxAnswerTime, drain/fraction)
}

// Drainer keeps the time of the shutdown of one process. It is safe for concurrent use.
type Drainer struct {
	timer timer.Service
	done  chan struct{}

	mu        sync.Mutex
	stopping  bool
	closed    bool
	lingerEnd time.Time
	end       time.Time
	stopTimer func()
	waits     map[*wait]struct{}
}

// wait is a context that ends when less than the time expected is left.
type wait struct {
	expected  time.Duration
	cancel    context.CancelCauseFunc
	stopTimer func()
}

// New returns a Drainer of a process that is not stopping.
func New(t timer.Service) *Drainer {
	return &Drainer{timer: t, done: make(chan struct{}), stopTimer: func() {}, waits: make(map[*wait]struct{})}
}

// Begin starts the shutdown. New work is accepted for the time linger, and everything must be
// answered within limit; both count from now. Only the first call has an effect.
func (d *Drainer) Begin(linger, limit time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopping {
		return
	}
	d.begin(linger, limit)
	d.stopTimer = d.timer.After(limit, func(time.Time) { d.Close() })
}

// begin starts the shutdown. The caller must hold mu.
func (d *Drainer) begin(linger, limit time.Duration) {
	now := d.timer.Now()
	d.stopping, d.lingerEnd, d.end = true, now.Add(linger), now.Add(limit)
	for w := range d.waits {
		d.schedule(w)
	}
}

// Close ends the shutdown: everything must be answered at once.
func (d *Drainer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	d.stopTimer()
	d.closed = true
	if !d.stopping {
		d.begin(0, 0)
	}
	for w := range d.waits {
		w.stopTimer()
		w.cancel(ErrStopping)
	}
	close(d.done)
}

// Done returns a channel that is closed when everything must be answered.
func (d *Drainer) Done() <-chan struct{} { return d.done }

// Stopping reports whether the shutdown has begun.
func (d *Drainer) Stopping() bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.stopping
}

// Accepts reports whether new work may begin that ends after limit at the latest. After the
// linger time that is only work that certainly ends in time.
func (d *Drainer) Accepts(limit time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return !d.stopping || !d.closed && (d.timer.Now().Before(d.lingerEnd) || limit <= d.left())
}

// Fits reports whether work that is expected to take a time ends before the shutdown does.
func (d *Drainer) Fits(expected time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return !d.stopping || !d.closed && expected <= d.left()
}

// Left returns the time until everything must be answered, and false if the process is not
// stopping.
func (d *Drainer) Left() (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stopping {
		return 0, false
	}
	if d.closed {
		return 0, true
	}

	return max(d.left(), 0), true
}

// left returns the time until everything must be answered. The caller must hold mu.
func (d *Drainer) left() time.Duration { return d.end.Sub(d.timer.Now()) }

// Bound returns a context that ends with the cause ErrStopping as soon as work that is expected
// to take a time no longer ends before the shutdown does. The returned function ends the
// context and must be called.
func (d *Drainer) Bound(ctx context.Context, expected time.Duration) (context.Context, context.CancelFunc) {
	bound, cancel := context.WithCancelCause(ctx)
	w := &wait{expected: expected, cancel: cancel, stopTimer: func() {}}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waits[w] = struct{}{}
	if d.stopping {
		d.schedule(w)
	}

	return bound, func() {
		d.mu.Lock()
		delete(d.waits, w)
		w.stopTimer()
		d.mu.Unlock()
		cancel(nil)
	}
}

// schedule ends a context when its time has come. The caller must hold mu.
func (d *Drainer) schedule(w *wait) {
	remaining := d.left() - w.expected
	if d.closed || remaining <= 0 {
		w.cancel(ErrStopping)

		return
	}
	w.stopTimer = d.timer.After(remaining, func(time.Time) { w.cancel(ErrStopping) })
}
