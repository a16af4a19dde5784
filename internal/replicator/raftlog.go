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
	j := &raftLog{
		snapshot: s, base: s.GetIndex(), baseTerm: s.GetTerm(), baseMembers: s.GetMembers(),
		commit: s.GetIndex(), applied: s.GetIndex(),
	}
	for _, e := range st.Entries {
		if e.GetIndex() != j.last()+1 {
			return nil, errors.Newf("log has a gap: entry %d follows entry %d", e.GetIndex(), j.last())
		}
		j.add(e)
	}
	j.synced, j.syncing = j.last(), j.last()

	return j, nil
}

func (j *raftLog) last() uint64 { return j.base + uint64(len(j.entries)) }

func (j *raftLog) lastTerm() uint64 {
	term, _ := j.term(j.last())

	return term
}

// term returns the term of the entry at index, and false if it is not known.
func (j *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == j.base:
		return j.baseTerm, true
	case index == j.snapshot.GetIndex():
		return j.snapshot.GetTerm(), true
	case index < j.base || index > j.last():
		return 0, false
	}

	return j.entries[index-j.base-1].GetTerm(), true
}

// entriesFrom returns the entries from index on, up to a total size of maxBytes
// but at least one entry.
func (j *raftLog) entriesFrom(index uint64, maxBytes int) []*wire.Entry {
	if index <= j.base || index > j.last() {
		return nil
	}
	rest := j.entries[index-j.base-1:]
	size := 0
	for i, e := range rest {
		size += len(e.GetData())
		if i > 0 && size > maxBytes {
			return rest[:i:i]
		}
	}

	return rest[:len(rest):len(rest)]
}

func (j *raftLog) add(e *wire.Entry) {
	j.entries = append(j.entries, e)
	j.uncommittedBytes += len(e.GetData())
	if e.GetMembers() != nil {
		j.memberChanges = append(j.memberChanges, e)
	}
}

// truncateFrom removes the entries from index on, none of which is committed.
func (j *raftLog) truncateFrom(index uint64) {
	for _, e := range j.entries[index-j.base-1:] {
		j.uncommittedBytes -= len(e.GetData())
	}
	// Copied, because messages that are being sent may share the backing array.
	j.entries = append([]*wire.Entry(nil), j.entries[:index-j.base-1]...)
	for len(j.memberChanges) > 0 && j.memberChanges[len(j.memberChanges)-1].GetIndex() >= index {
		j.memberChanges = j.memberChanges[:len(j.memberChanges)-1]
	}
	j.synced = min(j.synced, index-1)
	j.syncing = min(j.syncing, index-1)
}

// members returns the members after the latest change, committed or not, and the
// index of that change.
func (j *raftLog) members() (*wire.Members, uint64) {
	if n := len(j.memberChanges); n > 0 {
		return j.memberChanges[n-1].GetMembers(), j.memberChanges[n-1].GetIndex()
	}

	return j.baseMembers, j.base
}

// membersAt returns the members as of the entry at index.
func (j *raftLog) membersAt(index uint64) *wire.Members {
	m := j.baseMembers
	for _, e := range j.memberChanges {
		if e.GetIndex() <= index {
			m = e.GetMembers()
		}
	}

	return m
}

func (j *raftLog) commitTo(index uint64) {
	for _, e := range j.entriesFrom(j.commit+1, int(^uint(0)>>1)) {
		if e.GetIndex() > index {
			break
		}
		j.uncommittedBytes -= len(e.GetData())
		j.commit = e.GetIndex()
	}
}

// compact makes s the latest snapshot and drops the entries up to keep.
func (j *raftLog) compact(s *wire.Snapshot, keep uint64) {
	j.snapshot = s
	keep = min(keep, s.GetIndex())
	if keep <= j.base {
		return
	}
	term, _ := j.term(keep)
	j.baseMembers = j.membersAt(keep)
	j.entries = append([]*wire.Entry(nil), j.entries[keep-j.base:]...)
	j.base, j.baseTerm = keep, term
	for len(j.memberChanges) > 0 && j.memberChanges[0].GetIndex() <= keep {
		j.memberChanges = j.memberChanges[1:]
	}
}

// reset replaces the whole log by a snapshot received from the leader.
func (j *raftLog) reset(s *wire.Snapshot) {
	index := s.GetIndex()
	*j = raftLog{
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
