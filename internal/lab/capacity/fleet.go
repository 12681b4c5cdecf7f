// Package capacity calculates what a fleet demands of each role: from the fleet's figures and from measures at smaller sizes it
// derives each role's load, its budget and the mechanism that carries it. It runs nothing and reads no clock.
package capacity

import (
	"fmt"
	"os"
	"reflect"

	"mosslead/internal/tomlconfig"
)

// Figure is one number of a fleet, and its source.
type Figure struct {
	Value float64 `toml:"value" json:"value"`
	From  string  `toml:"from" json:"from"`
}

// Fleet holds the figures that the operators gave, and the figures that are assumed in addition.
type Fleet struct {
	Question  string    `toml:"question" json:"question"`
	Operators Operators `toml:"operators" json:"operators"`
	Assumed   Assumed   `toml:"assumed" json:"assumed"`
}

// Operators holds the figures that the operators gave.
type Operators struct {
	Upstreams        Figure `toml:"upstreams" json:"upstreams"`
	Services         Figure `toml:"services" json:"services"`
	CallsPerS        Figure `toml:"calls_per_s" json:"calls_per_s"`
	Depth            Figure `toml:"depth" json:"depth"`
	AddedMs          Figure `toml:"added_ms" json:"added_ms"`
	Regions          Figure `toml:"regions" json:"regions"`
	Zones            Figure `toml:"zones" json:"zones"`
	SettingsPerDay   Figure `toml:"settings_per_day" json:"settings_per_day"`
	SettingsWithinS  Figure `toml:"settings_within_s" json:"settings_within_s"`
	SidecarCoreShare Figure `toml:"sidecar_core_share" json:"sidecar_core_share"`
	SidecarMemoryMB  Figure `toml:"sidecar_memory_mb" json:"sidecar_memory_mb"`
	SidecarBytesPerS Figure `toml:"sidecar_bytes_per_s" json:"sidecar_bytes_per_s"`
	ControlMachines  Figure `toml:"control_machines" json:"control_machines"`
	FailuresPerDay   Figure `toml:"failures_per_day" json:"failures_per_day"`
	RestartsPerDay   Figure `toml:"restarts_per_day" json:"restarts_per_day"`
	RacksPerYear     Figure `toml:"racks_per_year" json:"racks_per_year"`
	ZonesPerYear     Figure `toml:"zones_per_year" json:"zones_per_year"`
	CutsPerYear      Figure `toml:"cuts_per_year" json:"cuts_per_year"`
	CutMinutes       Figure `toml:"cut_minutes" json:"cut_minutes"`
}

// Assumed holds the figures that nobody gave, or that the program sets itself.
type Assumed struct {
	ServicesCalled       Figure `toml:"services_called" json:"services_called"`
	ServicesCalledMost   Figure `toml:"services_called_most" json:"services_called_most"`
	ServiceUpstreamsMost Figure `toml:"service_upstreams_most" json:"service_upstreams_most"`
	BusiestOverMean      Figure `toml:"busiest_over_mean" json:"busiest_over_mean"`
	PeakOverMean         Figure `toml:"peak_over_mean" json:"peak_over_mean"`
	ReleasesPerDay       Figure `toml:"releases_per_day" json:"releases_per_day"`
	ChangesPerRestart    Figure `toml:"changes_per_restart" json:"changes_per_restart"`
	ChangesPerFailure    Figure `toml:"changes_per_failure" json:"changes_per_failure"`
	SettingsWave         Figure `toml:"settings_wave" json:"settings_wave"`
	SettingsBytes        Figure `toml:"settings_bytes" json:"settings_bytes"`
	RackMachines         Figure `toml:"rack_machines" json:"rack_machines"`
	LeaseS               Figure `toml:"lease_s" json:"lease_s"`
	RenewalsPerLease     Figure `toml:"renewals_per_lease" json:"renewals_per_lease"`
	LearntEveryS         Figure `toml:"learnt_every_s" json:"learnt_every_s"`
	CallDeadlineMs       Figure `toml:"call_deadline_ms" json:"call_deadline_ms"`
	CallWorkMs           Figure `toml:"call_work_ms" json:"call_work_ms"`
	FailingShare         Figure `toml:"failing_share" json:"failing_share"`
	SlowShare            Figure `toml:"slow_share" json:"slow_share"`
	AttemptsMost         Figure `toml:"attempts_most" json:"attempts_most"`
	RetryRatio           Figure `toml:"retry_ratio" json:"retry_ratio"`
	AckEveryS            Figure `toml:"ack_every_s" json:"ack_every_s"`
	PreserveShare        Figure `toml:"preserve_share" json:"preserve_share"`
	ControlCores         Figure `toml:"control_cores" json:"control_cores"`
	ControlMemoryMB      Figure `toml:"control_memory_mb" json:"control_memory_mb"`
	ControlBytesPerS     Figure `toml:"control_bytes_per_s" json:"control_bytes_per_s"`
	StateDiskMB          Figure `toml:"state_disk_mb" json:"state_disk_mb"`
	StateWritesPerS      Figure `toml:"state_writes_per_s" json:"state_writes_per_s"`
}

// LoadFleet reads a fleet from a file. Errors name the file, the line and the key.
func LoadFleet(path string) (*Fleet, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the fleet: %w", err)
	}
	f, err := ParseFleet(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// ParseFleet parses a fleet. Every figure must be there, with its source.
func ParseFleet(text []byte) (*Fleet, error) {
	f := &Fleet{}
	if err := tomlconfig.TOML(text, f); err != nil {
		return nil, err
	}
	for _, x := range f.Figures() {
		switch {
		case x.Name == "assumed.failing_share" && x.Value == 0: // 0 is allowed: a fleet may have no failures
		case !(x.Value > 0 && x.Value <= 1e12):
			return nil, fmt.Errorf("%s: %v is not above 0 and at most 1e12", x.Name, x.Value)
		}
		if x.From == "" {
			return nil, fmt.Errorf("%s: from is missing: the source of the figure", x.Name)
		}
	}
	for _, whole := range []struct {
		name string
		Figure
		over Figure
	}{{"operators.services", f.Operators.Services, f.Operators.Upstreams}, {"operators.zones", f.Operators.Zones, f.Operators.Upstreams},
		{"operators.regions", f.Operators.Regions, f.Operators.Zones}} {
		if whole.Value < 1 || whole.Value > whole.over.Value {
			return nil, fmt.Errorf("%s: %v is not between 1 and %v", whole.name, whole.Value, whole.over.Value)
		}
	}
	return f, nil
}

// Named is a figure with its key.
type Named struct {
	Name string `json:"name"`
	Figure
}

// Figures returns all figures in the order of the struct fields.
func (f *Fleet) Figures() (all []Named) {
	for _, part := range []struct {
		name string
		of   any
	}{{"operators", f.Operators}, {"assumed", f.Assumed}} {
		v := reflect.ValueOf(part.of)
		for i := range v.NumField() {
			all = append(all, Named{part.name + "." + v.Type().Field(i).Tag.Get("toml"), v.Field(i).Interface().(Figure)})
		}
	}
	return all
}
