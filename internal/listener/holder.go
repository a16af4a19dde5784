package listener

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/budgeter"
)

const (
	// requestShare and answerShare are the shares of the process's memory for requests and
	// for answers that callers have not read: one part in so many.
	requestShare = 4
	answerShare  = 8

	// writeSize is the maximum size of an output buffer.
	writeSize = 64 << 10 // bytes

	// copiesOfBody is how often a body is in memory at a time: in the parser's buffers while
	// they grow, and as text and as message afterwards.
	copiesOfBody = 3

	// noPatience lets a new connection replace one that waits, however short.
	noPatience = time.Nanosecond
)

var errReleased = errors.New("the request was rejected")

// budgets bound what all connections hold together.
type budgets struct {
	requests    *budgeter.Budget // bytes of requests
	answers     *budgeter.Budget // bytes that callers have not read
	connections *budgeter.Budget // number of connections
}

func newBudgets(s Settings, clock budgeter.Clock) (budgets, error) {
	var b budgets
	for _, part := range []struct {
		budget   **budgeter.Budget
		settings budgeter.Settings
	}{
		{&b.requests, budgeter.Settings{Name: "requests", Limit: s.Memory / requestShare}},
		{&b.answers, budgeter.Settings{Name: "answers", Limit: s.Memory / answerShare}},
		{&b.connections, budgeter.Settings{Name: "connections", Limit: s.MaxConnections, Patience: noPatience}},
	} {
		part.settings.Clock = clock
		var err error
		if *part.budget, err = budgeter.New(part.settings); err != nil {
			return b, errors.Newf("set up budget of %s: %w", part.settings.Name, err)
		}
		if s.Registry == nil {
			continue
		}
		if err := s.Registry.Register(*part.budget); err != nil {
			return b, errors.Newf("register metrics of %s: %w", part.settings.Name, err)
		}
	}

	return b, nil
}

func noMemory() *rejection {
	return &rejection{http.StatusServiceUnavailable, "the process has no memory for the request now"}
}

// requestHolder counts the bytes of the request that a connection is receiving.
type requestHolder struct {
	mu       sync.Mutex
	budget   *budgeter.Budget
	drop     func()         // rejects the request that is being received
	hold     *budgeter.Hold // nil between requests
	number   int            // of the request
	held     int64
	released bool             // the connection receives no further request
	received []*budgeter.Hold // requests that are not in the queue yet
}

// account sets the number of bytes that the request holds after arrived further ones. It returns
// an error if there is no memory for them.
func (h *requestHolder) account(bytes, arrived int64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		return errReleased
	}
	if h.hold == nil {
		h.number++
		number := h.number
		h.hold = h.budget.Open(func(error) { go h.dropRequest(number) })
	}
	switch {
	case bytes > h.held:
		if err := h.hold.Grow(bytes - h.held); err != nil {
			return err //nolint:wrapcheck // only tells that there is no memory
		}
	case bytes < h.held:
		h.hold.Shrink(h.held - bytes)
	}
	h.held = bytes
	h.hold.Arrived(arrived)

	return nil
}

// dropRequest rejects a request that is still being received.
func (h *requestHolder) dropRequest(number int) {
	h.mu.Lock()
	unfinished := h.hold != nil && h.number == number
	h.mu.Unlock()
	if unfinished && h.release() {
		h.drop()
	}
}

// complete keeps the bytes of the request that has been received for take. It returns an error if
// the request had to give way to another one.
func (h *requestHolder) complete() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	hold := h.hold
	h.hold, h.held = nil, 0
	if hold == nil {
		return errReleased
	}
	if err := hold.Complete(); err != nil {
		hold.Close()

		return err //nolint:wrapcheck // only tells that there is no memory
	}
	h.received = append(h.received, hold)

	return nil
}

// take hands the bytes of the next request that has been received over, nil if there is none.
func (h *requestHolder) take() *budgeter.Hold {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.received) == 0 {
		return nil
	}
	hold := h.received[0]
	h.received = h.received[1:]

	return hold
}

// close gives all bytes back that were not taken.
func (h *requestHolder) close() {
	h.release()
	for hold := h.take(); hold != nil; hold = h.take() {
		hold.Close()
	}
}

// release gives the bytes of an unfinished request back and refuses further ones. It reports
// whether it is the first call.
func (h *requestHolder) release() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hold != nil {
		h.hold.Close()
		h.hold, h.held = nil, 0
	}
	first := !h.released
	h.released = true

	return first
}

// place counts a connection while it is open. A connection without a request in progress is
// closed if another one needs its descriptor.
type place struct {
	mu     sync.Mutex
	hold   *budgeter.Hold
	closed bool
}

// occupy takes a place for an idle connection. It returns false if there is none.
func (p *place) occupy(budget *budgeter.Budget, drop func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hold != nil {
		p.hold.Close()
		p.hold = nil
	}
	if p.closed {
		return true
	}
	p.hold = budget.Open(func(error) { go drop() })

	return p.hold.Grow(1) == nil
}

// keep keeps the place until the next call of occupy.
func (p *place) keep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hold != nil {
		// A place that was given to another connection meanwhile is counted again when
		// the request has ended.
		_ = p.hold.Complete()
	}
}

// arrived notes bytes from the caller, so that a connection that sends is not closed first.
func (p *place) arrived(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hold != nil {
		p.hold.Arrived(n)
	}
}

func (p *place) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.hold != nil {
		p.hold.Close()
		p.hold = nil
	}
}

// answerHolder counts the bytes that a caller has not read. The lock of output guards it.
type answerHolder struct {
	hold   *budgeter.Hold // nil while nothing is pending
	closed bool
}

// grow counts further bytes. drop closes the connection.
func (h *answerHolder) grow(budget *budgeter.Budget, n int64, drop func()) error {
	if h.closed {
		return net.ErrClosed
	}
	if h.hold == nil {
		h.hold = budget.Open(func(error) { go drop() })
	}

	if err := h.hold.Grow(n); err != nil {
		return err //nolint:wrapcheck // only tells that there is no memory
	}

	return nil
}

// shrink counts sent bytes. all reports whether nothing is pending any more.
func (h *answerHolder) shrink(n int64, all bool) {
	switch {
	case h.hold == nil:
	case all:
		h.hold.Close()
		h.hold = nil
	default:
		h.hold.Shrink(n)
		h.hold.Arrived(n) // the caller reads
	}
}

// Close gives all bytes back.
func (h *answerHolder) Close() {
	h.closed = true
	h.shrink(0, true)
}
