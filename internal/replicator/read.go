package replicator

import (
	"slices"

	"github.com/damasklever/damasklever/internal/wire"
)

// read waits on the leader until a majority has confirmed its leadership.
type read struct {
	from  uint64
	id    uint64
	index uint64
	round uint64 // 0 until the next flush
}

// ReadIndex starts a read; its end comes out of Ready. Ids must rise. A
// follower asks the leader. ErrNotLeader: no leader is known.
func (c *Core) ReadIndex(id uint64) error {
	switch {
	case c.role == Leader:
		c.addRead(c.s.ID, id)
	case c.leader != 0:
		c.asked = append(c.asked, id)
		c.send(c.leader, &wire.Peer{Body: &wire.Peer_Confirm{Confirm: &wire.Confirm{Id: id}}})
	default:
		return ErrNotLeader
	}

	return nil
}

func (c *Core) addRead(from, id uint64) {
	// Until the leader has committed in its own term, entries of earlier terms
	// may be committed that it does not know to be.
	c.reads = append(c.reads, &read{from: from, id: id, index: max(c.log.commit, c.opened)})
}

func (c *Core) stepConfirm(from uint64, m *wire.Confirm) {
	if c.role == Leader {
		c.addRead(from, m.GetId())

		return
	}
	c.confirm(from, m.GetId(), 0, false)
}

func (c *Core) confirm(to, id, index uint64, ok bool) {
	if to == c.s.ID {
		c.results = append(c.results, Read{ID: id, Index: index, OK: ok})

		return
	}
	c.send(to, &wire.Peer{Body: &wire.Peer_Confirmed{Confirmed: &wire.ConfirmReply{Id: id, Index: index, Ok: ok}}})
}

// stepConfirmed ends a read asked of the leader. The leader answers in order,
// so older reads without an answer have lost it.
func (c *Core) stepConfirmed(m *wire.ConfirmReply) {
	if !slices.Contains(c.asked, m.GetId()) {
		return
	}
	for len(c.asked) > 0 && c.asked[0] <= m.GetId() {
		id := c.asked[0]
		c.asked = c.asked[1:]
		ok := id == m.GetId() && m.GetOk()
		c.results = append(c.results, Read{ID: id, Index: m.GetIndex(), OK: ok})
	}
}

func (c *Core) releaseReads() {
	for len(c.reads) > 0 {
		r := c.reads[0]
		if r.round == 0 || r.index > c.log.commit || !c.acknowledged(r.round) {
			return
		}
		c.reads = c.reads[1:]
		c.confirm(r.from, r.id, r.index, true)
	}
}

// acknowledged reports whether a majority answered a heartbeat of the round or
// a later one.
func (c *Core) acknowledged(round uint64) bool {
	voters, count := c.voters(), 0
	for id := range voters {
		if p := c.progress[id]; id == c.s.ID || p != nil && p.round >= round {
			count++
		}
	}

	return count > len(voters)/2
}

func (c *Core) failReads() {
	reads := c.reads
	c.reads = nil
	for _, r := range reads {
		c.confirm(r.from, r.id, 0, false)
	}
}

func (c *Core) failAsked() {
	for _, id := range c.asked {
		c.results = append(c.results, Read{ID: id})
	}
	c.asked = nil
}
