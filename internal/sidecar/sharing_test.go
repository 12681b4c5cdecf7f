package sidecar

import (
	"fmt"
	"strings"
	"testing"

	"mosslead/balancer"
)

// Guards against a sidecar that does not learn of a breaker from others: two sidecars open the breaker of an upstream by their
// own evidence, and the third, which has no evidence, must receive the verdict and its end.
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
	eventually(t, "all sidecars are members at each other", func() bool {
		for _, s := range all {
			if s.gossip.Present() < len(all) {
				return false
			}
		}
		return true
	})
	all[0].report(&balancer.Action{Kind: balancer.ReportEvidence, Upstream: "s-1", Evidence: balancer.EvidenceErrors, Count: 3})
	all[1].report(&balancer.Action{Kind: balancer.ReportEvidence, Upstream: "s-1", Evidence: balancer.EvidenceSilence, Count: 3})
	var v balancer.PeerVerdict
	received := func() (ok bool) {
		v, ok = all[2].verdicts.Pop()
		return ok && v.Upstream != "" // an empty verdict only measures whether the loop is stalled
	}
	eventually(t, "a verdict at the third sidecar", received)
	if v.Upstream != "s-1" || v.Until <= all[2].clock.now() {
		t.Errorf("verdict: got %+v, want one on s-1 that lasts beyond %v", v, all[2].clock.now())
	}
	if view := all[2].describe(); !strings.Contains(view, "member n0 makati") || !strings.Contains(view, "breaker s-1") || !strings.Contains(view, "makati/n0 errors 3") {
		t.Errorf("PEERS: got\n%s\nwant member n0 at makati and the breaker of s-1 with makati/n0 errors 3", view)
	}
	if figures := all[2].lines(); !strings.Contains(figures, "gw.peers_present:3|g\n") {
		t.Errorf("STATS: got\n%s\nwant gw.peers_present:3|g", figures)
	}
	all[0].report(&balancer.Action{Kind: balancer.ReportEvidence, Upstream: "s-1"})
	eventually(t, "the end of the verdict", func() bool { return received() && v.Until == 0 })
	if v.Upstream != "s-1" || v.Until != 0 {
		t.Errorf("last verdict: got %+v, want one on s-1 with Until 0", v)
	}
}
