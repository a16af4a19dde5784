package listener

import (
	"io"
	"net/http"
	"strings"

	"github.com/damasklever/damasklever/internal/dispatcher"
)

// exchange is one request and its response.
type exchange struct {
	method string
	path   string // escaped, without the query
	query  string
	header http.Header
	body   []byte
	old    bool // HTTP/1.0: no chunked response
	close  bool // the connection ends after the response
	fault  *fault
}

// newExchange copies what is needed of r, which nbhttp uses again afterwards.
func newExchange(r *http.Request) *exchange {
	e := &exchange{
		method: r.Method, header: r.Header, path: r.URL.EscapedPath(), query: r.URL.RawQuery,
		old: r.ProtoMajor == 1 && r.ProtoMinor == 0, close: r.Close,
	}
	for _, values := range e.header {
		for i, value := range values {
			// The parser keeps the white space around a value.
			values[i] = strings.TrimSpace(value)
		}
	}
	if r.Body != nil {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			e.fault = &fault{http.StatusBadRequest, "the body cannot be read"}
		}
		e.body = body
	}

	return e
}

const (
	pathCompletions = "/v1/completions"
	pathChat        = "/v1/chat/completions"
	pathServices    = "/s/"
)

// serve answers one exchange.
func (l *Listener) serve(p *peer, e *exchange) {
	w := &writer{p: p, e: e, id: l.backend.ID()}
	if e.fault != nil {
		w.refuse(e.fault)

		return
	}
	switch {
	case e.path == pathCompletions, e.path == pathChat:
		l.complete(p, e, w)
	case strings.HasPrefix(e.path, pathServices):
		l.call(p, e, w)
	default:
		w.refuse(&fault{http.StatusNotFound, "unknown path"})
	}
}

func (l *Listener) complete(p *peer, e *exchange, w *writer) {
	if e.method != http.MethodPost {
		w.allow = http.MethodPost
		w.refuse(&fault{http.StatusMethodNotAllowed, "the method must be POST"})

		return
	}
	c, f := readCompletion(e)
	if f != nil {
		w.refuse(f)

		return
	}
	c.ID = w.id
	s := &stream{w: w, c: c, created: l.timers.Now().Unix()}
	s.finish(l.backend.Complete(p.ctx, c, s.emit))
}

func (l *Listener) call(p *peer, e *exchange, w *writer) {
	c, f := readCall(e)
	if f != nil {
		w.refuse(f)

		return
	}
	c.ID = w.id
	r := l.backend.Call(p.ctx, c)
	w.allow = r.Allow
	if r.Answer == nil {
		w.end(r.Outcome)

		return
	}
	header := make(http.Header)
	for _, f := range r.Answer.GetHeaders() {
		header.Add(f.GetName(), f.GetValue())
	}
	dropHop(header)
	w.head(r.Outcome, header)
	w.reply(r.Status, header, r.Answer.GetBody())
}

// notRun is the outcome of a request that was refused before the backend.
func notRun(f *fault) dispatcher.Outcome {
	return dispatcher.Outcome{Result: dispatcher.NotRun, Status: f.status, Reason: f.reason}
}
