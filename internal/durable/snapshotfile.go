package durable

import (
	"errors"
	"fmt"
)

const temporary = ".tmp"

// SnapshotFile holds one value of bounded size. A write goes beside the value before, which stays: what is
// read is the newest complete value. Not safe for concurrent use.
type SnapshotFile struct {
	fs         FS
	name       string
	maxBytes   int
	generation uint64 // of the newest value on disk, as far as known
	read       bool
}

// NewSnapshotFile is the file of that name, for values of maxBytes at most.
func NewSnapshotFile(f FS, name string, maxBytes int) *SnapshotFile {
	return &SnapshotFile{fs: f, name: name, maxBytes: maxBytes}
}

// slot is the file of a generation: two files take turns.
func (b *SnapshotFile) slot(generation uint64) string {
	return fmt.Sprintf("%s.%d", b.name, generation%2)
}

// Read returns the newest complete value; nil: there is none. The corruptions name what could not be used. An
// error says that the file system failed, or that a newer version of the program has written here.
func (b *SnapshotFile) Read() (value []byte, corruptions []Corruption, err error) {
	found := false
	for i := range uint64(2) {
		name := b.slot(i)
		text, err := readFile(b.fs, name, b.maxBytes+frameHead)
		if missing(err) {
			continue
		}
		var generation uint64
		var payload []byte
		if err == nil {
			var size int
			if generation, payload, size, err = readFrame(text, boxMagic, b.maxBytes); err == nil && size != len(text) {
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
	b.read = true
	return value, corruptions, nil
}

// Write replaces the value. Once it has returned nil the value is durable; after an error either value may be
// read.
func (b *SnapshotFile) Write(value []byte) error { return b.write(value, true) }

// WriteUnsynced is Write without waiting for the disk: the value outlives the process, and perhaps not the
// machine.
func (b *SnapshotFile) WriteUnsynced(value []byte) error { return b.write(value, false) }

func (b *SnapshotFile) write(value []byte, safe bool) error {
	if len(value) > b.maxBytes {
		return fmt.Errorf("writing %s: %d bytes of %d at most", b.name, len(value), b.maxBytes)
	}
	if !b.read { // the generation must rise
		if _, _, err := b.Read(); err != nil {
			return err
		}
	}
	next := b.generation + 1
	fresh := b.name + temporary
	err := writeNew(b.fs, fresh, appendFrame(nil, boxMagic, next, value), safe)
	if err == nil {
		if err = b.fs.Rename(fresh, b.slot(next)); err == nil && safe {
			err = b.fs.Sync()
		}
	}
	if err != nil { // the next write takes the same slot: the other one is the last that is known to be whole
		return fmt.Errorf("writing %s: %w", b.name, err)
	}
	b.generation = next
	return nil
}
