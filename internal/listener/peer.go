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

// lingerTime is how long input is read and dropped after the last response on
// a connection. Closing at once would reset the connection while the caller
// still sends, and could destroy the response on its way.
const lingerTime = 700 * time.Millisecond

// peer is one connection of a caller. Its requests run one after the other, so
// that responses to pipelined requests keep their order.
type peer struct {
	l      *Listener
	conn   net.Conn
	ctx    context.Context //nolint:containedctx // it is the lifetime of the connection
	cancel context.CancelFunc

	input input // used by the poller only

	begun time.Time   // when the connection was accepted
	used  atomic.Bool // a request has arrived, at least in part

	dropping atomic.Bool  // input is read and dropped
	partial  atomic.Bool  // a request is being received
	arriving atomic.Int64 // requests received whole that are not in the queue yet
	faulty   atomic.Bool  // input ended with a fault, so the caller may still send
	unframed atomic.Bool  // the end of the last response is that of the connection

	mu    sync.Mutex
	queue []*exchange // the first one is running
	last  bool        // no request after those in the queue
	// header stops the time for the header that is being received, nil if none is.
	header func()

	out out
}

// out follows the bytes that wait for a slow caller.
type out struct {
	mu       sync.Mutex
	pending  int
	progress time.Time // of the last write, zero when nothing is pending
	stop     func()
	shut     bool // half-close when nothing is pending
}

func newPeer(l *Listener, conn net.Conn) *peer {
	ctx, cancel := context.WithCancel(context.Background())

	return &peer{l: l, conn: conn, ctx: ctx, cancel: cancel, begun: l.timers.Now()}
}

// gone is called after the connection is closed.
func (p *peer) gone() {
	p.cancel()
	p.bound(false)
	p.out.mu.Lock()
	defer p.out.mu.Unlock()
	if p.out.stop != nil {
		p.out.stop()
	}
}

// read parses input. A fault is answered in its turn and ends the connection.
func (p *peer) read(parser *nbhttp.Parser, data []byte) {
	if p.dropping.Load() {
		return
	}
	p.partial.Store(true) // these bytes have left the kernel's buffer
	p.input.attach(p, parser)
	kept := p.input.heading > 0
	p.input.lines.feed(data, kept)
	p.input.heading += len(data)
	p.input.completed = false
	err := parser.Parse(data)
	heading := !p.input.inBody && !p.input.completed
	p.input.lines.settle(kept, heading)
	p.bound(heading)
	p.partial.Store(!p.input.completed)
	p.used.Store(true) // after partial, so that a drain sees one or the other
	if f := p.input.verdict(data, err, p.l.settings.Header); f != nil {
		p.faulty.Store(true)
		p.dropping.Store(true)
		p.enqueue(&exchange{fault: f, close: true})
	}
}

// bound ends a connection whose header takes too long, from its first byte on.
func (p *peer) bound(heading bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case heading && p.header == nil && p.ctx.Err() == nil:
		p.header = p.l.timers.After(p.l.settings.Head, func(time.Time) {
			p.faulty.Store(true)
			p.dropping.Store(true)
			p.enqueue(&exchange{
				fault: &fault{http.StatusRequestTimeout, "the header was not finished in time"}, close: true,
			})
		})
	case !heading && p.header != nil:
		p.header()
		p.header = nil
	}
}

// enqueue runs an exchange after those that came before it.
func (p *peer) enqueue(e *exchange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last {
		return
	}
	if len(p.queue) >= p.l.settings.Pipeline {
		// The caller doesn't wait for responses; it gets those it asked for.
		e = &exchange{close: true, fault: &fault{
			http.StatusTooManyRequests, "too many requests wait on this connection",
		}}
		p.faulty.Store(true)
	}
	if e.close {
		p.last = true
		p.dropping.Store(true)
	}
	p.l.active.Add(1)
	p.queue = append(p.queue, e)
	if len(p.queue) == 1 {
		_ = p.conn.SetReadDeadline(time.Time{})
		go p.run(e)
	}
}

// run serves exchanges until the queue is empty.
func (p *peer) run(e *exchange) {
	for e != nil {
		p.l.serve(p, e)
		e = p.next(e)
	}
}

// next ends an exchange and returns the one after it.
func (p *peer) next(e *exchange) *exchange {
	defer p.l.active.Add(-1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue = p.queue[1:]
	if len(p.queue) > 0 && !e.close && p.ctx.Err() == nil {
		return p.queue[0]
	}
	p.l.active.Add(-int64(len(p.queue)))
	p.queue = nil
	if e.close {
		p.last = true
		p.unframed.Store(e.old)
		p.hangUp()

		return nil
	}
	_ = p.conn.SetReadDeadline(time.Now().Add(p.l.settings.Idle))

	return nil
}

// freshTime is how long a drain waits for the first request of a connection. Its
// bytes may be on their way: callers send them right after they have connected.
const freshTime = time.Second

// closeIdle closes the connection if no request is running or being received,
// and the first one has had time to arrive.
func (p *peer) closeIdle() {
	if !p.used.Load() && p.l.timers.Now().Sub(p.begun) < freshTime {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) == 0 && !p.last && !p.partial.Load() && p.arriving.Load() == 0 {
		p.last = true
		p.hangUp()
	}
}

// hangUp closes the connection after its output has been sent. p.mu is held.
func (p *peer) hangUp() {
	p.dropping.Store(true)
	p.out.mu.Lock()
	p.out.shut = true
	empty := p.out.pending <= 0
	p.out.mu.Unlock()
	if empty {
		p.shut()
	}
}

// closeTime is how long a caller has to close a connection whose last response
// said that it ends.
const closeTime = 500 * time.Millisecond

// shut closes the connection, after a while if the caller may still be sending.
//
// The caller is left to close it first where that is possible: nbio v1.6.8 finds
// the connection of an event by its file descriptor. If both sides close at the
// same time, an event of this connection that the poller has fetched already
// would close the next one that was accepted with its descriptor.
func (p *peer) shut() {
	switch {
	case p.faulty.Load():
		_ = p.conn.SetReadDeadline(time.Now().Add(lingerTime))
	case p.unframed.Load() || p.l.accept == nil || p.l.accept.shut.Load():
		// Nothing is accepted during a drain, so no descriptor is used again.
		_ = p.conn.Close()
	default:
		_ = p.conn.SetReadDeadline(time.Now().Add(closeTime))
	}
}

// Write sends bytes to the caller, in the background if it is slow.
func (p *peer) Write(b []byte) (int, error) {
	p.out.mu.Lock()
	p.out.pending += len(b)
	p.out.mu.Unlock()
	n, err := p.conn.Write(b)
	if err != nil {
		p.cancel()

		return max(n, 0), err //nolint:wrapcheck // io.Writer passes errors on
	}
	p.out.mu.Lock()
	defer p.out.mu.Unlock()
	if p.out.pending > 0 && p.out.progress.IsZero() {
		p.out.progress = p.l.timers.Now()
		p.watch(p.l.settings.Stall)
	}

	return n, nil
}

// watch checks after d that the caller has read something. p.out.mu is held.
func (p *peer) watch(d time.Duration) {
	p.out.stop = p.l.timers.After(d, func(now time.Time) {
		p.out.mu.Lock()
		defer p.out.mu.Unlock()
		p.out.stop = nil
		if p.out.pending <= 0 {
			p.out.progress = time.Time{}

			return
		}
		left := p.l.settings.Stall - now.Sub(p.out.progress)
		if left > 0 {
			p.watch(left)

			return
		}
		go func() { _ = p.conn.Close() }()
	})
}

// wrote counts sent bytes. The engine holds the connection's lock here.
func (p *peer) wrote(n int) {
	p.out.mu.Lock()
	defer p.out.mu.Unlock()
	p.out.pending -= n
	if !p.out.progress.IsZero() {
		p.out.progress = p.l.timers.Now()
	}
	if p.out.shut && p.out.pending <= 0 {
		go p.shut()
	}
}
