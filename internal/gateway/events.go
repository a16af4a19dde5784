package gateway

import (
	"bytes"
	"mime"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/requester"
)

// errCallerGone marks the error of a stream that ended because writing to the caller failed.
var errCallerGone = errors.New("the caller has disconnected")

// errIncompleteEvent is returned for a stream that ended inside an event.
var errIncompleteEvent = errors.New("the stream ended inside an event")

// errOtherType is returned for an answer of another type than the stream it was to continue.
var errOtherType = errors.New("the answer that was to continue a stream is of another type")

// maxEventBytes limits the size of one event.
const maxEventBytes = maxBuffered

// eventWriter passes complete events on to the caller. A stream that broke off can be
// continued from a second server.
type eventWriter struct {
	f           *forwarder
	started     bool   // status and headers have been written
	contentType string // of the response to the caller
	lastID      string // id of the last event that was passed on
	// unnumbered is set if the last event that was passed on has no id, so that no server can
	// go on after it.
	unnumbered bool
	pending    []byte // an incomplete event
}

// copyFrom passes on the events of a response of server s until its end. If the response breaks off, or
// ends inside an event, it returns an error and drops the incomplete event.
func (e *eventWriter) copyFrom(r *requester.Response, s *placer.Server) error {
	e.pending = e.pending[:0]
	if e.started && !isEventStream(r.Header) && r.Header.Get("Content-Type") != e.contentType {
		return errOtherType
	}
	buffer := make([]byte, 8<<10)
	for {
		n, err := r.Body.Read(buffer)
		if full := e.growPending(n); full != nil {
			return full
		}
		e.pending = append(e.pending, buffer[:n]...)
		if written := e.writeComplete(r, s, false); written != nil {
			return written
		}
		switch {
		case err == nil && len(e.pending) > maxEventBytes:
			return errors.New("event is too long")
		case err == nil:
		case isEOF(err) && isEventStream(r.Header) && len(bytes.Trim(e.pending, "\r\n")) > 0:
			return errIncompleteEvent
		case isEOF(err):
			return e.writeComplete(r, s, true)
		default:
			return errors.Newf("read stream: %w", err)
		}
	}
}

// growPending enlarges the buffer of incomplete events, so that n more bytes fit.
func (e *eventWriter) growPending(n int) error {
	need := len(e.pending) + n
	if need <= cap(e.pending) {
		return nil
	}
	capacity := max(need, 2*cap(e.pending))
	if err := e.f.held.Grow(int64(capacity - cap(e.pending))); err != nil {
		return errors.Newf("keep event: %w", err)
	}
	e.pending = append(make([]byte, 0, capacity), e.pending...)

	return nil
}

// writeComplete writes the complete events that are pending, and everything that is pending
// at the end of the stream.
func (e *eventWriter) writeComplete(r *requester.Response, s *placer.Server, end bool) error {
	n := len(e.pending)
	if !end {
		if n = eventsEnd(e.pending); n == 0 {
			return nil
		}
	}
	if !e.started {
		e.started, e.contentType = true, r.Header.Get("Content-Type")
		// Another server may continue the stream, with another length.
		header := r.Header.Clone()
		header.Del("Content-Length")
		e.f.writeHeader(r.Status, header)
	}
	if n > 0 {
		e.f.bind(s)
		if err := e.f.write(e.pending[:n]); err != nil {
			return errors.Mark(err, errCallerGone)
		}
		e.noteEvents(e.pending[:n])
	}
	e.pending = append(e.pending[:0], e.pending[n:]...)

	return nil
}

// isEventStream reports whether a body consists of events. One without a valid type does, as
// only paths that stream events are served by an eventWriter.
func isEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))

	return err != nil || mediaType == "text/event-stream"
}

// eventsEnd returns the length of the complete events at the beginning of b. Lines end with
// LF, CRLF or CR, and events with an empty line.
func eventsEnd(b []byte) int {
	end := 0
	for _, empty := range []string{"\n\n", "\n\r\n", "\r\r"} {
		if at := bytes.LastIndex(b, []byte(empty)); at >= 0 {
			end = max(end, at+len(empty))
		}
	}

	return end
}

// canContinue reports whether another server can go on with the stream.
func (e *eventWriter) canContinue() bool { return !e.started || e.lastID != "" && !e.unnumbered }

// noteEvents records the id of the last event that was passed on, if it has one.
func (e *eventWriter) noteEvents(events []byte) {
	data, numbered := false, false
	for line := range bytes.SplitSeq(normalizeNewlines(events), []byte("\n")) {
		switch {
		case len(line) == 0:
			if data || numbered {
				e.unnumbered = !numbered
			}
			data, numbered = false, false
		case bytes.HasPrefix(line, []byte("data")):
			data = true
		default:
			if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
				e.lastID, numbered = string(bytes.TrimSpace(value)), true
			}
		}
	}
}

// normalizeNewlines replaces line ends with LF.
func normalizeNewlines(b []byte) []byte {
	if bytes.IndexByte(b, '\r') < 0 {
		return b
	}
	b = bytes.ReplaceAll(b, []byte("\r\n"), []byte("\n"))

	return bytes.ReplaceAll(b, []byte("\r"), []byte("\n"))
}

// writeHeader writes the status and the end-to-end headers of a server's response to the
// caller.
func (f *forwarder) writeHeader(status int, h http.Header) {
	out := f.w.Header()
	for name, values := range endToEnd(h) {
		out[name] = values
	}
	f.announceClose()
	// Keeps net/http from adding headers that the server did not send.
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := out[name]; !ok {
			out[name] = nil
		}
	}
	if !f.r.ProtoAtLeast(1, 1) && out.Get("Content-Length") == "" {
		f.setResetOnClose(true)
	}
	f.w.WriteHeader(status)
}

// setResetOnClose sets whether the caller's connection is reset when it is closed, also by
// the end of this process. A caller of HTTP/1.0 takes any other end of the connection for the
// end of the response.
func (f *forwarder) setResetOnClose(reset bool) {
	conn, ok := f.r.Context().Value(connKey{}).(interface{ SetLinger(sec int) error })
	if !ok || f.resetOnClose == reset {
		return
	}
	f.resetOnClose = reset
	seconds := -1
	if reset {
		seconds = 0
	}
	if err := conn.SetLinger(seconds); err != nil {
		f.g.s.Log.Warn().Str("id", f.hints.ID).Err(err).Msg("failed to set linger of caller's connection")
	}
}
