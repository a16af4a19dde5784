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
	handle, err := "", errRetryBudget
	if charge, ok := f.chargePrefill(p.prefill != nil); ok {
		handle, err = f.prefill(s, charge)
	}
	switch {
	case p.prefill == nil:
	case err != nil && f.errorOutcome(err).isServerFailure() && !errors.Is(err, errRetryBudget):
		p.prefill.ReleaseBroken()
	case err != nil && (f.bySpeed || f.paced()):
		p.prefill.Withdraw()
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

// prefillCharge is what one send of a prompt to a prefill server has been charged to the
// retry budget.
type prefillCharge struct {
	taken   bool
	takenAt time.Time
	granted bool // the server's agent has granted a turn
}

// chargePrefill charges the retry budget for sending the prompt to a prefill server. It
// returns false if the budget does not allow the send. Only the first such send that a
// server accepts is not a retry, and which one that is is known only afterwards: each send
// takes its room in advance, or all sends in flight could be refused beyond the budget. A
// send with a granted turn is accepted unless something is wrong, so it takes none in
// advance until one is refused.
func (f *forwarder) chargePrefill(granted bool) (prefillCharge, bool) {
	charge := prefillCharge{granted: granted}
	if granted && f.prefills == 0 && f.g.trustsGrants(f.pool) {
		return charge, true
	}
	charge.taken, charge.takenAt = f.g.takeRetry(f.pool), f.g.s.Timer.Now()

	return charge, charge.taken
}

// settlePrefill corrects the charge for a send once it is known whether the server has
// accepted the prompt.
func (f *forwarder) settlePrefill(charge prefillCharge, accepted bool, err error) {
	retry := f.prefills > 0 || !accepted
	if errors.Is(err, requester.ErrNotSent) {
		retry = false
	}
	switch {
	case retry && !charge.taken:
		f.g.chargeRetry(f.pool)
	case !retry && charge.taken:
		f.g.refundRetry(f.pool, charge.takenAt)
	}
	if err == nil && !accepted && charge.granted {
		f.g.noteGrantRefused(f.pool)
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
func (f *forwarder) prefill(s *placer.Server, charge prefillCharge) (string, error) {
	ctx, cancel := context.WithCancelCause(f.ctx)
	defer cancel(nil)
	defer f.g.s.Timer.After(prefillTimeoutFactor*f.prefillTime()+firstEventOverhead, func(time.Time) { cancel(errPrefillTimeout) })()
	response, err := f.send(ctx, s, Attempt{Server: s.ID, Prefill: true})
	f.settlePrefill(charge, err == nil && response.Status == http.StatusOK, err)
	if err != nil {
		f.noteError(s, err)

		return "", errors.Newf("prefill: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readBody(f.held, response)
	if err != nil {
		f.noteError(s, err)

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
