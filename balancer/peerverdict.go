package balancer

import (
	"slices"
	"time"
)

// A verdict of other sidecars on an endpoint never changes a latency estimate; estimates come only from this
// sidecar's own attempts. A verdict only excludes the endpoint from ordinary picks for some time, and
// determines which sidecar probes it. Bans, draining and slow start have precedence: a request that a verdict
// permits must still pass canAttempt.

const (
	// maxPeerEjectedFraction is the maximum fraction of a zone's usable endpoints that verdicts may exclude at
	// once. With more verdicts, the reporting sidecars are more likely to be at fault than the endpoints, and
	// the remaining endpoints would be congested.
	maxPeerEjectedFraction = 1.0 / 3
	// reinstatementTime is the time over which the load on an endpoint increases again after a verdict. It is
	// needed because all sidecars learn at the same time that the verdict has ended.
	reinstatementTime = time.Second
	// contradictionInterval is the minimum time between reports that an endpoint serves in spite of a verdict.
	contradictionInterval = 2 * time.Second
	// minClassSuccesses is the number of consecutive successes that contradict a verdict on a class. An endpoint
	// that fails half of its requests reaches it with a probability of 1 in 32.
	minClassSuccesses = 5
)

// ProbeOwner specifies which sidecar probes an endpoint that a verdict excludes.
type ProbeOwner int

// The owners of probes.
const (
	ProbeByEach ProbeOwner = iota // each sidecar probes for itself, as without gossip
	ProbeByPeer                   // another sidecar probes, and this one does not
	ProbeBySelf                   // this sidecar probes for all sidecars
)

// PeerVerdict carries a verdict that is based on reports of other sidecars or, with Until 0, ends one. It is
// ignored without Settings.ShareEvidence.
type PeerVerdict struct {
	Upstream  string
	StartedAt time.Duration // start of the process that the verdict is about, as in Endpoint
	Class     string        // empty: all classes
	Until     time.Duration // clock time of the verdict's end
	// Since is the clock time of the first report. Successes of later attempts contradict the verdict.
	Since          time.Duration
	PassFraction   float64 // permitted fraction of picks; above 0 while the verdict is withdrawn in steps
	Probes         ProbeOwner
	ProbeSucceeded bool // with Until 0: a probe made for all sidecars has succeeded
}

func (PeerVerdict) event() {}

// verdict is a PeerVerdict in force.
type verdict struct {
	until, since   time.Duration
	passFraction   float64
	probes         ProbeOwner
	successes      int           // consecutive, of attempts sent after since
	contradictedAt time.Duration // when a success was last reported to other sidecars; 0: never
	enforced       bool          // the verdict excludes the endpoint, or did until it ended
}

// onPeerVerdict applies a verdict of other sidecars.
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
	if e.PassFraction != v.passFraction { // successes in the previous step do not count in this one
		v.since, v.successes = b.now, 0
	}
	v.until, v.passFraction, v.probes = e.Until, min(max(e.PassFraction, 0), 1), e.Probes
	if e.Probes == ProbeBySelf && !slices.Contains(b.probedEndpoints, ep) {
		b.beginProbing(ep)
	}
}

// endVerdict ends a verdict, which may be nil. With reinstate, this sidecar's own ejection of the endpoint
// also ends, after a random part of reinstatementTime.
func (b *Balancer) endVerdict(ep *endpoint, v *verdict, reinstate bool) {
	if v != nil {
		v.until, v.probes = min(v.until, b.now), ProbeByEach
	}
	if reinstate && b.now < ep.health.ejectedUntil {
		wait := time.Duration(b.rng.Float64() * float64(reinstatementTime))
		ep.health.ejectedUntil = min(ep.health.ejectedUntil, b.now+wait)
	}
}

// excludedByEvidence reports whether a verdict, or this sidecar's evidence on r's class, excludes an endpoint
// for r.
func (b *Balancer) excludedByEvidence(ep *endpoint, r *request) bool {
	g := ep.gossip
	if g == nil || len(g.verdicts) == 0 && g.evidence.ejectedClassCount == 0 {
		return false // the usual case, which has to be fast
	}
	if ep.health.ejections > 0 { // ejected by this sidecar: a verdict only determines who probes
		v := g.verdicts[""]
		sharedProbing := v != nil && b.now < v.until && v.probes != ProbeByEach
		return sharedProbing && b.rng.Float64() >= v.passFraction || b.classExcluded(ep, r)
	}
	return b.classExcluded(ep, r) || b.excludedByVerdict(ep, "", r) || b.excludedByVerdict(ep, r.class.Name, r)
}

// excludedByVerdict reports whether the verdict on a class excludes an endpoint for r. After the end of the
// verdict, an increasing fraction of requests is permitted, up to all after reinstatementTime.
func (b *Balancer) excludedByVerdict(ep *endpoint, class string, r *request) bool {
	v := ep.gossip.verdicts[class]
	if v == nil {
		return false
	}
	passing, sinceEnd := v.passFraction, b.now-v.until
	switch {
	case sinceEnd < 0:
		v.enforced = !v.contradicted(ep, class)
	case sinceEnd >= reinstatementTime:
		delete(ep.gossip.verdicts, class)
		return false
	default:
		passing = max(passing, float64(sinceEnd)/float64(reinstatementTime))
	}
	return v.enforced && b.withinEjectionBound(ep, r.class.Name) && (passing == 0 || b.rng.Float64() >= passing)
}

// contradicted reports whether this sidecar's successes outweigh the verdict. One success is enough, except
// for a verdict on a class, which needs minClassSuccesses. Attempts that are permitted while the verdict is
// withdrawn in steps, and probes for all sidecars, don't count here: they decide whether the verdict ends for
// all sidecars.
func (v *verdict) contradicted(ep *endpoint, class string) bool {
	switch {
	case v.passFraction > 0 || v.probes == ProbeBySelf:
		return false
	case class == "":
		return v.successes > 0 || ep.health.lastServedSentAt > v.since
	}
	return v.successes >= minClassSuccesses
}

// withinEjectionBound reports whether a verdict may exclude an endpoint. In each zone, only the endpoints
// that have been under a verdict the longest are excluded, up to maxPeerEjectedFraction of the endpoints
// that could be used otherwise. This is checked in each pick, so that the bound also holds after endpoints
// are removed or ejected.
func (b *Balancer) withinEjectionBound(ep *endpoint, class string) bool {
	usable, ahead := 0, 0
	since, _ := ep.underVerdict(b.now, class)
	for _, x := range b.endpoints.order {
		if x.zone != ep.zone || x.banned || b.now < x.health.ejectedUntil || x.classEjected(class, b.now) {
			continue
		}
		usable++
		otherSince, ok := x.underVerdict(b.now, class)
		if x != ep && ok && (otherSince < since || otherSince == since && x.id < ep.id) {
			ahead++
		}
	}
	return float64(ahead+1) <= maxPeerEjectedFraction*float64(usable)
}

// underVerdict tells whether a verdict would keep a class from an endpoint, and since when.
func (ep *endpoint) underVerdict(now time.Duration, class string) (since time.Duration, ok bool) {
	if ep.gossip == nil {
		return 0, false
	}
	for _, c := range [...]string{"", class} {
		v := ep.gossip.verdicts[c]
		if v == nil || !v.inForce(now, ep, c) {
			continue
		}
		if !ok || v.since < since {
			since, ok = v.since, true
		}
	}
	return since, ok
}

// inForce reports whether a verdict on a class still excludes the endpoint from some or all picks.
func (v *verdict) inForce(now time.Duration, ep *endpoint, class string) bool {
	if now < v.until {
		return !v.contradicted(ep, class)
	}
	return now < v.until+reinstatementTime && v.enforced
}

// recordAgainstVerdicts counts this sidecar's successes against the verdicts on an endpoint, and reports
// them to other sidecars, since the verdict may be wrong.
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
		reportDue := v.contradictedAt == 0 || b.now-v.contradictedAt >= contradictionInterval
		if success && v.contradicted(ep, class) && reportDue {
			v.contradictedAt = b.now
			b.emit(Action{Kind: ReportEvidence, Upstream: ep.id, Class: class, Count: v.successes, At: ep.startedAt})
		}
	}
}
