package fleet

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var seeds = flag.Int("fleet.seeds", 6, "plays of each size of fleet, below 100 half as many of the largest")

// Guards against budgets for cold upstreams that suit one size of fleet, but whose sum over all sidecars is too much in
// another. The fleets have unequal traffic, and few sidecars that each send much, or many that may each send one
// request at once.
func TestColdBudgetsOfFleetsOfEverySize(t *testing.T) {
	for _, size := range []struct{ sidecars, upstreams int }{{2, 10}, {4, 12}, {20, 16}, {30, 20}, {100, 60}, {300, 200}} {
		t.Run(fmt.Sprint(size.sidecars), func(t *testing.T) {
			t.Parallel()
			var cold, breached, falls, inTime, tries int
			var used, allowed, fullest float64
			fails := map[string]int{}
			plays := *seeds
			if size.sidecars >= 300 && plays < 100 {
				plays /= 2 // these runs take as long as all others together
			}
			for seed := range uint64(plays) {
				name, f := newScenarioFleet(t, seed, size.sidecars, size.upstreams)
				result := f.Run(14 * time.Second)
				cold += result.ColdStarts
				used, allowed = used+result.ColdReceived, allowed+result.ColdCapacity
				fullest = max(fullest, result.Fullest.Received/result.Fullest.Limit())
				for _, s := range result.Seconds {
					inTime, tries = inTime+s.InTime, tries+s.Tries
				}
				breaches := 0
				for _, w := range result.Falls {
					if falls++; w.Breach() {
						breaches++
					}
				}
				if breaches > 0 {
					breached++
					fails[name]++
					t.Errorf("seed %d, %s: %d of %d cold upstreams overloaded beyond the limit, want none; first %+v", seed, name, breaches, result.ColdStarts, result.Falls[0])
				}
			}
			t.Logf("%d cold starts, %d falls, %d plays of %d in breach %v; fullest window %.2f of its limit; %.3f of cold capacity unused; %.4f of tries in time",
				cold, falls, breached, plays, fails, fullest, 1-used/allowed, float64(inTime)/float64(tries))
		})
	}
}

// scenarios are the disturbances of a fleet while upstreams start.
var scenarios = []struct {
	name string
	do   func(*Fleet)
}{
	{"clients move", func(f *Fleet) {
		f.Release(3*time.Second, 5*time.Second, 0.6)
		for i := range len(f.sidecars) / 2 {
			f.MoveClients(3*time.Second+time.Duration(f.rng.Float64()*6e9), 2*i, 2*i+1, 0.5+0.5*f.rng.Float64())
		}
	}},
	{"restarts", func(f *Fleet) {
		f.Release(3*time.Second, 5*time.Second, 0.6)
		f.RestartAll(5 * time.Second)
		f.RestartAll(8 * time.Second)
	}},
	{"a zone back", func(f *Fleet) {
		f.LoseZones(2*time.Second, f.plan.Zones[0])
		for i := range f.sidecars {
			if f.rng.IntN(2) == 0 {
				f.At(time.Duration(4e9+f.rng.Float64()*6e9), func() { f.Restart(i) })
			}
		}
	}},
	{"a lull", func(f *Fleet) {
		f.Release(3*time.Second, 4*time.Second, 0.6)
		f.At(4500*ms, func() { f.SetLoad(0.02) })
		f.At(6500*ms, func() { f.SetLoad(f.plan.Load * 1.2) })
	}},
	{"all back", func(f *Fleet) {
		f.LoseZones(2*time.Second, f.plan.Zones...)
		for i := range len(f.sidecars) / 3 {
			f.At(time.Duration(4e9+f.rng.Float64()*4e9), func() { f.Restart(3 * i) })
			f.MoveClients(time.Duration(4e9+f.rng.Float64()*4e9), 3*i, 3*i+1, 0.7)
		}
	}},
	{"sidecars lost", func(f *Fleet) {
		f.Release(3*time.Second, 5*time.Second, 0.6)
		for i := range len(f.sidecars) / 2 {
			f.MoveClients(time.Duration(4e9+f.rng.Float64()*1e9), 2*i, 2*i+1, 1)
		}
		f.At(5*time.Second, func() {
			for i := range len(f.sidecars) / 2 {
				f.Restart(2*i + 1)
			}
		})
	}},
}

// newScenarioFleet returns a run of the given size. Its seed selects the disturbance, the settings of one of two sites, and
// whether sidecars learn of changes early or late.
func newScenarioFleet(t *testing.T, seed uint64, sidecars, upstreams int) (string, *Fleet) {
	t.Helper()
	p := LargePlan(seed)
	p.Sidecars, p.Upstreams, p.Load = sidecars, upstreams, 0.8
	trouble := scenarios[seed%uint64(len(scenarios))]
	round := seed / uint64(len(scenarios))
	if round%2 == 1 {
		p.Rule = Rule{ColdFrom: 0.13, WarmUp: 24 * time.Second, Multiple: 3, Window: 3 * time.Second}
		p.Zones, p.Work, p.CrossZone = p.Zones[:3], 60*ms, 2*ms
		s := &p.Settings
		s.SlowStartCapacity, s.SlowStartWindow, s.OverloadMultiple, s.OverloadDuration, s.CrossZoneCost = 0.13, p.Rule.WarmUp, 3, p.Rule.Window, 0
		for i := range s.Classes {
			s.Classes[i].LatencyObjective = 400 * ms
		}
	}
	name := fmt.Sprintf("%s, multiple %.0f", trouble.name, p.Rule.Multiple)
	if round/2%2 == 1 {
		p.NoticeDelay = [2]time.Duration{200 * ms, 4 * time.Second}
		name += ", told late"
	}
	f, err := New(p)
	if err != nil {
		t.Fatal(err)
	}
	trouble.do(f)
	return name, f
}
