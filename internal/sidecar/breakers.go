package sidecar

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"mosslead/balancer"
	"mosslead/internal/circuitbreaker"
	"mosslead/internal/conflate"
	"mosslead/internal/gossip/message"
)

const (
	maxPendingReports  = 256                    // messages of the loop that wait for the tracker
	maxPendingVerdicts = 256                    // verdicts that wait for the loop
	reportTTL          = 5 * time.Second        // after which a report that is not sent again no longer counts
	reportInterval     = 2 * time.Second        // between the sends of an open breaker's report
	probeTTL           = 3 * time.Second        // after which a probe leader that says nothing no longer counts as one
	breakerTick        = 100 * time.Millisecond // between updates of the tracker
)

// probeLeaderships is the part of leaderships that the breaker tracker uses. Without it each sidecar makes its own probes.
type probeLeaderships interface {
	// campaign starts or stops campaigning for a leadership; it does not block.
	campaign(name string, wanted bool)
	// holds reports whether this sidecar is the leader now, and in which epoch. It is checked before each act of a leader.
	holds(name string) (epoch uint64, ok bool)
}

// broadcaster is the part of gossip that the breaker tracker uses.
type broadcaster interface {
	Broadcast(kind message.Kind, name string, payload any, ttl time.Duration, withdrawn bool) error
	Inbox(kind message.Kind) *conflate.Queue[message.Key, message.Record]
	Members() []message.Member
}

// evidenceReport is what the dispatcher reports about an upstream.
type evidenceReport struct {
	report message.Report
	probe  bool // the outcome of a probe made for all sidecars; it succeeded if the report is closed
}

// ownProbe is the probing of one upstream that this sidecar leads or campaigns for.
type ownProbe struct {
	startedMs   int64
	campaigning bool
	leading     bool
	result      message.ProbeResult // as sent last
	announcedAt time.Duration
}

// breakerTracker owns the verdict tracker: it takes in the reports of this sidecar and of others, and hands verdicts to
// the dispatcher. Its fields belong to the goroutine of run.
type breakerTracker struct {
	sharing       *sharing
	gossip        broadcaster
	leaderships   probeLeaderships
	tracker       *circuitbreaker.VerdictTracker
	suspicion     *circuitbreaker.SelfSuspicion
	selfSuspicion float64                   // how far this process distrusts its own evidence, as of the latest tick
	ownReports    map[string]message.Report // open breakers of this sidecar, sent again until closed
	announcedAt   map[string]time.Duration
	probes        map[string]*ownProbe
	membersLogged int // number of members last logged
}

func newBreakerTracker(s *sharing, duties probeLeaderships) *breakerTracker {
	return &breakerTracker{sharing: s, gossip: s.gossip, leaderships: duties, tracker: circuitbreaker.New(circuitbreaker.Config{Self: s.self.Name, Site: s.self.Site}),
		suspicion: circuitbreaker.NewSelfSuspicion(s.clock.now(), breakerTick), ownReports: map[string]message.Report{}, announcedAt: map[string]time.Duration{}, probes: map[string]*ownProbe{}}
}

// run handles reports, records of others and ticks until ctx ends.
func (p *breakerTracker) run(ctx context.Context) {
	tick := time.NewTicker(breakerTick)
	defer tick.Stop()
	reports, results := p.gossip.Inbox(message.Breaker), p.gossip.Inbox(message.Probe)
	p.tick()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.tick()
		case answer := <-p.sharing.openVerdicts:
			answer <- p.tracker.Open() // has a buffer of one: does not block
		case <-p.sharing.reports.Ready():
			for w, ok := p.sharing.reports.Pop(); ok; w, ok = p.sharing.reports.Pop() {
				p.onOwnEvidence(w)
			}
		case <-reports.Ready():
			p.handle(drainInbox(reports))
		case <-results.Ready():
			p.handle(drainInbox(results))
		}
	}
}

// drainInbox drains an inbox into events of the tracker.
func drainInbox(inbox *conflate.Queue[message.Key, message.Record]) (all circuitbreaker.Batch) {
	for r, ok := inbox.Pop(); ok; r, ok = inbox.Pop() {
		if e := decodeEvent(r); e != nil {
			all = append(all, e)
		}
	}
	return all
}

// decodeEvent decodes a record for the tracker; it returns nil for a record that can't be decoded.
func decodeEvent(r message.Record) circuitbreaker.Event {
	switch r.Kind {
	case message.Breaker:
		var report message.Report
		if message.Decode(r.Body, &report) == nil {
			return circuitbreaker.PeerReport{From: message.Member{Name: r.Owner, Incarnation: r.Incarnation}, Report: report, TTL: r.TTL, Withdrawn: r.Withdrawn}
		}
	case message.Probe:
		var results message.ProbeResult
		if message.Decode(r.Body, &results) == nil {
			return circuitbreaker.ProbeResult{From: r.Owner, Result: results, TTL: r.TTL, Withdrawn: r.Withdrawn}
		}
	}
	return nil
}

// tick updates the members, the listed upstreams and the probe leaderships, and sends reports again that are due.
func (p *breakerTracker) tick() {
	now := p.sharing.clock.now()
	members := p.gossip.Members()
	if len(members) != p.membersLogged {
		p.membersLogged = len(members)
		logAttrs(slog.LevelInfo, componentPeers, "present", slog.Int("members", p.membersLogged))
	}
	p.selfSuspicion = p.suspicion.Check(now, len(members), p.sharing.stall.delay(now))
	p.sharing.verdicts.Push("", balancer.PeerVerdict{}, false) // the loop's taking it shows that it is not stalled: see loopEcho
	batch := circuitbreaker.Batch{circuitbreaker.EndpointList{Upstreams: p.sharing.dir.incarnations()}, circuitbreaker.Roster{Members: members}}
	for key, r := range p.ownReports {
		if since, _, listed := p.sharing.dir.incarnation(r.Upstream); !listed || since != r.StartedMs {
			p.withdraw(key, r)
			batch = append(batch, circuitbreaker.OwnReport{Report: closedReport(r)})
		} else if now-p.announcedAt[key] >= reportInterval {
			p.announce(key, r)
			batch = append(batch, circuitbreaker.OwnReport{Report: r})
		}
	}
	p.handle(append(batch, p.updateProbes(now)...))
}

func closedReport(r message.Report) message.Report {
	r.State, r.Count, r.Evidence = message.Closed, 0, 0
	return r
}

func (p *breakerTracker) handle(e circuitbreaker.Event) {
	p.deliver(p.tracker.Handle(p.sharing.clock.now(), e))
}

// onOwnEvidence handles a report of the dispatcher.
func (p *breakerTracker) onOwnEvidence(w evidenceReport) {
	r := w.report
	if w.probe {
		p.onProbeResult(r)
		return
	}
	key := r.Upstream + " " + r.Class
	r.Round = p.tracker.Round(r.Upstream)
	logAttrs(slog.LevelInfo, componentPeers, "report", slog.String("upstream", r.Upstream), slog.String("class", r.Class),
		slog.Bool("open", r.State != message.Closed), slog.Int("evidence", int(r.Evidence)), slog.Int("count", r.Count))
	switch {
	case r.State != message.Closed && r.SelfSuspicion == 0:
		p.ownReports[key] = r
		p.announce(key, r)
	case r.Count > 0: // a first failure, or successes against the verdict: sent once
		p.announce(key, r)
	default:
		p.withdraw(key, r)
	}
	r.SelfSuspicion = max(r.SelfSuspicion, p.selfSuspicion)
	p.handle(circuitbreaker.OwnReport{Report: r})
}

// announce broadcasts a report, with the present self-suspicion of this process.
func (p *breakerTracker) announce(key string, r message.Report) {
	r.SelfSuspicion = max(r.SelfSuspicion, p.selfSuspicion)
	p.announcedAt[key] = p.sharing.clock.now()
	if err := p.gossip.Broadcast(message.Breaker, key, r, reportTTL, false); err != nil {
		logWarning(componentPeers, "breaker report not sent", err)
	}
}

// withdraw broadcasts that a report no longer holds.
func (p *breakerTracker) withdraw(key string, r message.Report) {
	delete(p.ownReports, key)
	delete(p.announcedAt, key)
	if err := p.gossip.Broadcast(message.Breaker, key, closedReport(r), reportTTL, true); err != nil {
		logWarning(componentPeers, "withdrawal of a breaker report not sent", err)
	}
}

// updateProbes checks which probe leaderships are held by now, and announces those again that are due.
func (p *breakerTracker) updateProbes(now time.Duration) (events circuitbreaker.Batch) {
	for _, upstream := range slices.Sorted(maps.Keys(p.probes)) {
		t := p.probes[upstream]
		epoch, leading := p.leaderships.holds(probeLeadership(upstream))
		if leading != t.leading {
			t.leading = leading
			events = append(events, circuitbreaker.ProbeLeadership{Upstream: upstream, Acquired: leading})
		}
		switch {
		case leading && epoch != t.result.Epoch:
			t.result = message.ProbeResult{Upstream: upstream, StartedMs: t.startedMs, Epoch: epoch, Round: p.tracker.Round(upstream)}
			events = append(events, p.announceProbe(t))
		case leading && now-t.announcedAt >= probeTTL/3:
			events = append(events, p.announceProbe(t))
		case !t.campaigning && !leading:
			delete(p.probes, upstream)
		}
	}
	return events
}

// onProbeResult counts the outcome of a probe made for all sidecars, if the leadership is still held.
func (p *breakerTracker) onProbeResult(r message.Report) {
	t := p.probes[r.Upstream]
	if t == nil || t.startedMs != r.StartedMs {
		return
	}
	epoch, leading := p.leaderships.holds(probeLeadership(r.Upstream))
	if !leading || epoch != t.result.Epoch {
		return
	}
	t.result.Count++
	if t.result.OK = r.State == message.Closed; !t.result.OK {
		t.result.Step = 0
	} else if t.result.Step++; t.result.Step == circuitbreaker.ProbeSteps {
		t.result.Round++
	}
	p.handle(p.announceProbe(t))
	if t.result.Step >= circuitbreaker.ProbeSteps { // announced; a breaker that opens again starts at the first step
		t.result.Step, t.result.OK = 0, false
	}
}

func (p *breakerTracker) announceProbe(t *ownProbe) circuitbreaker.Event {
	t.announcedAt = p.sharing.clock.now()
	if err := p.gossip.Broadcast(message.Probe, t.result.Upstream, t.result, probeTTL, false); err != nil {
		logWarning(componentPeers, "probe result not sent", err)
	}
	return circuitbreaker.ProbeResult{From: p.sharing.self.Name, Result: t.result, TTL: probeTTL}
}

// deliver hands verdicts to the dispatcher, and campaigns for the probes of open breakers.
func (p *breakerTracker) deliver(verdicts []circuitbreaker.Verdict) {
	for _, v := range verdicts {
		verdict := balancer.PeerVerdict{Upstream: v.Upstream, StartedAt: p.sharing.clock.unixMs(float64(v.StartedMs)), Class: v.Class, Since: v.Since,
			PassFraction: v.PassFraction, Probes: probeOwners[v.Probes], ProbeSucceeded: v.Step == 0 && v.ProbesSucceeded}
		if v.Open {
			verdict.Until = p.sharing.clock.now() + v.For
		}
		if v.Changed {
			logAttrs(slog.LevelInfo, componentPeers, "verdict", slog.String("upstream", v.Upstream), slog.String("class", v.Class),
				slog.Bool("open", v.Open), slog.Float64("share", v.PassFraction), slog.Int("trials", int(v.Probes)), slog.String("why", v.Reason))
		}
		p.sharing.verdicts.Push(v.Upstream+" "+v.Class, verdict, !v.Open)
		if v.Class == "" && p.leaderships != nil {
			p.campaign(v)
		}
	}
}

var probeOwners = map[circuitbreaker.ProbeOwner]balancer.ProbeOwner{circuitbreaker.ProbeByEach: balancer.ProbeByEach, circuitbreaker.ProbeByPeer: balancer.ProbeByPeer, circuitbreaker.ProbeBySelf: balancer.ProbeBySelf}

// campaign starts or stops campaigning for the probes of an upstream, by its verdict.
func (p *breakerTracker) campaign(v circuitbreaker.Verdict) {
	t := p.probes[v.Upstream]
	if t == nil {
		if !v.Open {
			return
		}
		t = &ownProbe{}
		p.probes[v.Upstream] = t
	}
	if v.Open && t.startedMs != v.StartedMs {
		t.startedMs, t.result = v.StartedMs, message.ProbeResult{}
	}
	if v.Open != t.campaigning {
		t.campaigning = v.Open
		p.leaderships.campaign(probeLeadership(v.Upstream), v.Open)
	}
}

// report queues a report of the dispatcher for the breaker tracker. It does not block.
func (s *sharing) report(a *balancer.Action) {
	since, _, listed := s.dir.incarnation(a.Upstream)
	if !listed {
		return
	}
	r := message.Report{Upstream: a.Upstream, StartedMs: since, Class: a.Class, State: message.Open, Evidence: evidenceKinds[a.Evidence], Count: a.Count}
	if a.Evidence == balancer.EvidenceNone {
		r.State = message.Closed
	}
	if a.Suspicion {
		r.SelfSuspicion = circuitbreaker.Suspicion
	}
	key := r.Upstream + " " + r.Class
	if a.Probe {
		key = "trial " + r.Upstream
	}
	s.reports.Push(key, evidenceReport{r, a.Probe}, r.State == message.Closed && r.Count == 0)
}

var evidenceKinds = map[balancer.Evidence]message.Evidence{balancer.EvidenceErrors: message.ErrorAnswers, balancer.EvidenceConnections: message.BrokenConnections,
	balancer.EvidenceSilence: message.Silence, balancer.EvidenceRejections: message.Rejections}

// stallDetector measures for how long the dispatcher's loop has left a message in its queue: evidence of a process whose loop is
// stalled must not count. The loop calls onTaken, the breaker tracker calls delay.
type stallDetector struct {
	receivedAt atomic.Int64 // clock time
	sentAt     time.Duration
}

// onReceived records that the loop has taken its messages.
func (e *stallDetector) onReceived(now time.Duration) { e.receivedAt.Store(int64(now)) }

// delay returns how long the message queued by an earlier call has waited, 0 if it has been taken since.
func (e *stallDetector) delay(now time.Duration) (waited time.Duration) {
	if taken := time.Duration(e.receivedAt.Load()); e.sentAt > 0 && taken < e.sentAt && taken > 0 {
		return now - e.sentAt
	}
	e.sentAt = now
	return 0
}
