package durable

import (
	"errors"
	"fmt"
)

const temporarySuffix = ".tmp"

// SnapshotFile stores one value of bounded size, in two generations: a write replaces the older one, and a read returns the
// newest that is complete. Not safe for concurrent use.
type SnapshotFile struct {
	fs         FS
	name       string
	maxBytes   int
	generation uint64 // of the newest value on disk
	loaded     bool
}

// NewSnapshotFile returns the file of that name, for values of maxBytes at most. It does not access the disk.
func NewSnapshotFile(f FS, name string, maxBytes int) *SnapshotFile {
	return &SnapshotFile{fs: f, name: name, maxBytes: maxBytes}
}

// slotName returns the name of the file of a generation: generations alternate between two files.
func (b *SnapshotFile) slotName(generation uint64) string {
	return fmt.Sprintf("%s.%d", b.name, generation%2)
}

// Read returns the newest complete value, or nil if there is none, and the corruptions of what could not be used. It fails
// if the file system does, or if a newer version of the program has written the file.
func (b *SnapshotFile) Read() (value []byte, corruptions []Corruption, err error) {
	found := false
	for i := range uint64(2) {
		name := b.slotName(i)
		text, err := readFile(b.fs, name, b.maxBytes+frameHeaderBytes)
		if missing(err) {
			continue
		}
		var generation uint64
		var payload []byte
		if err == nil {
			var size int
			if generation, payload, size, err = readFrame(text, snapshotMagic, b.maxBytes); err == nil && size != len(text) {
				err = errors.New("more in it than was written")
			}
			if err == nil && generation%2 != i {
				err = errors.New("a value of the other file's")
			}
		} else if !errors.Is(err, errLength) {
			return nil, corruptions, fmt.Errorf("reading %s: %w", name, err)
		}
		switch {
		case errors.Is(err, errNewer):
			return nil, corruptions, fmt.Errorf("%s: %w", name, err)
		case err != nil:
			corruptions = append(corruptions, Corruption{File: name, Err: err})
		case !found || generation > b.generation:
			found, value, b.generation = true, payload, generation
		}
	}
	b.loaded = true
	return value, corruptions, nil
}

// Write replaces the value. Once it has returned nil the value is durable; after an error either value may be
// read.
func (b *SnapshotFile) Write(value []byte) error { return b.write(value, true) }

// WriteUnsynced is Write without a sync: the value outlives the process, but perhaps not a crash of the machine.
func (b *SnapshotFile) WriteUnsynced(value []byte) error { return b.write(value, false) }

func (b *SnapshotFile) write(value []byte, safe bool) error {
	if len(value) > b.maxBytes {
		return fmt.Errorf("writing %s: %d bytes of %d at most", b.name, len(value), b.maxBytes)
	}
	if !b.loaded { // the next generation must be above those on disk
		if _, _, err := b.Read(); err != nil {
			return err
		}
	}
	next := b.generation + 1
	fresh := b.name + temporarySuffix
	err := writeNew(b.fs, fresh, appendFrame(nil, snapshotMagic, next, value), safe)
	if err == nil {
		if err = b.fs.Rename(fresh, b.slotName(next)); err == nil && safe {
			err = b.fs.Sync()
		}
	}
	if err != nil { // the next write uses the same slot: the other holds the last value known to be complete
		return fmt.Errorf("writing %s: %w", b.name, err)
	}
	b.generation = next
	return nil
}
