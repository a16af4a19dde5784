// Package recorder keeps the log, the vote and the latest snapshot of one
// control host in a data directory. Every call that writes returns after the
// data is synced.
//
// The vote has its own file, so that a log that was replaced by an older one is
// noticed: the vote names the last frame that the log had. The files are:
//
//	identity  id of the member, drawn when the directory is created
//	vote      term and vote, replaced as a whole
//	snapshot  latest snapshot, replaced as a whole
//	log       entries after the snapshot, appended; one frame each Save
//	expelled  present when the member must never take part again
//	lock      held by the process that uses the directory
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
	newSuffix    = ".new"
	stagedSuffix = ".staged"
)

// Faults of a data directory.
var (
	// ErrDamaged: a file holds something that no crash explains.
	ErrDamaged = errors.New("data directory is damaged")
	// ErrOlder: the log and the vote are not of the same time.
	ErrOlder = errors.New("log and vote in the data directory are of different times; " +
		"the host must join as a new member with an empty data directory")
	// ErrExpelled: the directory went back in time while its member took part.
	ErrExpelled = errors.New("the member of this data directory was expelled; " +
		"the host must join as a new member with an empty data directory")
)

// Settings of a recorder.
type Settings struct {
	// Number is the id of the host in its settings, kept in a new directory.
	Number uint64
	// Files is the data directory; nil for the folder named to Open.
	Files Files
	// Draw returns the identity of a new directory; nil for a random one.
	Draw func() uint64
}

// Defaults fills the fields that are zero.
func (s *Settings) Defaults() {
	if s.Number == 0 {
		s.Number = 1
	}
	if s.Draw == nil {
		s.Draw = drawIdentity
	}
}

// Validate reports every fault at once; there are none after Defaults.
func (s *Settings) Validate() error {
	if s.Number == 0 || s.Draw == nil {
		return errors.New("settings of recorder: number and draw must be set")
	}

	return nil
}

func drawIdentity() uint64 {
	var b [8]byte
	for {
		_, _ = rand.Read(b[:]) // it never fails
		if id := binary.LittleEndian.Uint64(b[:]); id != 0 {
			return id
		}
	}
}

// State is what the directory holds. Vote is never nil. Snapshot is nil if
// there is none. Entries are those after the snapshot.
type State struct {
	Vote     *wire.Vote
	Snapshot *wire.Snapshot
	Entries  []*wire.Entry
}

// Recorder is an open data directory. Its methods must not run at the same
// time.
type Recorder struct {
	files    Files
	unlock   func() error
	log      File
	end      int64  // of the synced part of the log file
	frame    uint64 // number of the last frame
	identity *wire.Member
	state    State
	broken   error
}

// Open locks and reads the data directory, and creates it if it is empty.
func Open(path string, s Settings) (*Recorder, error) {
	s.Defaults()
	if err := s.Validate(); err != nil {
		return nil, errors.Newf("open recorder: %w", err)
	}
	files := s.Files
	if files == nil {
		var err error
		if files, err = OpenFolder(path); err != nil {
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
	if _, err := r.files.Read(expelledFile); err == nil {
		return ErrExpelled
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

// create writes the identity last: without it the directory counts as new.
func (r *Recorder) create(s Settings) error {
	for _, name := range []string{snapshotFile, logFile} {
		if data, err := r.files.Read(name); err == nil && len(data) > 0 {
			return errors.Newf("file identity is missing but %s is not empty: %w", name, ErrDamaged)
		}
	}
	if err := r.replace(logFile, nil); err != nil {
		return err
	}
	if err := r.writeFile(voteFile, &wire.Vote{}); err != nil {
		return err
	}
	r.identity = &wire.Member{Id: s.Draw(), Number: s.Number}

	return r.writeFile(identityFile, r.identity)
}

// Identity returns the id drawn for this directory and the host's number at
// that time.
func (r *Recorder) Identity() *wire.Member { return r.identity }

// Mark counts the writes of votes and entries that the directory holds. It never
// falls unless the directory is replaced by an older one.
func (r *Recorder) Mark() uint64 { return r.frame + r.state.Vote.GetCount() }

// Load returns what the directory held when it was opened or last written.
func (r *Recorder) Load() (State, error) {
	if r.broken != nil {
		return State{}, r.broken
	}

	return r.state, nil
}

// Save writes the vote, if not nil, and then the entries, and returns after
// they are synced. Entries replace everything from the index of the first one
// on. After an error nothing of the entries is kept; if even that is not sure,
// every later call fails.
func (r *Recorder) Save(vote *wire.Vote, entries []*wire.Entry) error {
	if r.broken != nil {
		return r.broken
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
	next, err := join(r.state, entries)
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
	if _, err := r.log.WriteAt(data, r.end); err != nil {
		return errors.Newf("write: %w", errors.CombineErrors(err, r.rollBack()))
	}
	if err := r.log.Sync(); err != nil {
		// After a failed sync it is unknown what the disk holds.
		r.broken = errors.Newf("log file is in an unknown state: %w", err)

		return r.broken
	}
	r.frame++
	r.end += int64(len(data))

	return nil
}

// rollBack removes a frame that was written in part, for example on a full disk.
func (r *Recorder) rollBack() error {
	err := r.log.Truncate(r.end)
	if err == nil {
		err = r.log.Sync()
	}
	if err != nil {
		r.broken = errors.Newf("log file is in an unknown state: %w", err)
	}

	return err
}

// Snapshot keeps s as the latest snapshot and drops the entries it covers. If
// the log does not hold the entry at the snapshot's index and term, it drops
// all entries.
func (r *Recorder) Snapshot(s *wire.Snapshot) error {
	if r.broken != nil {
		return r.broken
	}
	if err := r.writeFile(snapshotFile, s); err != nil {
		return errors.Newf("save snapshot: %w", err)
	}

	return r.follow(s)
}

// Stage writes a snapshot aside and syncs it. It may run at the same time as the
// other methods, but not twice at once: a large snapshot takes longer than the
// log may wait. Adopt makes it the latest one.
func (r *Recorder) Stage(s *wire.Snapshot) error {
	payload, err := proto.Marshal(s)
	if err != nil {
		return errors.Newf("encode snapshot: %w", err)
	}

	return r.write(snapshotFile+stagedSuffix, appendFrame(nil, frame{payload: payload}))
}

// Adopt does what Snapshot does, with the snapshot that Stage wrote last.
func (r *Recorder) Adopt(s *wire.Snapshot) error {
	if r.broken != nil {
		return r.broken
	}
	if err := r.rename(snapshotFile+stagedSuffix, snapshotFile); err != nil {
		return errors.Newf("adopt snapshot: %w", err)
	}

	return r.follow(s)
}

// follow drops the entries that the snapshot on the disk covers.
func (r *Recorder) follow(s *wire.Snapshot) error {
	r.state.Entries = rest(r.state, s)
	r.state.Snapshot = s
	if err := r.rewrite(); err != nil {
		return errors.Newf("compact log: %w", err)
	}

	return nil
}

// Expel marks the directory so that it is never opened again.
func (r *Recorder) Expel() error { return r.replace(expelledFile, []byte("expelled\n")) }

// Close releases the directory.
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
	if r.broken == nil {
		r.broken = errors.Wrap(os.ErrClosed, "recorder")
	}
	if err != nil {
		return errors.Newf("close recorder: %w", err)
	}

	return nil
}
