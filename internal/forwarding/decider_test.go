package forwarding

import (
	"fmt"
	"testing"
	"time"

	"mosslead/internal/gossip/message"
)

const second = time.Second

// settledGauge is a gauge that has settled at these parts.
func settledGauge(p message.Pressure) *Gauge {
	g := &Gauge{}
	for t := time.Duration(0); t < 10*second; t += second / 10 {
		g.Add(t, p)
	}
	return g
}

func setPeers(d *Decider, now time.Duration, at map[string]float64) {
	var all []message.Member
	for name := range at {
		all = append(all, message.Member{Name: name, Site: name[:1], Forward: "127.0.0.1:1"})
	}
	d.SetMembers(all)
	for name, p := range at {
		d.OnPressure(now, name, p)
	}
}

func TestOneSpikeDoesNotFlip(t *testing.T) {
	g := settledGauge(message.Pressure{CPU: 0.6})
	if g.Add(10*second, message.Pressure{CPU: 1}); g.hot || !g.Accepts() && g.now.Total < coolThreshold {
		t.Errorf("one sample of 1 made it hot at %v", g.now.Total)
	}
	g = settledGauge(message.Pressure{CPU: 0.9})
	if g.Add(10*second, message.Pressure{CPU: 0.7}); !g.hot {
		t.Errorf("one sample of 0.7 cooled it at %v", g.now.Total)
	}
}

func TestWhoGetsTheWork(t *testing.T) {
	process, site := message.Pressure{CPU: 1, Site: 0.2}, message.Pressure{CPU: 0.2, Site: 1}
	far := Request{TimeLeft: second, RoundTrip: 20 * time.Millisecond, Cost: 0.1}
	for name, c := range map[string]struct {
		own   message.Pressure
		r     Request
		peers map[string]float64
		age   time.Duration
		want  []string // any of them; none: home
	}{
		"nothing is short":                   {message.Pressure{CPU: 0.5}, far, map[string]float64{"a1": 0, "b1": 0}, 0, nil},
		"only the process is short":          {process, far, map[string]float64{"a1": 0.1, "b1": 0}, 0, []string{"a1"}},
		"the site is short":                  {site, far, map[string]float64{"a1": 0, "b1": 0.1, "c1": 0.1}, 0, []string{"b1", "c1"}},
		"the lower pressure of two":          {site, far, map[string]float64{"b1": 0.6, "b2": 0.1}, 0, []string{"b2"}},
		"all are pressed":                    {site, far, map[string]float64{"b1": 0.8, "c1": 0.9}, 0, nil},
		"no time for the way":                {site, Request{TimeLeft: 70 * time.Millisecond, RoundTrip: 20 * time.Millisecond}, map[string]float64{"b1": 0}, 0, nil},
		"crossing costs more than it brings": {site, Request{TimeLeft: second, Cost: 0.95}, map[string]float64{"b1": 0}, 0, nil},
		"what was heard is old":              {site, far, map[string]float64{"b1": 0, "c1": 0}, 4 * second, nil},
		"nobody is there":                    {site, far, nil, 0, nil},
	} {
		got := map[string]bool{}
		for seed := range uint64(20) {
			d := NewDecider("a", seed)
			setPeers(d, 0, c.peers)
			if choice, to := d.Choose(c.age, settledGauge(c.own), c.r); choice == Forward {
				got[to] = true
			}
		}
		for _, want := range c.want {
			if !got[want] {
				t.Errorf("%s: never to %s", name, want)
			}
			delete(got, want)
		}
		if len(got) > 0 {
			t.Errorf("%s: to %v", name, got)
		}
	}
}

// A peer that refused or broke off gets nothing until it is heard anew.
func TestAPeerThatDidNotServeIsLeftAlone(t *testing.T) {
	d, g := NewDecider("a", 1), settledGauge(message.Pressure{Site: 1})
	setPeers(d, 0, map[string]float64{"b1": 0.1})
	for _, served := range []bool{true, false} {
		if choice, _ := d.Choose(0, g, Request{TimeLeft: second}); choice != Forward {
			t.Fatal("kept")
		}
		d.Done("b1", served)
	}
	if choice, _ := d.Choose(0, g, Request{TimeLeft: second}); choice == Forward {
		t.Error("sent again to one that had just refused")
	}
	d.OnPressure(second, "b1", 0.1)
	if choice, _ := d.Choose(second, g, Request{TimeLeft: second}); choice != Forward {
		t.Error("left alone for good")
	}
}

// However long the trouble lasts, no more than the stated part is forwarded, and what is out at a peer weighs.
func TestForwardingHasABudgetAndSpreads(t *testing.T) {
	d, g := NewDecider("a", 1), settledGauge(message.Pressure{Site: 1})
	setPeers(d, 0, map[string]float64{"b1": 0.2, "b2": 0.2, "b3": 0.2, "b4": 0.2})
	to, sent, most := map[string]int{}, 0, 0
	for range 2000 {
		if choice, name := d.Choose(0, g, Request{TimeLeft: second}); choice == Forward {
			to[name]++
			sent++
		}
	}
	least := sent
	for _, n := range to {
		most, least = max(most, n), min(least, n)
	}
	if sent > int(2000*maxForwardedFraction+burst) || sent < int(2000*maxForwardedFraction) {
		t.Errorf("%d of 2000 forwarded", sent)
	}
	if len(to) != 4 || most > least+least/10 {
		t.Errorf("spread %s", fmt.Sprint(to))
	}
}
