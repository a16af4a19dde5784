package controller

import (
	"slices"
	"sync"

	"github.com/damasklever/damasklever/internal/recorder"
	"github.com/damasklever/damasklever/internal/wire"
)

// marks remembers how many writes the data directory of each other member held.
// A member that starts again with fewer has an older directory: it has forgotten
// votes or entries that it acknowledged, so its messages must not count.
type marks struct {
	mu   sync.Mutex
	seen map[uint64]mark // by member
}

type mark struct {
	start uint64 // process that sent it
	most  uint64
}

func newMarks() *marks { return &marks{seen: make(map[uint64]mark)} }

// join checks a new stream of a member. If its directory is older than one seen
// before, it returns the mark of that one and false.
func (k *marks) join(j *wire.Join) (seen uint64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	old := k.seen[j.GetFrom()]
	if old.start == j.GetStart() {
		return old.most, true
	}
	if j.GetMark() < old.most {
		return old.most, false
	}
	k.seen[j.GetFrom()] = mark{start: j.GetStart(), most: j.GetMark()}

	return old.most, true
}

// see notes the mark of a message. Messages of an earlier process may arrive
// late; they name no more than the later one held at its start.
func (k *marks) see(j *wire.Join, most uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if old := k.seen[j.GetFrom()]; old.start == j.GetStart() && most > old.most {
		k.seen[j.GetFrom()] = mark{start: old.start, most: most}
	}
}

// announce tells all members the mark when it has changed. A follower writes to
// nobody but its leader, which may end.
func (c *Controller) announce() {
	mark := c.rec.Mark()
	if mark == c.announced {
		return
	}
	c.announced = mark
	for _, m := range slices.Concat(c.members.GetVoters(), c.members.GetLearners()) {
		if m.GetId() != c.me.GetId() {
			c.links.send(&wire.Peer{From: c.me.GetId(), To: m.GetId(), Mark: mark})
		}
	}
}

// step runs in the event loop.
func (c *Controller) step(m *wire.Peer) {
	if e := m.GetExpel(); e.GetMark() > 0 {
		if m.GetTo() == c.me.GetId() && e.GetStart() == c.links.start {
			c.fault = c.expel()
		}

		return
	}
	if l := m.GetListing(); l != nil {
		c.takeListing(l)

		return
	}
	c.core.Step(c.s.Timer.Now(), m)
}

// expel marks the data directory, so that it is never used again.
func (c *Controller) expel() error {
	if err := c.rec.Expel(); err != nil {
		c.s.Log.Error().Err(err).Msg("data directory not marked")
	}

	return recorder.ErrExpelled
}
