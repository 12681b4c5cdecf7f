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

// OS is the directory dir as a disk that loses, with the process, whatever was not synced: content is written at a
// file's sync and names change at the directory's. For experiments with real processes, which can't take a machine's power
// away; never in a program for service.
func OS(dir string) FS {
	lossyMu.Lock()
	defer lossyMu.Unlock()
	if lossy[dir] == nil {
		lossy[dir] = &lossyFS{under: osFS{dir}, pending: map[string]*lossyFile{}}
	}
	return lossy[dir]
}

var (
	lossyMu sync.Mutex
	lossy   = map[string]*lossyFS{} // by directory: all who open one see the same
)

type lossyFS struct {
	under   osFS
	mu      sync.Mutex
	pending map[string]*lossyFile // names that changed since the last sync; nil: removed
}

type lossyFile struct {
	f      *lossyFS
	data   []byte // as the process sees it
	safe   []byte // as of the last sync
	named  string // on disk; empty: nowhere
	reader *bytes.Reader
}

func (l *lossyFS) Open(name string) (File, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	file, changed := l.pending[name]
	if !changed {
		return l.under.Open(name)
	}
	if file == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &lossyFile{f: l, reader: bytes.NewReader(slices.Clone(file.data))}, nil
}

func (l *lossyFS) Create(name string) (File, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	file := &lossyFile{f: l}
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
	names, err := l.under.List()
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

// Sync makes the names safe, each with the content that is.
func (l *lossyFS) Sync() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, file := range l.pending {
		if file == nil {
			if err := l.under.Remove(name); err != nil {
				return err
			}
			continue
		}
		file.named = name
		if err := file.lay(); err != nil {
			return err
		}
	}
	l.pending = map[string]*lossyFile{}
	return l.under.Sync()
}

// lay writes what is safe under the name that is.
func (f *lossyFile) lay() error {
	if f.named == "" {
		return nil
	}
	const fresh = "lossy" + temporary
	if err := writeNew(f.f.under, fresh, f.safe, true); err != nil {
		return err
	}
	return f.f.under.Rename(fresh, f.named)
}

func (f *lossyFile) Read(p []byte) (int, error) {
	if f.reader == nil {
		return 0, io.EOF
	}
	return f.reader.Read(p)
}

func (f *lossyFile) Write(p []byte) (int, error) {
	f.f.mu.Lock()
	defer f.f.mu.Unlock()
	f.data = append(f.data, p...)
	return len(p), nil
}

func (f *lossyFile) Sync() error {
	f.f.mu.Lock()
	defer f.f.mu.Unlock()
	f.safe = slices.Clone(f.data)
	return f.lay()
}

func (f *lossyFile) Close() error { return nil }
