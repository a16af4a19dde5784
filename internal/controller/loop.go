package controller

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/replicator"
	"github.com/damasklever/damasklever/internal/wire"
)

// proposal is an entry proposed by this host that waits to be committed.
type proposal struct {
	term uint64
	ch   chan *wire.Result // receives one result; nil if another entry replaced the proposal
}

// runLoop handles events until Close. Events that arrive together share one disk sync.
func (c *Controller) runLoop() error {
	for {
		select {
		case <-c.ctx.Done():
			return nil
		case fn := <-c.events:
			fn()
		case m := <-c.peerMessages:
			c.stepPeer(m)
		case now := <-c.ticks:
			c.core.Tick(now)
			c.announceWrites()
		}
		c.drainEvents()
		if err := c.processReady(); err != nil {
			return err
		}
		c.logChanges()
	}
}

func (c *Controller) drainEvents() {
	for range maxEventsPerSync {
		select {
		case fn := <-c.events:
			fn()
		case m := <-c.peerMessages:
			c.stepPeer(m)
		default:
			return
		}
	}
}

// do runs fn in the event loop and waits for it. It returns false if the loop has
// ended or the cluster is not bootstrapped yet.
func (c *Controller) do(fn func()) bool {
	if !c.bootstrapped.Load() {
		return false
	}
	ran := make(chan struct{})
	select {
	case c.events <- func() { fn(); close(ran) }:
	case <-c.loopDone:
		return false
	}
	select {
	case <-ran:
		return true
	case <-c.loopDone:
		// fn may have been the last event that the loop ran.
		select {
		case <-ran:
			return true
		default:
			return false
		}
	}
}

// tryPost queues fn for the event loop and drops it if the queue is full.
func (c *Controller) tryPost(fn func()) {
	select {
	case c.events <- fn:
	default:
	}
}

// processReady persists, sends and applies the output of the core until there is none left.
func (c *Controller) processReady() error {
	for {
		if c.fatalErr != nil {
			return c.fatalErr
		}
		r := c.core.Ready()
		if r.Empty() {
			c.startCompaction()

			return nil
		}
		if err := c.persist(&r); err != nil {
			return err
		}
		writes := c.rec.Mark()
		for _, m := range r.Messages {
			m.Mark = writes
			c.links.send(m)
		}
		for _, e := range r.Committed {
			if err := c.apply(e); err != nil {
				return err
			}
		}
		for _, read := range r.Reads {
			if ch := c.pendingReads[read.ID]; ch != nil {
				delete(c.pendingReads, read.ID)
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
		// Save the vote first: the log must never have a later term than the vote.
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
		c.updateMembers()
	}
	if r.Vote == nil && len(r.Entries) == 0 {
		return nil
	}
	if err := c.rec.Save(r.Vote, r.Entries); err != nil {
		return errors.Newf("sync log: %w", err)
	}

	return nil
}

// restore replaces the state with that of a snapshot. The first snapshot of a cluster
// contains only its members.
func (c *Controller) restore(s *wire.Snapshot) error {
	if s == nil {
		return nil
	}
	if len(s.GetData()) > 0 {
		if err := c.state.Restore(s.GetData()); err != nil {
			return errors.Newf("restore snapshot at %d: %w", s.GetIndex(), err)
		}
	}
	c.snapshotIndex, c.appliedBytes, c.snapshotBytes = s.GetIndex(), 0, len(s.GetData())
	for index, w := range c.proposals {
		// The snapshot does not tell whether it includes this command.
		if index <= s.GetIndex() {
			delete(c.proposals, index)
			w.ch <- nil
		}
	}
	c.setApplied(s.GetIndex())
	c.notifySubscribers()

	return nil
}

func (c *Controller) apply(e *wire.Entry) error {
	var result *wire.Result
	switch {
	case e.GetMembers() != nil:
		c.updateMembers()
		result = &wire.Result{Outcome: wire.Outcome_OUTCOME_DONE, Index: e.GetIndex()}
	case len(e.GetData()) > 0:
		cmd := &wire.Command{}
		if err := proto.Unmarshal(e.GetData(), cmd); err != nil {
			return errors.Newf("decode entry %d: %w", e.GetIndex(), err)
		}
		c.lastCommandMillis = max(c.lastCommandMillis, cmd.GetTime())
		before := c.state.Index()
		result = c.state.Apply(e.GetIndex(), time.UnixMilli(cmd.GetTime()), cmd)
		if c.state.Index() != before {
			c.notifySubscribers()
		}
	}
	c.appliedBytes += len(e.GetData())
	c.setApplied(e.GetIndex())
	if w := c.proposals[e.GetIndex()]; w != nil {
		delete(c.proposals, e.GetIndex())
		if w.term != e.GetTerm() {
			result = nil
		}
		w.ch <- result
	}

	return nil
}

// setApplied sets the applied index and wakes the reads waiting for it.
func (c *Controller) setApplied(index uint64) {
	c.applied = index
	for at, list := range c.applyWaiters {
		if at > index {
			continue
		}
		for _, ch := range list {
			close(ch)
		}
		delete(c.applyWaiters, at)
	}
}

// notifySubscribers discards the cached updates and wakes the streams of all attached
// processes.
func (c *Controller) notifySubscribers() {
	clear(c.updates)
	c.attachments.notifyAll()
}

// updateMembers opens and closes links according to the current members of the log.
func (c *Controller) updateMembers() {
	c.members = c.core.Status().Members
	if len(c.members.GetVoters()) > 0 {
		c.knownMembers.Store(c.members)
	}
	c.links.setMembers(c.members)
}
