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
	// listChecksPerInterval is how many times per Settings.List this host checks
	// whether to read the host list.
	listChecksPerInterval = 4
	// staleIntervals is the age of the newest listing, in multiples of Settings.List,
	// from which on hosts other than the leader read the list too.
	staleIntervals = 2
	// readsPerFullListing is the number of reads after which the leader sends the full
	// list even if it has not changed, because a message may have been lost.
	readsPerFullListing = 5
)

// hostList is the state of the host list on a control host. The leader reads the list
// and its term serves as fencing token against listings of a deposed leader. Other hosts
// read it only while the newest listing is stale. All fields except store are accessed
// only by the event loop.
type hostList struct {
	store          *lister.Store
	reading        bool
	lastStart      time.Time // start of this host's last read
	failing        bool
	sentDigest     uint64 // digest of the last full listing sent to the other hosts
	readsSinceFull int    // number of reads since then
}

// readHostList runs in the event loop. It reads the host list if it is this host's turn.
func (c *Controller) readHostList() {
	now, l := c.s.Timer.Now(), &c.hosts
	c.updateVersions()
	if l.reading || now.Sub(l.lastStart) < c.s.List {
		return
	}
	status := c.core.Status()
	age, known := l.store.Age(now)
	if status.Role != replicator.Leader && known && age < staleIntervals*c.s.List {
		return
	}
	l.reading, l.lastStart = true, now
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		bounded, cancel := c.withTimeout(c.ctx, c.s.List)
		defer cancel()
		servers, err := c.s.Hosts.List(bounded)
		c.do(func() {
			l.reading = false
			if err != nil {
				c.logListFailure(err)

				return
			}
			// The listing gets the term in which the read began: a host that was
			// suspended in the meantime has been deposed.
			c.publishListing(lister.NewListing(status.Term, c.nextListingNumber(status.Term), now, servers))
		})
	}()
}

// nextListingNumber returns the number of the next listing of a term.
func (c *Controller) nextListingNumber(term uint64) uint64 {
	if held := c.hosts.store.Current(); held != nil && held.Term() == term {
		return held.Number() + 1
	}

	return 1
}

// logListFailure logs the first of several consecutive read failures.
func (c *Controller) logListFailure(err error) {
	if !c.hosts.failing && c.ctx.Err() == nil {
		c.s.Log.Warn().Err(err).Msg("failed to read host list")
	}
	c.hosts.failing = true
}

// publishListing stores a listing read by this host and, on the leader, sends it to the
// other control hosts. It runs in the event loop.
func (c *Controller) publishListing(next *lister.Listing) {
	l, held := &c.hosts, c.hosts.store.Current()
	if !l.store.Offer(next) {
		return
	}
	if l.failing || held == nil || held.Digest() != next.Digest() {
		c.s.Log.Info().Uint64("term", next.Term()).Uint64("number", next.Number()).Int("servers", next.Size()).
			Msg("host list read")
	}
	l.failing = false
	if c.core.Status().Role != replicator.Leader {
		return
	}
	c.updateVersions()
	if l.readsSinceFull++; l.sentDigest != next.Digest() || l.readsSinceFull >= readsPerFullListing {
		l.sentDigest, l.readsSinceFull, held = next.Digest(), 0, nil
	}
	m := next.Message(c.s.Timer.Now(), held)
	for _, to := range slices.Concat(c.members.GetVoters(), c.members.GetLearners()) {
		if to.GetId() != c.self.GetId() {
			c.links.send(&wire.Peer{From: c.self.GetId(), To: to.GetId(), Body: &wire.Peer_Listing{Listing: m}})
		}
	}
}

// receiveListing stores a listing read by another control host.
func (c *Controller) receiveListing(m *wire.Listing) {
	if m.GetTerm() < c.core.Status().Term {
		c.s.Log.Info().Uint64("term", m.GetTerm()).Uint64("number", m.GetNumber()).Msg("ignored host listing of deposed leader")

		return
	}
	next, err := lister.ApplyMessage(c.s.Timer.Now(), c.hosts.store.Current(), m)
	if err != nil {
		// The sender will send the full list later.
		c.s.Log.Debug().Err(err).Msg("ignored unusable host listing")

		return
	}
	c.hosts.store.Offer(next)
}

// sendListing sends a process the difference between the newest listing and held, the
// listing that it has. It returns the listing that the process has afterwards.
func (c *Controller) sendListing(s *messenger.Stream, held *lister.Listing) (*lister.Listing, error) {
	next := c.hosts.store.Current()
	if next == nil || next == held {
		return held, nil
	}
	m := next.Message(c.s.Timer.Now(), held)
	if err := s.Send(&wire.Notice{Body: &wire.Notice_Listing{Listing: m}}); err != nil {
		return held, errors.Newf("send listing: %w", err)
	}

	return next, nil
}
