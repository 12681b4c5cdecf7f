// Package crashfs implements durable.FS in memory, with simulated power loss: it records every call, and enumerates the
// states in which the disk may be after a crash. It can also make calls fail, run out of space and become read-only.
//
// After a crash a file has the content of its last sync and any subset of the writes since then, in any order, the last of
// them cut at any byte; the directory has the names of its last sync and any subset of the changes since then. A
// journalling file system loses less than that.
package crashfs

import (
	"io"
	"io/fs"
	"slices"
	"sync"
	"syscall"

	"mosslead/internal/durable"
)

// FS implements durable.FS. It is safe for concurrent use.
type FS struct {
	mu       sync.Mutex
	ops      []op
	files    map[string]*inode // by name, as the process sees them
	inodes   int               // number of inodes created
	fail     func(call string, name string) error
	space    int // bytes that can still be written; unlimited if below 0
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

// op is a recorded call that changed or synced something.
type op struct {
	kind     kind
	name, to string
	inode    int
	offset   int // offset of a write; -1 if a failed sync lost the write
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

// Fail sets a function that runs before each call and is passed the name of the call (create, write, sync, close, rename,
// remove, syncdir, list, open, read) and the name of the file. If it returns an error, the call fails with it. A write that
// fails has written half of its bytes.
func (f *FS) Fail(fail func(call, name string) error) { f.mu.Lock(); f.fail = fail; f.mu.Unlock() }

// LimitSpace sets how many more bytes can be written; a negative number lifts the limit.
func (f *FS) LimitSpace(bytes int) { f.mu.Lock(); f.space = bytes; f.mu.Unlock() }

// ReadOnly sets whether calls that create, write, rename or remove a file fail.
func (f *FS) ReadOnly(on bool) { f.mu.Lock(); f.readOnly = on; f.mu.Unlock() }

// Ops returns the number of calls recorded so far: successful ones that changed or synced something, and partial writes.
func (f *FS) Ops() int { f.mu.Lock(); defer f.mu.Unlock(); return len(f.ops) }

// Files returns a copy of the files as the process sees them.
func (f *FS) Files() map[string][]byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := map[string][]byte{}
	for name, node := range f.files {
		all[name] = slices.Clone(node.data)
	}
	return all
}

// failure returns the error with which a call has to fail, or nil if it may go on. mu must be held.
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
	node := f.files[name]
	if node == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &file{fs: f, inode: node, name: name}, nil
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
	node := &inode{id: f.inodes}
	f.files[name] = node
	f.ops = append(f.ops, op{kind: create, name: name, inode: node.id})
	return &file{fs: f, inode: node, name: name}, nil
}

// Rename implements durable.FS.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.failure("rename", from, true); err != nil {
		return err
	}
	node := f.files[from]
	if node == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	delete(f.files, from)
	f.files[to] = node
	f.ops = append(f.ops, op{kind: rename, name: from, to: to, inode: node.id})
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

func (f *file) Read(p []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.failure("read", f.name, false); err != nil {
		return 0, err
	}
	if f.readOffset >= len(f.inode.data) {
		return 0, io.EOF
	}
	n := copy(p, f.inode.data[f.readOffset:])
	f.readOffset += n
	return n, nil
}

func (f *file) Write(p []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	err := f.fs.failure("write", f.name, true)
	n := len(p)
	switch {
	case err != nil:
		n /= 2
	case f.fs.space >= 0 && n > f.fs.space:
		n, err = f.fs.space, &fs.PathError{Op: "write", Path: f.name, Err: syscall.ENOSPC}
	}
	if f.fs.space >= 0 {
		f.fs.space -= n
	}
	if n > 0 && !f.fs.readOnly {
		f.fs.ops = append(f.fs.ops, op{kind: write, inode: f.inode.id, offset: len(f.inode.data), data: slices.Clone(p[:n])})
		f.inode.data = append(f.inode.data, p[:n]...)
	}
	return n, err
}

// Sync implements durable.File. A failed sync loses the writes since the last sync: a later sync that succeeds does not make
// them durable, as on real kernels.
func (f *file) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.failure("sync", f.name, false); err != nil {
		for i := range f.fs.ops { // a later sync does not make these writes durable either
			if written := &f.fs.ops[i]; written.kind == write && written.inode == f.inode.id && !f.fs.synced(i) {
				written.data, written.offset = nil, -1
			}
		}
		return err
	}
	f.fs.ops = append(f.fs.ops, op{kind: syncFile, inode: f.inode.id})
	return nil
}

// synced reports whether the write at ops[i] was followed by a sync of its file.
func (f *FS) synced(i int) bool {
	return slices.ContainsFunc(f.ops[i:], func(later op) bool { return later.kind == syncFile && later.inode == f.ops[i].inode })
}

// Close implements durable.File. It does not sync.
func (f *file) Close() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	return f.fs.failure("close", f.name, false)
}
