package controller

import (
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/matcher"
	"github.com/damasklever/damasklever/internal/wire"
)

// ErrStale is returned if no majority confirms which plan is the newest.
var ErrStale = errors.New("no majority confirms which plan is the newest")

// ReplacePlan activates a plan if its version is the highest, and returns once a majority
// has it on disk. Retrying is safe. The outcome is done also for a plan that a newer
// one has superseded, conflict for different content under the active version, and
// pending if the plan may or may not have been stored.
func (c *Controller) ReplacePlan(ctx context.Context, p *wire.Plan) *wire.Result {
	if err := matcher.Validate(p); err != nil {
		return &wire.Result{Outcome: wire.Outcome_OUTCOME_INVALID, Text: err.Error()}
	}

	return c.execute(ctx, &wire.Command{
		Id:  fmt.Sprintf("plan/%d/%x", p.GetVersion(), rand.Uint64()), //nolint:gosec // no secret
		Who: "operator", Expect: -1, Body: &wire.Command_Plan{Plan: p},
	}, false)
}

// Plan returns the active plan, or nil before the first one. The read is linearizable: it
// reflects every change completed before the call. Without a majority it returns ErrStale.
func (c *Controller) Plan(ctx context.Context) (*wire.Plan, error) {
	bounded, cancel := c.withTimeout(ctx, c.s.CommitTimeout)
	defer cancel()
	if !c.catchUp(bounded) {
		return nil, ErrStale
	}
	var p *wire.Plan
	if !c.do(func() { p = c.state.Plan() }) {
		return nil, ErrClosed
	}

	return p, nil
}
