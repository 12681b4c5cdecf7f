package circuitbreaker

import (
	"time"

	"mosslead/internal/gossip/message"
)

// ProbeSteps is the number of probes that have to succeed in a row before a breaker is closed for all
// sidecars. After each of them but the last, a fraction of the ordinary picks is let through, so that a
// recovered upstream does not get the whole load at once.
const ProbeSteps = 3

// passFractions holds the fraction of picks that is let through, by the number of completed steps.
var passFractions = [ProbeSteps]float64{0, 0.1, 0.4}

// probeState is the latest probe result of an upstream. Of the results under the highest epoch seen,
// the latest one counts; a delayed result of an earlier leader is ignored.
type probeState struct {
	epoch     uint64 // highest epoch seen; it is retained when results expire and the upstream restarts
	startedMs int64  // start of the upstream's incarnation
	round     uint64 // number of closings of the breaker in this incarnation
	leader    string // sidecar that sent the result
	result    message.ProbeResult
	until     time.Duration // end of the result's validity, or 0 if there is no valid result
	failedAt  time.Duration // when a probe last failed
}

// reset clears the state for another incarnation of the upstream. The epoch belongs to the leadership and is
// retained.
func (p *probeState) reset(startedMs int64) {
	*p = probeState{epoch: p.epoch, startedMs: startedMs, failedAt: -evidenceLifetime}
}

func (t *VerdictTracker) onProbe(now time.Duration, e ProbeResult) {
	if len(e.Result.Upstream) > message.MaxName || e.Result.Step < 0 || e.Result.Step > ProbeSteps {
		return
	}
	u, listed := t.listed[e.Result.Upstream]
	if !listed || u.StartedMs != e.Result.StartedMs {
		return
	}
	p := t.probes[u.Name]
	if p == nil {
		p = &probeState{startedMs: u.StartedMs, failedAt: -evidenceLifetime}
		t.probes[u.Name] = p
	}
	if e.Result.Epoch < p.epoch || e.TTL <= 0 {
		return // a delayed result of an earlier leader, or an expired one
	}
	if e.Withdrawn {
		if e.From == p.leader {
			p.epoch, p.until = e.Result.Epoch, 0
		}
		return
	}
	if !e.Result.OK && e.Result.Count > 0 && (e.Result.Epoch != p.result.Epoch || e.Result.Count != p.result.Count) {
		p.failedAt = now // a failed probe that was not known yet
	}
	p.epoch, p.leader, p.result, p.until = e.Result.Epoch, e.From, e.Result, now+min(e.TTL, message.MaxTTL)
	p.round = e.Result.Round
}

// round returns how often an upstream's breaker was closed for all sidecars in its present incarnation.
func (t *VerdictTracker) round(upstream string) uint64 {
	if p := t.probes[upstream]; p != nil {
		return p.round
	}
	return 0
}

// Round returns the number of closings of an upstream's breaker, for new reports of this sidecar.
func (t *VerdictTracker) Round(upstream string) uint64 { return t.round(upstream) }

// probeFailedAt returns when a probe of upstream last failed. A failed probe confirms the reports on it.
func (t *VerdictTracker) probeFailedAt(upstream string) time.Duration {
	if p := t.probes[upstream]; p != nil {
		return p.failedAt
	}
	return -evidenceLifetime
}

// probing returns who probes upstream, how many probes in a row succeeded, and the fraction of picks that is
// let through.
func (t *VerdictTracker) probing(now time.Duration, upstream string) (owner ProbeOwner, step int, passFraction float64) {
	p := t.probes[upstream]
	if p != nil && now < p.until {
		if owner = ProbeByPeer; p.result.OK {
			step = min(p.result.Step, ProbeSteps-1)
			passFraction = passFractions[step]
		}
	}
	if t.ownProbes[upstream] {
		owner = ProbeBySelf
	}
	return owner, step, passFraction
}
