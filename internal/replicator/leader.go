package replicator

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

// progress is the replication state of another member, kept by the leader.
type progress struct {
	match uint64 // highest entry acknowledged as synced
	next  uint64 // next entry to send
	// probing is true while match is unknown. Only one message with entries is
	// then sent at a time.
	probing bool
	paused  bool // no more entries or snapshot chunks until a reply or a heartbeat
	// inflight holds the last index of each unacknowledged message with entries.
	inflight  []uint64
	lastHeard time.Time
	round     uint64 // highest heartbeat round acknowledged
	// matchRound is the heartbeat round in which the leader received the
	// acknowledgement of match. Only a message of a later round is certain to have
	// been sent after that.
	matchRound      uint64
	pendingSnapshot *wire.Snapshot // snapshot being sent, nil if none
	snapshotOffset  uint64
	expelled        bool
}

func sortedKeys[V any](m map[uint64]V) iter.Seq[uint64] {
	return slices.Values(slices.Sorted(maps.Keys(m)))
}

// becomeLeader starts the term of a candidate that has won the election.
func (c *Core) becomeLeader() {
	c.role, c.leader = Leader, c.s.ID
	c.granted, c.pendingReads = nil, nil
	c.round = 0
	c.progress = make(map[uint64]*progress)
	c.updateProgress()
	c.termStart = c.log.last() + 1
	// An entry of an earlier term is committed only by committing a later entry of
	// the current term, so the leader appends an empty one.
	c.append(&wire.Entry{})
	c.deadline = c.now.Add(c.s.HeartbeatInterval)
	c.broadcastDue = true
}

// updateProgress adds and removes progress records so that there is one for each
// other member.
func (c *Core) updateProgress() {
	m, _ := c.log.members()
	keep := make(map[uint64]bool)
	for _, x := range slices.Concat(m.GetVoters(), m.GetLearners()) {
		keep[x.GetId()] = true
		if x.GetId() != c.s.ID && c.progress[x.GetId()] == nil {
			// Counts the member as just heard from, so that a new leader does not
			// step down before the others had an election timeout to reply.
			c.progress[x.GetId()] = &progress{next: c.log.last() + 1, probing: true, lastHeard: c.now}
		}
	}
	for id := range c.progress {
		if !keep[id] {
			delete(c.progress, id)
		}
	}
}

func (c *Core) tickLeader() {
	if c.now.Sub(c.lastQuorumContact()) >= c.s.ElectionTimeout {
		c.becomeFollower(c.term, 0)

		return
	}
	if c.transferring && c.now.Sub(c.transferStart) >= c.s.ElectionTimeout {
		// The transfer failed: the other member did not become leader in time.
		c.transferring = false
	}
	if c.now.Before(c.deadline) {
		return
	}
	c.deadline = c.now.Add(c.s.HeartbeatInterval)
	c.round++
	for _, p := range c.progress {
		p.paused = false
	}
	c.broadcast()
	c.promoteLearner()
}

// lastQuorumContact returns the latest time such that the leader has heard from a
// majority of the voters since then.
func (c *Core) lastQuorumContact() time.Time {
	var times []time.Time
	for id := range c.voters() {
		if id == c.s.ID {
			times = append(times, c.now)
		} else if p := c.progress[id]; p != nil {
			times = append(times, p.lastHeard)
		} else {
			times = append(times, time.Time{})
		}
	}
	if len(times) == 0 {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })

	return times[len(times)/2]
}

// broadcast sends a message to every other member, with or without entries.
func (c *Core) broadcast() {
	c.broadcastDue = false
	for id := range sortedKeys(c.progress) {
		c.sendAppend(id, c.progress[id], true)
	}
}

// flush creates messages for the proposals and reads since the last Ready, so
// that those which arrive together share one heartbeat round.
func (c *Core) flush() {
	if c.role != Leader {
		return
	}
	for _, r := range c.pendingReads {
		if r.round == 0 {
			c.broadcastDue = true
		}
	}
	if c.broadcastDue {
		c.round++
		for _, r := range c.pendingReads {
			if r.round == 0 {
				r.round = c.round
			}
		}
		c.broadcast()
		c.completeReads()
	}
	for id := range sortedKeys(c.progress) {
		c.sendAppend(id, c.progress[id], false)
	}
}

// sendAppend sends the entries that the member lacks, up to the limit of
// unacknowledged messages. With force it sends at least one message, which may be
// empty.
func (c *Core) sendAppend(id uint64, p *progress, force bool) {
	for !p.expelled {
		prev := p.next - 1
		term, ok := c.log.term(prev)
		if p.pendingSnapshot != nil || !ok || prev < c.log.base {
			c.sendSnapshotChunk(id, p, force)

			return
		}
		var entries []*wire.Entry
		if !p.paused && len(p.inflight) < c.s.MaxInflight {
			entries = c.log.entriesFrom(p.next, c.s.BatchBytes)
		}
		if len(entries) == 0 && !force {
			return
		}
		c.send(id, &wire.Peer{Body: &wire.Peer_Append{Append: &wire.Append{
			Index: prev, Term: term, Commit: c.log.commit, Entries: entries, Round: c.round,
		}}})
		if len(entries) == 0 {
			return
		}
		if p.probing {
			p.paused = true

			return
		}
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, p.next-1)
		force = false
	}
}

// sendSnapshotChunk sends the next chunk of the snapshot, or starts to send the
// latest snapshot if none is being sent.
func (c *Core) sendSnapshotChunk(id uint64, p *progress, force bool) {
	if p.pendingSnapshot == nil {
		p.pendingSnapshot, p.snapshotOffset = c.log.snapshot, 0
		p.paused = false
	}
	if p.paused && !force {
		return
	}
	data := p.pendingSnapshot.GetData()
	start := min(p.snapshotOffset, uint64(len(data)))
	end := min(start+uint64(c.s.ChunkBytes), uint64(len(data)))
	c.send(id, &wire.Peer{Body: &wire.Peer_Install{Install: &wire.Install{
		Index: p.pendingSnapshot.GetIndex(), Term: p.pendingSnapshot.GetTerm(), Members: p.pendingSnapshot.GetMembers(),
		Offset: start, Data: data[start:end], Last: end == uint64(len(data)),
	}}})
	p.paused = true
}

// stepInstalled handles the reply to a snapshot chunk.
func (c *Core) stepInstalled(from uint64, r *wire.InstallReply) {
	p := c.progress[from]
	if c.role != Leader || p == nil {
		return
	}
	p.lastHeard = c.now
	if p.pendingSnapshot != nil && p.pendingSnapshot.GetIndex() == r.GetIndex() {
		p.snapshotOffset, p.paused = r.GetOffset(), false
	}
}

// stepAppended handles the reply to an append message.
func (c *Core) stepAppended(from uint64, r *wire.AppendReply) {
	p := c.progress[from]
	if c.role != Leader || p == nil {
		return
	}
	p.lastHeard = c.now
	p.round = max(p.round, r.GetRound())
	if r.GetOk() {
		c.handleAccepted(p, r)
	} else {
		c.handleRejected(from, p, r)
	}
	c.completeReads()
}

func (c *Core) handleAccepted(p *progress, r *wire.AppendReply) {
	if r.GetIndex() < p.match || r.GetIndex() > c.log.last() {
		return
	}
	if r.GetIndex() > p.match {
		p.match, p.matchRound = r.GetIndex(), c.round
	}
	p.next = max(p.next, p.match+1)
	p.inflight = slices.DeleteFunc(p.inflight, func(i uint64) bool { return i <= p.match })
	if p.pendingSnapshot != nil && p.match >= p.pendingSnapshot.GetIndex() {
		p.pendingSnapshot = nil
	}
	if p.pendingSnapshot == nil {
		p.probing, p.paused = false, false
	}
	c.commit()
}

func (c *Core) handleRejected(from uint64, p *progress, r *wire.AppendReply) {
	if r.GetLast() < p.match && r.GetRound() > p.matchRound {
		// The rejected message was sent after the member had acknowledged match,
		// so its data directory was replaced by an older copy. A message of the
		// round of the acknowledgement itself would not prove this, because
		// messages may arrive out of order.
		p.expelled = true
		c.send(from, &wire.Peer{Body: &wire.Peer_Expel{Expel: &wire.Expel{Index: p.match}}})

		return
	}
	if p.pendingSnapshot != nil || r.GetLast() < p.match {
		return
	}
	p.next = max(min(r.GetIndex(), c.log.last()), p.match) + 1
	p.probing, p.paused = true, false
	p.inflight = nil
}

// commit advances the commit index to the highest entry that a majority has
// synced, provided that the entry is of the current term.
func (c *Core) commit() {
	var match []uint64
	for id := range c.voters() {
		switch p := c.progress[id]; {
		case id == c.s.ID:
			match = append(match, c.log.synced)
		case p != nil:
			match = append(match, p.match)
		default:
			match = append(match, 0)
		}
	}
	if len(match) == 0 {
		return
	}
	slices.SortFunc(match, func(a, b uint64) int { return cmp.Compare(b, a) })
	index := match[len(match)/2]
	if term, ok := c.log.term(index); index <= c.log.commit || !ok || term != c.term {
		return
	}
	c.log.commitTo(index)
	c.broadcastDue = true
	c.completeReads()
	if _, changed := c.log.members(); changed <= c.log.commit && !c.voters()[c.s.ID] {
		// This member was removed. It informs the others of the commit before it
		// steps down.
		c.broadcast()
		c.becomeFollower(c.term, 0)
	}
}
