package gateway

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

// bounds limit what a caller may send.
type bounds struct {
	header, body int64
	head, idle   time.Duration
}

const (
	standardHeader = 16 << 10
	standardBody   = 4 << 20
	standardHead   = 3 * time.Second
	standardIdle   = 15 * time.Second
	// headSlack is what net/http adds to the header limit by itself.
	headSlack = 4 << 10
)

// standardBounds hold before the first plan and where a plan says nothing.
func standardBounds() bounds {
	return bounds{header: standardHeader, body: standardBody, head: standardHead, idle: standardIdle}
}

func boundsOf(b *wire.Bounds) bounds {
	out := standardBounds()
	if b.GetHeader() > 0 {
		out.header = b.GetHeader()
	}
	if b.GetBody() > 0 {
		out.body = b.GetBody()
	}
	if b.GetHead() > 0 {
		out.head = time.Duration(b.GetHead()) * time.Millisecond
	}
	if b.GetIdle() > 0 {
		out.idle = time.Duration(b.GetIdle()) * time.Millisecond
	}

	return out
}

// Follow applies the limits of the plan in force to new connections. Connections
// that are open keep theirs.
func (g *Gateway) Follow() {
	plan := g.s.Plan()
	if plan == nil || g.ctx.Err() != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if next := boundsOf(plan.Bounds()); next != g.bounds {
		g.serve(next)
	}
}

// serve starts an HTTP server that takes the connections from now on. It needs
// the lock.
func (g *Gateway) serve(b bounds) {
	if g.feed != nil {
		g.feed.end()
	}
	g.bounds = b
	g.feed = newFeed(g.accept.Addr())
	server := &http.Server{
		Handler:           http.HandlerFunc(g.take),
		ReadHeaderTimeout: b.head,
		IdleTimeout:       b.idle,
		MaxHeaderBytes:    int(max(b.header-headSlack, headSlack)),
		ErrorLog:          log.New(io.Discard, "", 0),
		BaseContext:       func(net.Listener) context.Context { return g.ctx },
		ConnState:         g.conns.follow,
		// "OPTIONS *" is a request like any other.
		DisableGeneralOptionsHandler: true,
	}
	feed := g.feed
	g.servers = append(g.servers, server)
	g.work.Add(1)
	go func() {
		defer g.work.Done()
		// It ends with the feed or by Shutdown; the connections live on.
		_ = server.Serve(feed)
	}()
}

// acceptAll hands each connection to the server in use.
func (g *Gateway) acceptAll() {
	for {
		conn, err := g.accept.Accept()
		if err != nil {
			if g.ctx.Err() != nil || g.leaving.Load() {
				return
			}
			// Accept fails for a while when file descriptors run out.
			g.s.Log.Warn().Err(err).Msg("connection not accepted")
			pause := time.NewTimer(drainPause)
			<-pause.C

			continue
		}
		g.conns.follow(conn, http.StateNew)
		g.hand(conn)
	}
}

// hand gives a connection to the server in use, which a new plan may replace
// meanwhile.
func (g *Gateway) hand(conn net.Conn) {
	for {
		g.mu.Lock()
		feed := g.feed
		g.mu.Unlock()
		if feed.push(conn) {
			return
		}
		if g.ctx.Err() != nil {
			_ = conn.Close()
			g.conns.follow(conn, http.StateClosed)

			return
		}
	}
}

// feed is a listener whose connections are accepted elsewhere.
type feed struct {
	addr  net.Addr
	conns chan net.Conn
	ended chan struct{}
	once  sync.Once
}

func newFeed(addr net.Addr) *feed {
	return &feed{addr: addr, conns: make(chan net.Conn), ended: make(chan struct{})}
}

// push reports whether the server took the connection; it may have ended.
func (f *feed) push(c net.Conn) bool {
	select {
	case f.conns <- c:
		return true
	case <-f.ended:
		return false
	}
}

// Accept implements net.Listener.
func (f *feed) Accept() (net.Conn, error) {
	select {
	case c := <-f.conns:
		return c, nil
	case <-f.ended:
		return nil, net.ErrClosed
	}
}

func (f *feed) end() { f.once.Do(func() { close(f.ended) }) }

// Close implements net.Listener.
func (f *feed) Close() error {
	f.end()

	return nil
}

// Addr implements net.Listener.
func (f *feed) Addr() net.Addr { return f.addr }
