package attendant

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/driver"
	"github.com/damasklever/damasklever/internal/fencer"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	stateWaiting = "waiting"
	stateDone    = "done"
	stateFailed  = "failed"
	// orderTimeout bounds one try of an engine order; weights load slowly.
	orderTimeout = 5 * time.Minute
	// reportWait bounds one proposal.
	reportWait = 5 * time.Second
	// leaveWait bounds the deregistration of an agent that ends.
	leaveWait = 2 * time.Second
)

// followOrders carries out the engine orders of each new view, the oldest token
// first, one at a time.
func (a *Attendant) followOrders(ctx context.Context) {
	for ctx.Err() == nil {
		changed := a.control.Changed()
		for _, order := range a.learn(a.control.View()) {
			a.carryOutOrder(ctx, order)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// learn takes the current token and the open orders from a view. The view was
// confirmed by a quorum after this agent's start if it holds the registration of
// this start, since that went through the log; only then is the token current.
func (a *Attendant) learn(v View) []*wire.Order {
	server := v.Server(a.settings.Name)
	if server.GetEpoch() != a.epoch {
		return nil
	}
	var open []*wire.Order
	for _, order := range server.GetOrders() {
		if order.GetState() == "" || order.GetState() == stateWaiting {
			open = append(open, order)
		}
	}
	slices.SortStableFunc(open, func(x, y *wire.Order) int {
		return compare(x.GetFence(), y.GetFence())
	})
	token := server.GetFence()
	if len(open) > 0 {
		// An order that is still open is current, although a later one exists.
		token = min(token, open[0].GetFence())
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fencer.Learn(token)

	return open
}

func compare(x, y uint64) int {
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	default:
		return 0
	}
}

func (a *Attendant) carryOutOrder(ctx context.Context, order *wire.Order) {
	id := order.GetId()
	a.mu.Lock()
	verdict := a.fencer.Begin(id, order.GetFence())
	a.mu.Unlock()
	result := verdict.Result
	switch verdict.Kind {
	case fencer.Run:
		a.noteOrder(id, "running")
		result = a.executeOrder(ctx, order)
		if ctx.Err() != nil {
			return
		}
		a.mu.Lock()
		a.fencer.Finish(id, result)
		a.mu.Unlock()
		a.deps.Log.Info().Str("server", a.settings.Name).Str("order", id).
			Str("state", result.State).Str("reason", result.Reason).Msg("order")
	case fencer.Stale:
		result = fencer.Result{State: stateFailed, Reason: "the fencing token is stale"}
	case fencer.Repeat:
	default:
		return
	}
	a.noteOrder(id, "report")
	a.report(ctx, &wire.Command{
		Id: "report/" + a.settings.Name + "/" + id, Who: a.settings.Name, Expect: -1,
		Body: &wire.Command_Report{Report: &wire.Report{
			Server: a.settings.Name, Order: id, State: result.State, Reason: result.Reason,
		}},
	})
	a.noteOrder(id, "")
}

// executeOrder repeats an order until the engine has carried it out or rejected
// it, or the order is no longer current.
func (a *Attendant) executeOrder(ctx context.Context, order *wire.Order) fencer.Result {
	for wait := retryMin; ; wait = min(2*wait, retryMax) {
		err := a.tryOrder(ctx, order)
		switch {
		case err == nil:
			return fencer.Result{State: stateDone}
		case errors.Is(err, driver.ErrStale), errors.Is(err, driver.ErrRefused),
			errors.Is(err, driver.ErrInvalid):
			return fencer.Result{State: stateFailed, Reason: err.Error()}
		case !sleep(ctx, wait):
			return fencer.Result{}
		case !a.stillOpen(order):
			return fencer.Result{State: stateFailed, Reason: "superseded"}
		}
	}
}

func (a *Attendant) tryOrder(ctx context.Context, order *wire.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()

	return a.backend.Order(ctx, driver.Order{
		ID: order.GetId(), Verb: order.GetVerb(), Subject: order.GetSubject(), Fence: order.GetFence(),
	})
}

// stillOpen reports whether the order is in the latest view and no newer token
// was used.
func (a *Attendant) stillOpen(order *wire.Order) bool {
	server := a.control.View().Server(a.settings.Name)
	listed := slices.ContainsFunc(server.GetOrders(), func(o *wire.Order) bool {
		return o.GetId() == order.GetId()
	})
	a.mu.Lock()
	defer a.mu.Unlock()

	return listed && a.fencer.Current(order.GetFence())
}

func (a *Attendant) noteOrder(id, state string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state == "" {
		delete(a.orders, id)
	} else {
		a.orders[id] = state
	}
}

// report proposes a command until it has a final result. Its id is the same each
// time, so a repeat has no further effect.
func (a *Attendant) report(ctx context.Context, cmd *wire.Command) {
	for wait := retryMin; ; wait = min(2*wait, retryMax) {
		inner, cancel := context.WithTimeout(ctx, reportWait)
		result, err := a.control.Propose(inner, cmd)
		cancel()
		if err == nil && isFinal(result.GetOutcome()) {
			return
		}
		a.deps.Log.Warn().Err(err).Str("server", a.settings.Name).Str("command", cmd.GetId()).Msg("propose")
		if !sleep(ctx, wait) {
			return
		}
	}
}

func isFinal(o wire.Outcome) bool {
	switch o {
	case wire.Outcome_OUTCOME_DONE, wire.Outcome_OUTCOME_CONFLICT, wire.Outcome_OUTCOME_INVALID:
		return true
	default:
		return false
	}
}

// blame reports digests after a crash. The caller holds mu.
func (a *Attendant) blame(digests []string) {
	a.crashes++
	crash := a.settings.Name + "/" + strconv.FormatUint(a.epoch, 10) + "/" + strconv.Itoa(a.crashes)
	a.deps.Log.Warn().Str("server", a.settings.Name).Strs("digests", digests).Msg("blame")
	a.work.Go(func() {
		a.report(a.ctx, &wire.Command{
			Id: "blame/" + crash, Who: a.settings.Name, Expect: -1,
			Body: &wire.Command_Blame{Blame: &wire.Blame{
				Digests: digests, Server: a.settings.Name, Crash: crash,
			}},
		})
	})
}

// deregister takes an agent that ends out of the fleet. If that fails, the
// control hosts notice the missing heartbeats.
//
//nolint:contextcheck,nolintlint // the directive reaches callers, which nolintlint does not see; the agent leaves without a caller
func (a *Attendant) deregister() {
	ctx, cancel := context.WithTimeout(a.ctx, leaveWait)
	defer cancel()
	_, err := a.control.Propose(ctx, &wire.Command{
		Id:  "leave/" + a.settings.Name + "/" + strconv.FormatUint(a.epoch, 10),
		Who: a.settings.Name, Expect: -1,
		Body: &wire.Command_Register{Register: &wire.Register{Attach: a.attach(), Gone: true}},
	})
	if err != nil {
		a.deps.Log.Info().Err(err).Str("server", a.settings.Name).Msg("deregister")
	}
}
