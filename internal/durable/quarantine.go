package durable

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"
)

const quarantineDir = "quarantine"

// Quarantine moves files of a directory into a subdirectory, for people to inspect, and deletes all but the latest maxFiles
// there. A missing file is not an error.
func Quarantine(dir string, names []string, maxFiles int, now time.Time) error {
	subdir := filepath.Join(dir, quarantineDir)
	if len(names) == 0 {
		return nil
	}
	if err := os.MkdirAll(subdir, 0o700); err != nil {
		return fmt.Errorf("quarantine: %w", err)
	}
	var errs error
	for _, name := range names {
		newName := fmt.Sprintf("%s-%s", now.UTC().Format("20060102T150405.000000"), name)
		if err := os.Rename(filepath.Join(dir, name), filepath.Join(subdir, newName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			errs = errors.Join(errs, fmt.Errorf("quarantine: %w", err))
		}
	}
	entries, err := os.ReadDir(subdir) // sorted by name, and therefore by time
	if err != nil {
		return errors.Join(errs, fmt.Errorf("quarantine: %w", err))
	}
	for _, e := range entries[:max(0, len(entries)-maxFiles)] {
		if err := os.Remove(filepath.Join(subdir, e.Name())); err != nil {
			errs = errors.Join(errs, fmt.Errorf("quarantine: %w", err))
		}
	}
	return errs
}

// Quarantined returns the names of the quarantined files.
func Quarantined(dir string) ([]string, error) {
	entries, err := os.ReadDir(filepath.Join(dir, quarantineDir))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return slices.Clip(names), nil
}
