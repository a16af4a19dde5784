package listener

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio/nbhttp"
)

// rejection is the reason why a request is rejected without being run.
type rejection struct {
	status int
	reason string
}

// Error implements error.
func (e *rejection) Error() string { return e.reason }

// inputChecker wraps the parser's callbacks of one connection and enforces the limits
// and the rules for headers while the request is still being read.
type inputChecker struct {
	nbhttp.Processor
	conn           *connection
	rejection      *rejection
	inHeader       int // bytes read since the start of the headers
	headerSize     int // size of the headers parsed so far
	inBody         bool
	completed      bool // a request was completed by the last read
	begun          bool // the method of a request has been read, but not its end
	bodyLimit      int64
	bodySize       int64
	cached         int64 // at most so many bytes are in the parser's buffer
	consumed       bool  // a part of the body was parsed by the current read
	lengthHeaders  int   // number of Content-Length and Transfer-Encoding headers
	hostHeaders    int   // number of Host headers
	http10         bool  // HTTP/1.0, which does not require a Host header
	expectContinue bool
	headerLines    headerLines
}

// attach installs the checker in front of the parser's processor on the first call.
func (i *inputChecker) attach(conn *connection, parser *nbhttp.Parser) {
	if i.conn == nil {
		i.conn, i.Processor = conn, parser.Processor
		conn.parser.Store(parser)
		parser.Processor = i
	}
}

// hold counts what the parser keeps after a read of n bytes.
func (i *inputChecker) hold(n int) error {
	if i.completed && !i.begun {
		i.cached = 0

		return nil
	}
	if i.consumed {
		i.cached = 0 // what was read before is part of the body now
	}
	i.consumed = false
	i.cached += int64(n)

	return i.conn.requests.account(copiesOfBody*(i.cached+i.bodySize), int64(n))
}

// check returns the error in the input read so far, or nil. err is the parser's error.
func (i *inputChecker) check(data []byte, err error, maxHeader int) *rejection {
	switch {
	case i.rejection != nil:
		return i.rejection
	case errors.Is(err, nbhttp.ErrTooLong):
		return &rejection{http.StatusRequestEntityTooLarge, "the body is over the limit"}
	case err != nil:
		return &rejection{http.StatusBadRequest, "malformed HTTP request: " + err.Error()}
	case i.inBody, i.completed:
		// Bytes that follow a completed request in the same read do not count
		// towards the next header.
		i.inHeader = 0
	case i.inHeader > maxHeader:
		return headerTooLarge()
	case bytes.Contains(data, []byte("\n\n")):
		// The parser would wait for a CR until the idle timeout.
		return &rejection{http.StatusBadRequest, "malformed HTTP request: a line ends without CR"}
	}

	return nil
}

func headerTooLarge() *rejection {
	return &rejection{http.StatusRequestHeaderFieldsTooLarge, "the headers are over the limit"}
}

// OnMethod implements nbhttp.Processor.
func (i *inputChecker) OnMethod(parser *nbhttp.Parser, method string) {
	i.begun = true
	i.Processor.OnMethod(parser, method)
}

// OnURL implements nbhttp.Processor.
func (i *inputChecker) OnURL(parser *nbhttp.Parser, uri string) error {
	path, _, _ := strings.Cut(uri, "?")
	i.bodyLimit = i.conn.l.settings.MaxBody
	if pathLimit := i.conn.l.backend.BodyLimit(path); pathLimit > 0 && pathLimit < i.bodyLimit {
		i.bodyLimit = pathLimit
	}
	i.headerSize, i.bodySize, i.lengthHeaders, i.hostHeaders, i.expectContinue = 0, 0, 0, 0, false
	if len(uri) > i.conn.l.settings.MaxHeader {
		i.rejection = headerTooLarge()
	}

	return i.Processor.OnURL(parser, uri) //nolint:wrapcheck // reported as malformed input
}

// OnProto implements nbhttp.Processor.
func (i *inputChecker) OnProto(parser *nbhttp.Parser, proto string) error {
	i.http10 = proto == "HTTP/1.0"

	return i.Processor.OnProto(parser, proto) //nolint:wrapcheck // reported as malformed input
}

// OnHeader implements nbhttp.Processor.
func (i *inputChecker) OnHeader(parser *nbhttp.Parser, key, value string) {
	switch key {
	case "Content-Length", "Transfer-Encoding":
		i.lengthHeaders++
	case "Host":
		i.hostHeaders++
	case "Expect":
		i.expectContinue = strings.EqualFold(value, "100-continue")
	}
	if i.headerLines.hasBlankBeforeColon(key) {
		i.rejection = &rejection{http.StatusBadRequest, "a header has a blank before its colon"}
	}
	i.headerSize += len(key) + len(value)
	if i.headerSize > i.conn.l.settings.MaxHeader {
		i.rejection = headerTooLarge()
	}
	i.Processor.OnHeader(parser, key, value)
}

// OnContentLength implements nbhttp.Processor. The parser calls it after the last header.
func (i *inputChecker) OnContentLength(parser *nbhttp.Parser, n int) {
	i.inBody = true
	switch {
	case i.rejection != nil:
	case i.lengthHeaders > 1:
		// A balancer that uses the other length would see different requests (request
		// smuggling).
		i.rejection = &rejection{http.StatusBadRequest, "the request has more than one length"}
	case i.hostHeaders > 1 || i.hostHeaders == 0 && !i.http10:
		i.rejection = &rejection{http.StatusBadRequest, "the request must have one Host header"}
	case int64(n) > i.bodyLimit:
		i.rejection = bodyTooLarge()
	case i.expectContinue:
		i.conn.sendContinue()
	}
	i.Processor.OnContentLength(parser, n)
}

func bodyTooLarge() *rejection {
	return &rejection{http.StatusRequestEntityTooLarge, "the body is over the limit"}
}

// OnBody implements nbhttp.Processor.
func (i *inputChecker) OnBody(parser *nbhttp.Parser, data []byte) error {
	i.bodySize += int64(len(data))
	if i.rejection == nil && i.bodySize > i.bodyLimit {
		i.rejection = bodyTooLarge()
	}
	if i.rejection != nil {
		return i.rejection
	}

	i.consumed = true

	return i.Processor.OnBody(parser, data) //nolint:wrapcheck // reported as malformed input
}

// OnComplete implements nbhttp.Processor.
func (i *inputChecker) OnComplete(parser *nbhttp.Parser) {
	i.inBody, i.begun, i.completed = false, false, true
	if i.expectContinue {
		i.conn.cancelContinue()
	}
	i.cached = 0
	if i.rejection == nil && i.keepRequest() != nil {
		i.rejection = noMemory()
	}
	if i.rejection != nil {
		i.Clean(parser)

		return
	}
	// The handler runs in another goroutine, possibly after receiving is reset. unqueued
	// keeps a drain from closing the connection until the request is in the queue.
	i.conn.unqueued.Add(1)
	i.Processor.OnComplete(parser)
}

// keepRequest counts the bytes of a request that has been received until it has been answered.
func (i *inputChecker) keepRequest() error {
	if err := i.conn.requests.account(copiesOfBody*(i.bodySize+int64(i.headerSize)), 0); err != nil {
		return err
	}

	return i.conn.requests.complete()
}

// sendContinue answers "Expect: 100-continue", after the responses to earlier requests.
func (c *connection) sendContinue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.continueDue = true
	c.continueIfIdle()
}

// cancelContinue is called when the caller has sent the body without waiting.
func (c *connection) cancelContinue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.continueDue = false
}

// continueIfIdle sends the interim response that is due, unless an earlier request has no
// response yet. The caller holds c.mu.
func (c *connection) continueIfIdle() {
	if c.continueDue && len(c.queue) == 0 && c.unqueued.Load() == 0 {
		c.continueDue = false
		_, _ = c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}
