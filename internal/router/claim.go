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
	minSettlePause = 200 * time.Millisecond
	maxSettlePause = 5 * time.Second
	// settleTimeout bounds one proposal of a settlement.
	settleTimeout = 10 * time.Second
	// settleTries bounds the repetitions, about ten minutes. Without its
	// settlement a claim stays "running" until this process is gone.
	settleTries = 120
)

// claim proposes the claim of a non-idempotent call. Without a quorum it is
// refused at once.
func (f *flight) claim() {
	if !f.r.control.Fresh(f.r.timers.Now()) {
		go f.step(dispatcher.Claimed{Text: "no quorum of control hosts"})

		return
	}
	cmd := &wire.Command{
		Id: f.request.ID + ".claim", Who: f.r.settings.Name, Expect: -1,
		Body: &wire.Command_Claim{Claim: &wire.Claim{
			Key: f.request.Key, Digest: f.digest, Entry: f.r.settings.Name, Epoch: f.r.epoch,
			Request: f.request.ID, Retention: int64(f.keep / time.Second),
		}},
	}
	go func() {
		ctx, cancel := context.WithTimeout(f.r.ctx, f.limits().Claim)
		defer cancel()
		result, err := f.r.control.Propose(ctx, cmd)
		c := claimed(result, err)
		f.r.meter.claimed(f, c)
		f.step(c)
	}()
}

func (f *flight) limits() dispatcher.Limits {
	l, d := f.request.Limits, dispatcher.DefaultLimits()
	if l.Claim == 0 {
		l.Claim = d.Claim
	}

	return l
}

// claimed translates the log's result.
func claimed(r *wire.Result, err error) dispatcher.Claimed {
	if err != nil {
		var proposal *subscriber.ProposeError
		sure := errors.As(err, &proposal) && !proposal.Stored

		return dispatcher.Claimed{Unknown: !sure, Text: err.Error()}
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

// settle records the end of the call. It is repeated until the log has it.
func (f *flight) settle(s dispatcher.Settle) {
	cmd := &wire.Command{
		Id: f.request.ID + ".settle", Who: f.r.settings.Name, Expect: -1,
		Body: &wire.Command_Settle{Settle: &wire.Settle{
			Key: s.Key, Request: f.request.ID, Stage: s.Stage, Answer: s.Answer,
		}},
	}
	f.r.work.Add(1)
	go func() {
		defer f.r.work.Done()
		f.r.settle(f.request.ID, cmd)
	}()
}

func (r *Router) settle(request string, cmd *wire.Command) {
	pause := minSettlePause
	for range settleTries {
		ctx, cancel := context.WithTimeout(r.ctx, settleTimeout)
		result, err := r.control.Propose(ctx, cmd)
		cancel()
		if err == nil && settledFor(result) {
			return
		}
		if !r.sleep(pause) {
			break
		}
		pause = min(2*pause, maxSettlePause)
	}
	r.log.Error().Str("req", request).Str("key", cmd.GetSettle().GetKey()).
		Str("stage", cmd.GetSettle().GetStage().String()).Msg("claim not settled")
}

// settledFor reports whether a result is final.
func settledFor(r *wire.Result) bool {
	switch r.GetOutcome() {
	case wire.Outcome_OUTCOME_UNKNOWN, wire.Outcome_OUTCOME_PENDING:
		return false
	default:
		return true
	}
}

// sleep waits and reports whether the process goes on.
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
