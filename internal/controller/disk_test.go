package controller_test

import (
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/controller"
	"github.com/damasklever/damasklever/internal/recorder"
	"github.com/damasklever/damasklever/internal/wire"
)

// fullDisk is a data directory on a simulated disk that can become full.
type fullDisk struct {
	recorder.Files
	full atomic.Bool
}

func (l *fullDisk) Open(name string) (recorder.File, error) {
	f, err := l.Files.Open(name)

	return &fullDiskFile{File: f, disk: l}, err
}

type fullDiskFile struct {
	recorder.File
	disk *fullDisk
}

func (f *fullDiskFile) WriteAt(p []byte, offset int64) (int, error) {
	if f.disk.full.Load() {
		n, _ := f.File.WriteAt(p[:len(p)/2], offset)

		return n, syscall.ENOSPC
	}

	return f.File.WriteAt(p, offset)
}

// Guards against a host that acknowledges a command that a full disk did not store, or
// that cannot restart once there is space again.
func TestHostStopsOnFullDisk(t *testing.T) {
	s := settings(t.TempDir())
	files, err := recorder.OpenDir(s.DataDir)
	if err != nil {
		t.Fatal(err)
	}
	disk := &fullDisk{Files: files}
	s.Files = disk
	h := start(t, s)
	apply(t, h, newChange("1"))
	disk.full.Store(true)
	stream := openStream(t, h, &wire.Request{Body: &wire.Request_Command{Command: newChange("2")}})
	var r wire.Response
	if err := stream.Recv(&r); err == nil && r.GetResult().GetOutcome() == wire.Outcome_OUTCOME_DONE {
		t.Error("outcome of a command that was not synced: got done")
	}
	<-h.Done()
	if got, want := h.Err(), syscall.ENOSPC; !errors.Is(got, want) {
		t.Errorf("error of the stopped host: got %v, want %v", got, want)
	}
	disk.full.Store(false)
	h = start(t, s)
	if got, want := query(t, h, "services").GetRows()[0].GetCells()[0], "1"; got != want {
		t.Errorf("revision after the restart: got %s, want %s", got, want)
	}
}

// Guards against a host that votes although its data directory was restored from a copy and
// lacks entries acknowledged since, and against reusing such a directory after it was
// detected.
func TestHostWithOlderDirectoryIsExpelled(t *testing.T) {
	hosts := cluster(t, 3)
	l, rest := leader(t, hosts)
	apply(t, l, newChange("1"))
	h := rest[0]
	waitUntil(func() bool { return h.Dump().Applied == l.Dump().Applied })
	_ = h.Close()
	older := filepath.Join(t.TempDir(), "older")
	if err := os.CopyFS(older, os.DirFS(h.settings.DataDir)); err != nil {
		t.Fatal(err)
	}
	h = restart(t, h, false)
	apply(t, l, newChange("2"))
	waitUntil(func() bool { return h.Dump().Applied == l.Dump().Applied })
	// Change the leader: the new one does not know what the host acknowledged to the old one.
	l = restart(t, l, false)
	apply(t, l, newChange("3"))
	h.settings.DataDir = older
	h = restart(t, h, false)
	<-h.Done()
	if got, want := h.Err(), recorder.ErrExpelled; !errors.Is(got, want) {
		t.Errorf("error of the stopped host: got %v, want %v", got, want)
	}
	if _, err := controller.New(h.settings); !errors.Is(err, recorder.ErrExpelled) {
		t.Errorf("second start: got %v, want %v", err, recorder.ErrExpelled)
	}
}

// Guards against a host that cannot be added to a cluster of one, and against an error when
// the addition is sent again.
func TestHostJoinsClusterOfOne(t *testing.T) {
	first := start(t, settings(t.TempDir()))
	apply(t, first, newChange("1"))
	s := settings(t.TempDir())
	s.Number, s.Members, s.Join = 2, nil, true
	second := start(t, s)
	add := &wire.Command{Id: "add", Body: &wire.Command_Peering{Peering: &wire.Peering{Verb: "add", Addr: second.Addr()}}}
	for range 2 {
		if got, want := apply(t, first, add).GetOutcome(), wire.Outcome_OUTCOME_DONE; got != want {
			t.Fatalf("add: got %v, want %v", got, want)
		}
	}
	waitUntil(func() bool {
		members := second.Dump().Members

		return len(members) == 2 && !members[1].Learner
	})
	if got, want := apply(t, second, newChange("2")).GetRevision(), uint64(2); got != want {
		t.Errorf("revision: got %d, want %d", got, want)
	}
}
