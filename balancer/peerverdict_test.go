package balancer

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newSharingRig has n upstreams in the home zone (four: its whole subset), a class c and a class d, and hears of others.
func newSharingRig(t *testing.T, n int) *rig {
	s := testSettings()
	s.ShareEvidence = true
	s.Classes = append(s.Classes, Class{Name: "d", LatencyObjective: 200 * ms, Deadline: time.Second, PriorityWeight: 1},
		Class{Name: "unsafe", LatencyObjective: 200 * ms, Deadline: time.Second, PriorityWeight: 1, Idempotency: NotIdempotent})
	r := newRig(t, s)
	r.setEndpoints(n)
	return r
}

func (r *rig) applyVerdict(u, class string, attempts ProbeOwner, fraction float64) {
	r.handle(PeerVerdict{Upstream: u, Class: class, Until: r.now + time.Minute, Since: r.now, PassFraction: fraction, Probes: attempts})
}

// sendRequests sends n requests of a class one after another, 10 ms apart and 20 to 80 ms each, and tells how many attempts each upstream got and what was
// reported.
func (r *rig) sendRequests(n int, class string, reply func(u string) Result) (sends map[string]int, reports []Action) {
	sends = map[string]int{}
	for i := range n {
		r.now += 10 * ms
		id := fmt.Sprint(class, r.now, i)
		actions := r.request(id, class, time.Second)
		for k := 0; ; k++ {
			reports = append(reports, actionsOfKind(actions, ReportEvidence)...)
			s := actionsOfKind(actions, StartAttempt)
			if len(s) == 0 {
				break
			}
			sends[s[0].Upstream]++
			usedFraction := time.Duration(20+(37*len(r.b.endpoints.order)+53*i+int(r.now/ms))%60) * ms
			r.now += usedFraction
			actions = r.endAttempt(id, k, reply(s[0].Upstream), usedFraction)
		}
	}
	return sends, reports
}

func alwaysOK(string) Result { return OK }

func TestVerdictExcludesForItsTime(t *testing.T) {
	r := newSharingRig(t, 4)
	before := r.b.endpoints.byID["u0"].latency
	r.applyVerdict("u0", "", ProbeByEach, 0)
	if sends, _ := r.sendRequests(200, "c", alwaysOK); sends["u0"] != 0 || len(sends) != 3 {
		t.Errorf("sent %v", sends)
	}
	if r.b.endpoints.byID["u0"].latency != before {
		t.Error("hearsay changed an estimate")
	}
	r.handle(PeerVerdict{Upstream: "u0"})
	probe := &request{class: r.b.classes["c"]}
	for _, back := range []time.Duration{100 * ms, 900 * ms} {
		excluded := 0
		for range 1000 {
			r.b.now = r.now + back
			if r.b.excludedByEvidence(r.b.endpoints.byID["u0"], probe) {
				excluded++
			}
		}
		if want := 1000 - int(back/ms); excluded < want-60 || excluded > want+60 {
			t.Errorf("%d of 1000 kept out %v after the end", excluded, back)
		}
	}
	r.now += reinstatementTime
	if sends, _ := r.sendRequests(200, "c", alwaysOK); sends["u0"] < 10 {
		t.Errorf("not back: sent %v", sends)
	}
}

// Hearsay of a class leaves the others; of another life it is nothing; a restart voids it; an own success since outranks it,
// and is told.
func TestVerdictOfOneClassOrIncarnation(t *testing.T) {
	r := newSharingRig(t, 4)
	r.applyVerdict("u0", "c", ProbeByEach, 0)
	if sends, _ := r.sendRequests(100, "c", alwaysOK); sends["u0"] != 0 {
		t.Errorf("c: sent %v", sends)
	}
	if sends, _ := r.sendRequests(100, "d", alwaysOK); sends["u0"] == 0 {
		t.Errorf("d: sent %v", sends)
	}
	r.handle(PeerVerdict{Upstream: "u1", StartedAt: time.Second, Until: r.now + time.Minute, Since: r.now})
	r.applyVerdict("u2", "", ProbeByEach, 0)
	r.updateEndpoints(Delta, Endpoint{Upstream: "u2", Zone: "a", StartedAt: r.now - 50*time.Second})
	if sends, _ := r.sendRequests(100, "d", alwaysOK); sends["u1"] == 0 || sends["u2"] == 0 {
		t.Errorf("sent %v", sends)
	}
	r.handle(PeerVerdict{Upstream: "u3", Until: r.now + time.Minute, Since: r.now - time.Second})
	if sends, _ := r.sendRequests(100, "d", alwaysOK); sends["u3"] == 0 {
		t.Error("an own success since did not outrank what was said")
	}
	r.request("flying", "d", time.Second)
	u := r.b.requests["flying"].attempts[0].endpoint
	r.handle(PeerVerdict{Upstream: u.id, Until: r.now + time.Minute, Since: r.now - ms})
	r.now += 5 * ms
	if rep := actionsOfKind(r.endAttempt("flying", 0, OK, 5*ms), ReportEvidence); len(rep) != 1 || rep[0].Evidence != EvidenceNone || rep[0].Count != 1 {
		t.Errorf("its success was told as %+v", rep)
	}
}

// However verdicts, ejections, bans and the list come together: peer verdicts keeps out no more than its part of the usable ones.
func TestVerdictsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := testSettings()
		s.ShareEvidence = true
		b, err := New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		now, probe := time.Minute, &request{class: b.classes["c"]}
		upstream := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("u", rapid.IntRange(0, 8).Draw(t, "u")) })
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * ms
			u := upstream.Draw(t, "upstream")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				b.Handle(now, PeerVerdict{Upstream: u, Class: rapid.SampledFrom([]string{"", "c"}).Draw(t, "class"), Since: now,
					Until: now + time.Duration(rapid.IntRange(0, 5).Draw(t, "s"))*time.Second, Probes: ProbeOwner(rapid.IntRange(0, 2).Draw(t, "tries"))}, nil)
			case 2:
				state := EndpointState(rapid.IntRange(0, 1).Draw(t, "state"))
				b.Handle(now, EndpointUpdate{Kind: Delta, Endpoints: []Endpoint{{Upstream: u, Zone: []string{"a", "b"}[int(u[1])%2], State: state}}}, nil)
			case 3:
				b.Handle(now, Ban{Upstream: u, Cleared: rapid.Bool().Draw(t, "lifted")}, nil)
			case 4:
				if x := b.endpoints.byID[u]; x != nil {
					b.now = now
					b.eject(x)
				}
			}
			b.now = now
			for _, zone := range []string{"a", "b"} {
				usable, excluded := 0, 0
				for _, x := range b.endpoints.order {
					if x.zone != zone || x.banned || now < x.health.ejectedUntil {
						continue
					}
					usable++
					if x.health.ejections == 0 && b.excludedByEvidence(x, probe) {
						excluded++
					}
				}
				if 3*excluded > usable {
					t.Fatalf("hearsay keeps out %d of %d usable", excluded, usable)
				}
			}
		}
	})
}
