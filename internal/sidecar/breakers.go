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
	reportsMost = 256                    // words of the loop that wait for the board
	verdictMost = 256                    // verdicts that wait for the loop
	reportTTL   = 5 * time.Second        // what was said of a breaker is believed for so long, unless said anew
	sayAgain    = 2 * time.Second        // and it is, so often
	triedTTL    = 3 * time.Second        // a holder of trials is believed to be one for so long
	lookEach    = 100 * time.Millisecond // the board looks at least so often
)

// trialDuties is what the breakers need of the duties. Absent, each sidecar makes its own trials, as without others.
type trialDuties interface {
	// wish tells whether this sidecar wants to hold a duty; it does not wait.
	wish(name string, wanted bool)
	// holds tells whether the duty is held now, and under which epoch: asked at each act.
	holds(name string) (epoch uint64, ok bool)
}

// speaker is what the breakers need of the carrier.
type speaker interface {
	Say(kind message.Kind, name string, word any, ttl time.Duration, over bool) error
	Heard(kind message.Kind) *conflate.Ring[message.Key, message.Record]
	Members() []message.Member
}

// word is what the loop says of an upstream.
type word struct {
	report message.Report
	trial  bool // it is of a trial made for all, which went well if the report is closed
}

// trials are those of one upstream that this sidecar holds or wishes to.
type trials struct {
	sinceMs int64
	wished  bool
	held    bool
	tried   message.Tried // as said last
	said    time.Duration
}

// breakers is the thread that owns the board: reports in, from here and from others, verdicts out.
type breakers struct {
	s       *sharing
	carrier speaker
	duties  trialDuties
	board   *circuitbreaker.Board
	doubt   *circuitbreaker.Doubt
	unsure  float64                   // how far this process doubts itself, as of the latest look
	own     map[string]message.Report // open breakers of this sidecar, said again until closed
	said    map[string]time.Duration
	trials  map[string]*trials
	present int // members, as told to the log
}

func newBreakers(s *sharing, duties trialDuties) *breakers {
	return &breakers{s: s, carrier: s.carrier, duties: duties, board: circuitbreaker.New(circuitbreaker.Config{Self: s.self.Name, Site: s.self.Site}),
		doubt: circuitbreaker.NewDoubt(s.clock.now(), lookEach), own: map[string]message.Report{}, said: map[string]time.Duration{}, trials: map[string]*trials{}}
}

// run is the thread.
func (p *breakers) run(ctx context.Context) {
	tick := time.NewTicker(lookEach)
	defer tick.Stop()
	reports, tried := p.carrier.Heard(message.Breaker), p.carrier.Heard(message.Trial)
	p.look()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.look()
		case answer := <-p.s.asked:
			answer <- p.board.Standing() // holds one
		case <-p.s.reports.Wake():
			for w, ok := p.s.reports.Take(); ok; w, ok = p.s.reports.Take() {
				p.loopSaid(w)
			}
		case <-reports.Wake():
			p.handle(read(reports))
		case <-tried.Wake():
			p.handle(read(tried))
		}
	}
}

// read takes what was heard, as the board wants it.
func read(heard *conflate.Ring[message.Key, message.Record]) (all circuitbreaker.Batch) {
	for r, ok := heard.Take(); ok; r, ok = heard.Take() {
		if e := event(r); e != nil {
			all = append(all, e)
		}
	}
	return all
}

// event is what a record says to the board; nil: nothing.
func event(r message.Record) circuitbreaker.Event {
	switch r.Kind {
	case message.Breaker:
		var report message.Report
		if message.Decode(r.Body, &report) == nil {
			return circuitbreaker.Heard{From: message.Member{Name: r.Owner, Incarnation: r.Incarnation}, Report: report, TTL: r.TTL, Over: r.Over}
		}
	case message.Trial:
		var tried message.Tried
		if message.Decode(r.Body, &tried) == nil {
			return circuitbreaker.Trial{From: r.Owner, Tried: tried, TTL: r.TTL, Over: r.Over}
		}
	}
	return nil
}

// look lets time pass: who is present, what is listed, what must be said again, which trials are held.
func (p *breakers) look() {
	now := p.s.clock.now()
	members := p.carrier.Members()
	if len(members) != p.present {
		p.present = len(members)
		note(slog.LevelInfo, ofPeers, "present", slog.Int("members", p.present))
	}
	p.unsure = p.doubt.Look(now, len(members), p.s.echo.waits(now))
	p.s.verdicts.Put("", balancer.PeerVerdict{}, false) // its taker is heard to be alive, see echo
	batch := circuitbreaker.Batch{circuitbreaker.Listed{Upstreams: p.s.dir.lives()}, circuitbreaker.Roster{Members: members}}
	for key, r := range p.own {
		if since, _, listed := p.s.dir.life(r.Upstream); !listed || since != r.SinceMs {
			p.drop(key, r)
			batch = append(batch, circuitbreaker.Own{Report: closed(r)})
		} else if now-p.said[key] >= sayAgain {
			p.say(key, r)
			batch = append(batch, circuitbreaker.Own{Report: r})
		}
	}
	p.handle(append(batch, p.hold(now)...))
}

func closed(r message.Report) message.Report {
	r.State, r.Count, r.Evidence = message.Closed, 0, 0
	return r
}

func (p *breakers) handle(e circuitbreaker.Event) { p.tell(p.board.Handle(p.s.clock.now(), e)) }

// loopSaid takes a word of the loop.
func (p *breakers) loopSaid(w word) {
	r := w.report
	if w.trial {
		p.tried(r)
		return
	}
	key := r.Upstream + " " + r.Class
	r.Round = p.board.Round(r.Upstream)
	note(slog.LevelInfo, ofPeers, "report", slog.String("upstream", r.Upstream), slog.String("class", r.Class),
		slog.Bool("open", r.State != message.Closed), slog.Int("evidence", int(r.Evidence)), slog.Int("count", r.Count))
	switch {
	case r.State != message.Closed && r.Doubt == 0:
		p.own[key] = r
		p.say(key, r)
	case r.Count > 0: // a first failure, or that it serves us whatever is said: said once
		p.say(key, r)
	default:
		p.drop(key, r)
	}
	r.Doubt = max(r.Doubt, p.unsure)
	p.handle(circuitbreaker.Own{Report: r})
}

// say tells the others a report, with how far this process doubts itself by now.
func (p *breakers) say(key string, r message.Report) {
	r.Doubt = max(r.Doubt, p.unsure)
	p.said[key] = p.s.clock.now()
	if err := p.carrier.Say(message.Breaker, key, r, reportTTL, false); err != nil {
		warn(ofPeers, "a report was not said", err)
	}
}

// drop takes a report back.
func (p *breakers) drop(key string, r message.Report) {
	delete(p.own, key)
	delete(p.said, key)
	if err := p.carrier.Say(message.Breaker, key, closed(r), reportTTL, true); err != nil {
		warn(ofPeers, "the end of a report was not said", err)
	}
}

// hold looks which of the wished trials are held by now, and says so again.
func (p *breakers) hold(now time.Duration) (events circuitbreaker.Batch) {
	for _, upstream := range slices.Sorted(maps.Keys(p.trials)) {
		t := p.trials[upstream]
		epoch, held := p.duties.holds(trialsOf(upstream))
		if held != t.held {
			t.held = held
			events = append(events, circuitbreaker.Duty{Upstream: upstream, Held: held})
		}
		switch {
		case held && epoch != t.tried.Epoch:
			t.tried = message.Tried{Upstream: upstream, SinceMs: t.sinceMs, Epoch: epoch, Round: p.board.Round(upstream)}
			events = append(events, p.sayTried(t))
		case held && now-t.said >= triedTTL/3:
			events = append(events, p.sayTried(t))
		case !t.wished && !held:
			delete(p.trials, upstream)
		}
	}
	return events
}

// tried takes what came of a trial made for all. It counts only while the duty is still held.
func (p *breakers) tried(r message.Report) {
	t := p.trials[r.Upstream]
	if t == nil || t.sinceMs != r.SinceMs {
		return
	}
	epoch, held := p.duties.holds(trialsOf(r.Upstream))
	if !held || epoch != t.tried.Epoch {
		return
	}
	t.tried.Count++
	if t.tried.OK = r.State == message.Closed; !t.tried.OK {
		t.tried.Step = 0
	} else if t.tried.Step++; t.tried.Step == circuitbreaker.Steps {
		t.tried.Round++
	}
	p.handle(p.sayTried(t))
	if t.tried.Step >= circuitbreaker.Steps { // told; a breaker that opens again begins at the first
		t.tried.Step, t.tried.OK = 0, false
	}
}

func (p *breakers) sayTried(t *trials) circuitbreaker.Event {
	t.said = p.s.clock.now()
	if err := p.carrier.Say(message.Trial, t.tried.Upstream, t.tried, triedTTL, false); err != nil {
		warn(ofPeers, "a trial was not said", err)
	}
	return circuitbreaker.Trial{From: p.s.self.Name, Tried: t.tried, TTL: triedTTL}
}

// tell hands verdicts to the loop, and wishes for the trials of what is open.
func (p *breakers) tell(verdicts []circuitbreaker.Verdict) {
	for _, v := range verdicts {
		h := balancer.PeerVerdict{Upstream: v.Upstream, StartedAt: p.s.clock.unixMs(float64(v.SinceMs)), Class: v.Class, Since: v.Since,
			PassFraction: v.Share, Probes: triesWords[v.Tries], ProbeSucceeded: v.Step == 0 && v.Tried}
		if v.Open {
			h.Until = p.s.clock.now() + v.For
		}
		if v.News {
			note(slog.LevelInfo, ofPeers, "verdict", slog.String("upstream", v.Upstream), slog.String("class", v.Class),
				slog.Bool("open", v.Open), slog.Float64("share", v.Share), slog.Int("trials", int(v.Tries)), slog.String("why", v.Why))
		}
		p.s.verdicts.Put(v.Upstream+" "+v.Class, h, !v.Open)
		if v.Class == "" && p.duties != nil {
			p.wish(v)
		}
	}
}

var triesWords = map[circuitbreaker.Tries]balancer.ProbeOwner{circuitbreaker.Each: balancer.ProbeByEach, circuitbreaker.Others: balancer.ProbeByPeer, circuitbreaker.Ours: balancer.ProbeBySelf}

func (p *breakers) wish(v circuitbreaker.Verdict) {
	t := p.trials[v.Upstream]
	if t == nil {
		if !v.Open {
			return
		}
		t = &trials{}
		p.trials[v.Upstream] = t
	}
	if v.Open && t.sinceMs != v.SinceMs {
		t.sinceMs, t.tried = v.SinceMs, message.Tried{}
	}
	if v.Open != t.wished {
		t.wished = v.Open
		p.duties.wish(trialsOf(v.Upstream), v.Open)
	}
}

// report takes an action of the loop; it never waits.
func (s *sharing) report(a *balancer.Action) {
	since, _, listed := s.dir.life(a.Upstream)
	if !listed {
		return
	}
	r := message.Report{Upstream: a.Upstream, SinceMs: since, Class: a.Class, State: message.Open, Evidence: evidenceWords[a.Evidence], Count: a.Count}
	if a.Evidence == balancer.EvidenceNone {
		r.State = message.Closed
	}
	if a.Suspicion {
		r.Doubt = circuitbreaker.Suspicion
	}
	key := r.Upstream + " " + r.Class
	if a.Probe {
		key = "trial " + r.Upstream
	}
	s.reports.Put(key, word{r, a.Probe}, r.State == message.Closed && r.Count == 0)
}

var evidenceWords = map[balancer.Evidence]message.Evidence{balancer.EvidenceErrors: message.Errors, balancer.EvidenceConnections: message.Breaks,
	balancer.EvidenceSilence: message.Silence, balancer.EvidenceRejections: message.Full}

// echo tells for how long the loop has left a word untaken: one that is jammed must not be believed. Set by the loop, read by
// the breakers' thread.
type echo struct {
	taken atomic.Int64 // clock time
	asked time.Duration
}

// heard is the loop's: it takes words.
func (e *echo) heard(now time.Duration) { e.taken.Store(int64(now)) }

// waits is how long the word asked at the look before has waited; what was taken since has not.
func (e *echo) waits(now time.Duration) (waited time.Duration) {
	if taken := time.Duration(e.taken.Load()); e.asked > 0 && taken < e.asked && taken > 0 {
		return now - e.asked
	}
	e.asked = now
	return 0
}
