package gateway

import (
	"time"

	"github.com/damasklever/damasklever/internal/admitter"
)

// windowMargin keeps all gateways together below the limit although those that restart forget
// what they have sent.
const windowMargin = 0.75

// retryBudget is the retry budget of one pool.
type retryBudget struct {
	// exact is set if the budget may be used up in each window, for pools whose requests are
	// offered to further servers.
	exact  bool
	budget *admitter.Budget
	window *admitter.Window
}

func (b *retryBudget) first(now time.Time) {
	b.budget.First(now)
	b.window.First(now)
}

// take takes one retry. It returns false if the budget is used up.
func (b *retryBudget) take(now time.Time) bool {
	switch {
	case !b.exact && b.budget.Take(now):
		b.window.CountExtra(now)
	case b.exact && b.window.Left(now):
		b.countExtra(now)
	default:
		return false
	}

	return true
}

func (b *retryBudget) countExtra(now time.Time) {
	b.budget.CountExtra(now)
	b.window.CountExtra(now)
}

func (b *retryBudget) refund(now, taken time.Time) {
	b.budget.Refund(now, taken)
	b.window.Refund(now, taken)
}

// retryBudget returns the retry budget of a pool. The caller must hold mu.
func (g *Gateway) retryBudget(pool string) *retryBudget {
	b := g.retryBudgets[pool]
	if b == nil {
		b = &retryBudget{budget: admitter.NewBudget(0, 0, g.s.RetryWindow), window: admitter.NewWindow(g.s.RetryWindow)}
		g.retryBudgets[pool] = b
	}
	plan, slack := g.s.Plan(), g.slackShare()
	b.exact = plan != nil && plan.Balance(pool).GetOffers()
	b.budget.Configure(g.s.RetryRatio*retryBudgetMargin, slack*retryBudgetMargin)
	b.window.Configure(g.s.RetryRatio*windowMargin, slack*windowMargin)

	return b
}
