package statestore

import (
	"encoding/json"
	"fmt"
	"time"

	"mosslead/internal/registry/api"
)

// Settings is the document with the settings of the sidecar's service that was last in force. However old it
// is, it is better than the file's settings: the list service sends what has changed since.
type Settings struct {
	SavedMs  int64            `json:"SavedMs"`
	Service  string           `json:"Service"`
	Document api.Document     `json:"Document"` // Revision 0: none was in force yet
	Seen     map[string]int64 `json:"Seen"`     // highest revision received, by the region that owns it
}

// LoadSettings reads the settings into what LoadFirst has returned, for a sidecar that follows those of its
// service. Whether they are usable is up to the reader of settings.
func (s *Store) LoadSettings(k *Loaded) error {
	if k.SetAside || k.foreign {
		return nil
	}
	text, err := read(s.settings, k)
	if err != nil {
		return err
	}
	var loaded Settings
	if decode(k, text, &loaded) {
		k.Settings = &loaded
	}
	return nil
}

// WriteSettings stores the settings.
func (s *Store) WriteSettings(loaded Settings, now time.Time) error {
	loaded.SavedMs = now.UnixMilli()
	text, err := json.Marshal(loaded)
	if err != nil {
		return fmt.Errorf("wording the settings: %w", err)
	}
	return s.settings.Write(text)
}

// SettingsSummary describes the stored settings of a service.
type SettingsSummary struct {
	Service string  `json:"service"`
	Region  string  `json:"region,omitempty"`
	Version int64   `json:"version"` // 0: none was in force
	Deleted bool    `json:"deleted,omitempty"`
	AgeS    float64 `json:"age_s"`
}

func (k *Loaded) settingsSummary(now time.Time) *SettingsSummary {
	if k.Settings == nil {
		return nil
	}
	d := k.Settings.Document
	return &SettingsSummary{Service: k.Settings.Service, Region: d.Region, Version: d.Revision, Deleted: d.Deleted,
		AgeS: now.Sub(time.UnixMilli(k.Settings.SavedMs)).Seconds()}
}
