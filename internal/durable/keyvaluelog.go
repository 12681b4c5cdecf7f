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
	maxEntryBytes         = 1 << 10 // bytes of a key with its value
	maxSegmentBytes       = 4 << 20 // bytes of a segment
	compactThresholdBytes = 32 << 10
	maxQueuedChanges      = 64 // changes that may wait for the disk; further calls block
)

// KeyValueLog stores small entries by key, as a log with group commit: each change is a record at its end, and all changes
// that wait together become durable with one sync. The log is compacted into a new segment when it has grown, and after
// a failed write, since nothing may be appended to a file whose content on disk is unknown. Safe for concurrent use.
type KeyValueLog struct {
	fs   FS
	name string

	changes   chan entryChange
	stopped   chan struct{}
	closeOnce sync.Once

	mu      sync.Mutex // guards what other goroutines read
	entries map[string]string

	// Owned by the committing goroutine.
	segmentFile    File // nil: the next commit writes a new segment
	segment        uint64
	sequence       uint64
	size           int
	compactedBytes int // bytes that a compacted segment would have
}

type entryChange struct {
	key, value string
	remove     bool
	done       chan error
}

// OpenKeyValueLog opens the log of that name for reading and writing. Damaged records are returned as corruptions, all
// others are kept. It fails if the file system does, or if a newer version of the program has written the log.
func OpenKeyValueLog(f FS, name string) (*KeyValueLog, []Corruption, error) {
	t := &KeyValueLog{fs: f, name: name, changes: make(chan entryChange, maxQueuedChanges), stopped: make(chan struct{}), entries: map[string]string{}}
	corruptions, err := t.load()
	if err != nil {
		return nil, corruptions, err
	}
	go t.commit()
	return t, corruptions, nil
}

// ReadKeyValueLog reads the log of that name, and writes nothing.
func ReadKeyValueLog(f FS, name string) (map[string]string, []Corruption, error) {
	t := &KeyValueLog{fs: f, name: name, entries: map[string]string{}}
	corruptions, err := t.load()
	return t.entries, corruptions, err
}

// Entries returns all entries.
func (t *KeyValueLog) Entries() map[string]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.entries)
}

// ErrClosed is returned after Close.
var ErrClosed = errors.New("the table is closed")

// Set sets the value of a key. It blocks until that is durable; after an error it may or may not be.
func (t *KeyValueLog) Set(key, value string) error {
	return t.change(entryChange{key: key, value: value})
}

// Delete removes a key, as durably as Set.
func (t *KeyValueLog) Delete(key string) error { return t.change(entryChange{key: key, remove: true}) }

func (t *KeyValueLog) change(c entryChange) error {
	if n := len(c.key) + len(c.value); n > maxEntryBytes {
		return fmt.Errorf("%s: an entry of %d bytes, %d at most", t.name, n, maxEntryBytes)
	}
	c.done = make(chan error, 1)
	select {
	case t.changes <- c:
	case <-t.stopped:
		return ErrClosed
	}
	select {
	case err := <-c.done:
		return err
	case <-t.stopped:
		select {
		case err := <-c.done: // it was part of the last commit
			return err
		default:
			return ErrClosed
		}
	}
}

// Close commits the waiting changes and closes the log. It may be called again.
func (t *KeyValueLog) Close() error {
	t.closeOnce.Do(func() { t.changes <- entryChange{} })
	<-t.stopped
	return nil
}

// commit takes all waiting changes and commits them together, until Close.
func (t *KeyValueLog) commit() {
	defer close(t.stopped)
	defer func() {
		if t.segmentFile != nil {
			_ = t.segmentFile.Close() // all of it is durable
		}
	}()
	for {
		batch, more := []entryChange{<-t.changes}, true
		for more && len(batch) < maxQueuedChanges {
			select {
			case c := <-t.changes:
				batch = append(batch, c)
			default:
				more = false
			}
		}
		end := slices.IndexFunc(batch, func(c entryChange) bool { return c.done == nil })
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

// write makes a batch durable, at the end of the segment or in a new one.
func (t *KeyValueLog) write(batch []entryChange) error {
	next := maps.Clone(t.entries)
	var records []byte
	number := t.sequence
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
	if t.segmentFile != nil && t.size+len(records) <= max(compactThresholdBytes, 4*t.compactedBytes) {
		if _, err = t.segmentFile.Write(records); err == nil {
			err = t.segmentFile.Sync()
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
	t.sequence = number
	t.mu.Lock()
	t.entries = next
	t.mu.Unlock()
	return nil
}

// rewrite starts a new segment that holds these entries. The previous one stays until the next rewrite.
func (t *KeyValueLog) rewrite(entries map[string]string, number uint64) error {
	if t.segmentFile != nil {
		_ = t.segmentFile.Close() // no longer used, whatever the error
		t.segmentFile = nil
	}
	var text []byte
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		text = appendFrame(text, recordMagic, number, encodeChange(entryChange{key: key, value: entries[key]}))
	}
	head := binary.LittleEndian.AppendUint64(nil, uint64(len(text)))
	text = append(appendFrame(nil, segmentMagic, number, head), text...)
	next := t.segment + 1
	fresh := t.name + temporarySuffix
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
		err = t.fs.Rename(fresh, t.segmentName(next))
	}
	t.segment = next // also after an error: the next attempt must not use the same name
	if err == nil {
		err = t.fs.Sync()
	}
	if err != nil {
		_ = log.Close()
		_ = t.fs.Remove(fresh) // if that fails too, the next attempt removes it
		return err
	}
	t.segmentFile, t.size, t.compactedBytes = log, len(text), len(text)
	t.removeOldSegments()
	return nil
}

// removeOldSegments removes all segments but the latest two. What fails is tried again the next time.
func (t *KeyValueLog) removeOldSegments() {
	segments, err := t.segments()
	if err != nil {
		return
	}
	for _, s := range segments {
		if s+1 < t.segment {
			_ = t.fs.Remove(t.segmentName(s))
		}
	}
}

func (t *KeyValueLog) segmentName(segment uint64) string {
	return fmt.Sprintf("%s.%016x", t.name, segment)
}

// segments returns the numbers of the segments, the newest first.
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

// load reads the newest segment whose head is intact. The first change then starts a new segment, so that nothing is ever
// appended behind the rest of a write that a crash cut short.
func (t *KeyValueLog) load() (corruptions []Corruption, err error) {
	segments, err := t.segments()
	if err != nil {
		return nil, fmt.Errorf("reading %s: %w", t.name, err)
	}
	if len(segments) > 0 {
		t.segment = segments[0]
	}
	for _, s := range segments {
		name := t.segmentName(s)
		text, err := readFile(t.fs, name, maxSegmentBytes)
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

// replay applies the records of a segment. It fails, and applies none, if its head is damaged.
func (t *KeyValueLog) replay(name string, text []byte) (corruptions []Corruption, err error) {
	number, head, at, err := readFrame(text, segmentMagic, maxEntryBytes)
	if err != nil {
		return nil, err
	}
	if len(head) != 8 {
		return nil, errLength
	}
	base := at + int(min(binary.LittleEndian.Uint64(head), maxSegmentBytes)) // written completely before the segment was renamed into place
	entries := map[string]string{}
	for at < len(text) {
		n, payload, size, err := readFrame(text[at:], recordMagic, maxEntryBytes+binary.MaxVarintLen64+1)
		var c entryChange
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
	t.entries, t.sequence = entries, number
	return corruptions, nil
}

// resync returns the offset of the next intact record after a damaged one, or a negative number if there is none.
func resync(text []byte, from int, after uint64) int {
	for at := from; at+frameHeaderBytes <= len(text); at++ {
		if text[at] != recordMagic[0] {
			continue
		}
		if n, _, _, err := readFrame(text[at:], recordMagic, maxEntryBytes+binary.MaxVarintLen64+1); err == nil && n >= after {
			return at
		}
	}
	return -1
}

// A change is encoded as 0 (set) or 1 (removed), the length of the key, the key, and the value.
func encodeChange(c entryChange) []byte {
	b := []byte{0}
	if c.remove {
		b[0] = 1
	}
	b = binary.AppendUvarint(b, uint64(len(c.key)))
	b = append(b, c.key...)
	return append(b, c.value...)
}

func decodeChange(b []byte) (c entryChange, err error) {
	if len(b) < 2 || b[0] > 1 {
		return c, errors.New("no change")
	}
	n, size := binary.Uvarint(b[1:])
	if size <= 0 || n > uint64(len(b)-1-size) {
		return c, errors.New("no key")
	}
	rest := b[1+size:]
	return entryChange{key: string(rest[:n]), value: string(rest[n:]), remove: b[0] == 1}, nil
}
