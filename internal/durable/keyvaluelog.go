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
	maxEntryBytes         = 1 << 10  // maximum bytes of a key with its value
	maxSegmentBytes       = 4 << 20  // maximum bytes of a segment
	compactThresholdBytes = 32 << 10 // a segment that has grown is compacted only above this size
	maxQueuedChanges      = 64       // changes that can wait for the disk; further calls block
)

// KeyValueLog stores small entries by key, as a log with group commit: each change is appended as a record, and all changes
// that wait at the same time become durable with one sync. The log is compacted into a new segment when it has grown, and
// after a failed write, since nothing may be appended to a file whose content on disk is unknown. It is safe for concurrent use.
type KeyValueLog struct {
	fs   FS
	name string

	changes   chan entryChange
	stopped   chan struct{}
	closeOnce sync.Once

	mu      sync.Mutex // guards entries, which other goroutines read
	entries map[string]string

	// Owned by the committing goroutine.
	segmentFile    File // the open segment, or nil if the next commit has to start a new one
	segment        uint64
	sequence       uint64
	size           int
	compactedBytes int // size of the segment when it was last compacted
}

type entryChange struct {
	key, value string
	remove     bool
	done       chan error
}

// OpenKeyValueLog opens the log of that name for reading and writing. Damaged records are returned as corruptions, all
// others are kept. It fails if the file system fails, or if a newer version of the program has written the log.
func OpenKeyValueLog(f FS, name string) (*KeyValueLog, []Corruption, error) {
	l := &KeyValueLog{fs: f, name: name, changes: make(chan entryChange, maxQueuedChanges), stopped: make(chan struct{}), entries: map[string]string{}}
	corruptions, err := l.load()
	if err != nil {
		return nil, corruptions, err
	}
	go l.commit()
	return l, corruptions, nil
}

// ReadKeyValueLog reads the log of that name, and writes nothing.
func ReadKeyValueLog(f FS, name string) (map[string]string, []Corruption, error) {
	l := &KeyValueLog{fs: f, name: name, entries: map[string]string{}}
	corruptions, err := l.load()
	return l.entries, corruptions, err
}

// Entries returns all entries.
func (l *KeyValueLog) Entries() map[string]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.entries)
}

// ErrClosed is returned by Set and Delete after Close.
var ErrClosed = errors.New("the log is closed")

// Set sets the value of a key, and blocks until the change is durable. After an error it may or may not be durable.
func (l *KeyValueLog) Set(key, value string) error {
	return l.change(entryChange{key: key, value: value})
}

// Delete removes a key, and blocks until the change is durable, as Set does.
func (l *KeyValueLog) Delete(key string) error { return l.change(entryChange{key: key, remove: true}) }

func (l *KeyValueLog) change(c entryChange) error {
	if n := len(c.key) + len(c.value); n > maxEntryBytes {
		return fmt.Errorf("%s: entry has %d bytes, maximum is %d", l.name, n, maxEntryBytes)
	}
	c.done = make(chan error, 1)
	select {
	case l.changes <- c:
	case <-l.stopped:
		return ErrClosed
	}
	select {
	case err := <-c.done:
		return err
	case <-l.stopped:
		select {
		case err := <-c.done: // the change was part of the last commit
			return err
		default:
			return ErrClosed
		}
	}
}

// Close commits the waiting changes and closes the log. It may be called more than once.
func (l *KeyValueLog) Close() error {
	l.closeOnce.Do(func() { l.changes <- entryChange{} })
	<-l.stopped
	return nil
}

// commit repeatedly takes all waiting changes and commits them together, until Close.
func (l *KeyValueLog) commit() {
	defer close(l.stopped)
	defer func() {
		if l.segmentFile != nil {
			_ = l.segmentFile.Close() // its content is durable already, so an error does not matter
		}
	}()
	for {
		batch, more := []entryChange{<-l.changes}, true
		for more && len(batch) < maxQueuedChanges {
			select {
			case c := <-l.changes:
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
			err := l.write(batch)
			for _, c := range batch {
				c.done <- err
			}
		}
		if end >= 0 {
			return
		}
	}
}

// write makes a batch durable, by appending it to the segment or by starting a new one.
func (l *KeyValueLog) write(batch []entryChange) error {
	entries := maps.Clone(l.entries)
	var records []byte
	sequence := l.sequence
	for _, c := range batch {
		sequence++
		records = appendFrame(records, recordMagic, sequence, encodeChange(c))
		if c.remove {
			delete(entries, c.key)
		} else {
			entries[c.key] = c.value
		}
	}
	err := errors.New("no segment is open")
	if l.segmentFile != nil && l.size+len(records) <= max(compactThresholdBytes, 4*l.compactedBytes) {
		if _, err = l.segmentFile.Write(records); err == nil {
			err = l.segmentFile.Sync()
		}
		if err == nil {
			l.size += len(records)
		}
	}
	if err != nil {
		if err = l.rewrite(entries, sequence); err != nil {
			return fmt.Errorf("writing %s: %w", l.name, err)
		}
	}
	l.sequence = sequence
	l.mu.Lock()
	l.entries = entries
	l.mu.Unlock()
	return nil
}

// rewrite starts a new segment with these entries. The previous segment stays until the next rewrite.
func (l *KeyValueLog) rewrite(entries map[string]string, sequence uint64) error {
	if l.segmentFile != nil {
		_ = l.segmentFile.Close() // the file is not used again, so an error does not matter
		l.segmentFile = nil
	}
	var text []byte
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		text = appendFrame(text, recordMagic, sequence, encodeChange(entryChange{key: key, value: entries[key]}))
	}
	header := binary.LittleEndian.AppendUint64(nil, uint64(len(text)))
	text = append(appendFrame(nil, segmentMagic, sequence, header), text...)
	segment := l.segment + 1
	tmpName := l.name + temporarySuffix
	if err := l.fs.Remove(tmpName); err != nil {
		return err
	}
	file, err := l.fs.Create(tmpName)
	if err != nil {
		return err
	}
	if _, err = file.Write(text); err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = l.fs.Rename(tmpName, l.segmentName(segment))
	}
	l.segment = segment // also after an error: the next attempt must not use the same name
	if err == nil {
		err = l.fs.Sync()
	}
	if err != nil {
		_ = file.Close()
		_ = l.fs.Remove(tmpName) // if that fails too, the next attempt removes it
		return err
	}
	l.segmentFile, l.size, l.compactedBytes = file, len(text), len(text)
	l.removeOldSegments()
	return nil
}

// removeOldSegments removes all segments but the latest two. A removal that fails is tried again at the next rewrite.
func (l *KeyValueLog) removeOldSegments() {
	segments, err := l.segments()
	if err != nil {
		return
	}
	for _, s := range segments {
		if s+1 < l.segment {
			_ = l.fs.Remove(l.segmentName(s))
		}
	}
}

func (l *KeyValueLog) segmentName(segment uint64) string {
	return fmt.Sprintf("%s.%016x", l.name, segment)
}

// segments returns the numbers of the segments, the newest first.
func (l *KeyValueLog) segments() (all []uint64, err error) {
	names, err := l.fs.List()
	if err != nil && !missing(err) {
		return nil, err
	}
	for _, name := range names {
		if text, ok := strings.CutPrefix(name, l.name+"."); ok && len(text) == 16 {
			if n, err := strconv.ParseUint(text, 16, 64); err == nil {
				all = append(all, n)
			}
		}
	}
	slices.Sort(all)
	slices.Reverse(all)
	return all, nil
}

// load reads the newest segment whose header is intact. The first change then starts a new segment, so that nothing is
// appended after a write that a crash cut short.
func (l *KeyValueLog) load() (corruptions []Corruption, err error) {
	segments, err := l.segments()
	if err != nil {
		return nil, fmt.Errorf("reading %s: %w", l.name, err)
	}
	if len(segments) > 0 {
		l.segment = segments[0]
	}
	for _, s := range segments {
		name := l.segmentName(s)
		text, err := readFile(l.fs, name, maxSegmentBytes)
		if err != nil && !errors.Is(err, errLength) {
			return corruptions, fmt.Errorf("reading %s: %w", name, err)
		}
		if err == nil {
			var replayed []Corruption
			if replayed, err = l.replay(name, text); err == nil {
				return append(corruptions, replayed...), nil
			}
		}
		if errors.Is(err, errNewer) {
			return corruptions, fmt.Errorf("%s: %w", name, err)
		}
		corruptions = append(corruptions, Corruption{File: name, Err: err})
	}
	return corruptions, nil
}

// replay applies the records of a segment. It fails, and applies none, if the header is damaged.
func (l *KeyValueLog) replay(name string, text []byte) (corruptions []Corruption, err error) {
	sequence, header, offset, err := readFrame(text, segmentMagic, maxEntryBytes)
	if err != nil {
		return nil, err
	}
	if len(header) != 8 {
		return nil, errLength
	}
	baseEnd := offset + int(min(binary.LittleEndian.Uint64(header), maxSegmentBytes)) // records before this offset were complete when the segment got its name
	entries := map[string]string{}
	for offset < len(text) {
		n, payload, size, err := readFrame(text[offset:], recordMagic, maxEntryBytes+binary.MaxVarintLen64+1)
		var c entryChange
		if err == nil {
			c, err = decodeChange(payload)
		}
		if err == nil && (offset < baseEnd && n != sequence || offset >= baseEnd && n <= sequence) {
			err = errors.New("record out of sequence")
		}
		if errors.Is(err, errNewer) {
			return nil, err
		}
		if err != nil {
			next := resync(text, offset+1, sequence)
			torn := next < 0 && offset >= baseEnd
			corruptions = append(corruptions, Corruption{File: name, At: int64(offset), Err: err, Torn: torn})
			if next < 0 {
				break
			}
			offset = next
			continue
		}
		if offset >= baseEnd {
			sequence = n
		}
		if c.remove {
			delete(entries, c.key)
		} else {
			entries[c.key] = c.value
		}
		offset += size
	}
	if offset < baseEnd && len(corruptions) == 0 {
		corruptions = append(corruptions, Corruption{File: name, At: int64(offset), Err: errShort})
	}
	l.entries, l.sequence = entries, sequence
	return corruptions, nil
}

// resync returns the first offset, from on, of an intact record whose sequence number is minSequence or higher. It returns a
// negative number if there is none.
func resync(text []byte, from int, minSequence uint64) int {
	for offset := from; offset+frameHeaderBytes <= len(text); offset++ {
		if text[offset] != recordMagic[0] {
			continue
		}
		if n, _, _, err := readFrame(text[offset:], recordMagic, maxEntryBytes+binary.MaxVarintLen64+1); err == nil && n >= minSequence {
			return offset
		}
	}
	return -1
}

// encodeChange encodes a change as a byte, 0 (set) or 1 (removed), the length of the key, the key, and the value.
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
		return c, errors.New("malformed change")
	}
	n, size := binary.Uvarint(b[1:])
	if size <= 0 || n > uint64(len(b)-1-size) {
		return c, errors.New("malformed key")
	}
	rest := b[1+size:]
	return entryChange{key: string(rest[:n]), value: string(rest[n:]), remove: b[0] == 1}, nil
}
