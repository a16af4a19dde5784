package listener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/nbhttp"
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
	lastProgress   time.Time // when bytes were last sent, zero when nothing is pending
	stopStallTimer func()
	shutdown       bool // close the connection when nothing is pending
}

func newConnection(l *Listener, conn net.Conn) *connection {
	ctx, cancel := context.WithCancel(context.Background())

	return &connection{l: l, conn: conn, ctx: ctx, cancel: cancel, acceptedAt: l.timers.Now()}
}

// handleClose is called after the connection was closed.
func (c *connection) handleClose() {
	c.cancel()
	c.updateHeaderTimer(false)
	c.output.mu.Lock()
	defer c.output.mu.Unlock()
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
	err := parser.Parse(data)
	inHeader := !c.inputChecker.inBody && !c.inputChecker.completed
	c.inputChecker.headerLines.retain(continued, inHeader)
	c.updateHeaderTimer(inHeader)
	c.receiving.Store(!c.inputChecker.completed || c.inputChecker.begun)
	// Set after receiving, so that a drain never sees the connection as used but idle
	// while its first request is being received.
	c.receivedData.Store(true)
	if e := c.inputChecker.check(data, err, c.l.settings.MaxHeader); e != nil {
		c.invalidInput.Store(true)
		c.discarding.Store(true)
		c.enqueue(&exchange{rejection: e, close: true})
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
			c.invalidInput.Store(true)
			c.discarding.Store(true)
			c.enqueue(&exchange{
				rejection: &rejection{http.StatusRequestTimeout, "the header was not finished in time"}, close: true,
			})
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
		return
	}
	if len(c.queue) >= c.l.settings.MaxPipelined {
		// The caller sends without waiting for responses. Requests that are already
		// queued are still answered.
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
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = c.queue[1:]
	if len(c.queue) > 0 && !e.close && c.ctx.Err() == nil {
		return c.queue[0]
	}
	c.l.active.Add(-int64(len(c.queue)))
	c.queue = nil
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
	c.invalidInput.Store(true)
	c.enqueue(&exchange{close: true, rejection: &rejection{
		http.StatusServiceUnavailable, "the process is stopping",
	}})
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
	c.output.mu.Lock()
	c.output.pending += len(b)
	c.output.mu.Unlock()
	n, err := c.conn.Write(b)
	if err != nil {
		c.cancel()

		return max(n, 0), err //nolint:wrapcheck // the error is that of the wrapped net.Conn
	}
	c.output.mu.Lock()
	defer c.output.mu.Unlock()
	if c.output.pending > 0 && c.output.lastProgress.IsZero() {
		c.output.lastProgress = c.l.timers.Now()
		c.startStallTimer(c.l.settings.StallTimeout)
	}

	return n, nil
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
	if !c.output.lastProgress.IsZero() {
		c.output.lastProgress = c.l.timers.Now()
	}
	if c.output.shutdown && c.output.pending <= 0 {
		go c.shutdown()
	}
}
