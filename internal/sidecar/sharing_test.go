package sidecar

import (
	"fmt"
	"strings"
	"testing"

	"mosslead/balancer"
)

// Two sidecars leave an upstream out by their own evidence; the third, which never met the fault, is told.
func TestAThirdSidecarLearnsOfABreaker(t *testing.T) {
	var all []*sharing
	var seeds []string
	for i, zone := range []string{"makati", "cebu", "cebu"} {
		c := &Config{Name: fmt.Sprintf("n%d", i), Peers: &Peers{Address: "127.0.0.1:0", Seeds: seeds, Zone: zone}}
		clk := newClock()
		dir := newEndpointDirectory(clk, func(string) {})
		index := int64(1)
		dir.apply(&listing{Revision: &index, Snapshot: true, Endpoints: []endpoint{{Name: "s-1", Address: "127.0.0.1:1", Zone: "davao", Status: statusReady, StartedMs: 5}}})
		s, err := newSharing(c, dir, clk, "test")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.close)
		all, seeds = append(all, s), append(seeds, s.gossip.Address())
	}
	eventually(t, "all know each other", func() bool {
		for _, s := range all {
			if s.gossip.Present() < len(all) {
				return false
			}
		}
		return true
	})
	all[0].report(&balancer.Action{Kind: balancer.ReportEvidence, Upstream: "s-1", Evidence: balancer.EvidenceErrors, Count: 3})
	all[1].report(&balancer.Action{Kind: balancer.ReportEvidence, Upstream: "s-1", Evidence: balancer.EvidenceSilence, Count: 3})
	var h balancer.PeerVerdict
	received := func() (ok bool) {
		h, ok = all[2].verdicts.Pop()
		return ok && h.Upstream != "" // else it only asks whether the loop is alive
	}
	eventually(t, "a verdict", received)
	if h.Upstream != "s-1" || h.Until <= all[2].clock.now() {
		t.Errorf("told %+v", h)
	}
	if view := all[2].describe(); !strings.Contains(view, "member n0 makati") || !strings.Contains(view, "breaker s-1") || !strings.Contains(view, "makati/n0 errors 3") {
		t.Errorf("operators see\n%s", view)
	}
	if figures := all[2].lines(); !strings.Contains(figures, "gw.peers_present:3|g\n") {
		t.Errorf("figures:\n%s", figures)
	}
	all[0].report(&balancer.Action{Kind: balancer.ReportEvidence, Upstream: "s-1"})
	eventually(t, "its end", func() bool { return received() && h.Until == 0 })
	if h.Upstream != "s-1" || h.Until != 0 {
		t.Errorf("told %+v of the end", h)
	}
}
