package requester

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/inspector"
)

// Request is a request to a backend server.
type Request struct {
	Method string
	// Target is the path and query as sent by the caller.
	Target string
	Host   string
	// Header holds end-to-end headers only. Content-Length is added when needed.
	Header http.Header
	Body   []byte
	// NewConn requires a new connection that has not carried a request before.
	NewConn bool
}

// maxJoinedBody is the size up to which a body is copied to be sent with its header at once.
const maxJoinedBody = 16 << 10

// write sends the request in a single write, with a large body in another one.
func (r *Request) write(w io.Writer) error {
	joined := r.Body
	if len(joined) > maxJoinedBody {
		joined = nil
	}
	var out bytes.Buffer
	out.Grow(len(joined) + bufferSize)
	out.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			out.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		out.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	out.WriteString("\r\n")
	out.Write(joined)
	if _, err := w.Write(out.Bytes()); err != nil {
		return errors.Newf("write request: %w", err)
	}
	if len(joined) == len(r.Body) {
		return nil
	}
	if _, err := w.Write(r.Body); err != nil {
		return errors.Newf("write request: %w", err)
	}

	return nil
}

// exchange is one request and its response on a connection.
type exchange struct {
	rq          *Requester
	ctx         context.Context //nolint:containedctx // of the request
	addr        string
	serverConn  *serverConn
	stop        func() bool
	writeResult chan error
	once        sync.Once
}

// receive reads responses until one belongs to the request. It skips interim responses and
// those of other requests.
func (e *exchange) receive(r *Request) (*Response, error) {
	for range maxResponseHeads {
		head, err := e.serverConn.readHead(r.Method) //nolint:bodyclose // the caller of Do closes it
		if err != nil {
			return nil, errors.Newf("read response: %w", e.readError(err))
		}
		if inspector.IsInterim(head.StatusCode) {
			continue
		}
		if err := inspector.CheckStatus(head.StatusCode); err != nil {
			return nil, errors.Newf("read response: %w", err)
		}
		// A response to HEAD has no body, whatever its header says.
		framed := head.ContentLength >= 0 || len(head.TransferEncoding) > 0 || r.Method == http.MethodHead
		if e.rq.s.Matches(r.Header, head.Header, e.serverConn.reused) {
			return &Response{
				Status: head.StatusCode, Header: head.Header, Framed: framed,
				Body: &body{e: e, head: head, keep: framed && !head.Close},
			}, nil
		}
		if !framed || head.Close {
			break
		}
		n, err := io.Copy(io.Discard, io.LimitReader(head.Body, maxSkippedBytes))
		if err != nil {
			return nil, errors.Newf("skip response to another request: %w", e.readError(err))
		}
		if n == maxSkippedBytes {
			break
		}
	}

	return nil, errors.New("read response: no response of the server belongs to the request")
}

// readError returns the error with which reading a response has ended: the cause of the
// context if its end has closed the connection, otherwise err.
func (e *exchange) readError(err error) error {
	if cause := context.Cause(e.ctx); cause != nil && errors.Is(e.serverConn.source.err, net.ErrClosed) {
		return cause
	}

	return err
}

// abandon closes the connection.
func (e *exchange) abandon() {
	e.once.Do(func() {
		e.stop()
		_ = e.serverConn.Close()
	})
}

// finish makes the connection available for the next request, unless it has unread bytes,
// the request was not fully written or its context has ended.
func (e *exchange) finish(idleTimeout time.Duration) {
	e.once.Do(func() {
		keep := func(err error) {
			if !e.stop() || err != nil || idleTimeout <= 0 || e.serverConn.reader.Buffered() > 0 {
				_ = e.serverConn.Close()

				return
			}
			e.serverConn.idleTimeout, e.serverConn.reused = idleTimeout, true
			e.rq.release(e.addr, e.serverConn)
		}
		select {
		case err := <-e.writeResult:
			keep(err)
		default:
			// The server has responded before it has read the whole request, or the writing
			// goroutine has not been scheduled since. The end of ctx closes the connection,
			// which ends the write.
			go func() { keep(<-e.writeResult) }()
		}
	})
}

// body is the body of a response. It releases the connection at its end.
type body struct {
	e    *exchange
	head *http.Response
	keep bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.head.Body.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF) && b.keep:
		b.e.finish(keepAliveTimeout(b.head.Header, b.e.rq.s.IdleTimeout))
	default:
		err = b.e.readError(err)
		b.e.abandon()
	}

	return n, err //nolint:wrapcheck // io.Reader passes io.EOF on
}

// Close implements io.Closer. It closes the connection unless the body has ended.
func (b *body) Close() error {
	b.e.abandon()

	return nil
}

// keepAliveTimeout returns how long the server's Keep-Alive header allows an idle
// connection to be kept, or fallback if it announces no timeout.
func keepAliveTimeout(h http.Header, fallback time.Duration) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}

	return fallback
}
