package registry

import (
	"testing"
	"time"

	"mosslead/internal/registry/api"
)

// Each sidecar that was heard is counted once, by what it last said, and those in whom a document is not in force are named; how long one
// was not heard is the service's word alone.
func TestRolloutsCountEachSidecarOnce(t *testing.T) {
	var a acks
	a.reset()
	say := func(at time.Duration, x api.Ack) {
		t.Helper()
		x.Service, x.SilentMs = "orders", 5
		if !a.record(at, x) {
			t.Fatal("no room")
		}
	}
	say(0, api.Ack{Node: "gone", Region: "south", Revision: 4})
	say(0, api.Ack{Node: "good", Region: "south", Revision: 3})
	for node, x := range map[string]api.Ack{"good": {Revision: 4}, "behind": {Revision: 3}, "rejects": {Revision: 3, RejectedRevision: 4, Reason: "no"},
		"rejected before": {Revision: 2, RejectedRevision: 3, Reason: "no"}, "has none": {}} {
		x.Node = node
		if x.Revision > 0 {
			x.Region = "south"
		}
		say(time.Minute, x)
	}
	say(time.Minute, api.Ack{Node: "another region's", Region: "north", Revision: 4})
	document := api.Document{Service: "orders", Region: "south", Revision: 4, Settings: []byte("{}")}
	r := a.rollouts(time.Minute+time.Second, []api.Document{document, {Service: "fares", Revision: 1}})
	if len(r) != 2 || r[1].InForce+r[1].Behind+r[1].Rejected+r[1].Silent+len(r[1].NotInForce) != 0 {
		t.Fatalf("%+v", r)
	}
	if o := r[0]; o.InForce != 1 || o.Behind != 4 || o.Rejected != 1 || o.Silent != 1 || len(o.NotInForce) != 6 || o.Settings != nil {
		t.Errorf("%+v", o)
	}
	for _, x := range r[0].NotInForce {
		if silent := map[string]int64{"gone": 61_000}[x.Node]; x.SilentMs != silent {
			t.Errorf("%+v: silent for %d ms", x, silent)
		}
	}
	document.Deleted = true
	if o := a.rollouts(time.Minute, []api.Document{document})[0]; o.InForce != 3 { // without settings; and at that version
		t.Errorf("deleted: %+v", o)
	}
	if o := a.rollouts(ackLifetime+time.Second, []api.Document{document})[0]; o.InForce+o.Behind+o.Rejected != 0 || o.Silent != 6 {
		t.Errorf("after a while: %+v", o)
	}
}
