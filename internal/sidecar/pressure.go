package sidecar

import (
	"context"
	"log/slog"
	"math"
	"runtime/debug"
	"runtime/metrics"
	"sync/atomic"
	"time"

	"mosslead/internal/peer/api"
)

const (
	pressureEvery = 100 * time.Millisecond
	tellStep      = 0.1                    // a change of the pressure that is told at once, and
	tellEvery     = 2 * time.Second        // else this often: peers take older news for worse
	tellLeast     = 300 * time.Millisecond // between two
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
	heard := s.carrier.Heard(api.Load)
	heap := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	var told float64
	var toldAt, due time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-heard.Wake():
			for r, ok := heard.Take(); ok; r, ok = heard.Take() {
				var load api.Pressure
				if api.Decode(r.Body, &load) == nil {
					s.forwards.mu.Lock()
					s.forwards.decide.Heard(s.clock.now(), r.Owner, load.Total)
					s.forwards.mu.Unlock()
				}
			}
		case <-tick.C:
			now := time.Now()
			late := max(0, now.Sub(due)) // a thread of its own that runs late tells of a processor that is short
			if due.IsZero() {
				late = 0
			}
			due = now.Add(pressureEvery)
			if s.carrier.Fenced() {
				s.forwards.roster(nil, s.self.Name)
			} else {
				s.forwards.roster(s.carrier.Members(), s.self.Name)
			}
			metrics.Read(heap)
			delay := max(time.Duration(p.loop.pulse.delay.Load()), late)
			select {
			case p.loop.events <- beat{now}:
			default: // the loop is behind by all that it can hold
				delay = pressureEvery
			}
			sample := api.Pressure{CPU: float64(delay) / float64(delay+halfDelay),
				Sockets: float64(p.conns.count()+p.up.count()) / float64(2*p.most),
				Heap:    float64(heap[0].Value.Uint64()) / float64(debug.SetMemoryLimit(-1)),
				InHand:  math.Float64frombits(p.loop.pulse.inHand.Load()),
				Site:    math.Float64frombits(p.loop.pulse.site.Load())}
			s.forwards.mu.Lock()
			total := s.forwards.gauge.Add(s.clock.now(), sample)
			s.forwards.mu.Unlock()
			since := now.Sub(toldAt)
			if since < tellLeast || since < tellEvery && math.Abs(total.Total-told) < tellStep {
				continue
			}
			told, toldAt = total.Total, now
			if err := s.carrier.Say(api.Load, "", total, loadTTL, false); err != nil && !s.carrier.Fenced() {
				note(slog.LevelWarn, ofPeers, "the pressure was not said", slog.Any("err", err))
			}
		}
	}
}
