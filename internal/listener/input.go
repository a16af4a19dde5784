package listener

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio/nbhttp"
)

// fault is a request that is answered without being run.
type fault struct {
	status int
	reason string
}

// Error implements error.
func (f *fault) Error() string { return f.reason }

// input watches the parser of one connection, so that limits hold while the
// request is still being read.
type input struct {
	nbhttp.Processor
	p         *peer
	fault     *fault
	heading   int // bytes read since the headers began
	head      int // bytes of the headers parsed so far
	inBody    bool
	completed bool
	limit     int64
	body      int64
	lengths   int  // Content-Length and Transfer-Encoding headers
	hosts     int  // Host headers
	old       bool // HTTP/1.0, which has no Host
	expect    bool
	lines     lines
}

func (i *input) attach(p *peer, parser *nbhttp.Parser) {
	if i.p == nil {
		i.p, i.Processor = p, parser.Processor
		parser.Processor = i
	}
}

// verdict returns the fault of the input read so far, or nil.
func (i *input) verdict(data []byte, err error, header int) *fault {
	switch {
	case i.fault != nil:
		return i.fault
	case errors.Is(err, nbhttp.ErrTooLong):
		return &fault{http.StatusRequestEntityTooLarge, "the body is over the limit"}
	case err != nil:
		return &fault{http.StatusBadRequest, "malformed HTTP request: " + err.Error()}
	case i.inBody, i.completed:
		// What follows a completed request in the same read is counted only
		// from the next read on.
		i.heading = 0
	case i.heading > header:
		return tooMuchHeader()
	case bytes.Contains(data, []byte("\n\n")):
		// The parser would wait for a CR until the connection is idle.
		return &fault{http.StatusBadRequest, "malformed HTTP request: a line ends without CR"}
	}

	return nil
}

func tooMuchHeader() *fault {
	return &fault{http.StatusRequestHeaderFieldsTooLarge, "the headers are over the limit"}
}

// OnURL implements nbhttp.Processor.
func (i *input) OnURL(parser *nbhttp.Parser, uri string) error {
	path, _, _ := strings.Cut(uri, "?")
	i.limit = i.p.l.settings.Body
	if own := i.p.l.backend.Limit(path); own > 0 && own < i.limit {
		i.limit = own
	}
	i.head, i.body, i.lengths, i.hosts, i.expect = 0, 0, 0, 0, false
	if len(uri) > i.p.l.settings.Header {
		i.fault = tooMuchHeader()
	}

	return i.Processor.OnURL(parser, uri) //nolint:wrapcheck // reported as malformed input
}

// OnProto implements nbhttp.Processor.
func (i *input) OnProto(parser *nbhttp.Parser, proto string) error {
	i.old = proto == "HTTP/1.0"

	return i.Processor.OnProto(parser, proto) //nolint:wrapcheck // reported as malformed input
}

// OnHeader implements nbhttp.Processor.
func (i *input) OnHeader(parser *nbhttp.Parser, key, value string) {
	switch key {
	case "Content-Length", "Transfer-Encoding":
		i.lengths++
	case "Host":
		i.hosts++
	case "Expect":
		i.expect = strings.EqualFold(value, "100-continue")
	}
	if i.lines.blank(key) {
		i.fault = &fault{http.StatusBadRequest, "a header has a blank before its colon"}
	}
	i.head += len(key) + len(value)
	if i.head > i.p.l.settings.Header {
		i.fault = tooMuchHeader()
	}
	i.Processor.OnHeader(parser, key, value)
}

// OnContentLength implements nbhttp.Processor. It marks the end of the headers.
func (i *input) OnContentLength(parser *nbhttp.Parser, n int) {
	i.inBody = true
	switch {
	case i.fault != nil:
	case i.lengths > 1:
		// Two lengths could hide a second request from a balancer.
		i.fault = &fault{http.StatusBadRequest, "the request has more than one length"}
	case i.hosts > 1 || i.hosts == 0 && !i.old:
		i.fault = &fault{http.StatusBadRequest, "the request must have one Host header"}
	case int64(n) > i.limit:
		i.fault = tooMuchBody()
	case i.expect:
		i.p.proceed()
	}
	i.Processor.OnContentLength(parser, n)
}

func tooMuchBody() *fault {
	return &fault{http.StatusRequestEntityTooLarge, "the body is over the limit"}
}

// OnBody implements nbhttp.Processor.
func (i *input) OnBody(parser *nbhttp.Parser, data []byte) error {
	i.body += int64(len(data))
	if i.fault == nil && i.body > i.limit {
		i.fault = tooMuchBody()
	}
	if i.fault != nil {
		return i.fault
	}

	return i.Processor.OnBody(parser, data) //nolint:wrapcheck // reported as malformed input
}

// OnComplete implements nbhttp.Processor.
func (i *input) OnComplete(parser *nbhttp.Parser) {
	i.inBody, i.completed = false, true
	if i.fault != nil {
		i.Clean(parser)

		return
	}
	// The handler runs in another goroutine, after this request counts as received.
	i.p.arriving.Add(1)
	i.Processor.OnComplete(parser)
}

// proceed answers "Expect: 100-continue" unless a response is under way, which
// the interim response would break.
func (p *peer) proceed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) == 0 {
		_, _ = p.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}
