// Package requester sends HTTP/1.1 requests to backend servers over persistent connections.
// It never retries a request, reports whether any byte of a failed request may have been
// sent, and returns a response only if it belongs to the request.
package requester

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/inspector"
)

// ErrNotSent marks a failure before the first byte of the request was sent, so the server
// cannot have run the request.
var ErrNotSent = errors.New("the request was not sent")

const (
	// defaultConnectTimeout leaves time to retransmit one lost SYN within a region, but
	// avoids the seconds that an unreachable host would take.
	defaultConnectTimeout = 400 * time.Millisecond
	// defaultIdleTimeout applies if the server announces no Keep-Alive timeout.
	defaultIdleTimeout = time.Second
	// idleMargin is subtracted from the idle timeout that a server announces, so that the
	// server does not close the connection while a request is in transit.
	idleMargin = time.Second
	// probeInterval and probeCount configure TCP keep-alive, which detects a peer that has
	// gone without a reset.
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
	bufferSize    = 4 << 10
	// maxResponseHeads is the maximum number of response heads read for one request,
	// including interim responses and responses to other requests.
	maxResponseHeads = 4
	// maxSkippedBytes is the maximum body size of a skipped response.
	maxSkippedBytes = 1 << 20
)

// Settings configures a Requester.
type Settings struct {
	// ConnectTimeout is the maximum time to open a connection.
	ConnectTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept if the server announces no
	// timeout.
	IdleTimeout time.Duration
	// Matches reports whether a response belongs to the request. On a reused connection it may
	// be a late copy of the response to an earlier request. If nil, all match.
	Matches func(sent, received http.Header, reused bool) bool
}

// Defaults sets zero fields to their default values.
func (s *Settings) Defaults() {
	if s.ConnectTimeout == 0 {
		s.ConnectTimeout = defaultConnectTimeout
	}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = defaultIdleTimeout
	}
	if s.Matches == nil {
		s.Matches = func(_, _ http.Header, _ bool) bool { return true }
	}
}

// Validate checks that no duration is negative.
func (s *Settings) Validate() error {
	if s.ConnectTimeout < 0 || s.IdleTimeout < 0 {
		return errors.New("requester settings: ConnectTimeout and IdleTimeout must not be negative")
	}

	return nil
}

// Requester sends requests and keeps idle connections. It is safe for concurrent use.
type Requester struct {
	s    Settings
	done chan struct{}
	once sync.Once

	mu     sync.Mutex
	idle   map[string][]*serverConn // by address, most recently used last
	opened uint64
}

// errHeadTooLarge is returned if the head of a response exceeds inspector.MaxHeadBytes.
var errHeadTooLarge = errors.New("the head of the response exceeds the size limit")

// serverConn is a connection to a backend server.
type serverConn struct {
	*inspector.Conn
	reader      *bufio.Reader
	source      *connReader
	lastUsed    time.Time
	idleTimeout time.Duration
	reused      bool // it has carried a request before
}

// New returns a Requester without open connections.
func New(s Settings) (*Requester, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}

	return &Requester{s: s, idle: make(map[string][]*serverConn), done: make(chan struct{})}, nil
}

// Close closes the idle connections. Connections in use are closed when their responses
// end.
func (rq *Requester) Close() {
	rq.once.Do(func() {
		rq.mu.Lock()
		defer rq.mu.Unlock()
		close(rq.done)
		for _, conns := range rq.idle {
			for _, conn := range conns {
				_ = conn.Close()
			}
		}
		rq.idle = nil
	})
}

// Done returns a channel that is closed by Close.
func (rq *Requester) Done() <-chan struct{} { return rq.done }

// Opened returns the number of connections opened so far.
func (rq *Requester) Opened() uint64 {
	rq.mu.Lock()
	defer rq.mu.Unlock()

	return rq.opened
}

// IdleCount returns the number of idle connections.
func (rq *Requester) IdleCount() int {
	rq.mu.Lock()
	defer rq.mu.Unlock()
	n := 0
	for _, conns := range rq.idle {
		n += len(conns)
	}

	return n
}

// Response is the head of a response. The caller must read the body to its end or close
// it. Closing it early closes the connection, which tells the server to stop its work.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Framed is false if only the end of the connection marks the end of the body.
	Framed bool
}

// Do sends a request to addr, "ip:port", and returns the head of its response. An error
// marked ErrNotSent means that the server has not received any of the request; after any
// other error the server may have run it. The connection is closed when ctx ends. An error
// that this causes, here or while the body is read, is the cause of ctx; all others are those
// of the server, also if ctx has ended since.
func (rq *Requester) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	conn, err := rq.acquire(ctx, addr, r.NewConn)
	if err != nil {
		return nil, errors.Mark(errors.Newf("connect to %s: %w", addr, err), ErrNotSent)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	e := &exchange{rq: rq, ctx: ctx, addr: addr, serverConn: conn, stop: stop, writeResult: make(chan error, 1)}
	// A server may respond before it has read the whole body, so the response is read while
	// the request is still being written.
	go func() { e.writeResult <- r.write(conn) }()
	response, err := e.receive(r)
	if err != nil {
		e.abandon()

		return nil, errors.Newf("exchange with %s: %w", addr, err)
	}

	return response, nil
}

// acquire returns an idle connection, or opens one if there is none or newConn is set.
func (rq *Requester) acquire(ctx context.Context, addr string, newConn bool) (*serverConn, error) {
	if cause := context.Cause(ctx); cause != nil {
		return nil, errors.Newf("take connection: %w", cause)
	}
	for !newConn {
		conn := rq.popIdle(addr)
		if conn == nil {
			break
		}
		if time.Since(conn.lastUsed) < conn.idleTimeout && isReusable(conn.Conn) {
			return conn, nil
		}
		_ = conn.Close()
	}

	return rq.dial(ctx, addr)
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (rq *Requester) popIdle(addr string) *serverConn {
	rq.mu.Lock()
	defer rq.mu.Unlock()
	conns := rq.idle[addr]
	if len(conns) == 0 {
		return nil
	}
	conn := conns[len(conns)-1]
	rq.idle[addr] = conns[:len(conns)-1]
	if len(conns) == 1 {
		delete(rq.idle, addr)
	}

	return conn
}

func (rq *Requester) dial(ctx context.Context, addr string) (*serverConn, error) {
	d := net.Dialer{Timeout: rq.s.ConnectTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount,
	}}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil && errors.Is(err, context.Canceled) {
			err = cause
		}

		return nil, errors.Newf("dial: %w", err)
	}
	rq.mu.Lock()
	rq.opened++
	rq.mu.Unlock()

	inspected := inspector.NewConn(conn)
	source := &connReader{in: inspected}

	return &serverConn{Conn: inspected, reader: bufio.NewReaderSize(source, bufferSize), source: source}, nil
}

// connReader reads from a connection. It limits the bytes read for the head of a response,
// because net/http does not, and keeps the error of the connection, which net/http replaces in
// some places. It is not safe for concurrent use.
type connReader struct {
	in        io.Reader
	limiting  bool
	remaining int
	err       error
}

// beginHead limits the reads that follow, until endHead is called.
func (r *connReader) beginHead() { r.limiting, r.remaining = true, inspector.MaxHeadBytes }

func (r *connReader) endHead() { r.limiting = false }

// Read implements io.Reader.
func (r *connReader) Read(p []byte) (int, error) {
	if r.limiting {
		if r.remaining <= 0 {
			return 0, errHeadTooLarge
		}
		p = p[:min(len(p), r.remaining)]
	}
	n, err := r.in.Read(p)
	r.remaining -= n
	r.err = err

	return n, err //nolint:wrapcheck // io.Reader passes io.EOF on
}

// readHead reads the head of a response to a request with a method.
func (c *serverConn) readHead(method string) (*http.Response, error) {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err == nil {
		err = c.BeginResponse(buffered)
	}
	if err != nil {
		return nil, errors.Newf("read head: %w", err)
	}
	c.source.beginHead()
	defer c.source.endHead()

	return http.ReadResponse(c.reader, &http.Request{Method: method}) //nolint:wrapcheck // wrapped by the caller
}

// release makes a connection available for the next request.
func (rq *Requester) release(addr string, conn *serverConn) {
	conn.lastUsed = time.Now()
	rq.mu.Lock()
	defer rq.mu.Unlock()
	if rq.idle == nil {
		_ = conn.Close()

		return
	}
	rq.idle[addr] = append(rq.idle[addr], conn)
}

// CloseExpired closes connections whose idle timeout has expired. It should be called about
// once per second.
func (rq *Requester) CloseExpired() {
	rq.mu.Lock()
	defer rq.mu.Unlock()
	for addr, conns := range rq.idle {
		kept := conns[:0]
		for _, conn := range conns {
			if time.Since(conn.lastUsed) < conn.idleTimeout {
				kept = append(kept, conn)
			} else {
				_ = conn.Close()
			}
		}
		if rq.idle[addr] = kept; len(kept) == 0 {
			delete(rq.idle, addr)
		}
	}
}

// isReusable reports whether a connection is open and has nothing to read. Bytes that
// arrive between two requests belong to neither of them.
func isReusable(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)

		return true
	})

	return err == nil && open
}
