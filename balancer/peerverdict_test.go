package balancer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newSharingRig returns a rig with ShareEvidence and n endpoints in the local zone (if n is 4, all are in the subset).
// Classes c and d are idempotent, class unsafe is not.
func newSharingRig(t *testing.T, n int) *rig {
	s := testSettings()
	s.ShareEvidence = true
	s.Classes = append(s.Classes, Class{Name: "d", LatencyObjective: 200 * ms, Deadline: time.Second, PriorityWeight: 1},
		Class{Name: "unsafe", LatencyObjective: 200 * ms, Deadline: time.Second, PriorityWeight: 1, Idempotency: NotIdempotent})
	r := newRig(t, s)
	r.setEndpoints(n)
	return r
}

// applyVerdict sends a verdict that is in force for a minute.
func (r *rig) applyVerdict(endpoint, class string, probes ProbeOwner, passFraction float64) {
	r.handle(PeerVerdict{Upstream: endpoint, Class: class, Until: r.now + time.Minute, Since: r.now, PassFraction: passFraction, Probes: probes})
}

// sendRequests sends n requests of a class, each 10 ms after the previous one has ended. Attempts last 20 to 80 ms. It
// returns the number of attempts at each endpoint, and the ReportEvidence actions.
func (r *rig) sendRequests(n int, class string, reply func(endpoint string) Result) (sentTo map[string]int, reports []Action) {
	sentTo = map[string]int{}
	for i := range n {
		r.now += 10 * ms
		id := fmt.Sprint(class, r.now, i)
		actions := r.request(id, class, time.Second)
		for attempt := 0; ; attempt++ {
			reports = append(reports, actionsOfKind(actions, ReportEvidence)...)
			starts := actionsOfKind(actions, StartAttempt)
			if len(starts) == 0 {
				break
			}
			sentTo[starts[0].Upstream]++
			latency := time.Duration(20+(37*len(r.b.endpoints.order)+53*i+int(r.now/ms))%60) * ms
			r.now += latency
			actions = r.endAttempt(id, attempt, reply(starts[0].Upstream), latency)
		}
	}
	return sentTo, reports
}

func alwaysOK(string) Result { return OK }

func TestVerdictExcludesForItsTime(t *testing.T) {
	r := newSharingRig(t, 4)
	before := r.b.endpoints.byID["u0"].latency
	r.applyVerdict("u0", "", ProbeByEach, 0)
	if sentTo, _ := r.sendRequests(200, "c", alwaysOK); sentTo["u0"] != 0 || len(sentTo) != 3 {
		t.Errorf("under a verdict on u0: got attempts %v, want some at each of the three others", sentTo)
	}
	if r.b.endpoints.byID["u0"].latency != before {
		t.Errorf("got estimate %+v after a verdict, want %+v", r.b.endpoints.byID["u0"].latency, before)
	}
	r.handle(PeerVerdict{Upstream: "u0"})
	req := &request{class: r.b.classes["c"]}
	for _, sinceEnd := range []time.Duration{100 * ms, 900 * ms} {
		excluded := 0
		for range 1000 {
			r.b.now = r.now + sinceEnd
			if r.b.excludedByEvidence(r.b.endpoints.byID["u0"], req) {
				excluded++
			}
		}
		if want := 1000 - int(sinceEnd/ms); excluded < want-60 || excluded > want+60 {
			t.Errorf("%v after the end of the verdict: got %d of 1000 picks excluded, want %d within 60", sinceEnd, excluded, want)
		}
	}
	r.now += reinstatementTime
	if sentTo, _ := r.sendRequests(200, "c", alwaysOK); sentTo["u0"] < 10 {
		t.Errorf("after the verdict: got attempts %v, want 10 or more at u0", sentTo)
	}
}

// A verdict on one class does not affect the others. One on another process of an endpoint is ignored, and a restart
// ends one. Later successes at this sidecar contradict a verdict, and are reported.
func TestVerdictOfOneClassOrIncarnation(t *testing.T) {
	r := newSharingRig(t, 4)
	r.applyVerdict("u0", "c", ProbeByEach, 0)
	if sentTo, _ := r.sendRequests(100, "c", alwaysOK); sentTo["u0"] != 0 {
		t.Errorf("class c under a verdict on u0: got attempts %v, want none at u0", sentTo)
	}
	if sentTo, _ := r.sendRequests(100, "d", alwaysOK); sentTo["u0"] == 0 {
		t.Errorf("class d without a verdict: got attempts %v, want some at u0", sentTo)
	}
	r.handle(PeerVerdict{Upstream: "u1", StartedAt: time.Second, Until: r.now + time.Minute, Since: r.now})
	r.applyVerdict("u2", "", ProbeByEach, 0)
	r.updateEndpoints(Delta, Endpoint{Upstream: "u2", Zone: "a", StartedAt: r.now - 50*time.Second})
	if sentTo, _ := r.sendRequests(100, "d", alwaysOK); sentTo["u1"] == 0 || sentTo["u2"] == 0 {
		t.Errorf("verdicts on other processes: got attempts %v, want some at u1 and u2", sentTo)
	}
	r.handle(PeerVerdict{Upstream: "u3", Until: r.now + time.Minute, Since: r.now - time.Second})
	if sentTo, _ := r.sendRequests(100, "d", alwaysOK); sentTo["u3"] == 0 {
		t.Errorf("after later successes: got attempts %v, want some at u3", sentTo)
	}
	r.request("flying", "d", time.Second)
	ep := r.b.requests["flying"].attempts[0].endpoint
	r.handle(PeerVerdict{Upstream: ep.id, Until: r.now + time.Minute, Since: r.now - ms})
	r.now += 5 * ms
	if reports := actionsOfKind(r.endAttempt("flying", 0, OK, 5*ms), ReportEvidence); len(reports) != 1 || reports[0].Evidence != EvidenceNone || reports[0].Count != 1 {
		t.Errorf("success under a verdict: got reports %+v, want one of EvidenceNone with count 1", reports)
	}
}

// Verdicts never exclude more than a third of a zone's usable endpoints, in whatever order verdicts, ejections, bans and
// endpoint updates arrive.
func TestVerdictsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := testSettings()
		s.ShareEvidence = true
		b, err := New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		now, req := time.Minute, &request{class: b.classes["c"]}
		endpointID := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("u", rapid.IntRange(0, 8).Draw(t, "u")) })
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * ms
			id := endpointID.Draw(t, "upstream")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				b.Handle(now, PeerVerdict{Upstream: id, Class: rapid.SampledFrom([]string{"", "c"}).Draw(t, "class"), Since: now,
					Until: now + time.Duration(rapid.IntRange(0, 5).Draw(t, "s"))*time.Second, Probes: ProbeOwner(rapid.IntRange(0, 2).Draw(t, "tries"))}, nil)
			case 2:
				state := EndpointState(rapid.IntRange(0, 1).Draw(t, "state"))
				b.Handle(now, EndpointUpdate{Kind: Delta, Endpoints: []Endpoint{{Upstream: id, Zone: []string{"a", "b"}[int(id[1])%2], State: state}}}, nil)
			case 3:
				b.Handle(now, Ban{Upstream: id, Cleared: rapid.Bool().Draw(t, "lifted")}, nil)
			case 4:
				if ep := b.endpoints.byID[id]; ep != nil {
					b.now = now
					b.eject(ep)
				}
			}
			b.now = now
			for _, zone := range []string{"a", "b"} {
				usable, excluded := 0, 0
				for _, ep := range b.endpoints.order {
					if ep.zone != zone || ep.banned || now < ep.health.ejectedUntil {
						continue
					}
					usable++
					if ep.health.ejections == 0 && b.excludedByEvidence(ep, req) {
						excluded++
					}
				}
				if 3*excluded > usable {
					t.Fatalf("zone %s: got %d of %d usable endpoints excluded, want no more than a third", zone, excluded, usable)
				}
			}
		}
	})
}
