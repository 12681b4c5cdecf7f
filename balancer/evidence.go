package balancer

import (
	"log/slog"
	"math/bits"
	"time"
)

// What this sidecar's own attempts tell of endpoints is reported to other sidecars, if Settings.ShareEvidence
// is on. It is kept by class, too: an endpoint may fail requests of one class and serve those of another.

// Evidence is why an endpoint is ejected.
type Evidence int

// The kinds of evidence.
const (
	EvidenceNone        Evidence = iota // it is not ejected, or no longer
	EvidenceErrors                      // error answers
	EvidenceConnections                 // connections refused or broken
	EvidenceSilence                     // no answers
	EvidenceRejections                  // it rejects everything
)

const (
	errorWindowSize = 32               // answers of a class that are looked back on
	errorWindowAge  = 30 * time.Second // and for no longer than this
	minErrorRate    = 0.02             // errors pass as chance up to this rate
	// minErrorFraction is the fraction of errors from which on a class is ejected. Fewer cost less than the
	// capacity that an ejection takes.
	minErrorFraction = 0.25
	// outlierSignificance is the probability with which chance may eject a class. It is tested at each error, on
	// tens of endpoints and classes.
	outlierSignificance = 2e-4
	// probesToReinstate is how many probes in a row have to succeed: one that fails half of them has 1 in 32.
	probesToReinstate = 5

	unknownTenant = -2 // -1 is a request without one
)

// gossipState is what is shared with other sidecars about one process of an endpoint.
type gossipState struct {
	evidence evidence            // this file
	verdicts map[string]*verdict // by class, "" for all: peerverdict.go
	probe    sharedProbe         // probe.go
}

// evidence is what this sidecar's attempts tell of an endpoint, beyond health.
type evidence struct {
	windows           map[string]*errorWindow // by class
	ejectedClassCount int
	suspected         bool   // a first failure was reported
	errorRunClass     string // class of the errors in a row; empty: of several
	reportedClass     string // class that the ejection was reported for; empty: all
}

func (b *Balancer) gossipOf(ep *endpoint) *gossipState {
	if ep.gossip == nil {
		ep.gossip = &gossipState{
			verdicts: map[string]*verdict{},
			evidence: evidence{windows: map[string]*errorWindow{}},
		}
	}
	return ep.gossip
}

// errorWindow holds the latest answers by one endpoint to requests of one class, and the class's ejection.
type errorWindow struct {
	errorBits    uint32               // the latest in the lowest bit; set: an error
	answers      int                  // answers
	tenants      [errorWindowSize]int // of the requests, a ring
	latest       int                  // index in tenants
	lastAt       time.Duration
	lastServedAt time.Duration
	errorRun     int // errors in a row

	ejectedUntil    time.Duration
	ejections       int // in a row
	probesSucceeded int // in a row, since then
}

func (w *errorWindow) add(isError bool, tenant int, now time.Duration) {
	if now-w.lastAt > errorWindowAge {
		w.errorBits, w.answers = 0, 0
	}
	w.latest = (w.latest + 1) % errorWindowSize
	w.tenants[w.latest] = tenant
	w.lastAt, w.errorBits, w.answers = now, w.errorBits<<1, min(w.answers+1, errorWindowSize)
	if w.errorRun++; isError {
		w.errorBits |= 1
	} else {
		w.errorRun, w.lastServedAt = 0, now
	}
}

func (w *errorWindow) errorCount() int {
	return bits.OnesCount32(w.errorBits << (errorWindowSize - w.answers))
}

// answer is the i-th latest answer.
func (w *errorWindow) answer(i int) (isError bool, tenant int) {
	return w.errorBits>>i&1 == 1, w.tenants[(w.latest-i+errorWindowSize)%errorWindowSize]
}

// failsOneTenantOnly tells whether all errors are of one tenant's requests while others' are served: that
// says something of the tenant, and not of the endpoint.
func (w *errorWindow) failsOneTenantOnly() bool {
	culprit, servedOthers := unknownTenant, 0
	for i := range w.answers {
		isError, tenant := w.answer(i)
		if !isError {
			continue
		}
		if culprit != unknownTenant && culprit != tenant {
			return false
		}
		culprit = tenant
	}
	for i := range w.answers {
		isError, tenant := w.answer(i)
		if culprit != unknownTenant && !isError && tenant != culprit {
			servedOthers++
		}
	}
	return servedOthers >= failuresToEject
}

// ejected is false for a nil window.
func (w *errorWindow) ejected(now time.Duration) bool { return w != nil && now < w.ejectedUntil }

// reportEvidence reports an ejection or, with EvidenceNone, its end. It is of the one class that the errors
// in a row are of, if they are, and is not reported if they are of one tenant's requests.
func (b *Balancer) reportEvidence(ep *endpoint, cause Evidence, count int) {
	if !b.settings.ShareEvidence {
		return
	}
	own := &b.gossipOf(ep).evidence
	window := own.windows[own.reportedClass]
	switch {
	case cause == EvidenceNone && window != nil && window.ejections > 0:
		return // the class stays ejected, see recordEvidence
	case cause == EvidenceErrors:
		own.reportedClass = own.errorRunClass
		if own.errorRunClass != "" && own.windows[own.errorRunClass].failsOneTenantOnly() {
			return
		}
	case cause != EvidenceNone:
		own.reportedClass = ""
	}
	b.emit(Action{Kind: ReportEvidence, Upstream: ep.id, Class: own.reportedClass, Evidence: cause, Count: count,
		At: ep.startedAt})
}

// reportSuspicion reports a first failure since the endpoint last answered. It is no evidence by itself, but
// may be all that a sidecar sees of an endpoint for seconds; several together confirm another's verdict.
func (b *Balancer) reportSuspicion(ep *endpoint) {
	if !b.settings.ShareEvidence || ep.health.ejections > 0 {
		return
	}
	if _, known := ep.underVerdict(b.now, ""); known {
		return
	}
	b.gossipOf(ep).evidence.suspected = true
	b.emit(Action{Kind: ReportEvidence, Suspicion: true, Upstream: ep.id, Evidence: ep.health.ejectionCause(),
		Count: 1, At: ep.startedAt})
}

// recordEvidence takes in an attempt's result before updateHealth does. An endpoint that fails half of the
// requests of one class, and serves the others, hardly ever fails three in a row; it must not be ejected for
// the others.
func (b *Balancer) recordEvidence(a *attempt, res Result) {
	if !b.settings.ShareEvidence {
		return
	}
	ep := a.endpoint
	g := b.gossipOf(ep)
	if g.probe.request == a.request && a.number == g.probe.attempt {
		b.onProbeEnded(a, res)
	}
	answered := res == OK || res == ServerError || res == Overloaded
	if g.evidence.suspected && answered {
		g.evidence.suspected = false
		if ep.health.ejections == 0 {
			b.emit(Action{Kind: ReportEvidence, Upstream: ep.id, At: ep.startedAt})
		}
	}
	if res != OK && res != ServerError {
		return
	}
	b.recordAgainstVerdicts(a, res == OK)
	b.recordAnswer(a, res == ServerError)
}

// recordAnswer takes an answer into its class's window, and ejects or reinstates the class.
func (b *Balancer) recordAnswer(a *attempt, isError bool) {
	ep, class := a.endpoint, a.request.class.Name
	own := &ep.gossip.evidence
	w := own.windows[class]
	if w == nil {
		w = &errorWindow{}
		own.windows[class] = w
	}
	w.add(isError, a.request.tenant, b.now)
	if isError && ep.health.errors == 0 {
		own.errorRunClass = class
	} else if isError && own.errorRunClass != class {
		own.errorRunClass = ""
	}
	switch {
	case !isError && w.ejections > 0 && a.sentAt >= w.ejectedUntil:
		w.probesSucceeded++
		if w.probesSucceeded >= probesToReinstate {
			b.reinstateClass(ep, class, w)
		}
	case isError && b.now >= w.ejectedUntil && (w.ejections > 0 || b.isOutlier(ep, class, w)):
		b.ejectClass(ep, class, w)
	}
}

func (b *Balancer) reinstateClass(ep *endpoint, class string, w *errorWindow) {
	b.log("endpoint reinstated for class", slog.String("upstream", ep.id), slog.String("class", class))
	b.emit(Action{Kind: ReportEvidence, Upstream: ep.id, Class: class, At: ep.startedAt})
	*w = errorWindow{lastAt: b.now, lastServedAt: b.now}
	ep.gossip.evidence.ejectedClassCount--
}

func (b *Balancer) ejectClass(ep *endpoint, class string, w *errorWindow) {
	d := b.jitter(min(baseEjectionTime<<min(w.ejections, maxDoublings), maxEjectionTime))
	w.ejectedUntil, w.probesSucceeded = b.now+d, 0
	if w.ejections++; w.ejections == 1 {
		ep.gossip.evidence.ejectedClassCount++
		b.log("endpoint ejected for class", slog.String("upstream", ep.id), slog.String("class", class),
			slog.Int("errors", w.errorCount()), slog.Int("answers", w.answers))
	}
	b.emit(Action{Kind: ReportEvidence, Upstream: ep.id, Class: class, Evidence: EvidenceErrors,
		Count: max(w.errorCount(), w.ejections), At: ep.startedAt})
}

// isOutlier tells whether an endpoint fails a class significantly more often than the other endpoints do, by
// the exact bound of Clopper and Pearson (Biometrika 26, 1934): the lower limit of its error rate is above
// theirs just if theirs would bring as many errors with a probability below outlierSignificance. So a class
// that fails everywhere is ejected nowhere.
func (b *Balancer) isOutlier(ep *endpoint, class string, w *errorWindow) bool {
	errors, answers := w.errorCount(), w.answers
	if float64(errors) < minErrorFraction*float64(answers) || w.failsOneTenantOnly() {
		return false
	}
	otherErrors, otherAnswers := 0.0, 0.0
	for _, x := range b.endpoints.order {
		if x == ep || x.gossip == nil {
			continue
		}
		if other := x.gossip.evidence.windows[class]; other != nil && other.ejections == 0 {
			otherErrors += float64(other.errorCount())
			otherAnswers += float64(other.answers)
		}
	}
	usual := max((otherErrors+1)/(otherAnswers+2), minErrorRate)
	return binomialTail(errors, answers, usual) < outlierSignificance
}

// classExcluded tells whether own evidence on r's class keeps r from an endpoint. After the ejection the
// class is half-open: one attempt at a time, and none that must not run twice.
func (b *Balancer) classExcluded(ep *endpoint, r *request) bool {
	w := ep.gossip.evidence.windows[r.class.Name]
	if w == nil || w.ejections == 0 {
		return false
	}
	if w.ejected(b.now) || r.class.Idempotency == NotIdempotent {
		return true
	}
	for _, a := range ep.inFlight {
		if a.request.class == r.class {
			return true
		}
	}
	return false
}

// classEjected tells whether own evidence has ejected a class, and no attempt of it is let through yet.
func (ep *endpoint) classEjected(class string, now time.Duration) bool {
	return ep.gossip != nil && ep.gossip.evidence.windows[class].ejected(now)
}

// failsOneClassOnly tells whether the errors in a row are of a's class alone while its endpoint serves
// another. Then the endpoint is ejected for that class only.
func (b *Balancer) failsOneClassOnly(a *attempt) bool {
	if !b.settings.ShareEvidence {
		return false
	}
	own := &a.endpoint.gossip.evidence
	class := a.request.class.Name
	for name, w := range own.windows {
		if name != class && w.answers > 0 && w.errorRun == 0 && b.now-w.lastServedAt < errorWindowAge/3 {
			return own.windows[class].ejections > 0 && own.errorRunClass != ""
		}
	}
	return false
}
