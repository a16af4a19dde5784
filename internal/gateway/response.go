package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/placer"
)

// isEOF reports whether a body ended regularly, as opposed to having been cut off.
func isEOF(err error) bool { return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) }

// hopByHopHeaders apply to a single connection and are not passed on.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of the headers without those that apply to one connection only.
func EndToEnd(h http.Header) http.Header { return endToEnd(h) }

func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}

	return out
}

// writeResponse passes a server's response on to the caller.
func (f *forwarder) writeResponse(a *bufferedResponse) {
	if a.rest != nil {
		f.streamResponse(a)

		return
	}
	if f.r.Method != http.MethodHead {
		a.header.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	f.writeHeader(a.status, a.header)
	err := f.write(a.body)
	f.finish("passed", a.status, err)
}

// streamResponse passes on a response that is too long to buffer as it arrives. If the
// server breaks off, the connection to the caller is aborted.
func (f *forwarder) streamResponse(a *bufferedResponse) {
	defer func() { _ = a.rest.Close() }()
	f.writeHeader(a.status, a.header)
	piece := a.body
	buffer := make([]byte, streamBufferSize)
	for {
		if f.write(piece) != nil {
			f.finishCallerGone()
		}
		n, err := a.rest.Read(buffer)
		piece = buffer[:n]
		switch {
		case err == nil:
		case isEOF(err):
			f.noteCompleted(outcomeAnswered, a.response)
			err := f.write(piece)
			f.setResetOnClose(false)
			f.finish("passed", a.status, err)

			return
		default:
			f.endUnfinished(f.classifyError(a.server, err))
		}
	}
}

// streamBufferSize is the size of the buffer for a response that is passed on as it arrives.
const streamBufferSize = 16 << 10

// write sends bytes to the caller and flushes them.
func (f *forwarder) write(b []byte) error {
	rc := http.NewResponseController(f.w)
	if err := rc.SetWriteDeadline(time.Now().Add(f.g.s.WriteTimeout)); err != nil {
		return errors.Newf("set write deadline: %w", err)
	}
	if _, err := f.w.Write(b); err != nil {
		return errors.Newf("write to caller: %w", err)
	}
	if err := rc.Flush(); err != nil {
		return errors.Newf("write to caller: %w", err)
	}

	return nil
}

// refuse answers that the request has not run, with a Retry-After header.
func (f *forwarder) refuse(reason string, after time.Duration) {
	f.refuseStatus(http.StatusServiceUnavailable, reason, after)
}

func (f *forwarder) refuseStatus(status int, reason string, after time.Duration) {
	f.refundRate()
	f.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	f.writeText(status, reason)
	f.finish(reason, status, nil)
}

// refuseNoServer refuses a request because no server can be reached.
func (f *forwarder) refuseNoServer() {
	if pause := f.g.s.Placer.PauseRemaining(f.g.s.Timer.Now(), f.pool); pause > 0 {
		f.refuse("all servers want a rest", pause)

		return
	}
	if len(f.g.s.Placer.Exhausted(f.g.s.Timer.Now(), placer.Query{Pool: f.pool, Bound: f.bound, Version: f.version})) > 0 {
		f.refuse("all servers limit their requests", limitedRetryAfter)

		return
	}
	f.g.s.OnNoServer()
	f.refuse("no server", f.g.s.NoServerRetryAfter)
}

// fail ends the request with a status that the gateway itself has chosen.
func (f *forwarder) fail(status int, reason string) {
	f.writeText(status, reason)
	f.finish(reason, status, nil)
}

func (f *forwarder) writeText(status int, reason string) {
	f.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	f.w.Header().Set("Content-Length", strconv.Itoa(len(reason)+1))
	f.announceClose()
	f.w.WriteHeader(status)
	// An error means that the caller has disconnected, so there is nobody to report it to.
	_ = f.write([]byte(reason + "\n"))
}

// announceClose has the connection closed after the response if the gateway is leaving.
func (f *forwarder) announceClose() {
	if f.g.leaving.Load() {
		f.w.Header().Set("Connection", "close")
	}
}

// abort ends a stream that broke off by aborting the connection, so that the caller cannot
// take it for complete.
func (f *forwarder) abort(o outcome) {
	f.finish("cut: "+o.String(), http.StatusOK, nil)
	panic(http.ErrAbortHandler)
}

// endUnfinished ends a request whose answer has begun and cannot be finished.
func (f *forwarder) endUnfinished(o outcome) {
	if o == outcomeCallerGone {
		f.finishCallerGone()
	}
	f.abort(o)
}

// finishCallerGone ends a request whose caller has disconnected.
func (f *forwarder) finishCallerGone() {
	if len(f.contacted) == 0 {
		f.refundRate()
	}
	f.finish("caller left", 0, nil)
	panic(http.ErrAbortHandler)
}

// logSend logs the outcome of one send.
func (f *forwarder) logSend(c placer.Choice, started time.Time, o outcome, err error) {
	entry := f.g.s.Log.Info().Str("id", f.hints.ID).Str("server", c.Server.ID).Str("addr", c.Server.Addr).
		Str("end", o.String()).Int("sends", f.attempts.Reached()).Int("refusals", f.attempts.Refused()).Dur("took", f.g.s.Timer.Now().Sub(started))
	if c.Server.Version != "" {
		entry = entry.Str("version", c.Server.Version)
	}
	if c.Prefill != nil {
		entry = entry.Str("prefill", c.Prefill.ID)
	}
	if o != outcomeAnswered {
		entry = entry.Str("digest", f.digest).Strs("segments", f.hints.Segments)
	}
	if err != nil && o != outcomeCallerGone {
		entry = entry.Err(err)
	}
	entry.Msg("sent")
}

// finish logs the end of a request and counts it in the metrics.
func (f *forwarder) finish(reason string, status int, err error) {
	took := f.g.s.Timer.Now().Sub(f.arrived)
	f.g.metrics.observe(f.pool, f.rank(), status, took)
	if f.attempts.Reached() > 0 && (status == http.StatusGatewayTimeout || status > 0 && status < http.StatusInternalServerError) {
		f.g.answerTimes.record(f.path.GetName(), f.g.s.Timer.Now().Sub(f.attemptAt))
	}
	entry := f.g.s.Log.Info().Str("id", f.hints.ID).Str("path", f.path.GetName()).Str("pool", f.pool).
		Uint64("plan", f.planVersion).Int32("rank", f.rank()).Int("status", status).Int("sends", f.attempts.Reached()).
		Int("prompt", f.hints.Prompt).Int("limit", f.hints.MaxOutputTokens).Int("guess", f.hints.OutputEstimate).
		Dur("took", took).Str("reason", reason)
	if f.hints.LastEventID != "" {
		entry = entry.Str("resumes", f.hints.Resumes).Str("after", f.hints.LastEventID)
	}
	if err != nil {
		entry = entry.Err(err)
	}
	entry.Msg("request ended")
}
