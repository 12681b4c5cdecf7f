package balancer

import (
	"fmt"
	"testing"
	"time"
)

// An upstream that errs in half of its answers for one class is ejected for that class, and for no other; said so.
func TestAnUpstreamBadForOneClass(t *testing.T) {
	r, n := newSharingRig(t, 4), 0
	half := func(u string) Result {
		if n++; u == "u0" && n%2 == 0 {
			return ServerError
		}
		return OK
	}
	var c, d, again map[string]int
	var reports []Action
	for range 20 { // both classes side by side
		x, rep := r.sendRequests(20, "c", half)
		y, _ := r.sendRequests(20, "d", alwaysOK)
		if c = x; len(rep) > 0 && reports == nil {
			reports = rep
		}
		d = y
	}
	if c["u0"] > 2 || d["u0"] == 0 {
		t.Errorf("at last %d attempts of c and %d of d", c["u0"], d["u0"])
	}
	if len(reports) == 0 || reports[0].Class != "c" || reports[0].Evidence != EvidenceErrors || reports[0].Count < 3 {
		t.Fatalf("reported %+v", reports)
	}
	r.now += maxEjectionTime * 2
	reports = nil
	for range 10 {
		var rep []Action
		again, rep = r.sendRequests(30, "c", alwaysOK)
		reports = append(reports, rep...)
	}
	if again["u0"] == 0 || len(reports) != 1 || reports[0].Evidence != EvidenceNone || reports[0].Class != "c" {
		t.Errorf("well again: %d attempts, reported %+v", again["u0"], reports)
	}
}

// Three errors in a row that are one class's alone leave the upstream to the others; a class that errs everywhere is left out
// nowhere, so that one client's requests do not take the fleet away.
func TestErrorsOfOneClass(t *testing.T) {
	r := newSharingRig(t, 4)
	r.sendRequests(100, "c", alwaysOK)
	r.b.Handle(r.now, TimerFired{}, nil)
	u := r.b.endpoints.byID["u0"]
	answer := func(class string, res Result) {
		r.b.updateHealth(&attempt{request: &request{class: r.b.classes[class], work: 1}, endpoint: u, sentAt: r.now}, res, 50*ms)
	}
	answer("d", OK)
	u.gossip.evidence.windows["c"] = nil // what it did before this test's answers
	for range failuresToEject {
		answer("c", ServerError)
	}
	if u.health.ejections > 0 || u.gossip.evidence.windows["c"].ejections == 0 {
		t.Errorf("ejected %d times, out for c %d times", u.health.ejections, u.gossip.evidence.windows["c"].ejections)
	}

	r = newSharingRig(t, 4) // d is not asked for: it is ejected, and that said of c; of one tenant's errors nothing is
	r.b.now = r.now
	for tenant := range 2 {
		u = r.b.endpoints.byID[fmt.Sprint("u", tenant)]
		for i := range 2 * failuresToEject {
			res := []Result{OK, ServerError}[i/failuresToEject]
			r.b.updateHealth(&attempt{request: &request{class: r.b.classes["c"], work: 1, tenant: tenant * (i / failuresToEject)}, endpoint: u, sentAt: r.now}, res, 50*ms)
		}
	}
	if reports := actionsOfKind(r.b.actions, ReportEvidence); len(reports) != 1 || reports[0].Upstream != "u0" || reports[0].Class != "c" {
		t.Errorf("reported %+v", reports)
	}
	r = newSharingRig(t, 4)
	n := 0
	r.sendRequests(400, "c", func(string) Result {
		if n++; n%2 == 0 {
			return ServerError
		}
		return OK
	})
	for id, u := range r.b.endpoints.byID {
		if u.gossip.evidence.windows["c"].ejections > 0 {
			t.Errorf("%s is left out though all err", id)
		}
	}
}

// A first failure is said as a suspicion, and taken back once the upstream is heard.
func TestAFirstFailureIsASuspicion(t *testing.T) {
	r := newSharingRig(t, 1)
	r.request("x", "c", time.Second)
	if rep := actionsOfKind(r.endAttempt("x", 0, Timeout, 100*ms), ReportEvidence); len(rep) != 1 || !rep[0].Suspicion || rep[0].Evidence != EvidenceSilence {
		t.Errorf("said %+v", rep)
	}
	if rep := actionsOfKind(r.endAttempt("x", 1, OK, 50*ms), ReportEvidence); len(rep) != 1 || rep[0].Suspicion || rep[0].Evidence != EvidenceNone {
		t.Errorf("then said %+v", rep)
	}
}

// The probes of an upstream are made by the one whose leadership they are: safe requests, one at a time, paced, cut short in time for
// another attempt. The others make none, also when their own ejection is over.
func TestOneTrialForAll(t *testing.T) {
	silent := func(u string) Result {
		if u == "u0" {
			return Timeout
		}
		return OK
	}
	r := newSharingRig(t, 4)
	r.sendRequests(100, "d", alwaysOK)
	r.applyVerdict("u0", "", ProbeBySelf, 0)
	r.now += time.Second
	if s, _ := r.sendRequests(50, "unsafe", alwaysOK); s["u0"] > 0 {
		t.Error("an unsafe request was made a trial")
	}
	actions := r.request("trial", "c", time.Second)
	if s := actionsOfKind(actions, StartAttempt); len(s) != 1 || s[0].Upstream != "u0" || s[0].Timeout > 180*ms {
		t.Fatalf("the trial: %+v", s)
	}
	r.now += 50 * ms
	if s := actionsOfKind(r.request("another", "c", time.Second), StartAttempt); len(s) != 1 || s[0].Upstream == "u0" {
		t.Fatalf("two trials at once: %+v", s)
	}
	actions = r.endAttempt("trial", 0, Timeout, 50*ms)
	if s, rep := actionsOfKind(actions, StartAttempt), actionsOfKind(actions, ReportEvidence); len(s) != 1 || s[0].Upstream == "u0" || len(rep) != 1 || !rep[0].Probe || rep[0].Evidence != EvidenceSilence {
		t.Fatalf("a failed trial: %+v", actions)
	}
	if s, _ := r.sendRequests(8, "c", silent); s["u0"] > 0 {
		t.Error("tried again at once")
	}
	r.now += 2 * time.Second
	r.applyVerdict("u0", "", ProbeBySelf, 0)
	if _, rep := r.sendRequests(50, "c", alwaysOK); len(rep) < 3 || len(rep) > 14 {
		t.Errorf("%d trials that went well in 3 s", len(rep))
	}
	r.applyVerdict("u0", "", ProbeBySelf, 0)
	r.now += time.Second
	r.handle(Ban{Upstream: "u0"})
	if s, _ := r.sendRequests(50, "c", alwaysOK); s["u0"] > 0 {
		t.Error("a banned upstream was tried")
	}

	for _, attempts := range []ProbeOwner{ProbeByEach, ProbeByPeer} {
		r = newSharingRig(t, 4)
		r.sendRequests(500, "c", silent)
		if r.b.endpoints.byID["u0"].health.ejections == 0 {
			t.Fatal("not ejected")
		}
		r.now += 10 * time.Second
		r.applyVerdict("u0", "", attempts, 0)
		if s, _ := r.sendRequests(50, "c", silent); s["u0"] > 0 != (attempts == ProbeByEach) {
			t.Errorf("trials are %d's: %d attempts", attempts, s["u0"])
		}
		r.b.endpoints.byID["u0"].health.ejectedUntil = r.now + 2*maxEjectionTime
		r.handle(PeerVerdict{Upstream: "u0", ProbeSucceeded: true})
		r.now += reinstatementTime
		if s, _ := r.sendRequests(100, "c", alwaysOK); s["u0"] == 0 {
			t.Error("no own trial after one for all went well")
		}
	}
}

// What comes back cold is held to its budget, whoever tries it or lets it through.
func TestProbesRespectSlowStart(t *testing.T) {
	r := newSharingRig(t, 4)
	r.sendRequests(300, "c", alwaysOK)
	r.updateEndpoints(Delta, Endpoint{Upstream: "u0", Zone: "a", StartedAt: r.now})
	if u := r.b.endpoints.byID["u0"]; !u.slowStart.active {
		t.Fatal("not cold")
	}
	r.b.endpoints.byID["u0"].slowStart.tokens = 0
	r.handle(PeerVerdict{Upstream: "u0", StartedAt: r.now, Until: r.now + time.Minute, Since: r.now, Probes: ProbeBySelf})
	r.now += time.Second
	r.b.endpoints.byID["u0"].slowStart.refilledAt = r.now
	if s := r.wantAttempt(r.request("x", "c", time.Second)); s == "u0" {
		t.Error("a trial over the cold budget")
	}
	r.b.endpoints.byID["u0"].slowStart.tokens = 5
	if s := r.wantAttempt(r.request("y", "c", time.Second)); s != "u0" {
		t.Error("no trial within it")
	}
}
