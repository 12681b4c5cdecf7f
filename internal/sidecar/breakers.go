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
	maxPendingReports  = 256                    // reports of the dispatcher's loop that wait for the tracker
	maxPendingVerdicts = 256                    // verdicts that wait for the dispatcher's loop
	reportTTL          = 5 * time.Second        // a report that is not sent again within this time no longer counts
	reportInterval     = 2 * time.Second        // time between the sends of an open breaker's report
	probeTTL           = 3 * time.Second        // a probe leader that sends no result within this time no longer counts as one
	breakerTick        = 100 * time.Millisecond // time between updates of the tracker
)

// probeLeaderships is the part of leaderships that the breaker tracker uses. If it is nil, each sidecar makes its own probes.
type probeLeaderships interface {
	// campaign starts or stops campaigning for a leadership; it does not block.
	campaign(name string, wanted bool)
	// holds reports whether this sidecar is the leader now, and in which epoch. It is called before each action that only a
	// leader may perform.
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
	probe  bool // the report is the result of a probe made for all sidecars; the probe succeeded if the report's state is closed
}

// ownProbe is the state of the probe leadership of one upstream, which this sidecar holds or campaigns for.
type ownProbe struct {
	startedMs   int64 // start of the upstream's process
	campaigning bool
	leading     bool
	result      message.ProbeResult // the result that was last broadcast
	announcedAt time.Duration
}

// breakerTracker owns the verdict tracker: it receives the reports of this sidecar and of others, and sends verdicts to the
// dispatcher. Only the goroutine of run uses its fields.
type breakerTracker struct {
	sharing       *sharing
	gossip        broadcaster
	leaderships   probeLeaderships
	tracker       *circuitbreaker.VerdictTracker
	suspicion     *circuitbreaker.SelfSuspicion
	selfSuspicion float64                   // how far this process distrusts its own evidence, as of the latest tick
	ownReports    map[string]message.Report // reports of the breakers that this sidecar opened, sent again until they close
	announcedAt   map[string]time.Duration
	probes        map[string]*ownProbe
	membersLogged int // number of members last logged
}

func newBreakerTracker(s *sharing, leaderships probeLeaderships) *breakerTracker {
	return &breakerTracker{sharing: s, gossip: s.gossip, leaderships: leaderships, tracker: circuitbreaker.New(circuitbreaker.Config{Self: s.self.Name, Site: s.self.Site}),
		suspicion: circuitbreaker.NewSelfSuspicion(s.clock.now(), breakerTick), ownReports: map[string]message.Report{}, announcedAt: map[string]time.Duration{}, probes: map[string]*ownProbe{}}
}

// run handles reports, records of other sidecars and ticks until ctx ends.
func (b *breakerTracker) run(ctx context.Context) {
	tick := time.NewTicker(breakerTick)
	defer tick.Stop()
	reports, results := b.gossip.Inbox(message.Breaker), b.gossip.Inbox(message.Probe)
	b.tick()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			b.tick()
		case answer := <-b.sharing.openVerdicts:
			answer <- b.tracker.Open() // has a buffer of one: does not block
		case <-b.sharing.reports.Ready():
			for e, ok := b.sharing.reports.Pop(); ok; e, ok = b.sharing.reports.Pop() {
				b.onOwnEvidence(e)
			}
		case <-reports.Ready():
			b.handle(drainInbox(reports))
		case <-results.Ready():
			b.handle(drainInbox(results))
		}
	}
}

// drainInbox removes all records from an inbox and returns them as events for the tracker.
func drainInbox(inbox *conflate.Queue[message.Key, message.Record]) (events circuitbreaker.Batch) {
	for r, ok := inbox.Pop(); ok; r, ok = inbox.Pop() {
		if e := decodeEvent(r); e != nil {
			events = append(events, e)
		}
	}
	return events
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
		var result message.ProbeResult
		if message.Decode(r.Body, &result) == nil {
			return circuitbreaker.ProbeResult{From: r.Owner, Result: result, TTL: r.TTL, Withdrawn: r.Withdrawn}
		}
	}
	return nil
}

// tick updates the members, the listed upstreams and the probe leaderships, and resends the reports that are due.
func (b *breakerTracker) tick() {
	now := b.sharing.clock.now()
	members := b.gossip.Members()
	if len(members) != b.membersLogged {
		b.membersLogged = len(members)
		logAttrs(slog.LevelInfo, componentPeers, "present", slog.Int("members", b.membersLogged))
	}
	b.selfSuspicion = b.suspicion.Check(now, len(members), b.sharing.stall.delay(now))
	b.sharing.verdicts.Push("", balancer.PeerVerdict{}, false) // the time that this empty verdict waits in the queue is the loop's delay, see stallDetector
	batch := circuitbreaker.Batch{circuitbreaker.EndpointList{Upstreams: b.sharing.dir.incarnations()}, circuitbreaker.Roster{Members: members}}
	for key, r := range b.ownReports {
		if startedMs, _, listed := b.sharing.dir.incarnation(r.Upstream); !listed || startedMs != r.StartedMs {
			b.withdraw(key, r)
			batch = append(batch, circuitbreaker.OwnReport{Report: closedReport(r)})
		} else if now-b.announcedAt[key] >= reportInterval {
			b.announce(key, r)
			batch = append(batch, circuitbreaker.OwnReport{Report: r})
		}
	}
	b.handle(append(batch, b.updateProbes(now)...))
}

// closedReport returns the report that the breaker of r is closed.
func closedReport(r message.Report) message.Report {
	r.State, r.Count, r.Evidence = message.Closed, 0, 0
	return r
}

// handle passes an event to the verdict tracker and delivers the resulting verdicts.
func (b *breakerTracker) handle(e circuitbreaker.Event) {
	b.deliver(b.tracker.Handle(b.sharing.clock.now(), e))
}

// onOwnEvidence handles a report of this sidecar's dispatcher.
func (b *breakerTracker) onOwnEvidence(e evidenceReport) {
	r := e.report
	if e.probe {
		b.onProbeResult(r)
		return
	}
	key := r.Upstream + " " + r.Class
	r.Round = b.tracker.Round(r.Upstream)
	logAttrs(slog.LevelInfo, componentPeers, "report", slog.String("upstream", r.Upstream), slog.String("class", r.Class),
		slog.Bool("open", r.State != message.Closed), slog.Int("evidence", int(r.Evidence)), slog.Int("count", r.Count))
	switch {
	case r.State != message.Closed && r.SelfSuspicion == 0:
		b.ownReports[key] = r
		b.announce(key, r)
	case r.Count > 0: // a first failure, or successes that contradict the verdict, are broadcast only once
		b.announce(key, r)
	default:
		b.withdraw(key, r)
	}
	r.SelfSuspicion = max(r.SelfSuspicion, b.selfSuspicion)
	b.handle(circuitbreaker.OwnReport{Report: r})
}

// announce broadcasts a report, with the present self-suspicion of this process.
func (b *breakerTracker) announce(key string, r message.Report) {
	r.SelfSuspicion = max(r.SelfSuspicion, b.selfSuspicion)
	b.announcedAt[key] = b.sharing.clock.now()
	if err := b.gossip.Broadcast(message.Breaker, key, r, reportTTL, false); err != nil {
		logWarning(componentPeers, "breaker report not sent", err)
	}
}

// withdraw broadcasts that a report no longer applies.
func (b *breakerTracker) withdraw(key string, r message.Report) {
	delete(b.ownReports, key)
	delete(b.announcedAt, key)
	if err := b.gossip.Broadcast(message.Breaker, key, closedReport(r), reportTTL, true); err != nil {
		logWarning(componentPeers, "withdrawal of a breaker report not sent", err)
	}
}

// updateProbes checks which probe leaderships this sidecar holds, and broadcasts the results of those that are due. It returns
// the events for the tracker.
func (b *breakerTracker) updateProbes(now time.Duration) (events circuitbreaker.Batch) {
	for _, upstream := range slices.Sorted(maps.Keys(b.probes)) {
		probe := b.probes[upstream]
		epoch, leading := b.leaderships.holds(probeLeadership(upstream))
		if leading != probe.leading {
			probe.leading = leading
			events = append(events, circuitbreaker.ProbeLeadership{Upstream: upstream, Acquired: leading})
		}
		switch {
		case leading && epoch != probe.result.Epoch:
			probe.result = message.ProbeResult{Upstream: upstream, StartedMs: probe.startedMs, Epoch: epoch, Round: b.tracker.Round(upstream)}
			events = append(events, b.announceProbe(probe))
		case leading && now-probe.announcedAt >= probeTTL/3:
			events = append(events, b.announceProbe(probe))
		case !probe.campaigning && !leading:
			delete(b.probes, upstream)
		}
	}
	return events
}

// onProbeResult counts the result of a probe made for all sidecars, if this sidecar still holds the leadership.
func (b *breakerTracker) onProbeResult(r message.Report) {
	probe := b.probes[r.Upstream]
	if probe == nil || probe.startedMs != r.StartedMs {
		return
	}
	epoch, leading := b.leaderships.holds(probeLeadership(r.Upstream))
	if !leading || epoch != probe.result.Epoch {
		return
	}
	probe.result.Count++
	if probe.result.OK = r.State == message.Closed; !probe.result.OK {
		probe.result.Step = 0
	} else if probe.result.Step++; probe.result.Step == circuitbreaker.ProbeSteps {
		probe.result.Round++
	}
	b.handle(b.announceProbe(probe))
	if probe.result.Step >= circuitbreaker.ProbeSteps { // the last step has been broadcast; a breaker that opens again starts at the first step
		probe.result.Step, probe.result.OK = 0, false
	}
}

// announceProbe broadcasts the result of a probe leadership, and returns it as an event for the tracker.
func (b *breakerTracker) announceProbe(probe *ownProbe) circuitbreaker.Event {
	probe.announcedAt = b.sharing.clock.now()
	if err := b.gossip.Broadcast(message.Probe, probe.result.Upstream, probe.result, probeTTL, false); err != nil {
		logWarning(componentPeers, "probe result not sent", err)
	}
	return circuitbreaker.ProbeResult{From: b.sharing.self.Name, Result: probe.result, TTL: probeTTL}
}

// deliver queues verdicts for the dispatcher, and campaigns for the probe leaderships of upstreams with open breakers.
func (b *breakerTracker) deliver(verdicts []circuitbreaker.Verdict) {
	for _, v := range verdicts {
		verdict := balancer.PeerVerdict{Upstream: v.Upstream, StartedAt: b.sharing.clock.fromUnixMs(float64(v.StartedMs)), Class: v.Class, Since: v.Since,
			PassFraction: v.PassFraction, Probes: probeOwners[v.Probes], ProbeSucceeded: v.Step == 0 && v.ProbesSucceeded}
		if v.Open {
			verdict.Until = b.sharing.clock.now() + v.For
		}
		if v.Changed {
			logAttrs(slog.LevelInfo, componentPeers, "verdict", slog.String("upstream", v.Upstream), slog.String("class", v.Class),
				slog.Bool("open", v.Open), slog.Float64("share", v.PassFraction), slog.Int("trials", int(v.Probes)), slog.String("why", v.Reason))
		}
		b.sharing.verdicts.Push(v.Upstream+" "+v.Class, verdict, !v.Open)
		if v.Class == "" && b.leaderships != nil {
			b.campaign(v)
		}
	}
}

// probeOwners maps the probe owners of the tracker to those of the balancer.
var probeOwners = map[circuitbreaker.ProbeOwner]balancer.ProbeOwner{circuitbreaker.ProbeByEach: balancer.ProbeByEach, circuitbreaker.ProbeByPeer: balancer.ProbeByPeer, circuitbreaker.ProbeBySelf: balancer.ProbeBySelf}

// campaign starts campaigning for the probe leadership of an upstream whose verdict is open, and stops when it closes.
func (b *breakerTracker) campaign(v circuitbreaker.Verdict) {
	probe := b.probes[v.Upstream]
	if probe == nil {
		if !v.Open {
			return
		}
		probe = &ownProbe{}
		b.probes[v.Upstream] = probe
	}
	if v.Open && probe.startedMs != v.StartedMs {
		probe.startedMs, probe.result = v.StartedMs, message.ProbeResult{}
	}
	if v.Open != probe.campaigning {
		probe.campaigning = v.Open
		b.leaderships.campaign(probeLeadership(v.Upstream), v.Open)
	}
}

// report queues a report of the dispatcher for the breaker tracker. It does not block.
func (s *sharing) report(a *balancer.Action) {
	startedMs, _, listed := s.dir.incarnation(a.Upstream)
	if !listed {
		return
	}
	r := message.Report{Upstream: a.Upstream, StartedMs: startedMs, Class: a.Class, State: message.Open, Evidence: evidenceKinds[a.Evidence], Count: a.Count}
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

// evidenceKinds maps the evidence of the balancer to that of gossip messages.
var evidenceKinds = map[balancer.Evidence]message.Evidence{balancer.EvidenceErrors: message.ErrorAnswers, balancer.EvidenceConnections: message.BrokenConnections,
	balancer.EvidenceSilence: message.Silence, balancer.EvidenceRejections: message.Rejections}

// stallDetector measures how long a message has waited in the queue of the dispatcher's loop: evidence from a process whose
// loop is stalled must not count. The loop calls onReceived, the breaker tracker calls delay.
type stallDetector struct {
	receivedAt atomic.Int64  // clock time at which the loop last received messages; 0 if it has not yet
	sentAt     time.Duration // clock time at which the breaker tracker queued the message
}

// onReceived records that the loop received its messages at now.
func (d *stallDetector) onReceived(now time.Duration) { d.receivedAt.Store(int64(now)) }

// delay is called before each message is queued. It returns how long the oldest message that the loop has not received has
// been waiting. It returns 0 if there is none, or if the loop has never received any message.
func (d *stallDetector) delay(now time.Duration) (waited time.Duration) {
	if received := time.Duration(d.receivedAt.Load()); d.sentAt > 0 && received < d.sentAt && received > 0 {
		return now - d.sentAt
	}
	d.sentAt = now
	return 0
}
