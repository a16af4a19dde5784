package controller

import (
	"slices"
	"sync"

	"github.com/damasklever/damasklever/internal/recorder"
	"github.com/damasklever/damasklever/internal/wire"
)

// writeCounts tracks the number of writes to the data directory of each other member. A
// member that restarts with a lower number has an older directory: it has lost votes or
// entries that it acknowledged, so its messages must be ignored.
type writeCounts struct {
	mu   sync.Mutex
	seen map[uint64]writeCount // by member id
}

type writeCount struct {
	startID uint64 // identifies the start of the process that sent the count
	count   uint64
}

func newWriteCounts() *writeCounts { return &writeCounts{seen: make(map[uint64]writeCount)} }

// acceptJoin checks a new stream from a member. If its directory is older than one seen
// before, acceptJoin returns the write count of that one and false.
func (w *writeCounts) acceptJoin(j *wire.Join) (seen uint64, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.seen[j.GetFrom()]
	if old.startID == j.GetStart() {
		return old.count, true
	}
	if j.GetMark() < old.count {
		return old.count, false
	}
	w.seen[j.GetFrom()] = writeCount{startID: j.GetStart(), count: j.GetMark()}

	return old.count, true
}

// record stores the write count of a message. It ignores late messages of an earlier
// run, whose counts are at most the one with which the later run started.
func (w *writeCounts) record(j *wire.Join, count uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if old := w.seen[j.GetFrom()]; old.startID == j.GetStart() && count > old.count {
		w.seen[j.GetFrom()] = writeCount{startID: old.startID, count: count}
	}
}

// announceWrites sends the write count to all members after it has changed. Without this,
// a follower would send messages only to its leader, and its count would be lost with it.
func (c *Controller) announceWrites() {
	writes := c.rec.Mark()
	if writes == c.announcedWrites {
		return
	}
	c.announcedWrites = writes
	for _, m := range slices.Concat(c.members.GetVoters(), c.members.GetLearners()) {
		if m.GetId() != c.self.GetId() {
			c.links.send(&wire.Peer{From: c.self.GetId(), To: m.GetId(), Mark: writes})
		}
	}
}

// stepPeer handles a message from another control host. It runs in the event loop.
func (c *Controller) stepPeer(m *wire.Peer) {
	if e := m.GetExpel(); e.GetMark() > 0 {
		if m.GetTo() == c.self.GetId() && e.GetStart() == c.links.startID {
			c.fatalErr = c.expel()
		}

		return
	}
	if l := m.GetListing(); l != nil {
		c.receiveListing(l)

		return
	}
	c.core.Step(c.s.Timer.Now(), m)
}

// expel marks the data directory as expelled, so that it is never used again.
func (c *Controller) expel() error {
	if err := c.rec.Expel(); err != nil {
		c.s.Log.Error().Err(err).Msg("failed to mark data directory as expelled")
	}

	return recorder.ErrExpelled
}
