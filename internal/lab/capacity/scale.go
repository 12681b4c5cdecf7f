package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

// ScaleResult holds the parts of a scale run's result that are used here: the counts, and what each role spent on each day.
type ScaleResult struct {
	Hollow   int     `json:"hollow"`
	Real     int     `json:"real"`
	Replicas int     `json:"replicas"`
	LeaseS   float64 `json:"lease_s"`
	LengthS  float64 `json:"length_s"`
	Revision string  `json:"revision"`
	Plays    []struct {
		Day    string `json:"day"`
		Seed   uint64 `json:"seed"`
		Held   bool   `json:"held"`
		Error  string `json:"error"`
		Delays []struct {
			Cause   string  `json:"cause"`
			Counted float64 `json:"counted"`
			P50Ms   float64 `json:"p50_ms"`
			P99Ms   float64 `json:"p99_ms"`
			MostMs  float64 `json:"most_ms"`
		} `json:"delays"`
		Roles []struct {
			Role   string  `json:"role"`
			BytesS float64 `json:"bytes_s"`
			KB     float64 `json:"kb"`
			CPU    float64 `json:"cpu"`
		} `json:"roles"`
	} `json:"plays"`
}

// scaleSeries are the series that are taken from the scale run's roles.
var scaleSeries = []Series{
	{Name: "hollow_bytes", Unit: "bytes/s", Form: "sidecars"}, {Name: "real_bytes", Unit: "bytes/s", Form: "sidecars"}, {Name: "real_mb", Unit: "MB", Form: "sidecars"},
	{Name: "leading_replica_cpu", Unit: "of a core", Form: "sidecars"}, {Name: "leading_replica_mb", Unit: "MB", Form: "sidecars"},
	{Name: "replica_cpu", Unit: "of a core", Form: "sidecars"}, {Name: "replica_mb", Unit: "MB", Form: "sidecars"},
}

// scaleSamples returns a day's samples from results of the scale run, one for each time that the day was run.
func scaleSamples(day string, results [][]byte) (all []Sample, revision string, err error) {
	for i, result := range results {
		var r ScaleResult
		if err := json.Unmarshal(result, &r); err != nil {
			return nil, "", fmt.Errorf("result %d: %w", i+1, err)
		}
		revision = r.Revision
		found := false
		for _, p := range r.Plays {
			if p.Day != day {
				continue
			}
			if p.Error != "" {
				return nil, "", fmt.Errorf("result %d: %s was not played to its end: %s", i+1, day, p.Error)
			}
			found = true
			s := Sample{Sizes: map[string]float64{"sidecars": float64(r.Hollow + r.Real)},
				Got: map[string]float64{"seed": float64(p.Seed), "lease_s": r.LeaseS, "replicas": float64(r.Replicas), "length_s": r.LengthS}}
			for _, role := range p.Roles {
				name := strings.ReplaceAll(role.Role, " ", "_")
				s.Got[name+"_bytes"], s.Got[name+"_mb"], s.Got[name+"_cpu"] = role.BytesS, role.KB/1024, role.CPU
			}
			for _, d := range p.Delays {
				name := strings.ReplaceAll(d.Cause, " ", "_")
				s.Got[name+"_p50_ms"], s.Got[name+"_p99_ms"], s.Got[name+"_most_ms"] = d.P50Ms, d.P99Ms, d.MostMs
			}
			all = append(all, s)
		}
		if !found {
			return nil, "", fmt.Errorf("result %d has no day %q", i+1, day)
		}
	}
	return all, revision, nil
}

// FromScale makes the measure scale-DAY from several results of the scale run, with a prediction for predict sidecars.
func FromScale(day string, results [][]byte, predict float64) (*Measure, error) {
	m := &Measure{Name: "scale-" + day, Question: "What do sidecars and the list service spend on the scale run's day " + day + "?",
		Machine: "as in the results",
		How: "hollow sidecars beside twelve real ones before one quorum; each role on the mean: bytes both ways between a sidecar and the list service without the kernel's headers, resident memory and processor time by the kernel's counts. " +
			"Hollow ones share a process",
		Series: scaleSeries}
	var err error
	if m.Samples, m.Revision, err = scaleSamples(day, results); err != nil {
		return nil, err
	}
	got := m.Samples[0].Got
	m.Command = fmt.Sprintf("mosslead lab scale --hollow N --days %s --length %vs --lease %vs --compare=false -o json; mosslead lab capacity take %[1]s", day, got["length_s"], got["lease_s"])
	if m.Revision == "" {
		return nil, errors.New("a result without a revision")
	}
	return m, m.Predict(map[string]float64{"sidecars": predict}, m.Revision)
}

// CheckScale takes the results of the scale run at the predicted size as the measure's checks.
func (m *Measure) CheckScale(day string, results [][]byte) (err error) {
	m.Checks, _, err = scaleSamples(day, results)
	if err != nil {
		return err
	}
	return m.check()
}
