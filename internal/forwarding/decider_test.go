package forwarding

import (
	"fmt"
	"testing"
	"time"

	"mosslead/internal/gossip/message"
)

const second = time.Second

// settledGauge returns a gauge whose average has settled at these parts.
func settledGauge(p message.Pressure) *Gauge {
	g := &Gauge{}
	for t := time.Duration(0); t < 10*second; t += second / 10 {
		g.Add(t, p)
	}
	return g
}

// setPeers makes peers with these pressures known to d. The first letter of a name is its site.
func setPeers(d *Decider, now time.Duration, pressures map[string]float64) {
	var members []message.Member
	for name := range pressures {
		members = append(members, message.Member{Name: name, Site: name[:1], Forward: "127.0.0.1:1"})
	}
	d.SetMembers(members)
	for name, p := range pressures {
		d.OnPressure(now, name, p)
	}
}

// Checks that one sample does not change whether a sidecar is hot.
func TestOneSpikeDoesNotFlip(t *testing.T) {
	g := settledGauge(message.Pressure{CPU: 0.6})
	if g.Add(10*second, message.Pressure{CPU: 1}); g.hot || !g.Accepts() && g.pressure.Total < coolThreshold {
		t.Errorf("after one sample of 1: got hot %v, accepting %v at pressure %v, want not hot, and accepting below %v", g.hot, g.Accepts(), g.pressure.Total, coolThreshold)
	}
	g = settledGauge(message.Pressure{CPU: 0.9})
	if g.Add(10*second, message.Pressure{CPU: 0.7}); !g.hot {
		t.Errorf("after one sample of 0.7 at a pressure of 0.9: got hot %v at pressure %v, want true", g.hot, g.pressure.Total)
	}
}

// Checks to which peers requests are forwarded, by pressure, site and the time left.
func TestWhoGetsTheWork(t *testing.T) {
	processShort, siteShort := message.Pressure{CPU: 1, Site: 0.2}, message.Pressure{CPU: 0.2, Site: 1}
	request := Request{TimeLeft: second, RoundTrip: 20 * time.Millisecond, Cost: 0.1}
	for name, c := range map[string]struct {
		own   message.Pressure
		r     Request
		peers map[string]float64
		age   time.Duration
		want  []string // peers that are chosen over many seeds; none if the request stays local
	}{
		"no resource is scarce":                  {message.Pressure{CPU: 0.5}, request, map[string]float64{"a1": 0, "b1": 0}, 0, nil},
		"only the process is short of something": {processShort, request, map[string]float64{"a1": 0.1, "b1": 0}, 0, []string{"a1"}},
		"the site is short of something":         {siteShort, request, map[string]float64{"a1": 0, "b1": 0.1, "c1": 0.1}, 0, []string{"b1", "c1"}},
		"the lower pressure of two":              {siteShort, request, map[string]float64{"b1": 0.6, "b2": 0.1}, 0, []string{"b2"}},
		"all peers are under pressure":           {siteShort, request, map[string]float64{"b1": 0.8, "c1": 0.9}, 0, nil},
		"not enough time for the round trips":    {siteShort, Request{TimeLeft: 70 * time.Millisecond, RoundTrip: 20 * time.Millisecond}, map[string]float64{"b1": 0}, 0, nil},
		"crossing costs more than it gains":      {siteShort, Request{TimeLeft: second, Cost: 0.95}, map[string]float64{"b1": 0}, 0, nil},
		"the received pressures are expired":     {siteShort, request, map[string]float64{"b1": 0, "c1": 0}, 4 * second, nil},
		"no peers":                               {siteShort, request, nil, 0, nil},
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
				t.Errorf("%s: no request was forwarded to %s, want some", name, want)
			}
			delete(got, want)
		}
		if len(got) > 0 {
			t.Errorf("%s: requests were forwarded to other peers %v, want none", name, got)
		}
	}
}

// Checks that a peer that did not serve a request gets none until its pressure is received again.
func TestAPeerThatDidNotServeIsLeftAlone(t *testing.T) {
	d, g := NewDecider("a", 1), settledGauge(message.Pressure{Site: 1})
	setPeers(d, 0, map[string]float64{"b1": 0.1})
	for _, served := range []bool{true, false} {
		if choice, _ := d.Choose(0, g, Request{TimeLeft: second}); choice != Forward {
			t.Fatal("request to an idle peer: got Local, want Forward")
		}
		d.Done("b1", served)
	}
	if choice, _ := d.Choose(0, g, Request{TimeLeft: second}); choice == Forward {
		t.Error("after a request that was not served: got Forward, want Local")
	}
	d.OnPressure(second, "b1", 0.1)
	if choice, _ := d.Choose(second, g, Request{TimeLeft: second}); choice != Forward {
		t.Error("after the pressure was received again: got Local, want Forward")
	}
}

// Checks that under lasting pressure no more than maxForwardedFraction of the requests is forwarded, and that
// requests in flight spread the load over the peers.
func TestForwardingHasABudgetAndSpreads(t *testing.T) {
	d, g := NewDecider("a", 1), settledGauge(message.Pressure{Site: 1})
	setPeers(d, 0, map[string]float64{"b1": 0.2, "b2": 0.2, "b3": 0.2, "b4": 0.2})
	byPeer, sent, most := map[string]int{}, 0, 0
	for range 2000 {
		if choice, name := d.Choose(0, g, Request{TimeLeft: second}); choice == Forward {
			byPeer[name]++
			sent++
		}
	}
	least := sent
	for _, n := range byPeer {
		most, least = max(most, n), min(least, n)
	}
	if sent > int(2000*maxForwardedFraction+burst) || sent < int(2000*maxForwardedFraction) {
		t.Errorf("got %d of 2000 requests forwarded, want %v to %v", sent, int(2000*maxForwardedFraction), int(2000*maxForwardedFraction+burst))
	}
	if len(byPeer) != 4 || most > least+least/10 {
		t.Errorf("got requests by peer %s, want 4 peers that differ by 10%% at most", fmt.Sprint(byPeer))
	}
}
