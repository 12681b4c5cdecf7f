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

// storeSettings writes settings as a process that ends in order.
func storeSettings(t *testing.T, dir string, k Settings) {
	t.Helper()
	s := New(dir, "s1")
	err := s.Lock()
	if err == nil {
		_, err = s.Open(noon)
	}
	if err = errors.Join(err, s.WriteSettings(k, noon), s.Release(true)); err != nil {
		t.Fatal(err)
	}
}

var orderSettings = Settings{Service: "orders", Document: api.Document{Service: "orders", Region: "south", Revision: 9, Schema: 1, Settings: json.RawMessage(`{"Zone":"a"}`)},
	Seen: map[string]int64{"south": 12, "north": 3}}

// Guards against settings that come back as others, that age, that are another sidecar's, or that are read by one that follows none.
func TestSettingsAreKept(t *testing.T) {
	dir := t.TempDir()
	storeSettings(t, dir, orderSettings)
	late := noon.Add(1000 * time.Hour)
	k, err := New(dir, "s1").Load(late)
	if err != nil || k.Settings == nil || k.Settings.Service != "orders" || k.Settings.Document.Revision != 9 ||
		string(k.Settings.Document.Settings) != `{"Zone":"a"}` || k.Settings.Seen["south"] != 12 || k.Settings.Seen["north"] != 3 {
		t.Errorf("kept %+v, %v", k.Settings, err)
	}
	if k, err = New(dir, "s1").LoadFirst(late); err != nil || k.Settings != nil {
		t.Errorf("one that follows none reads %+v, %v", k.Settings, err)
	}
	if k, err = New(dir, "s2").Load(late); err != nil || k.Settings != nil {
		t.Errorf("another sidecar reads %+v, %v", k.Settings, err)
	}
	s, _, err := Summarize(dir, noon.Add(time.Minute))
	if err != nil || s.Settings == nil || *s.Settings != (SettingsSummary{Service: "orders", Region: "south", Version: 9, AgeS: 60}) {
		t.Errorf("shown as %+v, %v", s.Settings, err)
	}
}

// Guards against damaged settings that are used, or that a repair leaves in place.
func TestDamagedSettings(t *testing.T) {
	dir := t.TempDir()
	storeSettings(t, dir, orderSettings)
	files, err := filepath.Glob(filepath.Join(dir, "settings.*"))
	if err != nil || len(files) != 1 {
		t.Fatalf("files %v, %v", files, err)
	}
	text, err := os.ReadFile(files[0])
	if err != nil {
		t.Fatal(err)
	}
	text[len(text)-3] ^= 1
	if err := os.WriteFile(files[0], text, 0o600); err != nil {
		t.Fatal(err)
	}
	k, err := New(dir, "s1").Load(noon)
	if err != nil || k.Settings != nil || len(k.Corruptions) != 1 {
		t.Errorf("kept %+v, damages %v, %v", k.Settings, k.Corruptions, err)
	}
	if dropped, err := Repair(dir, noon); err != nil || len(dropped) != 1 {
		t.Errorf("dropped %v, %v", dropped, err)
	}
	if k, err = New(dir, "s1").Load(noon); err != nil || k.Settings != nil || len(k.Corruptions) != 0 {
		t.Errorf("after the repair %+v, damages %v, %v", k.Settings, k.Corruptions, err)
	}
}

// Guards against settings that end process after process: a crash loop sets them aside with the list.
func TestCrashLoopSetsSettingsAside(t *testing.T) {
	dir := t.TempDir()
	storeSettings(t, dir, orderSettings)
	for i := range crashLoopExits + 1 {
		s := New(dir, "s1")
		if err := s.Lock(); err != nil {
			t.Fatal(err)
		}
		k, err := s.LoadFirst(noon)
		if err = errors.Join(err, s.LoadSettings(&k)); err != nil {
			t.Fatal(err)
		}
		if k = s.Begin(k, noon); (k.Settings == nil) != (i == crashLoopExits) || k.SetAside != (i == crashLoopExits) {
			t.Errorf("start %d: settings %+v, set aside %v", i+1, k.Settings, k.SetAside)
		}
		if err := s.Release(false); err != nil {
			t.Fatal(err)
		}
	}
}
