package balancer

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Guards against a upstream in slow start pushed over by many sidecars that each keep to their part. Demand is the worst there
// is: whatever a budget allows is sent at once. 300 sidecars of unequal traffic, 160 upstreams in four zones, six in ten
// of them cold, a quarter of these small; with the rule's windows counted over all sidecars. See docs/ARCHITECTURE.md,
// "Cold upstreams".
func TestSlowStartOfAllSidecarsTogether(t *testing.T) {
	cases := map[string]slowStartScenario{
		"all told":                    {informedFraction: 1},
		"half told":                   {informedFraction: 0.5},
		"all restarted":               {informedFraction: 1, allRestart: true},
		"in bursts":                   {informedFraction: 1, bursts: true},
		"twice the part":              {informedFraction: 1, misconfigure: func(s *Settings) { s.OverloadMultiple *= 2 }},
		"buckets too deep":            {informedFraction: 1, bursts: true, misconfigure: func(s *Settings) { s.OverloadDuration *= 30 }},
		"after a lull, few upstreams": {informedFraction: 1, bursts: true, restartLater: true, clientsMove: true, upstreams: 40},
	}
	for _, size := range [][2]int{{2, 10}, {4, 12}, {20, 16}, {30, 20}, {100, 60}} {
		d := slowStartScenario{informedFraction: 1, restartLater: true, clientsMove: true, sidecars: size[0], upstreams: size[1]}
		cases[fmt.Sprint(size[0], " sidecars")] = d
		d.bursts, d.restartLater, d.costlyCrossing = true, false, true
		cases[fmt.Sprint(size[0], " sidecars, in bursts")] = d
		d.slowWarmUp, d.bursts, d.unequalZones = true, false, true
		cases[fmt.Sprint(size[0], " sidecars, another site")] = d
	}
	for name, d := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got, where := d.maxLoad(t, 0)
			t.Logf("%.2f of the limit at most: %s", got, where)
			if (got > 1) != (d.misconfigure != nil) {
				t.Errorf("%.2f of the limit: %s; planted: %v", got, where, d.misconfigure != nil)
			}
		})
	}
}

// slowStartScenario is for upstreams in slow start, and without end.
type slowStartScenario struct {
	informedFraction float64         // share of the sidecars that know of a start at once, the others later
	allRestart       bool            // all processes begin within a second of the starts, and know no rate
	restartLater     bool            // and half of them anew at some moment later
	clientsMove      bool            // half of them hand their clients to others meanwhile
	unequalZones     bool            // the first zone's sidecars have twice the traffic of others
	bursts           bool            // one second in three; buckets fill meanwhile
	misconfigure     func(*Settings) // what sidecars are told wrongly
	sidecars         int             // 0: 300, and 160 upstreams
	upstreams        int
	costlyCrossing   bool // crossings are: work stays at home where it can
	slowWarmUp       bool // another site's settings: a lower multiple over a longer time, a longer warm-up
}

// maxLoad gives the most that a upstream in slow start got in a window, as a share of its limit, and which.
func (d slowStartScenario) maxLoad(t *testing.T, seed uint64) (limit float64, where string) {
	const (
		capacity, small     = 24.0, 15.0 // requests of mean work a second, when warm
		tick, length, delay = 100 * ms, 10 * time.Second, 4 * time.Second
	)
	sidecars, upstreams, zones := cmp.Or(d.sidecars, 300), cmp.Or(d.upstreams, 160), 4
	warming := upstreams * 6 / 10
	rng := rand.New(rand.NewPCG(seed, 7))
	s := testSettings()
	s.FleetSize, s.SlowStartCapacity, s.SlowStartWindow, s.OverloadMultiple, s.OverloadDuration = sidecars, 0.3, 8800*ms, 4, time.Second
	if d.slowWarmUp {
		s.SlowStartCapacity, s.SlowStartWindow, s.OverloadMultiple, s.OverloadDuration = 0.13, 24*time.Second, 3, 3*time.Second
		s.Classes[0].LatencyObjective = 400 * ms
		zones = 3
	}
	rule := s
	if d.misconfigure != nil {
		d.misconfigure(&s)
	}
	can := func(i int) float64 {
		if i%zones == i/zones%4 { // in each zone alike
			return small
		}
		return capacity
	}
	total := 0.0
	var list, new []Endpoint
	for i := range upstreams {
		total += can(i)
		m := Endpoint{Upstream: fmt.Sprint(i), Zone: string(rune('a' + i%zones))}
		if list = append(list, m); i < warming {
			m.StartedAt = time.Minute + time.Duration(rng.Float64()*3e9)
			new = append(new, m)
		}
	}
	type sidecar struct {
		*Balancer
		rate      float64 // requests a second
		from      time.Duration
		restart   time.Duration // 0: never
		restarted bool
		begun     time.Duration
		move      time.Duration // when its clients go to the next sidecar, 0: never
	}
	fresh := func(i, incarnation int) *Balancer {
		s.Zone = string(rune('a' + i%zones))
		b, err := New(s, seed<<32+uint64(i)+uint64(incarnation)<<16)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	sometime := func(p bool) time.Duration {
		if !p || rng.IntN(2) == 0 {
			return 0
		}
		return time.Minute + time.Duration(rng.Float64()*float64(length))/tick*tick
	}
	var all []*sidecar
	for i := range sidecars {
		b := fresh(i, 0)
		x := &sidecar{b, 0.2 + 0.8*rng.ExpFloat64(), time.Minute, sometime(d.restartLater), d.allRestart, 0, sometime(d.clientsMove)}
		if d.unequalZones && i%zones == 0 {
			x.rate *= 2
		}
		before := time.Duration(40 * time.Second)
		if d.allRestart {
			before = -time.Duration(rng.Float64() * 1e9)
		}
		x.Handle(time.Minute-before, EndpointUpdate{Kind: FullState, Endpoints: list}, nil)
		x.begun = time.Minute - before
		if float64(i) >= d.informedFraction*float64(sidecars) {
			x.from += delay
		}
		all = append(all, x)
	}
	complete := 0.0
	for _, x := range all {
		complete += x.rate
	}
	for _, x := range all {
		x.rate *= 0.85 * total / complete
		for at := x.begun; at < time.Minute; at += tick {
			x.admission.offered.add(x.rate*tick.Seconds(), at)
		}
	}
	sent := make([][]float64, warming) // by tick
	for at, n := time.Minute, 0; at < time.Minute+length; at, n = at+tick, n+1 {
		for u := range sent {
			sent[u] = append(sent[u], 0)
		}
		zone := make([]float64, zones)
		for i, x := range all {
			zone[i%zones] += x.admission.offered.perSecond(at)
		}
		for i, x := range all { // as much stays at home as at most brings no upstream there more than any other's work
			if at != x.restart && !x.restarted {
				x.locality.localFraction = float64(x.endpoints.localCount) / float64(upstreams)
				if d.costlyCrossing {
					x.locality.localFraction = min(1, x.locality.localFraction*sum(zone)/zone[i%zones])
				}
			}
			if x.now > at {
				continue
			}
			if at == x.restart {
				x.Balancer, x.restarted = fresh(i, 1), true
				entries := slices.Clone(list)
				for u, m := range new {
					if at >= max(x.from, m.StartedAt) {
						entries[u] = m
					}
				}
				x.Handle(at, EndpointUpdate{Kind: FullState, Endpoints: entries}, nil)
			}
			if at == x.move {
				to := all[(i+1)%len(all)]
				x.rate, to.rate = 0.1*x.rate, to.rate+0.9*x.rate
			}
			for wait := rng.ExpFloat64(); wait < x.rate*tick.Seconds(); wait += rng.ExpFloat64() {
				x.admission.offered.add(1, at)
			}
			x.now = at
			for u, m := range new {
				if at >= max(x.from, m.StartedAt) && x.endpoints.byID[m.Upstream].startedAt != m.StartedAt {
					x.Handle(at, EndpointUpdate{Kind: Delta, Endpoints: []Endpoint{m}}, nil)
				}
				up := x.endpoints.byID[m.Upstream]
				for on := !d.bursts || n%30 >= 20; on && up.slowStart.active && x.slowStartAllows(up); {
					up.slowStart.tokens--
					sent[u][n]++
				}
			}
		}
		for u, m := range new {
			age := at - m.StartedAt
			if age < 0 || age >= rule.SlowStartWindow {
				continue
			}
			sum := 0.0
			for _, x := range sent[u][max(0, n-int(rule.OverloadDuration/tick)+1):] {
				sum += x
			}
			warmth := rule.SlowStartCapacity + (1-rule.SlowStartCapacity)*float64(age)/float64(rule.SlowStartWindow)
			allowed := rule.OverloadMultiple * can(u) * warmth * rule.OverloadDuration.Seconds()
			if x := sum / (allowed + 2*math.Sqrt(allowed) + 2); x > limit {
				limit, where = x, fmt.Sprintf("upstream %d after %v: %.0f where %.0f are allowed", u, age, sum, allowed)
			}
		}
	}
	return limit, where
}

func sum(xs []float64) (total float64) {
	for _, x := range xs {
		total += x
	}
	return total
}
