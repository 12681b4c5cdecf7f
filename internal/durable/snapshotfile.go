package durable

import (
	"errors"
	"fmt"
)

const temporarySuffix = ".tmp"

// SnapshotFile stores one value of bounded size, in two generations: a write replaces the older generation, and a read
// returns the newest intact one. It is not safe for concurrent use.
type SnapshotFile struct {
	fs         FS
	name       string
	maxBytes   int
	generation uint64 // generation of the newest value on disk
	loaded     bool
}

// NewSnapshotFile returns the file of that name, for values of up to maxBytes. It does not access the disk.
func NewSnapshotFile(f FS, name string, maxBytes int) *SnapshotFile {
	return &SnapshotFile{fs: f, name: name, maxBytes: maxBytes}
}

// slotName returns the name of the file that holds a generation: generations alternate between two files.
func (s *SnapshotFile) slotName(generation uint64) string {
	return fmt.Sprintf("%s.%d", s.name, generation%2)
}

// Read returns the newest intact value, or nil if there is none, and a corruption for each file that is damaged. It fails
// if the file system fails, or if a newer version of the program has written the file.
func (s *SnapshotFile) Read() (value []byte, corruptions []Corruption, err error) {
	found := false
	for slot := range uint64(2) {
		name := s.slotName(slot)
		text, err := readFile(s.fs, name, s.maxBytes+frameHeaderBytes)
		if missing(err) {
			continue
		}
		var generation uint64
		var payload []byte
		if err == nil {
			var size int
			if generation, payload, size, err = readFrame(text, snapshotMagic, s.maxBytes); err == nil && size != len(text) {
				err = errors.New("data after the end of the frame")
			}
			if err == nil && generation%2 != slot {
				err = errors.New("generation belongs to the other file")
			}
		} else if !errors.Is(err, errLength) {
			return nil, corruptions, fmt.Errorf("reading %s: %w", name, err)
		}
		switch {
		case errors.Is(err, errNewer):
			return nil, corruptions, fmt.Errorf("%s: %w", name, err)
		case err != nil:
			corruptions = append(corruptions, Corruption{File: name, Err: err})
		case !found || generation > s.generation:
			found, value, s.generation = true, payload, generation
		}
	}
	s.loaded = true
	return value, corruptions, nil
}

// Write replaces the value. Once it has returned nil the new value is durable; after an error, Read may return the old or
// the new value.
func (s *SnapshotFile) Write(value []byte) error { return s.write(value, true) }

// WriteUnsynced is Write without a sync: the value outlives the process, but may be lost if the machine crashes.
func (s *SnapshotFile) WriteUnsynced(value []byte) error { return s.write(value, false) }

func (s *SnapshotFile) write(value []byte, sync bool) error {
	if len(value) > s.maxBytes {
		return fmt.Errorf("writing %s: value has %d bytes, maximum is %d", s.name, len(value), s.maxBytes)
	}
	if !s.loaded { // the next generation must be above those on disk
		if _, _, err := s.Read(); err != nil {
			return err
		}
	}
	next := s.generation + 1
	tmpName := s.name + temporarySuffix
	err := writeNew(s.fs, tmpName, appendFrame(nil, snapshotMagic, next, value), sync)
	if err == nil {
		if err = s.fs.Rename(tmpName, s.slotName(next)); err == nil && sync {
			err = s.fs.Sync()
		}
	}
	if err != nil { // the next write uses the same slot, as the other one holds the last value known to be intact
		return fmt.Errorf("writing %s: %w", s.name, err)
	}
	s.generation = next
	return nil
}
