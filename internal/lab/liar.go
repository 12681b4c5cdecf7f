package lab

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"mosslead/internal/gossip"
	"mosslead/internal/gossip/message"
	"mosslead/internal/lab/relay"
)

const (
	firstLiarNumber = 500 // and up: where liars take part, beyond all sidecars
	lieInterval     = time.Second
	lieTTL          = 5 * time.Second
	lieFailures     = 9 // attempts that never were
)

// broadcastLies lets a member beside a sidecar, of its site and with links like its own, say over and over that upstreams never answer. The
// sidecars can't tell it from one of theirs.
func (p *play) broadcastLies(s *sidecar, ups []*upstream, duration time.Duration) (err error) {
	if p.mesh == nil {
		return nil // nobody hears it
	}
	name, number := s.name+"-liar", firstLiarNumber+s.number
	if err := p.addLiar(s, name, number); err != nil {
		return err
	}
	c, err := gossip.Join(gossip.Config{Member: message.Member{Name: name, Site: s.zone, Version: "liar", Schema: message.Schema,
		Incarnation: message.Incarnation{StartedMs: time.Now().UnixMilli(), ID: rand.Uint64()}},
		Address: p.addrs.sidecar(number, peerPort), Advertise: p.addrs.sidecar(number, peerLinkPort), Seeds: p.seeds()})
	if err != nil {
		return fmt.Errorf("liar beside %s: %w", s.name, err)
	}
	defer func() { err = errors.Join(err, c.Leave()) }()
	for until := p.rec.Now() + duration; p.rec.Now() < until; {
		for _, u := range ups {
			p.mu.Lock()
			since := u.entry.SinceMs
			p.mu.Unlock()
			r := message.Report{Upstream: u.Name, StartedMs: since, State: message.Open, Evidence: message.Silence, Count: lieFailures}
			if err := c.Broadcast(message.Breaker, u.Name, r, lieTTL, false); err != nil {
				return fmt.Errorf("liar beside %s: %w", s.name, err)
			}
		}
		if !p.sleep(lieInterval) {
			break
		}
	}
	return nil
}

// addLiar puts a liar into the mesh.
func (p *play) addLiar(s *sidecar, name string, number int) error {
	if err := p.mesh.Add(name, p.addrs.sidecar(number, peerLinkPort), p.addrs.sidecar(number, peerPort), p.seed+uint64(number)); err != nil {
		return err
	}
	for _, o := range p.sidecars {
		base := p.peerLinkState(s.zone, o.zone)
		if err := errors.Join(p.mesh.Set(name, o.name, base), p.mesh.Set(o.name, name, base)); err != nil {
			return err
		}
	}
	return nil
}

// peerLinkState is what an undisturbed link between sidecars of two zones does.
func (p *play) peerLinkState(from, to string) relay.State {
	base := relay.State{Delay: p.experiment.Net.Same.Duration, Jitter: p.experiment.Net.Jitter.Duration}
	if from != to {
		base.Delay = p.experiment.Net.Cross.Duration
	}
	return base
}
