package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/budgeter"
	"github.com/damasklever/damasklever/internal/correlator"
	"github.com/damasklever/damasklever/internal/drainer"
	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/requester"
)

// maxBuffered limits the size in bytes of a response body that is buffered in memory.
const maxBuffered = 256 << 10

var (
	// errServerUnavailable is returned for a send to a server that currently accepts no requests.
	errServerUnavailable = errors.New("the server currently accepts no requests")
	// errBodyTooLong is returned for a response body of more than maxBuffered bytes.
	errBodyTooLong = errors.New("the response body is too long to buffer")
)

// send sends the request to a server and applies the notice in its response. It fails if the
// server has announced its shutdown or asked for a pause since it was chosen, if there is no
// time left that the server could be told, or if the answer would come after the end of this
// process.
func (f *forwarder) send(ctx context.Context, s *placer.Server, send Attempt) (*requester.Response, error) {
	if f.g.s.Placer.Unavailable(f.g.s.Timer.Now(), s.ID) {
		return nil, errors.Mark(errors.Newf("send to %s: %w", s.ID, errServerUnavailable), requester.ErrNotSent)
	}
	if f.blocked() > 0 {
		return nil, errBlocked
	}
	if f.timeLeft() < deadlineUnit {
		return nil, errors.Mark(errors.Newf("send to %s: %w", s.ID, errDeadline), requester.ErrNotSent)
	}
	if !f.fitsFrom(send.Handle != "") {
		return nil, errors.Mark(errors.Newf("send to %s: %w", s.ID, drainer.ErrStopping), requester.ErrNotSent)
	}
	// A reservation has counted for its request too.
	charged := 1.0
	if send.ReservationID != "" {
		charged = 0
	} else if !f.g.s.Throttler.Take(f.g.s.Timer.Now(), s.ID, charged) {
		return nil, errors.Newf("send to %s: %w", s.ID, errThrottled)
	}
	r := f.newRequest(send)
	// A late duplicate of an earlier response bears the same id and must not be taken for
	// the response to this send, so a server that was contacted before gets a new
	// connection.
	r.NewConn = slices.Contains(f.contacted, s.ID)
	f.contacted = append(f.contacted, s.ID)
	reporter := f.g.crashReporter
	sent := f.g.s.Timer.Now()
	server := correlator.Server{ID: s.ID, Addr: s.Addr}
	tracked := reporter.tracker.Start(sent, server, correlator.Work{Digest: f.digest, ID: f.hints.ID, Segments: f.segments})
	response, err := f.g.s.Requester.Do(ctx, s.Addr, r)
	if err != nil {
		reporter.noteFailure(ctx, tracked, err)
		if errors.Is(err, requester.ErrNotSent) {
			f.g.s.Throttler.Refund(s.ID, charged)
		}

		return nil, errors.Newf("send to %s: %w", s.ID, err)
	}
	tracked.Heard(f.g.s.Timer.Now())
	response.Body = &trackedBody{
		ReadCloser: response.Body, c: reporter, ctx: ctx, send: tracked, server: server, sentAt: sent, framed: response.Framed,
	}
	f.applyNotice(s, response, sent)

	return response, nil
}

// applyNotice applies what a response states about its server. sent is when the request was
// sent, zero if it was not the caller's.
func (f *forwarder) applyNotice(s *placer.Server, r *requester.Response, sent time.Time) {
	n, now := f.g.s.Dialect.Notice(r.Status, r.Header), f.g.s.Timer.Now()
	if n.Fault != nil {
		f.g.s.Log.Warn().Str("id", f.hints.ID).Str("server", s.ID).Err(n.Fault).Msg("invalid server notice")
	}
	if f.g.s.Dialect.IsRefusal(r.Status, r.Header) || r.Status >= http.StatusInternalServerError {
		sent = time.Time{}
	}
	f.g.observeLimit(s.ID, n.Limit, sent)
	if n.Leaving && f.g.s.Placer.MarkLeaving(now, s.ID) {
		f.g.s.Log.Info().Str("id", f.hints.ID).Str("server", s.ID).Msg("server announced its shutdown")
	}
	if n.Pause > 0 {
		kept := f.g.s.Placer.Pause(now, s.ID, n.Pause)
		f.g.s.Log.Info().Str("id", f.hints.ID).Str("server", s.ID).Dur("asked", n.Pause).Dur("kept", kept).
			Msg("server asked for a pause")
	}
}

// markFailed reports a failed send to the placer, which then prefers other servers.
func (f *forwarder) markFailed(s *placer.Server, err error) {
	if !errors.Is(err, budgeter.ErrFull) && !errors.Is(err, errServerUnavailable) && !errors.Is(err, errBlocked) && !errors.Is(err, errThrottled) {
		f.g.s.Placer.RecordFailure(f.g.s.Timer.Now(), s.ID)
	}
}

// noteError reports the error of a call that does not run the request to the placer, unless
// the end of the request has ended it.
func (f *forwarder) noteError(s *placer.Server, err error) {
	if f.errorOutcome(err).isServerFailure() {
		f.markFailed(s, err)
	}
}

// readBody reads a body completely. A body that breaks off or is too long is an error.
func readBody(held *budgeter.Hold, r *requester.Response) ([]byte, error) {
	b, ended, err := readLimited(held, r)
	if err == nil && !ended {
		_ = r.Body.Close()
		err = errBodyTooLong
	}
	if err != nil {
		return nil, errors.Newf("read body: %w", err)
	}

	return b, nil
}

// readLimited reads a body up to maxBuffered bytes, fewer if no memory is left for callers, and
// reports whether that was all of it.
func readLimited(held *budgeter.Hold, r *requester.Response) ([]byte, bool, error) {
	return held.ReadUpTo(r.Body, maxBuffered+1) //nolint:wrapcheck // the callers add the context
}
