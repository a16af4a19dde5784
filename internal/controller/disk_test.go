package controller_test

import (
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"

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
