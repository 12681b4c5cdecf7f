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

// Guards against an endpoint in slow start that is overloaded by many sidecars, each within its own budget. The load is the
// worst possible: all that a budget allows is sent at once. 300 sidecars with different request rates use 160 endpoints in
// four zones. Six in ten of these warm up, and a quarter of those are small. The limit applies to the requests of all
// sidecars within a window. See docs/ARCHITECTURE.md, "Cold upstreams".
func TestSlowStartOfAllSidecarsTogether(t *testing.T) {
	cases := map[string]slowStartScenario{
		"all sidecars informed":         {informedFraction: 1},
		"half of the sidecars informed": {informedFraction: 0.5},
		"all restarted":                 {informedFraction: 1, allRestart: true},
		"in bursts":                     {informedFraction: 1, bursts: true},
		"overload multiple too high":    {informedFraction: 1, misconfigure: func(s *Settings) { s.OverloadMultiple *= 2 }},
		"buckets too large":             {informedFraction: 1, bursts: true, misconfigure: func(s *Settings) { s.OverloadDuration *= 30 }},
		"after a lull, few endpoints":   {informedFraction: 1, bursts: true, restartLater: true, clientsMove: true, upstreams: 40},
	}
	for _, size := range [][2]int{{2, 10}, {4, 12}, {20, 16}, {30, 20}, {100, 60}} {
		scenario := slowStartScenario{informedFraction: 1, restartLater: true, clientsMove: true, sidecars: size[0], upstreams: size[1]}
		cases[fmt.Sprint(size[0], " sidecars")] = scenario
		scenario.bursts, scenario.restartLater, scenario.costlyCrossing = true, false, true
		cases[fmt.Sprint(size[0], " sidecars, in bursts")] = scenario
		scenario.slowWarmUp, scenario.bursts, scenario.unequalZones = true, false, true
		cases[fmt.Sprint(size[0], " sidecars, other settings")] = scenario
	}
	for name, scenario := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got, worst := scenario.maxLoad(t, 0)
			t.Logf("got up to %.2f of the limit: %s", got, worst)
			if (got > 1) != (scenario.misconfigure != nil) {
				t.Errorf("got up to %.2f of the limit: %s; want above 1: %v", got, worst, scenario.misconfigure != nil)
			}
		})
	}
}

// slowStartScenario describes sidecars that send as much as allowed to endpoints in slow start.
type slowStartScenario struct {
	informedFraction float64         // fraction of the sidecars that learn of a start at once; the others learn of it later
	allRestart       bool            // all sidecars start within a second of the endpoints, and know no request rate
	restartLater     bool            // half of the sidecars restart at a random later time
	clientsMove      bool            // half of the sidecars lose nine in ten clients to another one at a random time
	unequalZones     bool            // sidecars of the first zone have twice the request rate of others
	bursts           bool            // requests are sent in one second of three, and buckets fill in the other two
	misconfigure     func(*Settings) // makes the sidecars' settings wrong; nil if they are right
	sidecars         int             // 0 means 300
	upstreams        int             // 0 means 160
	costlyCrossing   bool            // zone crossings have a cost, so that requests stay in their zone if possible
	slowWarmUp       bool            // other settings: a lower multiple, a longer overload duration, a longer warm-up
}

// maxLoad returns the maximum number of requests that an endpoint in slow start got in a window, as a fraction of its limit,
// and a description of that endpoint.
func (s slowStartScenario) maxLoad(t *testing.T, seed uint64) (maxFraction float64, worst string) {
	const (
		capacity, small           = 24.0, 15.0 // requests of mean work per second, after the warm-up
		tick, length, informDelay = 100 * ms, 10 * time.Second, 4 * time.Second
	)
	sidecarCount, endpointCount, zoneCount := cmp.Or(s.sidecars, 300), cmp.Or(s.upstreams, 160), 4
	warming := endpointCount * 6 / 10
	rng := rand.New(rand.NewPCG(seed, 7))
	settings := testSettings()
	settings.FleetSize, settings.SlowStartCapacity, settings.SlowStartWindow, settings.OverloadMultiple, settings.OverloadDuration = sidecarCount, 0.3, 8800*ms, 4, time.Second
	if s.slowWarmUp {
		settings.SlowStartCapacity, settings.SlowStartWindow, settings.OverloadMultiple, settings.OverloadDuration = 0.13, 24*time.Second, 3, 3*time.Second
		settings.Classes[0].LatencyObjective = 400 * ms
		zoneCount = 3
	}
	rule := settings
	if s.misconfigure != nil {
		s.misconfigure(&settings)
	}
	endpointCapacity := func(i int) float64 {
		if i%zoneCount == i/zoneCount%4 { // equally many in each zone
			return small
		}
		return capacity
	}
	totalCapacity := 0.0
	var list, starting []Endpoint
	for i := range endpointCount {
		totalCapacity += endpointCapacity(i)
		entry := Endpoint{Upstream: fmt.Sprint(i), Zone: string(rune('a' + i%zoneCount))}
		if list = append(list, entry); i < warming {
			entry.StartedAt = time.Minute + time.Duration(rng.Float64()*3e9)
			starting = append(starting, entry)
		}
	}
	type sidecar struct {
		*Balancer
		rate          float64       // requests per second
		informedAt    time.Duration // earliest time at which it learns of an endpoint's start
		restartAt     time.Duration // 0 means never
		restarted     bool          // it started during the test, and still learns its local fraction
		begunAt       time.Duration // when its first process started
		clientsMoveAt time.Duration // when nine in ten of its clients change to the next sidecar; 0 means never
	}
	newBalancer := func(i, incarnation int) *Balancer {
		settings.Zone = string(rune('a' + i%zoneCount))
		b, err := New(settings, seed<<32+uint64(i)+uint64(incarnation)<<16)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	randomTime := func(enabled bool) time.Duration {
		if !enabled || rng.IntN(2) == 0 {
			return 0
		}
		return time.Minute + time.Duration(rng.Float64()*float64(length))/tick*tick
	}
	var sidecars []*sidecar
	for i := range sidecarCount {
		b := newBalancer(i, 0)
		sc := &sidecar{b, 0.2 + 0.8*rng.ExpFloat64(), time.Minute, randomTime(s.restartLater), s.allRestart, 0, randomTime(s.clientsMove)}
		if s.unequalZones && i%zoneCount == 0 {
			sc.rate *= 2
		}
		uptime := time.Duration(40 * time.Second)
		if s.allRestart {
			uptime = -time.Duration(rng.Float64() * 1e9)
		}
		sc.Handle(time.Minute-uptime, EndpointUpdate{Kind: FullState, Endpoints: list}, nil)
		sc.begunAt = time.Minute - uptime
		if float64(i) >= s.informedFraction*float64(sidecarCount) {
			sc.informedAt += informDelay
		}
		sidecars = append(sidecars, sc)
	}
	totalRate := 0.0
	for _, sc := range sidecars {
		totalRate += sc.rate
	}
	for _, sc := range sidecars {
		sc.rate *= 0.85 * totalCapacity / totalRate
		for at := sc.begunAt; at < time.Minute; at += tick {
			sc.admission.offered.add(sc.rate*tick.Seconds(), at)
		}
	}
	sent := make([][]float64, warming) // requests to each starting endpoint, by tick
	for at, step := time.Minute, 0; at < time.Minute+length; at, step = at+tick, step+1 {
		for index := range sent {
			sent[index] = append(sent[index], 0)
		}
		zoneLoad := make([]float64, zoneCount)
		for i, sc := range sidecars {
			zoneLoad[i%zoneCount] += sc.admission.offered.perSecond(at)
		}
		for i, sc := range sidecars { // the local fraction is the largest with which no local endpoint gets more work than others
			if at != sc.restartAt && !sc.restarted {
				sc.locality.localFraction = float64(sc.endpoints.localCount) / float64(endpointCount)
				if s.costlyCrossing {
					sc.locality.localFraction = min(1, sc.locality.localFraction*sum(zoneLoad)/zoneLoad[i%zoneCount])
				}
			}
			if sc.now > at {
				continue
			}
			if at == sc.restartAt {
				sc.Balancer, sc.restarted = newBalancer(i, 1), true
				entries := slices.Clone(list)
				for index, entry := range starting {
					if at >= max(sc.informedAt, entry.StartedAt) {
						entries[index] = entry
					}
				}
				sc.Handle(at, EndpointUpdate{Kind: FullState, Endpoints: entries}, nil)
			}
			if at == sc.clientsMoveAt {
				to := sidecars[(i+1)%len(sidecars)]
				sc.rate, to.rate = 0.1*sc.rate, to.rate+0.9*sc.rate
			}
			for wait := rng.ExpFloat64(); wait < sc.rate*tick.Seconds(); wait += rng.ExpFloat64() {
				sc.admission.offered.add(1, at)
			}
			sc.now = at
			for index, entry := range starting {
				if at >= max(sc.informedAt, entry.StartedAt) && sc.endpoints.byID[entry.Upstream].startedAt != entry.StartedAt {
					sc.Handle(at, EndpointUpdate{Kind: Delta, Endpoints: []Endpoint{entry}}, nil)
				}
				ep := sc.endpoints.byID[entry.Upstream]
				for sending := !s.bursts || step%30 >= 20; sending && ep.slowStart.active && sc.slowStartAllows(ep); {
					ep.slowStart.tokens--
					sent[index][step]++
				}
			}
		}
		for index, entry := range starting {
			age := at - entry.StartedAt
			if age < 0 || age >= rule.SlowStartWindow {
				continue
			}
			sum := 0.0
			for _, requests := range sent[index][max(0, step-int(rule.OverloadDuration/tick)+1):] {
				sum += requests
			}
			warmCapacity := rule.SlowStartCapacity + (1-rule.SlowStartCapacity)*float64(age)/float64(rule.SlowStartWindow)
			allowed := rule.OverloadMultiple * endpointCapacity(index) * warmCapacity * rule.OverloadDuration.Seconds()
			if fraction := sum / (allowed + 2*math.Sqrt(allowed) + 2); fraction > maxFraction {
				maxFraction, worst = fraction, fmt.Sprintf("endpoint %d, %v after its start: got %.0f requests, allowed are %.0f", index, age, sum, allowed)
			}
		}
	}
	return maxFraction, worst
}

func sum(xs []float64) (total float64) {
	for _, x := range xs {
		total += x
	}
	return total
}
