package report

import (
	"fmt"
	"testing"
	"time"

	"mosslead/internal/lab"
	"mosslead/internal/lab/load"
	"mosslead/internal/lab/record"
)

// sharingOutcome returns a play of 20 s with 20 sidecars and 6 upstreams in one zone. u0 has a fault from 5 s to 15 s.
func sharingOutcome() *lab.Outcome {
	r := record.New()
	for i := range 20 {
		r.Limits[fmt.Sprintf("s%d", i)] = record.Limits{}
	}
	for i := range 6 {
		r.Zones[fmt.Sprintf("u%d", i)] = "cebu"
	}
	r.Length = 20 * time.Second
	r.Bands = []record.Band{{Name: "hangs", Of: []string{"u0"}, From: 5 * time.Second, To: 15 * time.Second}}
	return &lab.Outcome{Record: r, Plan: load.Plan{Spec: load.Spec{Length: 20 * time.Second}}}
}

func addSaid(o *lab.Outcome, at time.Duration, what record.SaidKind, sidecar int, upstream string, open bool) {
	o.Record.Said = append(o.Record.Said, record.Said{At: at, What: what, Sidecar: fmt.Sprintf("s%d", sidecar), Upstream: upstream, Open: open, Members: 20})
}

// The time until 95 of 100 sidecars know of a fault begins with the first sidecar's own evidence during the fault. If
// too few ever know, it ends with the fault.
func TestKnowing(t *testing.T) {
	o := sharingOutcome()
	addSaid(o, time.Second, record.Evidence, 3, "u0", true) // before the fault
	addSaid(o, 5500*time.Millisecond, record.Evidence, 9, "u0", true)
	o.Record.Said[1].Suspected = true // not open yet, only suspected
	addSaid(o, 6*time.Second, record.Evidence, 0, "u0", true)
	for i := 1; i < 18; i++ {
		addSaid(o, 6500*time.Millisecond, record.Verdict, i, "u0", true)
	}
	f := Figures{}
	if f.sharing(o); f["know95_ms"] != 9000 {
		t.Errorf("18 of 20 knew: got %v ms, want 9000", f["know95_ms"])
	}
	addSaid(o, 7*time.Second, record.Verdict, 18, "u0", true)
	f = Figures{}
	if f.sharing(o); f["know95_ms"] != 1000 {
		t.Errorf("19 of 20 knew: got %v ms, want 1000", f["know95_ms"])
	}
}

// The upstreams that a sidecar leaves out upon others' reports are found from its attempts. Upstreams with own evidence do not count.
func TestHearsayPartIsSeenFromAttempts(t *testing.T) {
	o := sharingOutcome()
	for i := range 2000 {
		u := []string{"u2", "u3", "u4", "u5"}[i%4]
		o.Record.Attempts = append(o.Record.Attempts, &record.Attempt{Sidecar: "s1", Upstream: u, Begun: time.Duration(i) * 10 * time.Millisecond})
	}
	if got := hearsayPart(o.Record); got != 0 {
		t.Errorf("without any report: got %v of the upstreams left out, want 0", got)
	}
	addSaid(o, time.Second, record.Verdict, 1, "u0", true)
	addSaid(o, time.Second, record.Verdict, 1, "u1", true)
	addSaid(o, time.Second, record.Verdict, 1, "u2", true) // the sidecar still uses u2
	if got := hearsayPart(o.Record); got != 2.0/6 {
		t.Errorf("got %v of the upstreams left out, want 2 of 6", got)
	}
	addSaid(o, time.Second, record.Evidence, 1, "u1", true)
	if got := hearsayPart(o.Record); got != 1.0/5 {
		t.Errorf("got %v of the upstreams left out, want 1 of the 5 without own evidence", got)
	}
}

// The view is complete when the last sidecar counts all members. A belief ends when its verdict is withdrawn.
func TestOneView(t *testing.T) {
	o := sharingOutcome()
	for i := range 20 {
		addSaid(o, 16*time.Second, record.Present, i, "", false)
	}
	addSaid(o, 10*time.Second, record.Verdict, 4, "u0", true)
	if got := timeToLastBelief(o, 15*time.Second); got != 5*time.Second {
		t.Errorf("verdict that stays: got %v, want the remaining 5 s", got)
	}
	addSaid(o, 17*time.Second, record.Verdict, 4, "u0", false)
	if got := timeToLastBelief(o, 15*time.Second); got != 2*time.Second {
		t.Errorf("verdict that was withdrawn: got %v, want 2 s", got)
	}
	if got := timeToFullView(o, 15*time.Second); got != time.Second {
		t.Errorf("full view: got %v, want 1 s", got)
	}
	o.Record.Said = append(o.Record.Said, record.Said{At: 18 * time.Second, What: record.Present, Sidecar: "s7", Members: 19})
	if got := timeToFullView(o, 15*time.Second); got != 5*time.Second {
		t.Errorf("sidecar that misses a member: got %v, want the remaining 5 s", got)
	}
}
