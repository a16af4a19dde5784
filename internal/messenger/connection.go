package messenger

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
)

// connection is the connection of a session. It ends the calls of the session's
// streams when it ends, because yamux.Stream polls without blocking between the start
// of yamux.Session.Close and the end of the session's receive loop.
type connection struct {
	net.Conn

	mu      sync.Mutex
	streams map[*yamux.Stream]struct{}
	ended   bool
}

func newConnection(conn net.Conn) *connection {
	return &connection{Conn: conn, streams: make(map[*yamux.Stream]struct{})}
}

// Read reads from the connection. An error ends the streams before yamux has it.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.end()
	}

	return n, err //nolint:wrapcheck // for yamux, which compares errors of net
}

// Write writes to the connection. An error ends the streams before yamux has it.
func (c *connection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.end()
	}

	return n, err //nolint:wrapcheck // for yamux, which compares errors of net
}

// Close closes the connection. yamux calls it when the session finds an error by
// itself.
func (c *connection) Close() error {
	c.end()

	return c.Conn.Close() //nolint:wrapcheck // for yamux
}

// end makes the waiting and later calls of all streams return.
func (c *connection) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	for s := range c.streams {
		expire(s)
	}
	c.streams = nil
}

func (c *connection) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.ended
}

func (c *connection) add(s *yamux.Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		expire(s)

		return
	}
	c.streams[s] = struct{}{}
}

func (c *connection) remove(s *yamux.Stream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.streams, s)
}

// setDeadline sets the deadline of s, unless the connection has ended.
func (c *connection) setDeadline(s *yamux.Stream, t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return nil
	}

	return s.SetDeadline(t) //nolint:wrapcheck // wrapped by Stream
}

// expire makes calls of s that wait return, and later ones instead of waiting.
func expire(s *yamux.Stream) { _ = s.SetDeadline(time.Unix(1, 0)) }

// endingStream is a yamux.Stream whose calls return when its connection ends. Data
// that has been received before can still be read.
type endingStream struct {
	*yamux.Stream

	conn *connection
}

// Read reads from the stream. It returns io.EOF after the end of the connection.
func (s *endingStream) Read(p []byte) (int, error) {
	n, err := s.Stream.Read(p)
	if errors.Is(err, yamux.ErrTimeout) && s.conn.hasEnded() {
		err = io.EOF
	}

	return n, err //nolint:wrapcheck // wrapped by Stream
}

// Write writes to the stream.
func (s *endingStream) Write(p []byte) (int, error) {
	n, err := s.Stream.Write(p)
	if errors.Is(err, yamux.ErrTimeout) && s.conn.hasEnded() {
		err = yamux.ErrSessionShutdown
	}

	return n, err //nolint:wrapcheck // wrapped by Stream
}

// SetDeadline sets the deadline of all reads and writes; the zero time removes it.
func (s *endingStream) SetDeadline(t time.Time) error { return s.conn.setDeadline(s.Stream, t) }

// Close closes the stream in both directions.
func (s *endingStream) Close() error {
	// In yamux, Close only ends the sending direction. The read deadline unblocks
	// a Read in another goroutine.
	err := s.Stream.Close()
	expire(s.Stream)
	s.conn.remove(s.Stream)

	return err //nolint:wrapcheck // wrapped by Stream
}
