package recorder

import (
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

const (
	dirMode  = 0o700
	fileMode = 0o600
)

// File is an open file of the data directory.
type File interface {
	WriteAt(p []byte, offset int64) (int, error)
	Truncate(size int64) error
	Sync() error
	Close() error
}

// Files is the data directory. Writes to a file are durable once its Sync has
// returned; created and renamed files are durable once SyncDir has returned.
type Files interface {
	// Read returns the content of a file. The error is os.ErrNotExist if there is
	// no such file.
	Read(name string) ([]byte, error)
	// Open opens for writing and creates the file if it is missing.
	Open(name string) (File, error)
	Rename(from, to string) error
	SyncDir() error
	// Lock excludes other processes until the returned function is called.
	Lock() (unlock func() error, err error)
}

// osDir implements Files with a directory of the operating system.
type osDir struct{ path string }

// OpenDir opens a directory of the operating system and creates it if it does
// not exist.
func OpenDir(path string) (Files, error) {
	if err := os.MkdirAll(path, dirMode); err != nil {
		return nil, errors.Newf("create data directory: %w", err)
	}

	return osDir{path: path}, nil
}

// Read implements Files.
func (f osDir) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(f.path, name)) //nolint:wrapcheck // wrapped by the caller
}

// Open implements Files.
func (f osDir) Open(name string) (File, error) {
	return os.OpenFile(filepath.Join(f.path, name), os.O_RDWR|os.O_CREATE, fileMode)
}

// Rename implements Files.
func (f osDir) Rename(from, to string) error {
	return os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to))
}

// SyncDir implements Files.
func (f osDir) SyncDir() error {
	d, err := os.Open(f.path)
	if err != nil {
		return err
	}
	err = d.Sync()

	return errors.CombineErrors(err, d.Close())
}

// Lock implements Files with an advisory lock, which the operating system
// releases when the process ends.
func (f osDir) Lock() (func() error, error) {
	file, err := os.OpenFile(filepath.Join(f.path, "lock"), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()

		return nil, errors.Newf("data directory is locked by another process: %w", err)
	}

	return file.Close, nil
}

// Clear removes the files of a recorder from a directory. If it is interrupted,
// Open reports the remaining directory as damaged or treats it as new.
func Clear(path string) error {
	// The file that marks the member as expelled is removed last: while it exists,
	// Open refuses to use the remaining files.
	for _, name := range []string{identityFile, logFile, snapshotFile, voteFile, expelledFile} {
		err := os.Remove(filepath.Join(path, name))
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return errors.Newf("remove file %s: %w", name, err)
		}
		if err := (osDir{path: path}).SyncDir(); err != nil {
			return errors.Newf("sync directory: %w", err)
		}
	}

	return nil
}
