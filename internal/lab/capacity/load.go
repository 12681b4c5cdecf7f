package capacity

import "math"

// Quantity is one part of the load, calculated from the fleet's figures.
type Quantity struct {
	Name  string  `json:"name"`
	What  string  `json:"what"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	How   string  `json:"how"` // formula, in the names of figures and of earlier quantities
}

// Load is the load that follows from the fleet's figures.
type Load struct {
	CallsMean, CallsBusiest, CallsPeak                      float64 // per second, at one sidecar
	PerService, Called, CalledMost                          float64 // upstreams
	ZoneSidecars, RegionSidecars, MachineWatchers           float64
	RegionMachines, MachineWatchersLess                     float64
	Renewals, RegionRenewals                                float64 // per second
	ListChanges, ListPerS                                   float64 // per day, and per second
	SettingsPerS, SettingsTaken, WavePerS, WaveTaken        float64
	RackChanges, ZoneChanges, ReleaseChanges                float64 // changes of the list
	CutList, CutSettings                                    float64 // changes on all sides during a cut
	ZoneOfRegion                                            float64 // share of a region's leases
	ChainAddedMs, ChainSlow, ChainFailing, ChainRetries     float64
	ChainRetriesUnbounded, ChainWorkMs, ChainDeadlineLeftMs float64
	Duties                                                  float64 // number of duties that always have a holder: two in each zone, the digest and the incidents

	Quantities []Quantity
}

// Work calculates the load.
func (f *Fleet) Work() (l Load) {
	o, a := f.Operators, f.Assumed
	add := func(dst *float64, name, what, unit, how string, value float64) {
		*dst = value
		l.Quantities = append(l.Quantities, Quantity{name, what, value, unit, how})
	}
	n := o.Upstreams.Value
	add(&l.CallsMean, "calls_mean", "calls at a sidecar, the mean", "calls/s", "calls_per_s / upstreams", o.CallsPerS.Value/n)
	add(&l.CallsBusiest, "calls_busiest", "calls at the busiest sidecar", "calls/s", "calls_mean x busiest_over_mean", l.CallsMean*a.BusiestOverMean.Value)
	add(&l.CallsPeak, "calls_peak", "calls at the busiest sidecar in the day's peak", "calls/s", "calls_busiest x peak_over_mean", l.CallsBusiest*a.PeakOverMean.Value)
	add(&l.PerService, "per_service", "upstreams of a service, the mean", "upstreams", "upstreams / services", n/o.Services.Value)
	add(&l.Called, "called", "upstreams that a sidecar calls, the mean", "upstreams", "services_called x per_service", a.ServicesCalled.Value*l.PerService)
	add(&l.CalledMost, "called_most", "upstreams that one at the edge calls", "upstreams", "services_called_most x per_service", a.ServicesCalledMost.Value*l.PerService)
	add(&l.ZoneSidecars, "zone_sidecars", "sidecars of a zone", "sidecars", "upstreams / zones", n/o.Zones.Value)
	add(&l.RegionSidecars, "region_sidecars", "sidecars, and so watchers and leases, of a region", "sidecars", "upstreams / regions", n/o.Regions.Value)
	add(&l.MachineWatchers, "machine_watchers", "watchers of one control machine, spread evenly", "watchers", "upstreams / control_machines", n/o.ControlMachines.Value)
	add(&l.RegionMachines, "region_machines", "control machines of a region, the least: one in each zone, three or four zones", "machines", "floor(control_machines / regions)", math.Floor(o.ControlMachines.Value/o.Regions.Value))
	add(&l.MachineWatchersLess, "machine_watchers_less", "watchers of a machine in such a region while one of its machines is gone", "watchers", "region_sidecars / (region_machines - 1)", l.RegionSidecars/max(1, l.RegionMachines-1))
	add(&l.Renewals, "renewals", "renewals of leases", "calls/s", "upstreams x renewals_per_lease / lease_s", n*a.RenewalsPerLease.Value/a.LeaseS.Value)
	add(&l.RegionRenewals, "region_renewals", "renewals in one region", "calls/s", "renewals / regions", l.Renewals/o.Regions.Value)
	add(&l.ListChanges, "list_changes", "changes of the list", "a day", "restarts_per_day x changes_per_restart + failures_per_day x changes_per_failure + releases_per_day x per_service x changes_per_restart",
		o.RestartsPerDay.Value*a.ChangesPerRestart.Value+o.FailuresPerDay.Value*a.ChangesPerFailure.Value+a.ReleasesPerDay.Value*l.PerService*a.ChangesPerRestart.Value)
	add(&l.ListPerS, "list_per_s", "changes of the list, the mean", "changes/s", "list_changes / 86400", l.ListChanges/86400)
	add(&l.ReleaseChanges, "release_changes", "changes of the list by a release of the largest service", "changes", "service_upstreams_most x changes_per_restart", a.ServiceUpstreamsMost.Value*a.ChangesPerRestart.Value)
	add(&l.RackChanges, "rack_changes", "changes of the list when a rack goes and comes back", "changes", "rack_machines x changes_per_failure", a.RackMachines.Value*a.ChangesPerFailure.Value)
	add(&l.ZoneChanges, "zone_changes", "the same for a zone", "changes", "zone_sidecars x changes_per_failure", l.ZoneSidecars*a.ChangesPerFailure.Value)
	add(&l.ZoneOfRegion, "zone_of_region", "share of a region's leases that one zone holds", "of leases", "zone_sidecars / region_sidecars", l.ZoneSidecars/l.RegionSidecars)
	add(&l.SettingsPerS, "settings_per_s", "changes of settings, the mean", "changes/s", "settings_per_day / 86400", o.SettingsPerDay.Value/86400)
	add(&l.SettingsTaken, "settings_taken", "sidecars that take in a change of settings", "a day", "settings_per_day x per_service", o.SettingsPerDay.Value*l.PerService)
	add(&l.WavePerS, "wave_per_s", "changes of settings in the worst minute", "changes/s", "settings_wave / 60", a.SettingsWave.Value/60)
	add(&l.WaveTaken, "wave_taken", "sidecars that take one in within that minute, each service a large one", "sidecars", "min(settings_wave x service_upstreams_most, upstreams)", min(a.SettingsWave.Value*a.ServiceUpstreamsMost.Value, n))
	add(&l.CutList, "cut_list", "changes of the list on all sides of a cut, an ordinary hour", "changes", "list_per_s x cut_minutes x 60", l.ListPerS*o.CutMinutes.Value*60)
	add(&l.CutSettings, "cut_settings", "changes of settings on all sides of a cut", "changes", "settings_per_s x cut_minutes x 60", l.SettingsPerS*o.CutMinutes.Value*60)
	add(&l.ChainAddedMs, "chain_added", "added to a row of calls if each adds what 99 in 100 may", "ms", "depth x added_ms", o.Depth.Value*o.AddedMs.Value)
	add(&l.ChainWorkMs, "chain_work", "own work of a row of calls", "ms", "depth x call_work_ms", o.Depth.Value*a.CallWorkMs.Value)
	add(&l.ChainDeadlineLeftMs, "chain_left", "left of the first call's deadline at the last of the row", "ms", "call_deadline_ms - chain_work - chain_added", a.CallDeadlineMs.Value-l.ChainWorkMs-l.ChainAddedMs)
	add(&l.ChainSlow, "chain_slow", "rows of calls that meet a slow sidecar", "of rows", "1 - (1 - slow_share)^depth", 1-math.Pow(1-a.SlowShare.Value, o.Depth.Value))
	add(&l.ChainFailing, "chain_failing", "rows of calls in which a first attempt fails", "of rows", "1 - (1 - failing_share)^depth", 1-math.Pow(1-a.FailingShare.Value, o.Depth.Value))
	add(&l.ChainRetries, "chain_retries", "attempts at the last of a row for one call at its head, if all fail there and each sidecar spends its budget of further attempts", "times", "(1 + retry_ratio)^depth", math.Pow(1+a.RetryRatio.Value, o.Depth.Value))
	add(&l.ChainRetriesUnbounded, "chain_unbounded", "the same without that budget", "times", "attempts_most^depth", math.Pow(a.AttemptsMost.Value, o.Depth.Value))
	add(&l.Duties, "duties", "duties that stand: the digest and the incidents of each zone", "duties", "2 x zones", 2*o.Zones.Value)
	return l
}
