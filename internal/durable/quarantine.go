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

// Quarantine moves files of a directory into a subdirectory, for people to inspect, and keeps the latest of all that were
// moved there, up to maxFiles. A file that is missing is no error.
func Quarantine(dir string, names []string, maxFiles int, now time.Time) error {
	aside := filepath.Join(dir, quarantineDir)
	if len(names) == 0 {
		return nil
	}
	if err := os.MkdirAll(aside, 0o700); err != nil {
		return fmt.Errorf("quarantine: %w", err)
	}
	var all error
	for _, name := range names {
		to := fmt.Sprintf("%s-%s", now.UTC().Format("20060102T150405.000000"), name)
		if err := os.Rename(filepath.Join(dir, name), filepath.Join(aside, to)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			all = errors.Join(all, fmt.Errorf("quarantine: %w", err))
		}
	}
	entries, err := os.ReadDir(aside) // sorted by name, and so by time
	if err != nil {
		return errors.Join(all, fmt.Errorf("quarantine: %w", err))
	}
	for _, e := range entries[:max(0, len(entries)-maxFiles)] {
		if err := os.Remove(filepath.Join(aside, e.Name())); err != nil {
			all = errors.Join(all, fmt.Errorf("quarantine: %w", err))
		}
	}
	return all
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
