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

// isEnd tells the end of a body from a body that broke off.
func isEnd(err error) bool { return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) }

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns the headers that are passed on.
func EndToEnd(h http.Header) http.Header { return endToEnd(h) }

func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}

	return out
}

// pass gives a server's whole answer to the caller.
func (f *flight) pass(a *answer) {
	if a.rest != nil {
		f.passLong(a)

		return
	}
	if f.r.Method != http.MethodHead {
		a.header.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	f.head(a.status, a.header)
	err := f.write(a.body)
	f.finish("passed", a.status, err)
}

// passLong passes an answer on as it comes, since it is too long to hold. It is cut if
// the server breaks off.
func (f *flight) passLong(a *answer) {
	defer func() { _ = a.rest.Close() }()
	f.head(a.status, a.header)
	piece := a.body
	buffer := make([]byte, passBuffer)
	for {
		if f.write(piece) != nil {
			f.gone()
		}
		n, err := a.rest.Read(buffer)
		piece = buffer[:n]
		switch {
		case err == nil:
		case isEnd(err):
			f.finish("passed", a.status, f.write(piece))

			return
		default:
			f.cut(endBroken)
		}
	}
}

// passBuffer is the memory for an answer that is passed on as it comes.
const passBuffer = 16 << 10

// write sends bytes to the caller at once.
func (f *flight) write(b []byte) error {
	rc := http.NewResponseController(f.w)
	if err := rc.SetWriteDeadline(time.Now().Add(f.g.s.Stall)); err != nil {
		return errors.Newf("bound write: %w", err)
	}
	if _, err := f.w.Write(b); err != nil {
		return errors.Newf("write to caller: %w", err)
	}
	if err := rc.Flush(); err != nil {
		return errors.Newf("write to caller: %w", err)
	}

	return nil
}

// refuse says that the request has not run, and when to come back.
func (f *flight) refuse(reason string, after time.Duration) {
	f.refuseWith(http.StatusServiceUnavailable, reason, after)
}

func (f *flight) refuseWith(status int, reason string, after time.Duration) {
	f.unadmit()
	f.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', -1, 64))
	f.say(status, reason)
	f.finish(reason, status, nil)
}

// absent refuses a request because no server can be reached.
func (f *flight) absent() {
	if rest := f.g.s.Placer.Resting(f.g.s.Timer.Now(), f.pool); rest > 0 {
		f.refuse("all servers want a rest", rest)

		return
	}
	f.g.s.Missing()
	f.refuse("no server", f.g.s.Absent)
}

// fail ends the request with a status of the gateway's own.
func (f *flight) fail(status int, reason string) {
	f.say(status, reason)
	f.finish(reason, status, nil)
}

func (f *flight) say(status int, reason string) {
	f.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	f.w.Header().Set("Content-Length", strconv.Itoa(len(reason)+1))
	f.w.WriteHeader(status)
	// The caller may be gone; there is nobody to tell.
	_ = f.write([]byte(reason + "\n"))
}

// cut ends a stream that broke off, so that it cannot be taken for a whole one.
func (f *flight) cut(e end) {
	f.finish("cut: "+e.String(), http.StatusOK, nil)
	panic(http.ErrAbortHandler)
}

// gone ends a request whose caller has left.
func (f *flight) gone() {
	if len(f.met) == 0 {
		f.unadmit()
	}
	f.finish("caller left", 0, nil)
	panic(http.ErrAbortHandler)
}

// note logs how one send ended.
func (f *flight) note(c placer.Choice, begun time.Time, e end, err error) {
	entry := f.g.s.Log.Info().Str("id", f.hints.ID).Str("server", c.Server.ID).Str("addr", c.Server.Addr).
		Str("end", e.String()).Int("sends", f.sends).Dur("took", f.g.s.Timer.Now().Sub(begun))
	if c.Prefill != nil {
		entry = entry.Str("prefill", c.Prefill.ID)
	}
	if err != nil && e != endGone {
		entry = entry.Err(err)
	}
	entry.Msg("sent")
}

// finish logs and counts the end of a request.
func (f *flight) finish(reason string, status int, err error) {
	took := f.g.s.Timer.Now().Sub(f.begun)
	f.g.meters.observe(f.pool, f.rank(), status, took)
	entry := f.g.s.Log.Info().Str("id", f.hints.ID).Str("path", f.path.GetName()).Str("pool", f.pool).
		Uint64("plan", f.version).Int32("rank", f.rank()).Int("status", status).Int("sends", f.sends).
		Int("prompt", f.hints.Prompt).Int("limit", f.hints.Limit).Int("guess", f.hints.Guess).
		Dur("took", took).Str("reason", reason)
	if err != nil {
		entry = entry.Err(err)
	}
	entry.Msg("request ended")
}
