package sidecar

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"mosslead/balancer"
	"mosslead/internal/breaker"
	"mosslead/internal/peer"
	"mosslead/internal/peer/api"
	"mosslead/internal/ring"
)

const (
	ofPeers     = "peers"         // the log's component
	peerSockets = 16              // of the carrier: its two, and push/pull with others
	reportsMost = 64              // reports of the loop that wait for the board
	verdictMost = 64              // verdicts that wait for the loop
	reportTTL   = 5 * time.Second // what was said of a breaker is believed for so long, unless said anew
	boardEvery  = time.Second     // the board looks at least so often
)

// Peers is what a sidecar is told of the others; absent, it shares nothing.
type Peers struct {
	Address string   `json:"address"` // host:port, UDP and TCP
	Seeds   []string `json:"seeds"`
	Zone    string   `json:"zone"` // absent: that of the settings
	Service string   `json:"service"`
	Forward string   `json:"forward"`
}

// sharing is what a sidecar does with others: a thread for each part, each owner of its state, joined to the loop by rings.
type sharing struct {
	self     api.Member
	carrier  *peer.Carrier
	dir      *directory
	clock    clock
	forwards *forwards                            // nil: nothing is forwarded
	reports  *ring.Ring[string, api.Report]       // from the loop
	verdicts *ring.Ring[string, balancer.Hearsay] // to the loop
	duties   *duties                              // nil: no list service is configured, nothing is held
	suspects map[string]suspicion                 // of the thread of breakers
	parts    sync.WaitGroup
	ctx      context.Context // of the parts
	stop     context.CancelFunc
}

// share begins to take part. An error says what of the configuration can't be used.
func share(c *Config, dir *directory, clk clock, version string) (*sharing, error) {
	s := &sharing{dir: dir, clock: clk, reports: ring.New[string, api.Report](reportsMost), verdicts: ring.New[string, balancer.Hearsay](verdictMost),
		self: api.Member{Name: c.Name, Incarnation: api.Incarnation{StartedMs: time.Now().UnixMilli(), ID: rand.Uint64()},
			Site: c.Peers.site(c), Version: version, Schema: api.Schema, Forward: c.Peers.Forward}}
	var err error
	if c.Peers.Forward != "" {
		if s.forwards, err = newForwards(c, clk); err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
	}
	if s.carrier, err = peer.Join(peer.Config{Member: s.self, Address: c.Peers.Address, Seeds: c.Peers.Seeds}); err != nil {
		s.forwards.close()
		return nil, fmt.Errorf("peers: %w", err)
	}
	if c.Peers.Service != "" {
		if s.duties, err = newDuties(c.Peers.Service, s.self, dir.sites); err != nil {
			s.forwards.close()
			return nil, errors.Join(fmt.Errorf("peers: %w", err), s.carrier.Leave())
		}
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.suspects = map[string]suspicion{}
	if s.duties != nil {
		s.parts.Go(func() { s.duties.run(s.ctx) })
	}
	s.parts.Go(func() { s.breakers(s.ctx) })
	return s, nil
}

// forward begins to send to peers and to take from them.
func (s *sharing) forward(p *process) {
	if s == nil || s.forwards == nil {
		return
	}
	p.s.forwards = s.forwards
	s.forwards.serve(p.s)
	s.parts.Go(func() { s.pressure(s.ctx, p) })
}

// site is where the sidecar stands among the others.
func (p *Peers) site(c *Config) string { return cmp.Or(p.Zone, c.Settings.Zone) }

// note tells the log what there is of the others.
func (s *sharing) note() {
	if s == nil {
		return
	}
	late, over := s.carrier.Dropped()
	attrs := []slog.Attr{slog.Int("present", s.carrier.Present()), slog.Bool("fenced", s.carrier.Fenced()),
		slog.Uint64("records_dropped", late+over), slog.Uint64("reports_dropped", s.reports.Dropped()), slog.Uint64("verdicts_dropped", s.verdicts.Dropped())}
	if s.forwards != nil {
		attrs = append(attrs, s.forwards.figures()...)
	}
	note(slog.LevelInfo, ofPeers, "sharing", attrs...)
}

// abort fails what is with peers: the process is about to be killed.
func (s *sharing) abort() {
	if s != nil && s.forwards != nil {
		s.forwards.abort()
	}
}

// close leaves the others and ends the parts.
func (s *sharing) close() {
	if s == nil {
		return
	}
	s.stop()
	s.forwards.close()
	s.parts.Wait()
	s.duties.close()
	if err := s.carrier.Leave(); err != nil {
		warn(ofPeers, "left without a word", err)
	}
}

// yield gives up what is held here, for others to take while this process ends; it does not wait.
func (s *sharing) yield() {
	if s != nil {
		s.duties.yield()
	}
}

// lines are what operators see of it.
func (s *sharing) lines() string {
	if s == nil {
		return ""
	}
	return s.duties.lines()
}

// suspicion is why an upstream is left out here: by own evidence, or as others say.
type suspicion struct{ own, told bool }

// suspect makes this sidecar a candidate for an upstream's trials while it leaves the upstream out.
func (s *sharing) suspect(upstream string, change func(*suspicion)) {
	x := s.suspects[upstream]
	change(&x)
	if x == (suspicion{}) {
		delete(s.suspects, upstream)
	} else {
		s.suspects[upstream] = x
	}
	_, zone, _ := s.dir.life(upstream)
	s.duties.want(trialsOf(upstream), x != suspicion{}, zone)
}

// report takes an action of the loop; it never waits.
func (s *sharing) report(a *balancer.Action) {
	since, _, listed := s.dir.life(a.Upstream)
	if !listed {
		return
	}
	r := api.Report{Upstream: a.Upstream, SinceMs: since, State: api.Open, Evidence: evidenceWords[a.Evidence], Count: a.Count}
	if a.Evidence == balancer.NoEvidence {
		r.State = api.Closed
	}
	s.reports.Put(r.Upstream, r, r.State == api.Closed)
}

var evidenceWords = map[balancer.Evidence]api.Evidence{balancer.ByErrors: api.Errors, balancer.ByBreaks: api.Breaks,
	balancer.BySilence: api.Silence, balancer.ByFull: api.Full}

// breakers owns the board: reports in, from here and from others, verdicts out.
func (s *sharing) breakers(ctx context.Context) {
	board := breaker.New(breaker.Config{Self: s.self.Name, Site: s.self.Site})
	tick := time.NewTicker(boardEvery)
	defer tick.Stop()
	heard := s.carrier.Heard(api.Breaker)
	for {
		s.tell(board.Handle(s.clock.now(), breaker.Listed{Upstreams: s.dir.lives()}))
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-s.reports.Wake():
			for r, ok := s.reports.Take(); ok; r, ok = s.reports.Take() {
				if err := s.carrier.Say(api.Breaker, r.Upstream, r, reportTTL, r.State == api.Closed); err != nil {
					warn(ofPeers, "a report was not said", err)
				}
				s.suspect(r.Upstream, func(x *suspicion) { x.own = r.State != api.Closed })
				s.tell(board.Handle(s.clock.now(), breaker.Own{Report: r}))
			}
		case <-heard.Wake():
			for r, ok := heard.Take(); ok; r, ok = heard.Take() {
				var report api.Report
				if api.Decode(r.Body, &report) != nil {
					continue
				}
				from := api.Member{Name: r.Owner, Site: s.carrier.Site(r.Owner)}
				s.tell(board.Handle(s.clock.now(), breaker.Heard{From: from, Report: report, TTL: r.TTL, Over: r.Over}))
			}
		}
	}
}

// tell hands verdicts to the loop.
func (s *sharing) tell(verdicts []breaker.Verdict) {
	for _, v := range verdicts {
		h := balancer.Hearsay{Upstream: v.Upstream, CameUp: s.clock.unixMs(float64(v.SinceMs)), Class: v.Class}
		if v.Open {
			h.Until = s.clock.now() + v.For
		}
		note(slog.LevelInfo, ofPeers, "verdict", slog.String("upstream", v.Upstream), slog.Bool("open", v.Open), slog.String("why", v.Why))
		s.suspect(v.Upstream, func(x *suspicion) { x.told = v.Open })
		s.verdicts.Put(v.Upstream+" "+v.Class, h, !v.Open)
	}
}
