package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/placer"
	"github.com/damasklever/damasklever/internal/requester"
)

// prefillRemotely has the prefill server of a placement process the prompt. It returns the
// handle under which the result is kept, or "" if the decode server has to process the
// prompt itself.
func (f *forwarder) prefillRemotely(p *placement) string {
	s, started := p.choice.Prefill, f.g.s.Timer.Now()
	defer f.g.s.Placer.EndRequest(s.ID)
	handle, err := "", error(nil)
	if f.mayPrefill(p.prefill != nil) {
		handle, err = f.prefill(s)
	} else {
		err = errRetryBudget
	}
	switch {
	case p.prefill == nil:
	case err != nil && f.ctx.Err() == nil && !errors.Is(err, errRetryBudget):
		p.prefill.ReleaseBroken()
	default:
		p.prefill.Release()
	}
	if err != nil {
		f.logSend(placer.Choice{Server: s}, started, outcomeBroken, err)
	}

	return handle
}

// errRetryBudget is returned for a send that the retry budget of its pool does not allow.
var errRetryBudget = errors.New("the retry budget is used up")

// mayPrefill reports whether the prompt may be sent to a prefill server. Only the first such
// send that a server accepts is not charged to the retry budget. A server whose agent has
// granted a turn accepts. Any other one may refuse, as many do at the same time when they
// are full, and each refusal counts as a retry.
func (f *forwarder) mayPrefill(granted bool) bool {
	if f.prefills > 0 {
		return f.g.takeRetry(f.pool)
	}

	return granted || f.g.hasRetryBudget(f.pool)
}

// countPrefill charges the retry budget for a send that a prefill server did not accept,
// unless mayPrefill has already charged it.
func (f *forwarder) countPrefill(accepted bool, err error) {
	if f.prefills == 0 && !accepted && !errors.Is(err, requester.ErrNotSent) {
		f.g.chargeRetry(f.pool)
	}
	if accepted {
		f.prefills++
	}
}

// prefillTimeoutFactor limits the time of a prefill to this multiple of the expected time.
// It is twice what a server needs that processes another prompt at the same time. Waiting
// any longer for an unresponsive server would leave no time for the decode server to process
// the prompt itself.
const prefillTimeoutFactor = 4

// errPrefillTimeout ends the wait for a prefill server that does not respond.
var errPrefillTimeout = errors.New("the prefill server did not respond in time")

// prefill has a server process the prompt and returns the handle under which the server
// keeps the result.
func (f *forwarder) prefill(s *placer.Server) (string, error) {
	ctx, cancel := context.WithCancelCause(f.ctx)
	defer cancel(nil)
	defer f.g.s.Timer.After(prefillTimeoutFactor*f.prefillTime()+firstEventOverhead, func(time.Time) { cancel(errPrefillTimeout) })()
	response, err := f.send(ctx, s, Attempt{Server: s.ID, Prefill: true})
	f.countPrefill(err == nil && response.Status == http.StatusOK, err)
	if err != nil {
		f.markFailed(s, err)

		return "", errors.Newf("prefill: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readBody(response)
	if err != nil {
		f.g.s.Placer.RecordFailure(f.g.s.Timer.Now(), s.ID)

		return "", errors.Newf("prefill: %w", err)
	}
	if response.Status != http.StatusOK {
		f.g.s.Placer.RecordFailure(f.g.s.Timer.Now(), s.ID)

		return "", errors.Newf("prefill: status %d", response.Status)
	}
	handle, err := f.g.s.Dialect.ParseHandle(body)
	if err != nil {
		return "", errors.Newf("prefill: %w", err)
	}
	f.g.s.Placer.MarkPromptRead(f.g.s.Timer.Now(), s.ID)

	return handle, nil
}
