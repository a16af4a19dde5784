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
	frames, end, err := decodeFrames(data)
	if err != nil {
		return errors.Mark(errors.Newf("file log: %w", err), ErrDamaged)
	}
	if n := len(frames); n > 0 {
		r.frame = frames[n-1].number
	}
	if r.frame < r.state.Vote.GetFrame() {
		return errors.Newf("log ends at frame %d, vote was synced after frame %d: %w",
			r.frame, r.state.Vote.GetFrame(), ErrOlder)
	}
	if err := r.replay(frames); err != nil {
		return err
	}
	if r.log, err = r.files.Open(logFile); err != nil {
		return errors.Newf("open file log: %w", err)
	}
	r.end = int64(end)
	if end < len(data) {
		if err := r.rollBack(); err != nil {
			return errors.Newf("truncate torn tail: %w", err)
		}
	}

	return r.finish()
}

// replay rebuilds the entries. A snapshot may be newer than the log when the
// process died between writing the two.
func (r *Recorder) replay(frames []frame) error {
	all := State{}
	for i, f := range frames {
		var batch wire.Batch
		if err := proto.Unmarshal(f.payload, &batch); err != nil {
			return errors.Mark(errors.Newf("file log, frame %d: %w", i, err), ErrDamaged)
		}
		var err error
		if all.Entries, err = join(all, batch.GetEntries()); err != nil {
			return errors.Mark(errors.Newf("file log, frame %d: %w", i, err), ErrDamaged)
		}
	}
	for _, e := range all.Entries {
		if e.GetTerm() > r.state.Vote.GetTerm() {
			return errors.Newf("entry %d has term %d, the vote has term %d: %w",
				e.GetIndex(), e.GetTerm(), r.state.Vote.GetTerm(), ErrOlder)
		}
	}
	r.state.Entries = all.Entries

	return nil
}

// finish drops what the snapshot covers and checks that nothing is missing
// between the two.
func (r *Recorder) finish() error {
	if len(r.state.Entries) == 0 {
		return nil
	}
	first, s := r.state.Entries[0].GetIndex(), r.state.Snapshot
	if first > s.GetIndex()+1 {
		return errors.Newf("log starts at entry %d, snapshot ends at %d: %w", first, s.GetIndex(), ErrOlder)
	}
	if first == s.GetIndex()+1 {
		return nil
	}
	r.state.Entries = rest(State{Entries: r.state.Entries}, s)

	return r.rewrite()
}

// join returns the entries of st with more added; more replaces everything from
// its first index on.
func join(st State, more []*wire.Entry) ([]*wire.Entry, error) {
	if len(more) == 0 {
		return st.Entries, nil
	}
	first := more[0].GetIndex()
	start := first
	switch {
	case len(st.Entries) > 0:
		start = st.Entries[0].GetIndex()
	case st.Snapshot != nil:
		start = st.Snapshot.GetIndex() + 1
	}
	if first < start || first > start+uint64(len(st.Entries)) {
		return nil, errors.Newf("entry %d does not follow: have %d entries from %d", first, len(st.Entries), start)
	}
	for i, e := range more {
		if e.GetIndex() != first+uint64(i) {
			return nil, errors.Newf("entry %d does not follow entry %d", e.GetIndex(), first+uint64(i)-1)
		}
	}
	kept := st.Entries[:first-start]
	if first-start < uint64(len(st.Entries)) {
		kept = append([]*wire.Entry(nil), kept...)
	}

	return append(kept, more...), nil
}

// rest returns the entries after a snapshot, none if the log does not agree
// with it.
func rest(st State, s *wire.Snapshot) []*wire.Entry {
	index := s.GetIndex()
	if st.Snapshot.GetIndex() == index && st.Snapshot.GetTerm() == s.GetTerm() {
		return st.Entries
	}
	for i, e := range st.Entries {
		if e.GetIndex() == index && e.GetTerm() == s.GetTerm() {
			return append([]*wire.Entry(nil), st.Entries[i+1:]...)
		}
	}

	return nil
}

// rewrite replaces the log file by one frame with the current entries. The
// frame's number goes on rising, so that the vote's check holds.
func (r *Recorder) rewrite() error {
	payload, err := proto.Marshal(&wire.Batch{Entries: r.state.Entries})
	if err != nil {
		return errors.Newf("encode: %w", err)
	}
	data := appendFrame(nil, frame{number: r.frame + 1, payload: payload})
	if err := r.replace(logFile, data); err != nil {
		return err
	}
	// The open file is the one that was replaced.
	if err := r.log.Close(); err != nil {
		r.broken = errors.Newf("close replaced log: %w", err)

		return r.broken
	}
	if r.log, err = r.files.Open(logFile); err != nil {
		r.broken = errors.Newf("open new log: %w", err)

		return r.broken
	}
	r.frame++
	r.end = int64(len(data))

	return nil
}

// readFile reads a file of one frame. found is false if there is no such file.
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

// replace replaces a file as a whole: after a crash there is the old content or
// the new one.
func (r *Recorder) replace(name string, data []byte) error {
	if err := r.write(name+newSuffix, data); err != nil {
		return err
	}

	return r.rename(name+newSuffix, name)
}

// write writes and syncs a whole file.
func (r *Recorder) write(name string, data []byte) error {
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
	if err := r.files.SyncFolder(); err != nil {
		r.broken = errors.Newf("data directory is in an unknown state: %w", err)

		return r.broken
	}

	return nil
}
