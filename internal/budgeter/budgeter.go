// Package budgeter decides how many bytes a process holds for its callers and whose bytes it lets
// go when that is used up. The load it answers are callers that together send more than the
// process has memory for: many large bodies at once, most of which stop short of their end and stay
// open, beside ordinary requests.
//
// A hold is one request or connection. Small holds always have a reserve that large ones cannot
// use. When the bytes are used up, the incomplete hold that has made no progress for longest gives
// way, but only after Settings.Patience; a large hold gives way to any other, a small one only to
// small ones. If none gives way, whoever asks is refused, so that requests that make progress come
// to their end.
package budgeter

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/defaulter"
)

var (
	// ErrFull is returned for a hold that must be refused because the bytes are used up.
	ErrFull = errors.New("no memory left for callers")
	// ErrDropped is the cause with which a hold gives way to another one.
	ErrDropped = errors.New("gave way to another caller")
	// ErrStalled is the cause with which a hold ends that made no progress in time.
	ErrStalled = errors.New("made no progress in time")
)

// Clock tells the current time. It is implemented by timer.Service.
type Clock interface{ Now() time.Time }

// SystemClock tells the time of the process.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// Settings configures a Budget. Clock has no default.
type Settings struct {
	// Name tells the budgets of a process apart in its metrics.
	Name string
	// Limit is the number of bytes held for callers, 0 for no limit.
	Limit int64
	// Reserve is the part of Limit that is kept for small holds.
	Reserve int64
	// Small is the number of bytes up to which a hold is small.
	Small int64
	// Progress is the number of bytes that have to arrive for an incomplete hold to make progress.
	Progress int64
	// Patience is how long an incomplete hold keeps what others need without making progress.
	Patience time.Duration
	Clock    Clock
}

const (
	defaultName     = "memory"
	reserveFraction = 4
	defaultSmall    = 64 << 10
	defaultProgress = 4 << 10
	defaultPatience = 500 * time.Millisecond
	// servedBytes is what a complete hold can have beyond the limit. A request that is being
	// served has room for the beginning of its answer, however much others hold.
	servedBytes = 16 << 10
)

// Defaults sets the fields that are zero.
func (s *Settings) Defaults() {
	defaulter.Default(&s.Name, defaultName)
	defaulter.Default(&s.Reserve, s.Limit/reserveFraction)
	defaulter.Default(&s.Small, defaultSmall)
	defaulter.Default(&s.Progress, defaultProgress)
	defaulter.Default(&s.Patience, defaultPatience)
}

// Validate reports all invalid fields at once.
func (s *Settings) Validate() error {
	var problems []error
	if s.Limit < 0 || s.Reserve < 0 || s.Reserve > s.Limit || s.Small < 0 || s.Progress < 0 || s.Patience < 0 {
		problems = append(problems, errors.New("limit, reserve, small, progress and patience: must not be negative or over the limit"))
	}
	if s.Clock == nil {
		problems = append(problems, errors.New("clock: missing"))
	}
	if err := errors.Join(problems...); err != nil {
		return errors.Newf("settings of budget: %w", err)
	}

	return nil
}

// Budget bounds the bytes that a process holds for its callers. Its methods may be called
// concurrently.
type Budget struct {
	s       Settings
	metrics *metrics

	mu    sync.Mutex
	used  int64
	large int64 // part of used by large holds
	holds map[*Hold]struct{}
	// opened is the number of holds that were opened.
	opened uint64
}

// New returns a budget of which nothing is used.
func New(s Settings) (*Budget, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}

	return &Budget{s: s, metrics: newMetrics(s.Name), holds: make(map[*Hold]struct{})}, nil
}

// Unlimited returns a budget without a limit.
func Unlimited(clock Clock) *Budget {
	return &Budget{s: Settings{Clock: clock}, metrics: newMetrics(defaultName), holds: make(map[*Hold]struct{})}
}

// Used returns the number of bytes held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.used
}

// MaxHold returns the largest number of bytes that one hold can have, 0 for no limit.
func (b *Budget) MaxHold() int64 { return b.s.Limit - b.s.Reserve }

// Hold is what one request or connection holds.
type Hold struct {
	b    *Budget
	drop func(error)
	// The fields below are guarded by b.mu.
	number   uint64
	bytes    int64
	arrived  int64 // since the last progress
	since    time.Time
	timeout  time.Duration
	complete bool
	served   int64 // grown since the hold was complete
	closed   bool
	dropped  error
}

// Open returns an incomplete hold of no bytes. drop is called once, without locks, if the hold has
// to give way or makes no progress in time. Its owner still has to close it.
func (b *Budget) Open(drop func(error)) *Hold {
	h := &Hold{b: b, drop: drop, since: b.s.Clock.Now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opened++
	h.number = b.opened
	b.holds[h] = struct{}{}

	return h
}

// SetTimeout bounds the time that the hold may be incomplete without progress, also if nobody needs
// its bytes. Without it, or with zero, the time has no bound.
func (h *Hold) SetTimeout(timeout time.Duration) {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	h.timeout = timeout
}

// Grow adds n bytes, before they are allocated. It returns ErrFull if the owner has to refuse its
// caller, or why the hold was dropped before. On an error it adds nothing.
func (h *Hold) Grow(n int64) error {
	h.b.mu.Lock()
	victims, err := h.b.grow(h, n)
	h.b.mu.Unlock()
	for _, v := range victims {
		v.drop(ErrDropped)
	}

	return err
}

// Arrived notes that the caller has sent n bytes.
func (h *Hold) Arrived(n int64) {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	if h.arrived += n; h.arrived >= h.b.s.Progress {
		h.arrived, h.since = 0, h.b.s.Clock.Now()
	}
}

// Shrink takes n bytes back.
func (h *Hold) Shrink(n int64) {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	h.served = max(h.served-n, 0)
	h.b.resize(h, -n)
}

// Complete notes that the request is whole and is being served, so that it is no longer dropped.
// It returns why the hold was dropped before, nil if it was not.
func (h *Hold) Complete() error {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	h.complete, h.served = h.dropped == nil, 0

	return h.dropped
}

// Reopen makes the hold incomplete, for a connection that waits for its next request.
func (h *Hold) Reopen() {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	h.complete, h.arrived, h.since = false, 0, h.b.s.Clock.Now()
}

// Renew notes that the caller has begun to send again, which is progress however little it is.
func (h *Hold) Renew() {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	h.arrived, h.since = 0, h.b.s.Clock.Now()
}

// Dropped returns why the hold was dropped, nil if it was not.
func (h *Hold) Dropped() error {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()

	return h.dropped
}

// Close takes all bytes back. Further calls have no effect.
func (h *Hold) Close() {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	if h.closed {
		return
	}
	h.b.resize(h, -h.bytes)
	h.closed = true
	delete(h.b.holds, h)
}

// Sweep drops the incomplete holds that have made no progress in time. It is called regularly.
func (b *Budget) Sweep(now time.Time) {
	b.mu.Lock()
	var stalled []*Hold
	for h := range b.holds {
		if h.timeout > 0 && !h.complete && h.dropped == nil && now.Sub(h.since) >= h.timeout {
			b.markDropped(h, ErrStalled)
			stalled = append(stalled, h)
		}
	}
	b.mu.Unlock()
	for _, h := range stalled {
		h.drop(ErrStalled)
	}
}

// grow adds n bytes to h if others need not give way or do so. It returns those that have to. The
// caller must hold mu.
func (b *Budget) grow(h *Hold, n int64) ([]*Hold, error) {
	if h.dropped != nil {
		return nil, h.dropped
	}
	if h.closed {
		return nil, ErrFull
	}
	if h.complete && h.served+n <= servedBytes {
		h.served += n
		b.resize(h, n)

		return nil, nil
	}
	victims, ok := b.makeRoom(h, n)
	if !ok {
		b.metrics.refused.Inc()

		return nil, ErrFull
	}
	for _, v := range victims {
		b.markDropped(v, ErrDropped)
	}
	h.served += n
	b.resize(h, n)

	return victims, nil
}

// markDropped takes the bytes of a hold back, whose owner is told next. The caller must hold mu.
func (b *Budget) markDropped(h *Hold, cause error) {
	b.resize(h, -h.bytes)
	h.dropped = cause
	b.metrics.dropped.WithLabelValues(cause.Error()).Inc()
}

// resize changes the number of bytes of a hold. The caller must hold mu.
func (b *Budget) resize(h *Hold, n int64) {
	if h.closed || h.dropped != nil {
		return
	}
	b.large -= b.largePart(h.bytes)
	h.bytes += n
	b.used += n
	b.large += b.largePart(h.bytes)
}

// largePart returns what a hold of so many bytes counts as large.
func (b *Budget) largePart(bytes int64) int64 {
	if bytes > b.s.Small {
		return bytes
	}

	return 0
}
