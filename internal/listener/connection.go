package listener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/damasklever/damasklever/internal/budgeter"
)

// discardTimeout is how long input is read and discarded after the last response on
// a connection whose caller may still be sending. Closing at once would reset the
// connection, and the caller could lose the response.
const discardTimeout = 700 * time.Millisecond

// connection is a caller's connection. Its requests run one at a time, so that the
// responses to pipelined requests keep their order.
type connection struct {
	l      *Listener
	conn   net.Conn
	ctx    context.Context //nolint:containedctx // it is the lifetime of the connection
	cancel context.CancelFunc

	inputChecker inputChecker // only used by the poller
	parser       atomic.Pointer[nbhttp.Parser]
	requests     requestHolder
	place        place

	acceptedAt   time.Time
	receivedData atomic.Bool // at least part of a request has been received

	discarding     atomic.Bool  // input is read and discarded
	receiving      atomic.Bool  // a request is being received
	unqueued       atomic.Int64 // requests received completely but not yet in the queue
	invalidInput   atomic.Bool  // a request was rejected, so the caller may still be sending
	closeDelimited atomic.Bool  // the last response ends when the connection is closed

	mu          sync.Mutex
	queue       []*exchange // the first one is running
	queueClosed bool        // no further requests are queued
	continueDue bool        // the caller waits for "100 Continue" behind a response
	// stopHeaderTimer stops the timer of the header that is being received; nil without one.
	stopHeaderTimer func()

	output output
}

// output tracks the bytes that have not been sent yet because the caller reads slowly.
type output struct {
	mu             sync.Mutex
	pending        int
	hold           answerHolder
	lastProgress   time.Time // when bytes were last sent, zero when nothing is pending
	stopStallTimer func()
	shutdown       bool // close the connection when nothing is pending
}

func newConnection(l *Listener, conn net.Conn) *connection {
	ctx, cancel := context.WithCancel(context.Background())

	c := &connection{l: l, conn: conn, ctx: ctx, cancel: cancel, acceptedAt: l.timers.Now()}
	c.requests.budget, c.requests.drop = l.budgets.requests, func() { c.rejectInput(noMemory()) }

	return c
}

// becomeIdle makes the connection one that may be closed for another one.
func (c *connection) becomeIdle() {
	if !c.place.occupy(c.l.budgets.connections, c.closeWaiting) {
		go func() { _ = c.conn.Close() }()
	}
}

// closeWaiting closes the connection unless a request is in progress. A request that arrives from
// then on does not begin.
func (c *connection) closeWaiting() {
	c.mu.Lock()
	waiting := len(c.queue) == 0 && c.unqueued.Load() == 0
	c.queueClosed = c.queueClosed || waiting
	c.mu.Unlock()
	if waiting {
		c.l.settings.Log.Info().Str("remote", c.conn.RemoteAddr().String()).Msg("closed waiting connection for a new one")
		_ = c.conn.Close()
	}
}

// rejectInput rejects the request that is being received and frees its memory. Nothing
// further is read from the connection.
func (c *connection) rejectInput(r *rejection) {
	c.invalidInput.Store(true)
	c.discarding.Store(true)
	c.requests.release()
	if r.status == http.StatusServiceUnavailable {
		c.l.settings.Log.Info().Str("remote", c.conn.RemoteAddr().String()).Str("reason", r.reason).Msg("rejected unfinished request")
	}
	// In this order, because a read that is in progress fails once the parser is closed.
	c.enqueue(&exchange{rejection: r, close: true})
	if parser := c.parser.Load(); parser != nil {
		parser.CloseAndClean(r)
	}
}

// handleClose is called after the connection was closed.
func (c *connection) handleClose() {
	c.cancel()
	c.updateHeaderTimer(false)
	c.requests.close()
	c.place.leave()
	c.output.mu.Lock()
	defer c.output.mu.Unlock()
	c.output.hold.Close()
	if c.output.stopStallTimer != nil {
		c.output.stopStallTimer()
	}
}

// receive parses input. Invalid input is answered with an error after the responses to
// earlier requests, and then the connection is closed.
func (c *connection) receive(parser *nbhttp.Parser, data []byte) {
	if c.discarding.Load() {
		return
	}
	c.receiving.Store(true) // the bytes are no longer in the kernel's buffer
	c.inputChecker.attach(c, parser)
	continued := c.inputChecker.inHeader > 0
	c.inputChecker.headerLines.feed(data, continued)
	c.inputChecker.inHeader += len(data)
	c.inputChecker.completed = false
	c.place.arrived(int64(len(data)))
	err := parser.Parse(data)
	inHeader := !c.inputChecker.inBody && !c.inputChecker.completed
	c.inputChecker.headerLines.retain(continued, inHeader)
	c.updateHeaderTimer(inHeader)
	c.receiving.Store(!c.inputChecker.completed || c.inputChecker.begun)
	// Set after receiving, so that a drain never sees the connection as used but idle
	// while its first request is being received.
	c.receivedData.Store(true)
	e := c.inputChecker.check(data, err, c.l.settings.MaxHeader)
	if held := c.inputChecker.hold(len(data)); e == nil && held != nil {
		e = noMemory()
	}
	if e != nil {
		c.rejectInput(e)
	}
}

// updateHeaderTimer starts the header timer with the first byte of a header and stops
// it at the end of the header. When the timer fires, the caller gets status 408 and the
// connection is closed.
func (c *connection) updateHeaderTimer(inHeader bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case inHeader && c.stopHeaderTimer == nil && c.ctx.Err() == nil:
		c.stopHeaderTimer = c.l.timers.After(c.l.settings.HeaderTimeout, func(time.Time) {
			c.rejectInput(&rejection{http.StatusRequestTimeout, "the header was not finished in time"})
		})
	case !inHeader && c.stopHeaderTimer != nil:
		c.stopHeaderTimer()
		c.stopHeaderTimer = nil
	}
}

// enqueue adds an exchange to the queue and starts to serve the queue if it was empty.
func (c *connection) enqueue(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queueClosed {
		e.release()

		return
	}
	if len(c.queue) >= c.l.settings.MaxPipelined {
		// The caller sends without waiting for responses. Requests that are already
		// queued are still answered.
		e.release()
		e = &exchange{close: true, rejection: &rejection{
			http.StatusTooManyRequests, "too many requests wait on this connection",
		}}
		c.invalidInput.Store(true)
	}
	if e.close {
		c.queueClosed = true
		c.discarding.Store(true)
	}
	c.l.active.Add(1)
	c.queue = append(c.queue, e)
	if len(c.queue) == 1 {
		_ = c.conn.SetReadDeadline(time.Time{})
		c.place.keep()
		go c.run(e)
	}
}

// queued is called after a request that was received completely has been added to the queue.
func (c *connection) queued() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unqueued.Add(-1)
	c.continueIfIdle()
}

// run serves exchanges until the queue is empty.
func (c *connection) run(e *exchange) {
	for e != nil {
		c.l.serve(c, e)
		e = c.next(e)
	}
}

// next removes the finished exchange from the queue and returns the next one, or nil.
func (c *connection) next(e *exchange) *exchange {
	defer c.l.active.Add(-1)
	e.release()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = c.queue[1:]
	if len(c.queue) > 0 && !e.close && c.ctx.Err() == nil {
		return c.queue[0]
	}
	c.l.active.Add(-int64(len(c.queue)))
	for _, dropped := range c.queue {
		dropped.release()
	}
	c.queue = nil
	c.becomeIdle()
	if e.close {
		c.queueClosed = true
		c.closeDelimited.Store(e.http10)
		c.closeAfterOutput()

		return nil
	}
	c.continueIfIdle()
	_ = c.conn.SetReadDeadline(time.Now().Add(c.l.settings.IdleTimeout))

	return nil
}

// firstRequestTimeout is how long after the connect a drain waits for the first request
// of a connection. Callers send it right after the connect, so it may be in transit.
const firstRequestTimeout = time.Second

// closeIfIdle closes the connection if no request is running or being received and the
// first request has had time to arrive.
func (c *connection) closeIfIdle() {
	if !c.receivedData.Load() && c.l.timers.Now().Sub(c.acceptedAt) < firstRequestTimeout {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 && !c.queueClosed && !c.receiving.Load() && c.unqueued.Load() == 0 {
		c.queueClosed = true
		c.closeAfterOutput()
	}
}

// rejectUnfinished rejects the request that is being received.
func (c *connection) rejectUnfinished() {
	if !c.receiving.Load() || c.discarding.Load() {
		return
	}
	c.rejectInput(&rejection{http.StatusServiceUnavailable, "the process is stopping"})
}

// closeAfterOutput closes the connection after its output has been sent. The caller
// of the function holds c.mu.
func (c *connection) closeAfterOutput() {
	c.discarding.Store(true)
	c.output.mu.Lock()
	c.output.shutdown = true
	empty := c.output.pending <= 0
	c.output.mu.Unlock()
	if empty {
		c.shutdown()
	}
}

// callerCloseTimeout is how long the caller has to close a connection after a response
// with "Connection: close".
const callerCloseTimeout = 500 * time.Millisecond

// shutdown closes the connection, after a delay if the caller may still be sending.
//
// Where possible the caller closes first, because nbio v1.6.8 looks up the connection of
// an event by its file descriptor. If both sides close at the same time, an event of this
// connection that the poller has already fetched would close a new connection that was
// accepted with the same descriptor.
func (c *connection) shutdown() {
	switch {
	case c.invalidInput.Load():
		_ = c.conn.SetReadDeadline(time.Now().Add(discardTimeout))
	case c.closeDelimited.Load() || c.l.socket == nil || c.l.socket.shutdown.Load():
		// No connections are accepted during a drain, so no descriptor is reused.
		_ = c.conn.Close()
	default:
		_ = c.conn.SetReadDeadline(time.Now().Add(callerCloseTimeout))
	}
}

// Write sends bytes to the caller. Bytes that a slow caller cannot take yet are buffered
// and sent in the background.
func (c *connection) Write(b []byte) (int, error) {
	if err := c.reserve(len(b)); err != nil {
		c.cancel()
		_ = c.conn.Close()

		return 0, err
	}
	n := 0
	for n < len(b) {
		// A buffer is freed when it has been sent, so there is one for each part.
		part, err := c.conn.Write(b[n:min(n+writeSize, len(b))])
		n += max(part, 0)
		if err != nil {
			c.cancel()

			return n, err //nolint:wrapcheck // the error is that of the wrapped net.Conn
		}
	}
	c.output.mu.Lock()
	defer c.output.mu.Unlock()
	if c.output.pending > 0 && c.output.lastProgress.IsZero() {
		c.output.lastProgress = c.l.timers.Now()
		c.startStallTimer(c.l.settings.StallTimeout)
	}

	return n, nil
}

// reserveInterval is the time between two tries to find memory for an answer.
const reserveInterval = 20 * time.Millisecond

// reserve counts bytes that are about to be written. A large answer waits until callers who do
// not read have given way.
func (c *connection) reserve(n int) error {
	c.output.mu.Lock()
	c.output.pending += n
	c.output.mu.Unlock()
	err := c.tryReserve(n)
	if n <= writeSize || int64(n) > c.l.budgets.answers.MaxHold() || !errors.Is(err, budgeter.ErrFull) {
		return err
	}
	ticker := time.NewTicker(reserveInterval)
	defer ticker.Stop()
	for began := time.Now(); errors.Is(err, budgeter.ErrFull) && time.Since(began) < c.l.settings.StallTimeout; {
		select {
		case <-ticker.C:
			err = c.tryReserve(n)
		case <-c.ctx.Done():
			return err
		}
	}

	return err
}

func (c *connection) tryReserve(n int) error {
	c.output.mu.Lock()
	defer c.output.mu.Unlock()

	return c.output.hold.grow(c.l.budgets.answers, int64(n), func() { _ = c.conn.Close() })
}

// startStallTimer checks after d whether bytes were sent during the last StallTimeout, and
// closes the connection if not. The caller of the function holds c.output.mu.
func (c *connection) startStallTimer(d time.Duration) {
	c.output.stopStallTimer = c.l.timers.After(d, func(now time.Time) {
		c.output.mu.Lock()
		defer c.output.mu.Unlock()
		c.output.stopStallTimer = nil
		if c.output.pending <= 0 {
			c.output.lastProgress = time.Time{}

			return
		}
		left := c.l.settings.StallTimeout - now.Sub(c.output.lastProgress)
		if left > 0 {
			c.startStallTimer(left)

			return
		}
		go func() { _ = c.conn.Close() }()
	})
}

// countSent counts sent bytes. The engine holds the connection's lock during the call, so
// the connection is closed in another goroutine.
func (c *connection) countSent(n int) {
	c.output.mu.Lock()
	defer c.output.mu.Unlock()
	c.output.pending -= n
	c.output.hold.shrink(int64(n), c.output.pending <= 0)
	if !c.output.lastProgress.IsZero() {
		c.output.lastProgress = c.l.timers.Now()
	}
	if c.output.shutdown && c.output.pending <= 0 {
		go c.shutdown()
	}
}
