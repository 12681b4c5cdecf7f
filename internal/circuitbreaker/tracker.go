// Package circuitbreaker reaches a verdict on an upstream from what several sidecars report of it, so that
// one that fails for many is ejected by all. It is pure: events and the time in, verdicts out; no I/O and no
// clock.
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

// Batch is several events at once. They are evaluated together.
type Batch []Event

// PeerReport is what another member reports of an upstream, valid for TTL at most. A closed one that counts
// successes says that the upstream serves its reporter, whatever others report.
type PeerReport struct {
	From      message.Member // name and incarnation; its site is the roster's to tell
	Report    message.Report
	TTL       time.Duration
	Withdrawn bool // taken back
}

// OwnReport is what this sidecar's balancer reports itself. It stays valid until the next one.
type OwnReport struct{ Report message.Report }

// ProbeResult is what the leader of an upstream's probes reports of them, this sidecar too; with Withdrawn,
// that it sends none any more.
type ProbeResult struct {
	From      string
	Result    message.ProbeResult
	TTL       time.Duration
	Withdrawn bool
}

// ProbeLeadership tells whether this sidecar is the leader of an upstream's probes.
type ProbeLeadership struct {
	Upstream string
	Acquired bool
}

// Roster is who is present, this sidecar too.
type Roster struct{ Members []message.Member }

// Upstream is an entry of the endpoint list.
type Upstream struct {
	Name, Site string
	StartedMs  int64
}

// EndpointList is the present list. Reports on another incarnation of an upstream, or on one that is not
// listed, don't count.
type EndpointList struct{ Upstreams []Upstream }

// Tick says that time has passed.
type Tick struct{}

func (Batch) event()           {}
func (PeerReport) event()      {}
func (OwnReport) event()       {}
func (ProbeResult) event()     {}
func (ProbeLeadership) event() {}
func (Roster) event()          {}
func (EndpointList) event()    {}
func (Tick) event()            {}

// ProbeOwner tells who probes an upstream.
type ProbeOwner uint8

// The owners of probes.
const (
	ProbeByEach ProbeOwner = iota // nobody leads: each sidecar probes for itself
	ProbeByPeer                   // another sidecar
	ProbeBySelf                   // this sidecar, for all
)

// Verdict is the result of the reports on an upstream, for a sidecar that has not met the fault itself.
type Verdict struct {
	Upstream        string
	StartedMs       int64
	Class           string // class of the requests that it holds for; empty: all
	Open            bool
	PassFraction    float64       // of the picks that is let through while the breaker closes in steps, 0 to 1
	Since           time.Duration // when the oldest report that counts was received: an own success after it outweighs the verdict
	For             time.Duration // how long it is valid
	Probes          ProbeOwner
	Step            int    // probes in a row that succeeded, of the closing that is under way
	Round           uint64 // number of closings so far
	ProbesSucceeded bool   // it ended by probes that succeeded
	Changed         bool   // it differs by more than its time
	Reason          string
}

// Config says who evaluates the reports.
type Config struct{ Self, Site string }

// Bounds on what is stored. What is beyond them is dropped.
const (
	maxSubjects           = 512 // upstreams, and classes of them, that are reported on
	maxReporters          = 64  // of one subject
	maxSubjectsOfReporter = 128
	ownTTL                = time.Minute
	servedTTL             = 5 * time.Second // a report of success is valid for a moment only
)

// subject is what a verdict is about: an upstream, or one class of requests at it.
type subject struct{ upstream, class string }

func (s subject) compare(t subject) int {
	return cmp.Or(cmp.Compare(s.upstream, t.upstream), cmp.Compare(s.class, t.class))
}

// peerReport is a report as it is stored.
type peerReport struct {
	incarnation   message.Incarnation
	report        message.Report
	firstAt       time.Duration // when evidence of this breaker was first received
	newEvidenceAt time.Duration // when evidence was last received that was new
	until         time.Duration
	contradicted  bool // it lowered its reporter's score, which it does once
}

func (r *peerReport) open() bool { return r.report.State != message.Closed }

// VerdictTracker holds the reports and the verdicts. Not safe for concurrent use.
type VerdictTracker struct {
	config          Config
	startedAt       time.Duration // time of the first event
	listed          map[string]Upstream
	upstreamsBySite map[string]int // upstreams by site
	members         map[string]message.Member
	siteSizes       map[string]memberCount // members by site
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

// Handle takes in what happened at now, and returns the verdicts that have changed or would expire soon.
func (b *VerdictTracker) Handle(now time.Duration, e Event) []Verdict {
	if b.startedAt < 0 {
		b.startedAt = now
	}
	b.apply(now, e)
	return b.evaluate(now)
}

func (b *VerdictTracker) apply(now time.Duration, e Event) {
	switch e := e.(type) {
	case Batch:
		for _, one := range e {
			b.apply(now, one)
		}
	case PeerReport:
		b.onReport(now, e.From, e.Report, e.TTL, e.Withdrawn)
	case OwnReport:
		self := message.Member{Name: b.config.Self, Incarnation: b.members[b.config.Self].Incarnation}
		b.onReport(now, self, e.Report, ownTTL, e.Report.State == message.Closed && e.Report.Count == 0)
	case ProbeResult:
		b.onProbe(now, e)
	case ProbeLeadership:
		if delete(b.ownProbes, e.Upstream); e.Acquired {
			b.ownProbes[e.Upstream] = true
		}
	case Roster:
		b.setMembers(now, e.Members)
	case EndpointList:
		b.setEndpoints(e.Upstreams)
	}
}

// valid tells whether a report can be read: one of a later schema may have kinds that this program does not
// know.
func valid(r *message.Report) bool {
	return r.Upstream != "" && len(r.Upstream) <= message.MaxName && len(r.Class) <= message.MaxName && r.State <= message.HalfOpen &&
		r.Count >= 0 && (r.State == message.Closed || r.Evidence >= message.ErrorAnswers && r.Evidence <= message.Rejections) && r.SelfSuspicion >= 0 && r.SelfSuspicion <= 1
}

func (b *VerdictTracker) onReport(now time.Duration, from message.Member, r message.Report, ttl time.Duration, over bool) {
	s := subject{r.Upstream, r.Class}
	by := b.reports[s]
	if over {
		delete(by, from.Name)
		return
	}
	if !valid(&r) || ttl <= 0 || b.outdated(&r) {
		return
	}
	old := by[from.Name]
	if old == nil {
		if len(by) >= maxReporters || by == nil && len(b.reports) >= maxSubjects || b.subjectsOf(from.Name) >= maxSubjectsOfReporter {
			return
		}
		old = &peerReport{firstAt: now, newEvidenceAt: now}
		if by == nil {
			by = map[string]*peerReport{}
			b.reports[s] = by
		}
		by[from.Name] = old
	} else if old.incarnation != from.Incarnation || old.open() != (r.State != message.Closed) || old.report.StartedMs != r.StartedMs || old.report.Round != r.Round {
		*old = peerReport{firstAt: now, newEvidenceAt: now}
	} else if old.report.Count != r.Count || old.report.Evidence != r.Evidence {
		old.newEvidenceAt = now
	}
	if r.State == message.Closed {
		old.newEvidenceAt, ttl = now, min(ttl, servedTTL)
	}
	old.incarnation, old.report, old.until = from.Incarnation, r, now+min(ttl, message.MaxTTL)
	b.penalizeContradicted(now, s)
}

// outdated tells whether a report is on an earlier incarnation of an upstream than the list has.
func (b *VerdictTracker) outdated(r *message.Report) bool {
	u, listed := b.listed[r.Upstream]
	return listed && r.StartedMs < u.StartedMs
}

// subjectsOf counts the subjects that a reporter reports on.
func (b *VerdictTracker) subjectsOf(name string) (n int) {
	for _, by := range b.reports {
		if by[name] != nil {
			n++
		}
	}
	return n
}

// setEndpoints takes in the endpoint list. Reports on an upstream that was removed are void, also if it comes
// back; the epochs of its probes are not.
func (b *VerdictTracker) setEndpoints(all []Upstream) {
	before := b.listed
	b.listed, b.upstreamsBySite = map[string]Upstream{}, map[string]int{}
	for _, u := range all {
		b.listed[u.Name] = u
		b.upstreamsBySite[u.Site]++
		if t := b.probes[u.Name]; t != nil && t.startedMs != u.StartedMs {
			t.reset(u.StartedMs)
		}
	}
	for s := range b.reports {
		_, was := before[s.upstream]
		if _, is := b.listed[s.upstream]; was && !is {
			delete(b.reports, s)
		}
	}
	if len(b.probes) > maxSubjects {
		maps.DeleteFunc(b.probes, func(name string, _ *probeState) bool {
			_, is := b.listed[name]
			return !is
		})
	}
}

// sweep drops reports that have expired, or are on an earlier incarnation.
func (b *VerdictTracker) sweep(now time.Duration) {
	for s, by := range b.reports {
		maps.DeleteFunc(by, func(_ string, r *peerReport) bool {
			return r.until <= now || b.outdated(&r.report)
		})
		if len(by) == 0 {
			delete(b.reports, s)
		}
	}
}

// subjects are those with a report or a verdict, sorted.
func (b *VerdictTracker) subjects() []subject {
	all := slices.Collect(maps.Keys(b.reports))
	for s := range b.announced {
		if b.reports[s] == nil {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, subject.compare)
	return all
}

// Open returns the verdicts that are open, as last announced.
func (b *VerdictTracker) Open() (open []Verdict) {
	for _, s := range slices.SortedFunc(maps.Keys(b.announced), subject.compare) {
		if v := b.announced[s]; v.Open {
			open = append(open, v.Verdict)
		}
	}
	return open
}
