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

// limited is a data directory on a disk that can be full.
type limited struct {
	recorder.Files
	full atomic.Bool
}

func (l *limited) Open(name string) (recorder.File, error) {
	f, err := l.Files.Open(name)

	return &limitedFile{File: f, disk: l}, err
}

type limitedFile struct {
	recorder.File
	disk *limited
}

func (f *limitedFile) WriteAt(p []byte, offset int64) (int, error) {
	if f.disk.full.Load() {
		n, _ := f.File.WriteAt(p[:len(p)/2], offset)

		return n, syscall.ENOSPC
	}

	return f.File.WriteAt(p, offset)
}

// Guards against a host that acknowledges what a full disk did not take, or that
// cannot start again once there is space.
func TestHostStopsOnFullDisk(t *testing.T) {
	s := settings(t.TempDir())
	files, err := recorder.OpenFolder(s.Folder)
	if err != nil {
		t.Fatal(err)
	}
	disk := &limited{Files: files}
	s.Files = disk
	h := start(t, s)
	apply(t, h, change("1"))
	disk.full.Store(true)
	stream := open(t, h, &wire.Request{Body: &wire.Request_Command{Command: change("2")}})
	var r wire.Response
	if err := stream.Recv(&r); err == nil && r.GetResult().GetOutcome() == wire.Outcome_OUTCOME_DONE {
		t.Error("a command that was not synced is done")
	}
	<-h.Done()
	if got, want := h.Err(), syscall.ENOSPC; !errors.Is(got, want) {
		t.Errorf("end of the host: got %v, want %v", got, want)
	}
	disk.full.Store(false)
	h = start(t, s)
	if got, want := query(t, h, "services").GetRows()[0].GetCells()[0], "1"; got != want {
		t.Errorf("revision after the restart: got %s, want %s", got, want)
	}
}

// Guards against a host whose data directory was restored from a copy and that
// votes without what it acknowledged since, and against a directory that is
// used again after that was noticed.
func TestHostWithOlderDirectoryIsExpelled(t *testing.T) {
	hosts := cluster(t, 3)
	l, rest := leader(t, hosts)
	apply(t, l, change("1"))
	h := rest[0]
	until(func() bool { return h.Dump().Applied == l.Dump().Applied })
	_ = h.Close()
	older := filepath.Join(t.TempDir(), "older")
	if err := os.CopyFS(older, os.DirFS(h.settings.Folder)); err != nil {
		t.Fatal(err)
	}
	h = restart(t, h, false)
	apply(t, l, change("2"))
	until(func() bool { return h.Dump().Applied == l.Dump().Applied })
	// Another leader does not know what the host acknowledged to this one.
	l = restart(t, l, false)
	apply(t, l, change("3"))
	h.settings.Folder = older
	h = restart(t, h, false)
	<-h.Done()
	if got, want := h.Err(), recorder.ErrExpelled; !errors.Is(got, want) {
		t.Errorf("end of the host: got %v, want %v", got, want)
	}
	if _, err := controller.New(h.settings); !errors.Is(err, recorder.ErrExpelled) {
		t.Errorf("second start: got %v, want %v", err, recorder.ErrExpelled)
	}
}

// Guards against a host that cannot be added to a cluster of one, and against an
// addition that fails when it is sent again.
func TestHostJoinsClusterOfOne(t *testing.T) {
	first := start(t, settings(t.TempDir()))
	apply(t, first, change("1"))
	s := settings(t.TempDir())
	s.Number, s.Members, s.Join = 2, nil, true
	second := start(t, s)
	add := &wire.Command{Id: "add", Body: &wire.Command_Peering{Peering: &wire.Peering{Verb: "add", Addr: second.Addr()}}}
	for range 2 {
		if got, want := apply(t, first, add).GetOutcome(), wire.Outcome_OUTCOME_DONE; got != want {
			t.Fatalf("add: got %v, want %v", got, want)
		}
	}
	until(func() bool {
		members := second.Dump().Members

		return len(members) == 2 && !members[1].Learner
	})
	if got, want := apply(t, second, change("2")).GetRevision(), uint64(2); got != want {
		t.Errorf("revision: got %d, want %d", got, want)
	}
}
