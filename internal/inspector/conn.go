package inspector

import (
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Conn is a connection to a backend server. It checks the heads of responses as they are read.
type Conn struct {
	net.Conn
	mu   sync.Mutex
	head headScanner
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
	c.mu.Lock()
	defer c.mu.Unlock()
	if invalid := c.head.scan(p[:n]); invalid != nil {
		return 0, invalid
	}

	return n, err //nolint:wrapcheck // io.Reader passes io.EOF on
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("connection of type %T has no descriptor", c.Conn)
	}

	return conn.SyscallConn() //nolint:wrapcheck // passes the error on
}
