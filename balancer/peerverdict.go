package balancer

import (
	"slices"
	"time"
)

// A verdict of other sidecars on an endpoint never enters an estimate: those come from this sidecar's own
// attempts. It only keeps the endpoint out of ordinary picks for a while, and says who probes it. Bans,
// draining and slow start rank above: what a verdict lets through still has to pass canAttempt.

const (
	// maxPeerEjectedFraction bounds how many of a zone's usable endpoints verdicts may keep out at once. With
	// more of them the reporters are the likelier fault, and the others would be congested.
	maxPeerEjectedFraction = 1.0 / 3
	// reinstatementTime is the time over which an endpoint comes back: all sidecars learn at once that a verdict
	// has ended.
	reinstatementTime = time.Second
	// contradictionInterval is how often others are told that an endpoint serves in spite of a verdict.
	contradictionInterval = 2 * time.Second
	// minClassSuccesses is how many successes in a row contradict a verdict on a class: an endpoint that fails
	// half of its requests has 1 in 32.
	minClassSuccesses = 5
)

// ProbeOwner tells who sends the probes of an endpoint that a verdict keeps out.
type ProbeOwner int

// The owners of probes.
const (
	ProbeByEach ProbeOwner = iota // each sidecar its own, as without gossip
	ProbeByPeer                   // another sidecar: this one sends none
	ProbeBySelf                   // this sidecar, for all
)

// PeerVerdict brings a verdict that rests on reports of other sidecars or, with Until 0, its end. It is
// ignored without Settings.ShareEvidence.
type PeerVerdict struct {
	Upstream       string
	StartedAt      time.Duration // start of the process that is meant, as in Endpoint
	Class          string        // empty: all
	Until          time.Duration // clock time
	Since          time.Duration // clock time of the first report: successes sent later contradict it
	PassFraction   float64       // of picks that is let through all the same, while it ends in steps
	Probes         ProbeOwner
	ProbeSucceeded bool // with Until 0: a probe made for all has succeeded, own ones need not wait
}

func (PeerVerdict) event() {}

// verdict is a PeerVerdict in force.
type verdict struct {
	until, since   time.Duration
	passFraction   float64
	probes         ProbeOwner
	successes      int           // in a row, of attempts sent since
	contradictedAt time.Duration // when others were last told that the endpoint serves; 0: never
	enforced       bool          // it keeps requests out, or did until it ended
}

// onPeerVerdict takes in a verdict of other sidecars.
func (b *Balancer) onPeerVerdict(e PeerVerdict) {
	ep := b.endpoints.byID[e.Upstream]
	unknownClass := e.Class != "" && b.classes[e.Class] == nil
	if !b.settings.ShareEvidence || ep == nil || unknownClass {
		return
	}
	if (ep.startedAt - e.StartedAt).Abs() > startTolerance { // another process of the endpoint
		return
	}
	g := b.gossipOf(ep)
	v := g.verdicts[e.Class]
	if e.Until <= b.now {
		b.endVerdict(ep, v, e.ProbeSucceeded)
		return
	}
	if v == nil || v.until <= b.now {
		v = &verdict{since: e.Since}
		g.verdicts[e.Class] = v
	}
	if e.PassFraction != v.passFraction { // successes of the step before say nothing of this one
		v.since, v.successes = b.now, 0
	}
	v.until, v.passFraction, v.probes = e.Until, min(max(e.PassFraction, 0), 1), e.Probes
	if e.Probes == ProbeBySelf && !slices.Contains(b.probedEndpoints, ep) {
		b.beginProbing(ep)
	}
}

// endVerdict ends a verdict, which may be nil. An own ejection ends with it soon if a probe has succeeded, at
// a time that each sidecar draws.
func (b *Balancer) endVerdict(ep *endpoint, v *verdict, probeSucceeded bool) {
	if v != nil {
		v.until, v.probes = min(v.until, b.now), ProbeByEach
	}
	if probeSucceeded && b.now < ep.health.ejectedUntil {
		wait := time.Duration(b.rng.Float64() * float64(reinstatementTime))
		ep.health.ejectedUntil = min(ep.health.ejectedUntil, b.now+wait)
	}
}

// excludedByEvidence tells whether r is kept from an endpoint by a verdict, or by own evidence on its class.
func (b *Balancer) excludedByEvidence(ep *endpoint, r *request) bool {
	g := ep.gossip
	if g == nil || len(g.verdicts) == 0 && g.evidence.ejectedClassCount == 0 {
		return false // the ordinary case, in every pick
	}
	if ep.health.ejections > 0 { // by own evidence: a verdict only says who probes
		v := g.verdicts[""]
		others := v != nil && b.now < v.until && v.probes != ProbeByEach
		return others && b.rng.Float64() >= v.passFraction || b.classExcluded(ep, r)
	}
	return b.classExcluded(ep, r) || b.excludedByVerdict(ep, "", r) || b.excludedByVerdict(ep, r.class.Name, r)
}

// excludedByVerdict tells whether the verdict on a class keeps r from an endpoint. One that has ended lets
// more and more through over reinstatementTime.
func (b *Balancer) excludedByVerdict(ep *endpoint, class string, r *request) bool {
	v := ep.gossip.verdicts[class]
	if v == nil {
		return false
	}
	through, endedFor := v.passFraction, b.now-v.until
	switch {
	case endedFor < 0:
		v.enforced = !v.contradicted(ep, class)
	case endedFor >= reinstatementTime:
		delete(ep.gossip.verdicts, class)
		return false
	default:
		through = max(through, float64(endedFor)/float64(reinstatementTime))
	}
	return v.enforced && b.withinEjectionBound(ep, r.class.Name) && (through == 0 || b.rng.Float64() >= through)
}

// contradicted tells whether own successes outweigh the verdict: one is enough, but on a class it takes
// several. Attempts that are let through in steps, or are probes for all, don't count: by them the verdict
// ends for all sidecars or for none.
func (v *verdict) contradicted(ep *endpoint, class string) bool {
	switch {
	case v.passFraction > 0 || v.probes == ProbeBySelf:
		return false
	case class == "":
		return v.successes > 0 || ep.health.lastServedSentAt > v.since
	}
	return v.successes >= minClassSuccesses
}

// withinEjectionBound tells whether a verdict may keep an endpoint out: only those longest under a verdict in
// their zone are, up to maxPeerEjectedFraction of the endpoints that could be used otherwise. It is looked at
// in each pick, so that it holds when endpoints are removed or ejected.
func (b *Balancer) withinEjectionBound(ep *endpoint, class string) bool {
	usable, ahead := 0, 0
	since, _ := ep.underVerdict(b.now, class)
	for _, x := range b.endpoints.order {
		if x.zone != ep.zone || x.banned || b.now < x.health.ejectedUntil || x.classEjected(class, b.now) {
			continue
		}
		usable++
		other, known := x.underVerdict(b.now, class)
		if x != ep && known && (other < since || other == since && x.id < ep.id) {
			ahead++
		}
	}
	return float64(ahead+1) <= maxPeerEjectedFraction*float64(usable)
}

// underVerdict tells whether a verdict would keep a class from an endpoint, and since when.
func (ep *endpoint) underVerdict(now time.Duration, class string) (since time.Duration, known bool) {
	if ep.gossip == nil {
		return 0, false
	}
	for _, c := range [...]string{"", class} {
		v := ep.gossip.verdicts[c]
		if v == nil || !v.inForce(now, ep, c) {
			continue
		}
		if !known || v.since < since {
			since, known = v.since, true
		}
	}
	return since, known
}

func (v *verdict) inForce(now time.Duration, ep *endpoint, class string) bool {
	if now < v.until {
		return !v.contradicted(ep, class)
	}
	return now < v.until+reinstatementTime && v.enforced
}

// recordAgainstVerdicts counts own successes against the verdicts on an endpoint, and tells others of them:
// the verdict may be wrong.
func (b *Balancer) recordAgainstVerdicts(a *attempt, success bool) {
	ep := a.endpoint
	for _, class := range [...]string{"", a.request.class.Name} {
		v := ep.gossip.verdicts[class]
		if v == nil || b.now >= v.until || a.sentAt <= v.since {
			continue
		}
		if v.successes++; !success {
			v.successes = 0
		}
		due := v.contradictedAt == 0 || b.now-v.contradictedAt >= contradictionInterval
		if success && v.contradicted(ep, class) && due {
			v.contradictedAt = b.now
			b.emit(Action{Kind: ReportEvidence, Upstream: ep.id, Class: class, Count: v.successes, At: ep.startedAt})
		}
	}
}
