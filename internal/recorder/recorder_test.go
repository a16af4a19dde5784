package recorder_test

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/damasklever/damasklever/internal/recorder"
	"github.com/damasklever/damasklever/internal/wire"
)

func mustOpen(t testing.TB, d *disk) *recorder.Recorder {
	t.Helper()
	r, err := recorder.Open("data", recorder.Settings{Files: d})
	if err != nil {
		t.Fatal(err)
	}

	return r
}

// entries returns n consecutive entries, the first one at index.
func entries(index, term uint64, n int) []*wire.Entry {
	var list []*wire.Entry
	for i := range n {
		e := &wire.Entry{Index: index + uint64(i), Term: term}
		e.Data = []byte(fmt.Sprintf("entry %d of term %d", e.GetIndex(), term))
		list = append(list, e)
	}

	return list
}

func mustSave(t testing.TB, r *recorder.Recorder, vote *wire.Vote, list []*wire.Entry) {
	t.Helper()
	if err := r.Save(vote, list); err != nil {
		t.Fatal(err)
	}
}

// describe formats a state for comparison.
func describe(st recorder.State) string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "vote %d/%d snapshot %d/%d %q", st.Vote.GetTerm(), st.Vote.GetVote(),
		st.Snapshot.GetIndex(), st.Snapshot.GetTerm(), st.Snapshot.GetData())
	for _, e := range st.Entries {
		_, _ = fmt.Fprintf(&b, " %d/%d", e.GetIndex(), e.GetTerm())
	}

	return b.String()
}

func load(t testing.TB, r *recorder.Recorder) string {
	t.Helper()
	st, err := r.Load()
	if err != nil {
		t.Fatal(err)
	}

	return describe(st)
}

// diskWithThreeSaves returns a disk on which three saves were made, and the length
// of the log file after each of them.
func diskWithThreeSaves(t testing.TB) (d *disk, lengths []int) {
	t.Helper()
	d = newDisk()
	r := mustOpen(t, d)
	for i := range 3 {
		mustSave(t, r, &wire.Vote{Term: uint64(i + 1)}, entries(uint64(2*i+1), uint64(i+1), 2))
		lengths = append(lengths, len(d.names["log"].data))
	}
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}

	return d, lengths
}

// Guards against a torn last frame that prevents the host from starting, is read
// as a complete one, or causes the loss of frames that were synced before it.
func TestTornTailIsTruncated(t *testing.T) {
	d, lengths := diskWithThreeSaves(t)
	whole := d.names["log"].data
	for size := lengths[1]; size < lengths[2]; size++ {
		d.names["log"].data = slices.Clone(whole[:size])
		r := mustOpen(t, d)
		if got, want := load(t, r), `vote 3/0 snapshot 0/0 "" 1/1 2/1 3/2 4/2`; got != want {
			t.Fatalf("log cut at %d: got %s, want %s", size, got, want)
		}
		mustSave(t, r, nil, entries(5, 3, 1))
		_ = r.Close()
		r = mustOpen(t, d)
		if got, want := load(t, r), `vote 3/0 snapshot 0/0 "" 1/1 2/1 3/2 4/2 5/3`; got != want {
			t.Fatalf("save after a cut at %d: got %s, want %s", size, got, want)
		}
		_ = r.Close()
	}
}

// Guards against damage before the last frame that is treated as a torn tail, so
// that synced frames are silently dropped.
func TestDamageBeforeTailStops(t *testing.T) {
	d, lengths := diskWithThreeSaves(t)
	whole := d.names["log"].data
	for i := range lengths[1] {
		d.names["log"].data = slices.Clone(whole)
		d.names["log"].data[i] ^= 0x40
		_, err := recorder.Open("data", recorder.Settings{Files: d})
		at := 0
		if i >= lengths[0] {
			at = lengths[0]
		}
		if want := fmt.Sprintf("offset %d", at); !errors.Is(err, recorder.ErrDamaged) ||
			!strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "log") {
			t.Fatalf("byte %d flipped: got %v, want damage at %s", i, err, want)
		}
	}
	d.names["log"].data = whole
	for _, name := range []string{"vote", "identity"} {
		intact := d.names[name].data
		d.names[name].data = slices.Clone(intact)
		d.names[name].data[len(intact)-1] ^= 1
		if _, err := recorder.Open("data", recorder.Settings{Files: d}); !errors.Is(err, recorder.ErrDamaged) {
			t.Errorf("file %s damaged: got %v, want %v", name, err, recorder.ErrDamaged)
		}
		delete(d.names, name)
		if _, err := recorder.Open("data", recorder.Settings{Files: d}); !errors.Is(err, recorder.ErrDamaged) {
			t.Errorf("file %s missing: got %v, want %v", name, err, recorder.ErrDamaged)
		}
		d.names[name] = &inode{data: intact}
	}
}

// Guards against opening a directory whose log or vote was replaced by an older
// one: the host would no longer know the entries it acknowledged and the votes it
// gave.
func TestOlderLogOrVoteIsRefused(t *testing.T) {
	for _, name := range []string{"log", "vote"} {
		d := newDisk()
		r := mustOpen(t, d)
		mustSave(t, r, &wire.Vote{Term: 1}, entries(1, 1, 2))
		older := d.names[name].data
		mustSave(t, r, &wire.Vote{Term: 2, Vote: 7}, entries(3, 2, 2))
		mustSave(t, r, &wire.Vote{Term: 3, Vote: 7}, nil)
		_ = r.Close()
		d.names[name].data = older
		if _, err := recorder.Open("data", recorder.Settings{Files: d}); !errors.Is(err, recorder.ErrInconsistent) {
			t.Errorf("older %s: got %v, want %v", name, err, recorder.ErrInconsistent)
		}
	}
}

// Guards against a full disk that damages existing data, or after which saving
// fails even when there is space again.
func TestDiskFull(t *testing.T) {
	for freeSpace := range 200 {
		d, lengths := diskWithThreeSaves(t)
		r := mustOpen(t, d)
		d.freeSpace = freeSpace
		err := r.Save(&wire.Vote{Term: 4, Vote: 2}, entries(7, 4, 3))
		if err != nil && !errors.Is(err, errFull) {
			t.Fatalf("%d bytes of space: got %v, want %v", freeSpace, err, errFull)
		}
		if freeSpace < 60 && err == nil {
			t.Fatalf("%d bytes of space: save succeeded, want an error", freeSpace)
		}
		if got, want := len(d.names["log"].data), lengths[2]; err != nil && got != want {
			t.Fatalf("%d bytes of space: log file has %d bytes after the error, want %d", freeSpace, got, want)
		}
		d.freeSpace = -1
		mustSave(t, r, &wire.Vote{Term: 5}, entries(7, 5, 1))
		_ = r.Close()
		r = mustOpen(t, d)
		if got, want := load(t, r), `vote 5/0 snapshot 0/0 "" 1/1 2/1 3/2 4/2 5/3 6/3 7/5`; got != want {
			t.Fatalf("%d bytes of space: got %s, want %s", freeSpace, got, want)
		}
		_ = r.Close()
	}
}

// Guards against a recorder that accepts writes after a failed sync, when the
// content on the disk is unknown.
func TestFailedSyncStopsRecorder(t *testing.T) {
	d, _ := diskWithThreeSaves(t)
	r := mustOpen(t, d)
	d.stepsToCrash = 1
	if err := r.Save(nil, entries(7, 3, 1)); !errors.Is(err, errCrash) {
		t.Fatalf("save: got %v, want %v", err, errCrash)
	}
	d.stepsToCrash = -1
	if err := r.Save(nil, entries(7, 3, 1)); err == nil {
		t.Error("save after a failed sync: got no error")
	}
}

// Guards against two processes that write to the same data directory, an identity
// that changes when the directory is reopened, and an expelled directory that can
// be opened again.
func TestLockAndIdentity(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	r, err := recorder.Open(path, recorder.Settings{Number: 3})
	if err != nil {
		t.Fatal(err)
	}
	if second, err := recorder.Open(path, recorder.Settings{}); err == nil {
		_ = second.Close()
		t.Error("opened a data directory that is in use")
	}
	mustSave(t, r, &wire.Vote{Term: 1}, entries(1, 1, 1))
	want := r.Identity()
	_ = r.Close()
	r, err = recorder.Open(path, recorder.Settings{})
	if err != nil {
		t.Fatal(err)
	}
	if got := r.Identity(); !proto.Equal(got, want) {
		t.Errorf("identity: got %v, want %v", got, want)
	}
	if got, want := load(t, r), `vote 1/0 snapshot 0/0 "" 1/1`; got != want {
		t.Errorf("state: got %s, want %s", got, want)
	}
	if err := r.Expel(); err != nil {
		t.Fatal(err)
	}
	_ = r.Close()
	if _, err := recorder.Open(path, recorder.Settings{}); !errors.Is(err, recorder.ErrExpelled) {
		t.Errorf("open after expulsion: got %v, want %v", err, recorder.ErrExpelled)
	}
}

// unreadable is a data directory of which one file cannot be read.
type unreadable struct {
	*disk
	name string
}

func (u unreadable) Read(name string) ([]byte, error) {
	if name == u.name {
		return nil, errUnreadable
	}

	return u.disk.Read(name)
}

var errUnreadable = errors.New("input/output error")

// Guards against a file that cannot be read for the moment being taken for one that does not
// exist: an expelled member would take part again, and a new directory would replace its log.
func TestUnreadableFileIsNotMissing(t *testing.T) {
	tests := map[string]struct {
		file string
		lost string // file that is missing
	}{
		"mark of an expelled member":    {file: "expelled"},
		"log without an identity":       {file: "log", lost: "identity"},
		"snapshot without identity":     {file: "snapshot", lost: "identity"},
		"snapshot of a whole directory": {file: "snapshot"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDisk()
			r, err := recorder.Open("data", recorder.Settings{Files: d})
			if err != nil {
				t.Fatal(err)
			}
			if err := r.Save(&wire.Vote{Term: 1}, entries(1, 1, 1)); err != nil {
				t.Fatal(err)
			}
			if err := r.Expel(); err != nil {
				t.Fatal(err)
			}
			if err := r.Close(); err != nil {
				t.Fatal(err)
			}
			if test.file != "expelled" {
				delete(d.names, "expelled")
			}
			delete(d.names, test.lost)
			stored := slices.Clone(d.names["log"].data)
			r, err = recorder.Open("data", recorder.Settings{Files: unreadable{d, test.file}})
			if !errors.Is(err, errUnreadable) {
				t.Errorf("open: got %v, want %v", err, errUnreadable)
			}
			if got := d.names["log"].data; !slices.Equal(got, stored) {
				t.Errorf("log: got %d bytes, want the %d stored before", len(got), len(stored))
			}
			if err == nil {
				_ = r.Close()
			}
		})
	}
}
