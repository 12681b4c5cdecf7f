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
	pressureInterval = 100 * time.Millisecond // time between samples
	pressureQueries  = 2                      // peers queried per pressureInterval while this sidecar is under pressure
	loadTTL          = 10 * time.Second       // lifetime of pressure messages
	halfDelay        = 2 * time.Millisecond   // delay of the dispatcher's loop that counts as a CPU pressure of 0.5
)

// heartbeat is an event that measures the delay of the dispatcher's loop; sent is when it was queued.
type heartbeat struct{ sent time.Time }

// loopStatus is the state of the dispatcher's loop at its latest heartbeat. It is safe for concurrent use.
type loopStatus struct {
	delay    atomic.Int64  // delay of the latest heartbeat in nanoseconds
	inFlight atomic.Uint64 // InFlight of message.Pressure, as the bits of a float64
	site     atomic.Uint64 // Site of message.Pressure, as the bits of a float64
}

// record stores the state at a heartbeat; the loop calls it.
func (s *loopStatus) record(h heartbeat, inFlight, site float64) {
	s.delay.Store(int64(time.Since(h.sent)))
	s.inFlight.Store(math.Float64bits(inFlight))
	s.site.Store(math.Float64bits(site))
}

// runPressure samples this sidecar's pressure for the gauge, and handles the pressures that peers report and request, until
// ctx ends.
func (s *sharing) runPressure(ctx context.Context, p *process) {
	tick := time.NewTicker(pressureInterval)
	defer tick.Stop()
	reports := s.gossip.Inbox(message.LoadReport)
	requests := s.gossip.Inbox(message.PressureRequest)
	var due time.Time
	var known []message.Member
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
			delay := time.Duration(0) // how late the tick is, which shows whether the process lacks CPU time
			if !due.IsZero() {
				delay = max(0, now.Sub(due))
			}
			due = now.Add(pressureInterval)
			known = s.updateForwardingPeers(known)
			s.updatePressure(p.sample(delay))
		}
	}
}

// onPeerPressure records the pressure that a peer reports.
func (s *sharing) onPeerPressure(r message.Record) {
	var load message.Pressure
	if message.Decode(r.Body, &load) != nil {
		return
	}
	s.forwarder.mu.Lock()
	defer s.forwarder.mu.Unlock()
	s.forwarder.decider.OnPressure(s.clock.now(), r.Owner, load.Total)
}

// answerPressure sends this sidecar's pressure to a peer.
func (s *sharing) answerPressure(peer string) {
	s.forwarder.mu.Lock()
	load := s.forwarder.gauge.Now()
	s.forwarder.mu.Unlock()
	if err := s.gossip.SendTo(peer, message.LoadReport, load, loadTTL); err != nil {
		slog.Debug("not answered", "component", componentPeers, "peer", peer, "err", err)
	}
}

// updateForwardingPeers sets the peers to forward to, if they differ from those known so far, and returns them. A fenced
// sidecar forwards to none.
func (s *sharing) updateForwardingPeers(known []message.Member) []message.Member {
	present := s.gossip.Members()
	if s.gossip.Fenced() {
		present = nil
	}
	if !slices.Equal(present, known) {
		s.forwarder.setMembers(present, s.self.Name)
	}
	return present
}

// updatePressure adds a sample to the gauge, and queries the pressure of peers while this sidecar is under pressure.
func (s *sharing) updatePressure(sample message.Pressure) {
	s.forwarder.mu.Lock()
	pressure := s.forwarder.gauge.Add(s.clock.now(), sample)
	hot := s.forwarder.gauge.Hot()
	s.forwarder.mu.Unlock()
	s.leaderships.setPressure(pressure.Total)
	if hot {
		s.queryPressure()
	}
}

// sample measures the parts of the pressure, and sends the dispatcher's loop a heartbeat, whose delay the next sample reads.
// timerDelay is how late the caller's timer fired.
func (p *process) sample(timerDelay time.Duration) message.Pressure {
	heap := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(heap)
	delay := max(time.Duration(p.dispatcher.heartbeat.delay.Load()), timerDelay)
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

// queryPressure requests the pressure of up to pressureQueries peers. Pressure is not broadcast: among 300 sidecars that
// would cost more than it saves.
func (s *sharing) queryPressure() {
	s.forwarder.mu.Lock()
	names := s.forwarder.decider.PeersToQuery(pressureQueries)
	s.forwarder.mu.Unlock()
	for _, name := range names {
		if err := s.gossip.SendTo(name, message.PressureRequest, nil, loadTTL); err != nil {
			slog.Debug("pressure request not sent", "component", componentPeers, "peer", name, "err", err)
		}
	}
}
