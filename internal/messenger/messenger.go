// Package messenger carries protobuf messages between the system's own
// processes. A Session is one yamux connection; each Stream on it carries
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
	// maxMessageBytes bounds one message, so that a faulty peer cannot make a
	// process allocate without limit.
	maxMessageBytes = 64 << 20
	dialTimeout     = 3 * time.Second
	// keepAliveInterval and writeTimeout bound how long a silent partition
	// keeps a session open.
	keepAliveInterval = 5 * time.Second
	writeTimeout      = 5 * time.Second
	streamOpenTimeout = 5 * time.Second
	acceptBacklog     = 4096
)

func settings() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = streamOpenTimeout
	c.AcceptBacklog = acceptBacklog
	c.LogOutput = io.Discard

	return c
}

// Stream is one ordered exchange of messages. Send and Recv may run at the same
// time; several Sends may too.
type Stream struct {
	inner *yamux.Stream
	read  *bufio.Reader
	mu    sync.Mutex // serialises writes
}

func newStream(inner *yamux.Stream) *Stream {
	return &Stream{inner: inner, read: bufio.NewReader(inner)}
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

// Recv reads the next message into m. It returns io.EOF after the peer closed
// the stream between two messages.
func (s *Stream) Recv(m proto.Message) error { return receive(s.read, m) }

func receive(r protodelim.Reader, m proto.Message) error {
	err := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}.UnmarshalFrom(r, m)
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	if err != nil {
		return errors.Newf("read message: %w", err)
	}

	return nil
}

// SetDeadline bounds all reads and writes; the zero time removes the bound.
func (s *Stream) SetDeadline(t time.Time) error {
	if err := s.inner.SetDeadline(t); err != nil {
		return errors.Newf("set deadline: %w", err)
	}

	return nil
}

// Remote returns the peer's address, "ip:port".
func (s *Stream) Remote() string { return s.inner.RemoteAddr().String() }

// Close ends the stream in both directions.
func (s *Stream) Close() error {
	// A yamux close only ends the own direction. The read deadline unblocks a
	// Recv that runs in another goroutine.
	err := s.inner.Close()
	_ = s.inner.SetReadDeadline(time.Unix(1, 0))
	if err != nil {
		return errors.Newf("close stream: %w", err)
	}

	return nil
}

// Session is a connection to one process.
type Session struct {
	inner *yamux.Session
}

// Dial connects to addr, "ip:port". It gives up after 3 s or with ctx.
func Dial(ctx context.Context, addr string) (*Session, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Newf("dial %s: %w", addr, err)
	}
	inner, err := yamux.Client(conn, settings())
	if err != nil {
		_ = conn.Close()

		return nil, errors.Newf("start session with %s: %w", addr, err)
	}

	return &Session{inner: inner}, nil
}

// Open starts a stream.
func (s *Session) Open(ctx context.Context) (*Stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Newf("open stream: %w", err)
	}
	inner, err := s.inner.OpenStream()
	if err != nil {
		return nil, errors.Newf("open stream: %w", err)
	}

	return newStream(inner), nil
}

// Done is closed when the connection is gone.
func (s *Session) Done() <-chan struct{} { return s.inner.CloseChan() }

// Close ends the connection and all its streams.
func (s *Session) Close() error {
	if err := s.inner.Close(); err != nil {
		return errors.Newf("close session: %w", err)
	}

	return nil
}
