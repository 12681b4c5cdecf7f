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
	pressureQueries  = 2 // peers, each pressureInterval, while this sidecar is hot
	loadTTL          = 10 * time.Second
	halfDelay        = 2 * time.Millisecond // of the loop, that counts as half a processor's use
)

// heartbeat is an event that tells how long the loop takes to come to one.
type heartbeat struct{ sent time.Time }

// loopPulse is what the loop says of itself at each beat.
type loopPulse struct {
	delay    atomic.Int64 // of the latest beat, in nanoseconds
	inFlight atomic.Uint64
	site     atomic.Uint64
}

// answer takes a beat, on the loop.
func (p *loopPulse) answer(e heartbeat, inHand, site float64) {
	p.delay.Store(int64(time.Since(e.sent)))
	p.inFlight.Store(math.Float64bits(inHand))
	p.site.Store(math.Float64bits(site))
}

// pressure owns the gauge: samples in, the peers' pressures in, its own out.
func (s *sharing) pressure(ctx context.Context, p *process) {
	tick := time.NewTicker(pressureInterval)
	defer tick.Stop()
	inbox := s.gossip.Inbox(message.LoadReport)
	queries := s.gossip.Inbox(message.PressureRequest)
	var due time.Time
	var before []message.Member
	for {
		select {
		case <-ctx.Done():
			return
		case <-inbox.Ready():
			for r, ok := inbox.Pop(); ok; r, ok = inbox.Pop() {
				var load message.Pressure
				if message.Decode(r.Body, &load) == nil {
					s.forwards.mu.Lock()
					s.forwards.decider.OnPressure(s.clock.now(), r.Owner, load.Total)
					s.forwards.mu.Unlock()
				}
			}
		case <-queries.Ready():
			for r, ok := queries.Pop(); ok; r, ok = queries.Pop() {
				s.forwards.mu.Lock()
				load := s.forwards.gauge.Now()
				s.forwards.mu.Unlock()
				if err := s.gossip.SendTo(r.Owner, message.LoadReport, load, loadTTL); err != nil {
					slog.Debug("not answered", "component", ofPeers, "peer", r.Owner, "err", err)
				}
			}
		case <-tick.C:
			now := time.Now()
			late := time.Duration(0) // a thread of its own that runs late tells of a processor that is short
			if !due.IsZero() {
				late = max(0, now.Sub(due))
			}
			due = now.Add(pressureInterval)
			present := s.gossip.Members()
			if s.gossip.Fenced() {
				present = nil
			}
			if !slices.Equal(present, before) {
				s.forwards.setMembers(present, s.self.Name)
				before = present
			}
			s.forwards.mu.Lock()
			pressed := s.forwards.gauge.Add(s.clock.now(), p.sample(late))
			hot := s.forwards.gauge.Hot()
			s.forwards.mu.Unlock()
			s.leaderships.setPressure(pressed.Total)
			if hot {
				s.queryPressure()
			}
		}
	}
}

// sample reads the parts of the pressure, and sends the loop the beat whose answer the next sample reads.
func (p *process) sample(late time.Duration) message.Pressure {
	heap := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(heap)
	delay := max(time.Duration(p.loop.heartbeat.delay.Load()), late)
	select {
	case p.loop.events <- heartbeat{time.Now()}:
	default: // the loop is behind by all that it can hold
		delay = pressureInterval
	}
	return message.Pressure{CPU: float64(delay) / float64(delay+halfDelay),
		Sockets:  float64(p.conns.count()+p.upstreams.count()) / float64(2*p.maxConns),
		Heap:     float64(heap[0].Value.Uint64()) / float64(debug.SetMemoryLimit(-1)),
		InFlight: math.Float64frombits(p.loop.heartbeat.inFlight.Load()),
		Site:     math.Float64frombits(p.loop.heartbeat.site.Load())}
}

// queryPressure asks some peers for their pressure. Nobody tells it unasked: 300 that all tell all would cost more than they save.
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
