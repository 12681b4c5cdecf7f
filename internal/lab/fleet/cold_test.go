package fleet

import (
	"reflect"
	"testing"
	"time"
)

// Guards against cold upstreams that the whole fleet together overloads. Budgets once were a share of the capacity of
// the upstreams listed at that moment, so the first upstreams of a zone to come back were sent all of the zone's work.
func TestNoColdUpstreamIsPushedOver(t *testing.T) {
	release := func(f *Fleet) { f.Release(3*time.Second, 7*time.Second, 0.6) }
	for name, c := range map[string]struct {
		do    func(*Fleet)
		plan  func(*Plan)
		falls bool // upstreams must fall here, because of a planted error
	}{
		"release":                 {do: release},
		"release, told late":      {do: release, plan: func(p *Plan) { p.NoticeDelay = [2]time.Duration{200 * ms, 4 * time.Second} }},
		"release, all restarted":  {do: func(f *Fleet) { release(f); f.RestartAll(7 * time.Second) }},
		"zone back, restarted":    {do: func(f *Fleet) { f.LoseZones(2*time.Second, "a"); f.RestartAll(4 * time.Second) }, plan: func(p *Plan) { p.Load = 0.6 }},
		"all back":                {do: func(f *Fleet) { f.LoseZones(2*time.Second, f.plan.Zones...) }, plan: func(p *Plan) { p.Sidecars, p.Upstreams = 100, 40 }},
		"all back, none believed": {do: func(f *Fleet) { f.LoseZones(2*time.Second, f.plan.Zones...) }, plan: func(p *Plan) { p.Sidecars, p.Upstreams, p.Settings.OverloadMultiple = 100, 40, 60 }, falls: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := LargePlan(1)
			if c.plan != nil {
				c.plan(&p)
			}
			f, err := New(p)
			if err != nil {
				t.Fatal(err)
			}
			c.do(f)
			result := f.Run(12 * time.Second)
			breaches := 0
			for _, w := range result.Falls {
				if w.Breach() {
					breaches++
				}
			}
			t.Logf("%d cold starts, fullest window %+v of %.1f", result.ColdStarts, result.Fullest, result.Fullest.Limit())
			if (breaches > 0) != c.falls || result.ColdStarts < 30 {
				t.Errorf("got %d cold starts, want at least 30; %d upstreams overloaded beyond the limit, want some: %v; first of %d falls: %+v", result.ColdStarts, breaches, c.falls, len(result.Falls), result.Falls[:min(1, len(result.Falls))])
			}
		})
	}
}

// Guards against runs that can't be repeated: the same plan and seed must give the same result.
func TestSameSeedSamePlay(t *testing.T) {
	play := func() Result {
		p := LargePlan(3)
		p.Sidecars, p.Upstreams, p.CV = 40, 24, 1.5
		f, err := New(p)
		if err != nil {
			t.Fatal(err)
		}
		f.Release(3*time.Second, 7*time.Second, 0.6)
		f.RestartAll(5 * time.Second)
		return f.Run(10 * time.Second)
	}
	if a, b := play(), play(); !reflect.DeepEqual(a, b) || len(a.Seconds) < 10 || a.Seconds[9].InTime == 0 {
		t.Errorf("the two runs differ, are shorter than 10 s or served nothing in second 9:\n%+v\n%+v", a, b)
	}
}
