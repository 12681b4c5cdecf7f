package statestore

import (
	"encoding/json"
	"fmt"
	"time"

	"mosslead/internal/registry/api"
)

// Settings holds the settings document of the sidecar's service that was last in force. It is preferred to the settings of
// the configuration file at any age, since the list service sends the changes made since then.
type Settings struct {
	SavedMs  int64            `json:"SavedMs"`
	Service  string           `json:"Service"`
	Document api.Document     `json:"Document"` // Revision is 0 if none was in force yet
	Seen     map[string]int64 `json:"Seen"`     // highest revision received, by the region that owns it
}

// LoadSettings reads the settings into the result of LoadFirst, for a sidecar that follows the settings of its service. The
// caller decides whether they are usable.
func (s *Store) LoadSettings(l *Loaded) error {
	if l.SetAside || l.foreign {
		return nil
	}
	text, err := read(s.settings, l)
	if err != nil {
		return err
	}
	var settings Settings
	if decode(l, text, &settings) {
		l.Settings = &settings
	}
	return nil
}

// WriteSettings stores the settings.
func (s *Store) WriteSettings(settings Settings, now time.Time) error {
	settings.SavedMs = now.UnixMilli()
	text, err := json.Marshal(settings)
	if err != nil {
		return fmt.Errorf("encoding the settings: %w", err)
	}
	return s.settings.Write(text)
}

// SettingsSummary describes the stored settings of a service.
type SettingsSummary struct {
	Service string  `json:"service"`
	Region  string  `json:"region,omitempty"`
	Version int64   `json:"version"` // 0 if none was in force
	Deleted bool    `json:"deleted,omitempty"`
	AgeS    float64 `json:"age_s"`
}

func (l *Loaded) settingsSummary(now time.Time) *SettingsSummary {
	if l.Settings == nil {
		return nil
	}
	document := l.Settings.Document
	return &SettingsSummary{Service: l.Settings.Service, Region: document.Region, Version: document.Revision, Deleted: document.Deleted,
		AgeS: now.Sub(time.UnixMilli(l.Settings.SavedMs)).Seconds()}
}
