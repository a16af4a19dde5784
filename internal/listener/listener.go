// Package listener serves callers over HTTP: completions, streamed or not, and
// plain services. It notices a caller that disconnects while its request waits
// or runs.
//
// Inside an nbhttp handler a disconnection isn't noticed: the request's context
// isn't cancelled and Engine.OnClose runs only after the handler returned. So
// the handler reads the body, hijacks the connection and returns; the request
// runs in a goroutine of its own and is cancelled from Engine.OnClose.
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
	"github.com/lesismal/nbio/nbhttp"

	"github.com/damasklever/damasklever/internal/dispatcher"
	"github.com/damasklever/damasklever/internal/timer"
)

// stopTimeout bounds the wait for the HTTP engine in Close.
const stopTimeout = 2 * time.Second

// Reply is the end of a request.
type Reply struct {
	dispatcher.Outcome
	Prompt int64 // prompt tokens
	// Allow lists the methods of a path, for status 405.
	Allow string
}

// Backend carries out requests. Its methods are called from many goroutines.
type Backend interface {
	// ID returns a new request id.
	ID() string
	// Limit returns the most bytes of a body at a path, 0 for the setting.
	Limit(path string) int64
	// Complete runs a model request. It calls emit for each piece of the answer
	// in order, and ends soon after ctx, which ends when the caller disconnects.
	Complete(ctx context.Context, c *Completion, emit func(text string, tokens int64)) Reply
	// Call runs a call of a plain service.
	Call(ctx context.Context, c *Call) Reply
}

// Listener serves callers.
type Listener struct {
	settings Settings
	backend  Backend
	timers   timer.Service
	engine   *nbhttp.Engine
	accept   *gate
	peers    sync.Map // *nbio.Conn to *peer
	draining atomic.Bool
	active   atomic.Int64 // requests in flight
	done     chan struct{}
	once     sync.Once
}

// New starts to accept callers.
func New(s Settings, b Backend, t timer.Service) (*Listener, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, errors.Newf("check settings of the listener: %w", err)
	}
	// nbio logs in a format of its own.
	logging.SetLevel(logging.LevelNone)
	l := &Listener{
		settings: s, backend: b, timers: t, done: make(chan struct{}),
	}
	l.engine = nbhttp.NewEngine(nbhttp.Config{
		Name: "listener", Network: "tcp", Addrs: []string{s.Listen}, Listen: l.listen,
		ReadLimit:          int(s.Body) + s.Header + readSlack,
		MaxHTTPBodySize:    int(s.Body),
		MaxWriteBufferSize: s.Buffer,
		KeepaliveTime:      s.Idle,
		// Handlers only pass the request on, so few goroutines are enough.
		MessageHandlerPoolSize: handlerPool,
		SupportServerOnly:      true,
		Handler:                http.HandlerFunc(l.take),
	})
	l.engine.OnOpen(l.opened)
	l.engine.OnClose(l.closed)
	l.engine.OnData(l.data)
	l.engine.OnWrittenSize(l.written)
	if err := l.engine.Start(); err != nil {
		return nil, errors.Newf("listen on %s: %w", s.Listen, err)
	}

	return l, nil
}

const (
	// readSlack is room for chunk framing besides headers and body.
	readSlack   = 64 << 10
	handlerPool = 64
)

// Addr returns the address that callers reach, "ip:port".
func (l *Listener) Addr() string { return l.accept.Addr().String() }

// Done is closed by Close.
func (l *Listener) Done() <-chan struct{} { return l.done }

// Leave ends each connection after its next response, so that callers and
// balancers move elsewhere. New connections are still accepted.
func (l *Listener) Leave() { l.draining.Store(true) }

// drainPause is the time between checks for the end of a drain.
const drainPause = 20 * time.Millisecond

// Drain stops accepting connections, closes idle ones and waits until every
// request under way, also one that is still being received, has its whole
// response. It returns the error of ctx if that ends first.
func (l *Listener) Drain(ctx context.Context) error {
	_ = l.accept.Close()
	l.draining.Store(true)
	pause := time.NewTicker(drainPause)
	defer pause.Stop()
	for {
		open := false
		l.peers.Range(func(_, value any) bool {
			if p, ok := value.(*peer); ok {
				open = true
				p.closeIdle()
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

// Close disconnects all callers.
func (l *Listener) Close() {
	l.once.Do(func() {
		l.accept.release()
		l.stopEngine()
		l.peers.Range(func(_, value any) bool {
			if p, ok := value.(*peer); ok {
				p.gone()
			}

			return true
		})
		close(l.done)
	})
}

// stopEngine waits for the engine with a bound. A poller of nbio v1.6.8 whose
// goroutine first runs after Stop clears the stop flag and waits for events for
// ever, which Stop then waits for.
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

func (l *Listener) opened(c net.Conn) {
	l.peers.Store(c, newPeer(l, c))
}

func (l *Listener) closed(c net.Conn, _ error) {
	if value, ok := l.peers.LoadAndDelete(c); ok {
		if p, ok := value.(*peer); ok {
			p.gone()
		}
	}
}

func (l *Listener) peer(c net.Conn) *peer {
	value, _ := l.peers.Load(c)
	p, _ := value.(*peer)

	return p
}

// data replaces nbhttp's data handler, which closes the connection without a
// response when the input is malformed or too long.
func (l *Listener) data(c *nbio.Conn, data []byte) {
	p := l.peer(c)
	parser, ok := c.Session().(*nbhttp.Parser)
	if p == nil || !ok {
		_ = c.Close()

		return
	}
	p.read(parser, data)
}

func (l *Listener) written(c *nbio.Conn, _ []byte, n int) {
	if p := l.peer(c); p != nil {
		p.wrote(n)
	}
}

// take is the HTTP handler.
func (l *Listener) take(w http.ResponseWriter, r *http.Request) {
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
	if p := l.peer(wrapped.Conn); p != nil && parser != nil {
		p.enqueue(newExchange(r))
		p.arriving.Add(-1)
	}
}

func (l *Listener) listen(network, addr string) (net.Listener, error) {
	inner, err := (&net.ListenConfig{}).Listen(context.Background(), network, addr)
	if err != nil {
		return nil, errors.Newf("open socket: %w", err)
	}
	l.accept = &gate{Listener: inner, open: make(chan struct{})}

	return l.accept, nil
}
