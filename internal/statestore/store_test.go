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

// runProcess begins a process of the sidecar at a time, lets it write, and ends it.
func runProcess(t *testing.T, dir, name string, at time.Time, settled, clean bool) Loaded {
	t.Helper()
	s := New(dir, name)
	if err := s.Lock(); err != nil {
		t.Fatal(err)
	}
	k, err := s.Load(at)
	if err != nil {
		t.Fatal(err)
	}
	k = s.Begin(k, at)
	_, err = s.Open(at)
	err = errors.Join(err, s.Ban("u1", at), s.WriteList("127.0.0.1:1", json.RawMessage(listing), at),
		s.WriteSnapshot(balancer.Snapshot{MeanLatency: 1, Endpoints: map[string]balancer.EndpointSnapshot{"u0": {PeakEWMA: 2, EjectedFor: time.Second}}}, at))
	if settled {
		err = errors.Join(err, s.Settled())
	}
	if err = errors.Join(err, s.Release(clean)); err != nil {
		t.Fatal(err)
	}
	return k
}

func TestWhatIsKeptComesBackForAsLongAsItIsWorthSomething(t *testing.T) {
	for name, c := range map[string]struct {
		after               time.Duration
		list, learnt, noted bool
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
			k, err := New(dir, "s1").Load(noon.Add(c.after))
			if err != nil || k.Bans["u1"] == "" || k.Crashed {
				t.Errorf("%v, bans %v, crashed %v", err, k.Bans, k.Crashed)
			}
			if (k.List != nil) != c.list || (k.Snapshot != nil) != c.learnt || (len(k.Notes) > 0) != c.noted {
				t.Errorf("list %v, learnt %v, notes %v", k.List, k.Snapshot, k.Notes)
			}
		})
	}
}

func TestAnotherSidecarsStateIsPutAside(t *testing.T) {
	dir := t.TempDir()
	runProcess(t, dir, "s1", noon, true, true)
	k := runProcess(t, dir, "s2", noon, true, true)
	if len(k.Bans) > 0 || k.List != nil || len(k.Notes) == 0 {
		t.Errorf("used: %+v", k)
	}
	if names, err := durable.Quarantined(dir); err != nil || len(names) == 0 {
		t.Errorf("in quarantine: %v, %v", names, err)
	}
	if k, err := New(dir, "s2").Load(noon); err != nil || k.Name != "s2" || len(k.Bans) != 1 || len(k.Notes) > 0 {
		t.Errorf("after it: %+v, %v", k, err)
	}
}

// A crash loop suspects the state: after three early ends list and learning are set aside, once; bans are not.
func TestCrashLoopSetsTheStateAsideOnce(t *testing.T) {
	dir := t.TempDir()
	var aside []bool
	for range 6 {
		k := runProcess(t, dir, "s1", noon, false, false)
		aside = append(aside, k.SetAside)
		if k.SetAside && (k.List != nil || k.SuspectList == nil || k.Snapshot != nil || k.Bans["u1"] == "") {
			t.Errorf("set aside: %+v", k)
		}
	}
	if want := []bool{false, false, false, true, false, false}; !slices.Equal(aside, want) {
		t.Errorf("set aside at %v, want %v", aside, want)
	}
	runProcess(t, dir, "s1", noon, true, false) // one that lived long: the count begins anew
	if k := runProcess(t, dir, "s1", noon, false, false); k.SetAside || !k.Crashed {
		t.Errorf("after one that settled: %+v", k)
	}
}

// Hundreds of restarts leave no garbage.
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
		t.Errorf("%d files of %d bytes after 10 restarts, %d of %d after 210", files, size, n, s)
	}
}

func TestCheckAndRepair(t *testing.T) {
	dir := t.TempDir()
	runProcess(t, dir, "s1", noon, true, true)
	runProcess(t, dir, "s1", noon, true, true)
	if s, corruptions, err := Summarize(dir, noon); err != nil || len(corruptions) > 0 || s.Upstreams != 2 || s.ListIndex != 7 || s.Ended != "clean" || len(s.Ejected) != 1 || s.Sidecar != "s1" {
		t.Errorf("whole: %+v, %v, %v", s, corruptions, err)
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
		t.Errorf("damaged: %v, %v", corruptions, err)
	}
	s := New(dir, "s1")
	if err := s.Lock(); err != nil {
		t.Fatal(err)
	}
	if _, err := Repair(dir, noon); !errors.Is(err, durable.ErrLocked) {
		t.Errorf("beside a process that writes: %v", err)
	}
	if err := s.Release(false); err != nil {
		t.Fatal(err)
	}
	if dropped, err := Repair(dir, noon); err != nil || len(dropped) != 1 {
		t.Errorf("repair: %v, %v", dropped, err)
	}
	if s, corruptions, err := Summarize(dir, noon); err != nil || len(corruptions) > 0 || s.Upstreams != 2 || len(s.Quarantined) != 1 || len(s.Bans) != 1 {
		t.Errorf("repaired: %+v, %v, %v", s, corruptions, err)
	}
}

// A directory that is deleted under the process is noticed.
func TestDeletedDirectoryIsNoticed(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	s := New(dir, "s1")
	if err := s.Lock(); err != nil || !s.Holds() {
		t.Fatalf("%v, holds %v", err, s.Holds())
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if s.Holds() {
		t.Error("a directory that is gone is held")
	}
	if err := errors.Join(s.Release(false), s.Lock()); err != nil || !s.Holds() {
		t.Errorf("taken up anew: %v", err)
	}
	if err := s.Release(false); err != nil {
		t.Fatal(err)
	}
}
