package messenger

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/damasklever/damasklever/internal/budgeter"
)

// acceptRetryDelay is the delay before Accept is retried after an error.
const acceptRetryDelay = 50 * time.Millisecond

// Listener accepts sessions and runs a handler for each stream.
type Listener struct {
	inner    net.Listener
	handle   func(ctx context.Context, s *Stream)
	budgets  budgets
	ctx      context.Context //nolint:containedctx // lifetime of the accept loop
	cancel   context.CancelFunc
	done     chan struct{}
	wg       sync.WaitGroup
	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
	closed   bool
}

// Listen accepts sessions on addr, "ip:port", within the default limits.
func Listen(addr string, handle func(ctx context.Context, s *Stream)) (*Listener, error) {
	return ListenWithin(Limits{}, addr, handle)
}

// ListenWithin accepts sessions on addr, "ip:port". The handler of each stream runs in
// its own goroutine. Its context is cancelled when the session or the listener
// ends, and its stream is closed when it returns.
func ListenWithin(limits Limits, addr string, handle func(ctx context.Context, s *Stream)) (*Listener, error) {
	held, err := newBudgets(limits)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	inner, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
	if err != nil {
		cancel()

		return nil, errors.Newf("listen on %s: %w", addr, err)
	}
	l := &Listener{
		inner: inner, handle: handle, budgets: held, ctx: ctx, cancel: cancel,
		done: make(chan struct{}), sessions: make(map[*yamux.Session]struct{}),
	}
	l.wg.Add(1)
	go l.acceptLoop()

	return l, nil
}

// Addr returns the address that the listener listens on, "ip:port".
func (l *Listener) Addr() string { return l.inner.Addr().String() }

// Done returns a channel that is closed when all handlers have returned after
// Close.
func (l *Listener) Done() <-chan struct{} { return l.done }

// Close stops accepting, closes all sessions and waits for the handlers.
func (l *Listener) Close() error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		<-l.done

		return nil
	}
	l.closed = true
	l.cancel()
	err := l.inner.Close()
	for session := range l.sessions {
		_ = session.Close()
	}
	l.mu.Unlock()
	l.wg.Wait()
	close(l.done)
	if err != nil {
		return errors.Newf("close listener: %w", err)
	}

	return nil
}

func (l *Listener) acceptLoop() {
	defer l.wg.Done()
	for {
		conn, err := l.inner.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Temporary error, for example no free file descriptors.
			select {
			case <-time.After(acceptRetryDelay):
			case <-l.ctx.Done():
			}

			continue
		}
		l.startSession(conn)
	}
}

func (l *Listener) startSession(conn net.Conn) {
	hold := l.budgets.admitSession(conn)
	if hold == nil {
		return
	}
	session, err := yamux.Server(conn, yamuxConfig())
	if err != nil {
		hold.Close()
		_ = conn.Close()

		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		hold.Close()
		_ = session.Close()

		return
	}
	l.sessions[session] = struct{}{}
	l.wg.Add(1)
	go l.serveSession(session, hold)
}

func (l *Listener) serveSession(session *yamux.Session, hold *budgeter.Hold) {
	defer l.wg.Done()
	defer hold.Close()
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	for {
		inner, err := session.AcceptStream()
		if err != nil {
			break
		}
		held := l.budgets.admitStream(inner, hold)
		if held == nil {
			_ = abort(inner)

			continue
		}
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			defer held.close()
			stream := newStream(inner, held)
			defer func() { _ = stream.Close() }()
			l.handle(ctx, stream)
		}()
	}
	l.mu.Lock()
	delete(l.sessions, session)
	l.mu.Unlock()
	_ = session.Close()
}
