package replicator

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/wire"
)

// AddLearner proposes a new member that receives the log but does not vote and
// does not count toward a majority. The leader promotes it to voter once it has
// caught up.
func (c *Core) AddLearner(x *wire.Member) (index, term uint64, err error) {
	if err := c.checkMembershipChange(); err != nil {
		return 0, 0, err
	}
	m, _ := c.log.members()
	for _, y := range slices.Concat(m.GetVoters(), m.GetLearners()) {
		if x.GetId() == 0 || y.GetId() == x.GetId() || y.GetAddr() == x.GetAddr() {
			return 0, 0, errors.Newf("add member %s: it is a member already or has no id", x.GetAddr())
		}
	}
	next := cloneMembers(m)
	next.Learners = append(next.Learners, x)
	c.append(&wire.Entry{Members: next})

	return c.log.last(), c.term, nil
}

// Remove proposes the removal of a member. A leader that removes itself steps
// down once the removal is committed.
func (c *Core) Remove(id uint64) (index, term uint64, err error) {
	if err := c.checkMembershipChange(); err != nil {
		return 0, 0, err
	}
	m, _ := c.log.members()
	next := cloneMembers(m)
	is := func(x *wire.Member) bool { return x.GetId() == id }
	next.Voters = slices.DeleteFunc(next.Voters, is)
	next.Learners = slices.DeleteFunc(next.Learners, is)
	if len(next.Voters)+len(next.Learners) == len(m.GetVoters())+len(m.GetLearners()) {
		return 0, 0, errors.Newf("remove member %x: not a member", id)
	}
	if len(next.Voters) == 0 {
		return 0, 0, errors.Newf("remove member %x: it is the last voter", id)
	}
	c.append(&wire.Entry{Members: next})

	return c.log.last(), c.term, nil
}

// checkMembershipChange returns an error if no membership change may be proposed
// now. Only one change at a time is allowed, and none before the leader has
// committed an entry of its own term: otherwise two leaders could each commit a
// change with majorities that do not overlap.
func (c *Core) checkMembershipChange() error {
	if c.role != Leader || c.transferring {
		return ErrNotLeader
	}
	if _, changed := c.log.members(); changed > c.log.commit || c.termStart > c.log.commit {
		return ErrChangeInProgress
	}

	return nil
}

// promoteLearner proposes to make a voter of one learner that has caught up.
func (c *Core) promoteLearner() {
	m, _ := c.log.members()
	if len(m.GetLearners()) == 0 || c.checkMembershipChange() != nil {
		return
	}
	for i, x := range m.GetLearners() {
		p := c.progress[x.GetId()]
		if p == nil || p.match == 0 || p.match+c.s.MaxPromotionLag < c.log.last() || c.now.Sub(p.lastHeard) >= c.s.ElectionTimeout {
			continue
		}
		next := cloneMembers(m)
		next.Learners = slices.Delete(next.Learners, i, i+1)
		next.Voters = append(next.Voters, x)
		c.append(&wire.Entry{Members: next})

		return
	}
}
