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

// inode is the content of a file: as written, and as synced.
type inode struct{ data, synced []byte }

// disk is a data directory in memory that can be full and that can crash.
type disk struct {
	names, durable map[string]*inode
	steps          int // writes until a crash, negative for none
	space          int // bytes that can be written, negative for no limit
	locked         bool
}

func newDisk() *disk {
	return &disk{names: make(map[string]*inode), durable: make(map[string]*inode), steps: -1, space: -1}
}

// step counts one write and fails when the crash is due.
func (d *disk) step() error {
	if d.steps == 0 {
		return errCrash
	}
	if d.steps > 0 {
		d.steps--
	}

	return nil
}

// crash returns the disk after a loss of power: unsynced names may be the old or
// the new ones, and of unsynced data any part may have been written.
func (d *disk) crash(random *rand.Rand) *disk {
	names := d.durable
	if random.IntN(2) == 0 {
		names = d.names
	}
	next := newDisk()
	for _, name := range slices.Sorted(maps.Keys(names)) {
		next.names[name] = &inode{data: names[name].torn(random)}
		next.names[name].synced = slices.Clone(next.names[name].data)
	}
	next.durable = maps.Clone(next.names)

	return next
}

// torn returns the content after a crash. The length may be the old, the new or
// any one between; parts of the new data may be zero.
func (n *inode) torn(random *rand.Rand) []byte {
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

func (d *disk) SyncFolder() error {
	if err := d.step(); err != nil {
		return err
	}
	d.durable = maps.Clone(d.names)

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
	if f.disk.space >= 0 {
		n = min(n, f.disk.space)
		f.disk.space -= n
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
