//go:build lossyfs

package durable

import (
	"bytes"
	"io"
	"io/fs"
	"maps"
	"slices"
	"sync"
)

// OS returns the directory dir as an FS that loses unsynced data when the process ends: it writes content when a file is
// synced, and changes names when the directory is synced. It simulates power loss in experiments with real processes, and
// must not be built into a program for production.
func OS(dir string) FS {
	lossyMu.Lock()
	defer lossyMu.Unlock()
	if lossy[dir] == nil {
		lossy[dir] = &lossyFS{disk: osFS{dir}, pending: map[string]*lossyFile{}}
	}
	return lossy[dir]
}

var (
	lossyMu sync.Mutex
	lossy   = map[string]*lossyFS{} // by directory, shared by all users in the process
)

type lossyFS struct {
	disk    osFS
	mu      sync.Mutex
	pending map[string]*lossyFile // by name, the files whose name changed since the last sync; nil if the name was removed
}

type lossyFile struct {
	fs          *lossyFS
	data        []byte // the content as the process sees it
	synced      []byte // the content as of the last sync
	durableName string // name on disk, empty if there is none
	reader      *bytes.Reader
}

func (l *lossyFS) Open(name string) (File, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	file, changed := l.pending[name]
	if !changed {
		return l.disk.Open(name)
	}
	if file == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &lossyFile{fs: l, reader: bytes.NewReader(slices.Clone(file.data))}, nil
}

func (l *lossyFS) Create(name string) (File, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	file := &lossyFile{fs: l}
	l.pending[name] = file
	return file, nil
}

func (l *lossyFS) Rename(from, to string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	file := l.pending[from]
	if file == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	l.pending[from], l.pending[to] = nil, file
	return nil
}

func (l *lossyFS) Remove(name string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending[name] = nil
	return nil
}

func (l *lossyFS) List() ([]string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	names, err := l.disk.List()
	all := map[string]bool{}
	for _, name := range names {
		all[name] = true
	}
	for name, file := range l.pending {
		if delete(all, name); file != nil {
			all[name] = true
		}
	}
	return slices.Sorted(maps.Keys(all)), err
}

// Sync implements FS. It makes the names durable, each with the synced content of its file.
func (l *lossyFS) Sync() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, file := range l.pending {
		if file == nil {
			if err := l.disk.Remove(name); err != nil {
				return err
			}
			continue
		}
		file.durableName = name
		if err := file.writeNamed(); err != nil {
			return err
		}
	}
	l.pending = map[string]*lossyFile{}
	return l.disk.Sync()
}

// writeNamed writes the synced content under the durable name, if there is one.
func (f *lossyFile) writeNamed() error {
	if f.durableName == "" {
		return nil
	}
	const tmpName = "lossy" + temporarySuffix
	if err := writeNew(f.fs.disk, tmpName, f.synced, true); err != nil {
		return err
	}
	return f.fs.disk.Rename(tmpName, f.durableName)
}

func (f *lossyFile) Read(p []byte) (int, error) {
	if f.reader == nil {
		return 0, io.EOF
	}
	return f.reader.Read(p)
}

func (f *lossyFile) Write(p []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	f.data = append(f.data, p...)
	return len(p), nil
}

func (f *lossyFile) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	f.synced = slices.Clone(f.data)
	return f.writeNamed()
}

func (f *lossyFile) Close() error { return nil }
