package controller

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/replicator"
	"github.com/damasklever/damasklever/internal/wire"
)

// waiter is a proposal of this host that waits for its commit.
type waiter struct {
	term uint64
	ch   chan *wire.Result // one result; nil if another entry took its place
}

// run takes events until Close. Events that arrive together share one sync.
func (c *Controller) run() error {
	for {
		select {
		case <-c.ctx.Done():
			return nil
		case fn := <-c.events:
			fn()
		case m := <-c.inbox:
			c.step(m)
		case now := <-c.ticks:
			c.core.Tick(now)
			c.announce()
		}
		c.drain()
		if err := c.process(); err != nil {
			return err
		}
		c.report()
	}
}

func (c *Controller) drain() {
	for range eventsPerRound {
		select {
		case fn := <-c.events:
			fn()
		case m := <-c.inbox:
			c.step(m)
		default:
			return
		}
	}
}

// do runs fn in the event loop and waits for it. It returns false if the host
// has ended or is not founded yet.
func (c *Controller) do(fn func()) bool {
	if !c.founded.Load() {
		return false
	}
	ran := make(chan struct{})
	select {
	case c.events <- func() { fn(); close(ran) }:
	case <-c.looped:
		return false
	}
	select {
	case <-ran:
		return true
	case <-c.looped:
		// The loop may have run it as its last event.
		select {
		case <-ran:
			return true
		default:
			return false
		}
	}
}

// post runs fn in the event loop unless the loop is too busy.
func (c *Controller) post(fn func()) {
	select {
	case c.events <- fn:
	default:
	}
}

// process syncs, sends and applies until the core has nothing more to do.
func (c *Controller) process() error {
	for {
		if c.fault != nil {
			return c.fault
		}
		r := c.core.Ready()
		if r.Empty() {
			c.startCompact()

			return nil
		}
		if err := c.persist(&r); err != nil {
			return err
		}
		mark := c.rec.Mark()
		for _, m := range r.Messages {
			m.Mark = mark
			c.links.send(m)
		}
		for _, e := range r.Committed {
			if err := c.apply(e); err != nil {
				return err
			}
		}
		for _, read := range r.Reads {
			if ch := c.reading[read.ID]; ch != nil {
				delete(c.reading, read.ID)
				ch <- read
			}
		}
		c.core.Advance()
	}
}

func (c *Controller) persist(r *replicator.Ready) error {
	if r.Expelled {
		return c.expel()
	}
	if r.Vote != nil && r.Snapshot != nil {
		// The vote first: a log must never be of a later term than the vote.
		if err := c.rec.Save(r.Vote, nil); err != nil {
			return errors.Newf("sync vote: %w", err)
		}
		r.Vote = nil
	}
	if r.Snapshot != nil {
		if err := c.rec.Snapshot(r.Snapshot); err != nil {
			return errors.Newf("sync snapshot: %w", err)
		}
		if err := c.restore(r.Snapshot); err != nil {
			return err
		}
		c.followMembers()
	}
	if r.Vote == nil && len(r.Entries) == 0 {
		return nil
	}
	if err := c.rec.Save(r.Vote, r.Entries); err != nil {
		return errors.Newf("sync log: %w", err)
	}

	return nil
}

// restore replaces the state by a snapshot. The first snapshot of a cluster
// holds only its members.
func (c *Controller) restore(s *wire.Snapshot) error {
	if s == nil {
		return nil
	}
	if len(s.GetData()) > 0 {
		if err := c.state.Restore(s.GetData()); err != nil {
			return errors.Newf("restore snapshot at %d: %w", s.GetIndex(), err)
		}
	}
	c.compacted, c.grown, c.packed = s.GetIndex(), 0, len(s.GetData())
	for index, w := range c.waiting {
		// The snapshot does not tell whether it holds this command.
		if index <= s.GetIndex() {
			delete(c.waiting, index)
			w.ch <- nil
		}
	}
	c.reach(s.GetIndex())
	c.changed()

	return nil
}

func (c *Controller) apply(e *wire.Entry) error {
	var result *wire.Result
	switch {
	case e.GetMembers() != nil:
		c.followMembers()
		result = &wire.Result{Outcome: wire.Outcome_OUTCOME_DONE, Index: e.GetIndex()}
	case len(e.GetData()) > 0:
		cmd := &wire.Command{}
		if err := proto.Unmarshal(e.GetData(), cmd); err != nil {
			return errors.Newf("decode entry %d: %w", e.GetIndex(), err)
		}
		c.clock = max(c.clock, cmd.GetTime())
		before := c.state.Index()
		result = c.state.Apply(e.GetIndex(), time.UnixMilli(cmd.GetTime()), cmd)
		if c.state.Index() != before {
			c.changed()
		}
	}
	c.grown += len(e.GetData())
	c.reach(e.GetIndex())
	if w := c.waiting[e.GetIndex()]; w != nil {
		delete(c.waiting, e.GetIndex())
		if w.term != e.GetTerm() {
			result = nil
		}
		w.ch <- result
	}

	return nil
}

// reach records the applied index and wakes the reads that wait for it.
func (c *Controller) reach(index uint64) {
	c.applied = index
	for at, list := range c.arrivals {
		if at > index {
			continue
		}
		for _, ch := range list {
			close(ch)
		}
		delete(c.arrivals, at)
	}
}

// changed tells the subscribers that there is something new for them.
func (c *Controller) changed() {
	clear(c.updates)
	c.attachments.wake()
}

// followMembers connects to the members of the log.
func (c *Controller) followMembers() {
	c.members = c.core.Status().Members
	if len(c.members.GetVoters()) > 0 {
		c.recorded.Store(c.members)
	}
	c.links.follow(c.members)
}
