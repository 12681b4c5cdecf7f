package sidecar

import (
	"context"
	"log/slog"
	"math"
	"runtime/debug"
	"runtime/metrics"
	"slices"
	"sync/atomic"
	"time"

	"mosslead/internal/gossip/message"
)

const (
	pressureInterval = 100 * time.Millisecond
	pressureQueries  = 2 // peers asked per pressureInterval while this sidecar is under pressure
	loadTTL          = 10 * time.Second
	halfDelay        = 2 * time.Millisecond // delay of the loop that counts as a CPU pressure of 0.5
)

// heartbeat is an event that measures the delay of the dispatcher's loop.
type heartbeat struct{ sent time.Time }

// loopPulse is the state of the dispatcher's loop at its latest heartbeat. Safe for concurrent use.
type loopPulse struct {
	delay    atomic.Int64 // of the latest heartbeat, in nanoseconds
	inFlight atomic.Uint64
	site     atomic.Uint64
}

// answer records a heartbeat; it is called by the loop.
func (p *loopPulse) answer(e heartbeat, inFlight, site float64) {
	p.delay.Store(int64(time.Since(e.sent)))
	p.inFlight.Store(math.Float64bits(inFlight))
	p.site.Store(math.Float64bits(site))
}

// pressure owns the gauge: it samples this sidecar's pressure, and handles the pressures and requests of peers, until ctx
// ends.
func (s *sharing) pressure(ctx context.Context, p *process) {
	tick := time.NewTicker(pressureInterval)
	defer tick.Stop()
	reports := s.gossip.Inbox(message.LoadReport)
	requests := s.gossip.Inbox(message.PressureRequest)
	var due time.Time
	var before []message.Member
	for {
		select {
		case <-ctx.Done():
			return
		case <-reports.Ready():
			for r, ok := reports.Pop(); ok; r, ok = reports.Pop() {
				s.onPeerPressure(r)
			}
		case <-requests.Ready():
			for r, ok := requests.Pop(); ok; r, ok = requests.Pop() {
				s.answerPressure(r.Owner)
			}
		case <-tick.C:
			now := time.Now()
			late := time.Duration(0) // a tick that is late shows that the processor is short
			if !due.IsZero() {
				late = max(0, now.Sub(due))
			}
			due = now.Add(pressureInterval)
			before = s.updateForwardingPeers(before)
			s.updatePressure(p.sample(late))
		}
	}
}

// onPeerPressure records the pressure that a peer reports.
func (s *sharing) onPeerPressure(r message.Record) {
	var load message.Pressure
	if message.Decode(r.Body, &load) != nil {
		return
	}
	s.forwards.mu.Lock()
	defer s.forwards.mu.Unlock()
	s.forwards.decider.OnPressure(s.clock.now(), r.Owner, load.Total)
}

// answerPressure sends this sidecar's pressure to a peer.
func (s *sharing) answerPressure(peer string) {
	s.forwards.mu.Lock()
	load := s.forwards.gauge.Now()
	s.forwards.mu.Unlock()
	if err := s.gossip.SendTo(peer, message.LoadReport, load, loadTTL); err != nil {
		slog.Debug("not answered", "component", ofPeers, "peer", peer, "err", err)
	}
}

// updateForwardingPeers sets the peers to forward to, if they differ from before, and returns them. A sidecar that is fenced
// forwards to none.
func (s *sharing) updateForwardingPeers(before []message.Member) []message.Member {
	present := s.gossip.Members()
	if s.gossip.Fenced() {
		present = nil
	}
	if !slices.Equal(present, before) {
		s.forwards.setMembers(present, s.self.Name)
	}
	return present
}

// updatePressure adds a sample to the gauge, and asks peers for their pressure while this sidecar is under pressure.
func (s *sharing) updatePressure(sample message.Pressure) {
	s.forwards.mu.Lock()
	pressure := s.forwards.gauge.Add(s.clock.now(), sample)
	hot := s.forwards.gauge.Hot()
	s.forwards.mu.Unlock()
	s.leaderships.setPressure(pressure.Total)
	if hot {
		s.queryPressure()
	}
}

// sample measures the parts of the pressure, and sends the loop the heartbeat that the next sample reads. late is how late
// the caller's timer fired.
func (p *process) sample(late time.Duration) message.Pressure {
	heap := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(heap)
	delay := max(time.Duration(p.dispatcher.heartbeat.delay.Load()), late)
	select {
	case p.dispatcher.events <- heartbeat{time.Now()}:
	default: // the queue of the loop is full
		delay = pressureInterval
	}
	return message.Pressure{CPU: float64(delay) / float64(delay+halfDelay),
		Sockets:  float64(p.conns.count()+p.upstreams.count()) / float64(2*p.maxConns),
		Heap:     float64(heap[0].Value.Uint64()) / float64(debug.SetMemoryLimit(-1)),
		InFlight: math.Float64frombits(p.dispatcher.heartbeat.inFlight.Load()),
		Site:     math.Float64frombits(p.dispatcher.heartbeat.site.Load())}
}

// queryPressure asks some peers for their pressure. Pressure is not broadcast: among 300 sidecars that would cost more than
// it saves.
func (s *sharing) queryPressure() {
	s.forwards.mu.Lock()
	names := s.forwards.decider.PeersToQuery(pressureQueries)
	s.forwards.mu.Unlock()
	for _, name := range names {
		if err := s.gossip.SendTo(name, message.PressureRequest, nil, loadTTL); err != nil {
			slog.Debug("not asked", "component", ofPeers, "peer", name, "err", err)
		}
	}
}
