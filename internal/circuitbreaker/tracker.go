// Package circuitbreaker derives a verdict on an upstream from the reports of several sidecars, so that an
// upstream that fails for many sidecars is ejected by all. It does no I/O and reads no clock: callers pass
// events and the time, and get verdicts.
package circuitbreaker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mosslead/internal/gossip/message"
)

// Event is an input of a VerdictTracker: PeerReport, OwnReport, ProbeResult, ProbeLeadership, Roster,
// EndpointList, Tick, or a Batch of them.
type Event interface{ event() }

// Batch holds several events that are evaluated together.
type Batch []Event

// PeerReport is another member's report on an upstream, valid for TTL at most. If its state is closed and its
// count is above 0, it is a report of success: the reporter gets answers from the upstream.
type PeerReport struct {
	From      message.Member // name and incarnation; the site is taken from the Roster
	Report    message.Report
	TTL       time.Duration
	Withdrawn bool // the member withdraws the report
}

// OwnReport is a report of this sidecar's own balancer. It is valid until the next one, for ownTTL at most.
type OwnReport struct{ Report message.Report }

// ProbeResult is a result from the leader of an upstream's probes, which may be this sidecar.
type ProbeResult struct {
	From      string
	Result    message.ProbeResult
	TTL       time.Duration
	Withdrawn bool // the leader withdraws its result and sends no more
}

// ProbeLeadership says that this sidecar became, or is no longer, the leader of an upstream's probes.
type ProbeLeadership struct {
	Upstream string
	Acquired bool
}

// Roster holds the members that are present, including this sidecar.
type Roster struct{ Members []message.Member }

// Upstream is an entry of the endpoint list.
type Upstream struct {
	Name, Site string
	StartedMs  int64
}

// EndpointList is the current endpoint list. Reports on another incarnation of an upstream, or on an upstream
// that is not listed, don't count.
type EndpointList struct{ Upstreams []Upstream }

// Tick causes the verdicts to be evaluated without other input, since reports expire.
type Tick struct{}

func (Batch) event()           {}
func (PeerReport) event()      {}
func (OwnReport) event()       {}
func (ProbeResult) event()     {}
func (ProbeLeadership) event() {}
func (Roster) event()          {}
func (EndpointList) event()    {}
func (Tick) event()            {}

// ProbeOwner says who probes an upstream.
type ProbeOwner uint8

// The values of ProbeOwner.
const (
	ProbeByEach ProbeOwner = iota // there is no leader: each sidecar probes for itself
	ProbeByPeer                   // another sidecar probes for all
	ProbeBySelf                   // this sidecar probes for all
)

// Verdict is the outcome of the reports on an upstream. It also applies to sidecars that have not seen the
// fault themselves.
type Verdict struct {
	Upstream        string
	StartedMs       int64
	Class           string // class of requests that it applies to, or empty for all classes
	Open            bool
	PassFraction    float64       // fraction of picks that is let through while the breaker closes in steps, 0 to 1
	Since           time.Duration // when the oldest report that counts was received; a success of the sidecar itself after this time outweighs the verdict
	For             time.Duration // how long the verdict is valid
	Probes          ProbeOwner
	Step            int    // number of probes that succeeded in a row while the breaker closes
	Round           uint64 // number of closings so far in this incarnation
	ProbesSucceeded bool   // the breaker was closed by successful probes
	Changed         bool   // more than the validity differs from the previous verdict
	Reason          string
}

// Config holds the name and site of the sidecar that evaluates the reports.
type Config struct{ Self, Site string }

// Bounds on what is stored. Reports beyond them are dropped.
const (
	maxSubjects           = 512             // upstreams, and classes of requests at them, that are reported on
	maxReporters          = 64              // reporters of one subject
	maxSubjectsOfReporter = 128             // subjects that one member reports on
	ownTTL                = time.Minute     // validity of this sidecar's own reports
	successTTL            = 5 * time.Second // longest validity of a report of success
)

// subject is what a verdict applies to: an upstream, or one class of requests at it.
type subject struct{ upstream, class string }

func (s subject) compare(other subject) int {
	return cmp.Or(cmp.Compare(s.upstream, other.upstream), cmp.Compare(s.class, other.class))
}

// peerReport is a stored report.
type peerReport struct {
	incarnation   message.Incarnation
	report        message.Report
	firstAt       time.Duration // when the first evidence of this open (or closed) breaker was received
	newEvidenceAt time.Duration // when new evidence was last received
	until         time.Duration
	contradicted  bool // the report was contradicted, and has raised its reporter's score
}

func (r *peerReport) open() bool { return r.report.State != message.Closed }

// VerdictTracker stores reports and derives verdicts from them. It is not safe for concurrent use.
type VerdictTracker struct {
	config          Config
	startedAt       time.Duration       // time of the first event
	listed          map[string]Upstream // by name
	upstreamsBySite map[string]int      // number of listed upstreams, by site
	members         map[string]message.Member
	siteSizes       map[string]memberCount // recent number of members, by site
	reports         map[subject]map[string]*peerReport
	scores          map[string]score
	probes          map[string]*probeState
	ownProbes       map[string]bool // upstreams whose probes this sidecar leads
	announced       map[subject]*announcement
}

// New returns a tracker without reports.
func New(c Config) *VerdictTracker {
	return &VerdictTracker{config: c, startedAt: -1, listed: map[string]Upstream{}, upstreamsBySite: map[string]int{}, members: map[string]message.Member{},
		siteSizes: map[string]memberCount{}, reports: map[subject]map[string]*peerReport{}, scores: map[string]score{}, probes: map[string]*probeState{},
		ownProbes: map[string]bool{}, announced: map[subject]*announcement{}}
}

// Handle applies an event that happened at now, and returns the verdicts that have changed or would expire soon.
func (t *VerdictTracker) Handle(now time.Duration, e Event) []Verdict {
	if t.startedAt < 0 {
		t.startedAt = now
	}
	t.apply(now, e)
	return t.evaluate(now)
}

func (t *VerdictTracker) apply(now time.Duration, e Event) {
	switch e := e.(type) {
	case Batch:
		for _, event := range e {
			t.apply(now, event)
		}
	case PeerReport:
		t.onReport(now, e.From, e.Report, e.TTL, e.Withdrawn)
	case OwnReport:
		self := message.Member{Name: t.config.Self, Incarnation: t.members[t.config.Self].Incarnation}
		t.onReport(now, self, e.Report, ownTTL, e.Report.State == message.Closed && e.Report.Count == 0)
	case ProbeResult:
		t.onProbe(now, e)
	case ProbeLeadership:
		if delete(t.ownProbes, e.Upstream); e.Acquired {
			t.ownProbes[e.Upstream] = true
		}
	case Roster:
		t.setMembers(now, e.Members)
	case EndpointList:
		t.setEndpoints(e.Upstreams)
	}
}

// valid reports whether the values of a report are known and in range. A report of a later schema may have
// kinds that this program does not know.
func valid(r *message.Report) bool {
	return r.Upstream != "" && len(r.Upstream) <= message.MaxName && len(r.Class) <= message.MaxName && r.State <= message.HalfOpen &&
		r.Count >= 0 && (r.State == message.Closed || r.Evidence >= message.ErrorAnswers && r.Evidence <= message.Rejections) && r.SelfSuspicion >= 0 && r.SelfSuspicion <= 1
}

func (t *VerdictTracker) onReport(now time.Duration, from message.Member, r message.Report, ttl time.Duration, withdrawn bool) {
	s := subject{r.Upstream, r.Class}
	byReporter := t.reports[s]
	if withdrawn {
		delete(byReporter, from.Name)
		return
	}
	if !valid(&r) || ttl <= 0 || t.outdated(&r) {
		return
	}
	stored := byReporter[from.Name]
	if stored == nil {
		if len(byReporter) >= maxReporters || byReporter == nil && len(t.reports) >= maxSubjects || t.subjectsOf(from.Name) >= maxSubjectsOfReporter {
			return
		}
		stored = &peerReport{firstAt: now, newEvidenceAt: now}
		if byReporter == nil {
			byReporter = map[string]*peerReport{}
			t.reports[s] = byReporter
		}
		byReporter[from.Name] = stored
	} else if stored.incarnation != from.Incarnation || stored.open() != (r.State != message.Closed) || stored.report.StartedMs != r.StartedMs || stored.report.Round != r.Round {
		*stored = peerReport{firstAt: now, newEvidenceAt: now}
	} else if stored.report.Count != r.Count || stored.report.Evidence != r.Evidence {
		stored.newEvidenceAt = now
	}
	if r.State == message.Closed {
		stored.newEvidenceAt, ttl = now, min(ttl, successTTL)
	}
	stored.incarnation, stored.report, stored.until = from.Incarnation, r, now+min(ttl, message.MaxTTL)
	t.penalizeContradicted(now, s)
}

// outdated reports whether a report is on an earlier incarnation of an upstream than the listed one.
func (t *VerdictTracker) outdated(r *message.Report) bool {
	u, listed := t.listed[r.Upstream]
	return listed && r.StartedMs < u.StartedMs
}

// subjectsOf counts the subjects that a reporter reports on.
func (t *VerdictTracker) subjectsOf(name string) (n int) {
	for _, byReporter := range t.reports {
		if byReporter[name] != nil {
			n++
		}
	}
	return n
}

// setEndpoints replaces the endpoint list. Reports on an upstream that was removed are dropped, so they don't
// count if it is listed again; the epochs of its probes are retained.
func (t *VerdictTracker) setEndpoints(upstreams []Upstream) {
	before := t.listed
	t.listed, t.upstreamsBySite = map[string]Upstream{}, map[string]int{}
	for _, u := range upstreams {
		t.listed[u.Name] = u
		t.upstreamsBySite[u.Site]++
		if p := t.probes[u.Name]; p != nil && p.startedMs != u.StartedMs {
			p.reset(u.StartedMs)
		}
	}
	for s := range t.reports {
		_, wasListed := before[s.upstream]
		if _, isListed := t.listed[s.upstream]; wasListed && !isListed {
			delete(t.reports, s)
		}
	}
	if len(t.probes) > maxSubjects {
		maps.DeleteFunc(t.probes, func(name string, _ *probeState) bool {
			_, isListed := t.listed[name]
			return !isListed
		})
	}
}

// sweep drops reports that have expired, or are on an earlier incarnation.
func (t *VerdictTracker) sweep(now time.Duration) {
	for s, byReporter := range t.reports {
		maps.DeleteFunc(byReporter, func(_ string, r *peerReport) bool {
			return r.until <= now || t.outdated(&r.report)
		})
		if len(byReporter) == 0 {
			delete(t.reports, s)
		}
	}
}

// subjects returns the subjects with a report or a verdict, sorted.
func (t *VerdictTracker) subjects() []subject {
	all := slices.Collect(maps.Keys(t.reports))
	for s := range t.announced {
		if t.reports[s] == nil {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, subject.compare)
	return all
}

// Open returns the open verdicts, as they were last announced.
func (t *VerdictTracker) Open() (open []Verdict) {
	for _, s := range slices.SortedFunc(maps.Keys(t.announced), subject.compare) {
		if v := t.announced[s]; v.Open {
			open = append(open, v.Verdict)
		}
	}
	return open
}
