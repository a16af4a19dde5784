// Package accepter accepts callers' connections within the budgets of their process. The load it
// answers are callers with many connections that send no request, or heads that do not end or
// consist of very many lines.
//
// A connection counts with its buffers, and with what the head of its request takes once it is
// parsed. While it is served it is never closed for others; while it waits for a request or for the
// rest of a head it may have to give way.
package accepter

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/budgeter"
)

const (
	// connBytes is what a connection takes: its goroutine and its buffers.
	connBytes = 16 << 10
	// A line of a head takes headLineBytes beside its text, which is copied.
	headLineBytes = 192
	headByteCost  = 2
	// socketBytes is the size of each of the two buffers of a socket. What callers send behind a
	// request that is being served, or do not read, is held there and not counted.
	socketBytes = 128 << 10
)

// Listener accepts connections of callers.
type Listener struct {
	net.Listener
	bytes, conns *budgeter.Budget
}

// New returns a listener that counts the connections of l: their bytes in one budget, their number
// in the other.
func New(l net.Listener, bytes, conns *budgeter.Budget) *Listener {
	return &Listener{Listener: l, bytes: bytes, conns: conns}
}

// Accept implements net.Listener. It closes the connections for which nothing is left.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // net.Listener
		}
		tcp, ok := raw.(*net.TCPConn)
		if !ok {
			return raw, nil
		}
		c := &Conn{TCPConn: tcp}
		c.inHead.Store(true)
		c.slot, c.held = l.conns.Open(c.giveWay), l.bytes.Open(c.giveWay)
		if c.slot.Grow(1) == nil && c.held.Grow(connBytes) == nil && tcp.SetReadBuffer(socketBytes) == nil && tcp.SetWriteBuffer(socketBytes) == nil {
			return c, nil
		}
		_ = c.Close()
	}
}

// Configure makes a server that has no such functions itself keep the states of its connections. A
// handler that reads a body calls Whole after it.
func Configure(s *http.Server) {
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		interrupt := func() { _ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) }
		if c := FromContext(r.Context()); c != nil && (c.Begin(interrupt) != nil || r.Body == http.NoBody && c.Whole() != nil) {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	})
	s.ConnContext = WithConn
	s.ConnState = SetState
}

type connKey struct{}

// WithConn returns a context with a connection, for http.Server.ConnContext.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// FromContext returns the connection of a request, nil if it is none of a Listener.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)

	return c
}

// SetState notes that a connection waits for its next request, for http.Server.ConnState.
func SetState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*Conn); ok && state == http.StateIdle {
		c.end()
	}
}

// Conn is a connection of a caller.
type Conn struct {
	*net.TCPConn
	slot, held *budgeter.Hold
	inHead     atomic.Bool
	head       int64 // bytes counted for the head of the request
	release    sync.Once

	mu        sync.Mutex
	interrupt func() // ends the reading of a body, nil while none arrives
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 {
		return n, err //nolint:wrapcheck // net.Conn
	}
	if !c.inHead.Load() {
		c.slot.Arrived(int64(n))
		c.held.Arrived(int64(n))

		return n, err //nolint:wrapcheck // net.Conn
	}
	if c.head == 0 {
		c.slot.Renew()
		c.held.Renew()
	}
	cost := int64(n)*headByteCost + int64(bytes.Count(p[:n], []byte{'\n'}))*headLineBytes
	if full := c.held.Grow(cost); full != nil {
		_ = c.Close()

		return 0, errors.Newf("read head: %w", full)
	}
	c.head += cost

	return n, err //nolint:wrapcheck // net.Conn
}

// Begin notes that the head of a request has arrived. It returns an error if the connection was
// closed for others before. Until Whole the connection may have to give way: then interrupt is
// called, which ends the reading of the body.
func (c *Conn) Begin(interrupt func()) error {
	c.inHead.Store(false)
	c.mu.Lock()
	c.interrupt = interrupt
	c.mu.Unlock()
	for _, h := range []*budgeter.Hold{c.slot, c.held} {
		if err := h.Dropped(); err != nil {
			return errors.Newf("begin request: %w", err)
		}
		h.Renew()
	}

	return nil
}

// Whole notes that the whole request has arrived, so that the connection no longer gives way. It
// returns an error if it had to before.
func (c *Conn) Whole() error {
	for _, h := range []*budgeter.Hold{c.slot, c.held} {
		if err := h.Complete(); err != nil {
			return errors.Newf("serve request: %w", err)
		}
	}

	return nil
}

// giveWay closes the connection, or ends the reading of the body that arrives on it.
func (c *Conn) giveWay(error) {
	c.mu.Lock()
	interrupt := c.interrupt
	c.mu.Unlock()
	if interrupt != nil {
		interrupt()

		return
	}
	_ = c.TCPConn.Close()
}

// end notes that the connection waits for its next request, or closes it if it had to give way
// before: it is no longer counted.
func (c *Conn) end() {
	c.mu.Lock()
	c.interrupt = nil
	c.mu.Unlock()
	c.held.Shrink(c.head)
	c.head = 0
	c.inHead.Store(true)
	c.slot.Reopen()
	c.held.Reopen()
	if c.slot.Dropped() != nil || c.held.Dropped() != nil {
		_ = c.Close()
	}
}

// Linger reads on for some time after the last answer, so that a caller who still sends can read
// it: closing a connection with unread bytes resets it.
func (c *Conn) Linger(wait time.Duration) {
	if c.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(wait)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.TCPConn)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.TCPConn.Close()
	c.release.Do(func() {
		c.slot.Close()
		c.held.Close()
	})

	return err //nolint:wrapcheck // net.Conn
}
