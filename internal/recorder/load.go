package recorder

import (
	"os"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/wire"
)

func (r *Recorder) load() error {
	r.state = State{Vote: &wire.Vote{}}
	found, err := r.readFile(voteFile, r.state.Vote)
	if err != nil {
		return err
	}
	if !found {
		return errors.Newf("file vote is missing: %w", ErrDamaged)
	}
	snapshot := &wire.Snapshot{}
	if found, err = r.readFile(snapshotFile, snapshot); err != nil {
		return err
	}
	if found {
		r.state.Snapshot = snapshot
	}

	return r.loadLog()
}

func (r *Recorder) loadLog() error {
	data, err := r.files.Read(logFile)
	if err != nil {
		return errors.Newf("read file log: %w", errors.CombineErrors(err, ErrDamaged))
	}
	frames, logSize, err := decodeFrames(data)
	if err != nil {
		return errors.Mark(errors.Newf("file log: %w", err), ErrDamaged)
	}
	if n := len(frames); n > 0 {
		r.frame = frames[n-1].number
	}
	if r.frame < r.state.Vote.GetFrame() {
		return errors.Newf("log ends at frame %d, but the vote was synced after frame %d: %w",
			r.frame, r.state.Vote.GetFrame(), ErrInconsistent)
	}
	if err := r.replay(frames); err != nil {
		return err
	}
	if r.log, err = r.files.Open(logFile); err != nil {
		return errors.Newf("open file log: %w", err)
	}
	r.logSize = int64(logSize)
	if logSize < len(data) {
		if err := r.truncateLog(); err != nil {
			return errors.Newf("truncate torn tail: %w", err)
		}
	}

	return r.dropCovered()
}

// replay rebuilds the entries from the frames of the log. The snapshot may be
// newer than the log if the process died after it wrote the snapshot and before
// it rewrote the log; dropCovered handles that.
func (r *Recorder) replay(frames []frame) error {
	replayed := State{}
	for i, f := range frames {
		var batch wire.Batch
		if err := proto.Unmarshal(f.payload, &batch); err != nil {
			return errors.Mark(errors.Newf("file log, frame %d: %w", i, err), ErrDamaged)
		}
		var err error
		if replayed.Entries, err = mergeEntries(replayed, batch.GetEntries()); err != nil {
			return errors.Mark(errors.Newf("file log, frame %d: %w", i, err), ErrDamaged)
		}
	}
	for _, e := range replayed.Entries {
		if e.GetTerm() > r.state.Vote.GetTerm() {
			return errors.Newf("entry %d has term %d, but the vote has term %d: %w",
				e.GetIndex(), e.GetTerm(), r.state.Vote.GetTerm(), ErrInconsistent)
		}
	}
	r.state.Entries = replayed.Entries

	return nil
}

// dropCovered drops the entries that the snapshot covers and checks that no entry
// is missing between the snapshot and the log.
func (r *Recorder) dropCovered() error {
	if len(r.state.Entries) == 0 {
		return nil
	}
	first, s := r.state.Entries[0].GetIndex(), r.state.Snapshot
	if first > s.GetIndex()+1 {
		return errors.Newf("log starts at entry %d, but the snapshot ends at entry %d: %w", first, s.GetIndex(), ErrInconsistent)
	}
	if first == s.GetIndex()+1 {
		return nil
	}
	r.state.Entries = entriesAfter(State{Entries: r.state.Entries}, s)

	return r.rewriteLog()
}

// mergeEntries returns the entries of the state with the added ones, which replace
// everything from the index of the first one on.
func mergeEntries(state State, added []*wire.Entry) ([]*wire.Entry, error) {
	if len(added) == 0 {
		return state.Entries, nil
	}
	first := added[0].GetIndex()
	start := first
	switch {
	case len(state.Entries) > 0:
		start = state.Entries[0].GetIndex()
	case state.Snapshot != nil:
		start = state.Snapshot.GetIndex() + 1
	}
	if first < start || first > start+uint64(len(state.Entries)) {
		return nil, errors.Newf("entry %d does not continue the log: it has %d entries starting at %d", first, len(state.Entries), start)
	}
	for i, e := range added {
		if e.GetIndex() != first+uint64(i) {
			return nil, errors.Newf("entry %d follows entry %d", e.GetIndex(), first+uint64(i)-1)
		}
	}
	kept := state.Entries[:first-start]
	if first-start < uint64(len(state.Entries)) {
		kept = append([]*wire.Entry(nil), kept...)
	}

	return append(kept, added...), nil
}

// entriesAfter returns the entries after the snapshot s, or none if the log does
// not contain the entry at which s was taken.
func entriesAfter(state State, s *wire.Snapshot) []*wire.Entry {
	index := s.GetIndex()
	if state.Snapshot.GetIndex() == index && state.Snapshot.GetTerm() == s.GetTerm() {
		return state.Entries
	}
	for i, e := range state.Entries {
		if e.GetIndex() == index && e.GetTerm() == s.GetTerm() {
			return append([]*wire.Entry(nil), state.Entries[i+1:]...)
		}
	}

	return nil
}

// rewriteLog replaces the log file with a single frame that contains the current
// entries. The frame gets the next number, so that the log still ends at or after
// the frame named in the vote.
func (r *Recorder) rewriteLog() error {
	payload, err := proto.Marshal(&wire.Batch{Entries: r.state.Entries})
	if err != nil {
		return errors.Newf("encode: %w", err)
	}
	data := appendFrame(nil, frame{number: r.frame + 1, payload: payload})
	if err := r.replace(logFile, data); err != nil {
		return err
	}
	// r.log still refers to the replaced file.
	if err := r.log.Close(); err != nil {
		r.failure = errors.Newf("close replaced log: %w", err)

		return r.failure
	}
	if r.log, err = r.files.Open(logFile); err != nil {
		r.failure = errors.Newf("open new log: %w", err)

		return r.failure
	}
	r.frame++
	r.logSize = int64(len(data))

	return nil
}

// readFile decodes a file that consists of one frame into m. found is false if
// the file does not exist.
func (r *Recorder) readFile(name string, m proto.Message) (found bool, err error) {
	data, err := r.files.Read(name)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, errors.Newf("read file %s: %w", name, err)
	}
	f, size, err := decodeFrame(data)
	if err != nil || size != len(data) {
		return false, errors.Newf("file %s is damaged at offset 0: %w", name, ErrDamaged)
	}
	if err := proto.Unmarshal(f.payload, m); err != nil {
		return false, errors.Mark(errors.Newf("file %s is damaged at offset %d: %w", name, headerBytes, err), ErrDamaged)
	}

	return true, nil
}

func (r *Recorder) writeFile(name string, m proto.Message) error {
	payload, err := proto.Marshal(m)
	if err != nil {
		return errors.Newf("encode %s: %w", name, err)
	}

	return r.replace(name, appendFrame(nil, frame{payload: payload}))
}

// replace atomically replaces the content of a file: after a crash, the file has
// either the old content or the new one.
func (r *Recorder) replace(name string, data []byte) error {
	if err := r.writeSynced(name+tempSuffix, data); err != nil {
		return err
	}

	return r.rename(name+tempSuffix, name)
}

// writeSynced overwrites a file and syncs it.
func (r *Recorder) writeSynced(name string, data []byte) error {
	file, err := r.files.Open(name)
	if err != nil {
		return errors.Newf("open file %s: %w", name, err)
	}
	err = file.Truncate(0)
	if err == nil {
		_, err = file.WriteAt(data, 0)
	}
	if err == nil {
		err = file.Sync()
	}
	if err = errors.CombineErrors(err, file.Close()); err != nil {
		return errors.Newf("write file %s: %w", name, err)
	}

	return nil
}

func (r *Recorder) rename(from, to string) error {
	if err := r.files.Rename(from, to); err != nil {
		return errors.Newf("replace file %s: %w", to, err)
	}
	if err := r.files.SyncDir(); err != nil {
		r.failure = errors.Newf("data directory is in an unknown state: %w", err)

		return r.failure
	}

	return nil
}
