package gateway

import (
	"bytes"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/courier"
)

// errCaller marks a stream that ended because its caller cannot be written to.
var errCaller = errors.New("the caller is gone")

// maxEvent bounds one event.
const maxEvent = maxHeld

// events passes whole events on to the caller, also from a second server.
type events struct {
	f       *flight
	started bool   // the head has been written
	last    string // id of the last event passed on
	pending []byte // the beginning of an event
}

// copy passes the events of a response on until its end. A response that breaks
// off gives an error, and the event that it broke off in is dropped.
func (e *events) copy(r *courier.Response) error {
	e.pending = e.pending[:0]
	buffer := make([]byte, 8<<10)
	for {
		n, err := r.Body.Read(buffer)
		e.pending = append(e.pending, buffer[:n]...)
		if written := e.flush(r, false); written != nil {
			return written
		}
		switch {
		case err == nil && len(e.pending) > maxEvent:
			return errors.New("event is too long")
		case err == nil:
		case isEnd(err):
			return e.flush(r, true)
		default:
			return errors.Newf("read stream: %w", err)
		}
	}
}

// flush writes the whole events that are pending, and all that is pending at the
// end of the stream.
func (e *events) flush(r *courier.Response, end bool) error {
	n := len(e.pending)
	if !end {
		at := bytes.LastIndex(e.pending, []byte("\n\n"))
		if at < 0 {
			return nil
		}
		n = at + 2
	}
	if !e.started {
		e.started = true
		e.f.head(r.Status, r.Header)
	}
	if n > 0 {
		if err := e.f.write(e.pending[:n]); err != nil {
			return errors.Mark(err, errCaller)
		}
		if id := lastID(e.pending[:n]); id != "" {
			e.last = id
		}
	}
	e.pending = append(e.pending[:0], e.pending[n:]...)

	return nil
}

// lastID returns the id of the last event that has one.
func lastID(events []byte) string {
	id := ""
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}

	return id
}

// head writes the head of a server's response.
func (f *flight) head(status int, h http.Header) {
	out := f.w.Header()
	closing := out.Get("Connection")
	for name, values := range endToEnd(h) {
		out[name] = values
	}
	if closing != "" {
		out.Set("Connection", closing)
	}
	// Headers that the server did not send are not made up.
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := out[name]; !ok {
			out[name] = nil
		}
	}
	f.w.WriteHeader(status)
}
