package inspector

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Conn is a connection to a backend server. It checks the heads of responses as they are read, and
// returns io.EOF only if the server has closed the connection, not if it has reset it.
type Conn struct {
	net.Conn
	mu   sync.Mutex
	head headScanner

	writing  sync.Mutex // held while a write is in progress
	writeErr error
}

// NewConn returns a Conn that uses conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// BeginResponse expects a response, whose first bytes may have been read before.
func (c *Conn) BeginResponse(read []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.begin()

	return c.head.scan(read)
}

// Read implements net.Conn. It returns ErrInvalidResponse in place of the bytes of an invalid head.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if invalid := c.head.scan(p[:n]); invalid != nil {
		return 0, invalid
	}

	return n, err //nolint:wrapcheck // io.Reader passes io.EOF on
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeErr = err
	}

	return n, err //nolint:wrapcheck // passes the error on
}

// endError returns the error for a read at the end of what the server has sent. The system reports
// a reset once: if a write has got it, a read gets io.EOF. Once the server has closed its side, a
// write gets EPIPE for a reset.
func (c *Conn) endError() error {
	// A write in progress ends. What it sends cannot be answered any more.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	var cause syscall.Errno
	if errors.As(c.writeErr, &cause) && cause != syscall.EPIPE {
		return errors.Newf("connection broke during a write: %w", c.writeErr)
	}

	return io.EOF
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("connection of type %T has no descriptor", c.Conn)
	}

	return conn.SyscallConn() //nolint:wrapcheck // passes the error on
}
