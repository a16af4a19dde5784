package replicator

import (
	"github.com/damasklever/damasklever/internal/wire"
)

func (c *Core) fromLeader(from uint64) {
	if c.role != Follower || c.leader != from {
		c.follow(c.term, from)
	}
	c.heard = c.now
	c.rearm()
}

func (c *Core) replyAppend(to uint64, ok bool, index, round uint64) {
	c.send(to, &wire.Peer{Body: &wire.Peer_Appended{Appended: &wire.AppendReply{
		Ok: ok, Index: index, Round: round, Last: c.log.last(),
	}}})
}

func (c *Core) stepAppend(from uint64, m *wire.Append) {
	prev, entries := m.GetIndex(), m.GetEntries()
	if prev < c.log.commit {
		// Committed entries are the same everywhere.
		skip := c.log.commit - prev
		if uint64(len(entries)) <= skip {
			c.replyAppend(from, true, c.log.commit, m.GetRound())

			return
		}
		prev, entries = c.log.commit, entries[skip:]
	} else if term, ok := c.log.term(prev); !ok || term != m.GetTerm() {
		c.replyAppend(from, false, c.hint(prev, term), m.GetRound())

		return
	}
	c.merge(entries)
	end := prev + uint64(len(entries))
	c.log.commitTo(min(m.GetCommit(), end))
	c.replyAppend(from, true, end, m.GetRound())
}

// hint returns an index before the conflict at prev, where the leader tries
// next. It passes over all entries of the term that conflicts.
func (c *Core) hint(prev, term uint64) uint64 {
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

// merge adds the entries and drops own entries from the first conflict on.
func (c *Core) merge(entries []*wire.Entry) {
	for i, e := range entries {
		if term, ok := c.log.term(e.GetIndex()); ok {
			if term == e.GetTerm() {
				continue
			}
			c.log.cut(e.GetIndex())
		}
		for _, rest := range entries[i:] {
			c.log.add(rest)
		}

		return
	}
}

func (c *Core) stepInstall(from uint64, m *wire.Install) {
	index := m.GetIndex()
	if index <= c.log.commit {
		c.replyAppend(from, true, c.log.commit, 0)

		return
	}
	if term, ok := c.log.term(index); ok && term == m.GetTerm() {
		// The log holds everything the snapshot does. Entries after it may have
		// been acknowledged and must stay.
		c.log.commitTo(index)
		c.replyAppend(from, true, index, 0)

		return
	}
	if m.GetOffset() == 0 {
		c.incoming = &wire.Snapshot{Index: index, Term: m.GetTerm(), Members: m.GetMembers()}
	}
	s := c.incoming
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
	c.incoming = nil
	c.log.reset(s)
	c.install = s
	c.replyAppend(from, true, index, 0)
}
