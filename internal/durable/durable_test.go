package durable_test

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"

	"go.uber.org/goleak"

	"mosslead/internal/durable"
	"mosslead/internal/durable/crashfs"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const maxValueBytes = 1 << 16

// changeAttempt is one attempt to change a key. Its times are counted in calls: each is the number of calls that the file
// system had recorded by then.
type changeAttempt struct {
	key, value  string // an empty value removes the key
	begunAt     int
	confirmedAt int // -1 if the change failed
}

// applyChanges opens a log, makes n changes with values of at least size bytes, and returns them.
func applyChanges(t *testing.T, f *crashfs.FS, n, size int) (attempts []changeAttempt) {
	t.Helper()
	log, _, err := durable.OpenKeyValueLog(f, "bans")
	if err != nil {
		return nil // the log could not be read, so nothing was changed
	}
	for i := range n {
		a := changeAttempt{key: fmt.Sprintf("u%d", i%5), value: fmt.Sprintf("%d%s", i, strings.Repeat("x", size)), begunAt: f.Ops(), confirmedAt: -1}
		if i%3 == 2 {
			a.value = ""
			err = log.Delete(a.key)
		} else {
			err = log.Set(a.key, a.value)
		}
		if err == nil {
			a.confirmedAt = f.Ops()
		}
		attempts = append(attempts, a)
	}
	if err := log.Close(); err != nil {
		t.Error(err)
	}
	return attempts
}

// findMismatch describes an entry that must not exist after a crash that follows n calls, and returns "" if there is none. A
// key may have its last confirmed value, or a value of an attempt after that one.
func findMismatch(attempts []changeAttempt, n int, got map[string]string) string {
	allowed := map[string][]string{}
	for _, a := range attempts {
		if allowed[a.key] == nil {
			allowed[a.key] = []string{""}
		}
		switch {
		case a.confirmedAt >= 0 && a.confirmedAt <= n:
			allowed[a.key] = []string{a.value}
		case a.begunAt <= n:
			allowed[a.key] = append(allowed[a.key], a.value)
		}
	}
	for key, values := range allowed {
		if !slices.Contains(values, got[key]) {
			return fmt.Sprintf("%s: got %.20q, want one of %.60q", key, got[key], values)
		}
	}
	for key := range got {
		if allowed[key] == nil {
			return key + ": got an entry, want none, as the key was never set"
		}
	}
	return ""
}

// checkCrashStates reads every disk state that a crash during the changes can leave, and returns the number of states.
func checkCrashStates(t *testing.T, f *crashfs.FS, attempts []changeAttempt) int {
	t.Helper()
	return f.Crashes(1, func(n int, disk map[string][]byte) bool {
		got, corruptions, err := durable.ReadKeyValueLog(crashfs.From(disk), "bans")
		if err != nil {
			t.Errorf("after %d calls: got error %v reading the log, want none", n, err)
			return false
		}
		for _, corruption := range corruptions {
			if !corruption.Torn {
				t.Errorf("after %d calls: got corruption %v, want only torn writes", n, corruption)
				return false
			}
		}
		if mismatch := findMismatch(attempts, n, got); mismatch != "" {
			t.Errorf("after %d calls: %s", n, mismatch)
			return false
		}
		return true
	})
}

// Guards against losing a ban that was confirmed, and against reading a part of a value. Power is lost after every call, with
// every subset of the unsynced calls, and the last write is torn at every byte.
func TestEveryCrashOfATableReadsBackAsOldOrNew(t *testing.T) {
	f := crashfs.New()
	states := checkCrashStates(t, f, applyChanges(t, f, 60, 10))
	large := crashfs.New() // exceeds the compaction threshold, so that new segments are written
	states += checkCrashStates(t, large, applyChanges(t, large, 120, 900))
	t.Logf("checked %d disk states", states)
	if states < 3000 {
		t.Errorf("got %d disk states, want at least 3000", states)
	}
}

func TestEveryCrashOfABoxReadsBackAsOldOrNew(t *testing.T) {
	f := crashfs.New()
	file := durable.NewSnapshotFile(f, "list", maxValueBytes)
	var attempts []changeAttempt
	for i := range 12 {
		a := changeAttempt{key: "k", value: strings.Repeat(fmt.Sprint(i%10), 10+i*17), begunAt: f.Ops()}
		if err := file.Write([]byte(a.value)); err != nil {
			t.Fatal(err)
		}
		a.confirmedAt = f.Ops()
		attempts = append(attempts, a)
	}
	states := f.Crashes(1, func(n int, disk map[string][]byte) bool {
		got, corruptions, err := durable.NewSnapshotFile(crashfs.From(disk), "list", maxValueBytes).Read()
		if err != nil || len(corruptions) > 0 {
			t.Errorf("after %d calls: got corruptions %v, error %v, want none", n, corruptions, err)
			return false
		}
		if mismatch := findMismatch(attempts, n, map[string]string{"k": string(got)}); mismatch != "" {
			t.Errorf("after %d calls: %s", n, mismatch)
			return false
		}
		return true
	})
	t.Logf("checked %d disk states", states)
}

// Guards against confirming a change that is not durable. Each kind of call fails once, at its first to eighth use, and every
// crash is tried after it. A sync that failed succeeds the next time.
func TestNothingConfirmedIsLostToACallThatFails(t *testing.T) {
	states := 0
	for _, call := range []string{"create", "write", "sync", "close", "rename", "remove", "syncdir", "list", "open", "read"} {
		for nth := range 8 {
			f := crashfs.New()
			n := 0
			f.Fail(func(c, _ string) error {
				if c != call {
					return nil
				}
				if n++; n == nth+1 {
					return syscall.EIO
				}
				return nil
			})
			attempts := applyChanges(t, f, 12, 10)
			f.Fail(nil)
			states += checkCrashStates(t, f, attempts)
			if len(attempts) > 0 {
				// A single failure affects one change only, so the last change must be confirmed.
				if last := attempts[len(attempts)-1]; last.confirmedAt < 0 && nth < 4 {
					t.Errorf("call %s fails once, at use %d: the last change failed, want it confirmed", call, nth+1)
				}
			}
			if t.Failed() {
				t.Fatalf("a check failed (see above) when call %s failed at use %d; want every check to pass", call, nth+1)
			}
		}
	}
	t.Logf("checked %d disk states", states)
}

// While the disk is full or read-only, changes fail and nothing else is lost; once it is writable, changes succeed again.
func TestFullAndReadOnlyDisksPass(t *testing.T) {
	for name, c := range map[string]struct{ begin, end func(*crashfs.FS) }{
		"full":      {func(f *crashfs.FS) { f.LimitSpace(10) }, func(f *crashfs.FS) { f.LimitSpace(-1) }},
		"read-only": {func(f *crashfs.FS) { f.ReadOnly(true) }, func(f *crashfs.FS) { f.ReadOnly(false) }},
	} {
		t.Run(name, func(t *testing.T) {
			f := crashfs.New()
			log, _, err := durable.OpenKeyValueLog(f, "bans")
			if err != nil {
				t.Fatal(err)
			}
			snapshot := durable.NewSnapshotFile(f, "list", maxValueBytes)
			if err := errors.Join(log.Set("a", "1"), snapshot.Write([]byte("one"))); err != nil {
				t.Fatal(err)
			}
			c.begin(f)
			for range 3 {
				if log.Set("b", "2") == nil || snapshot.Write([]byte("two")) == nil {
					t.Errorf("%s disk: got a change confirmed, want an error", name)
				}
			}
			if got := log.Entries(); len(got) != 1 || got["a"] != "1" {
				t.Errorf("got entries %v, want only a=1", got)
			}
			c.end(f)
			if err := errors.Join(log.Set("c", "3"), snapshot.Write([]byte("three")), log.Close()); err != nil {
				t.Errorf("changes on a writable disk: got error %v, want none", err)
			}
			got, corruptions, err := durable.ReadKeyValueLog(crashfs.From(f.Files()), "bans")
			if err != nil || len(corruptions) > 0 || !maps.Equal(got, map[string]string{"a": "1", "c": "3"}) {
				t.Errorf("got entries %v, corruptions %v, error %v, want a=1 and c=3 without corruption", got, corruptions, err)
			}
			if value, corruptions, err := durable.NewSnapshotFile(f, "list", maxValueBytes).Read(); string(value) != "three" || len(corruptions) > 0 || err != nil {
				t.Errorf("got value %q, corruptions %v, error %v, want the value three without corruption", value, corruptions, err)
			}
			for leftover := range f.Files() {
				if strings.HasSuffix(leftover, ".tmp") {
					t.Errorf("got temporary file %s, want none left", leftover)
				}
			}
		})
	}
}

// Every flipped bit is detected. It loses at most the entry that it is in, or the newest value of a SnapshotFile.
func TestFlippedBitsAreSeen(t *testing.T) {
	f := crashfs.New()
	log, _, err := durable.OpenKeyValueLog(f, "bans")
	if err != nil {
		t.Fatal(err)
	}
	snapshot := durable.NewSnapshotFile(f, "list", maxValueBytes)
	want := map[string]string{}
	for i := range 6 {
		key := fmt.Sprint("u", i)
		want[key] = "banned"
		if err := errors.Join(log.Set(key, "banned"), snapshot.Write(fmt.Appendf(nil, "value %d", i))); err != nil {
			t.Fatal(err)
		}
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	for name, data := range f.Files() {
		for bit := range len(data) * 8 {
			files := f.Files()
			files[name][bit/8] ^= 1 << (bit % 8)
			disk := crashfs.From(files)
			got, corruptions, err := durable.ReadKeyValueLog(disk, "bans")
			value, snapshotCorruptions, snapshotErr := durable.NewSnapshotFile(disk, "list", maxValueBytes).Read()
			if len(corruptions)+len(snapshotCorruptions) == 0 && err == nil && snapshotErr == nil {
				t.Fatalf("%s, bit %d flipped: got no corruption and no error, want at least one of them", name, bit)
			}
			for key, gotValue := range got {
				if want[key] != gotValue {
					t.Fatalf("%s, bit %d flipped: key %s: got %q, want %q", name, bit, key, gotValue, want[key])
				}
			}
			if err == nil && len(got) < len(want)-1 && !strings.HasSuffix(name, "0000000000000001") {
				t.Fatalf("%s, bit %d flipped: got %d entries, want at least %d", name, bit, len(got), len(want)-1)
			}
			if snapshotErr == nil && string(value) != "value 5" && string(value) != "value 4" {
				t.Fatalf("%s, bit %d flipped: got snapshot value %q, want value 5 or value 4", name, bit, value)
			}
		}
	}
}

// Files of a newer version are neither read nor changed. The error says that a newer version has written them.
func TestNewerFormIsRefused(t *testing.T) {
	f := crashfs.New()
	log, _, err := durable.OpenKeyValueLog(f, "bans")
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(log.Set("a", "1"), log.Close(), durable.NewSnapshotFile(f, "list", maxValueBytes).Write([]byte("x"))); err != nil {
		t.Fatal(err)
	}
	files := f.Files()
	for name := range files {
		files[name][3]++ // the version in the magic
	}
	if _, _, err := durable.OpenKeyValueLog(crashfs.From(files), "bans"); err == nil || !strings.Contains(err.Error(), "newer version") {
		t.Errorf("log of a newer version: got error %v, want one with \"newer version\"", err)
	}
	snapshot := durable.NewSnapshotFile(crashfs.From(files), "list", maxValueBytes)
	if err := snapshot.Write([]byte("y")); err == nil || !strings.Contains(err.Error(), "newer version") {
		t.Errorf("snapshot file of a newer version: got error %v, want one with \"newer version\"", err)
	}
}

// Changes that wait at the same time share a sync, and the number of segments stays bounded.
func TestCommitsAreShared(t *testing.T) {
	dir := t.TempDir()
	f := &syncCounter{FS: durable.OS(dir)}
	log, _, err := durable.OpenKeyValueLog(f, "bans")
	if err != nil {
		t.Fatal(err)
	}
	var callers sync.WaitGroup
	for i := range 400 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			if err := log.Set(fmt.Sprint(i%7), strings.Repeat("y", 500)); err != nil {
				t.Error(err)
			}
		}()
	}
	callers.Wait()
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
	if f.syncs >= 200 {
		t.Errorf("got %d syncs for 400 concurrent changes, want fewer than 200", f.syncs)
	}
	if err := log.Set("late", "1"); !errors.Is(err, durable.ErrClosed) {
		t.Errorf("Set after Close: got error %v, want %v", err, durable.ErrClosed)
	}
	names, err := f.List()
	if err != nil || len(names) > 2 {
		t.Errorf("got %d files %v, error %v, want at most 2 files", len(names), names, err)
	}
	if entries, corruptions, err := durable.ReadKeyValueLog(f, "bans"); len(entries) != 7 || len(corruptions) > 0 || err != nil {
		t.Errorf("got %d entries, corruptions %v, error %v, want 7 entries without corruption", len(entries), corruptions, err)
	}
}

// syncCounter is an FS that counts the syncs of files.
type syncCounter struct {
	durable.FS
	syncs int // written by the committing goroutine only
}

type countedFile struct {
	durable.File
	counter *syncCounter
}

func (c *syncCounter) Create(name string) (durable.File, error) {
	f, err := c.FS.Create(name)
	return &countedFile{f, c}, err
}

func (c *countedFile) Sync() error { c.counter.syncs++; return c.File.Sync() }

func TestLockIsForOneProcess(t *testing.T) {
	dir := t.TempDir()
	first, err := durable.TryLock(dir)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := durable.TryLock(dir); !errors.Is(err, durable.ErrLocked) {
		t.Errorf("locking twice: got error %v, want %v", err, durable.ErrLocked)
	}
	if !first.Holds(dir) {
		t.Error("Holds after TryLock: got false, want true")
	}
	if err := durable.OS(dir).Remove("LOCK"); err != nil {
		t.Fatal(err)
	}
	if first.Holds(dir) {
		t.Error("Holds after the lock file was deleted: got true, want false")
	}
	if err := first.Release(); err != nil {
		t.Fatal(err)
	}
	again, err := durable.TryLock(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := again.Release(); err != nil {
		t.Fatal(err)
	}
}

// Whatever the files contain, reading them ends, and returns only data that is in the files.
func FuzzReaders(f *testing.F) {
	disk := crashfs.New()
	log, _, err := durable.OpenKeyValueLog(disk, "bans")
	if err != nil {
		f.Fatal(err)
	}
	for i := range 4 {
		if err := log.Set(fmt.Sprint("u", i), "v"); err != nil {
			f.Fatal(err)
		}
	}
	if err := errors.Join(log.Close(), durable.NewSnapshotFile(disk, "list", maxValueBytes).Write([]byte("value"))); err != nil {
		f.Fatal(err)
	}
	files := disk.Files()
	f.Add(files["bans.0000000000000001"], files["list.1"])
	f.Fuzz(func(t *testing.T, segment, snapshot []byte) {
		disk := crashfs.From(map[string][]byte{"bans.0000000000000001": segment, "list.1": snapshot})
		entries, corruptions, err := durable.ReadKeyValueLog(disk, "bans")
		if err == nil && len(corruptions) == 0 && len(entries) > 0 && !bytes.Contains(segment, []byte("MTR1")) {
			t.Errorf("got entries %v from a segment without a record, want none", entries)
		}
		for key, value := range entries {
			if !bytes.Contains(segment, []byte(key)) || !bytes.Contains(segment, []byte(value)) {
				t.Errorf("got entry %q: %q, want only entries that are in the file", key, value)
			}
		}
		value, corruptions, err := durable.NewSnapshotFile(disk, "list", maxValueBytes).Read()
		if err == nil && len(corruptions) == 0 && !bytes.HasSuffix(snapshot, value) {
			t.Errorf("got value %q, want the last bytes of the file", value)
		}
	})
}
