package replicator

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/wire"
)

// raftLog is the in-memory log: the latest snapshot and the entries after base.
// base may be before the end of the snapshot, so that a member that lacks only a
// few entries receives these instead of the whole snapshot.
type raftLog struct {
	snapshot *wire.Snapshot
	base     uint64 // index of the entry before the first retained one
	baseTerm uint64
	entries  []*wire.Entry
	// memberChanges are those of the entries that change the members, in order.
	memberChanges []*wire.Entry
	// baseMembers are the members as of base.
	baseMembers *wire.Members

	commit           uint64
	applied          uint64 // highest committed entry returned by Ready
	synced           uint64 // highest entry that is synced on this member
	syncing          uint64 // highest entry returned by Ready to be synced
	uncommittedBytes int    // size of the entries after commit
}

func newRaftLog(st State) (*raftLog, error) {
	s := st.Snapshot
	if s == nil {
		s = &wire.Snapshot{}
	}
	l := &raftLog{
		snapshot: s, base: s.GetIndex(), baseTerm: s.GetTerm(), baseMembers: s.GetMembers(),
		commit: s.GetIndex(), applied: s.GetIndex(),
	}
	for _, e := range st.Entries {
		if e.GetIndex() != l.last()+1 {
			return nil, errors.Newf("log has a gap: entry %d follows entry %d", e.GetIndex(), l.last())
		}
		l.add(e)
	}
	l.synced, l.syncing = l.last(), l.last()

	return l, nil
}

func (l *raftLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.last())

	return term
}

// term returns the term of the entry at index, and false if it is not known.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index == l.snapshot.GetIndex():
		return l.snapshot.GetTerm(), true
	case index < l.base || index > l.last():
		return 0, false
	}

	return l.entries[index-l.base-1].GetTerm(), true
}

// entriesFrom returns the entries from index on, up to a total size of maxBytes
// but at least one entry.
func (l *raftLog) entriesFrom(index uint64, maxBytes int) []*wire.Entry {
	if index <= l.base || index > l.last() {
		return nil
	}
	rest := l.entries[index-l.base-1:]
	size := 0
	for i, e := range rest {
		size += len(e.GetData())
		if i > 0 && size > maxBytes {
			return rest[:i:i]
		}
	}

	return rest[:len(rest):len(rest)]
}

func (l *raftLog) add(e *wire.Entry) {
	l.entries = append(l.entries, e)
	l.uncommittedBytes += len(e.GetData())
	if e.GetMembers() != nil {
		l.memberChanges = append(l.memberChanges, e)
	}
}

// truncateFrom removes the entries from index on, none of which is committed.
func (l *raftLog) truncateFrom(index uint64) {
	for _, e := range l.entries[index-l.base-1:] {
		l.uncommittedBytes -= len(e.GetData())
	}
	// Copied, because messages that are being sent may share the backing array.
	l.entries = append([]*wire.Entry(nil), l.entries[:index-l.base-1]...)
	for len(l.memberChanges) > 0 && l.memberChanges[len(l.memberChanges)-1].GetIndex() >= index {
		l.memberChanges = l.memberChanges[:len(l.memberChanges)-1]
	}
	l.synced = min(l.synced, index-1)
	l.syncing = min(l.syncing, index-1)
}

// members returns the members after the latest change, committed or not, and the
// index of that change.
func (l *raftLog) members() (*wire.Members, uint64) {
	if n := len(l.memberChanges); n > 0 {
		return l.memberChanges[n-1].GetMembers(), l.memberChanges[n-1].GetIndex()
	}

	return l.baseMembers, l.base
}

// membersAt returns the members as of the entry at index.
func (l *raftLog) membersAt(index uint64) *wire.Members {
	m := l.baseMembers
	for _, e := range l.memberChanges {
		if e.GetIndex() <= index {
			m = e.GetMembers()
		}
	}

	return m
}

func (l *raftLog) commitTo(index uint64) {
	for _, e := range l.entriesFrom(l.commit+1, int(^uint(0)>>1)) {
		if e.GetIndex() > index {
			break
		}
		l.uncommittedBytes -= len(e.GetData())
		l.commit = e.GetIndex()
	}
}

// compact makes s the latest snapshot and drops the entries up to keep.
func (l *raftLog) compact(s *wire.Snapshot, keep uint64) {
	l.snapshot = s
	keep = min(keep, s.GetIndex())
	if keep <= l.base {
		return
	}
	term, _ := l.term(keep)
	l.baseMembers = l.membersAt(keep)
	l.entries = append([]*wire.Entry(nil), l.entries[keep-l.base:]...)
	l.base, l.baseTerm = keep, term
	for len(l.memberChanges) > 0 && l.memberChanges[0].GetIndex() <= keep {
		l.memberChanges = l.memberChanges[1:]
	}
}

// reset replaces the whole log by a snapshot received from the leader.
func (l *raftLog) reset(s *wire.Snapshot) {
	index := s.GetIndex()
	*l = raftLog{
		snapshot: s, base: index, baseTerm: s.GetTerm(), baseMembers: s.GetMembers(),
		commit: index, applied: index, synced: index, syncing: index,
	}
}

func cloneMembers(m *wire.Members) *wire.Members {
	c, _ := proto.Clone(m).(*wire.Members)
	if c == nil {
		c = &wire.Members{}
	}

	return c
}
