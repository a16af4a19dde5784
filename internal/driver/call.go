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

	"github.com/damasklever/damasklever/internal/inspector"
)

// HeaderField is one HTTP header field.
type HeaderField struct{ Name, Value string }

// Call is an HTTP request to a plain service.
type Call struct {
	Method       string
	Path         string // with the query
	HeaderFields []HeaderField
	Body         []byte
}

// Response is the HTTP response of a plain service.
type Response struct {
	Status       int32
	HeaderFields []HeaderField
	Body         []byte
	held         responseHold
}

// Release frees the memory of the response once it has been passed on.
func (r Response) Release() { r.held.release() }

// UnsentError means that no byte of a call was written to a connection, so the call
// has not run and never will.
type UnsentError struct{ Cause error }

// Error implements error.
func (e *UnsentError) Error() string { return "the call was not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// hopByHopHeaders lists header fields that apply to a single connection and are not
// forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length",
}

// Run sends the call at most once, on a new connection. If it returns an UnsentError,
// the service has not received the call. After any other error, the call may have run.
func (c *Client) Run(ctx context.Context, call Call) (Response, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return Response{}, &UnsentError{Cause: errors.Newf("path %q: %w", call.Path, ErrRefused)}
	}
	req, err := http.NewRequestWithContext(ctx, call.Method,
		"http://"+c.addr+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Response{}, &UnsentError{Cause: errors.Newf("build call: %w", err)}
	}
	// net/http retries a request that has an Idempotency-Key header and a body that
	// can be read again. Without GetBody it does not.
	req.GetBody = nil
	for _, f := range call.HeaderFields {
		if !slices.Contains(hopByHopHeaders, http.CanonicalHeaderKey(f.Name)) {
			req.Header.Add(f.Name, f.Value)
		}
	}

	response, framed, err := c.roundTrip(ctx, req)
	// Without framing, the end of the connection is the end of the body, and also what is seen
	// of a service that crashes.
	if err == nil && !framed && !c.Probe(ctx) {
		cause := context.Cause(ctx)
		if cause == nil {
			cause = io.ErrUnexpectedEOF
		}

		return Response{}, errors.Newf("run: service has ended with its response: %w", connectionError(ctx, cause))
	}

	return response, err
}

// roundTrip sends a call and reads its response. framed is false if only the end of the
// connection marks the end of the body.
func (c *Client) roundTrip(ctx context.Context, req *http.Request) (response Response, framed bool, err error) {
	writeGuard := &writeGuard{}
	transport := inspector.NewTransport(&http.Transport{
		DialContext: writeGuard.dial, DisableKeepAlives: true, DisableCompression: true,
	})
	defer transport.CloseIdleConnections()
	// RoundTrip does not follow redirects; they are returned to the caller.
	res, err := transport.RoundTrip(req)
	if err != nil {
		err = connectionError(ctx, err)
		if writeGuard.preventWrites() {
			return Response{}, false, &UnsentError{Cause: err}
		}

		return Response{}, false, errors.Newf("run: %w", err)
	}
	defer func() { _ = res.Body.Close() }()
	body, held, err := c.readResponse(ctx, res)
	defer func() {
		if err != nil {
			held.release()
		}
	}()
	if errors.Is(err, errResponseTooLarge) {
		return Response{}, false, errors.Newf("run: read response: %w", err)
	}
	if err != nil {
		return Response{}, false, errors.Newf("run: read response: %w", connectionError(ctx, err))
	}
	response = Response{Status: int32(res.StatusCode), Body: body, held: held}
	for name, values := range res.Header {
		for _, value := range values {
			if !slices.Contains(hopByHopHeaders, name) {
				response.HeaderFields = append(response.HeaderFields, HeaderField{Name: name, Value: value})
			}
		}
	}
	slices.SortStableFunc(response.HeaderFields, func(a, b HeaderField) int { return strings.Compare(a.Name, b.Name) })

	framed = res.ContentLength >= 0 || len(res.TransferEncoding) > 0 || req.Method == http.MethodHead

	return response, framed, nil
}

// writeGuard records whether anything was written to the connections of one call, and
// can prevent further writes. Without it, a goroutine of the transport could still
// send a call that was already reported as not sent.
type writeGuard struct {
	mu      sync.Mutex
	written bool
	closed  bool
}

// preventWrites reports whether nothing has been written. If so, later writes fail.
func (g *writeGuard) preventWrites() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true

	return !g.written
}

func (g *writeGuard) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, errors.Newf("dial: %w", err)
	}

	return &guardedConn{Conn: conn, writeGuard: g}, nil
}

// guardedConn is a connection whose writes are subject to a writeGuard.
type guardedConn struct {
	net.Conn
	writeGuard *writeGuard
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	c.writeGuard.mu.Lock()
	if c.writeGuard.closed && !c.writeGuard.written {
		c.writeGuard.mu.Unlock()

		return 0, net.ErrClosed
	}
	c.writeGuard.written = true
	c.writeGuard.mu.Unlock()

	return c.Conn.Write(p)
}

// Probe reports whether the backend server accepts TCP connections.
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
