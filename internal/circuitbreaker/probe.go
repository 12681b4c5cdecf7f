package circuitbreaker

import (
	"time"

	"mosslead/internal/gossip/message"
)

// ProbeSteps is how many probes in a row have to succeed before a breaker is closed for all. After each of
// them but the last, a fraction of the ordinary picks is let through: an upstream that comes back does not
// get all at once.
const ProbeSteps = 3

// passFractions are the fractions let through after so many steps.
var passFractions = [ProbeSteps]float64{0, 0.1, 0.4}

// probeState is what is known of an upstream's probes. Only results of the highest epoch seen count, and of
// those the latest: what is known depends on what was received, not on its order.
type probeState struct {
	epoch     uint64 // the highest seen; outlasts results and incarnations
	startedMs int64  // of the incarnation
	round     uint64 // closings of it
	leader    string
	result    message.ProbeResult
	until     time.Duration // the result is valid until then; 0: none is
	failedAt  time.Duration // when a probe last failed
}

// reset begins another incarnation of the upstream. The epoch is the leadership's, and stays.
func (p *probeState) reset(sinceMs int64) {
	*p = probeState{epoch: p.epoch, startedMs: sinceMs, failedAt: -evidenceLifetime}
}

func (b *VerdictTracker) onProbe(now time.Duration, e ProbeResult) {
	if len(e.Result.Upstream) > message.MaxName || e.Result.Step < 0 || e.Result.Step > ProbeSteps {
		return
	}
	u, listed := b.listed[e.Result.Upstream]
	if !listed || u.StartedMs != e.Result.StartedMs {
		return
	}
	t := b.probes[u.Name]
	if t == nil {
		t = &probeState{startedMs: u.StartedMs, failedAt: -evidenceLifetime}
		b.probes[u.Name] = t
	}
	if e.Result.Epoch < t.epoch || e.TTL <= 0 {
		return // a late result of an earlier leader
	}
	if e.Withdrawn {
		if e.From == t.leader {
			t.epoch, t.until = e.Result.Epoch, 0
		}
		return
	}
	if !e.Result.OK && e.Result.Count > 0 && (e.Result.Epoch != t.result.Epoch || e.Result.Count != t.result.Count) {
		t.failedAt = now // one more failed probe than was known
	}
	t.epoch, t.leader, t.result, t.until = e.Result.Epoch, e.From, e.Result, now+min(e.TTL, message.MaxTTL)
	t.round = e.Result.Round
}

// round is how often an upstream's breaker was closed for all, in this incarnation of it.
func (b *VerdictTracker) round(upstream string) uint64 {
	if t := b.probes[upstream]; t != nil {
		return t.round
	}
	return 0
}

// Round is the closing that reports made now come after.
func (b *VerdictTracker) Round(upstream string) uint64 { return b.round(upstream) }

// probeFailedAt is when a probe of upstream last failed: that keeps reports of it valid.
func (b *VerdictTracker) probeFailedAt(upstream string) time.Duration {
	if t := b.probes[upstream]; t != nil {
		return t.failedAt
	}
	return -evidenceLifetime
}

// probing tells who probes upstream, how far the probes have come, and what fraction is let through for it.
func (b *VerdictTracker) probing(now time.Duration, upstream string) (owner ProbeOwner, step int, passFraction float64) {
	t := b.probes[upstream]
	if t != nil && now < t.until {
		if owner = ProbeByPeer; t.result.OK {
			step = min(t.result.Step, ProbeSteps-1)
			passFraction = passFractions[step]
		}
	}
	if b.ownProbes[upstream] {
		owner = ProbeBySelf
	}
	return owner, step, passFraction
}
