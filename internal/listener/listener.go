// Package listener is the HTTP server for callers. It serves completions, streamed or
// not, and plain services, and cancels a request whose caller disconnects while the
// request waits or runs.
//
// A disconnect cannot be detected inside an nbhttp handler: the request's context is
// not cancelled, and Engine.OnClose runs only after the handler has returned. The
// handler therefore reads the body, hijacks the connection and returns. The request
// runs in a goroutine of its own and is cancelled by Engine.OnClose.
package listener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/mempool"
	"github.com/lesismal/nbio/nbhttp"

	"github.com/damasklever/damasklever/internal/dispatcher"
	"github.com/damasklever/damasklever/internal/timer"
)

// stopTimeout limits how long Close waits for the HTTP engine.
const stopTimeout = 2 * time.Second

// Reply is the result of a request.
type Reply struct {
	dispatcher.Outcome
	PromptTokens int64 // number of prompt tokens
	// Allow is the value of the Allow header for status 405.
	Allow string
	// Release frees the memory of the answer. The listener calls it once it has written the
	// answer; it may be nil.
	Release func()
}

func (r Reply) release() {
	if r.Release != nil {
		r.Release()
	}
}

// Backend runs requests. Its methods are called concurrently.
type Backend interface {
	// NewRequestID returns a new request id.
	NewRequestID() string
	// BodyLimit returns the maximum body size in bytes at a path, or 0 for the limit in
	// the settings. A value above that limit has no effect.
	BodyLimit(path string) int64
	// Complete runs a model request. It calls emit for each piece of the output in
	// order. ctx is cancelled when the caller disconnects; Complete returns soon after.
	Complete(ctx context.Context, c *Completion, emit func(text string, tokens int64)) Reply
	// Call runs a call of a plain service.
	Call(ctx context.Context, c *Call) Reply
}

// Listener is the HTTP server for callers.
type Listener struct {
	settings    Settings
	backend     Backend
	timers      timer.Service
	engine      *nbhttp.Engine
	socket      *acceptor
	budgets     budgets
	connections sync.Map // *nbio.Conn to *connection
	draining    atomic.Bool
	active      atomic.Int64 // requests in flight
	done        chan struct{}
	once        sync.Once
}

// New checks the settings and starts to accept connections.
func New(s Settings, b Backend, t timer.Service) (*Listener, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, errors.Newf("check settings of the listener: %w", err)
	}
	// nbio logs in its own format, so its logger is turned off.
	logging.SetLevel(logging.LevelNone)
	held, err := newBudgets(s, t)
	if err != nil {
		return nil, err
	}
	// The parser takes its buffers from this pool.
	mempool.DefaultMemPool = newAllocator()
	l := &Listener{
		settings: s, backend: b, timers: t, budgets: held, done: make(chan struct{}),
	}
	l.engine = nbhttp.NewEngine(nbhttp.Config{
		Name: "listener", Network: "tcp", Addrs: []string{s.Listen}, Listen: l.listen,
		ReadLimit:          int(s.MaxBody) + s.MaxHeader + framingMargin,
		MaxHTTPBodySize:    int(s.MaxBody),
		MaxWriteBufferSize: s.MaxBuffered,
		BodyAllocator:      mempool.DefaultMemPool,
		KeepaliveTime:      s.IdleTimeout,
		// Handlers only queue the request, so a small pool is enough.
		MessageHandlerPoolSize: handlerPoolSize,
		SupportServerOnly:      true,
		Handler:                http.HandlerFunc(l.handle),
	})
	l.engine.OnOpen(l.onOpen)
	l.engine.OnClose(l.onClose)
	l.engine.OnData(l.data)
	l.engine.OnWrittenSize(l.onWritten)
	if err := l.engine.Start(); err != nil {
		return nil, errors.Newf("listen on %s: %w", s.Listen, err)
	}

	return l, nil
}

const (
	// framingMargin is the space for chunk framing in addition to headers and body.
	framingMargin   = 64 << 10
	handlerPoolSize = 64
)

// Addr returns the listen address as "ip:port".
func (l *Listener) Addr() string { return l.socket.Addr().String() }

// Done is closed by Close.
func (l *Listener) Done() <-chan struct{} { return l.done }

// BeginDrain closes each connection after its next response, so that callers and load
// balancers switch to other entries. New connections are still accepted.
func (l *Listener) BeginDrain() { l.draining.Store(true) }

// drainCheckInterval is how often Drain checks whether all connections are closed.
const drainCheckInterval = 20 * time.Millisecond

// Drain stops accepting connections, closes idle ones and waits until every request in
// flight has been answered completely, including requests that are still being received.
// It returns an error if ctx ends first.
func (l *Listener) Drain(ctx context.Context) error {
	_ = l.socket.Close()
	l.draining.Store(true)
	pause := time.NewTicker(drainCheckInterval)
	defer pause.Stop()
	for {
		open := false
		l.connections.Range(func(_, value any) bool {
			if callerConn, ok := value.(*connection); ok {
				open = true
				callerConn.closeIfIdle()
			}

			return true
		})
		if !open && l.active.Load() == 0 {
			return nil
		}
		select {
		case <-pause.C:
		case <-ctx.Done():
			return errors.Newf("wait for requests in flight: %w", ctx.Err())
		}
	}
}

// RejectUnfinished answers requests of which only a part has been received with status 503
// and closes their connections. It is for the end of a drain.
func (l *Listener) RejectUnfinished() {
	l.connections.Range(func(_, value any) bool {
		if callerConn, ok := value.(*connection); ok {
			callerConn.rejectUnfinished()
		}

		return true
	})
}

// Close stops the server and disconnects all callers.
func (l *Listener) Close() {
	l.once.Do(func() {
		l.socket.release()
		l.stopEngine()
		l.connections.Range(func(_, value any) bool {
			if callerConn, ok := value.(*connection); ok {
				callerConn.handleClose()
			}

			return true
		})
		close(l.done)
	})
}

// stopEngine stops the engine and waits for it for at most stopTimeout. In nbio v1.6.8
// Stop can hang: a poller whose goroutine first runs after Stop clears the stop flag and
// waits for events forever, and Stop waits for that poller.
func (l *Listener) stopEngine() {
	stopped := make(chan struct{})
	go func() {
		l.engine.Stop()
		close(stopped)
	}()
	limit := time.NewTimer(stopTimeout)
	defer limit.Stop()
	select {
	case <-stopped:
	case <-limit.C:
	}
}

func (l *Listener) onOpen(c net.Conn) {
	callerConn := newConnection(l, c)
	l.connections.Store(c, callerConn)
	callerConn.becomeIdle()
}

func (l *Listener) onClose(c net.Conn, _ error) {
	if value, ok := l.connections.LoadAndDelete(c); ok {
		if callerConn, ok := value.(*connection); ok {
			callerConn.handleClose()
		}
	}
}

func (l *Listener) connection(c net.Conn) *connection {
	value, _ := l.connections.Load(c)
	callerConn, _ := value.(*connection)

	return callerConn
}

// data replaces nbhttp's data handler, which closes the connection without sending a
// response when the input is malformed or too large.
func (l *Listener) data(c *nbio.Conn, data []byte) {
	callerConn := l.connection(c)
	parser, ok := c.Session().(*nbhttp.Parser)
	if callerConn == nil || !ok {
		_ = c.Close()

		return
	}
	callerConn.receive(parser, data)
}

func (l *Listener) onWritten(c *nbio.Conn, _ []byte, n int) {
	if callerConn := l.connection(c); callerConn != nil {
		callerConn.countSent(n)
	}
}

// handle is the HTTP handler. It hijacks the connection and queues the request.
func (l *Listener) handle(w http.ResponseWriter, r *http.Request) {
	response, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	parser := response.Parser
	conn, _, err := response.Hijack()
	if err != nil {
		return
	}
	wrapped, ok := conn.(*nbhttp.Conn)
	if !ok {
		_ = conn.Close()

		return
	}
	if callerConn := l.connection(wrapped.Conn); callerConn != nil && parser != nil {
		e := newExchange(r)
		e.hold = callerConn.requests.take()
		callerConn.enqueue(e)
		callerConn.queued()
	}
}

func (l *Listener) listen(network, addr string) (net.Listener, error) {
	inner, err := (&net.ListenConfig{}).Listen(context.Background(), network, addr)
	if err != nil {
		return nil, errors.Newf("open socket: %w", err)
	}
	l.socket = &acceptor{Listener: inner, released: make(chan struct{})}

	return l.socket, nil
}
