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

// changeAttempt is one change of a key: what it was to be, which call it began before, and whether it was confirmed, by when.
type changeAttempt struct {
	key, value  string // value "": taken away
	begunAt     int
	confirmedAt int // -1: it failed
}

// applyChanges makes changes to a table and keeps account of them.
func applyChanges(t *testing.T, f *crashfs.FS, n, size int) (run []changeAttempt) {
	t.Helper()
	table, _, err := durable.OpenKeyValueLog(f, "bans")
	if err != nil {
		return nil // the failing call was one of the reader's: nothing was changed
	}
	for i := range n {
		a := changeAttempt{key: fmt.Sprintf("u%d", i%5), value: fmt.Sprintf("%d%s", i, strings.Repeat("x", size)), begunAt: f.Ops(), confirmedAt: -1}
		if i%3 == 2 {
			a.value = ""
			err = table.Delete(a.key)
		} else {
			err = table.Set(a.key, a.value)
		}
		if err == nil {
			a.confirmedAt = f.Ops()
		}
		run = append(run, a)
	}
	if err := table.Close(); err != nil {
		t.Error(err)
	}
	return run
}

// findMismatch says what a state has that it must not have after n calls: of each key, its last confirmed value or one tried
// since.
func findMismatch(run []changeAttempt, n int, got map[string]string) string {
	allowed := map[string][]string{}
	for _, a := range run {
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
			return fmt.Sprintf("%s is %.20q, not one of %.60q", key, got[key], values)
		}
	}
	for key := range got {
		if allowed[key] == nil {
			return key + " was never set"
		}
	}
	return ""
}

// checkCrashStates reads back every state that a crash during the run can leave.
func checkCrashStates(t *testing.T, f *crashfs.FS, run []changeAttempt) int {
	t.Helper()
	return f.Crashes(1, func(n int, disk map[string][]byte) bool {
		got, corruptions, err := durable.ReadKeyValueLog(crashfs.From(disk), "bans")
		if err != nil {
			t.Errorf("after %d calls: %v", n, err)
			return false
		}
		for _, d := range corruptions {
			if !d.Torn {
				t.Errorf("after %d calls: a crash passes for damage: %v", n, d)
				return false
			}
		}
		if w := findMismatch(run, n, got); w != "" {
			t.Errorf("after %d calls: %s", n, w)
			return false
		}
		return true
	})
}

// Guards against a ban lost after its yes, or half a value: the power goes after every call, with every subset of what
// was not synced, and the last write torn at every byte.
func TestEveryCrashOfATableReadsBackAsOldOrNew(t *testing.T) {
	f := crashfs.New()
	states := checkCrashStates(t, f, applyChanges(t, f, 60, 10))
	large := crashfs.New() // grows beyond the bound: segments are written anew in between
	states += checkCrashStates(t, large, applyChanges(t, large, 120, 900))
	t.Logf("%d states of a disk", states)
	if states < 3000 {
		t.Errorf("%d states tried, some thousands wanted", states)
	}
}

func TestEveryCrashOfABoxReadsBackAsOldOrNew(t *testing.T) {
	f := crashfs.New()
	box := durable.NewSnapshotFile(f, "list", maxValueBytes)
	var run []changeAttempt
	for i := range 12 {
		a := changeAttempt{key: "k", value: strings.Repeat(fmt.Sprint(i%10), 10+i*17), begunAt: f.Ops()}
		if err := box.Write([]byte(a.value)); err != nil {
			t.Fatal(err)
		}
		a.confirmedAt = f.Ops()
		run = append(run, a)
	}
	states := f.Crashes(1, func(n int, disk map[string][]byte) bool {
		got, corruptions, err := durable.NewSnapshotFile(crashfs.From(disk), "list", maxValueBytes).Read()
		if err != nil || len(corruptions) > 0 {
			t.Errorf("after %d calls: %v, %v", n, corruptions, err)
			return false
		}
		if w := findMismatch(run, n, map[string]string{"k": string(got)}); w != "" {
			t.Errorf("after %d calls: %s", n, w)
			return false
		}
		return true
	})
	t.Logf("%d states of a disk", states)
}

// Guards against taking for safe what is not: each call in turn fails once, also a sync that succeeds the next time, and
// then every crash is tried again.
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
			run := applyChanges(t, f, 12, 10)
			f.Fail(nil)
			states += checkCrashStates(t, f, run)
			if len(run) > 0 {
				// One failure is over with the next change: the last is confirmed.
				if last := run[len(run)-1]; last.confirmedAt < 0 && nth < 4 {
					t.Errorf("%s, failing once: the last change was not confirmed", call)
				}
			}
			if t.Failed() {
				t.Fatalf("%s number %d failing", call, nth+1)
			}
		}
	}
	t.Logf("%d states of a disk", states)
}

// A full or read-only disk costs confirmations and nothing else; writing goes on by itself once it can.
func TestFullAndReadOnlyDisksPass(t *testing.T) {
	for name, c := range map[string]struct{ begin, end func(*crashfs.FS) }{
		"full":      {func(f *crashfs.FS) { f.LimitSpace(10) }, func(f *crashfs.FS) { f.LimitSpace(-1) }},
		"read-only": {func(f *crashfs.FS) { f.ReadOnly(true) }, func(f *crashfs.FS) { f.ReadOnly(false) }},
	} {
		t.Run(name, func(t *testing.T) {
			f := crashfs.New()
			table, _, err := durable.OpenKeyValueLog(f, "bans")
			if err != nil {
				t.Fatal(err)
			}
			box := durable.NewSnapshotFile(f, "list", maxValueBytes)
			if err := errors.Join(table.Set("a", "1"), box.Write([]byte("one"))); err != nil {
				t.Fatal(err)
			}
			c.begin(f)
			for range 3 {
				if table.Set("b", "2") == nil || box.Write([]byte("two")) == nil {
					t.Error("confirmed without room")
				}
			}
			if got := table.Entries(); len(got) != 1 || got["a"] != "1" {
				t.Errorf("holds %v", got)
			}
			c.end(f)
			if err := errors.Join(table.Set("c", "3"), box.Write([]byte("three")), table.Close()); err != nil {
				t.Errorf("after it passed: %v", err)
			}
			got, corruptions, err := durable.ReadKeyValueLog(crashfs.From(f.Files()), "bans")
			if err != nil || len(corruptions) > 0 || !maps.Equal(got, map[string]string{"a": "1", "c": "3"}) {
				t.Errorf("read back: %v, %v, %v", got, corruptions, err)
			}
			if value, corruptions, err := durable.NewSnapshotFile(f, "list", maxValueBytes).Read(); string(value) != "three" || len(corruptions) > 0 || err != nil {
				t.Errorf("read back: %q, %v, %v", value, corruptions, err)
			}
			for file := range f.Files() {
				if strings.HasSuffix(file, ".tmp") {
					t.Errorf("%s was left", file)
				}
			}
		})
	}
}

// A flipped bit anywhere is seen, and costs at most the entry that it hits, or a step back of a box.
func TestFlippedBitsAreSeen(t *testing.T) {
	f := crashfs.New()
	table, _, err := durable.OpenKeyValueLog(f, "bans")
	if err != nil {
		t.Fatal(err)
	}
	box := durable.NewSnapshotFile(f, "list", maxValueBytes)
	want := map[string]string{}
	for i := range 6 {
		key := fmt.Sprint("u", i)
		want[key] = "banned"
		if err := errors.Join(table.Set(key, "banned"), box.Write(fmt.Appendf(nil, "value %d", i))); err != nil {
			t.Fatal(err)
		}
	}
	if err := table.Close(); err != nil {
		t.Fatal(err)
	}
	for name, data := range f.Files() {
		for bit := range len(data) * 8 {
			files := f.Files()
			files[name][bit/8] ^= 1 << (bit % 8)
			disk := crashfs.From(files)
			got, corruptions, err := durable.ReadKeyValueLog(disk, "bans")
			value, more, err2 := durable.NewSnapshotFile(disk, "list", maxValueBytes).Read()
			if len(corruptions)+len(more) == 0 && err == nil && err2 == nil {
				t.Fatalf("%s, bit %d: not seen", name, bit)
			}
			for key, x := range got {
				if want[key] != x {
					t.Fatalf("%s, bit %d: %s is %q", name, bit, key, x)
				}
			}
			if err == nil && len(got) < len(want)-1 && !strings.HasSuffix(name, "0000000000000001") {
				t.Fatalf("%s, bit %d: %d entries of %d are left", name, bit, len(got), len(want))
			}
			if err2 == nil && string(value) != "value 5" && string(value) != "value 4" {
				t.Fatalf("%s, bit %d: the box holds %q", name, bit, value)
			}
		}
	}
}

// What a newer version wrote is left alone, and said.
func TestNewerFormIsRefused(t *testing.T) {
	f := crashfs.New()
	table, _, err := durable.OpenKeyValueLog(f, "bans")
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(table.Set("a", "1"), table.Close(), durable.NewSnapshotFile(f, "list", maxValueBytes).Write([]byte("x"))); err != nil {
		t.Fatal(err)
	}
	files := f.Files()
	for name := range files {
		files[name][3]++ // the version in the magic
	}
	if _, _, err := durable.OpenKeyValueLog(crashfs.From(files), "bans"); err == nil || !strings.Contains(err.Error(), "newer version") {
		t.Errorf("table: %v", err)
	}
	box := durable.NewSnapshotFile(crashfs.From(files), "list", maxValueBytes)
	if err := box.Write([]byte("y")); err == nil || !strings.Contains(err.Error(), "newer version") {
		t.Errorf("box: %v", err)
	}
}

// Many callers share syncs; what grows is bounded.
func TestCommitsAreShared(t *testing.T) {
	dir := t.TempDir()
	f := &syncCounter{FS: durable.OS(dir)}
	table, _, err := durable.OpenKeyValueLog(f, "bans")
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	for i := range 400 {
		all.Add(1)
		go func() {
			defer all.Done()
			if err := table.Set(fmt.Sprint(i%7), strings.Repeat("y", 500)); err != nil {
				t.Error(err)
			}
		}()
	}
	all.Wait()
	if err := table.Close(); err != nil {
		t.Fatal(err)
	}
	if f.syncs >= 200 {
		t.Errorf("%d syncs for 400 changes that came together", f.syncs)
	}
	if err := table.Set("late", "1"); !errors.Is(err, durable.ErrClosed) {
		t.Errorf("after its end: %v", err)
	}
	names, err := f.List()
	if err != nil || len(names) > 2 {
		t.Errorf("%d files: %v (%v)", len(names), names, err)
	}
	if again, corruptions, err := durable.ReadKeyValueLog(f, "bans"); len(again) != 7 || len(corruptions) > 0 || err != nil {
		t.Errorf("read back %d entries, %v, %v", len(again), corruptions, err)
	}
}

// syncCounter counts syncs of files.
type syncCounter struct {
	durable.FS
	syncs int // by the committer alone
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
		t.Errorf("a second one: %v", err)
	}
	if !first.Holds(dir) {
		t.Error("the lock does not hold")
	}
	if err := durable.OS(dir).Remove("LOCK"); err != nil {
		t.Fatal(err)
	}
	if first.Holds(dir) {
		t.Error("the lock of a directory that was deleted holds")
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

// Whatever lies on the disk, reading ends, and what it gives was written whole by somebody.
func FuzzReaders(f *testing.F) {
	disk := crashfs.New()
	table, _, err := durable.OpenKeyValueLog(disk, "bans")
	if err != nil {
		f.Fatal(err)
	}
	for i := range 4 {
		if err := table.Set(fmt.Sprint("u", i), "v"); err != nil {
			f.Fatal(err)
		}
	}
	if err := errors.Join(table.Close(), durable.NewSnapshotFile(disk, "list", maxValueBytes).Write([]byte("value"))); err != nil {
		f.Fatal(err)
	}
	files := disk.Files()
	f.Add(files["bans.0000000000000001"], files["list.1"])
	f.Fuzz(func(t *testing.T, segment, box []byte) {
		disk := crashfs.From(map[string][]byte{"bans.0000000000000001": segment, "list.1": box})
		entries, corruptions, err := durable.ReadKeyValueLog(disk, "bans")
		if err == nil && len(corruptions) == 0 && len(entries) > 0 && !bytes.Contains(segment, []byte("MTR1")) {
			t.Errorf("entries %v out of nothing", entries)
		}
		for key, value := range entries {
			if !bytes.Contains(segment, []byte(key)) || !bytes.Contains(segment, []byte(value)) {
				t.Errorf("%q: %q is nowhere in the file", key, value)
			}
		}
		value, corruptions, err := durable.NewSnapshotFile(disk, "list", maxValueBytes).Read()
		if err == nil && len(corruptions) == 0 && !bytes.HasSuffix(box, value) {
			t.Errorf("%q is not in the file", value)
		}
	})
}
