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
	pressureEvery = 100 * time.Millisecond
	askAtOnce     = 2 // peers, each pressureEvery, while this sidecar is hot
	loadTTL       = 10 * time.Second
	halfDelay     = 2 * time.Millisecond // of the loop, that counts as half a processor's use
)

// beat is an event that tells how long the loop takes to come to one.
type beat struct{ sent time.Time }

// pulse is what the loop says of itself at each beat.
type pulse struct {
	delay  atomic.Int64 // of the latest beat, in nanoseconds
	inHand atomic.Uint64
	site   atomic.Uint64
}

// answer takes a beat, on the loop.
func (p *pulse) answer(e beat, inHand, site float64) {
	p.delay.Store(int64(time.Since(e.sent)))
	p.inHand.Store(math.Float64bits(inHand))
	p.site.Store(math.Float64bits(site))
}

// pressure owns the gauge: samples in, the peers' pressures in, its own out.
func (s *sharing) pressure(ctx context.Context, p *process) {
	tick := time.NewTicker(pressureEvery)
	defer tick.Stop()
	heard := s.carrier.Heard(message.Load)
	asked := s.carrier.Heard(message.Ask)
	var due time.Time
	var before []message.Member
	for {
		select {
		case <-ctx.Done():
			return
		case <-heard.Wake():
			for r, ok := heard.Take(); ok; r, ok = heard.Take() {
				var load message.Pressure
				if message.Decode(r.Body, &load) == nil {
					s.forwards.mu.Lock()
					s.forwards.decide.Heard(s.clock.now(), r.Owner, load.Total)
					s.forwards.mu.Unlock()
				}
			}
		case <-asked.Wake():
			for r, ok := asked.Take(); ok; r, ok = asked.Take() {
				s.forwards.mu.Lock()
				load := s.forwards.gauge.Now()
				s.forwards.mu.Unlock()
				if err := s.carrier.Whisper(r.Owner, message.Load, load, loadTTL); err != nil {
					slog.Debug("not answered", "component", ofPeers, "peer", r.Owner, "err", err)
				}
			}
		case <-tick.C:
			now := time.Now()
			late := time.Duration(0) // a thread of its own that runs late tells of a processor that is short
			if !due.IsZero() {
				late = max(0, now.Sub(due))
			}
			due = now.Add(pressureEvery)
			present := s.carrier.Members()
			if s.carrier.Fenced() {
				present = nil
			}
			if !slices.Equal(present, before) {
				s.forwards.roster(present, s.self.Name)
				before = present
			}
			s.forwards.mu.Lock()
			pressed := s.forwards.gauge.Add(s.clock.now(), p.sample(late))
			hot := s.forwards.gauge.Hot()
			s.forwards.mu.Unlock()
			s.duties.press(pressed.Total)
			if hot {
				s.ask()
			}
		}
	}
}

// sample reads the parts of the pressure, and sends the loop the beat whose answer the next sample reads.
func (p *process) sample(late time.Duration) message.Pressure {
	heap := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(heap)
	delay := max(time.Duration(p.loop.pulse.delay.Load()), late)
	select {
	case p.loop.events <- beat{time.Now()}:
	default: // the loop is behind by all that it can hold
		delay = pressureEvery
	}
	return message.Pressure{CPU: float64(delay) / float64(delay+halfDelay),
		Sockets: float64(p.conns.count()+p.up.count()) / float64(2*p.most),
		Heap:    float64(heap[0].Value.Uint64()) / float64(debug.SetMemoryLimit(-1)),
		InHand:  math.Float64frombits(p.loop.pulse.inHand.Load()),
		Site:    math.Float64frombits(p.loop.pulse.site.Load())}
}

// ask asks some peers for their pressure. Nobody tells it unasked: 300 that all tell all would cost more than they save.
func (s *sharing) ask() {
	s.forwards.mu.Lock()
	names := s.forwards.decide.Ask(askAtOnce)
	s.forwards.mu.Unlock()
	for _, name := range names {
		if err := s.carrier.Whisper(name, message.Ask, nil, loadTTL); err != nil {
			slog.Debug("not asked", "component", ofPeers, "peer", name, "err", err)
		}
	}
}
