package fencing

import (
	"testing"
	"time"
)

// sampleActs returns acts of two successive holders. One late act of the first was refused, and the answer to another was lost.
func sampleActs() []Act {
	ms := time.Millisecond
	return []Act{
		{Upon: "u", Holder: "a", Epoch: 3, Value: 1, Looked: 1 * ms, Taken: 2 * ms, OK: true, Heard: 3 * ms},
		{Upon: "u", Holder: "a", Epoch: 3, Value: 2, Before: 1, Looked: 10 * ms, Taken: 11 * ms, OK: true},
		{Upon: "u", Holder: "a", Epoch: 3, Value: 3, Looked: 20 * ms, Taken: 90 * ms, Heard: 91 * ms},
		{Upon: "u", Holder: "b", Epoch: 7, Value: 4, Before: 2, Looked: 50 * ms, Taken: 51 * ms, OK: true, Heard: 52 * ms},
		{Upon: "u", Holder: "b", Epoch: 7, Value: 5, Before: 4, Looked: 60 * ms, Taken: 61 * ms, OK: true, Heard: 62 * ms},
	}
}

func TestCheckersSeeEachFault(t *testing.T) {
	rules := Rules{Gap: 50 * time.Millisecond}
	for _, x := range []struct {
		fault string
		plant func(h []Act) []Act
		rule  string
		lin   bool // whether the answers contradict a fenced register
	}{
		{"none", func(h []Act) []Act { return h }, "", false},
		{"a late act is taken", func(h []Act) []Act { h[2].OK, h[2].Before = true, 5; return h }, "older", true},
		{"two under one epoch", func(h []Act) []Act { h[4].Epoch, h[3].Epoch = 3, 3; return h }, "two holders", true},
		{"a long gap", func(h []Act) []Act { h[3].Taken, h[4].Taken = 81*time.Millisecond, 82*time.Millisecond; return h }, "gap", false},
		{"two at once", func(h []Act) []Act { h[2].Looked = 70 * time.Millisecond; return h }, "together", false},
		{"one is refused in its turn", func(h []Act) []Act { h[4].OK = false; return h }, "", true},
		{"an act whose answer was lost did not come", func(h []Act) []Act { h[3].Before = 1; return append(h[:1], h[3:]...) }, "", false},
		{"a write that was told is lost", func(h []Act) []Act { h[4].Before = 2; return h }, "", true},
	} {
		h := x.plant(sampleActs())
		rule := ""
		if v := Check(h, rules); len(v.Breaches) > 0 {
			rule = v.Breaches[0].Rule
		}
		if lin := len(Linearizable(h)) > 0; rule != x.rule || lin != x.lin {
			t.Errorf("%s: got breach %q and not linearizable %v, want %q and %v", x.fault, rule, lin, x.rule, x.lin)
		}
	}
	v := Check(sampleActs(), Rules{Gap: 30 * time.Millisecond, Excused: []Span{{20 * time.Millisecond, 40 * time.Millisecond}}})
	if v.HandOns != 1 || v.Refused != 1 || v.Longest != 20*time.Millisecond || len(v.Breaches) > 0 {
		t.Errorf("got verdict %+v, want 1 hand-on, 1 refused act, a longest gap of 20ms and no breaches", v)
	}
}
