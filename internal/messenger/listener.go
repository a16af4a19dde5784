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
	inner  net.Listener
	handle func(ctx context.Context, s *Stream)
	ctx    context.Context //nolint:containedctx // it is the lifetime of the accept loop
	cancel context.CancelFunc
	done   chan struct{}
	work   sync.WaitGroup
	mu     sync.Mutex
	live   map[*yamux.Session]struct{}
	closed bool
}

// Listen accepts on addr, "ip:port". Each stream's handler runs in its own
// goroutine; its context ends with the session or the listener, and its stream
// is closed when it returns.
func Listen(addr string, handle func(ctx context.Context, s *Stream)) (*Listener, error) {
	ctx, cancel := context.WithCancel(context.Background())
	inner, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
	if err != nil {
		cancel()

		return nil, errors.Newf("listen on %s: %w", addr, err)
	}
	l := &Listener{
		inner: inner, handle: handle, ctx: ctx, cancel: cancel,
		done: make(chan struct{}), live: make(map[*yamux.Session]struct{}),
	}
	l.work.Add(1)
	go l.accept()

	return l, nil
}

// Addr returns the address it listens on, "ip:port".
func (l *Listener) Addr() string { return l.inner.Addr().String() }

// Done is closed when every handler has returned after Close.
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
	for session := range l.live {
		_ = session.Close()
	}
	l.mu.Unlock()
	l.work.Wait()
	close(l.done)
	if err != nil {
		return errors.Newf("close listener: %w", err)
	}

	return nil
}

func (l *Listener) accept() {
	defer l.work.Done()
	for {
		conn, err := l.inner.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Accept fails for a while when file descriptors run out.
			continue
		}
		l.start(conn)
	}
}

func (l *Listener) start(conn net.Conn) {
	session, err := yamux.Server(conn, settings())
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
	l.live[session] = struct{}{}
	l.work.Add(1)
	go l.serve(session)
}

func (l *Listener) serve(session *yamux.Session) {
	defer l.work.Done()
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	for {
		inner, err := session.AcceptStream()
		if err != nil {
			break
		}
		l.work.Add(1)
		go func() {
			defer l.work.Done()
			stream := newStream(inner)
			defer func() { _ = stream.Close() }()
			l.handle(ctx, stream)
		}()
	}
	l.mu.Lock()
	delete(l.live, session)
	l.mu.Unlock()
	_ = session.Close()
}
