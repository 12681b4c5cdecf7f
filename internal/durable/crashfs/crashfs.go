// Package crashfs implements durable.FS in memory, with simulated power loss: it records every call, and enumerates the
// states in which a disk may be found after a crash. It can also fail calls, run out of space and turn read-only.
//
// After a crash a file has the content of its last sync and any subset of the writes since, in any order, the last one torn
// at any byte; the directory has the names of its last sync and any subset of the changes since. That is more loss than a
// journalling file system allows.
package crashfs

import (
	"io"
	"io/fs"
	"slices"
	"sync"
	"syscall"

	"mosslead/internal/durable"
)

// FS implements durable.FS. Safe for concurrent use.
type FS struct {
	mu       sync.Mutex
	ops      []op
	files    map[string]*inode // as the process sees it
	inodes   int
	fail     func(call string, name string) error
	space    int // bytes that may still be written; below 0: any number
	readOnly bool
}

type inode struct {
	id   int
	data []byte
}

type kind int

const (
	create kind = iota
	write
	syncFile
	rename
	remove
	syncDir
)

// op is a recorded call that changed something.
type op struct {
	kind     kind
	name, to string
	inode    int
	offset   int
	data     []byte
}

// New returns an empty file system.
func New() *FS { return &FS{files: map[string]*inode{}, space: -1} }

// From returns a file system that holds these files, all of them durable.
func From(state map[string][]byte) *FS {
	f := New()
	for name, data := range state {
		f.inodes++
		f.files[name] = &inode{f.inodes, slices.Clone(data)}
	}
	return f
}

// Fail sets a function that is called before each call, with the call's name (create, write, sync, close, rename, remove,
// syncdir, list, open) and the file's; if it returns an error, the call fails. A write that fails has written a part.
func (f *FS) Fail(fail func(call, name string) error) { f.mu.Lock(); f.fail = fail; f.mu.Unlock() }

// LimitSpace sets how many more bytes can be written; a negative number lifts the limit.
func (f *FS) LimitSpace(bytes int) { f.mu.Lock(); f.space = bytes; f.mu.Unlock() }

// ReadOnly sets whether every call that changes something fails.
func (f *FS) ReadOnly(on bool) { f.mu.Lock(); f.readOnly = on; f.mu.Unlock() }

// Ops returns the number of calls that have changed something.
func (f *FS) Ops() int { f.mu.Lock(); defer f.mu.Unlock(); return len(f.ops) }

// Files returns the files as the process sees them.
func (f *FS) Files() map[string][]byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := map[string][]byte{}
	for name, i := range f.files {
		all[name] = slices.Clone(i.data)
	}
	return all
}

// failure returns the error with which a call has to fail; mu is held.
func (f *FS) failure(call, name string, changes bool) error {
	if f.fail != nil {
		if err := f.fail(call, name); err != nil {
			return &fs.PathError{Op: call, Path: name, Err: err}
		}
	}
	if changes && f.readOnly {
		return &fs.PathError{Op: call, Path: name, Err: syscall.EROFS}
	}
	return nil
}

// Open implements durable.FS.
func (f *FS) Open(name string) (durable.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.failure("open", name, false); err != nil {
		return nil, err
	}
	i := f.files[name]
	if i == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &file{fs: f, inode: i, name: name}, nil
}

// Create implements durable.FS.
func (f *FS) Create(name string) (durable.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.failure("create", name, true); err != nil {
		return nil, err
	}
	if f.files[name] != nil {
		return nil, &fs.PathError{Op: "create", Path: name, Err: fs.ErrExist}
	}
	if f.space == 0 {
		return nil, &fs.PathError{Op: "create", Path: name, Err: syscall.ENOSPC}
	}
	f.inodes++
	i := &inode{id: f.inodes}
	f.files[name] = i
	f.ops = append(f.ops, op{kind: create, name: name, inode: i.id})
	return &file{fs: f, inode: i, name: name}, nil
}

// Rename implements durable.FS.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.failure("rename", from, true); err != nil {
		return err
	}
	i := f.files[from]
	if i == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	delete(f.files, from)
	f.files[to] = i
	f.ops = append(f.ops, op{kind: rename, name: from, to: to, inode: i.id})
	return nil
}

// Remove implements durable.FS.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.failure("remove", name, true); err != nil {
		return err
	}
	if f.files[name] != nil {
		delete(f.files, name)
		f.ops = append(f.ops, op{kind: remove, name: name})
	}
	return nil
}

// List implements durable.FS.
func (f *FS) List() (names []string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.failure("list", "", false); err != nil {
		return nil, err
	}
	for name := range f.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

// Sync implements durable.FS.
func (f *FS) Sync() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.failure("syncdir", "", false); err != nil {
		return err
	}
	f.ops = append(f.ops, op{kind: syncDir})
	return nil
}

// file implements durable.File.
type file struct {
	fs         *FS
	inode      *inode
	name       string
	readOffset int
}

func (o *file) Read(p []byte) (int, error) {
	o.fs.mu.Lock()
	defer o.fs.mu.Unlock()
	if err := o.fs.failure("read", o.name, false); err != nil {
		return 0, err
	}
	if o.readOffset >= len(o.inode.data) {
		return 0, io.EOF
	}
	n := copy(p, o.inode.data[o.readOffset:])
	o.readOffset += n
	return n, nil
}

func (o *file) Write(p []byte) (int, error) {
	o.fs.mu.Lock()
	defer o.fs.mu.Unlock()
	err := o.fs.failure("write", o.name, true)
	n := len(p)
	switch {
	case err != nil:
		n /= 2
	case o.fs.space >= 0 && n > o.fs.space:
		n, err = o.fs.space, &fs.PathError{Op: "write", Path: o.name, Err: syscall.ENOSPC}
	}
	if o.fs.space >= 0 {
		o.fs.space -= n
	}
	if n > 0 && !o.fs.readOnly {
		o.fs.ops = append(o.fs.ops, op{kind: write, inode: o.inode.id, offset: len(o.inode.data), data: slices.Clone(p[:n])})
		o.inode.data = append(o.inode.data, p[:n]...)
	}
	return n, err
}

// Sync implements durable.File. After a failed sync nothing is durable, and a later one that succeeds does not make the
// earlier writes durable, as on real kernels.
func (o *file) Sync() error {
	o.fs.mu.Lock()
	defer o.fs.mu.Unlock()
	if err := o.fs.failure("sync", o.name, false); err != nil {
		for i := range o.fs.ops { // lost, also for a later sync
			if x := &o.fs.ops[i]; x.kind == write && x.inode == o.inode.id && !o.fs.synced(i) {
				x.data, x.offset = nil, -1
			}
		}
		return err
	}
	o.fs.ops = append(o.fs.ops, op{kind: syncFile, inode: o.inode.id})
	return nil
}

// synced reports whether the write at ops[i] was followed by a sync of its file.
func (f *FS) synced(i int) bool {
	return slices.ContainsFunc(f.ops[i:], func(x op) bool { return x.kind == syncFile && x.inode == f.ops[i].inode })
}

// Close implements durable.File. It does not sync.
func (o *file) Close() error {
	o.fs.mu.Lock()
	defer o.fs.mu.Unlock()
	return o.fs.failure("close", o.name, false)
}
