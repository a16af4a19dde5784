package agent

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
	orderWaiting = "waiting"
	orderDone    = "done"
	orderFailed  = "failed"
	// orderTimeout bounds one try of an engine order. It is long because an order may
	// load model weights.
	orderTimeout = 5 * time.Minute
	// proposeTimeout bounds one proposal.
	proposeTimeout = 5 * time.Second
	// deregisterTimeout bounds the deregistration at shutdown.
	deregisterTimeout = 2 * time.Second
)

// followOrders executes the engine orders of each new view one at a time, in the order
// of their fencing tokens.
func (a *Agent) followOrders(ctx context.Context) {
	for ctx.Err() == nil {
		changed := a.control.Changed()
		for _, order := range a.readOrders(a.control.View()) {
			a.processOrder(ctx, order)
		}
		a.registerRole(ctx)
		select {
		case <-changed:
		case <-a.wakeOrders:
		case <-ctx.Done():
		}
	}
}

// registerRole registers the engine's role again if the view has another one. This
// happens when the subscriber reconnects, because it attaches with the role that the
// engine had when the agent started.
func (a *Agent) registerRole(ctx context.Context) {
	server := a.control.View().Server(a.settings.Name)
	attachRequest := a.attachRequest()
	if server.GetEpoch() != a.epoch || server.GetPhase() == "" || server.GetPhase() == attachRequest.GetPhase() {
		return
	}
	a.roleChanges++
	a.proposeUntilFinal(ctx, &wire.Command{
		Id:  "role/" + a.settings.Name + "/" + strconv.FormatUint(a.epoch, 10) + "/" + strconv.Itoa(a.roleChanges),
		Who: a.settings.Name, Expect: -1,
		Body: &wire.Command_Register{Register: &wire.Register{Attach: attachRequest}},
	})
}

// readOrders returns the open orders of a view, sorted by fencing token, and passes the
// current token to the fencer. It ignores a view without the registration of this start
// of the agent. A view that contains the registration was confirmed by a quorum after
// the start, since the registration went through the replicated log, and only then is
// its token known to be current.
func (a *Agent) readOrders(v View) []*wire.Order {
	server := v.Server(a.settings.Name)
	if server.GetEpoch() != a.epoch {
		return nil
	}
	var open []*wire.Order
	for _, order := range server.GetOrders() {
		if order.GetState() == "" || order.GetState() == orderWaiting {
			open = append(open, order)
		}
	}
	slices.SortStableFunc(open, func(x, y *wire.Order) int {
		return compare(x.GetFence(), y.GetFence())
	})
	token := server.GetFence()
	if len(open) > 0 {
		// An open order stays valid even if a later one exists.
		token = min(token, open[0].GetFence())
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fencer.UpdateToken(token)

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

// processOrder executes an order unless its token is stale or it was executed before,
// and reports the result to control.
func (a *Agent) processOrder(ctx context.Context, order *wire.Order) {
	id := order.GetId()
	a.mu.Lock()
	verdict := a.fencer.Begin(id, order.GetFence())
	a.mu.Unlock()
	result := verdict.Result
	switch verdict.Kind {
	case fencer.Run:
		a.setOrderState(id, "running")
		result = a.executeOrder(ctx, order)
		if ctx.Err() != nil {
			return
		}
		a.mu.Lock()
		a.fencer.Finish(id, result)
		if order.GetVerb() == "role" && result.State == orderDone {
			a.phase = order.GetSubject()
		}
		a.mu.Unlock()
		a.deps.Log.Info().Str("server", a.settings.Name).Str("order", id).
			Str("state", result.State).Str("reason", result.Reason).Msg("order")
	case fencer.Stale:
		result = fencer.Result{State: orderFailed, Reason: "the fencing token is stale"}
	case fencer.Duplicate:
	default:
		return
	}
	a.setOrderState(id, "report")
	a.proposeUntilFinal(ctx, &wire.Command{
		Id: "report/" + a.settings.Name + "/" + id, Who: a.settings.Name, Expect: -1,
		Body: &wire.Command_Report{Report: &wire.Report{
			Server: a.settings.Name, Order: id, State: result.State, Reason: result.Reason,
		}},
	})
	a.setOrderState(id, "")
}

// errUnconfirmed delays an order. Without recent confirmation of the view by a quorum,
// the agent cannot know whether the order is still current.
var errUnconfirmed = errors.New("no quorum has confirmed the order recently")

// executeOrder sends an order to the engine until the engine has executed or rejected
// it, or the order is no longer current.
func (a *Agent) executeOrder(ctx context.Context, order *wire.Order) fencer.Result {
	for wait := minRetryWait; ; wait = min(2*wait, maxRetryWait) {
		err := errUnconfirmed
		if a.control.Fresh(a.deps.Timer.Now()) {
			err = a.sendOrder(ctx, order)
		}
		switch {
		case err == nil:
			return fencer.Result{State: orderDone}
		case errors.Is(err, driver.ErrStaleToken), errors.Is(err, driver.ErrRefused),
			errors.Is(err, driver.ErrInvalid):
			return fencer.Result{State: orderFailed, Reason: err.Error()}
		case !sleep(ctx, wait):
			return fencer.Result{}
		case !a.stillOpen(order):
			return fencer.Result{State: orderFailed, Reason: "superseded"}
		}
	}
}

func (a *Agent) sendOrder(ctx context.Context, order *wire.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()

	return a.backend.Order(ctx, driver.Order{
		ID: order.GetId(), Verb: order.GetVerb(), Subject: order.GetSubject(), Fence: order.GetFence(),
	})
}

// stillOpen reports whether the order is in the latest view and its token is still
// current.
func (a *Agent) stillOpen(order *wire.Order) bool {
	server := a.control.View().Server(a.settings.Name)
	listed := slices.ContainsFunc(server.GetOrders(), func(o *wire.Order) bool {
		return o.GetId() == order.GetId()
	})
	a.mu.Lock()
	defer a.mu.Unlock()

	return listed && a.fencer.IsCurrent(order.GetFence())
}

// setOrderState sets the state of an order in Dump. An empty state removes the order.
func (a *Agent) setOrderState(id, state string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state == "" {
		delete(a.orderStates, id)
	} else {
		a.orderStates[id] = state
	}
}

// proposeUntilFinal proposes a command until it has a final result or ctx ends. The
// command keeps its id, so that a repeated proposal has no further effect.
func (a *Agent) proposeUntilFinal(ctx context.Context, cmd *wire.Command) {
	for wait := minRetryWait; ; wait = min(2*wait, maxRetryWait) {
		inner, cancel := context.WithTimeout(ctx, proposeTimeout)
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

// reportCrash reports to control the digests that were in flight at a crash. The caller
// holds mu.
func (a *Agent) reportCrash(digests []string) {
	a.crashCount++
	crash := a.settings.Name + "/" + strconv.FormatUint(a.epoch, 10) + "/" + strconv.Itoa(a.crashCount)
	a.deps.Log.Warn().Str("server", a.settings.Name).Strs("digests", digests).Msg("blame")
	a.tasks.Go(func() {
		a.proposeUntilFinal(a.ctx, &wire.Command{
			Id: "blame/" + crash, Who: a.settings.Name, Expect: -1,
			Body: &wire.Command_Blame{Blame: &wire.Blame{
				Digests: digests, Server: a.settings.Name, Crash: crash,
			}},
		})
	})
}

// deregister removes the agent's registration at shutdown. If that fails, the control
// hosts detect the missing heartbeats.
//
//nolint:contextcheck,nolintlint // contextcheck also reports callers, which nolintlint does not see; a shutdown has no caller's context
func (a *Agent) deregister() {
	ctx, cancel := context.WithTimeout(a.ctx, deregisterTimeout)
	defer cancel()
	_, err := a.control.Propose(ctx, &wire.Command{
		Id:  "leave/" + a.settings.Name + "/" + strconv.FormatUint(a.epoch, 10),
		Who: a.settings.Name, Expect: -1,
		Body: &wire.Command_Register{Register: &wire.Register{Attach: a.attachRequest(), Gone: true}},
	})
	if err != nil {
		a.deps.Log.Info().Err(err).Str("server", a.settings.Name).Msg("deregister")
	}
}
