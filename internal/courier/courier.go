// Package courier carries HTTP/1.1 requests to backend servers over connections
// that it keeps. It never sends a request twice, tells whether any byte of one
// left, and gives a response only to the request that it belongs to.
package courier

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
)

// ErrNotSent marks a failure before the first byte of the request left, so the
// request has not run.
var ErrNotSent = errors.New("the request was not sent")

const (
	// defaultConnect covers a lost opening packet within a region but not the
	// seconds that an unreachable host costs.
	defaultConnect = 400 * time.Millisecond
	// defaultIdle is how long a connection is kept without a hint of the server.
	defaultIdle = time.Second
	// idleMargin is taken off the idle timeout that a server announces: a request
	// must not meet the close on its way.
	idleMargin = time.Second
	// probeInterval and probeCount find a peer that is gone without a reset.
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
	readBuffer    = 4 << 10
	// maxStray bounds the responses to other requests that one exchange skips.
	maxStray = 4
	// maxStrayBytes bounds the body of a response that is skipped.
	maxStrayBytes = 1 << 20
	// maxHead bounds the bytes of the status line and the headers of one response.
	maxHead = 64 << 10
)

// Settings of a courier.
type Settings struct {
	// Connect bounds the opening of a connection.
	Connect time.Duration
	// Idle is how long an unused connection is kept.
	Idle time.Duration
	// Matches tells whether a response belongs to the request; nil accepts all.
	Matches func(sent, received http.Header) bool
}

// Defaults fills the fields that are zero.
func (s *Settings) Defaults() {
	if s.Connect == 0 {
		s.Connect = defaultConnect
	}
	if s.Idle == 0 {
		s.Idle = defaultIdle
	}
	if s.Matches == nil {
		s.Matches = func(_, _ http.Header) bool { return true }
	}
}

// Validate reports every fault at once.
func (s *Settings) Validate() error {
	if s.Connect < 0 || s.Idle < 0 {
		return errors.New("settings of courier: durations must not be negative")
	}

	return nil
}

// Courier keeps connections. Its methods may be called from any goroutine.
type Courier struct {
	s    Settings
	done chan struct{}
	once sync.Once

	mu     sync.Mutex
	idle   map[string][]*line // by address, the one used last at the end
	opened uint64
}

// errLongHead ends a response whose head has no end.
var errLongHead = errors.New("the head of the response is over the limit")

// line is one connection.
type line struct {
	net.Conn
	reader *bufio.Reader
	head   *headLimit
	used   time.Time
	expiry time.Duration
}

// New returns a courier without connections.
func New(s Settings) (*Courier, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, err
	}

	return &Courier{s: s, idle: make(map[string][]*line), done: make(chan struct{})}, nil
}

// Close closes the connections that are not in use.
func (c *Courier) Close() {
	c.once.Do(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		close(c.done)
		for _, lines := range c.idle {
			for _, l := range lines {
				_ = l.Close()
			}
		}
		c.idle = nil
	})
}

// Done is closed by Close.
func (c *Courier) Done() <-chan struct{} { return c.done }

// Opened returns the number of connections opened so far.
func (c *Courier) Opened() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.opened
}

// Kept returns the number of connections that wait for their next request.
func (c *Courier) Kept() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, lines := range c.idle {
		n += len(lines)
	}

	return n
}

// Response is the head of a response. The body must be read to its end or
// closed. Closing it early closes the connection, which ends the server's work.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Framed is false for a body that ends with the connection.
	Framed bool
}

// Do sends one request to addr, "ip:port", and returns the head of its response.
// An error marked ErrNotSent means that the server has not seen it; after any
// other error it may have run. The connection is closed when ctx ends.
func (c *Courier) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	l, err := c.take(ctx, addr, r.Fresh)
	if err != nil {
		return nil, errors.Mark(errors.Newf("connect to %s: %w", addr, err), ErrNotSent)
	}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	e := &exchange{c: c, addr: addr, line: l, stop: stop, written: make(chan error, 1)}
	// A server may answer before it has read a long body, and still reads the rest.
	go func() { e.written <- r.write(l) }()
	response, err := e.receive(r)
	if err != nil {
		e.abandon()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}

		return nil, errors.Newf("exchange with %s: %w", addr, err)
	}

	return response, nil
}

// Probe opens a connection to addr and closes it, to see whether anything listens there.
func (c *Courier) Probe(ctx context.Context, addr string) error {
	l, err := c.dial(ctx, addr)
	if err != nil {
		return err
	}
	_ = l.Close()

	return nil
}

// take returns a connection that is kept, unless a fresh one is asked for, or opens one.
func (c *Courier) take(ctx context.Context, addr string, fresh bool) (*line, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Newf("take connection: %w", err)
	}
	for !fresh {
		l := c.pop(addr)
		if l == nil {
			break
		}
		if time.Since(l.used) < l.expiry && quiet(l.Conn) {
			return l, nil
		}
		_ = l.Close()
	}

	return c.dial(ctx, addr)
}

func (c *Courier) pop(addr string) *line {
	c.mu.Lock()
	defer c.mu.Unlock()
	lines := c.idle[addr]
	if len(lines) == 0 {
		return nil
	}
	l := lines[len(lines)-1]
	c.idle[addr] = lines[:len(lines)-1]
	if len(lines) == 1 {
		delete(c.idle, addr)
	}

	return l
}

func (c *Courier) dial(ctx context.Context, addr string) (*line, error) {
	d := net.Dialer{Timeout: c.s.Connect, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount,
	}}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Newf("dial: %w", err)
	}
	c.mu.Lock()
	c.opened++
	c.mu.Unlock()

	head := &headLimit{in: conn}

	return &line{Conn: conn, reader: bufio.NewReaderSize(head, readBuffer), head: head}, nil
}

// headLimit bounds what is read while a head is expected, since net/http does not.
// It is used by one goroutine at a time.
type headLimit struct {
	in      io.Reader
	bounded bool
	left    int
}

// begin bounds what follows, up to end.
func (h *headLimit) begin() { h.bounded, h.left = true, maxHead }

func (h *headLimit) end() { h.bounded = false }

// Read implements io.Reader.
func (h *headLimit) Read(p []byte) (int, error) {
	if !h.bounded {
		return h.in.Read(p) //nolint:wrapcheck // io.Reader passes io.EOF on
	}
	if h.left <= 0 {
		return 0, errLongHead
	}
	n, err := h.in.Read(p[:min(len(p), h.left)])
	h.left -= n

	return n, err //nolint:wrapcheck // io.Reader passes io.EOF on
}

// put keeps a connection for the next request.
func (c *Courier) put(addr string, l *line) {
	l.used = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		_ = l.Close()

		return
	}
	c.idle[addr] = append(c.idle[addr], l)
}

// Sweep closes connections that have been unused for too long. It is called
// every second or so.
func (c *Courier) Sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, lines := range c.idle {
		kept := lines[:0]
		for _, l := range lines {
			if time.Since(l.used) < l.expiry {
				kept = append(kept, l)
			} else {
				_ = l.Close()
			}
		}
		if c.idle[addr] = kept; len(kept) == 0 {
			delete(c.idle, addr)
		}
	}
}

// quiet tells whether a connection is open and has nothing to read: bytes that
// arrive between two requests belong to neither.
func quiet(conn net.Conn) bool {
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
