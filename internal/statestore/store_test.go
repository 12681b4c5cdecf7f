package statestore

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"mosslead/balancer"
	"mosslead/internal/durable"
)

var noon = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

const listing = `{"index":7,"snapshot":true,"endpoints":[{"name":"u0"},{"name":"u1"}]}`

// runProcess starts a process of the sidecar at the given time, lets it write all of its state, and ends it. It returns what
// the process loaded.
func runProcess(t *testing.T, dir, name string, now time.Time, settled, clean bool) Loaded {
	t.Helper()
	s := New(dir, name)
	if err := s.Lock(); err != nil {
		t.Fatal(err)
	}
	l, err := s.Load(now)
	if err != nil {
		t.Fatal(err)
	}
	l = s.Begin(l, now)
	_, err = s.Open(now)
	err = errors.Join(err, s.Ban("u1", now), s.WriteList("127.0.0.1:1", json.RawMessage(listing), now),
		s.WriteSnapshot(balancer.Snapshot{MeanLatency: 1, Endpoints: map[string]balancer.EndpointSnapshot{"u0": {PeakEWMA: 2, EjectedFor: time.Second}}}, now))
	if settled {
		err = errors.Join(err, s.Settled())
	}
	if err = errors.Join(err, s.Release(clean)); err != nil {
		t.Fatal(err)
	}
	return l
}

func TestWhatIsKeptComesBackForAsLongAsItIsWorthSomething(t *testing.T) {
	for name, c := range map[string]struct {
		after                 time.Duration
		list, snapshot, notes bool
	}{
		"at once":                   {time.Second, true, true, false},
		"after a while":             {time.Hour, true, false, true},
		"from the day before":       {25 * time.Hour, false, false, true},
		"the clock went back":       {-time.Hour, true, false, true},
		"the clock is a little off": {-time.Second, true, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			runProcess(t, dir, "s1", noon, true, true)
			l, err := New(dir, "s1").Load(noon.Add(c.after))
			if err != nil || l.Bans["u1"] == "" || l.Crashed {
				t.Errorf("got error %v, bans %v, crashed %v, want a ban of u1 and crashed false", err, l.Bans, l.Crashed)
			}
			if (l.List != nil) != c.list || (l.Snapshot != nil) != c.snapshot || (len(l.Notes) > 0) != c.notes {
				t.Errorf("got list %v, snapshot %v, notes %v, want list: %v, snapshot: %v, notes: %v", l.List, l.Snapshot, l.Notes, c.list, c.snapshot, c.notes)
			}
		})
	}
}

func TestAnotherSidecarsStateIsPutAside(t *testing.T) {
	dir := t.TempDir()
	runProcess(t, dir, "s1", noon, true, true)
	l := runProcess(t, dir, "s2", noon, true, true)
	if len(l.Bans) > 0 || l.List != nil || len(l.Notes) == 0 {
		t.Errorf("got %+v, want no bans, no list and a note", l)
	}
	if names, err := durable.Quarantined(dir); err != nil || len(names) == 0 {
		t.Errorf("got quarantined files %v, error %v, want at least 1 file and no error", names, err)
	}
	if l, err := New(dir, "s2").Load(noon); err != nil || l.Name != "s2" || len(l.Bans) != 1 || len(l.Notes) > 0 {
		t.Errorf("second process of s2: got %+v, error %v, want 1 ban and no notes", l, err)
	}
}

// After three unclean exits soon after the start, the list and the snapshot are set aside once. Bans are kept.
func TestCrashLoopSetsTheStateAsideOnce(t *testing.T) {
	dir := t.TempDir()
	var aside []bool
	for range 6 {
		l := runProcess(t, dir, "s1", noon, false, false)
		aside = append(aside, l.SetAside)
		if l.SetAside && (l.List != nil || l.SuspectList == nil || l.Snapshot != nil || l.Bans["u1"] == "") {
			t.Errorf("got %+v, want no list, a suspect list, no snapshot and a ban of u1", l)
		}
	}
	if want := []bool{false, false, false, true, false, false}; !slices.Equal(aside, want) {
		t.Errorf("got, for each start, whether the state was set aside: %v, want %v", aside, want)
	}
	runProcess(t, dir, "s1", noon, true, false) // a process that settled resets the count of early exits
	if l := runProcess(t, dir, "s1", noon, false, false); l.SetAside || !l.Crashed {
		t.Errorf("start after a process that settled: got %+v, want Crashed set and nothing set aside", l)
	}
}

// Hundreds of restarts must not make the directory grow.
func TestRestartsDoNotGrow(t *testing.T) {
	dir := t.TempDir()
	count := func() (n int, size int64) {
		err := filepath.WalkDir(dir, func(_ string, d os.DirEntry, err error) error {
			if err == nil && !d.IsDir() {
				info, err := d.Info()
				if err != nil {
					return err
				}
				n++
				size += info.Size()
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
		return n, size
	}
	for range 10 {
		runProcess(t, dir, "s1", noon, false, false)
	}
	files, size := count()
	for range 200 {
		runProcess(t, dir, "s1", noon, false, false)
	}
	if n, s := count(); n > files+maxQuarantined || s > 2*size {
		t.Errorf("got %d files of %d bytes after 210 restarts, want at most %d files of %d bytes", n, s, files+maxQuarantined, 2*size)
	}
}

func TestCheckAndRepair(t *testing.T) {
	dir := t.TempDir()
	runProcess(t, dir, "s1", noon, true, true)
	runProcess(t, dir, "s1", noon, true, true)
	if s, corruptions, err := Summarize(dir, noon); err != nil || len(corruptions) > 0 || s.Upstreams != 2 || s.ListIndex != 7 || s.Ended != "clean" || len(s.Ejected) != 1 || s.Sidecar != "s1" {
		t.Errorf("intact directory: got %+v, corruptions %v, error %v, want sidecar s1, clean, 2 upstreams at index 7, 1 ejected, no corruption", s, corruptions, err)
	}
	path := filepath.Join(dir, "list.0")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	text[len(text)/2] ^= 4
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	_, corruptions, err := Summarize(dir, noon)
	if err != nil || len(corruptions) != 1 || !strings.Contains(corruptions[0].String(), "list.0: byte 0: wrong checksum") {
		t.Errorf("damaged list: got corruptions %v, error %v, want a wrong checksum of list.0", corruptions, err)
	}
	s := New(dir, "s1")
	if err := s.Lock(); err != nil {
		t.Fatal(err)
	}
	if _, err := Repair(dir, noon); !errors.Is(err, durable.ErrLocked) {
		t.Errorf("Repair while a process holds the lock: got error %v, want %v", err, durable.ErrLocked)
	}
	if err := s.Release(false); err != nil {
		t.Fatal(err)
	}
	if corruptions, err := Repair(dir, noon); err != nil || len(corruptions) != 1 {
		t.Errorf("Repair: got corruptions %v, error %v, want 1 corruption and no error", corruptions, err)
	}
	if s, corruptions, err := Summarize(dir, noon); err != nil || len(corruptions) > 0 || s.Upstreams != 2 || len(s.Quarantined) != 1 || len(s.Bans) != 1 {
		t.Errorf("after Repair: got %+v, corruptions %v, error %v, want 2 upstreams, 1 quarantined file, 1 ban, no corruption", s, corruptions, err)
	}
}

// Holds returns false once the directory has been deleted, and the lock can then be acquired again.
func TestDeletedDirectoryIsNoticed(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	s := New(dir, "s1")
	if err := s.Lock(); err != nil || !s.Holds() {
		t.Fatalf("Lock: got error %v, Holds %v, want none and true", err, s.Holds())
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if s.Holds() {
		t.Error("Holds after the directory was deleted: got true, want false")
	}
	if err := errors.Join(s.Release(false), s.Lock()); err != nil || !s.Holds() {
		t.Errorf("second Lock: got error %v, Holds %v, want none and true", err, s.Holds())
	}
	if err := s.Release(false); err != nil {
		t.Fatal(err)
	}
}
