// Package messenger transports protobuf messages between the processes of the
// system. A Session is one yamux connection; each Stream on it carries
// length-delimited messages in both directions.
package messenger

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

const (
	// maxMessageBytes limits the size of one message, so that a faulty peer cannot
	// make a process allocate unlimited memory.
	maxMessageBytes = 64 << 20
	dialTimeout     = 3 * time.Second
	// keepAliveInterval and writeTimeout limit how long a session stays open during
	// a network partition that silently drops packets.
	keepAliveInterval = 5 * time.Second
	writeTimeout      = 5 * time.Second
	streamOpenTimeout = 5 * time.Second
	acceptBacklog     = 4096
	// streamCloseTimeout is how long a stream that was closed here waits for its peer.
	streamCloseTimeout = 30 * time.Second
)

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = streamOpenTimeout
	c.StreamCloseTimeout = streamCloseTimeout
	c.AcceptBacklog = acceptBacklog
	c.LogOutput = io.Discard

	return c
}

// Stream is one ordered stream of messages in each direction. Send may be called
// concurrently with Recv and with other calls of Send.
type Stream struct {
	inner  *yamux.Stream
	reader *bufio.Reader
	mu     sync.Mutex  // serializes writes
	hold   *streamHold // nil without a limit
}

func newStream(inner *yamux.Stream, hold *streamHold) *Stream {
	return &Stream{inner: inner, reader: bufio.NewReader(inner), hold: hold}
}

// Send writes one message.
func (s *Stream) Send(m proto.Message) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := bufio.NewWriter(s.inner)
	if _, err := protodelim.MarshalTo(w, m); err != nil {
		return errors.Newf("write message: %w", err)
	}
	if err := w.Flush(); err != nil {
		return errors.Newf("write message: %w", err)
	}

	return nil
}

// Recv reads the next message into m. It returns io.EOF if the peer has closed the
// stream at a message boundary.
func (s *Stream) Recv(m proto.Message) error { return s.RecvWithin(m, nil) }

// RecvWithin is like Recv. It calls reserve with the size of a large message before it reads
// the message, and returns the error of reserve.
func (s *Stream) RecvWithin(m proto.Message, reserve func(size int64) error) error {
	var held counter
	if message := s.hold.openMessage(); message != nil {
		defer message.Close()
		held = message
	}
	if err := receive(s.reader, m, held, reserve); err != nil {
		return err
	}
	s.hold.received()

	return nil
}

// SetDeadline sets the deadline of all reads and writes; the zero time removes it.
func (s *Stream) SetDeadline(t time.Time) error {
	if err := s.inner.SetDeadline(t); err != nil {
		return errors.Newf("set deadline: %w", err)
	}

	return nil
}

// Remote returns the address of the peer, "ip:port".
func (s *Stream) Remote() string { return s.inner.RemoteAddr().String() }

// Close closes the stream in both directions.
func (s *Stream) Close() error {
	if err := abort(s.inner); err != nil {
		return errors.Newf("close stream: %w", err)
	}

	return nil
}

// abort closes a stream in both directions.
func abort(inner *yamux.Stream) error {
	// In yamux, Close only ends the sending direction. The read deadline unblocks
	// a Recv in another goroutine.
	err := inner.Close()
	_ = inner.SetReadDeadline(time.Unix(1, 0))

	return err //nolint:wrapcheck // wrapped by the callers
}

// Session is a connection to another process.
type Session struct {
	inner *yamux.Session
}

// Dial connects to addr, "ip:port". It fails after 3 s or when ctx ends.
func Dial(ctx context.Context, addr string) (*Session, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Newf("dial %s: %w", addr, err)
	}
	inner, err := yamux.Client(conn, yamuxConfig())
	if err != nil {
		_ = conn.Close()

		return nil, errors.Newf("start session with %s: %w", addr, err)
	}

	return &Session{inner: inner}, nil
}

// Open opens a new stream.
func (s *Session) Open(ctx context.Context) (*Stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Newf("open stream: %w", err)
	}
	inner, err := s.inner.OpenStream()
	if err != nil {
		return nil, errors.Newf("open stream: %w", err)
	}

	return newStream(inner, nil), nil
}

// Done returns a channel that is closed when the connection ends.
func (s *Session) Done() <-chan struct{} { return s.inner.CloseChan() }

// Close closes the connection and all its streams.
func (s *Session) Close() error {
	if err := s.inner.Close(); err != nil {
		return errors.Newf("close session: %w", err)
	}

	return nil
}
