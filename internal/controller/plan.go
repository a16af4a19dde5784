package controller

import (
	"context"
	"fmt"
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/planner"
	"github.com/damasklever/damasklever/internal/wire"
)

// ErrStale says that this host cannot tell which plan is the newest.
var ErrStale = errors.New("no majority confirms which plan is the newest")

// Replace puts a plan in force if its version is the highest, and returns once a
// majority has it on disk. A resend is safe. The outcome is done also for a plan
// that a newer one has superseded, conflict for other content under the version
// in force, and pending while it may or may not be stored.
func (c *Controller) Replace(ctx context.Context, p *wire.Plan) *wire.Result {
	if err := planner.Validate(p); err != nil {
		return &wire.Result{Outcome: wire.Outcome_OUTCOME_INVALID, Text: err.Error()}
	}

	return c.command(ctx, &wire.Command{
		Id:  fmt.Sprintf("plan/%d/%x", p.GetVersion(), rand.Uint64()), //nolint:gosec // no secret
		Who: "operator", Expect: -1, Body: &wire.Command_Plan{Plan: p},
	}, false)
}

// Plan returns the plan in force, nil before the first one, with every change
// completed before the call. The error is ErrStale without a majority.
func (c *Controller) Plan(ctx context.Context) (*wire.Plan, error) {
	bounded, cancel := c.within(ctx, c.s.Commit)
	defer cancel()
	if !c.confirm(bounded) {
		return nil, ErrStale
	}
	var p *wire.Plan
	if !c.do(func() { p = c.state.Plan() }) {
		return nil, ErrClosed
	}

	return p, nil
}
