package listener

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/damasklever/damasklever/internal/budgeter"
	"github.com/damasklever/damasklever/internal/dispatcher"
)

// exchange is a parsed request and the state that its response depends on.
type exchange struct {
	method    string
	path      string // escaped, without the query
	query     string
	header    http.Header
	body      []byte
	http10    bool // HTTP/1.0: the response must not be chunked
	close     bool // close the connection after the response
	rejection *rejection
	hold      *budgeter.Hold // memory of the request, may be nil
}

// release gives the memory of the request back.
func (e *exchange) release() {
	if e.hold != nil {
		e.hold.Close()
	}
}

// newExchange copies the needed parts of r, because nbhttp reuses r after the
// handler returns.
func newExchange(r *http.Request) *exchange {
	e := &exchange{
		method: r.Method, header: r.Header, path: r.URL.EscapedPath(), query: r.URL.RawQuery,
		http10: r.ProtoMajor == 1 && r.ProtoMinor == 0, close: r.Close,
	}
	for _, values := range e.header {
		for i, value := range values {
			// The parser does not trim the white space around a value.
			values[i] = strings.TrimSpace(value)
		}
	}
	if r.Body != nil {
		body, err := readBody(r.Body)
		if err != nil {
			e.rejection = &rejection{http.StatusBadRequest, "the body cannot be read"}
		}
		e.body = body
	}

	return e
}

// readBody reads a body into a buffer of its size.
func readBody(body io.Reader) ([]byte, error) {
	whole, ok := body.(interface{ Left() int })
	if !ok {
		return io.ReadAll(body) //nolint:wrapcheck // the caller replaces the error
	}
	data := make([]byte, whole.Left())
	_, err := io.ReadFull(body, data)

	return data, err //nolint:wrapcheck // the caller replaces the error
}

const (
	pathCompletions = "/v1/completions"
	pathChat        = "/v1/chat/completions"
	pathServices    = "/s/"
)

// serve runs one request and writes its response.
func (l *Listener) serve(conn *connection, e *exchange) {
	w := &responseWriter{conn: conn, e: e, id: l.backend.NewRequestID()}
	if e.rejection != nil {
		w.reject(e.rejection)

		return
	}
	switch {
	case e.path == pathCompletions, e.path == pathChat:
		l.complete(conn, e, w)
	case strings.HasPrefix(e.path, pathServices):
		l.call(conn, e, w)
	default:
		w.reject(&rejection{http.StatusNotFound, "unknown path"})
	}
}

func (l *Listener) complete(conn *connection, e *exchange, w *responseWriter) {
	if e.method != http.MethodPost {
		w.allow = http.MethodPost
		w.reject(&rejection{http.StatusMethodNotAllowed, "the method must be POST"})

		return
	}
	c, rejected := parseCompletion(e)
	if rejected != nil {
		w.reject(rejected)

		return
	}
	c.ID, e.body = w.id, nil
	cw := &completionWriter{w: w, c: c, created: l.timers.Now().Unix()}
	r := l.backend.Complete(conn.ctx, c, cw.emit)
	defer r.release()
	cw.finish(r)
}

func (l *Listener) call(conn *connection, e *exchange, w *responseWriter) {
	c, f := parseCall(e)
	if f != nil {
		w.reject(f)

		return
	}
	c.ID = w.id
	r := l.backend.Call(conn.ctx, c)
	defer r.release()
	w.allow = r.Allow
	if r.Answer == nil {
		w.writeError(r.Outcome)

		return
	}
	header := make(http.Header)
	for _, f := range r.Answer.GetHeaders() {
		header.Add(f.GetName(), f.GetValue())
	}
	removeHopHeaders(header)
	w.setOutcomeHeaders(r.Outcome, header)
	w.writeResponse(r.Status, header, r.Answer.GetBody())
}

// rejectedOutcome returns the outcome of a request that was rejected before it
// reached the backend.
func rejectedOutcome(e *rejection) dispatcher.Outcome {
	o := dispatcher.Outcome{Result: dispatcher.NotRun, Status: e.status, Reason: e.reason}
	if e.status == http.StatusServiceUnavailable {
		o.After = retryAfter
	}

	return o
}

// retryAfter is announced with the rejection of a request that another process can run.
const retryAfter = time.Second
