package messenger

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
)

// Listener accepts sessions and runs a handler for each stream.
type Listener struct {
	inner    net.Listener
	handle   func(ctx context.Context, s *Stream)
	ctx      context.Context //nolint:containedctx // lifetime of the accept loop
	cancel   context.CancelFunc
	done     chan struct{}
	wg       sync.WaitGroup
	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
	closed   bool
}

// Listen accepts sessions on addr, "ip:port". The handler of each stream runs in
// its own goroutine. Its context is cancelled when the session or the listener
// ends, and its stream is closed when it returns.
func Listen(addr string, handle func(ctx context.Context, s *Stream)) (*Listener, error) {
	ctx, cancel := context.WithCancel(context.Background())
	inner, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
	if err != nil {
		cancel()

		return nil, errors.Newf("listen on %s: %w", addr, err)
	}
	l := &Listener{
		inner: inner, handle: handle, ctx: ctx, cancel: cancel,
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
			continue
		}
		l.startSession(conn)
	}
}

func (l *Listener) startSession(conn net.Conn) {
	session, err := yamux.Server(conn, yamuxConfig())
	if err != nil {
		_ = conn.Close()

		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = session.Close()

		return
	}
	l.sessions[session] = struct{}{}
	l.wg.Add(1)
	go l.serveSession(session)
}

func (l *Listener) serveSession(session *yamux.Session) {
	defer l.wg.Done()
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	for {
		inner, err := session.AcceptStream()
		if err != nil {
			break
		}
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			stream := newStream(inner)
			defer func() { _ = stream.Close() }()
			l.handle(ctx, stream)
		}()
	}
	l.mu.Lock()
	delete(l.sessions, session)
	l.mu.Unlock()
	_ = session.Close()
}
