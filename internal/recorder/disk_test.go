package recorder_test

import (
	"maps"
	"math/rand/v2"
	"os"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/damasklever/damasklever/internal/recorder"
)

var (
	errFull  = errors.New("no space left on device")
	errCrash = errors.New("crashed")
)

// inode is the content of a file, as written and as last synced.
type inode struct{ data, synced []byte }

// disk is an in-memory data directory that can simulate a crash and a full disk.
type disk struct {
	names, syncedNames map[string]*inode
	stepsToCrash       int // writes until a crash, negative for none
	freeSpace          int // bytes that can be written, negative for no limit
	locked             bool
}

func newDisk() *disk {
	return &disk{names: make(map[string]*inode), syncedNames: make(map[string]*inode), stepsToCrash: -1, freeSpace: -1}
}

// step counts one write operation and fails once the crash is due.
func (d *disk) step() error {
	if d.stepsToCrash == 0 {
		return errCrash
	}
	if d.stepsToCrash > 0 {
		d.stepsToCrash--
	}

	return nil
}

// crash returns the disk after a power failure: unsynced renames may or may not
// have taken effect, and any part of unsynced data may have been written.
func (d *disk) crash(random *rand.Rand) *disk {
	names := d.syncedNames
	if random.IntN(2) == 0 {
		names = d.names
	}
	next := newDisk()
	for _, name := range slices.Sorted(maps.Keys(names)) {
		next.names[name] = &inode{data: names[name].afterCrash(random)}
		next.names[name].synced = slices.Clone(next.names[name].data)
	}
	next.syncedNames = maps.Clone(next.names)

	return next
}

// afterCrash returns the content after a crash. Its length is the old one, the
// new one or any in between, and parts of the new data may be zero.
func (n *inode) afterCrash(random *rand.Rand) []byte {
	if slices.Equal(n.data, n.synced) || random.IntN(3) == 0 {
		return slices.Clone(n.synced)
	}
	if len(n.data) < len(n.synced) {
		return slices.Clone(n.data)
	}
	kept := slices.Clone(n.data[:len(n.synced)+random.IntN(len(n.data)-len(n.synced)+1)])
	const sector = 16
	for i := len(n.synced); i < len(kept); i++ {
		if i/sector%2 == random.IntN(2) && random.IntN(4) == 0 {
			kept[i] = 0
		}
	}

	return kept
}

func (d *disk) Read(name string) ([]byte, error) {
	n := d.names[name]
	if n == nil {
		return nil, os.ErrNotExist
	}

	return slices.Clone(n.data), nil
}

func (d *disk) Open(name string) (recorder.File, error) {
	if d.names[name] == nil {
		if err := d.step(); err != nil {
			return nil, err
		}
		d.names[name] = &inode{}
	}

	return &file{disk: d, inode: d.names[name]}, nil
}

func (d *disk) Rename(from, to string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.names[to] = d.names[from]
	delete(d.names, from)

	return nil
}

func (d *disk) SyncDir() error {
	if err := d.step(); err != nil {
		return err
	}
	d.syncedNames = maps.Clone(d.names)

	return nil
}

func (d *disk) Lock() (func() error, error) {
	if d.locked {
		return nil, errors.New("locked")
	}
	d.locked = true

	return func() error { d.locked = false; return nil }, nil
}

type file struct {
	disk  *disk
	inode *inode
}

func (f *file) WriteAt(p []byte, offset int64) (int, error) {
	if err := f.disk.step(); err != nil {
		return 0, err
	}
	n := len(p)
	if f.disk.freeSpace >= 0 {
		n = min(n, f.disk.freeSpace)
		f.disk.freeSpace -= n
	}
	data := slices.Clone(f.inode.data)
	data = append(data, make([]byte, max(0, int(offset)+n-len(data)))...)
	copy(data[offset:], p[:n])
	f.inode.data = data
	if n < len(p) {
		return n, errFull
	}

	return n, nil
}

func (f *file) Truncate(size int64) error {
	if err := f.disk.step(); err != nil {
		return err
	}
	if size < int64(len(f.inode.data)) {
		f.inode.data = slices.Clone(f.inode.data[:size])
	}

	return nil
}

func (f *file) Sync() error {
	if err := f.disk.step(); err != nil {
		return err
	}
	f.inode.synced = slices.Clone(f.inode.data)

	return nil
}

func (f *file) Close() error { return nil }
