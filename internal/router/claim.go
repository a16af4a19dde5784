package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/dispatcher"
	"github.com/damasklever/damasklever/internal/subscriber"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	minSettleBackoff = 200 * time.Millisecond
	maxSettleBackoff = 5 * time.Second
	// settleTimeout bounds one attempt to commit a settlement.
	settleTimeout = 10 * time.Second
	// maxSettleAttempts is worth about ten minutes of retries. A claim that is never
	// settled stays "running" until this process is gone.
	maxSettleAttempts = 120
)

// proposeClaim proposes the claim of a non-idempotent call to the replicated log
// and passes the result to the state machine. Without a quorum the claim is refused
// at once.
func (f *inflight) proposeClaim() {
	if !f.r.control.Fresh(f.r.timers.Now()) {
		go f.step(dispatcher.Claimed{Text: "no quorum of control hosts"})

		return
	}
	cmd := &wire.Command{
		Id: f.request.ID + ".claim", Who: f.r.settings.Name, Expect: -1,
		Body: &wire.Command_Claim{Claim: &wire.Claim{
			Key: f.request.Key, Digest: f.digest, Entry: f.r.settings.Name, Epoch: f.r.epoch,
			Request: f.request.ID, Retention: int64(f.retention / time.Second),
		}},
	}
	go func() {
		ctx, cancel := context.WithTimeout(f.r.ctx, f.limits().Claim)
		defer cancel()
		result, err := f.r.control.Propose(ctx, cmd)
		event := claimResult(result, err)
		f.r.metrics.claimResult(f, event)
		f.step(event)
	}()
}

// limits returns the request's limits with the default for Claim.
func (f *inflight) limits() dispatcher.Limits {
	l, defaults := f.request.Limits, dispatcher.DefaultLimits()
	if l.Claim == 0 {
		l.Claim = defaults.Claim
	}

	return l
}

// claimResult converts the result of a claim to an event. After an error the
// result is unknown, unless it is certain that the log doesn't hold the claim.
func claimResult(r *wire.Result, err error) dispatcher.Claimed {
	if err != nil {
		var proposal *subscriber.ProposeError
		notStored := errors.As(err, &proposal) && !proposal.Stored

		return dispatcher.Claimed{Unknown: !notStored, Text: err.Error()}
	}
	switch r.GetOutcome() {
	case wire.Outcome_OUTCOME_DONE:
		return dispatcher.Claimed{OK: true, Fresh: r.GetFresh(), Stage: r.GetStage(), Answer: r.GetAnswer()}
	case wire.Outcome_OUTCOME_CONFLICT:
		return dispatcher.Claimed{Conflict: true, Text: r.GetText()}
	case wire.Outcome_OUTCOME_REFUSED, wire.Outcome_OUTCOME_INVALID:
		return dispatcher.Claimed{Text: r.GetText()}
	default:
		return dispatcher.Claimed{Unknown: true, Text: r.GetText()}
	}
}

// proposeSettlement records the final stage of a claimed call in the replicated log,
// in the background and with retries.
func (f *inflight) proposeSettlement(s dispatcher.Settle) {
	cmd := &wire.Command{
		Id: f.request.ID + ".settle", Who: f.r.settings.Name, Expect: -1,
		Body: &wire.Command_Settle{Settle: &wire.Settle{
			Key: s.Key, Request: f.request.ID, Stage: s.Stage, Answer: s.Answer,
		}},
	}
	f.r.background.Add(1)
	go func() {
		defer f.r.background.Done()
		f.r.proposeSettlement(f.request.ID, cmd)
	}()
}

// proposeSettlement proposes a settlement until the log has a final result for it.
func (r *Router) proposeSettlement(request string, cmd *wire.Command) {
	backoff := minSettleBackoff
	for range maxSettleAttempts {
		ctx, cancel := context.WithTimeout(r.ctx, settleTimeout)
		result, err := r.control.Propose(ctx, cmd)
		cancel()
		if err == nil && isFinal(result) {
			return
		}
		if !r.sleep(backoff) {
			break
		}
		backoff = min(2*backoff, maxSettleBackoff)
	}
	r.log.Error().Str("req", request).Str("key", cmd.GetSettle().GetKey()).
		Str("stage", cmd.GetSettle().GetStage().String()).Msg("giving up on the settlement of a claim")
}

// isFinal reports whether repeating the command could not change its result.
func isFinal(r *wire.Result) bool {
	switch r.GetOutcome() {
	case wire.Outcome_OUTCOME_UNKNOWN, wire.Outcome_OUTCOME_PENDING:
		return false
	default:
		return true
	}
}

// sleep waits for d. It returns false if the process ends first.
func (r *Router) sleep(d time.Duration) bool {
	woken := make(chan struct{})
	stop := r.timers.After(d, func(time.Time) { close(woken) })
	defer stop()
	select {
	case <-woken:
		return true
	case <-r.ctx.Done():
		return false
	}
}
