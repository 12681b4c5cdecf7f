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
	reportTTL          = 5 * time.Second        // what was said of a breaker is believed for so long, unless said anew
	reportInterval     = 2 * time.Second        // and it is, so often
	probeTTL           = 3 * time.Second        // a leader of probes is believed to be one for so long
	breakerTick        = 100 * time.Millisecond // the tracker looks at least so often
)

// probeLeaderships is what the breakers need of the leaderships. Absent, each sidecar makes its own probes, as without others.
type probeLeaderships interface {
	// campaign tells whether this sidecar wants to hold a leadership; it does not wait.
	campaign(name string, wanted bool)
	// holds tells whether the leadership is held now, and under which epoch: asked at each act.
	holds(name string) (epoch uint64, ok bool)
}

// broadcaster is what the breakers need of gossip.
type broadcaster interface {
	Broadcast(kind message.Kind, name string, payload any, ttl time.Duration, withdrawn bool) error
	Inbox(kind message.Kind) *conflate.Queue[message.Key, message.Record]
	Members() []message.Member
}

// evidenceReport is what the dispatcher reports of an upstream.
type evidenceReport struct {
	report message.Report
	probe  bool // it is of a probe made for all, which went well if the report is closed
}

// ownProbe is the probing of one upstream that this sidecar leads or campaigns for.
type ownProbe struct {
	startedMs   int64
	campaigning bool
	leading     bool
	result      message.ProbeResult // as said last
	announcedAt time.Duration
}

// breakerTracker is the goroutine that owns the verdict tracker: reports in, from here and from others,
// verdicts out.
type breakerTracker struct {
	s             *sharing
	gossip        broadcaster
	leaderships   probeLeaderships
	tracker       *circuitbreaker.VerdictTracker
	suspicion     *circuitbreaker.SelfSuspicion
	selfSuspicion float64                   // how far this process distrusts itself, as of the latest look
	own           map[string]message.Report // open breakers of this sidecar, said again until closed
	announcedAt   map[string]time.Duration
	probes        map[string]*ownProbe
	present       int // members, as told to the log
}

func newBreakerTracker(s *sharing, duties probeLeaderships) *breakerTracker {
	return &breakerTracker{s: s, gossip: s.gossip, leaderships: duties, tracker: circuitbreaker.New(circuitbreaker.Config{Self: s.self.Name, Site: s.self.Site}),
		suspicion: circuitbreaker.NewSelfSuspicion(s.clock.now(), breakerTick), own: map[string]message.Report{}, announcedAt: map[string]time.Duration{}, probes: map[string]*ownProbe{}}
}

// run is the thread.
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
		case answer := <-p.s.openVerdicts:
			answer <- p.tracker.Open() // holds one
		case <-p.s.reports.Ready():
			for w, ok := p.s.reports.Pop(); ok; w, ok = p.s.reports.Pop() {
				p.onOwnEvidence(w)
			}
		case <-reports.Ready():
			p.handle(read(reports))
		case <-results.Ready():
			p.handle(read(results))
		}
	}
}

// read takes what was heard, as the tracker wants it.
func read(inbox *conflate.Queue[message.Key, message.Record]) (all circuitbreaker.Batch) {
	for r, ok := inbox.Pop(); ok; r, ok = inbox.Pop() {
		if e := event(r); e != nil {
			all = append(all, e)
		}
	}
	return all
}

// event is what a record says to the tracker; nil: nothing.
func event(r message.Record) circuitbreaker.Event {
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

// tick lets time pass: who is present, what is listed, what must be said again, which probes are held.
func (p *breakerTracker) tick() {
	now := p.s.clock.now()
	members := p.gossip.Members()
	if len(members) != p.present {
		p.present = len(members)
		logAttrs(slog.LevelInfo, ofPeers, "present", slog.Int("members", p.present))
	}
	p.selfSuspicion = p.suspicion.Check(now, len(members), p.s.echo.delay(now))
	p.s.verdicts.Push("", balancer.PeerVerdict{}, false) // its taker is heard to be alive, see echo
	batch := circuitbreaker.Batch{circuitbreaker.EndpointList{Upstreams: p.s.dir.incarnations()}, circuitbreaker.Roster{Members: members}}
	for key, r := range p.own {
		if since, _, listed := p.s.dir.incarnation(r.Upstream); !listed || since != r.StartedMs {
			p.withdraw(key, r)
			batch = append(batch, circuitbreaker.OwnReport{Report: closed(r)})
		} else if now-p.announcedAt[key] >= reportInterval {
			p.announce(key, r)
			batch = append(batch, circuitbreaker.OwnReport{Report: r})
		}
	}
	p.handle(append(batch, p.updateProbes(now)...))
}

func closed(r message.Report) message.Report {
	r.State, r.Count, r.Evidence = message.Closed, 0, 0
	return r
}

func (p *breakerTracker) handle(e circuitbreaker.Event) {
	p.deliver(p.tracker.Handle(p.s.clock.now(), e))
}

// onOwnEvidence takes a word of the loop.
func (p *breakerTracker) onOwnEvidence(w evidenceReport) {
	r := w.report
	if w.probe {
		p.onProbeResult(r)
		return
	}
	key := r.Upstream + " " + r.Class
	r.Round = p.tracker.Round(r.Upstream)
	logAttrs(slog.LevelInfo, ofPeers, "report", slog.String("upstream", r.Upstream), slog.String("class", r.Class),
		slog.Bool("open", r.State != message.Closed), slog.Int("evidence", int(r.Evidence)), slog.Int("count", r.Count))
	switch {
	case r.State != message.Closed && r.SelfSuspicion == 0:
		p.own[key] = r
		p.announce(key, r)
	case r.Count > 0: // a first failure, or that it serves us whatever is said: said once
		p.announce(key, r)
	default:
		p.withdraw(key, r)
	}
	r.SelfSuspicion = max(r.SelfSuspicion, p.selfSuspicion)
	p.handle(circuitbreaker.OwnReport{Report: r})
}

// announce tells the others a report, with how far this process distrusts itself by now.
func (p *breakerTracker) announce(key string, r message.Report) {
	r.SelfSuspicion = max(r.SelfSuspicion, p.selfSuspicion)
	p.announcedAt[key] = p.s.clock.now()
	if err := p.gossip.Broadcast(message.Breaker, key, r, reportTTL, false); err != nil {
		logWarning(ofPeers, "breaker report not sent", err)
	}
}

// withdraw takes a report back.
func (p *breakerTracker) withdraw(key string, r message.Report) {
	delete(p.own, key)
	delete(p.announcedAt, key)
	if err := p.gossip.Broadcast(message.Breaker, key, closed(r), reportTTL, true); err != nil {
		logWarning(ofPeers, "withdrawal of a breaker report not sent", err)
	}
}

// updateProbes looks which of the wished probes are held by now, and says so again.
func (p *breakerTracker) updateProbes(now time.Duration) (events circuitbreaker.Batch) {
	for _, upstream := range slices.Sorted(maps.Keys(p.probes)) {
		t := p.probes[upstream]
		epoch, leading := p.leaderships.holds(probesOf(upstream))
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

// onProbeResult takes what came of a probe made for all. It counts only while the leadership is still held.
func (p *breakerTracker) onProbeResult(r message.Report) {
	t := p.probes[r.Upstream]
	if t == nil || t.startedMs != r.StartedMs {
		return
	}
	epoch, leading := p.leaderships.holds(probesOf(r.Upstream))
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
	if t.result.Step >= circuitbreaker.ProbeSteps { // told; a breaker that opens again begins at the first
		t.result.Step, t.result.OK = 0, false
	}
}

func (p *breakerTracker) announceProbe(t *ownProbe) circuitbreaker.Event {
	t.announcedAt = p.s.clock.now()
	if err := p.gossip.Broadcast(message.Probe, t.result.Upstream, t.result, probeTTL, false); err != nil {
		logWarning(ofPeers, "probe result not sent", err)
	}
	return circuitbreaker.ProbeResult{From: p.s.self.Name, Result: t.result, TTL: probeTTL}
}

// deliver hands verdicts to the loop, and wishes for the probes of what is open.
func (p *breakerTracker) deliver(verdicts []circuitbreaker.Verdict) {
	for _, v := range verdicts {
		h := balancer.PeerVerdict{Upstream: v.Upstream, StartedAt: p.s.clock.unixMs(float64(v.StartedMs)), Class: v.Class, Since: v.Since,
			PassFraction: v.PassFraction, Probes: probeOwners[v.Probes], ProbeSucceeded: v.Step == 0 && v.ProbesSucceeded}
		if v.Open {
			h.Until = p.s.clock.now() + v.For
		}
		if v.Changed {
			logAttrs(slog.LevelInfo, ofPeers, "verdict", slog.String("upstream", v.Upstream), slog.String("class", v.Class),
				slog.Bool("open", v.Open), slog.Float64("share", v.PassFraction), slog.Int("trials", int(v.Probes)), slog.String("why", v.Reason))
		}
		p.s.verdicts.Push(v.Upstream+" "+v.Class, h, !v.Open)
		if v.Class == "" && p.leaderships != nil {
			p.campaign(v)
		}
	}
}

var probeOwners = map[circuitbreaker.ProbeOwner]balancer.ProbeOwner{circuitbreaker.ProbeByEach: balancer.ProbeByEach, circuitbreaker.ProbeByPeer: balancer.ProbeByPeer, circuitbreaker.ProbeBySelf: balancer.ProbeBySelf}

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
		p.leaderships.campaign(probesOf(v.Upstream), v.Open)
	}
}

// report takes an action of the loop; it never waits.
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

// loopEcho tells for how long the loop has left a word untaken: one that is jammed must not be believed. Set by the loop, read by
// the breakers' thread.
type loopEcho struct {
	taken  atomic.Int64 // clock time
	sentAt time.Duration
}

// onTaken is the loop's: it takes words.
func (e *loopEcho) onTaken(now time.Duration) { e.taken.Store(int64(now)) }

// delay is how long the word asked at the look before has waited; what was taken since has not.
func (e *loopEcho) delay(now time.Duration) (waited time.Duration) {
	if taken := time.Duration(e.taken.Load()); e.sentAt > 0 && taken < e.sentAt && taken > 0 {
		return now - e.sentAt
	}
	e.sentAt = now
	return 0
}
