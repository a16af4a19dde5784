package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/drainer"
	"github.com/damasklever/damasklever/internal/grantclient"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/requester"
)

// freeTimeout limits the call that frees a prompt or a reservation at a server.
const freeTimeout = 500 * time.Millisecond

// serveStream serves a model request.
func (f *forwarder) serveStream() {
	out := &eventWriter{f: f, lastID: f.hints.LastEventID}
	var failure *bufferedResponse
	for unreachable := 0; unreachable < maxUnreachable && f.blocked() == 0; {
		p, err := f.reserve()
		if errors.Is(err, errNoServer) && f.awaitGrant() {
			continue
		}
		if err != nil {
			f.finishUnserved(out, failure, err)

			return
		}
		f.attemptAt = f.g.s.Timer.Now()
		c := p.choice
		got, o, err := f.generate(p, out)
		p.release(o)
		f.g.s.Placer.EndRequest(c.Server.ID)
		f.logSend(c, f.attemptAt, o, err)
		if o == outcomeFailed {
			failure = got
		}
		switch {
		case o == outcomeAnswered:
			return
		case o == outcomeCallerGone:
			f.finishCallerGone()

			return
		case o == outcomeUnsent:
			unreachable++
			f.attempts.NoteUnreached(c.Server.ID)

			continue
		case (o == outcomeRefused || f.path.GetResume()) && out.canContinue() && f.mayRetry():
			continue
		case out.started:
			f.abort(o)
		default:
			f.finishWithoutRetry(failure, o)
		}

		return
	}
	f.finishUnserved(out, failure, errNoServer)
}

// finishUnserved ends a request for which there is no server, or no memory in time.
func (f *forwarder) finishUnserved(out *eventWriter, failure *bufferedResponse, err error) {
	var refused *grantclient.RefusedError
	switch o := f.unservedOutcome(); {
	case out.started || o == outcomeCallerGone:
		f.endUnfinished(o)
	case f.attempts.Reached() > 0 || o == outcomeStopping:
		f.finishWithoutRetry(failure, o)
	case errors.As(err, &refused):
		f.refuse("no room: "+refused.Reason, max(refused.After, f.g.s.RetryAfter))
	case errors.Is(err, errNoVersion):
		f.refuse(err.Error(), noVersionRetryAfter)
	case errors.Is(err, errNoServer):
		f.unreachable()
	default:
		f.refuse("no room in time", f.g.s.RetryAfter)
	}
}

// generate runs the request at the chosen servers and passes the events on.
func (f *forwarder) generate(p *placement, out *eventWriter) (*bufferedResponse, outcome, error) {
	c := p.choice
	send := Attempt{Server: c.Server.ID, LastEventID: out.lastID, ReservationID: p.reservationID}
	if c.Prefill != nil {
		if handle := f.prefillRemotely(p); handle != "" {
			send.Source, send.Handle = c.Prefill.Addr, handle
		}
	}
	if cause := f.endCause(send.Handle != ""); cause != nil {
		f.freePrompt(c.Prefill, send.Handle)
		f.dropReservation(c.Server, p.reservationID)

		return nil, f.errorOutcome(cause), cause
	}
	got, o, err := f.decode(c, send, out)
	if o == outcomeRefused && send.Handle != "" {
		// Most likely the prompt was gone before it was fetched: prompts that wait at that
		// prefill server are not safe. The decode server, where the memory is granted,
		// processes this one itself.
		f.freePrompt(c.Prefill, send.Handle)
		f.g.s.Placer.RecordFailure(f.g.s.Timer.Now(), c.Prefill.ID)
		if f.ctx.Err() == nil && f.timeLeft() > minRetryTime && f.g.takeRetry(f.pool) {
			f.logSend(c, f.arrived, o, nil)
			send.Source, send.Handle, send.ReservationID = "", "", ""

			return f.decode(c, send, out)
		}
	}

	return got, o, err
}

// decode sends the request to its decode server and passes the events on.
func (f *forwarder) decode(c placer.Choice, send Attempt, out *eventWriter) (*bufferedResponse, outcome, error) {
	response, err := f.send(f.ctx, c.Server, send)
	if err != nil {
		f.freePrompt(c.Prefill, send.Handle)

		return nil, f.classifyError(c.Server, err), err
	}
	defer func() { _ = response.Body.Close() }()
	f.countResponse(c.Server, response)
	o := f.classifyResponse(c.Server, response)
	if response.Status != http.StatusOK {
		body, err := readBody(f.held, response)
		if err != nil {
			return nil, f.classifyError(c.Server, err), err
		}

		f.noteCompleted(o, response)

		return f.wholeResponse(response, body, o, out)
	}
	if err := out.copyFrom(response, c.Server); err != nil {
		return nil, f.classifyError(c.Server, err), err
	}
	if send.Handle != "" {
		f.g.s.Placer.RecordSuccess(c.Prefill.ID)
	}
	f.noteCompleted(outcomeAnswered, response)
	f.setResetOnClose(false)
	f.finish("streamed", response.Status, nil)

	return nil, outcomeAnswered, nil
}

// wholeResponse handles a response that is not a stream of events.
func (f *forwarder) wholeResponse(r *requester.Response, body []byte, o outcome, out *eventWriter) (*bufferedResponse, outcome, error) {
	got := &bufferedResponse{status: r.Status, header: r.Header, body: body}
	if o == outcomeAnswered && !out.started {
		f.writeResponse(got)

		return nil, outcomeAnswered, nil
	}
	if o == outcomeAnswered {
		o = outcomeFailed
	}

	return got, o, nil
}

// contextOutcome returns the outcome for a request whose context has ended.
func (f *forwarder) contextOutcome() outcome {
	switch cause := context.Cause(f.ctx); {
	case errors.Is(cause, errDeadline):
		return outcomeDeadline
	case errors.Is(cause, drainer.ErrStopping):
		return outcomeStopping
	default:
		return outcomeCallerGone
	}
}

// freePrompt frees a processed prompt that will not be used, without waiting until its server
// does so by itself. It does nothing if there is no such prompt.
func (f *forwarder) freePrompt(s *placer.Server, handle string) {
	if s == nil || handle == "" {
		return
	}
	f.notifyServer(s, f.g.s.Dialect.FreePromptRequest(s, handle), "prompt freed")
}

// notifyServer sends a server a request to free something, in the background.
func (f *forwarder) notifyServer(s *placer.Server, r *requester.Request, done string) {
	f.g.tasks.Add(1)
	go func() {
		defer f.g.tasks.Done()
		ctx, cancel := context.WithTimeout(f.g.ctx, freeTimeout)
		defer cancel()
		f.g.s.Throttler.Charge(f.g.s.Timer.Now(), s.ID, 1)
		response, err := f.g.s.Requester.Do(ctx, s.Addr, r)
		if err == nil {
			f.applyNotice(s, response, time.Time{})
			_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxBuffered))
			_ = response.Body.Close()
		}
		f.g.s.Log.Info().Str("id", f.hints.ID).Str("server", s.ID).Err(err).Msg(done)
	}()
}
