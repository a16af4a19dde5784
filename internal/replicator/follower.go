package replicator

import (
	"github.com/damasklever/damasklever/internal/wire"
)

// acceptLeader handles any message from the leader of the current term.
func (c *Core) acceptLeader(from uint64) {
	if c.role != Follower || c.leader != from {
		c.becomeFollower(c.term, from)
	}
	c.lastHeard = c.now
	c.resetElectionTimer()
}

func (c *Core) replyAppend(to uint64, ok bool, index, round uint64) {
	c.send(to, &wire.Peer{Body: &wire.Peer_Appended{Appended: &wire.AppendReply{
		Ok: ok, Index: index, Round: round, Last: c.log.last(),
	}}})
}

// stepAppend handles entries or a heartbeat from the leader.
func (c *Core) stepAppend(from uint64, m *wire.Append) {
	prev, entries := m.GetIndex(), m.GetEntries()
	if prev < c.log.commit {
		// Committed entries are identical on all members and need no check.
		skip := c.log.commit - prev
		if uint64(len(entries)) <= skip {
			c.noteLeaderCommit(m.GetCommit())
			c.replyAppend(from, true, c.log.commit, m.GetRound())

			return
		}
		prev, entries = c.log.commit, entries[skip:]
	} else if term, ok := c.log.term(prev); !ok || term != m.GetTerm() {
		c.replyAppend(from, false, c.conflictHint(prev, term), m.GetRound())

		return
	}
	c.merge(entries)
	end := prev + uint64(len(entries))
	c.log.commitTo(min(m.GetCommit(), end))
	c.noteLeaderCommit(m.GetCommit())
	c.replyAppend(from, true, end, m.GetRound())
}

// noteLeaderCommit records that the leader has committed everything up to an index.
func (c *Core) noteLeaderCommit(index uint64) {
	if c.log.commit >= index {
		c.caughtUpAt = c.now
	}
}

// conflictHint returns the index at which the leader should try next after a
// mismatch at prev. It skips all entries of the conflicting term.
func (c *Core) conflictHint(prev, term uint64) uint64 {
	if prev > c.log.last() {
		return c.log.last()
	}
	for prev > c.log.commit {
		if t, ok := c.log.term(prev); !ok || t != term {
			break
		}
		prev--
	}

	return prev
}

// merge appends the entries that the log lacks. Entries in the log are dropped
// from the first one that conflicts.
func (c *Core) merge(entries []*wire.Entry) {
	for i, e := range entries {
		if term, ok := c.log.term(e.GetIndex()); ok {
			if term == e.GetTerm() {
				continue
			}
			c.log.truncateFrom(e.GetIndex())
		}
		for _, rest := range entries[i:] {
			c.log.add(rest)
		}

		return
	}
}

// stepInstall handles a chunk of a snapshot that the leader sends.
func (c *Core) stepInstall(from uint64, m *wire.Install) {
	index := m.GetIndex()
	if index <= c.log.commit {
		c.replyAppend(from, true, c.log.commit, 0)

		return
	}
	if term, ok := c.log.term(index); ok && term == m.GetTerm() {
		// The log already contains everything that the snapshot covers. Entries
		// after it may have been acknowledged and must be kept.
		c.log.commitTo(index)
		c.replyAppend(from, true, index, 0)

		return
	}
	if m.GetOffset() == 0 {
		c.incomingSnapshot = &wire.Snapshot{Index: index, Term: m.GetTerm(), Members: m.GetMembers()}
	}
	s := c.incomingSnapshot
	if s.GetIndex() != index || s.GetTerm() != m.GetTerm() || uint64(len(s.GetData())) != m.GetOffset() {
		have := uint64(0)
		if s.GetIndex() == index && s.GetTerm() == m.GetTerm() {
			have = uint64(len(s.GetData()))
		}
		c.send(from, &wire.Peer{Body: &wire.Peer_Installed{Installed: &wire.InstallReply{Index: index, Offset: have}}})

		return
	}
	s.Data = append(s.Data, m.GetData()...)
	if !m.GetLast() {
		have := uint64(len(s.GetData()))
		c.send(from, &wire.Peer{Body: &wire.Peer_Installed{Installed: &wire.InstallReply{Index: index, Offset: have}}})

		return
	}
	c.incomingSnapshot = nil
	c.log.reset(s)
	c.snapshotToSync = s
	c.replyAppend(from, true, index, 0)
}
