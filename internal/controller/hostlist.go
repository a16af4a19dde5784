package controller

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/lister"
	"github.com/damasklever/damasklever/internal/messenger"
	"github.com/damasklever/damasklever/internal/replicator"
	"github.com/damasklever/damasklever/internal/wire"
)

const (
	// listLooks is how often in Settings.List it is decided whether to read.
	listLooks = 4
	// standby is how many times Settings.List the newest reading may be old before
	// another host than the leader reads.
	standby = 2
	// wholeListing is the number of readings after which the leader sends the others
	// the whole list although it has not changed: a message may have been lost.
	wholeListing = 5
)

// hostList is the host list at a control host. The leader reads it; its term is the fence
// that keeps the readings of a deposed leader out. Another host reads only while the
// newest reading is old. The event loop owns all but the board.
type hostList struct {
	board   *lister.Board
	reading bool
	begun   time.Time // of the last reading of this host
	lost    bool
	sent    uint64 // digest that the other hosts were sent whole
	since   int    // readings since then
}

// list runs in the event loop and reads the host list if that is this host's turn.
func (c *Controller) list() {
	now, l := c.s.Timer.Now(), &c.hosts
	if l.reading || now.Sub(l.begun) < c.s.List {
		return
	}
	status := c.core.Status()
	age, known := l.board.Age(now)
	if status.Role != replicator.Leader && known && age < standby*c.s.List {
		return
	}
	l.reading, l.begun = true, now
	c.work.Add(1)
	go func() {
		defer c.work.Done()
		bounded, cancel := c.within(c.ctx, c.s.List)
		defer cancel()
		servers, err := c.s.Hosts.List(bounded)
		c.do(func() {
			l.reading = false
			if err != nil {
				c.noteListLost(err)

				return
			}
			// The reading counts for the term in which it began: a host that stood still
			// meanwhile has been deposed.
			c.passOn(lister.NewListing(status.Term, c.nextReading(status.Term), now, servers))
		})
	}()
}

// nextReading returns the number of the next reading in a term.
func (c *Controller) nextReading(term uint64) uint64 {
	if held := c.hosts.board.Current(); held != nil && held.Term() == term {
		return held.Number() + 1
	}

	return 1
}

// noteListLost logs the first failure of a loss.
func (c *Controller) noteListLost(err error) {
	if !c.hosts.lost && c.ctx.Err() == nil {
		c.s.Log.Warn().Err(err).Msg("host list lost")
	}
	c.hosts.lost = true
}

// passOn takes a reading of this host and sends it to the other control hosts. It runs
// in the event loop.
func (c *Controller) passOn(next *lister.Listing) {
	l, held := &c.hosts, c.hosts.board.Current()
	if !l.board.Offer(next) {
		return
	}
	if l.lost || held == nil || held.Digest() != next.Digest() {
		c.s.Log.Info().Uint64("term", next.Term()).Uint64("number", next.Number()).Int("servers", next.Size()).
			Msg("host list read")
	}
	l.lost = false
	if c.core.Status().Role != replicator.Leader {
		return
	}
	if l.since++; l.sent != next.Digest() || l.since >= wholeListing {
		l.sent, l.since, held = next.Digest(), 0, nil
	}
	m := next.Message(c.s.Timer.Now(), held)
	for _, to := range slices.Concat(c.members.GetVoters(), c.members.GetLearners()) {
		if to.GetId() != c.me.GetId() {
			c.links.send(&wire.Peer{From: c.me.GetId(), To: to.GetId(), Body: &wire.Peer_Listing{Listing: m}})
		}
	}
}

// takeListing takes a reading of another control host.
func (c *Controller) takeListing(m *wire.Listing) {
	if m.GetTerm() < c.core.Status().Term {
		c.s.Log.Info().Uint64("term", m.GetTerm()).Uint64("number", m.GetNumber()).Msg("listing of a deposed leader")

		return
	}
	next, err := lister.Next(c.s.Timer.Now(), c.hosts.board.Current(), m)
	if err != nil {
		// The whole list follows.
		c.s.Log.Debug().Err(err).Msg("listing not taken")

		return
	}
	c.hosts.board.Offer(next)
}

// sendListing sends a process what it needs to hold the newest listing, and returns that;
// held is what it holds.
func (c *Controller) sendListing(s *messenger.Stream, held *lister.Listing) (*lister.Listing, error) {
	next := c.hosts.board.Current()
	if next == nil || next == held {
		return held, nil
	}
	m := next.Message(c.s.Timer.Now(), held)
	if err := s.Send(&wire.Notice{Body: &wire.Notice_Listing{Listing: m}}); err != nil {
		return held, errors.Newf("send listing: %w", err)
	}

	return next, nil
}
