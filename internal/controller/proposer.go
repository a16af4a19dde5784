package controller

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/replicator"
	"github.com/damasklever/damasklever/internal/wire"
)

// forceInterval is the time between two counts of the processes that have a
// change in force.
const forceInterval = 50 * time.Millisecond

// command proposes a command, here or at the leader, and waits for its result.
func (c *Controller) command(ctx context.Context, cmd *wire.Command, forwarded bool) *wire.Result {
	if cmd.GetId() == "" {
		return outcome(cmd, wire.Outcome_OUTCOME_INVALID, "a command needs an id")
	}
	bounded, cancel := c.within(ctx, c.s.Commit)
	defer cancel()
	ch, leader, err := c.propose(bounded, cmd)
	for errors.Is(err, replicator.ErrChanging) && c.pause(bounded, retryInterval) {
		ch, leader, err = c.propose(bounded, cmd)
	}
	switch {
	case errors.Is(err, errNothing):
		return outcome(cmd, wire.Outcome_OUTCOME_DONE, err.Error())
	case errors.Is(err, replicator.ErrNotLeader):
		if leader == "" || forwarded {
			return outcome(cmd, wire.Outcome_OUTCOME_REFUSED, "not run: this control host knows no leader to send it to")
		}

		return c.forward(ctx, cmd, leader)
	case errors.Is(err, errInvalid):
		return outcome(cmd, wire.Outcome_OUTCOME_INVALID, err.Error())
	case err != nil:
		return outcome(cmd, wire.Outcome_OUTCOME_REFUSED, "not run: "+err.Error())
	}
	var result *wire.Result
	select {
	case result = <-ch:
	case <-bounded.Done():
	}
	if result == nil {
		return outcome(cmd, wire.Outcome_OUTCOME_PENDING, "not committed in time; send the same id again")
	}
	if cmd.GetPeering() != nil {
		result.Id = cmd.GetId()
		result.Text = "the member is removed"
		if cmd.GetPeering().GetVerb() == "add" {
			result.Text = "the member is added; it votes once it has caught up"
		}
	}
	if cmd.GetChange() != nil && result.GetOutcome() == wire.Outcome_OUTCOME_DONE && !cmd.GetChange().GetDry() {
		return c.count(ctx, result)
	}

	return result
}

var (
	errInvalid = errors.New("invalid")
	errNothing = errors.New("nothing to do")
)

func outcome(cmd *wire.Command, o wire.Outcome, text string) *wire.Result {
	return &wire.Result{Id: cmd.GetId(), Outcome: o, Text: text}
}

// within bounds ctx by d on the process's clock.
func (c *Controller) within(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := c.s.Timer.After(d, func(time.Time) { cancel() })

	return ctx, func() { stop(); cancel() }
}

// propose appends the command if this host leads. The channel gets the result
// when it is committed. Otherwise it returns the leader's address, if known.
func (c *Controller) propose(ctx context.Context, cmd *wire.Command) (ch chan *wire.Result, leader string, err error) {
	add, err := c.newcomer(ctx, cmd.GetPeering())
	if err != nil {
		return nil, "", err
	}
	ran := c.do(func() {
		var index, term uint64
		if index, term, err = c.append(cmd, add); err == nil {
			ch = make(chan *wire.Result, 1)
			c.waiting[index] = &waiter{term: term, ch: ch}
		}
		leader = c.leaderAddr()
	})
	if !ran {
		return nil, "", ErrClosed
	}

	return ch, leader, err
}

// append runs in the event loop.
func (c *Controller) append(cmd *wire.Command, add *wire.Member) (index, term uint64, err error) {
	if p := cmd.GetPeering(); p != nil {
		return c.appendPeering(p, add)
	}
	stored, _ := proto.Clone(cmd).(*wire.Command)
	// The log's time never goes back, also when leaders' clocks differ.
	stored.Time = max(c.s.Timer.Now().UnixMilli(), c.clock)
	c.clock = stored.Time
	data, err := proto.Marshal(stored)
	if err != nil {
		return 0, 0, errors.Newf("encode command: %w", err)
	}

	return c.core.Propose(data)
}

// appendPeering runs in the event loop. A change of the members that is sent
// again finds nothing to do.
func (c *Controller) appendPeering(p *wire.Peering, add *wire.Member) (index, term uint64, err error) {
	st := c.core.Status()
	if st.Role != replicator.Leader {
		return 0, 0, replicator.ErrNotLeader
	}
	id := c.memberID(p)
	is := func(m *wire.Member) bool { return m.GetId() == id }
	member := slices.ContainsFunc(st.Members.GetVoters(), is) || slices.ContainsFunc(st.Members.GetLearners(), is)
	switch {
	case add == nil && !member:
		return 0, 0, errors.Newf("%w: it is no member", errNothing)
	case add == nil:
		return c.core.Remove(id)
	case member && add.GetId() == id:
		return 0, 0, errors.Newf("%w: it is a member", errNothing)
	case member:
		return 0, 0, errors.Newf("the member at %s has another data directory; remove it first: %w", p.GetAddr(), errInvalid)
	}

	return c.core.AddLearner(add)
}

func (c *Controller) leaderAddr() string {
	st := c.core.Status()
	for _, m := range st.Members.GetVoters() {
		if m.GetId() == st.Leader && st.Role != replicator.Leader {
			return m.GetAddr()
		}
	}

	return ""
}

func (c *Controller) memberID(p *wire.Peering) uint64 {
	st := c.core.Status()
	for _, m := range append(st.Members.GetVoters(), st.Members.GetLearners()...) {
		if p.GetAddr() != "" && m.GetAddr() == p.GetAddr() {
			return m.GetId()
		}
	}

	return p.GetId()
}

// newcomer asks a host that is to be added for its identity.
func (c *Controller) newcomer(ctx context.Context, p *wire.Peering) (*wire.Member, error) {
	switch p.GetVerb() {
	case "":
		if p != nil {
			return nil, errors.Newf("verb of a peering is missing: %w", errInvalid)
		}

		return nil, nil //nolint:nilnil // no host is to be added
	case "remove":
		return nil, nil //nolint:nilnil // no host is to be added
	case "add":
		g, err := c.greet(ctx, p.GetAddr())
		if err != nil {
			return nil, errors.Newf("reach the new host: %w", err)
		}

		return &wire.Member{Id: g.GetId(), Addr: p.GetAddr(), Number: g.GetNumber()}, nil
	default:
		return nil, errors.Newf("verb %q of a peering is not add or remove: %w", p.GetVerb(), errInvalid)
	}
}

// forward sends the command to the leader and returns its result. The leader may
// have taken the command although its answer did not arrive.
func (c *Controller) forward(ctx context.Context, cmd *wire.Command, leader string) *wire.Result {
	// The leader waits as long as this host for the commit, and then for the
	// processes to report.
	ctx, cancel := c.within(ctx, c.s.Commit+c.s.Force+c.s.Election)
	defer cancel()
	ctx, stop := c.whileLeads(ctx, leader)
	defer stop()
	response, err := c.links.call(ctx, leader, &wire.Request{
		Body: &wire.Request_Command{Command: cmd}, Forwarded: true,
	})
	switch {
	case errors.Is(err, errNotSent):
		return outcome(cmd, wire.Outcome_OUTCOME_REFUSED, "not run: the leader cannot be reached")
	case err != nil || response.GetResult() == nil:
		return outcome(cmd, wire.Outcome_OUTCOME_PENDING, "no answer from the leader; send the same id again")
	}

	return response.GetResult()
}

// whileLeads returns a context that ends once another host leads. A leader that
// is frozen or cut off accepts the bytes of a command and never answers.
func (c *Controller) whileLeads(ctx context.Context, leader string) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	stop := c.s.Timer.Every(c.s.Heartbeat, func(time.Time) {
		go func() {
			c.do(func() {
				now, leads := c.leaderAddr(), c.core.Status().Role == replicator.Leader
				if leads || now != "" && now != leader {
					cancel()
				}
			})
		}()
	})

	return ctx, func() { stop(); cancel() }
}

// count waits briefly until all attached processes have the change in force and
// returns the result with their number. The stored result stays as it is.
func (c *Controller) count(ctx context.Context, result *wire.Result) *wire.Result {
	counted, _ := proto.Clone(result).(*wire.Result)
	ctx, cancel := c.within(ctx, c.s.Force)
	defer cancel()
	var index uint64
	c.do(func() { index = min(c.state.Index(), result.GetIndex()) })
	for {
		sum := c.census(ctx, &wire.Census{Index: index})
		if ctx.Err() == nil || sum.GetKnown() > counted.GetKnown() {
			counted.Force, counted.Known = sum.GetForce(), sum.GetKnown()
		}
		if counted.GetForce() == counted.GetKnown() || !c.pause(ctx, forceInterval) {
			return counted
		}
	}
}

// pause waits for d and returns false if ctx ended first.
func (c *Controller) pause(ctx context.Context, d time.Duration) bool {
	woken := make(chan struct{})
	stop := c.s.Timer.After(d, func(time.Time) { close(woken) })
	defer stop()
	select {
	case <-woken:
		return true
	case <-ctx.Done():
		return false
	}
}
