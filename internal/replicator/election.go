package replicator

import (
	"github.com/damasklever/damasklever/internal/wire"
)

// startPreVote asks the other voters whether this member could win an election.
// A pre-vote does not increment the term, so a member that was disconnected for a
// long time does not depose the leader when it reconnects.
func (c *Core) startPreVote() {
	c.becomeFollower(c.term, 0)
	voters := c.voters()
	if !voters[c.s.ID] {
		return
	}
	c.role = PreCandidate
	c.granted = map[uint64]bool{c.s.ID: true}
	if c.hasMajority() {
		c.startElection(false)

		return
	}
	index, term := c.log.last(), c.log.lastTerm()
	for id := range sortedKeys(voters) {
		if id != c.s.ID {
			c.send(id, &wire.Peer{Body: &wire.Peer_Poll{Poll: &wire.Poll{Index: index, Term: term}}})
		}
	}
}

// stepPoll handles a pre-vote request.
func (c *Core) stepPoll(m *wire.Peer) {
	granted := m.GetTerm() >= c.term && !c.leaderAlive() &&
		c.upToDate(m.GetPoll().GetIndex(), m.GetPoll().GetTerm())
	c.send(m.GetFrom(), &wire.Peer{Body: &wire.Peer_Polled{Polled: &wire.PollReply{Granted: granted}}})
	if granted {
		// The sender accepts the reply only in the term of its request.
		c.outbox[len(c.outbox)-1].Term = m.GetTerm()
	}
}

// stepPolled handles the reply to a pre-vote request.
func (c *Core) stepPolled(from uint64, m *wire.PollReply) {
	if c.role != PreCandidate || !m.GetGranted() {
		return
	}
	c.granted[from] = true
	if c.hasMajority() {
		c.startElection(false)
	}
}

// Yield transfers leadership to the most up-to-date follower, because this leader
// is about to stop. The leader rejects proposals for an election timeout. Yield
// returns false if there is no suitable follower. The caller must continue to
// process Ready until Status names another leader.
func (c *Core) Yield() bool {
	best := uint64(0)
	for id := range sortedKeys(c.voters()) {
		p := c.progress[id]
		if p == nil || p.expelled || c.now.Sub(p.lastHeard) >= c.s.ElectionTimeout {
			continue
		}
		if best == 0 || p.match > c.progress[best].match {
			best = id
		}
	}
	if c.role != Leader || best == 0 {
		return false
	}
	c.transferring, c.transferStart = true, c.now
	c.flush()
	c.send(best, &wire.Peer{Body: &wire.Peer_Yield{Yield: &wire.Yield{}}})

	return true
}

// stepYield handles the request of the leader to start an election at once.
func (c *Core) stepYield(from uint64) {
	if c.role == Follower && c.leader == from && c.voters()[c.s.ID] {
		c.startElection(true)
	}
}

// startElection starts a new term as a candidate. yielded means that the leader
// asked for the election, so voters must not reject it because the leader is alive.
func (c *Core) startElection(yielded bool) {
	c.role = Candidate
	c.setTerm(c.term+1, c.s.ID)
	c.granted = map[uint64]bool{c.s.ID: true}
	c.resetElectionTimer()
	if c.hasMajority() {
		c.becomeLeader()

		return
	}
	index, term := c.log.last(), c.log.lastTerm()
	for id := range sortedKeys(c.voters()) {
		if id != c.s.ID {
			c.send(id, &wire.Peer{Body: &wire.Peer_Ballot{Ballot: &wire.Ballot{
				Index: index, Term: term, Yielded: yielded,
			}}})
		}
	}
}

// stepBallot handles a vote request.
func (c *Core) stepBallot(from uint64, m *wire.Ballot) {
	granted := (c.role == Follower || c.role == PreCandidate) && (c.vote == 0 || c.vote == from) && !c.leaderAlive() &&
		c.upToDate(m.GetIndex(), m.GetTerm())
	if granted {
		c.setTerm(c.term, from)
		c.resetElectionTimer()
	}
	c.send(from, &wire.Peer{Body: &wire.Peer_Voted{Voted: &wire.BallotReply{Granted: granted}}})
}

// stepVoted handles the reply to a vote request.
func (c *Core) stepVoted(from uint64, m *wire.BallotReply) {
	if c.role != Candidate || !m.GetGranted() {
		return
	}
	c.granted[from] = true
	if c.hasMajority() {
		c.becomeLeader()
	}
}

// upToDate reports whether a log that ends with the given index and term may
// contain every committed entry.
func (c *Core) upToDate(index, term uint64) bool {
	own := c.log.lastTerm()

	return term > own || term == own && index >= c.log.last()
}

// hasMajority reports whether a majority of the voters granted the pre-vote or the
// vote.
func (c *Core) hasMajority() bool {
	voters := c.voters()
	count := 0
	for id := range voters {
		if c.granted[id] {
			count++
		}
	}

	return count > len(voters)/2
}
