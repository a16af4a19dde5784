package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/borrower"
	"github.com/damasklever/damasklever/internal/courier"
	"github.com/damasklever/damasklever/internal/placer"
)

// freeTimeout bounds the call that gives a kept prompt back.
const freeTimeout = 500 * time.Millisecond

// stream serves a model request.
func (f *flight) stream() {
	out := &events{f: f, last: f.hints.Last}
	var kept *answer
	for unsent := 0; unsent < maxUnsent && f.blocked() == 0; {
		r, err := f.reserve()
		if err != nil {
			f.unserved(out, kept, err)

			return
		}
		now := f.g.s.Timer.Now()
		c := r.choice
		got, e, err := f.generate(r, out)
		r.release(e)
		f.g.s.Placer.Done(c.Server.ID)
		f.note(c, now, e, err)
		if e == endFailed {
			kept = got
		}
		switch {
		case e == endAnswered:
			return
		case e == endGone:
			f.gone()

			return
		case e == endUnsent:
			unsent++
			f.avoid = append(f.avoid, c.Server.ID)

			continue
		case (e == endRefused || f.path.GetResume()) && f.again():
			continue
		case out.started:
			f.cut(e)
		default:
			f.conclude(kept, e)
		}

		return
	}
	f.unserved(out, kept, errNoServer)
}

// unserved ends a request for which there is no server, or no room in time.
func (f *flight) unserved(out *events, kept *answer, err error) {
	var refused *borrower.RefusedError
	switch {
	case out.started:
		f.cut(endBroken)
	case f.sends > 0:
		f.conclude(kept, endBroken)
	case f.ctx.Err() != nil && f.ended() == endGone:
		f.gone()
	case errors.As(err, &refused):
		f.refuse("no room: "+refused.Reason, max(refused.After, f.g.s.Return))
	case errors.Is(err, errNoServer):
		f.unsent()
	default:
		f.refuse("no room in time", f.g.s.Return)
	}
}

// generate runs the request at the chosen servers and passes the events on.
func (f *flight) generate(r *reservation, out *events) (*answer, end, error) {
	c := r.choice
	send := Send{Server: c.Server.ID, Last: out.last, Hold: r.hold}
	if c.Prefill != nil {
		if handle := f.readApart(r); handle != "" {
			send.Source, send.Handle = c.Prefill.Addr, handle
		}
	}
	if f.ctx.Err() != nil {
		f.free(c.Prefill, send.Handle)
		f.dropHold(c.Server, r.hold)

		return nil, f.ended(), context.Cause(f.ctx)
	}
	got, e, err := f.decode(c, send, out)
	if e == endRefused && send.Handle != "" {
		// Most likely the prompt was gone before it was fetched: prompts that wait at
		// that server are not safe, and this one is read where its memory is.
		f.free(c.Prefill, send.Handle)
		f.g.s.Placer.Failed(f.g.s.Timer.Now(), c.Prefill.ID)
		if f.ctx.Err() == nil && f.left() > minLeft && f.g.repeat(f.pool) {
			f.note(c, f.begun, e, nil)
			send.Source, send.Handle, send.Hold = "", "", ""

			return f.decode(c, send, out)
		}
	}

	return got, e, err
}

// decode sends the request to its decode server and passes the events on.
func (f *flight) decode(c placer.Choice, send Send, out *events) (*answer, end, error) {
	response, err := f.send(f.ctx, c.Server, send)
	if err != nil {
		f.free(c.Prefill, send.Handle)

		return nil, f.broken(c.Server, err), err
	}
	defer func() { _ = response.Body.Close() }()
	f.sent(c.Server)
	e := f.judge(c.Server, response)
	if response.Status != http.StatusOK {
		body, err := readAll(response)
		if err != nil {
			return nil, f.broken(c.Server, err), err
		}

		f.survived(e)

		return f.whole(response, body, e, out)
	}
	if err := out.copy(response); err != nil {
		return nil, f.torn(c.Server, err), err
	}
	if send.Handle != "" {
		f.g.s.Placer.Succeeded(c.Prefill.ID)
	}
	f.survived(endAnswered)
	f.finish("streamed", response.Status, nil)

	return nil, endAnswered, nil
}

// whole ends a send that was answered without a stream.
func (f *flight) whole(r *courier.Response, body []byte, e end, out *events) (*answer, end, error) {
	got := &answer{status: r.Status, header: r.Header, body: body}
	if e == endAnswered && !out.started {
		f.pass(got)

		return nil, endAnswered, nil
	}
	if e == endAnswered {
		e = endFailed
	}

	return got, e, nil
}

// torn says what an error in the middle of a stream means.
func (f *flight) torn(s *placer.Server, err error) end {
	if f.ctx.Err() != nil {
		return f.ended()
	}
	if errors.Is(err, errCaller) {
		return endGone
	}
	f.g.s.Placer.Failed(f.g.s.Timer.Now(), s.ID)
	f.g.witness.broke(f, s)

	return endBroken
}

// ended says why the flight's context has ended.
func (f *flight) ended() end {
	if errors.Is(context.Cause(f.ctx), errDue) {
		return endDue
	}

	return endGone
}

// free gives back a prompt that was read in vain, unless its server does so by
// itself soon after.
func (f *flight) free(s *placer.Server, handle string) {
	if s == nil || handle == "" {
		return
	}
	f.tell(s, f.g.s.Dialect.Free(s, handle), "prompt freed")
}

// tell makes a call that gives something back, beside the request.
func (f *flight) tell(s *placer.Server, r *courier.Request, done string) {
	f.g.work.Add(1)
	go func() {
		defer f.g.work.Done()
		ctx, cancel := context.WithTimeout(f.g.ctx, freeTimeout)
		defer cancel()
		response, err := f.g.s.Courier.Do(ctx, s.Addr, r)
		if err == nil {
			_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxHeld))
			_ = response.Body.Close()
		}
		f.g.s.Log.Info().Str("id", f.hints.ID).Str("server", s.ID).Err(err).Msg(done)
	}()
}
