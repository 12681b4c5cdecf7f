package lab

import (
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"
	"unsafe"

	"mosslead/internal/lab/experiment"
)

// damageState carries out a fault on a sidecar's disk or state directory.
func (p *play) damageState(s *sidecar, f experiment.Fault) {
	dir := filepath.Join(s.dir, "state")
	rng := rand.New(rand.NewPCG(p.seed, faultStream+uint64(s.number)*31))
	switch f.Kind {
	case "state-full":
		p.fillDisk(s, 1)
		p.sleep(f.For.Duration)
		p.fillDisk(s, -1)
	case "state-readonly":
		if _, err := os.Stat(dir); err != nil {
			p.note(errNoFiles)
			return
		}
		p.note(readOnly(dir, true))
		p.sleep(f.For.Duration)
		p.note(readOnly(dir, false))
	case "state-torn":
		p.note(truncateNewest(dir, rng))
	case "state-flip":
		p.note(flipBit(dir, rng))
	case "state-gone":
		p.note(os.RemoveAll(dir))
	case "state-old":
		backup := dir + ".old"
		if _, err := os.Stat(dir); err != nil {
			p.note(errNoFiles)
			return
		}
		p.note(errors.Join(os.RemoveAll(backup), os.CopyFS(backup, os.DirFS(dir))))
		p.sleep(f.For.Duration)
		p.note(errors.Join(os.RemoveAll(dir), os.Rename(backup, dir)))
	}
}

// fillDisk adds n, which is below 0 when a fault ends, to the number of faults that fill a sidecar's disk. While the
// number is above 0, a limit on file sizes keeps the sidecar's process from writing.
func (p *play) fillDisk(s *sidecar, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.diskFullFaults += n
	if s.child == nil {
		return // the next start sets the limit
	}
	var limit *uint64
	if s.diskFullFaults > 0 {
		limit = new(uint64)
	}
	p.note(s.child.FileLimit(limit))
}

// immutable is the flag of ext4, xfs and btrfs that forbids creating, renaming or removing anything in a directory. It
// also binds root, whom permissions do not bind. getFlags and setFlags are the ioctl requests for such flags.
const (
	immutable = 0x10
	getFlags  = 0x80086601
	setFlags  = 0x40086602
)

// readOnly makes a directory read-only, or writable again.
func readOnly(dir string, on bool) error {
	if os.Geteuid() != 0 {
		mode := fs.FileMode(0o755)
		if on {
			mode = 0o555
		}
		return os.Chmod(dir, mode)
	}
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	var flags int
	if _, _, errno := syscall.Syscall(syscall.SYS_IOCTL, d.Fd(), getFlags, uintptr(unsafe.Pointer(&flags))); errno != 0 {
		return fmt.Errorf("flags of %s: %w", dir, errno)
	}
	flags &^= immutable
	if on {
		flags |= immutable
	}
	if _, _, errno := syscall.Syscall(syscall.SYS_IOCTL, d.Fd(), setFlags, uintptr(unsafe.Pointer(&flags))); errno != 0 {
		return fmt.Errorf("making %s read-only: %w", dir, errno)
	}
	return nil
}

// stateFile is a file in a state directory.
type stateFile struct {
	path     string
	size     int64
	modified time.Time
}

// nonEmptyFiles returns the regular files below dir that are not empty, the one modified last first.
func nonEmptyFiles(dir string) (all []stateFile, err error) {
	err = filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || !d.Type().IsRegular() {
			return err
		}
		info, err := d.Info()
		if err == nil && info.Size() > 0 {
			all = append(all, stateFile{path, info.Size(), info.ModTime()})
		}
		return nil // a file that was removed meanwhile is no error
	})
	slices.SortFunc(all, func(a, b stateFile) int { return b.modified.Compare(a.modified) })
	return all, err
}

var errNoFiles = errors.New("the state directory holds nothing to break")

// truncateNewest cuts the file that was modified last short, at a random byte.
func truncateNewest(dir string, rng *rand.Rand) error {
	all, err := nonEmptyFiles(dir)
	if err != nil || len(all) == 0 {
		return errors.Join(err, errNoFiles)
	}
	return os.Truncate(all[0].path, rng.Int64N(all[0].size))
}

// flipBit flips one random bit of one random file.
func flipBit(dir string, rng *rand.Rand) error {
	all, err := nonEmptyFiles(dir)
	if err != nil || len(all) == 0 {
		return errors.Join(err, errNoFiles)
	}
	slices.SortFunc(all, func(a, b stateFile) int { return len(a.path) - len(b.path) })
	victim := all[rng.IntN(len(all))]
	data, err := os.ReadFile(victim.path)
	if err != nil || len(data) == 0 {
		return errors.Join(err, errNoFiles)
	}
	data[rng.IntN(len(data))] ^= 1 << rng.IntN(8)
	return os.WriteFile(victim.path, data, 0o644)
}
