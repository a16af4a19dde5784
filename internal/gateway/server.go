package gateway

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/damasklever/damasklever/internal/accepter"
	"github.com/damasklever/damasklever/internal/wire"
)

// bounds limits what a caller may send: the size of the request header and body in bytes,
// the time for sending the header, and the idle time of a connection.
type bounds struct {
	header, body               int64
	headerTimeout, idleTimeout time.Duration
}

const (
	defaultHeaderLimit   = 16 << 10
	defaultBodyLimit     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// netHTTPHeaderSlack is what net/http adds to the limit on the header size.
	netHTTPHeaderSlack = 4 << 10
)

// defaultBounds apply before the first plan and where a plan sets no limit.
func defaultBounds() bounds {
	return bounds{header: defaultHeaderLimit, body: defaultBodyLimit, headerTimeout: defaultHeaderTimeout, idleTimeout: defaultIdleTimeout}
}

func boundsOf(b *wire.Bounds) bounds {
	out := defaultBounds()
	if b.GetHeader() > 0 {
		out.header = b.GetHeader()
	}
	if b.GetBody() > 0 {
		out.body = b.GetBody()
	}
	if b.GetHead() > 0 {
		out.headerTimeout = time.Duration(b.GetHead()) * time.Millisecond
	}
	if b.GetIdle() > 0 {
		out.idleTimeout = time.Duration(b.GetIdle()) * time.Millisecond
	}

	return out
}

// ApplyPlan applies the limits of the current plan to new connections. Open connections keep
// theirs.
func (g *Gateway) ApplyPlan() {
	plan := g.s.Plan()
	if plan == nil {
		return
	}
	g.answerTimes.retain(plan.Paths())
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ctx.Err() != nil {
		return
	}
	if next := boundsOf(plan.Bounds()); next != g.bounds {
		g.startServer(next)
	}
}

// startServer starts an HTTP server that serves all new connections. The caller must hold
// mu.
func (g *Gateway) startServer(b bounds) {
	if g.connListener != nil {
		g.connListener.stop()
	}
	g.bounds = b
	g.connListener = newConnListener(g.listener.Addr())
	server := &http.Server{
		Handler:           http.HandlerFunc(g.handle),
		ReadHeaderTimeout: b.headerTimeout,
		IdleTimeout:       b.idleTimeout,
		MaxHeaderBytes:    int(max(b.header-netHTTPHeaderSlack, netHTTPHeaderSlack)),
		ErrorLog:          log.New(io.Discard, "", 0),
		BaseContext:       func(net.Listener) context.Context { return g.requestCtx },
		ConnContext:       withConn,
		ConnState:         g.setConnState,
		// "OPTIONS *" is forwarded like any other request.
		DisableGeneralOptionsHandler: true,
	}
	connListener := g.connListener
	g.servers = append(g.servers, server)
	g.tasks.Add(1)
	go func() {
		defer g.tasks.Done()
		// Serve returns after connListener.stop or Shutdown; open connections are served on.
		_ = server.Serve(connListener)
	}()
}

func (g *Gateway) setConnState(conn net.Conn, state http.ConnState) {
	accepter.SetState(conn, state)
	g.conns.setState(conn, state)
}

// connKey is the key of the caller's connection in the context of a request.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// acceptLoop passes each new connection to the current HTTP server.
func (g *Gateway) acceptLoop() {
	for {
		conn, err := g.listener.Accept()
		if err != nil {
			if g.ctx.Err() != nil || g.leaving.Load() {
				return
			}
			// Accept fails for some time when the process has run out of file descriptors.
			g.s.Log.Warn().Err(err).Msg("failed to accept connection")
			pause := time.NewTimer(acceptRetryDelay)
			<-pause.C

			continue
		}
		g.conns.setState(conn, http.StateNew)
		g.dispatch(conn)
	}
}

// dispatch passes a connection to the current HTTP server, which a new plan may replace in
// the meantime.
func (g *Gateway) dispatch(conn net.Conn) {
	for {
		g.mu.Lock()
		connListener := g.connListener
		g.mu.Unlock()
		if connListener.push(conn) {
			return
		}
		if g.ctx.Err() != nil {
			_ = conn.Close()
			g.conns.setState(conn, http.StateClosed)

			return
		}
	}
}

// connListener is a net.Listener for connections that were accepted elsewhere.
type connListener struct {
	addr    net.Addr
	conns   chan net.Conn
	stopped chan struct{}
	once    sync.Once
}

func newConnListener(addr net.Addr) *connListener {
	return &connListener{addr: addr, conns: make(chan net.Conn), stopped: make(chan struct{})}
}

// push passes a connection to the server. It returns false if the server has ended.
func (l *connListener) push(c net.Conn) bool {
	select {
	case l.conns <- c:
		return true
	case <-l.stopped:
		return false
	}
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.stopped:
		return nil, net.ErrClosed
	}
}

func (l *connListener) stop() { l.once.Do(func() { close(l.stopped) }) }

// Close implements net.Listener.
func (l *connListener) Close() error {
	l.stop()

	return nil
}

// Addr implements net.Listener.
func (l *connListener) Addr() net.Addr { return l.addr }
