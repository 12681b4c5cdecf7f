package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a cold upstream pushed over by many sidecars that each keep to their part. Demand is the worst there
// is: whatever a budget allows is sent at once. 300 sidecars of unequal traffic, 160 upstreams in four zones, six in ten
// of them cold, a quarter of these small; with the rule's windows counted over all sidecars. See docs/ARCHITECTURE.md,
// "Cold upstreams".
func TestColdBudgetsOfAllSidecarsTogether(t *testing.T) {
	for name, d := range map[string]demand{
		"all told":         {told: 1},
		"half told":        {told: 0.5},
		"all restarted":    {told: 1, restarted: true},
		"in bursts":        {told: 1, bursts: true},
		"twice the part":   {told: 1, plant: func(s *Settings) { s.FallMultiple *= 2 }},
		"buckets too deep": {told: 1, bursts: true, plant: func(s *Settings) { s.FallTime *= 30 }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			got, where := d.saturate(t, 0)
			t.Logf("%.2f of the limit at most: %s", got, where)
			if (got > 1) != (d.plant != nil) {
				t.Errorf("%.2f of the limit: %s; planted: %v", got, where, d.plant != nil)
			}
		})
	}
}

// demand is for cold upstreams, and without end.
type demand struct {
	told      float64         // share of the sidecars that know of a start at once, the others later
	restarted bool            // all processes begin within a second of the starts, and know no rate
	bursts    bool            // one second in three; buckets fill meanwhile
	plant     func(*Settings) // what sidecars are told wrongly
}

// saturate gives the most that a cold upstream got in a window, as a share of its limit, and which.
func (d demand) saturate(t *testing.T, seed uint64) (most float64, where string) {
	const (
		sidecars, upstreams, cold = 300, 160, 96
		capacity, small           = 24.0, 15.0 // requests of mean work a second, when warm
		tick, length, delay       = 100 * ms, 10 * time.Second, 4 * time.Second
	)
	rng := rand.New(rand.NewPCG(seed, 7))
	s := testSettings()
	s.Balancers, s.ColdFrom, s.WarmUp, s.FallMultiple, s.FallTime = sidecars, 0.3, 8800*ms, 4, time.Second
	rule := s
	if d.plant != nil {
		d.plant(&s)
	}
	can := func(i int) float64 {
		if i%4 == i/4%4 { // in each zone alike
			return small
		}
		return capacity
	}
	total := 0.0
	var list, new []Member
	for i := range upstreams {
		total += can(i)
		m := Member{Upstream: fmt.Sprint(i), Zone: string(rune('a' + i%4))}
		if list = append(list, m); i < cold {
			m.CameUp = time.Minute + time.Duration(rng.Float64()*3e9)
			new = append(new, m)
		}
	}
	type sidecar struct {
		*Balancer
		rate float64 // requests a second
		from time.Duration
	}
	var all []sidecar
	for i := range sidecars {
		s.Zone = string(rune('a' + i%4))
		b, err := New(s, seed<<32+uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		x := sidecar{b, 0.85 * total / sidecars * (0.2 + 0.8*rng.ExpFloat64()), time.Minute}
		before := time.Duration(40 * time.Second)
		if d.restarted {
			before = -time.Duration(rng.Float64() * 1e9)
		}
		x.Handle(time.Minute-before, Members{Kind: Full, Entries: list}, nil)
		for at := time.Minute - before; at < time.Minute; at += tick {
			x.offered.add(x.rate*tick.Seconds(), at)
		}
		if float64(i) >= d.told*sidecars {
			x.from += delay
		}
		all = append(all, x)
	}
	sent := make([][]float64, cold) // by tick
	for at, n := time.Minute, 0; at < time.Minute+length; at, n = at+tick, n+1 {
		for u := range sent {
			sent[u] = append(sent[u], 0)
		}
		for _, x := range all {
			if x.now > at {
				continue
			}
			for mean := x.rate * tick.Seconds(); rng.Float64() < mean; mean /= 2 {
				x.offered.add(1, at)
			}
			x.now = at
			for u, m := range new {
				if at >= max(x.from, m.CameUp) && x.ups[m.Upstream].cameUp != m.CameUp {
					x.Handle(at, Members{Kind: Change, Entries: []Member{m}}, nil)
				}
				up := x.ups[m.Upstream]
				for on := !d.bursts || n%30 >= 20; on && up.cold && x.coldAllows(up); {
					up.tokens--
					sent[u][n]++
				}
			}
		}
		for u, m := range new {
			age := at - m.CameUp
			if age < 0 || age >= rule.WarmUp {
				continue
			}
			sum := 0.0
			for _, x := range sent[u][max(0, n-int(rule.FallTime/tick)+1):] {
				sum += x
			}
			warmth := rule.ColdFrom + (1-rule.ColdFrom)*float64(age)/float64(rule.WarmUp)
			allowed := rule.FallMultiple * can(u) * warmth * rule.FallTime.Seconds()
			if x := sum / (allowed + 3*math.Sqrt(allowed) + 3); x > most {
				most, where = x, fmt.Sprintf("upstream %d after %v: %.0f where %.0f are allowed", u, age, sum, allowed)
			}
		}
	}
	return most, where
}
