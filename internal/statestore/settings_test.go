package statestore

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"mosslead/internal/registry/api"
)

// storeSettings writes settings as a process that exits cleanly.
func storeSettings(t *testing.T, dir string, settings Settings) {
	t.Helper()
	s := New(dir, "s1")
	err := s.Lock()
	if err == nil {
		_, err = s.Open(noon)
	}
	if err = errors.Join(err, s.WriteSettings(settings, noon), s.Release(true)); err != nil {
		t.Fatal(err)
	}
}

var orderSettings = Settings{Service: "orders", Document: api.Document{Service: "orders", Region: "south", Revision: 9, Schema: 1, Settings: json.RawMessage(`{"Zone":"a"}`)},
	Seen: map[string]int64{"south": 12, "north": 3}}

// Guards against stored settings that change, expire, or are used by another sidecar. LoadFirst must not read them: a
// sidecar that does not follow the settings of its service calls only LoadFirst.
func TestSettingsAreKept(t *testing.T) {
	dir := t.TempDir()
	storeSettings(t, dir, orderSettings)
	later := noon.Add(1000 * time.Hour)
	l, err := New(dir, "s1").Load(later)
	if err != nil || l.Settings == nil || l.Settings.Service != "orders" || l.Settings.Document.Revision != 9 ||
		string(l.Settings.Document.Settings) != `{"Zone":"a"}` || l.Settings.Seen["south"] != 12 || l.Settings.Seen["north"] != 3 {
		t.Errorf("got settings %+v, error %v, want %+v", l.Settings, err, orderSettings)
	}
	if l, err = New(dir, "s1").LoadFirst(later); err != nil || l.Settings != nil {
		t.Errorf("LoadFirst: got settings %+v, error %v, want none", l.Settings, err)
	}
	if l, err = New(dir, "s2").Load(later); err != nil || l.Settings != nil {
		t.Errorf("another sidecar: got settings %+v, error %v, want none", l.Settings, err)
	}
	s, _, err := Summarize(dir, noon.Add(time.Minute))
	if err != nil || s.Settings == nil || *s.Settings != (SettingsSummary{Service: "orders", Region: "south", Version: 9, AgeS: 60}) {
		t.Errorf("got summary %+v, error %v, want orders of region south at version 9, 60 s old", s.Settings, err)
	}
}

// Guards against damaged settings that are used, or that Repair leaves in place.
func TestDamagedSettings(t *testing.T) {
	dir := t.TempDir()
	storeSettings(t, dir, orderSettings)
	files, err := filepath.Glob(filepath.Join(dir, "settings.*"))
	if err != nil || len(files) != 1 {
		t.Fatalf("got settings files %v, error %v, want 1 file", files, err)
	}
	text, err := os.ReadFile(files[0])
	if err != nil {
		t.Fatal(err)
	}
	text[len(text)-3] ^= 1
	if err := os.WriteFile(files[0], text, 0o600); err != nil {
		t.Fatal(err)
	}
	l, err := New(dir, "s1").Load(noon)
	if err != nil || l.Settings != nil || len(l.Corruptions) != 1 {
		t.Errorf("damaged file: got settings %+v, corruptions %v, error %v, want no settings and 1 corruption", l.Settings, l.Corruptions, err)
	}
	if corruptions, err := Repair(dir, noon); err != nil || len(corruptions) != 1 {
		t.Errorf("Repair: got corruptions %v, error %v, want 1 corruption and no error", corruptions, err)
	}
	if l, err = New(dir, "s1").Load(noon); err != nil || l.Settings != nil || len(l.Corruptions) != 0 {
		t.Errorf("after Repair: got settings %+v, corruptions %v, error %v, want none", l.Settings, l.Corruptions, err)
	}
}

// Guards against settings that make every process crash: after a crash loop they are set aside with the list.
func TestCrashLoopSetsSettingsAside(t *testing.T) {
	dir := t.TempDir()
	storeSettings(t, dir, orderSettings)
	for i := range crashLoopExits + 1 {
		s := New(dir, "s1")
		if err := s.Lock(); err != nil {
			t.Fatal(err)
		}
		l, err := s.LoadFirst(noon)
		if err = errors.Join(err, s.LoadSettings(&l)); err != nil {
			t.Fatal(err)
		}
		if l = s.Begin(l, noon); (l.Settings == nil) != (i == crashLoopExits) || l.SetAside != (i == crashLoopExits) {
			t.Errorf("start %d: got settings %+v, set aside %v, want them set aside: %v", i+1, l.Settings, l.SetAside, i == crashLoopExits)
		}
		if err := s.Release(false); err != nil {
			t.Fatal(err)
		}
	}
}
