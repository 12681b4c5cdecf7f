package balancer

import (
	"log/slog"
	"math/bits"
	"time"
)

// With Settings.ShareEvidence, the results of this sidecar's own attempts are reported to other sidecars as
// evidence on endpoints. Evidence is also recorded by class: an endpoint may fail requests of one class and
// serve those of another.

// Evidence is the cause of an endpoint's ejection.
type Evidence int

// The kinds of evidence.
const (
	EvidenceNone        Evidence = iota // the endpoint is not ejected, or no longer ejected
	EvidenceErrors                      // error answers
	EvidenceConnections                 // failed or reset connections
	EvidenceSilence                     // no answers
	EvidenceRejections                  // every request rejected
)

const (
	errorWindowSize = 32               // latest answers of a class that are evaluated
	errorWindowAge  = 30 * time.Second // the window is emptied after a longer pause in the answers
	minErrorRate    = 0.02             // error rates up to this one are considered normal
	// minErrorFraction is the minimum fraction of errors that ejects a class. Errors below it cost less than
	// the capacity that an ejection removes.
	minErrorFraction = 0.25
	// outlierSignificance is the probability that a test ejects a class by chance. It is small because there
	// are many tests: one for each error, on tens of endpoints and classes.
	outlierSignificance = 2e-4
	// probesToReinstate is the number of consecutive successful probes that reinstate a class. An endpoint that
	// fails half of its requests reaches it with a probability of 1 in 32.
	probesToReinstate = 5

	unknownTenant = -2 // differs from -1, the index for a request without a tenant
)

// gossipState is what is shared with other sidecars about one process of an endpoint.
type gossipState struct {
	evidence evidence            // see below
	verdicts map[string]*verdict // by class, "" for all classes; see peerverdict.go
	probe    sharedProbe         // see probe.go
}

// evidence is what this sidecar's attempts show about an endpoint, in addition to health.
type evidence struct {
	windows           map[string]*errorWindow // by class
	ejectedClassCount int
	suspected         bool   // a first failure was reported, and no answer has come since
	errorRunClass     string // class of the consecutive errors; empty if they are of several
	reportedClass     string // class for which the ejection was reported; empty: all
}

// gossipOf returns an endpoint's gossip state, which it creates if there is none.
func (b *Balancer) gossipOf(ep *endpoint) *gossipState {
	if ep.gossip == nil {
		ep.gossip = &gossipState{
			verdicts: map[string]*verdict{},
			evidence: evidence{windows: map[string]*errorWindow{}},
		}
	}
	return ep.gossip
}

// errorWindow holds the latest answers of one endpoint to requests of one class, and the state of the class's
// ejection.
type errorWindow struct {
	errorBits    uint32               // one bit for each answer, the latest lowest; set for an error
	answers      int                  // number of answers in the window
	tenants      [errorWindowSize]int // ring buffer of the tenants of the answered requests
	latest       int                  // index of the latest answer in tenants
	lastAt       time.Duration        // time of the latest answer
	lastServedAt time.Duration        // time of the latest answer that is no error
	errorRun     int                  // consecutive errors

	ejectedUntil    time.Duration
	ejections       int // consecutive
	probesSucceeded int // consecutive, since the ejection
}

// add records an answer.
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

// answer returns the i-th latest answer, from 0.
func (w *errorWindow) answer(i int) (isError bool, tenant int) {
	return w.errorBits>>i&1 == 1, w.tenants[(w.latest-i+errorWindowSize)%errorWindowSize]
}

// failsOneTenantOnly reports whether all errors are answers to one tenant's requests while requests of other
// tenants are served. The cause is then the tenant, and not the endpoint.
func (w *errorWindow) failsOneTenantOnly() bool {
	failingTenant, servedOthers := unknownTenant, 0
	for i := range w.answers {
		isError, tenant := w.answer(i)
		if !isError {
			continue
		}
		if failingTenant != unknownTenant && failingTenant != tenant {
			return false
		}
		failingTenant = tenant
	}
	for i := range w.answers {
		isError, tenant := w.answer(i)
		if failingTenant != unknownTenant && !isError && tenant != failingTenant {
			servedOthers++
		}
	}
	return servedOthers >= failuresToEject
}

// ejected reports whether the class is ejected. It returns false for a nil window.
func (w *errorWindow) ejected(now time.Duration) bool { return w != nil && now < w.ejectedUntil }

// reportEvidence reports an ejection or, with EvidenceNone, its end. An ejection for errors is reported for
// one class if all consecutive errors are of that class, and not at all if only one tenant's requests fail.
func (b *Balancer) reportEvidence(ep *endpoint, cause Evidence, count int) {
	if !b.settings.ShareEvidence {
		return
	}
	ev := &b.gossipOf(ep).evidence
	window := ev.windows[ev.reportedClass]
	switch {
	case cause == EvidenceNone && window != nil && window.ejections > 0:
		return // the class stays ejected, see recordAnswer
	case cause == EvidenceErrors:
		ev.reportedClass = ev.errorRunClass
		if ev.errorRunClass != "" && ev.windows[ev.errorRunClass].failsOneTenantOnly() {
			return
		}
	case cause != EvidenceNone:
		ev.reportedClass = ""
	}
	b.emit(Action{Kind: ReportEvidence, Upstream: ep.id, Class: ev.reportedClass, Evidence: cause, Count: count,
		At: ep.startedAt})
}

// reportSuspicion reports the first failure since an endpoint last answered. It is no evidence by itself,
// but may be all that a sidecar learns about an endpoint for seconds. Suspicions of several sidecars
// confirm a verdict of another.
func (b *Balancer) reportSuspicion(ep *endpoint) {
	if !b.settings.ShareEvidence || ep.health.ejections > 0 {
		return
	}
	if _, ok := ep.underVerdict(b.now, ""); ok {
		return
	}
	b.gossipOf(ep).evidence.suspected = true
	b.emit(Action{Kind: ReportEvidence, Suspicion: true, Upstream: ep.id, Evidence: ep.health.ejectionCause(),
		Count: 1, At: ep.startedAt})
}

// recordEvidence records an attempt's result before updateHealth evaluates it. An endpoint may fail half of
// the requests of one class and serve the other classes. It then hardly ever fails three requests in a row,
// and must not be ejected for the other classes. Results are therefore also recorded by class.
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

// recordAnswer adds an answer to the window of its class, and ejects or reinstates the class if necessary.
func (b *Balancer) recordAnswer(a *attempt, isError bool) {
	ep, class := a.endpoint, a.request.class.Name
	ev := &ep.gossip.evidence
	w := ev.windows[class]
	if w == nil {
		w = &errorWindow{}
		ev.windows[class] = w
	}
	w.add(isError, a.request.tenant, b.now)
	if isError && ep.health.errors == 0 {
		ev.errorRunClass = class
	} else if isError && ev.errorRunClass != class {
		ev.errorRunClass = ""
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

// isOutlier reports whether an endpoint fails a class significantly more often than the other endpoints do:
// at their error rate, as many errors would have a probability below outlierSignificance. Equivalently, the
// lower limit of its own error rate, by the exact bound of Clopper and Pearson (Biometrika 26, 1934), is
// above their error rate. A class that fails everywhere is therefore ejected nowhere.
func (b *Balancer) isOutlier(ep *endpoint, class string, w *errorWindow) bool {
	errors, answers := w.errorCount(), w.answers
	if float64(errors) < minErrorFraction*float64(answers) || w.failsOneTenantOnly() {
		return false
	}
	otherErrors, otherAnswers := 0.0, 0.0
	for _, other := range b.endpoints.order {
		if other == ep || other.gossip == nil {
			continue
		}
		if ow := other.gossip.evidence.windows[class]; ow != nil && ow.ejections == 0 {
			otherErrors += float64(ow.errorCount())
			otherAnswers += float64(ow.answers)
		}
	}
	usualRate := max((otherErrors+1)/(otherAnswers+2), minErrorRate)
	return binomialTail(errors, answers, usualRate) < outlierSignificance
}

// classExcluded reports whether this sidecar's evidence on r's class excludes an endpoint for r. After the
// ejection time the class is half-open: the endpoint gets one attempt of it at a time, and no request that
// must not run twice.
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

// classEjected reports whether this sidecar has ejected a class and the ejection time is not over.
func (ep *endpoint) classEjected(class string, now time.Duration) bool {
	return ep.gossip != nil && ep.gossip.evidence.windows[class].ejected(now)
}

// failsOneClassOnly reports whether the consecutive errors are all of a's class while its endpoint serves
// another class. The endpoint is then ejected for that class only.
func (b *Balancer) failsOneClassOnly(a *attempt) bool {
	if !b.settings.ShareEvidence {
		return false
	}
	ev := &a.endpoint.gossip.evidence
	class := a.request.class.Name
	for name, w := range ev.windows {
		if name != class && w.answers > 0 && w.errorRun == 0 && b.now-w.lastServedAt < errorWindowAge/3 {
			return ev.windows[class].ejections > 0 && ev.errorRunClass != ""
		}
	}
	return false
}
