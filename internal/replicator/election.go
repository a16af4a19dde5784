package replicator

import (
	"github.com/damasklever/damasklever/internal/wire"
)

// poll starts a pre-vote: it raises no term, so a member that was cut off for
// long does not depose the leader when it returns.
func (c *Core) poll() {
	c.follow(c.term, 0)
	voters := c.voters()
	if !voters[c.s.ID] {
		return
	}
	c.role = Prober
	c.granted = map[uint64]bool{c.s.ID: true}
	if c.won() {
		c.campaign(false)

		return
	}
	index, term := c.log.last(), c.log.lastTerm()
	for id := range sorted(voters) {
		if id != c.s.ID {
			c.send(id, &wire.Peer{Body: &wire.Peer_Poll{Poll: &wire.Poll{Index: index, Term: term}}})
		}
	}
}

func (c *Core) stepPoll(m *wire.Peer) {
	granted := m.GetTerm() >= c.term && !c.leaderAlive() &&
		c.upToDate(m.GetPoll().GetIndex(), m.GetPoll().GetTerm())
	c.send(m.GetFrom(), &wire.Peer{Body: &wire.Peer_Polled{Polled: &wire.PollReply{Granted: granted}}})
	if granted {
		// The reply counts only in the term in which the prober asked.
		c.out[len(c.out)-1].Term = m.GetTerm()
	}
}

func (c *Core) stepPolled(from uint64, m *wire.PollReply) {
	if c.role != Prober || !m.GetGranted() {
		return
	}
	c.granted[from] = true
	if c.won() {
		c.campaign(false)
	}
}

// Yield asks the follower that lacks least to take over, because this leader is
// about to end. It appends nothing for an election timeout. Yield returns false if
// there is nobody to ask. The caller goes on with Ready until Status names another leader.
func (c *Core) Yield() bool {
	best := uint64(0)
	for id := range sorted(c.voters()) {
		p := c.progress[id]
		if p == nil || p.expelled || c.now.Sub(p.heard) >= c.s.Election {
			continue
		}
		if best == 0 || p.match > c.progress[best].match {
			best = id
		}
	}
	if c.role != Leader || best == 0 {
		return false
	}
	c.yielding, c.yielded = true, c.now
	c.flush()
	c.send(best, &wire.Peer{Body: &wire.Peer_Yield{Yield: &wire.Yield{}}})

	return true
}

func (c *Core) stepYield(from uint64) {
	if c.role == Follower && c.leader == from && c.voters()[c.s.ID] {
		c.campaign(true)
	}
}

func (c *Core) campaign(yielded bool) {
	c.role = Candidate
	c.setTerm(c.term+1, c.s.ID)
	c.granted = map[uint64]bool{c.s.ID: true}
	c.rearm()
	if c.won() {
		c.lead()

		return
	}
	index, term := c.log.last(), c.log.lastTerm()
	for id := range sorted(c.voters()) {
		if id != c.s.ID {
			c.send(id, &wire.Peer{Body: &wire.Peer_Ballot{Ballot: &wire.Ballot{
				Index: index, Term: term, Yielded: yielded,
			}}})
		}
	}
}

func (c *Core) stepBallot(from uint64, m *wire.Ballot) {
	granted := (c.role == Follower || c.role == Prober) && (c.vote == 0 || c.vote == from) && !c.leaderAlive() &&
		c.upToDate(m.GetIndex(), m.GetTerm())
	if granted {
		c.setTerm(c.term, from)
		c.rearm()
	}
	c.send(from, &wire.Peer{Body: &wire.Peer_Voted{Voted: &wire.BallotReply{Granted: granted}}})
}

func (c *Core) stepVoted(from uint64, m *wire.BallotReply) {
	if c.role != Candidate || !m.GetGranted() {
		return
	}
	c.granted[from] = true
	if c.won() {
		c.lead()
	}
}

// upToDate reports whether a log that ends so may hold every committed entry.
func (c *Core) upToDate(index, term uint64) bool {
	own := c.log.lastTerm()

	return term > own || term == own && index >= c.log.last()
}

func (c *Core) won() bool {
	voters := c.voters()
	count := 0
	for id := range voters {
		if c.granted[id] {
			count++
		}
	}

	return count > len(voters)/2
}
