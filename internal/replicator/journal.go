package replicator

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/wire"
)

// journal is the log in memory: the latest snapshot and the entries after base.
// base is at or before the snapshot, so that a member that lacks a few entries
// gets them instead of the whole snapshot.
type journal struct {
	snapshot *wire.Snapshot
	base     uint64 // index before the first entry kept
	baseTerm uint64
	entries  []*wire.Entry
	// changes are the entries with members among entries, in order.
	changes []*wire.Entry
	// floor holds the members in force at base.
	floor *wire.Members

	commit uint64
	handed uint64 // highest committed entry given out
	synced uint64 // highest entry known to be synced here
	given  uint64 // highest entry given out to be synced
	open   int    // bytes of entries after commit
}

func newJournal(st State) (*journal, error) {
	s := st.Snapshot
	if s == nil {
		s = &wire.Snapshot{}
	}
	j := &journal{
		snapshot: s, base: s.GetIndex(), baseTerm: s.GetTerm(), floor: s.GetMembers(),
		commit: s.GetIndex(), handed: s.GetIndex(),
	}
	for _, e := range st.Entries {
		if e.GetIndex() != j.last()+1 {
			return nil, errors.Newf("entry %d follows entry %d", e.GetIndex(), j.last())
		}
		j.add(e)
	}
	j.synced, j.given = j.last(), j.last()

	return j, nil
}

func (j *journal) last() uint64 { return j.base + uint64(len(j.entries)) }

func (j *journal) lastTerm() uint64 {
	term, _ := j.term(j.last())

	return term
}

// term returns the term of the entry at index, and whether it is still known.
func (j *journal) term(index uint64) (uint64, bool) {
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

// from returns entries from index on, up to a number of bytes but at least one.
func (j *journal) from(index uint64, most int) []*wire.Entry {
	if index <= j.base || index > j.last() {
		return nil
	}
	rest := j.entries[index-j.base-1:]
	size := 0
	for i, e := range rest {
		size += len(e.GetData())
		if i > 0 && size > most {
			return rest[:i:i]
		}
	}

	return rest[:len(rest):len(rest)]
}

func (j *journal) add(e *wire.Entry) {
	j.entries = append(j.entries, e)
	j.open += len(e.GetData())
	if e.GetMembers() != nil {
		j.changes = append(j.changes, e)
	}
}

// cut removes the entries from index on. They are not committed.
func (j *journal) cut(index uint64) {
	for _, e := range j.entries[index-j.base-1:] {
		j.open -= len(e.GetData())
	}
	// The backing array may be shared with messages that are being sent.
	j.entries = append([]*wire.Entry(nil), j.entries[:index-j.base-1]...)
	for len(j.changes) > 0 && j.changes[len(j.changes)-1].GetIndex() >= index {
		j.changes = j.changes[:len(j.changes)-1]
	}
	j.synced = min(j.synced, index-1)
	j.given = min(j.given, index-1)
}

// members returns the members of the latest change, committed or not, and the
// index of that change.
func (j *journal) members() (*wire.Members, uint64) {
	if n := len(j.changes); n > 0 {
		return j.changes[n-1].GetMembers(), j.changes[n-1].GetIndex()
	}

	return j.floor, j.base
}

// membersAt returns the members in force after the entry at index.
func (j *journal) membersAt(index uint64) *wire.Members {
	m := j.floor
	for _, e := range j.changes {
		if e.GetIndex() <= index {
			m = e.GetMembers()
		}
	}

	return m
}

func (j *journal) commitTo(index uint64) {
	for _, e := range j.from(j.commit+1, int(^uint(0)>>1)) {
		if e.GetIndex() > index {
			break
		}
		j.open -= len(e.GetData())
		j.commit = e.GetIndex()
	}
}

// compact keeps s as the latest snapshot and drops the entries up to keep.
func (j *journal) compact(s *wire.Snapshot, keep uint64) {
	j.snapshot = s
	keep = min(keep, s.GetIndex())
	if keep <= j.base {
		return
	}
	term, _ := j.term(keep)
	j.floor = j.membersAt(keep)
	j.entries = append([]*wire.Entry(nil), j.entries[keep-j.base:]...)
	j.base, j.baseTerm = keep, term
	for len(j.changes) > 0 && j.changes[0].GetIndex() <= keep {
		j.changes = j.changes[1:]
	}
}

// reset replaces everything by a snapshot that another member sent.
func (j *journal) reset(s *wire.Snapshot) {
	index := s.GetIndex()
	*j = journal{
		snapshot: s, base: index, baseTerm: s.GetTerm(), floor: s.GetMembers(),
		commit: index, handed: index, synced: index, given: index,
	}
}

func cloneMembers(m *wire.Members) *wire.Members {
	c, _ := proto.Clone(m).(*wire.Members)
	if c == nil {
		c = &wire.Members{}
	}

	return c
}
