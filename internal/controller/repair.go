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
	// repairInterval is the time between two looks at the members.
	repairInterval = 200 * time.Millisecond
	// voterSilence is how long a voter beyond the wanted number must be silent
	// before it is removed: longer than an election with a lost ballot.
	voterSilence = 2 * time.Second
	// learnerSilence is how long a host that never caught up is kept.
	learnerSilence = 10 * time.Second
	// enrolTimeout bounds one attempt to be added through one member.
	enrolTimeout = 1500 * time.Millisecond
)

// openRecorder opens the data directory. With Repair, a directory that must not
// be used again is emptied, and the host joins as a new member.
func openRecorder(s Settings) (*recorder.Recorder, error) {
	rs := recorder.Settings{Number: s.Number, Files: s.Files}
	rec, err := recorder.Open(s.Folder, rs)
	unusable := errors.Is(err, recorder.ErrExpelled) || errors.Is(err, recorder.ErrOlder) ||
		errors.Is(err, recorder.ErrDamaged)
	if !unusable || !s.Repair {
		return rec, err //nolint:wrapcheck // New adds the context
	}
	s.Log.Error().Str("folder", s.Folder).Err(err).Msg("data directory cannot be used; joining as a new member")
	if err := recorder.Clear(s.Folder); err != nil {
		return nil, errors.Newf("clear data directory: %w", err)
	}

	return recorder.Open(s.Folder, rs) //nolint:wrapcheck // New adds the context
}

// enrol keeps this host a member: whenever it hears from no leader, it asks the
// hosts it knows whether it is one, and to be added if it is not.
func (c *Controller) enrol() {
	for c.pause(c.ctx, repairInterval) {
		hosts, alone := c.candidates()
		if !alone {
			continue
		}
		for _, addr := range hosts {
			if c.ctx.Err() != nil || c.enrolAt(addr) {
				break
			}
		}
	}
}

// candidates returns the addresses of other hosts that may be members, and
// whether this host hears from no leader or is no member.
func (c *Controller) candidates() (hosts []string, alone bool) {
	hosts = slices.Clone(c.s.Seeds)
	c.do(func() {
		st := c.core.Status()
		member := false
		for _, m := range slices.Concat(st.Members.GetVoters(), st.Members.GetLearners()) {
			member = member || m.GetId() == c.me.GetId()
			hosts = append(hosts, m.GetAddr())
		}
		lease := c.core.Lease(c.s.Timer.Now())
		alone = !member || st.Leader == 0 || lease < 0 || lease > 2*c.s.Election
	})
	slices.Sort(hosts)
	hosts = slices.DeleteFunc(slices.Compact(hosts), func(a string) bool { return a == c.me.GetAddr() })
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] }) //nolint:gosec // no secret

	return hosts, alone
}

// enrolAt asks one host and reports whether nothing more is to be asked.
func (c *Controller) enrolAt(addr string) bool {
	ctx, cancel := c.within(c.ctx, enrolTimeout)
	defer cancel()
	g, err := c.greet(ctx, addr)
	if err != nil || g.GetMembers() == nil {
		return false
	}
	all := slices.Concat(g.GetMembers().GetVoters(), g.GetMembers().GetLearners())
	for _, m := range all {
		if m.GetId() == c.me.GetId() {
			return true
		}
	}
	for _, m := range all {
		if m.GetAddr() == c.me.GetAddr() && !c.peer(ctx, addr, &wire.Peering{Verb: "remove", Id: m.GetId()}) {
			return false
		}
	}

	return c.peer(ctx, addr, &wire.Peering{Verb: "add", Addr: c.me.GetAddr()})
}

// peer has a member propose a change of the members.
func (c *Controller) peer(ctx context.Context, addr string, p *wire.Peering) bool {
	cmd := &wire.Command{
		Id:  fmt.Sprintf("repair/%x/%x", c.me.GetId(), rand.Uint64()), //nolint:gosec // no secret
		Who: "control", Expect: -1, Body: &wire.Command_Peering{Peering: p},
	}
	r, err := c.links.call(ctx, addr, &wire.Request{Body: &wire.Request_Command{Command: cmd}})
	outcome := r.GetResult().GetOutcome()
	c.s.Log.Info().Str("host", addr).Str("verb", p.GetVerb()).Uint64("id", p.GetId()).
		Str("outcome", outcome.String()).Str("text", r.GetResult().GetText()).Err(err).Msg("asked for a change of the members")

	return err == nil && outcome == wire.Outcome_OUTCOME_DONE
}

// trim runs in the event loop. The leader removes one member that is gone: a
// voter beyond the wanted number, or a learner that never caught up.
func (c *Controller) trim() {
	st := c.core.Status()
	if st.Role != replicator.Leader {
		return
	}
	id := surplus(st, c.s.Size, c.s.Timer.Now())
	if id == 0 {
		return
	}
	_, _, err := c.core.Remove(id)
	c.s.Log.Info().Str("member", memberName(id)).Dur("silent", c.s.Timer.Now().Sub(st.Heard[id])).Err(err).
		Msg("removing a member that is gone")
}

// surplus returns the member to remove, or 0. A voter is removed only while the
// others that answer are a majority of the wanted number.
func surplus(st replicator.Status, size int, now time.Time) uint64 {
	for _, m := range st.Members.GetLearners() {
		if now.Sub(st.Heard[m.GetId()]) > learnerSilence {
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
		case now.Sub(st.Heard[id]) <= voterSilence:
			alive++
		case oldest == 0 || st.Heard[id].Before(st.Heard[oldest]):
			oldest = id
		}
	}
	if alive <= size/2 {
		return 0
	}

	return oldest
}
