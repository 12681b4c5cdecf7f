// Package durable stores files that must outlive a process. Data is written completely or not at all, and is checked when
// it is read: it has a version, a length and a checksum.
//
// A SnapshotFile holds one value, in two generations; a KeyValueLog holds small entries, none of which is
// lost once Set or Delete has returned nil. A DirLock makes one process the only writer of a directory. A SnapshotFile and a
// KeyValueLog write through FS, so that tests can simulate power loss between any two calls.
package durable

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// FS is the part of a file system that this package uses, for one directory. Names have no separators.
type FS interface {
	// Open opens a file for reading.
	Open(name string) (File, error)
	// Create creates a file for writing; it fails if the file exists.
	Create(name string) (File, error)
	// Rename renames a file, and atomically replaces any file of the new name.
	Rename(from, to string) error
	// Remove removes a file. It returns nil if there is none.
	Remove(name string) error
	// List returns the names of the regular files.
	List() ([]string, error)
	// Sync makes all earlier calls of Create, Rename and Remove durable.
	Sync() error
}

// File is an open file. The data written is durable once Sync has returned nil. After an error of any call it is unknown
// how much of it is durable, and the file must not be used again.
type File interface {
	io.Reader
	io.Writer
	Sync() error
	Close() error
}

// osFS implements FS for a directory of the operating system.
type osFS struct{ dir string }

func (o osFS) path(name string) string { return filepath.Join(o.dir, name) }

// Open implements FS.
func (o osFS) Open(name string) (File, error) {
	f, err := os.Open(o.path(name))
	if err != nil {
		return nil, err // returning f would make a File that is not nil and holds a nil *os.File
	}
	return f, nil
}

// Create implements FS. It creates the directory if it is missing.
func (o osFS) Create(name string) (File, error) {
	const flags = os.O_WRONLY | os.O_CREATE | os.O_EXCL
	f, err := os.OpenFile(o.path(name), flags, 0o600)
	if errors.Is(err, fs.ErrNotExist) { // the directory was deleted while the process ran
		if err = os.MkdirAll(o.dir, 0o700); err == nil {
			f, err = os.OpenFile(o.path(name), flags, 0o600)
		}
	}
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Rename implements FS.
func (o osFS) Rename(from, to string) error { return os.Rename(o.path(from), o.path(to)) }

// Remove implements FS.
func (o osFS) Remove(name string) error {
	if err := os.Remove(o.path(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// List implements FS.
func (o osFS) List() (names []string, err error) {
	entries, err := os.ReadDir(o.dir)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// Sync implements FS.
func (o osFS) Sync() error {
	d, err := os.Open(o.dir)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	if err := d.Sync(); err != nil {
		return fmt.Errorf("syncing %s: %w", o.dir, err)
	}
	return nil
}

// DirLock is the lock of a directory: only the process that holds it writes there. The kernel releases it when the process
// ends.
type DirLock struct{ f *os.File }

const lockName = "LOCK"

// ErrLocked is returned if another process holds the lock of the directory.
var ErrLocked = errors.New("another process holds the lock")

// TryLock acquires the lock of a directory, which it creates if it is missing. It fails with ErrLocked if another process
// holds the lock.
func TryLock(dir string) (*DirLock, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("state directory: %w", err)
	}
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("lock: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, fmt.Errorf("lock: %w", err)
	}
	return &DirLock{f}, nil
}

// Holds reports whether the lock still protects the directory. It returns false once the directory has been deleted or
// replaced by a copy.
func (l *DirLock) Holds(dir string) bool {
	own, err := l.f.Stat()
	if err != nil {
		return false
	}
	current, err := os.Stat(filepath.Join(dir, lockName))
	return err == nil && os.SameFile(own, current)
}

// Release releases the lock.
func (l *DirLock) Release() error { return l.f.Close() }
