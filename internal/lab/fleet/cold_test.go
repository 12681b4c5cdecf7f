package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	"mosslead/balancer"
	"mosslead/internal/lab/model"
)

const ms = time.Millisecond

// site is 300 sidecars with unequal traffic before 160 upstreams in four zones, as in service.
func site(seed uint64) Plan {
	rng := rand.New(rand.NewPCG(seed, 1))
	p := Plan{
		Seed: seed, Sidecars: 300, Upstreams: 160, Zones: []string{"a", "b", "c", "d"},
		Load: 0.85, Work: 130 * ms, Retries: 1, Backoff: 100 * ms, Same: ms / 2, Cross: 8 * ms,
		Notice: [2]time.Duration{600 * ms, 1500 * ms},
		Rule:   Rule{ColdFrom: 0.3, WarmUp: 8800 * ms, Multiple: 4, For: time.Second},
		Settings: balancer.Settings{MaxAttempts: 6, Cancelling: true, Tick: 5 * ms, ConnectTimeout: 200 * ms,
			PriceCrossZone: 0.1, ColdFrom: 0.3, WarmUp: 8800 * ms, FallMultiple: 4, FallTime: time.Second,
			Classes: []balancer.Class{
				{Name: "read", Aim: 750 * ms, Deadline: 4 * time.Second, Worth: 2, LateShare: 0.25},
				{Name: "order", Aim: 750 * ms, Deadline: 3 * time.Second, Worth: 3, LateShare: 0.5, Effect: balancer.Unsafe}}},
	}
	for range p.Sidecars {
		p.Shares = append(p.Shares, 0.2+rng.ExpFloat64()) // a few several times the mean
	}
	for i := range 15 {
		k := model.Spec{Cores: 3 + i%2, Speed: 0.75 + 0.2*float64(i%2), SlotsPerCore: 8, QueuePerCore: 30, Thrash: 0.08, ThrashAt: 6}
		k.Speed *= max(0.5, 1+0.2*rng.NormFloat64())
		p.Kinds = append(p.Kinds, k)
	}
	return p
}

func TestLook(t *testing.T) {
	for _, cv := range []float64{0, 2} {
		for seed := range uint64(2) {
			for name, d := range days {
				p := site(seed)
				p.CV = cv
				begin := time.Now()
				f, err := New(p)
				if err != nil {
					t.Fatal(err)
				}
				d(f)
				seen := f.Run(16 * time.Second)
				t.Logf("%s seed %d cv %v: %v took, %d cold, %d falls, fullest %+v limit %.1f", name, seed, cv, time.Since(begin), seen.Cold, len(seen.Falls), seen.Fullest, seen.Fullest.Limit())
				for i, w := range seen.Falls {
					if i < 5 {
						t.Logf("   fall %+v limit %.1f", w, w.Limit())
					}
				}
				for i, s := range seen.Seconds {
					t.Logf("   %d: %+v", i, s)
				}
			}
		}
	}
}

// replaced: six in ten upstreams within 7 s.
func replaced(f *Fleet) {
	for i := range 96 {
		f.At(4*time.Second+time.Duration(i)*7*time.Second/96, func() { f.Replace(i*5/3, time.Second, 500*ms) })
	}
}

var days = map[string]func(f *Fleet){
	"replaced": replaced,
	"restarted": func(f *Fleet) {
		replaced(f)
		for i := range 300 {
			f.At(8*time.Second+time.Duration(i)*time.Second/300, func() { f.Restart(i) })
		}
	},
	"zone": func(f *Fleet) {
		f.At(3*time.Second, func() {
			for i := 0; i < 160; i += 4 {
				f.Lose(i, 5*time.Second+time.Duration(i)*10*ms, true)
			}
		})
	},
	"zoneheld": func(f *Fleet) {
		f.At(3*time.Second, func() {
			for i := 0; i < 160; i += 4 {
				f.Lose(i, 5*time.Second+time.Duration(i)*10*ms, false)
			}
		})
	},
}
