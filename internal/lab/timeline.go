package lab

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mosslead/internal/lab/experiment"
	"mosslead/internal/lab/record"
)

// event is a fault with the parties that it befalls, drawn from the seed.
type event struct {
	Fault                  experiment.Fault
	Of, To                 []string
	sidecars               []*sidecar
	replicas               []*replica // who of them leads is found out when the fault begins
	upstreams, toUpstreams []*upstream
	toSidecars             []*sidecar // in 'to'
}

// timeline draws the faults of the play, in the order of their begin.
func (p *play) timeline() []*event {
	var all []*event
	for i, f := range p.experiment.Faults {
		if p.variant.Calm || (len(p.variant.Only) > 0 && !slices.Contains(p.variant.Only, f.Name)) {
			continue
		}
		rng := rand.New(rand.NewPCG(p.seed, faultStream+uint64(i)))
		ev := &event{Fault: f}
		switch f.Of.Kind {
		case "replica":
			if ev.Of = f.Of.Names; p.service != nil {
				by := f.Of
				if slices.Contains(by.Names, "leader") {
					by.Names = nil
				}
				ev.replicas = selectParties(p.service.replicas, by, rng, func(r *replica) (string, string) { return r.name, "" })
			}
		case "upstream":
			ev.upstreams = selectParties(p.upstreams, f.Of, rng, func(u *upstream) (string, string) { return u.Name, u.entry.Zone })
			for _, u := range ev.upstreams {
				ev.Of = append(ev.Of, u.Name)
			}
		default: // a sidecar, or its discovery
			ev.sidecars = selectParties(p.sidecars, f.Of, rng, func(s *sidecar) (string, string) { return s.name, s.zone })
			for _, s := range ev.sidecars {
				ev.Of = append(ev.Of, s.name)
			}
		}
		if f.To.Kind == "sidecar" {
			ev.toSidecars = selectParties(p.sidecars, f.To, rng, func(s *sidecar) (string, string) { return s.name, s.zone })
			for _, s := range ev.toSidecars {
				ev.To = append(ev.To, s.name)
			}
			all = append(all, ev)
			continue
		}
		ev.toUpstreams = selectParties(p.upstreams, f.To, rng, func(u *upstream) (string, string) { return u.Name, u.entry.Zone })
		for _, u := range ev.toUpstreams {
			ev.To = append(ev.To, u.Name)
		}
		all = append(all, ev)
	}
	slices.SortStableFunc(all, func(a, b *event) int { return cmp.Compare(a.Fault.At.Duration, b.Fault.At.Duration) })
	return all
}

// selectParties picks the parties that a selection names: all of its names and zone, or so many of them, drawn.
func selectParties[T any](from []T, by experiment.Parties, rng *rand.Rand, is func(T) (name, zone string)) []T {
	var fit []T
	for _, x := range from {
		name, zone := is(x)
		if (len(by.Names) == 0 || slices.Contains(by.Names, name)) && (by.Zone == "" || by.Zone == zone) && (by.Apart == "" || by.Apart != zone) {
			fit = append(fit, x)
		}
	}
	n := len(fit)
	if by.Count > 0 {
		n = min(n, by.Count)
	} else if by.Share > 0 {
		n = min(n, max(1, int(math.Round(by.Share*float64(n)))))
	}
	if n == len(fit) {
		return fit
	}
	var drawn []T
	for _, i := range rng.Perm(len(fit))[:n] {
		drawn = append(drawn, fit[i])
	}
	return drawn
}

// hashOf tells timelines apart: the same faults upon the same parties have the same hash.
func hashOf(timeline []*event) string {
	text, err := json.Marshal(timeline)
	if err != nil {
		panic(err) // plain values only: a mistake here
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(text))
}

// runTimeline lets every fault happen at its time after begin. The group is done once all are undone: at their end, or when
// the play ends.
func (p *play) runTimeline(timeline []*event, begin time.Duration) *sync.WaitGroup {
	var all sync.WaitGroup
	for _, ev := range timeline {
		all.Add(1)
		go func() {
			defer all.Done()
			if !p.sleep(begin + ev.Fault.At.Duration - p.rec.Now()) {
				return
			}
			from := p.rec.Now()
			p.log.Info("fault", "name", ev.Fault.Name, "kind", ev.Fault.Kind, "of", ev.Of)
			p.inject(ev)
			to := max(p.rec.Now(), from+ev.Fault.For.Duration)
			if ev.Fault.Stays {
				to = begin + p.experiment.Length.Duration
			}
			p.rec.Band(record.Band{Name: ev.Fault.Name, Of: ev.Of, From: from, To: to})
		}()
	}
	return &all
}
