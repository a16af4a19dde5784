package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/recorder"
	"github.com/damasklever/damasklever/internal/replicator"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// repairInterval is the time between two checks of the membership.
	repairInterval = 200 * time.Millisecond
	// voterRemovalTimeout is how long a surplus voter must be silent before it is
	// removed: longer than an election in which one vote round fails.
	voterRemovalTimeout = 2 * time.Second
	// learnerRemovalTimeout is how long a learner, that is, a host that has not caught
	// up, must be silent before it is removed.
	learnerRemovalTimeout = 10 * time.Second
	// joinTimeout bounds one attempt to join through one member.
	joinTimeout = 1500 * time.Millisecond
)

// openRecorder opens the data directory. With Repair, a directory that must not be used
// any more is cleared and the host joins as a new member.
func openRecorder(s Settings) (*recorder.Recorder, error) {
	rs := recorder.Settings{Number: s.Number, Files: s.Files}
	rec, err := recorder.Open(s.DataDir, rs)
	unusable := errors.Is(err, recorder.ErrExpelled) || errors.Is(err, recorder.ErrInconsistent) ||
		errors.Is(err, recorder.ErrDamaged)
	if !unusable || !s.Repair {
		return rec, err //nolint:wrapcheck // New adds the context
	}
	s.Log.Error().Str("folder", s.DataDir).Err(err).Msg("data directory is unusable; clearing it and joining as a new member")
	if err := recorder.Clear(s.DataDir); err != nil {
		return nil, errors.Newf("clear data directory: %w", err)
	}

	return recorder.Open(s.DataDir, rs) //nolint:wrapcheck // New adds the context
}

// maintainMembership keeps this host a member: while it hears from no leader, it asks
// the hosts it knows whether it is a member, and requests to be added if it is not.
func (c *Controller) maintainMembership() {
	for c.sleep(c.ctx, repairInterval) {
		hosts, disconnected := c.joinTargets()
		if !disconnected {
			continue
		}
		for _, addr := range hosts {
			if c.ctx.Err() != nil || c.joinThrough(addr) {
				break
			}
		}
	}
}

// joinTargets returns the addresses of other hosts that may be members, in random order,
// and whether this host hears from no leader or is not a member.
func (c *Controller) joinTargets() (hosts []string, disconnected bool) {
	hosts = slices.Clone(c.s.Seeds)
	c.do(func() {
		st := c.core.Status()
		member := false
		for _, m := range slices.Concat(st.Members.GetVoters(), st.Members.GetLearners()) {
			member = member || m.GetId() == c.self.GetId()
			hosts = append(hosts, m.GetAddr())
		}
		lease := c.core.Lease(c.s.Timer.Now())
		disconnected = !member || st.Leader == 0 || lease < 0 || lease > 2*c.s.ElectionTimeout
	})
	slices.Sort(hosts)
	hosts = slices.DeleteFunc(slices.Compact(hosts), func(a string) bool { return a == c.self.GetAddr() })
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] }) //nolint:gosec // no secret

	return hosts, disconnected
}

// joinThrough tries to join through one host. It returns true if this host already is a
// member or has been added.
func (c *Controller) joinThrough(addr string) bool {
	ctx, cancel := c.withTimeout(c.ctx, joinTimeout)
	defer cancel()
	g, err := c.requestIdentity(ctx, addr)
	if err != nil || g.GetMembers() == nil {
		return false
	}
	all := slices.Concat(g.GetMembers().GetVoters(), g.GetMembers().GetLearners())
	for _, m := range all {
		if m.GetId() == c.self.GetId() {
			return true
		}
	}
	for _, m := range all {
		if m.GetAddr() == c.self.GetAddr() && !c.requestMembershipChange(ctx, addr, &wire.Peering{Verb: "remove", Id: m.GetId()}) {
			return false
		}
	}

	return c.requestMembershipChange(ctx, addr, &wire.Peering{Verb: "add", Addr: c.self.GetAddr()})
}

// requestMembershipChange asks a member to propose a membership change.
func (c *Controller) requestMembershipChange(ctx context.Context, addr string, p *wire.Peering) bool {
	cmd := &wire.Command{
		Id:  fmt.Sprintf("repair/%x/%x", c.self.GetId(), rand.Uint64()), //nolint:gosec // no secret
		Who: "control", Expect: -1, Body: &wire.Command_Peering{Peering: p},
	}
	r, err := c.links.call(ctx, addr, &wire.Request{Body: &wire.Request_Command{Command: cmd}})
	outcome := r.GetResult().GetOutcome()
	c.s.Log.Info().Str("host", addr).Str("verb", p.GetVerb()).Uint64("id", p.GetId()).
		Str("outcome", outcome.String()).Str("text", r.GetResult().GetText()).Err(err).Msg("requested membership change")

	return err == nil && outcome == wire.Outcome_OUTCOME_DONE
}

// removeDeadMember runs in the event loop. On the leader it removes one silent member: a
// voter in excess of Settings.TargetMembers, or a learner.
func (c *Controller) removeDeadMember() {
	st := c.core.Status()
	if st.Role != replicator.Leader {
		return
	}
	id := memberToRemove(st, c.s.TargetMembers, c.s.Timer.Now())
	if id == 0 {
		return
	}
	_, _, err := c.core.Remove(id)
	c.s.Log.Info().Str("member", formatMemberID(id)).Dur("silent", c.s.Timer.Now().Sub(st.LastHeard[id])).Err(err).
		Msg("removing silent member")
}

// memberToRemove returns the id of the member to remove, or 0. A voter is removed only
// while the responsive voters are a majority of the wanted number.
func memberToRemove(st replicator.Status, size int, now time.Time) uint64 {
	for _, m := range st.Members.GetLearners() {
		if now.Sub(st.LastHeard[m.GetId()]) > learnerRemovalTimeout {
			return m.GetId()
		}
	}
	voters := st.Members.GetVoters()
	if len(voters) <= size {
		return 0
	}
	var oldest uint64
	alive := 1 // this host
	for _, m := range voters {
		switch id := m.GetId(); {
		case id == st.ID:
		case now.Sub(st.LastHeard[id]) <= voterRemovalTimeout:
			alive++
		case oldest == 0 || st.LastHeard[id].Before(st.LastHeard[oldest]):
			oldest = id
		}
	}
	if alive <= size/2 {
		return 0
	}

	return oldest
}
