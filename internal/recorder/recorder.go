// Package recorder persists the Raft log, the vote and the latest snapshot of
// one control host in a data directory. Every method that writes returns after
// the data is synced to disk.
//
// The vote has its own file and contains the number of the last log frame at the
// time it was written. Open compares the two, which detects a log that was
// replaced by an older one. The files are:
//
//	identity  random id of the member, generated when the directory is created
//	vote      term and vote, replaced as a whole
//	snapshot  latest snapshot, replaced as a whole
//	log       entries after the snapshot; every Save appends one frame
//	expelled  exists if the member was expelled and must not take part again
//	lock      locked by the process that uses the directory
package recorder

import (
	"crypto/rand"
	"encoding/binary"
	"os"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/wire"
)

const (
	identityFile = "identity"
	voteFile     = "vote"
	snapshotFile = "snapshot"
	logFile      = "log"
	expelledFile = "expelled"
	tempSuffix   = ".new"
	stagedSuffix = ".staged"
)

// Errors that report an unusable data directory.
var (
	// ErrDamaged means that a file has content which a crash cannot have caused.
	ErrDamaged = errors.New("data directory is damaged")
	// ErrInconsistent means that the log, the vote or the snapshot was replaced by an
	// older version.
	ErrInconsistent = errors.New("files in the data directory are from different points in time; " +
		"the host must join as a new member with an empty data directory")
	// ErrExpelled means that the directory lost data which its member had already
	// acknowledged, for example because an older copy of it was restored.
	ErrExpelled = errors.New("the member that owns this data directory was expelled; " +
		"the host must join as a new member with an empty data directory")
)

// Settings configures a Recorder.
type Settings struct {
	// Number is the host number from the configuration, stored when a new
	// directory is created.
	Number uint64
	// Files is the data directory; if nil, Open uses the directory at its path.
	Files Files
	// NewIdentity generates the member id of a new directory; if nil, a random
	// number is used.
	NewIdentity func() uint64
}

// Defaults sets the fields that are zero.
func (s *Settings) Defaults() {
	if s.Number == 0 {
		s.Number = 1
	}
	if s.NewIdentity == nil {
		s.NewIdentity = randomIdentity
	}
}

// Validate reports all missing settings in one error. Settings are always valid
// after Defaults.
func (s *Settings) Validate() error {
	if s.Number == 0 || s.NewIdentity == nil {
		return errors.New("recorder settings: Number and NewIdentity must be set")
	}

	return nil
}

func randomIdentity() uint64 {
	var b [8]byte
	for {
		_, _ = rand.Read(b[:]) // never returns an error
		if id := binary.LittleEndian.Uint64(b[:]); id != 0 {
			return id
		}
	}
}

// State is the content of the data directory. Vote is never nil; Snapshot is nil
// if none was taken. Entries are the log entries after the snapshot.
type State struct {
	Vote     *wire.Vote
	Snapshot *wire.Snapshot
	Entries  []*wire.Entry
}

// Recorder is an open data directory. Its methods must not be called
// concurrently, except for StageSnapshot.
type Recorder struct {
	files    Files
	unlock   func() error
	log      File
	logSize  int64  // size of the synced part of the log file
	frame    uint64 // number of the last frame in the log
	identity *wire.Member
	state    State
	failure  error // if set, all further calls return it
}

// Open locks and loads the data directory. An empty directory is initialized.
func Open(path string, s Settings) (*Recorder, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, errors.Newf("open recorder: %w", err)
	}
	files := s.Files
	if files == nil {
		var err error
		if files, err = OpenDir(path); err != nil {
			return nil, errors.Newf("open recorder: %w", err)
		}
	}
	unlock, err := files.Lock()
	if err != nil {
		return nil, errors.Newf("lock %s: %w", path, err)
	}
	r := &Recorder{files: files, unlock: unlock}
	if err := r.open(s); err != nil {
		return nil, errors.Newf("open %s: %w", path, errors.CombineErrors(err, r.Close()))
	}

	return r, nil
}

func (r *Recorder) open(s Settings) error {
	_, err := r.files.Read(expelledFile)
	if err == nil {
		return ErrExpelled
	}
	if !errors.Is(err, os.ErrNotExist) {
		return errors.Newf("read file %s: %w", expelledFile, err)
	}
	r.identity = &wire.Member{}
	found, err := r.readFile(identityFile, r.identity)
	if err != nil {
		return err
	}
	if !found {
		if err := r.create(s); err != nil {
			return errors.Newf("create: %w", err)
		}
	}

	return r.load()
}

// create initializes an empty directory. It writes the identity last: a directory
// without one is treated as new.
func (r *Recorder) create(s Settings) error {
	for _, name := range []string{snapshotFile, logFile} {
		data, err := r.files.Read(name)
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return errors.Newf("read file %s: %w", name, err)
		}
		if len(data) > 0 {
			return errors.Newf("file identity is missing, but file %s is not empty: %w", name, ErrDamaged)
		}
	}
	if err := r.replace(logFile, nil); err != nil {
		return err
	}
	if err := r.writeFile(voteFile, &wire.Vote{}); err != nil {
		return err
	}
	r.identity = &wire.Member{Id: s.NewIdentity(), Number: s.Number}

	return r.writeFile(identityFile, r.identity)
}

// Identity returns the member id that was generated for this directory and the
// host number at that time.
func (r *Recorder) Identity() *wire.Member { return r.identity }

// Mark returns the number of writes of votes and log frames in the history of the
// directory. It decreases only if the directory is replaced by an older copy.
func (r *Recorder) Mark() uint64 { return r.frame + r.state.Vote.GetCount() }

// Load returns the state as of the last write, or as of Open.
func (r *Recorder) Load() (State, error) {
	if r.failure != nil {
		return State{}, r.failure
	}

	return r.state, nil
}

// Save writes the vote, if it is not nil, and then the entries, and returns after
// they are synced. The entries replace all stored entries from the index of the
// first one on. If Save fails, none of the new entries is kept; if that cannot be
// guaranteed, every later call fails.
func (r *Recorder) Save(vote *wire.Vote, entries []*wire.Entry) error {
	if r.failure != nil {
		return r.failure
	}
	if vote != nil {
		vote = &wire.Vote{
			Term: vote.GetTerm(), Vote: vote.GetVote(), Frame: r.frame,
			Count: r.state.Vote.GetCount() + 1,
		}
		if err := r.writeFile(voteFile, vote); err != nil {
			return errors.Newf("save vote: %w", err)
		}
		r.state.Vote = vote
	}
	if len(entries) == 0 {
		return nil
	}
	next, err := mergeEntries(r.state, entries)
	if err != nil {
		return errors.Newf("save entries: %w", err)
	}
	if err := r.append(entries); err != nil {
		return errors.Newf("save entries: %w", err)
	}
	r.state.Entries = next

	return nil
}

func (r *Recorder) append(entries []*wire.Entry) error {
	payload, err := proto.Marshal(&wire.Batch{Entries: entries})
	if err != nil {
		return errors.Newf("encode: %w", err)
	}
	data := appendFrame(nil, frame{number: r.frame + 1, payload: payload})
	if _, err := r.log.WriteAt(data, r.logSize); err != nil {
		return errors.Newf("write: %w", errors.CombineErrors(err, r.truncateLog()))
	}
	if err := r.log.Sync(); err != nil {
		// After a failed sync, the content on the disk is unknown.
		r.failure = errors.Newf("log file is in an unknown state: %w", err)

		return r.failure
	}
	r.frame++
	r.logSize += int64(len(data))

	return nil
}

// truncateLog removes a partially written frame, for example after the disk was
// full.
func (r *Recorder) truncateLog() error {
	err := r.log.Truncate(r.logSize)
	if err == nil {
		err = r.log.Sync()
	}
	if err != nil {
		r.failure = errors.Newf("log file is in an unknown state: %w", err)
	}

	return err
}

// Snapshot stores s as the latest snapshot and drops the entries it covers. If
// the log has no entry with the snapshot's index and term, Snapshot drops all
// entries.
func (r *Recorder) Snapshot(s *wire.Snapshot) error {
	if r.failure != nil {
		return r.failure
	}
	if err := r.writeFile(snapshotFile, s); err != nil {
		return errors.Newf("save snapshot: %w", err)
	}

	return r.compactTo(s)
}

// StageSnapshot writes a snapshot to a temporary file and syncs it. InstallStaged
// then makes it the latest one. StageSnapshot may run concurrently with the other
// methods, because writing a large snapshot takes longer than log writes may be
// delayed. It must not run concurrently with itself.
func (r *Recorder) StageSnapshot(s *wire.Snapshot) error {
	payload, err := proto.Marshal(s)
	if err != nil {
		return errors.Newf("encode snapshot: %w", err)
	}

	return r.writeSynced(snapshotFile+stagedSuffix, appendFrame(nil, frame{payload: payload}))
}

// InstallStaged is like Snapshot, but uses the file that the last call of
// StageSnapshot wrote.
func (r *Recorder) InstallStaged(s *wire.Snapshot) error {
	if r.failure != nil {
		return r.failure
	}
	if err := r.rename(snapshotFile+stagedSuffix, snapshotFile); err != nil {
		return errors.Newf("install staged snapshot: %w", err)
	}

	return r.compactTo(s)
}

// compactTo drops the entries covered by s, which is already on the disk.
func (r *Recorder) compactTo(s *wire.Snapshot) error {
	r.state.Entries = entriesAfter(r.state, s)
	r.state.Snapshot = s
	if err := r.rewriteLog(); err != nil {
		return errors.Newf("compact log: %w", err)
	}

	return nil
}

// Expel marks the directory as expelled, so that Open refuses it from then on.
func (r *Recorder) Expel() error { return r.replace(expelledFile, []byte("expelled\n")) }

// Close closes the log and unlocks the directory.
func (r *Recorder) Close() error {
	var err error
	if r.log != nil {
		err = r.log.Close()
		r.log = nil
	}
	if r.unlock != nil {
		err = errors.CombineErrors(err, r.unlock())
		r.unlock = nil
	}
	if r.failure == nil {
		r.failure = errors.Wrap(os.ErrClosed, "recorder")
	}
	if err != nil {
		return errors.Newf("close recorder: %w", err)
	}

	return nil
}
