package durable

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
)

const (
	maxEntryBytes = 1 << 10 // bytes of a key with its value
	maxTableBytes = 4 << 20 // bytes of a segment that is read
	compactOver   = 32 << 10
	queued        = 64 // changes that wait for the disk; more wait for their turn
)

// KeyValueLog holds small entries by key. It is a log: a change is a record at its end, and all changes that wait together
// are made safe by one sync. The log is bounded: it is written anew, with only what holds, when it has grown, and
// whenever a write has failed, since nothing may be added to a file of which it is not known what is on the disk.
// Safe for concurrent use.
type KeyValueLog struct {
	fs   FS
	name string

	changes chan tableChange
	ended   chan struct{}
	closing sync.Once

	mu      sync.Mutex // guards what is read from outside the committer
	entries map[string]string

	// The committer's own.
	log     File // nil: the next commit writes a segment anew
	segment uint64
	number  uint64
	size    int
	used    int // bytes of size that the entries need
}

type tableChange struct {
	key, value string
	remove     bool
	done       chan error
}

// OpenKeyValueLog reads the table of that name, and is ready to write. What could not be read is among the damages; what is
// whole is kept. An error means that the file system could not be asked, or that a newer version has written here.
func OpenKeyValueLog(f FS, name string) (*KeyValueLog, []Corruption, error) {
	t := &KeyValueLog{fs: f, name: name, changes: make(chan tableChange, queued), ended: make(chan struct{}), entries: map[string]string{}}
	corruptions, err := t.load()
	if err != nil {
		return nil, corruptions, err
	}
	go t.commit()
	return t, corruptions, nil
}

// ReadKeyValueLog reads the table of that name and writes nothing.
func ReadKeyValueLog(f FS, name string) (map[string]string, []Corruption, error) {
	t := &KeyValueLog{fs: f, name: name, entries: map[string]string{}}
	corruptions, err := t.load()
	return t.entries, corruptions, err
}

// Entries is all that holds now.
func (t *KeyValueLog) Entries() map[string]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.entries)
}

// ErrClosed says that the table was closed.
var ErrClosed = errors.New("the table is closed")

// Set gives a key its value. Once it has returned nil, that is safe; after an error it may or may not be.
func (t *KeyValueLog) Set(key, value string) error {
	return t.change(tableChange{key: key, value: value})
}

// Delete takes a key away, as Set.
func (t *KeyValueLog) Delete(key string) error { return t.change(tableChange{key: key, remove: true}) }

func (t *KeyValueLog) change(c tableChange) error {
	if n := len(c.key) + len(c.value); n > maxEntryBytes {
		return fmt.Errorf("%s: an entry of %d bytes, %d at most", t.name, n, maxEntryBytes)
	}
	c.done = make(chan error, 1)
	select {
	case t.changes <- c:
	case <-t.ended:
		return ErrClosed
	}
	select {
	case err := <-c.done:
		return err
	case <-t.ended:
		select {
		case err := <-c.done: // it was in the last commit
			return err
		default:
			return ErrClosed
		}
	}
}

// Close ends the table after the changes that wait. It is safe to call again.
func (t *KeyValueLog) Close() error {
	t.closing.Do(func() { t.changes <- tableChange{} })
	<-t.ended
	return nil
}

// commit takes changes, as many as wait, and makes them safe together.
func (t *KeyValueLog) commit() {
	defer close(t.ended)
	defer func() {
		if t.log != nil {
			_ = t.log.Close() // everything in it is safe
		}
	}()
	for {
		batch, more := []tableChange{<-t.changes}, true
		for more && len(batch) < queued {
			select {
			case c := <-t.changes:
				batch = append(batch, c)
			default:
				more = false
			}
		}
		end := slices.IndexFunc(batch, func(c tableChange) bool { return c.done == nil })
		if end >= 0 {
			batch = batch[:end]
		}
		if len(batch) > 0 {
			err := t.write(batch)
			for _, c := range batch {
				c.done <- err
			}
		}
		if end >= 0 {
			return
		}
	}
}

// write makes a batch safe: at the end of the log, or in a new one.
func (t *KeyValueLog) write(batch []tableChange) error {
	next := maps.Clone(t.entries)
	var records []byte
	number := t.number
	for _, c := range batch {
		number++
		records = appendFrame(records, recordMagic, number, encodeChange(c))
		if c.remove {
			delete(next, c.key)
		} else {
			next[c.key] = c.value
		}
	}
	err := errors.New("no log is open")
	if t.log != nil && t.size+len(records) <= max(compactOver, 4*t.used) {
		if _, err = t.log.Write(records); err == nil {
			err = t.log.Sync()
		}
		if err == nil {
			t.size += len(records)
		}
	}
	if err != nil {
		if err = t.rewrite(next, number); err != nil {
			return fmt.Errorf("writing %s: %w", t.name, err)
		}
	}
	t.number = number
	t.mu.Lock()
	t.entries = next
	t.mu.Unlock()
	return nil
}

// rewrite begins a new segment that holds these entries. The one before stays until the next time.
func (t *KeyValueLog) rewrite(entries map[string]string, number uint64) error {
	if t.log != nil {
		_ = t.log.Close() // of no more use, whatever it says
		t.log = nil
	}
	var text []byte
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		text = appendFrame(text, recordMagic, number, encodeChange(tableChange{key: key, value: entries[key]}))
	}
	head := binary.LittleEndian.AppendUint64(nil, uint64(len(text)))
	text = append(appendFrame(nil, headMagic, number, head), text...)
	next := t.segment + 1
	fresh := t.name + temporary
	if err := t.fs.Remove(fresh); err != nil {
		return err
	}
	log, err := t.fs.Create(fresh)
	if err != nil {
		return err
	}
	if _, err = log.Write(text); err == nil {
		err = log.Sync()
	}
	if err == nil {
		err = t.fs.Rename(fresh, t.file(next))
	}
	t.segment = next // used up, whether or not it got there: the next attempt must not share its name
	if err == nil {
		err = t.fs.Sync()
	}
	if err != nil {
		_ = log.Close()
		_ = t.fs.Remove(fresh) // where it fails too, the next attempt sees to it
		return err
	}
	t.log, t.size, t.used = log, len(text), len(text)
	t.clean()
	return nil
}

// clean removes segments older than the one before the present one. What fails is tried again the next time.
func (t *KeyValueLog) clean() {
	segments, err := t.segments()
	if err != nil {
		return
	}
	for _, s := range segments {
		if s+1 < t.segment {
			_ = t.fs.Remove(t.file(s))
		}
	}
}

func (t *KeyValueLog) file(segment uint64) string { return fmt.Sprintf("%s.%016x", t.name, segment) }

// segments are the numbers of those that are there, the newest first.
func (t *KeyValueLog) segments() (all []uint64, err error) {
	names, err := t.fs.List()
	if err != nil && !missing(err) {
		return nil, err
	}
	for _, name := range names {
		if text, ok := strings.CutPrefix(name, t.name+"."); ok && len(text) == 16 {
			if n, err := strconv.ParseUint(text, 16, 64); err == nil {
				all = append(all, n)
			}
		}
	}
	slices.Sort(all)
	slices.Reverse(all)
	return all, nil
}

// load reads the newest segment whose beginning is whole. The log is not gone on with: the first change writes it anew,
// so that nothing is ever added behind what a crash left.
func (t *KeyValueLog) load() (corruptions []Corruption, err error) {
	segments, err := t.segments()
	if err != nil {
		return nil, fmt.Errorf("reading %s: %w", t.name, err)
	}
	if len(segments) > 0 {
		t.segment = segments[0]
	}
	for _, s := range segments {
		name := t.file(s)
		text, err := readFile(t.fs, name, maxTableBytes)
		if err != nil && !errors.Is(err, errLength) {
			return corruptions, fmt.Errorf("reading %s: %w", name, err)
		}
		if err == nil {
			var found []Corruption
			if found, err = t.replay(name, text); err == nil {
				return append(corruptions, found...), nil
			}
		}
		if errors.Is(err, errNewer) {
			return corruptions, fmt.Errorf("%s: %w", name, err)
		}
		corruptions = append(corruptions, Corruption{File: name, Err: err})
	}
	return corruptions, nil
}

// replay takes in a segment; an error: its beginning is not whole, and nothing was taken.
func (t *KeyValueLog) replay(name string, text []byte) (corruptions []Corruption, err error) {
	number, head, at, err := readFrame(text, headMagic, maxEntryBytes)
	if err != nil {
		return nil, err
	}
	if len(head) != 8 {
		return nil, errLength
	}
	base := at + int(min(binary.LittleEndian.Uint64(head), maxTableBytes)) // what was written whole, before the name was
	entries := map[string]string{}
	for at < len(text) {
		n, payload, size, err := readFrame(text[at:], recordMagic, maxEntryBytes+binary.MaxVarintLen64+1)
		var c tableChange
		if err == nil {
			c, err = decodeChange(payload)
		}
		if err == nil && (at < base && n != number || at >= base && n <= number) {
			err = errors.New("a record out of its place")
		}
		if errors.Is(err, errNewer) {
			return nil, err
		}
		if err != nil {
			next := resync(text, at+1, number)
			torn := next < 0 && at >= base
			corruptions = append(corruptions, Corruption{File: name, At: int64(at), Err: err, Torn: torn})
			if next < 0 {
				break
			}
			at = next
			continue
		}
		if at >= base {
			number = n
		}
		if c.remove {
			delete(entries, c.key)
		} else {
			entries[c.key] = c.value
		}
		at += size
	}
	if at < base && len(corruptions) == 0 {
		corruptions = append(corruptions, Corruption{File: name, At: int64(at), Err: errShort})
	}
	t.entries, t.number = entries, number
	return corruptions, nil
}

// resync finds the next whole record after damage; below 0: there is none.
func resync(text []byte, from int, after uint64) int {
	for at := from; at+frameHead <= len(text); at++ {
		if text[at] != recordMagic[0] {
			continue
		}
		if n, _, _, err := readFrame(text[at:], recordMagic, maxEntryBytes+binary.MaxVarintLen64+1); err == nil && n >= after {
			return at
		}
	}
	return -1
}

// A change is worded as: 0 or 1 (removed), the key's length, key, value.
func encodeChange(c tableChange) []byte {
	b := []byte{0}
	if c.remove {
		b[0] = 1
	}
	b = binary.AppendUvarint(b, uint64(len(c.key)))
	b = append(b, c.key...)
	return append(b, c.value...)
}

func decodeChange(b []byte) (c tableChange, err error) {
	if len(b) < 2 || b[0] > 1 {
		return c, errors.New("no change")
	}
	n, size := binary.Uvarint(b[1:])
	if size <= 0 || n > uint64(len(b)-1-size) {
		return c, errors.New("no key")
	}
	rest := b[1+size:]
	return tableChange{key: string(rest[:n]), value: string(rest[n:]), remove: b[0] == 1}, nil
}
