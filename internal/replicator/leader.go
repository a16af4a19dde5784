package replicator

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/damasklever/damasklever/internal/wire"
)

// progress is what the leader knows of one other member.
type progress struct {
	match uint64 // highest entry acknowledged as synced
	next  uint64 // next entry to send
	// probing: match is not known, one message at a time is sent.
	probing bool
	paused  bool
	// inflight holds the last index of each unanswered message with entries.
	inflight []uint64
	heard    time.Time
	round    uint64 // highest heartbeat round acknowledged
	// confirmed is the leader's round when it learned of match. Only a message
	// of a later round is certain to have been sent after that.
	confirmed uint64
	install   *wire.Snapshot // being sent
	offset    uint64
	expelled  bool
}

func sorted[V any](m map[uint64]V) iter.Seq[uint64] {
	return slices.Values(slices.Sorted(maps.Keys(m)))
}

func (c *Core) lead() {
	c.role, c.leader = Leader, c.s.ID
	c.granted, c.reads = nil, nil
	c.round = 0
	c.progress = make(map[uint64]*progress)
	c.track()
	c.opened = c.log.last() + 1
	// Entries of earlier terms are committed only together with one of this term.
	c.append(&wire.Entry{})
	c.deadline = c.now.Add(c.s.Heartbeat)
	c.announce = true
}

// track follows the members: one progress for each other member.
func (c *Core) track() {
	m, _ := c.log.members()
	keep := make(map[uint64]bool)
	for _, x := range slices.Concat(m.GetVoters(), m.GetLearners()) {
		keep[x.GetId()] = true
		if x.GetId() != c.s.ID && c.progress[x.GetId()] == nil {
			// A new leader gives the others one election timeout to answer.
			c.progress[x.GetId()] = &progress{next: c.log.last() + 1, probing: true, heard: c.now}
		}
	}
	for id := range c.progress {
		if !keep[id] {
			delete(c.progress, id)
		}
	}
}

func (c *Core) tickLeader() {
	if c.now.Sub(c.quorumHeard()) >= c.s.Election {
		c.follow(c.term, 0)

		return
	}
	if c.yielding && c.now.Sub(c.yielded) >= c.s.Election {
		// The member that was asked did not take over.
		c.yielding = false
	}
	if c.now.Before(c.deadline) {
		return
	}
	c.deadline = c.now.Add(c.s.Heartbeat)
	c.round++
	for _, p := range c.progress {
		p.paused = false
	}
	c.broadcast()
	c.promote()
}

// quorumHeard returns the latest time at which a majority had been heard.
func (c *Core) quorumHeard() time.Time {
	var times []time.Time
	for id := range c.voters() {
		if id == c.s.ID {
			times = append(times, c.now)
		} else if p := c.progress[id]; p != nil {
			times = append(times, p.heard)
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

// broadcast sends each member a message even if there are no entries for it.
func (c *Core) broadcast() {
	c.announce = false
	for id := range sorted(c.progress) {
		c.sendAppend(id, c.progress[id], true)
	}
}

// flush turns what was collected since the last Ready into messages, so that
// proposals and reads that arrive together share one round.
func (c *Core) flush() {
	if c.role != Leader {
		return
	}
	for _, r := range c.reads {
		if r.round == 0 {
			c.announce = true
		}
	}
	if c.announce {
		c.round++
		for _, r := range c.reads {
			if r.round == 0 {
				r.round = c.round
			}
		}
		c.broadcast()
		c.releaseReads()
	}
	for id := range sorted(c.progress) {
		c.sendAppend(id, c.progress[id], false)
	}
}

// sendAppend sends what the member lacks, as far as the window allows. With
// force it sends at least one message.
func (c *Core) sendAppend(id uint64, p *progress, force bool) {
	for !p.expelled {
		prev := p.next - 1
		term, ok := c.log.term(prev)
		if p.install != nil || !ok || prev < c.log.base {
			c.sendInstall(id, p, force)

			return
		}
		var entries []*wire.Entry
		if !p.paused && len(p.inflight) < c.s.Window {
			entries = c.log.from(p.next, c.s.Batch)
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

func (c *Core) sendInstall(id uint64, p *progress, force bool) {
	if p.install == nil {
		p.install, p.offset = c.log.snapshot, 0
		p.paused = false
	}
	if p.paused && !force {
		return
	}
	data := p.install.GetData()
	start := min(p.offset, uint64(len(data)))
	end := min(start+uint64(c.s.Chunk), uint64(len(data)))
	c.send(id, &wire.Peer{Body: &wire.Peer_Install{Install: &wire.Install{
		Index: p.install.GetIndex(), Term: p.install.GetTerm(), Members: p.install.GetMembers(),
		Offset: start, Data: data[start:end], Last: end == uint64(len(data)),
	}}})
	p.paused = true
}

func (c *Core) stepInstalled(from uint64, r *wire.InstallReply) {
	p := c.progress[from]
	if c.role != Leader || p == nil {
		return
	}
	p.heard = c.now
	if p.install != nil && p.install.GetIndex() == r.GetIndex() {
		p.offset, p.paused = r.GetOffset(), false
	}
}

func (c *Core) stepAppended(from uint64, r *wire.AppendReply) {
	p := c.progress[from]
	if c.role != Leader || p == nil {
		return
	}
	p.heard = c.now
	p.round = max(p.round, r.GetRound())
	if r.GetOk() {
		c.matched(p, r)
	} else {
		c.mismatched(from, p, r)
	}
	c.releaseReads()
}

func (c *Core) matched(p *progress, r *wire.AppendReply) {
	if r.GetIndex() < p.match || r.GetIndex() > c.log.last() {
		return
	}
	if r.GetIndex() > p.match {
		p.match, p.confirmed = r.GetIndex(), c.round
	}
	p.next = max(p.next, p.match+1)
	p.inflight = slices.DeleteFunc(p.inflight, func(i uint64) bool { return i <= p.match })
	if p.install != nil && p.match >= p.install.GetIndex() {
		p.install = nil
	}
	if p.install == nil {
		p.probing, p.paused = false, false
	}
	c.commit()
}

func (c *Core) mismatched(from uint64, p *progress, r *wire.AppendReply) {
	if r.GetLast() < p.match && r.GetRound() > p.confirmed {
		// The message was sent after the member had acknowledged match, so its
		// data directory was replaced by an older one. The round of the
		// acknowledgement itself does not tell: messages may arrive out of order.
		p.expelled = true
		c.send(from, &wire.Peer{Body: &wire.Peer_Expel{Expel: &wire.Expel{Index: p.match}}})

		return
	}
	if p.install != nil || r.GetLast() < p.match {
		return
	}
	p.next = max(min(r.GetIndex(), c.log.last()), p.match) + 1
	p.probing, p.paused = true, false
	p.inflight = nil
}

// commit commits what a majority has synced.
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
	c.announce = true
	c.releaseReads()
	if _, changed := c.log.members(); changed <= c.log.commit && !c.voters()[c.s.ID] {
		// This member was removed. The others learn of the commit first.
		c.broadcast()
		c.follow(c.term, 0)
	}
}
