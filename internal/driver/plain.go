package driver

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Field is one HTTP header.
type Field struct{ Name, Value string }

// Call is one call of a plain service.
type Call struct {
	Method string
	Path   string // with the query
	Fields []Field
	Body   []byte
}

// Answer is the response of a plain service.
type Answer struct {
	Status int32
	Fields []Field
	Body   []byte
}

// UnsentError says that no byte of the call was written, so it did not run and
// never will.
type UnsentError struct{ Cause error }

// Error implements error.
func (e *UnsentError) Error() string { return "the call was not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// hop lists the headers of one connection, which are not forwarded.
var hop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length",
}

// Run makes the call exactly once, on a connection of its own. After an
// UnsentError the service has not seen the call; after any other error it may
// have run.
func (c *Client) Run(ctx context.Context, call Call) (Answer, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return Answer{}, &UnsentError{Cause: errors.Newf("path %q: %w", call.Path, ErrRefused)}
	}
	req, err := http.NewRequestWithContext(ctx, call.Method,
		"http://"+c.addr+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, &UnsentError{Cause: errors.Newf("build call: %w", err)}
	}
	// net/http repeats a call on its own if it has a key header and a body that
	// can be read again.
	req.GetBody = nil
	for _, f := range call.Fields {
		if !slices.Contains(hop, http.CanonicalHeaderKey(f.Name)) {
			req.Header.Add(f.Name, f.Value)
		}
	}

	return roundTrip(ctx, req)
}

func roundTrip(ctx context.Context, req *http.Request) (Answer, error) {
	seal := &seal{}
	transport := &http.Transport{
		DialContext: seal.dial, DisableKeepAlives: true, DisableCompression: true,
	}
	defer transport.CloseIdleConnections()
	// A redirect is the caller's to follow.
	res, err := transport.RoundTrip(req)
	if err != nil {
		err = connectionError(ctx, err)
		if seal.close() {
			return Answer{}, &UnsentError{Cause: err}
		}

		return Answer{}, errors.Newf("run: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReply+1))
	if err != nil {
		return Answer{}, errors.Newf("run: read response: %w", connectionError(ctx, err))
	}
	if len(body) > maxReply {
		return Answer{}, errors.Newf("run: response over %d bytes: %w", maxReply, ErrInvalid)
	}
	answer := Answer{Status: int32(res.StatusCode), Body: body}
	for name, values := range res.Header {
		for _, value := range values {
			if !slices.Contains(hop, name) {
				answer.Fields = append(answer.Fields, Field{Name: name, Value: value})
			}
		}
	}
	slices.SortStableFunc(answer.Fields, func(a, b Field) int { return strings.Compare(a.Name, b.Name) })

	return answer, nil
}

// seal knows whether anything was written on the connections of one call. Once
// closed nothing can be written any more, so that a call reported as not sent
// is never sent by a goroutine of the transport that comes late.
type seal struct {
	mu      sync.Mutex
	written bool
	closed  bool
}

// close reports whether nothing was written, and prevents it from now on.
func (s *seal) close() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true

	return !s.written
}

func (s *seal) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, errors.Newf("dial: %w", err)
	}

	return &sealedConn{Conn: conn, seal: s}, nil
}

type sealedConn struct {
	net.Conn
	seal *seal
}

// Write implements net.Conn.
func (c *sealedConn) Write(p []byte) (int, error) {
	c.seal.mu.Lock()
	if c.seal.closed && !c.seal.written {
		c.seal.mu.Unlock()

		return 0, net.ErrClosed
	}
	c.seal.written = true
	c.seal.mu.Unlock()

	return c.Conn.Write(p)
}

// Probe reports whether something listens at the backend server's address.
func (c *Client) Probe(ctx context.Context) bool {
	d := net.Dialer{Timeout: probeTimeout}
	conn, err := d.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return false
	}
	_ = conn.Close()

	return true
}

const probeTimeout = 300 * time.Millisecond
