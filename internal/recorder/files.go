package recorder

import (
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// File is an open file of the data directory.
type File interface {
	WriteAt(p []byte, offset int64) (int, error)
	Truncate(size int64) error
	Sync() error
	Close() error
}

// Files is the data directory. What was written to a file is durable after the
// file's Sync; names are durable after SyncFolder.
type Files interface {
	// Read returns the content, or an error that is os.ErrNotExist.
	Read(name string) ([]byte, error)
	// Open opens for writing and creates the file if it is missing.
	Open(name string) (File, error)
	Rename(from, to string) error
	SyncFolder() error
	// Lock keeps other processes out until the returned function is called.
	Lock() (unlock func() error, err error)
}

// folder is Files in a directory of the operating system.
type folder struct{ path string }

// OpenFolder returns a directory of the operating system and creates it if it is
// missing.
func OpenFolder(path string) (Files, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, errors.Newf("create data directory: %w", err)
	}

	return folder{path: path}, nil
}

// Read implements Files.
func (f folder) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(f.path, name)) //nolint:wrapcheck // wrapped by the caller
}

// Open implements Files.
func (f folder) Open(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_RDWR|os.O_CREATE, fileMode)
}

// Rename implements Files.
func (f folder) Rename(from, to string) error {
	return os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to))
}

// SyncFolder implements Files.
func (f folder) SyncFolder() error {
	d, err := os.Open(f.path)
	if err != nil {
		return err
	}
	err = d.Sync()

	return errors.CombineErrors(err, d.Close())
}

// Lock implements Files by an advisory lock that ends with the process.
func (f folder) Lock() (func() error, error) {
	file, err := os.OpenFile(filepath.Join(f.path, "lock"), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()

		return nil, errors.Newf("another process uses the data directory: %w", err)
	}

	return file.Close, nil
}

// Clear removes the files of a recorder from a directory. What it interrupts
// leaves a directory that Open reports as damaged or takes for a new one.
func Clear(path string) error {
	// The mark of an expelled member goes last: until then the rest is not used.
	for _, name := range []string{identityFile, logFile, snapshotFile, voteFile, expelledFile} {
		err := os.Remove(filepath.Join(path, name))
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return errors.Newf("remove file %s: %w", name, err)
		}
		if err := (folder{path: path}).SyncFolder(); err != nil {
			return errors.Newf("sync directory: %w", err)
		}
	}

	return nil
}
