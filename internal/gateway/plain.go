package gateway

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/drainer"
	"github.com/damasklever/damasklever/internal/matcher"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/requester"
)

// bufferedResponse is a server's response whose body was read into memory.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// rest is the remainder of a body that is too long to buffer, response what it belongs to,
	// and server where it comes from; nil if body is complete.
	rest     io.ReadCloser
	response *requester.Response
	server   *placer.Server
}

// outcome is the result of one attempt to send a request.
type outcome int

const (
	outcomeAnswered outcome = iota
	// outcomeFailed means that the server answered with a 5xx status.
	outcomeFailed
	// outcomeRefused means that the request has not run at the server and never will.
	outcomeRefused
	// outcomeUnsent means that the server was not reached.
	outcomeUnsent
	// outcomeBroken means that the attempt broke off and the request may have run.
	outcomeBroken
	// outcomeCallerGone means that the caller has disconnected.
	outcomeCallerGone
	// outcomeDeadline means that the deadline has passed and the request may have run.
	outcomeDeadline
	// outcomeStopping means that the time of the shutdown does not suffice, or has ended.
	outcomeStopping
)

// String returns the name of the outcome for logs and metrics.
func (o outcome) String() string {
	return [...]string{"answered", "failed", "refused", "unsent", "broken", "gone", "due", "stopping"}[o]
}

// isServerFailure reports whether the server is to blame.
func (o outcome) isServerFailure() bool { return o == outcomeUnsent || o == outcomeBroken }

// maxUnreachable limits how many servers that cannot be reached are tried for one request.
const maxUnreachable = 4

// servePlain serves a request of a plain service.
func (f *forwarder) servePlain() {
	var failure *bufferedResponse // passed on if the next attempt is no better
	for unreachable := 0; unreachable < maxUnreachable && f.blocked() == 0; {
		f.attemptAt = f.g.s.Timer.Now()
		c, ok := f.g.s.Placer.PickPlain(f.attemptAt, placer.Query{
			Pool: f.pool, Avoid: f.attempts.Tried(), Speeds: f.bySpeed, Unsafe: f.unsafe(),
		})
		if !ok {
			if f.awaitGrant() {
				continue
			}

			break
		}
		got, o, err := f.callServer(c.Server)
		f.g.s.Placer.EndRequest(c.Server.ID)
		f.logSend(c, f.attemptAt, o, err)
		if o == outcomeFailed {
			failure = got
		}
		switch {
		case o == outcomeAnswered:
			f.writeResponse(got)

			return
		case o == outcomeCallerGone:
			f.finishCallerGone()

			return
		case o == outcomeUnsent:
			unreachable++
			f.attempts.NoteUnreached(c.Server.ID)

			continue
		case (o == outcomeRefused || matcher.Repeatable(f.path)) && f.mayRetry():
			continue
		}
		f.finishWithoutRetry(failure, o)

		return
	}
	switch o := f.unservedOutcome(); {
	case o == outcomeCallerGone:
		f.finishCallerGone()
	case f.attempts.Reached() > 0 || o == outcomeDeadline || o == outcomeStopping:
		f.finishWithoutRetry(failure, o)
	default:
		f.unreachable()
	}
}

// unservedOutcome returns the outcome of a request for which there is no server to send it to.
func (f *forwarder) unservedOutcome() outcome {
	switch {
	case f.ctx.Err() != nil:
		return f.contextOutcome()
	case !f.fits():
		return outcomeStopping
	default:
		return outcomeBroken
	}
}

// unreachable refuses a request that reached no server.
func (f *forwarder) unreachable() {
	if left := f.blocked(); left > 0 {
		f.refuse(errBlocked.Error(), left)

		return
	}
	f.refuseNoServer()
}

// finishWithoutRetry ends a request that is not sent again.
func (f *forwarder) finishWithoutRetry(failure *bufferedResponse, o outcome) {
	switch {
	case failure != nil:
		f.writeResponse(failure)
	case !f.mayHaveRun && o == outcomeDeadline:
		f.refuse("not sent in time", f.g.s.RetryAfter)
	case !f.mayHaveRun && o == outcomeStopping:
		f.refuse(reasonStopping, f.g.s.RetryAfter)
	case !f.mayHaveRun:
		f.refuse("server refused", f.g.s.RetryAfter)
	case o == outcomeDeadline:
		f.fail(http.StatusGatewayTimeout, "no answer in time")
	case o == outcomeStopping:
		f.fail(http.StatusGatewayTimeout, "no answer before the end of the shutdown")
	default:
		f.fail(http.StatusBadGateway, "the server failed")
	}
}

// callServer sends the request to one server and reads the response.
func (f *forwarder) callServer(s *placer.Server) (*bufferedResponse, outcome, error) {
	response, err := f.send(f.ctx, s, Attempt{Server: s.ID})
	if err != nil {
		return nil, f.classifyError(s, err), err
	}
	f.countResponse(s, response)
	body, ended, err := readLimited(f.held, response)
	if err != nil {
		return nil, f.classifyError(s, err), err
	}
	got := &bufferedResponse{status: response.Status, header: response.Header, body: body}
	o := f.classifyResponse(s, response)
	f.recordTime(s, o)
	switch {
	case ended:
		f.noteCompleted(o, response)
	case o == outcomeRefused:
		_ = response.Body.Close() // it is not passed on
	case o == outcomeAnswered:
		got.rest, got.response, got.server = response.Body, response, s
	default:
		_ = response.Body.Close()

		return nil, f.classifyError(s, errBodyTooLong), errBodyTooLong
	}

	return got, o, nil
}

// classifyResponse returns the outcome that a response stands for, and reports it to the
// placer.
func (f *forwarder) classifyResponse(s *placer.Server, r *requester.Response) outcome {
	refused := f.g.s.Dialect.IsRefusal(r.Status, r.Header)
	f.mayHaveRun = f.mayHaveRun || !refused
	switch {
	case refused:
		f.g.s.Placer.RecordFailure(f.g.s.Timer.Now(), s.ID)

		return outcomeRefused
	case r.Status >= http.StatusInternalServerError:
		return outcomeFailed
	default:
		f.recordAnswer(s.ID)

		return outcomeAnswered
	}
}

// noteCompleted records that a server has answered the request completely.
func (f *forwarder) noteCompleted(o outcome, r *requester.Response) {
	if o != outcomeAnswered {
		return
	}
	var segments []string
	// A server that rejects a request has not worked on its prompt. The end of a body without
	// framing may be that of a server that has crashed.
	if r.Framed && r.Status < http.StatusMultipleChoices {
		segments = f.segments
	}
	f.g.crashReporter.noteAnswered(f.digest, segments)
}

// classifyError returns the outcome that the error of a send, or of reading its response,
// stands for, and reports it to the placer.
func (f *forwarder) classifyError(s *placer.Server, err error) outcome {
	f.mayHaveRun = f.mayHaveRun || !errors.Is(err, requester.ErrNotSent)
	o := f.errorOutcome(err)
	if o.isServerFailure() {
		f.markFailed(s, err)
	}
	if o == outcomeBroken {
		f.attempts.NoteRun(s.ID)
	}

	return o
}

// errorOutcome tells who has ended an exchange with a server: the caller, the deadline or the
// server.
func (f *forwarder) errorOutcome(err error) outcome {
	switch {
	case errors.Is(err, errCallerGone):
		return outcomeCallerGone
	case errors.Is(err, errDeadline):
		return outcomeDeadline
	case errors.Is(err, drainer.ErrStopping):
		return outcomeStopping
	case endedByContext(f.ctx, err):
		return f.contextOutcome()
	case errors.Is(err, requester.ErrNotSent):
		return outcomeUnsent
	case f.timeLeft() < deadlineUnit:
		// The server was told the time left in whole units and has stopped at its end.
		return outcomeDeadline
	default:
		return outcomeBroken
	}
}

// endedByContext reports whether an exchange with a server failed because its context has
// ended. The context may also have ended after the server had broken the exchange off.
func endedByContext(ctx context.Context, err error) bool {
	cause := context.Cause(ctx)

	return cause != nil && errors.Is(err, cause)
}
