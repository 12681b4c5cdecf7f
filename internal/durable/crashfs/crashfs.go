// Package crashfs owns a file system in memory on which the power can go at any moment: it keeps what every call did,
// and gives every state that a disk may be found in afterwards. It can also fail calls, fill up and turn read-only.
//
// What a disk keeps: the content of a file as of its last sync, and of what was written since any part, in any order,
// the last chunk torn at any byte; the names as of the directory's last sync, and of the changes since any part. That
// is more than a journalling file system loses.
package crashfs

import (
	"io"
	"io/fs"
	"slices"
	"sync"
	"syscall"

	"mosslead/internal/durable"
)

// FS is the file system; it implements durable.FS.
type FS struct {
	mu       sync.Mutex
	ops      []op
	files    map[string]*inode // as the process sees it
	inodes   int
	fail     func(call string, name string) error
	room     int // bytes that may still be written; below 0: any number
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

// op is a call that changed something.
type op struct {
	kind     kind
	name, to string
	inode    int
	offset   int
	data     []byte
}

// New is an empty file system.
func New() *FS { return &FS{files: map[string]*inode{}, room: -1} }

// From is a file system that holds these files, all of them safe.
func From(state map[string][]byte) *FS {
	f := New()
	for name, data := range state {
		f.inodes++
		f.files[name] = &inode{f.inodes, slices.Clone(data)}
	}
	return f
}

// Fail lets calls fail: before each one fail is asked with its name (create, write, sync, close, rename, remove,
// syncdir, list, open) and the file's. A write that fails has written a part.
func (f *FS) Fail(fail func(call, name string) error) { f.mu.Lock(); f.fail = fail; f.mu.Unlock() }

// Room bounds what may still be written, in bytes; below 0 lifts the bound.
func (f *FS) Room(bytes int) { f.mu.Lock(); f.room = bytes; f.mu.Unlock() }

// ReadOnly lets every call that changes something fail, or no longer.
func (f *FS) ReadOnly(on bool) { f.mu.Lock(); f.readOnly = on; f.mu.Unlock() }

// Ops is how many calls have changed something.
func (f *FS) Ops() int { f.mu.Lock(); defer f.mu.Unlock(); return len(f.ops) }

// Files is what the process sees.
func (f *FS) Files() map[string][]byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := map[string][]byte{}
	for name, i := range f.files {
		all[name] = slices.Clone(i.data)
	}
	return all
}

// asked tells whether a call fails; the caller holds mu.
func (f *FS) asked(call, name string, changes bool) error {
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
	if err := f.asked("open", name, false); err != nil {
		return nil, err
	}
	i := f.files[name]
	if i == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &file{f: f, inode: i, name: name}, nil
}

// Create implements durable.FS.
func (f *FS) Create(name string) (durable.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.asked("create", name, true); err != nil {
		return nil, err
	}
	if f.files[name] != nil {
		return nil, &fs.PathError{Op: "create", Path: name, Err: fs.ErrExist}
	}
	if f.room == 0 {
		return nil, &fs.PathError{Op: "create", Path: name, Err: syscall.ENOSPC}
	}
	f.inodes++
	i := &inode{id: f.inodes}
	f.files[name] = i
	f.ops = append(f.ops, op{kind: create, name: name, inode: i.id})
	return &file{f: f, inode: i, name: name}, nil
}

// Rename implements durable.FS.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.asked("rename", from, true); err != nil {
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
	if err := f.asked("remove", name, true); err != nil {
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
	if err := f.asked("list", "", false); err != nil {
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
	if err := f.asked("syncdir", "", false); err != nil {
		return err
	}
	f.ops = append(f.ops, op{kind: syncDir})
	return nil
}

// file is an open file.
type file struct {
	f     *FS
	inode *inode
	name  string
	at    int
}

func (o *file) Read(p []byte) (int, error) {
	o.f.mu.Lock()
	defer o.f.mu.Unlock()
	if err := o.f.asked("read", o.name, false); err != nil {
		return 0, err
	}
	if o.at >= len(o.inode.data) {
		return 0, io.EOF
	}
	n := copy(p, o.inode.data[o.at:])
	o.at += n
	return n, nil
}

func (o *file) Write(p []byte) (int, error) {
	o.f.mu.Lock()
	defer o.f.mu.Unlock()
	err := o.f.asked("write", o.name, true)
	n := len(p)
	switch {
	case err != nil:
		n /= 2
	case o.f.room >= 0 && n > o.f.room:
		n, err = o.f.room, &fs.PathError{Op: "write", Path: o.name, Err: syscall.ENOSPC}
	}
	if o.f.room >= 0 {
		o.f.room -= n
	}
	if n > 0 && !o.f.readOnly {
		o.f.ops = append(o.f.ops, op{kind: write, inode: o.inode.id, offset: len(o.inode.data), data: slices.Clone(p[:n])})
		o.inode.data = append(o.inode.data, p[:n]...)
	}
	return n, err
}

// Sync makes the content safe. One that fails has made nothing safe, and what was written is as good as forgotten: a
// second one that succeeds does not bring it back, as on real kernels.
func (o *file) Sync() error {
	o.f.mu.Lock()
	defer o.f.mu.Unlock()
	if err := o.f.asked("sync", o.name, false); err != nil {
		for i := range o.f.ops { // never written: neither now nor with a later sync
			if x := &o.f.ops[i]; x.kind == write && x.inode == o.inode.id && !o.f.synced(i) {
				x.data, x.offset = nil, -1
			}
		}
		return err
	}
	o.f.ops = append(o.f.ops, op{kind: syncFile, inode: o.inode.id})
	return nil
}

// synced tells whether the write at ops[i] was followed by a sync of its file.
func (f *FS) synced(i int) bool {
	return slices.ContainsFunc(f.ops[i:], func(x op) bool { return x.kind == syncFile && x.inode == f.ops[i].inode })
}

// Close closes the file. What was not synced stays at risk.
func (o *file) Close() error {
	o.f.mu.Lock()
	defer o.f.mu.Unlock()
	return o.f.asked("close", o.name, false)
}
