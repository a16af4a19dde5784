package courier

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Request is one request to a backend server.
type Request struct {
	Method string
	// Target is the path with the query, as the caller sent it.
	Target string
	Host   string
	// Header holds end-to-end headers only; the length is added.
	Header http.Header
	Body   []byte
	// Fresh asks for a connection that no request has used.
	Fresh bool
}

func (r *Request) write(w io.Writer) error {
	var out bytes.Buffer
	out.Grow(len(r.Body) + readBuffer)
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
	out.Write(r.Body)
	if _, err := w.Write(out.Bytes()); err != nil {
		return errors.Newf("write request: %w", err)
	}

	return nil
}

// exchange is one request and its response on a connection.
type exchange struct {
	c       *Courier
	addr    string
	line    *line
	stop    func() bool
	written chan error
	once    sync.Once
}

// receive reads heads until one belongs to the request.
func (e *exchange) receive(r *Request) (*Response, error) {
	for range maxStray {
		e.line.head.begin()
		head, err := http.ReadResponse(e.line.reader, &http.Request{Method: r.Method}) //nolint:bodyclose // the caller of Do closes it
		e.line.head.end()
		if err != nil {
			return nil, errors.Newf("read response: %w", err)
		}
		if head.StatusCode < http.StatusOK {
			continue
		}
		framed := head.ContentLength >= 0 || len(head.TransferEncoding) > 0
		if e.c.s.Matches(r.Header, head.Header) {
			return &Response{
				Status: head.StatusCode, Header: head.Header, Framed: framed,
				Body: &body{e: e, head: head, keep: framed && !head.Close},
			}, nil
		}
		if !framed || head.Close {
			break
		}
		n, err := io.Copy(io.Discard, io.LimitReader(head.Body, maxStrayBytes))
		if err != nil || n == maxStrayBytes {
			break
		}
	}

	return nil, errors.New("read response: it belongs to another request")
}

// abandon closes the connection.
func (e *exchange) abandon() {
	e.once.Do(func() {
		e.stop()
		_ = e.line.Close()
	})
}

// finish keeps the connection if nothing of this exchange is left on it.
func (e *exchange) finish(expiry time.Duration) {
	e.once.Do(func() {
		keep := func(err error) {
			if !e.stop() || err != nil || expiry <= 0 || e.line.reader.Buffered() > 0 {
				_ = e.line.Close()

				return
			}
			e.line.expiry = expiry
			e.c.put(e.addr, e.line)
		}
		select {
		case err := <-e.written:
			keep(err)
		default:
			// The server has answered before it has read all, or the writer has not run
			// since. The end of ctx closes the connection and ends the write.
			go func() { keep(<-e.written) }()
		}
	})
}

// body is a response's body, which gives the connection back at its end.
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
		b.e.finish(expiry(b.head.Header, b.e.c.s.Idle))
	default:
		b.e.abandon()
	}

	return n, err //nolint:wrapcheck // io.Reader passes io.EOF on
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.e.abandon()

	return nil
}

// expiry returns how long a connection may be kept by the server's Keep-Alive.
func expiry(h http.Header, standard time.Duration) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}

	return standard
}
