package sidecar

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"mosslead/balancer"
	"mosslead/internal/peer"
	"mosslead/internal/peer/api"
	"mosslead/internal/ring"
)

const ofPeers = "peers" // the log's component

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
	duties   trialDuties                          // nil: none are held
	echo     echo                                 // of the loop
	reports  *ring.Ring[string, word]             // from the loop
	verdicts *ring.Ring[string, balancer.Hearsay] // to the loop
	parts    sync.WaitGroup
	stop     context.CancelFunc
}

// share begins to take part. An error says what of the configuration can't be used.
func share(c *Config, dir *directory, clk clock, version string) (*sharing, error) {
	s := &sharing{dir: dir, clock: clk, reports: ring.New[string, word](reportsMost), verdicts: ring.New[string, balancer.Hearsay](verdictMost),
		self: api.Member{Name: c.Name, Incarnation: api.Incarnation{StartedMs: time.Now().UnixMilli(), ID: rand.Uint64()},
			Site: cmp.Or(c.Peers.Zone, c.Settings.Zone), Version: version, Schema: api.Schema, Forward: c.Peers.Forward}}
	var err error
	if s.carrier, err = peer.Join(peer.Config{Member: s.self, Address: c.Peers.Address, Seeds: c.Peers.Seeds}); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	s.parts.Go(func() { s.runBreakers(ctx) })
	return s, nil
}

// close leaves the others and ends the parts.
func (s *sharing) close() {
	if s == nil {
		return
	}
	s.stop()
	s.parts.Wait()
	if err := s.carrier.Leave(); err != nil {
		warn(ofPeers, "left without a word", err)
	}
}
