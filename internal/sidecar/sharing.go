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
	"mosslead/internal/circuitbreaker"
	"mosslead/internal/conflate"
	"mosslead/internal/gossip"
	"mosslead/internal/gossip/message"
)

const (
	ofPeers     = "peers" // the log's component
	peerSockets = 16      // of gossip: its two, and push/pull with others
)

// Peers is what a sidecar is told of the others; absent, it shares nothing.
type Peers struct {
	Address   string   `json:"address"`   // host:port, UDP and TCP
	Advertise string   `json:"advertise"` // at which the others reach it; absent: address
	Seeds     []string `json:"seeds"`
	Zone      string   `json:"zone"` // absent: that of the settings
	Service   string   `json:"service"`
	Forward   string   `json:"forward"`           // host:port that takes forwarded requests; absent: nothing is forwarded
	ForwardAs string   `json:"forward_advertise"` // at which the others reach it; absent: forward
}

// sharing is what a sidecar does with others: a goroutine for each part, each owner of its state, joined to
// the dispatcher by bounded queues.
type sharing struct {
	self         message.Member
	gossip       *gossip.Gossiper
	dir          *endpointDirectory
	clock        clock
	forwards     *forwarder                                    // nil: nothing is forwarded
	echo         loopEcho                                      // of the loop
	reports      *conflate.Queue[string, evidenceReport]       // from the loop
	verdicts     *conflate.Queue[string, balancer.PeerVerdict] // to the loop
	leaderships  *leaderships                                  // nil: no list service is configured, nothing is held
	openVerdicts chan chan []circuitbreaker.Verdict            // by the admin port, of the thread of breakers
	parts        sync.WaitGroup
	ctx          context.Context // of the parts
	stop         context.CancelFunc
}

// newSharing begins to take part. An error says what of the configuration can't be used.
func newSharing(c *Config, dir *endpointDirectory, clk clock, version string) (*sharing, error) {
	s := &sharing{dir: dir, clock: clk, openVerdicts: make(chan chan []circuitbreaker.Verdict), reports: conflate.New[string, evidenceReport](maxPendingReports), verdicts: conflate.New[string, balancer.PeerVerdict](maxPendingVerdicts),
		self: message.Member{Name: c.Name, Incarnation: message.Incarnation{StartedMs: time.Now().UnixMilli(), ID: rand.Uint64()},
			Site: c.Peers.site(c), Version: version, Schema: message.Schema, Forward: cmp.Or(c.Peers.ForwardAs, c.Peers.Forward)}}
	var err error
	if c.Peers.Forward != "" {
		if s.forwards, err = newForwarder(c, clk); err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
	}
	if s.gossip, err = gossip.Join(gossip.Config{Member: s.self, Address: c.Peers.Address, Advertise: c.Peers.Advertise, Seeds: c.Peers.Seeds}); err != nil {
		s.forwards.close()
		return nil, fmt.Errorf("peers: %w", err)
	}
	if c.Peers.Service != "" {
		if s.leaderships, err = newLeaderships(c.Peers.Service, s.self, dir.sites); err != nil {
			s.forwards.close()
			return nil, errors.Join(fmt.Errorf("peers: %w", err), s.gossip.Leave())
		}
		s.leaderships.siteOf = func(upstream string) string { _, zone, _ := dir.incarnation(upstream); return zone }
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	if s.leaderships != nil {
		s.parts.Go(func() { s.leaderships.run(s.ctx) })
	}
	var leading probeLeaderships // not a nil *leaderships, which would be one that is never held
	if s.leaderships != nil {
		leading = s.leaderships
	}
	s.parts.Go(func() { newBreakerTracker(s, leading).run(s.ctx) })
	return s, nil
}

// startForwarding begins to send to peers and to take from them.
func (s *sharing) startForwarding(p *process) {
	if s == nil || s.forwards == nil {
		return
	}
	p.server.forwards = s.forwards
	s.forwards.serve(p.server)
	s.parts.Go(func() { s.pressure(s.ctx, p) })
}

// site is where the sidecar stands among the others.
func (p *Peers) site(c *Config) string { return cmp.Or(p.Zone, c.Settings.Zone) }

// logStats tells the log what there is of the others.
func (s *sharing) logStats() {
	if s == nil {
		return
	}
	late, over := s.gossip.Dropped()
	attrs := []slog.Attr{slog.Int("present", s.gossip.Present()), slog.Bool("fenced", s.gossip.Fenced()),
		slog.Uint64("records_dropped", late+over), slog.Uint64("reports_dropped", s.reports.Dropped()), slog.Uint64("verdicts_dropped", s.verdicts.Dropped())}
	if s.forwards != nil {
		attrs = append(attrs, s.forwards.figures()...)
	}
	logAttrs(slog.LevelInfo, ofPeers, "sharing", attrs...)
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
	s.leaderships.close()
	if err := s.gossip.Leave(); err != nil {
		logWarning(ofPeers, "leaving the members failed", err)
	}
}

// releaseLeaderships gives up what is held here, for others to take while this process ends; it does not wait.
func (s *sharing) releaseLeaderships() {
	if s != nil {
		s.leaderships.yield()
	}
}
