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

// reportPollInterval is the time between two counts of the processes that have
// applied a change.
const reportPollInterval = 50 * time.Millisecond

// execute proposes a command, locally or through the leader, and waits for its result.
func (c *Controller) execute(ctx context.Context, cmd *wire.Command, forwarded bool) *wire.Result {
	if cmd.GetId() == "" {
		return newResult(cmd, wire.Outcome_OUTCOME_INVALID, "a command needs an id")
	}
	bounded, cancel := c.withTimeout(ctx, c.s.CommitTimeout)
	defer cancel()
	ch, leader, err := c.propose(bounded, cmd)
	for errors.Is(err, replicator.ErrChangeInProgress) && c.sleep(bounded, retryInterval) {
		ch, leader, err = c.propose(bounded, cmd)
	}
	switch {
	case errors.Is(err, errNoChange):
		return newResult(cmd, wire.Outcome_OUTCOME_DONE, err.Error())
	case errors.Is(err, replicator.ErrNotLeader):
		if leader == "" || forwarded {
			return newResult(cmd, wire.Outcome_OUTCOME_REFUSED, "not run: this control host knows no leader to send it to")
		}

		return c.forward(ctx, cmd, leader)
	case errors.Is(err, errInvalid):
		return newResult(cmd, wire.Outcome_OUTCOME_INVALID, err.Error())
	case err != nil:
		return newResult(cmd, wire.Outcome_OUTCOME_REFUSED, "not run: "+err.Error())
	}
	var result *wire.Result
	select {
	case result = <-ch:
	case <-bounded.Done():
	}
	if result == nil {
		return newResult(cmd, wire.Outcome_OUTCOME_PENDING, "not committed in time; send the same id again")
	}
	if cmd.GetPeering() != nil {
		result.Id = cmd.GetId()
		result.Text = "the member is removed"
		if cmd.GetPeering().GetVerb() == "add" {
			result.Text = "the member is added; it votes once it has caught up"
		}
	}
	if cmd.GetChange() != nil && result.GetOutcome() == wire.Outcome_OUTCOME_DONE && !cmd.GetChange().GetDry() {
		return c.countReported(ctx, result)
	}

	return result
}

var (
	errInvalid  = errors.New("invalid")
	errNoChange = errors.New("nothing to do")
)

func newResult(cmd *wire.Command, o wire.Outcome, text string) *wire.Result {
	return &wire.Result{Id: cmd.GetId(), Outcome: o, Text: text}
}

// withTimeout returns a context that ends after d by the controller's clock.
func (c *Controller) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := c.s.Timer.After(d, func(time.Time) { cancel() })

	return ctx, func() { stop(); cancel() }
}

// propose appends the command to the log if this host leads. The channel receives the
// result once the command is committed. Otherwise the leader's address is returned, if
// known.
func (c *Controller) propose(ctx context.Context, cmd *wire.Command) (ch chan *wire.Result, leader string, err error) {
	add, err := c.memberToAdd(ctx, cmd.GetPeering())
	if err != nil {
		return nil, "", err
	}
	ran := c.do(func() {
		var index, term uint64
		if index, term, err = c.appendCommand(cmd, add); err == nil {
			ch = make(chan *wire.Result, 1)
			c.proposals[index] = &proposal{term: term, ch: ch}
		}
		leader = c.leaderAddr()
	})
	if !ran {
		return nil, "", ErrClosed
	}

	return ch, leader, err
}

// appendCommand runs in the event loop. It appends the command with the current time.
func (c *Controller) appendCommand(cmd *wire.Command, add *wire.Member) (index, term uint64, err error) {
	if p := cmd.GetPeering(); p != nil {
		return c.appendMembershipChange(p, add)
	}
	stored, _ := proto.Clone(cmd).(*wire.Command)
	// The log's time never goes back, even if the clocks of successive leaders differ.
	stored.Time = max(c.s.Timer.Now().UnixMilli(), c.lastCommandMillis)
	c.lastCommandMillis = stored.Time
	data, err := proto.Marshal(stored)
	if err != nil {
		return 0, 0, errors.Newf("encode command: %w", err)
	}

	return c.core.Propose(data)
}

// appendMembershipChange runs in the event loop. It is idempotent: a repeated change
// returns errNoChange.
func (c *Controller) appendMembershipChange(p *wire.Peering, add *wire.Member) (index, term uint64, err error) {
	st := c.core.Status()
	if st.Role != replicator.Leader {
		return 0, 0, replicator.ErrNotLeader
	}
	id := c.memberID(p)
	is := func(m *wire.Member) bool { return m.GetId() == id }
	member := slices.ContainsFunc(st.Members.GetVoters(), is) || slices.ContainsFunc(st.Members.GetLearners(), is)
	switch {
	case add == nil && !member:
		return 0, 0, errors.Newf("%w: it is no member", errNoChange)
	case add == nil:
		return c.core.Remove(id)
	case member && add.GetId() == id:
		return 0, 0, errors.Newf("%w: it is a member", errNoChange)
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

// memberToAdd asks the host to be added for its identity. It returns nil for a removal.
func (c *Controller) memberToAdd(ctx context.Context, p *wire.Peering) (*wire.Member, error) {
	switch p.GetVerb() {
	case "":
		if p != nil {
			return nil, errors.Newf("verb of a peering is missing: %w", errInvalid)
		}

		return nil, nil //nolint:nilnil // no host is to be added
	case "remove":
		return nil, nil //nolint:nilnil // no host is to be added
	case "add":
		g, err := c.requestIdentity(ctx, p.GetAddr())
		if err != nil {
			return nil, errors.Newf("reach the new host: %w", err)
		}

		return &wire.Member{Id: g.GetId(), Addr: p.GetAddr(), Number: g.GetNumber()}, nil
	default:
		return nil, errors.Newf("verb %q of a peering is not add or remove: %w", p.GetVerb(), errInvalid)
	}
}

// forward sends the command to the leader and returns its result. If no response
// arrives, the outcome is pending, because the leader may have accepted the command.
func (c *Controller) forward(ctx context.Context, cmd *wire.Command, leader string) *wire.Result {
	// The leader waits as long as this host for the commit, and then for the
	// processes to report.
	ctx, cancel := c.withTimeout(ctx, c.s.CommitTimeout+c.s.Force+c.s.ElectionTimeout)
	defer cancel()
	ctx, stop := c.whileLeads(ctx, leader)
	defer stop()
	response, err := c.links.call(ctx, leader, &wire.Request{
		Body: &wire.Request_Command{Command: cmd}, Forwarded: true,
	})
	switch {
	case errors.Is(err, errNotSent):
		return newResult(cmd, wire.Outcome_OUTCOME_REFUSED, "not run: the leader cannot be reached")
	case err != nil || response.GetResult() == nil:
		return newResult(cmd, wire.Outcome_OUTCOME_PENDING, "no answer from the leader; send the same id again")
	}

	return response.GetResult()
}

// whileLeads returns a context that ends once another host leads. A leader that is
// suspended or partitioned may accept the bytes of a command and never answer.
func (c *Controller) whileLeads(ctx context.Context, leader string) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	stop := c.s.Timer.Every(c.s.HeartbeatInterval, func(time.Time) {
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

// countReported waits until all attached processes have reported the change, for at most
// Settings.Force, and returns the result with their number. The stored result is not
// modified.
func (c *Controller) countReported(ctx context.Context, result *wire.Result) *wire.Result {
	counted, _ := proto.Clone(result).(*wire.Result)
	ctx, cancel := c.withTimeout(ctx, c.s.Force)
	defer cancel()
	var index uint64
	c.do(func() { index = min(c.state.Index(), result.GetIndex()) })
	for {
		sum := c.queryProcesses(ctx, &wire.Census{Index: index})
		if ctx.Err() == nil || sum.GetKnown() > counted.GetKnown() {
			counted.Force, counted.Known = sum.GetForce(), sum.GetKnown()
		}
		if counted.GetForce() == counted.GetKnown() || !c.sleep(ctx, reportPollInterval) {
			return counted
		}
	}
}

// sleep waits for d. It returns false if ctx ends first.
func (c *Controller) sleep(ctx context.Context, d time.Duration) bool {
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
