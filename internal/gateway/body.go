package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/accepter"
	"github.com/damasklever/damasklever/internal/budgeter"
	"github.com/damasklever/damasklever/internal/drainer"
)

const (
	// requestBytes is what a request takes beside its bodies: its goroutines, its state, its
	// connection to a server and the buffer for a response that is passed on as it arrives.
	requestBytes = 32 << 10
	// lingerTime is how long a caller that is refused while it sends has to read the answer.
	lingerTime = time.Second
)

const reasonNoMemory = "no memory left for callers"

// begin starts to serve a request on its connection. It returns false if the connection has been
// closed meanwhile.
func (f *forwarder) begin() bool {
	conn, ok := f.r.Context().Value(connKey{}).(net.Conn)
	if !ok {
		return true
	}
	if f.conn, ok = conn.(*accepter.Conn); ok && f.conn.Begin(f.interruptBody) != nil {
		return false
	}

	return !f.g.conns.isDisconnected(conn)
}

// takeBody notes that the body is whole. It returns an error if the request had to give way before.
func (f *forwarder) takeBody() error {
	if f.conn != nil {
		if err := f.conn.Whole(); err != nil {
			return errors.Newf("take body: %w", err)
		}
	}

	return f.held.Complete() //nolint:wrapcheck // compared by its cause
}

// hold opens what the request holds. The returned function closes it.
func (f *forwarder) hold() func() {
	f.held = f.g.s.Budget.Open(func(error) { f.interruptBody() })
	f.held.SetTimeout(f.g.bodyTimeout())

	return f.held.Close
}

// interruptBody ends a read of the request's body, and those that follow.
func (f *forwarder) interruptBody() {
	_ = http.NewResponseController(f.w).SetReadDeadline(time.Unix(1, 0))
}

// readBody reads the body of the request. It answers requests whose body is not taken and returns
// false for them. None of them has run.
func (f *forwarder) readBody(limit int64) bool {
	err := f.held.Grow(requestBytes)
	if err == nil {
		f.body, err = f.held.ReadAll(f.r.Body, f.r.ContentLength, limit)
	}
	if taken := f.takeBody(); taken != nil {
		err = taken // the cause with which the body was interrupted
	}
	switch {
	case err == nil:
		return true
	case errors.Is(err, budgeter.ErrTooLarge):
		f.refuseBody(func() { f.fail(http.StatusRequestEntityTooLarge, err.Error()) })
	case errors.Is(err, budgeter.ErrStalled):
		f.refuseBody(func() {
			f.refuseStatus(http.StatusRequestTimeout, "the body made no progress in time", f.g.s.RetryAfter)
		})
	case errors.Is(err, budgeter.ErrFull), errors.Is(err, budgeter.ErrDropped):
		f.refuseBody(func() { f.refuse(reasonNoMemory, f.g.s.RetryAfter) })
	case errors.Is(context.Cause(f.r.Context()), drainer.ErrStopping):
		f.refuse(reasonStopping, f.g.s.RetryAfter)
	default:
		f.fail(http.StatusBadRequest, "the body cannot be read")
	}

	return false
}

// refuseBody answers a request whose body may still be arriving, and closes its connection so that
// the caller can read the answer.
func (f *forwarder) refuseBody(answer func()) {
	f.body = nil
	f.held.Close()
	f.interruptBody()
	f.w.Header().Set("Connection", "close")
	answer()
	if f.conn != nil && f.r.Body != http.NoBody {
		f.conn.Linger(lingerTime)
	}
}

// bodyTimeout is how long a body may make no progress.
func (g *Gateway) bodyTimeout() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.bounds.idleTimeout
}
