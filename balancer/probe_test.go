package balancer

import (
	"fmt"
	"testing"
	"time"
)

// An endpoint that fails half of the requests of one class is ejected and reported for that class only.
func TestAnUpstreamBadForOneClass(t *testing.T) {
	r, answers := newSharingRig(t, 4), 0
	failHalf := func(u string) Result {
		if answers++; u == "u0" && answers%2 == 0 {
			return ServerError
		}
		return OK
	}
	var sentC, sentD, sentAgain map[string]int
	var reports []Action
	for range 20 { // requests of both classes alternate
		sentToC, newReports := r.sendRequests(20, "c", failHalf)
		sentToD, _ := r.sendRequests(20, "d", alwaysOK)
		if sentC = sentToC; len(newReports) > 0 && reports == nil {
			reports = newReports
		}
		sentD = sentToD
	}
	if sentC["u0"] > 2 || sentD["u0"] == 0 {
		t.Errorf("got %d attempts of class c and %d of class d at u0 in the last round, want at most 2 of class c and at least 1 of class d", sentC["u0"], sentD["u0"])
	}
	if len(reports) == 0 || reports[0].Class != "c" || reports[0].Evidence != EvidenceErrors || reports[0].Count < 3 {
		t.Fatalf("got reports %+v, want the first to be of EvidenceErrors for class c with a count of at least 3", reports)
	}
	r.now += maxEjectionTime * 2
	reports = nil
	for range 10 {
		var newReports []Action
		sentAgain, newReports = r.sendRequests(30, "c", alwaysOK)
		reports = append(reports, newReports...)
	}
	if sentAgain["u0"] == 0 || len(reports) != 1 || reports[0].Evidence != EvidenceNone || reports[0].Class != "c" {
		t.Errorf("after the errors ended: got %d attempts at u0 and reports %+v, want at least 1 attempt and 1 report of EvidenceNone for class c",
			sentAgain["u0"], reports)
	}
}

// Three consecutive errors of one class eject the endpoint for that class only. A class that fails at all endpoints is
// ejected at none of them, so that one client's requests do not cause the ejection of the fleet.
func TestErrorsOfOneClass(t *testing.T) {
	r := newSharingRig(t, 4)
	r.sendRequests(100, "c", alwaysOK)
	r.b.Handle(r.now, TimerFired{}, nil)
	ep := r.b.endpoints.byID["u0"]
	answer := func(class string, res Result) {
		r.b.updateHealth(&attempt{request: &request{class: r.b.classes[class], work: 1}, endpoint: ep, sentAt: r.now}, res, 50*ms)
	}
	answer("d", OK)
	ep.gossip.evidence.windows["c"] = nil // discards the earlier answers
	for range failuresToEject {
		answer("c", ServerError)
	}
	if ep.health.ejections > 0 || ep.gossip.evidence.windows["c"].ejections == 0 {
		t.Errorf("got %d ejections for all classes and %d for class c, want 0 and at least 1", ep.health.ejections, ep.gossip.evidence.windows["c"].ejections)
	}

	// Without requests of class d, u0 is ejected for all classes and reported for class c. The errors of u1 concern one tenant
	// only, and are not reported.
	r = newSharingRig(t, 4)
	r.b.now = r.now
	for tenant := range 2 {
		ep = r.b.endpoints.byID[fmt.Sprint("u", tenant)]
		for i := range 2 * failuresToEject {
			res := []Result{OK, ServerError}[i/failuresToEject]
			r.b.updateHealth(&attempt{request: &request{class: r.b.classes["c"], work: 1, tenant: tenant * (i / failuresToEject)}, endpoint: ep, sentAt: r.now}, res, 50*ms)
		}
	}
	if reports := actionsOfKind(r.b.actions, ReportEvidence); len(reports) != 1 || reports[0].Upstream != "u0" || reports[0].Class != "c" {
		t.Errorf("got reports %+v, want one of u0 for class c", reports)
	}
	r = newSharingRig(t, 4)
	answers := 0
	r.sendRequests(400, "c", func(string) Result {
		if answers++; answers%2 == 0 {
			return ServerError
		}
		return OK
	})
	for id, ep := range r.b.endpoints.byID {
		if ep.gossip.evidence.windows["c"].ejections > 0 {
			t.Errorf("%s: got %d ejections for a class that fails at all endpoints, want 0", id, ep.gossip.evidence.windows["c"].ejections)
		}
	}
}

// A first failure is reported as a suspicion, which ends with the next answer of the endpoint.
func TestAFirstFailureIsASuspicion(t *testing.T) {
	r := newSharingRig(t, 1)
	r.request("x", "c", time.Second)
	if reports := actionsOfKind(r.endAttempt("x", 0, Timeout, 100*ms), ReportEvidence); len(reports) != 1 || !reports[0].Suspicion || reports[0].Evidence != EvidenceSilence {
		t.Errorf("after a timeout: got reports %+v, want a suspicion of EvidenceSilence", reports)
	}
	if reports := actionsOfKind(r.endAttempt("x", 1, OK, 50*ms), ReportEvidence); len(reports) != 1 || reports[0].Suspicion || reports[0].Evidence != EvidenceNone {
		t.Errorf("after an answer: got reports %+v, want one of EvidenceNone that is no suspicion", reports)
	}
}

// If a verdict names the sidecar that probes an endpoint, only that sidecar probes it. It uses idempotent requests, one at a
// time, at intervals, with a timeout that leaves time for another attempt. The other sidecars do not probe the endpoint, even
// after their own ejection of the endpoint has ended.
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
	if sentTo, _ := r.sendRequests(50, "unsafe", alwaysOK); sentTo["u0"] > 0 {
		t.Errorf("requests that must not run twice: got %d probes, want 0", sentTo["u0"])
	}
	actions := r.request("trial", "c", time.Second)
	if starts := actionsOfKind(actions, StartAttempt); len(starts) != 1 || starts[0].Upstream != "u0" || starts[0].Timeout > 180*ms {
		t.Fatalf("first probe: got attempts %+v, want one at u0 with a timeout of 180 ms or less", starts)
	}
	r.now += 50 * ms
	if starts := actionsOfKind(r.request("another", "c", time.Second), StartAttempt); len(starts) != 1 || starts[0].Upstream == "u0" {
		t.Fatalf("during a probe: got attempts %+v, want one at another endpoint", starts)
	}
	actions = r.endAttempt("trial", 0, Timeout, 50*ms)
	if starts, reports := actionsOfKind(actions, StartAttempt), actionsOfKind(actions, ReportEvidence); len(starts) != 1 || starts[0].Upstream == "u0" || len(reports) != 1 || !reports[0].Probe || reports[0].Evidence != EvidenceSilence {
		t.Fatalf("failed probe: got actions %+v, want an attempt at another endpoint and a report of EvidenceSilence", actions)
	}
	if sentTo, _ := r.sendRequests(8, "c", silent); sentTo["u0"] > 0 {
		t.Errorf("shortly after a failed probe: got %d probes, want 0", sentTo["u0"])
	}
	r.now += 2 * time.Second
	r.applyVerdict("u0", "", ProbeBySelf, 0)
	if _, reports := r.sendRequests(50, "c", alwaysOK); len(reports) < 3 || len(reports) > 14 {
		t.Errorf("got %d reports of successful probes in 3 s, want 3 to 14", len(reports))
	}
	r.applyVerdict("u0", "", ProbeBySelf, 0)
	r.now += time.Second
	r.handle(Ban{Upstream: "u0"})
	if sentTo, _ := r.sendRequests(50, "c", alwaysOK); sentTo["u0"] > 0 {
		t.Errorf("banned endpoint: got %d probes, want 0", sentTo["u0"])
	}

	for _, owner := range []ProbeOwner{ProbeByEach, ProbeByPeer} {
		r = newSharingRig(t, 4)
		r.sendRequests(500, "c", silent)
		if r.b.endpoints.byID["u0"].health.ejections == 0 {
			t.Fatal("u0 does not answer: got 0 ejections, want at least 1")
		}
		r.now += 10 * time.Second
		r.applyVerdict("u0", "", owner, 0)
		if sentTo, _ := r.sendRequests(50, "c", silent); sentTo["u0"] > 0 != (owner == ProbeByEach) {
			t.Errorf("probe owner %d: got %d probes by this sidecar, want at least 1 if the owner is ProbeByEach, otherwise 0", owner, sentTo["u0"])
		}
		r.b.endpoints.byID["u0"].health.ejectedUntil = r.now + 2*maxEjectionTime
		r.handle(PeerVerdict{Upstream: "u0", ProbeSucceeded: true})
		r.now += reinstatementTime
		if sentTo, _ := r.sendRequests(100, "c", alwaysOK); sentTo["u0"] == 0 {
			t.Errorf("probe owner %d: got no attempts at u0 after a successful probe by another sidecar, want at least 1", owner)
		}
	}
}

// Probes stay within the slow-start budget of an endpoint that warms up.
func TestProbesRespectSlowStart(t *testing.T) {
	r := newSharingRig(t, 4)
	r.sendRequests(300, "c", alwaysOK)
	r.updateEndpoints(Delta, Endpoint{Upstream: "u0", Zone: "a", StartedAt: r.now})
	if ep := r.b.endpoints.byID["u0"]; !ep.slowStart.active {
		t.Fatalf("restarted endpoint: got slow start %+v, want an active one", ep.slowStart)
	}
	r.b.endpoints.byID["u0"].slowStart.tokens = 0
	r.handle(PeerVerdict{Upstream: "u0", StartedAt: r.now, Until: r.now + time.Minute, Since: r.now, Probes: ProbeBySelf})
	r.now += time.Second
	r.b.endpoints.byID["u0"].slowStart.refilledAt = r.now
	if to := r.wantAttempt(r.request("x", "c", time.Second)); to == "u0" {
		t.Error("slow-start bucket without a token: got an attempt at u0, want one at another endpoint")
	}
	r.b.endpoints.byID["u0"].slowStart.tokens = 5
	if to := r.wantAttempt(r.request("y", "c", time.Second)); to != "u0" {
		t.Errorf("slow-start bucket with five tokens: got an attempt at %s, want one at u0", to)
	}
}
