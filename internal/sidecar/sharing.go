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
	componentPeers = "peers" // component of log lines
	gossipSockets  = 16      // file descriptors that gossip needs: its listeners, and connections for push/pull
)

// Peers configures sharing with other sidecars. If it is absent, nothing is shared.
type Peers struct {
	Address   string   `json:"address"`           // host:port of gossip, UDP and TCP
	Advertise string   `json:"advertise"`         // address that the others use; Address if it is absent
	Seeds     []string `json:"seeds"`             // addresses of gossip members to join
	Zone      string   `json:"zone"`              // the sidecar's site; the zone of the settings if it is absent
	Service   string   `json:"service"`           // addresses of the list service, for leaderships; if it is absent, there are none
	Forward   string   `json:"forward"`           // host:port for forwarded requests; if it is absent, nothing is forwarded
	ForwardAs string   `json:"forward_advertise"` // address that the others use; Forward if it is absent
}

// sharing runs the parts that share state and load with other sidecars. Each part is a goroutine that owns the part's state
// and is connected with the dispatcher by bounded queues. A nil sharing shares nothing.
type sharing struct {
	self         message.Member
	gossip       *gossip.Gossiper
	dir          *endpointDirectory
	clock        clock
	forwarder    *forwarder                                    // nil if nothing is forwarded
	stall        stallDetector                                 // detects a stall of the dispatcher's loop
	reports      *conflate.Queue[string, evidenceReport]       // reports from the dispatcher to the breaker tracker
	verdicts     *conflate.Queue[string, balancer.PeerVerdict] // verdicts from the breaker tracker to the dispatcher
	leaderships  *leaderships                                  // nil if no list service is configured
	openVerdicts chan chan []circuitbreaker.Verdict            // requests for the open verdicts, from the admin port to the breaker tracker
	parts        sync.WaitGroup
	ctx          context.Context // ends when the parts must end
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
	var probes probeLeaderships // stays nil without leaderships, since an interface that holds a nil *leaderships would not be nil
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
	p.server.forwarder, s.forwarder.pool.memory = s.forwarder, p.upstreams.memory
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
	late, overBound := s.gossip.Dropped()
	attrs := []slog.Attr{slog.Int("present", s.gossip.Present()), slog.Bool("fenced", s.gossip.Fenced()),
		slog.Uint64("records_dropped", late+overBound), slog.Uint64("reports_dropped", s.reports.Dropped()), slog.Uint64("verdicts_dropped", s.verdicts.Dropped())}
	if s.forwarder != nil {
		attrs = append(attrs, s.forwarder.statsAttrs()...)
	}
	logAttrs(slog.LevelInfo, componentPeers, "sharing", attrs...)
}

// abort cancels the requests that have been forwarded to peers; it is called before the process is killed.
func (s *sharing) abort() {
	if s != nil && s.forwarder != nil {
		s.forwarder.abort()
	}
}

// close ends the parts and the membership in gossip.
func (s *sharing) close() {
	if s == nil {
		return
	}
	s.stop()
	s.forwarder.close()
	s.parts.Wait()
	s.leaderships.close()
	if err := s.gossip.Leave(); err != nil {
		logWarning(componentPeers, "leaving the gossip members failed", err)
	}
}

// releaseLeaderships releases all leaderships, so that other sidecars acquire them while this process drains. It does not
// wait for that.
func (s *sharing) releaseLeaderships() {
	if s != nil {
		s.leaderships.releaseAll()
	}
}
