package replicator

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/wire"
)

// AddLearner proposes a member that receives the log but does not count. The
// leader makes it a voter when it has caught up.
func (c *Core) AddLearner(x *wire.Member) (index, term uint64, err error) {
	if err := c.changeable(); err != nil {
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

// Remove proposes the removal of a member. Removing the leader makes it step
// down once the removal is committed.
func (c *Core) Remove(id uint64) (index, term uint64, err error) {
	if err := c.changeable(); err != nil {
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

// changeable allows one change at a time, and none before the leader has
// committed in its own term: otherwise two leaders could each commit a change
// with majorities that do not overlap.
func (c *Core) changeable() error {
	if c.role != Leader || c.yielding {
		return ErrNotLeader
	}
	if _, changed := c.log.members(); changed > c.log.commit || c.opened > c.log.commit {
		return ErrChanging
	}

	return nil
}

// promote makes a learner that has caught up a voter.
func (c *Core) promote() {
	m, _ := c.log.members()
	if len(m.GetLearners()) == 0 || c.changeable() != nil {
		return
	}
	for i, x := range m.GetLearners() {
		p := c.progress[x.GetId()]
		if p == nil || p.match == 0 || p.match+c.s.Lag < c.log.last() || c.now.Sub(p.heard) >= c.s.Election {
			continue
		}
		next := cloneMembers(m)
		next.Learners = slices.Delete(next.Learners, i, i+1)
		next.Voters = append(next.Voters, x)
		c.append(&wire.Entry{Members: next})

		return
	}
}
