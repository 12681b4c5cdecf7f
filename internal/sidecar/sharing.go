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
	componentPeers = "peers" // the log's component
	gossipSockets  = 16      // file descriptors of gossip: its listeners, and connections for push/pull
)

// Peers configures sharing with other sidecars; absent, nothing is shared.
type Peers struct {
	Address   string   `json:"address"`           // host:port, UDP and TCP
	Advertise string   `json:"advertise"`         // address for the others; absent: Address
	Seeds     []string `json:"seeds"`             // addresses of members to join
	Zone      string   `json:"zone"`              // the sidecar's site; absent: that of the settings
	Service   string   `json:"service"`           // addresses of the list service, for leaderships; absent: none are held
	Forward   string   `json:"forward"`           // host:port for forwarded requests; absent: nothing is forwarded
	ForwardAs string   `json:"forward_advertise"` // address for the others; absent: Forward
}

// sharing runs what a sidecar shares with others: a goroutine for each part, which owns the part's state, connected with the
// dispatcher by bounded queues. A nil sharing shares nothing.
type sharing struct {
	self         message.Member
	gossip       *gossip.Gossiper
	dir          *endpointDirectory
	clock        clock
	forwarder    *forwarder                                    // nil: nothing is forwarded
	stall        stallDetector                                 // of the dispatcher's loop
	reports      *conflate.Queue[string, evidenceReport]       // from the dispatcher
	verdicts     *conflate.Queue[string, balancer.PeerVerdict] // to the dispatcher
	leaderships  *leaderships                                  // nil: no list service is configured
	openVerdicts chan chan []circuitbreaker.Verdict            // requests of the admin port to the breaker tracker
	parts        sync.WaitGroup
	ctx          context.Context // of the parts
	stop         context.CancelFunc
}

// newSharing joins the other sidecars and starts the parts.
func newSharing(c *Config, dir *endpointDirectory, clk clock, version string) (*sharing, error) {
	s := &sharing{dir: dir, clock: clk, openVerdicts: make(chan chan []circuitbreaker.Verdict), reports: conflate.New[string, evidenceReport](maxPendingReports), verdicts: conflate.New[string, balancer.PeerVerdict](maxPendingVerdicts),
		self: message.Member{Name: c.Name, Incarnation: message.Incarnation{StartedMs: time.Now().UnixMilli(), ID: rand.Uint64()},
			Site: c.Peers.site(c), Version: version, Schema: message.Schema, Forward: cmp.Or(c.Peers.ForwardAs, c.Peers.Forward)}}
	var err error
	if c.Peers.Forward != "" {
		if s.forwarder, err = newForwarder(c, clk); err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
	}
	if s.gossip, err = gossip.Join(gossip.Config{Member: s.self, Address: c.Peers.Address, Advertise: c.Peers.Advertise, Seeds: c.Peers.Seeds}); err != nil {
		s.forwarder.close()
		return nil, fmt.Errorf("peers: %w", err)
	}
	if c.Peers.Service != "" {
		if s.leaderships, err = newLeaderships(c.Peers.Service, s.self, dir.sites); err != nil {
			s.forwarder.close()
			return nil, errors.Join(fmt.Errorf("peers: %w", err), s.gossip.Leave())
		}
		s.leaderships.siteOf = func(upstream string) string { _, zone, _ := dir.incarnation(upstream); return zone }
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	if s.leaderships != nil {
		s.parts.Go(func() { s.leaderships.run(s.ctx) })
	}
	var probes probeLeaderships // not an interface that holds a nil *leaderships
	if s.leaderships != nil {
		probes = s.leaderships
	}
	s.parts.Go(func() { newBreakerTracker(s, probes).run(s.ctx) })
	return s, nil
}

// startForwarding starts forwarding requests to peers and serving theirs.
func (s *sharing) startForwarding(p *process) {
	if s == nil || s.forwarder == nil {
		return
	}
	p.server.forwards = s.forwarder
	s.forwarder.serve(p.server)
	s.parts.Go(func() { s.runPressure(s.ctx, p) })
}

// site returns the sidecar's site.
func (p *Peers) site(c *Config) string { return cmp.Or(p.Zone, c.Settings.Zone) }

// logStats logs the state of sharing.
func (s *sharing) logStats() {
	if s == nil {
		return
	}
	late, over := s.gossip.Dropped()
	attrs := []slog.Attr{slog.Int("present", s.gossip.Present()), slog.Bool("fenced", s.gossip.Fenced()),
		slog.Uint64("records_dropped", late+over), slog.Uint64("reports_dropped", s.reports.Dropped()), slog.Uint64("verdicts_dropped", s.verdicts.Dropped())}
	if s.forwarder != nil {
		attrs = append(attrs, s.forwarder.statsAttrs()...)
	}
	logAttrs(slog.LevelInfo, componentPeers, "sharing", attrs...)
}

// abort fails the requests at peers, before the process is killed.
func (s *sharing) abort() {
	if s != nil && s.forwarder != nil {
		s.forwarder.abort()
	}
}

// close ends the parts and leaves the other sidecars.
func (s *sharing) close() {
	if s == nil {
		return
	}
	s.stop()
	s.forwarder.close()
	s.parts.Wait()
	s.leaderships.close()
	if err := s.gossip.Leave(); err != nil {
		logWarning(componentPeers, "leaving the members failed", err)
	}
}

// releaseLeaderships releases all leaderships, for other sidecars to acquire while this process drains. It does not wait.
func (s *sharing) releaseLeaderships() {
	if s != nil {
		s.leaderships.releaseAll()
	}
}
