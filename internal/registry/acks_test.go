package registry

import (
	"testing"
	"time"

	"mosslead/internal/registry/api"
)

// Checks that a rollout counts each sidecar once, by its latest acknowledgement, and lists those at which the document is not in force.
// The time for which a sidecar has been silent is measured by the service, and not taken from the sidecar.
func TestRolloutsCountEachSidecarOnce(t *testing.T) {
	var a acks
	a.reset()
	record := func(at time.Duration, ack api.Ack) {
		t.Helper()
		ack.Service, ack.SilentMs = "orders", 5
		if !a.record(at, ack) {
			t.Fatalf("record of %+v: got false, want true", ack)
		}
	}
	record(0, api.Ack{Node: "gone", Region: "south", Revision: 4})
	record(0, api.Ack{Node: "good", Region: "south", Revision: 3})
	for node, ack := range map[string]api.Ack{"good": {Revision: 4}, "behind": {Revision: 3}, "rejects": {Revision: 3, RejectedRevision: 4, Reason: "no"},
		"rejected before": {Revision: 2, RejectedRevision: 3, Reason: "no"}, "has none": {}} {
		ack.Node = node
		if ack.Revision > 0 {
			ack.Region = "south"
		}
		record(time.Minute, ack)
	}
	record(time.Minute, api.Ack{Node: "another region's", Region: "north", Revision: 4})
	document := api.Document{Service: "orders", Region: "south", Revision: 4, Settings: []byte("{}")}
	rollouts := a.rollouts(time.Minute+time.Second, []api.Document{document, {Service: "fares", Revision: 1}})
	if len(rollouts) != 2 || rollouts[1].InForce+rollouts[1].Behind+rollouts[1].Rejected+rollouts[1].Silent+len(rollouts[1].NotInForce) != 0 {
		t.Fatalf("got %+v, want 2 rollouts, the second without sidecars", rollouts)
	}
	if got := rollouts[0]; got.InForce != 1 || got.Behind != 4 || got.Rejected != 1 || got.Silent != 1 || len(got.NotInForce) != 6 || got.Settings != nil {
		t.Errorf("got %+v, want 1 in force, 4 behind, 1 rejected, 1 silent, 6 listed as not in force, and no settings", got)
	}
	for _, ack := range rollouts[0].NotInForce {
		if want := map[string]int64{"gone": 61_000}[ack.Node]; ack.SilentMs != want {
			t.Errorf("%+v: got silent for %d ms, want %d ms", ack, ack.SilentMs, want)
		}
	}
	document.Deleted = true
	if got := a.rollouts(time.Minute, []api.Document{document})[0]; got.InForce != 3 { // the sidecars without settings from the service, and those at that version
		t.Errorf("deleted document: got %+v, want 3 in force", got)
	}
	if got := a.rollouts(ackLifetime+time.Second, []api.Document{document})[0]; got.InForce+got.Behind+got.Rejected != 0 || got.Silent != 6 {
		t.Errorf("after %v: got %+v, want all 6 remaining sidecars silent", ackLifetime+time.Second, got)
	}
}
