package replicator

import (
	"slices"

	"github.com/damasklever/damasklever/internal/wire"
)

// pendingRead is a read on the leader that waits until a majority has confirmed
// its leadership.
type pendingRead struct {
	from  uint64
	id    uint64
	index uint64
	round uint64 // heartbeat round that confirms it, 0 until the next flush
}

// ReadIndex starts a linearizable read, whose result is returned by Ready. Ids
// must increase. A follower forwards the read to the leader. ReadIndex returns
// ErrNotLeader if no leader is known.
func (c *Core) ReadIndex(id uint64) error {
	switch {
	case c.role == Leader:
		c.addRead(c.s.ID, id)
	case c.leader != 0:
		c.forwardedReads = append(c.forwardedReads, id)
		c.send(c.leader, &wire.Peer{Body: &wire.Peer_Confirm{Confirm: &wire.Confirm{Id: id}}})
	default:
		return ErrNotLeader
	}

	return nil
}

func (c *Core) addRead(from, id uint64) {
	// Until the leader has committed an entry of its own term, entries of earlier
	// terms may be committed without the leader knowing it.
	c.pendingReads = append(c.pendingReads, &pendingRead{from: from, id: id, index: max(c.log.commit, c.termStart)})
}

// stepConfirm handles a read that a follower forwarded.
func (c *Core) stepConfirm(from uint64, m *wire.Confirm) {
	if c.role == Leader {
		c.addRead(from, m.GetId())

		return
	}
	c.answerRead(from, m.GetId(), 0, false)
}

func (c *Core) answerRead(to, id, index uint64, ok bool) {
	if to == c.s.ID {
		c.readResults = append(c.readResults, ReadResult{ID: id, Index: index, OK: ok})

		return
	}
	c.send(to, &wire.Peer{Body: &wire.Peer_Confirmed{Confirmed: &wire.ConfirmReply{Id: id, Index: index, Ok: ok}}})
}

// stepConfirmed completes a read that was forwarded to the leader. The leader
// answers in order, so the answers to older reads were lost and these reads fail.
func (c *Core) stepConfirmed(m *wire.ConfirmReply) {
	if !slices.Contains(c.forwardedReads, m.GetId()) {
		return
	}
	for len(c.forwardedReads) > 0 && c.forwardedReads[0] <= m.GetId() {
		id := c.forwardedReads[0]
		c.forwardedReads = c.forwardedReads[1:]
		ok := id == m.GetId() && m.GetOk()
		c.readResults = append(c.readResults, ReadResult{ID: id, Index: m.GetIndex(), OK: ok})
	}
}

func (c *Core) completeReads() {
	for len(c.pendingReads) > 0 {
		r := c.pendingReads[0]
		if r.round == 0 || r.index > c.log.commit || !c.majorityAcknowledged(r.round) {
			return
		}
		c.pendingReads = c.pendingReads[1:]
		c.answerRead(r.from, r.id, r.index, true)
	}
}

// majorityAcknowledged reports whether a majority has acknowledged a message of
// the given heartbeat round or a later one.
func (c *Core) majorityAcknowledged(round uint64) bool {
	voters, count := c.voters(), 0
	for id := range voters {
		if p := c.progress[id]; id == c.s.ID || p != nil && p.round >= round {
			count++
		}
	}

	return count > len(voters)/2
}

func (c *Core) failReads() {
	pendingReads := c.pendingReads
	c.pendingReads = nil
	for _, r := range pendingReads {
		c.answerRead(r.from, r.id, 0, false)
	}
}

func (c *Core) failForwardedReads() {
	for _, id := range c.forwardedReads {
		c.readResults = append(c.readResults, ReadResult{ID: id})
	}
	c.forwardedReads = nil
}
