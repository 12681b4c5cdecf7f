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

// event is a fault with the parties that it affects, which are drawn from the seed.
type event struct {
	Fault                  experiment.Fault
	Of, To                 []string
	sidecars               []*sidecar
	replicas               []*replica // the name "leader" is resolved when the fault begins
	upstreams, toUpstreams []*upstream
	toSidecars             []*sidecar // the sidecars in 'to'
}

// timeline draws the parties of the play's faults, and returns the faults in the order of their start.
func (p *play) timeline() []*event {
	var events []*event
	for i, f := range p.experiment.Faults {
		if p.variant.Calm || (len(p.variant.Only) > 0 && !slices.Contains(p.variant.Only, f.Name)) {
			continue
		}
		rng := rand.New(rand.NewPCG(p.seed, faultStream+uint64(i)))
		ev := &event{Fault: f}
		switch f.Of.Kind {
		case "replica":
			if ev.Of = f.Of.Names; p.service != nil {
				selection := f.Of
				if slices.Contains(selection.Names, "leader") {
					selection.Names = nil
				}
				ev.replicas = selectParties(p.service.replicas, selection, rng, func(r *replica) (string, string) { return r.name, "" })
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
			events = append(events, ev)
			continue
		}
		ev.toUpstreams = selectParties(p.upstreams, f.To, rng, func(u *upstream) (string, string) { return u.Name, u.entry.Zone })
		for _, u := range ev.toUpstreams {
			ev.To = append(ev.To, u.Name)
		}
		events = append(events, ev)
	}
	slices.SortStableFunc(events, func(a, b *event) int { return cmp.Compare(a.Fault.At.Duration, b.Fault.At.Duration) })
	return events
}

// selectParties returns the parties that match a selection's names and zone. If it has a count or a share, that count or
// share of them is drawn at random.
func selectParties[T any](parties []T, selection experiment.Parties, rng *rand.Rand, nameAndZone func(T) (name, zone string)) []T {
	var matching []T
	for _, party := range parties {
		name, zone := nameAndZone(party)
		if (len(selection.Names) == 0 || slices.Contains(selection.Names, name)) && (selection.Zone == "" || selection.Zone == zone) && (selection.Apart == "" || selection.Apart != zone) {
			matching = append(matching, party)
		}
	}
	n := len(matching)
	if selection.Count > 0 {
		n = min(n, selection.Count)
	} else if selection.Share > 0 {
		n = min(n, max(1, int(math.Round(selection.Share*float64(n)))))
	}
	if n == len(matching) {
		return matching
	}
	var drawn []T
	for _, i := range rng.Perm(len(matching))[:n] {
		drawn = append(drawn, matching[i])
	}
	return drawn
}

// hashOf returns a hash of the timeline: the same faults on the same parties have the same hash.
func hashOf(timeline []*event) string {
	text, err := json.Marshal(timeline)
	if err != nil {
		panic(err) // can't happen: an event encodes plain values only
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(text))
}

// runTimeline injects every fault at its time after begin. The group is done once all faults are undone: at their own
// end, or when the play ends.
func (p *play) runTimeline(timeline []*event, begin time.Duration) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, ev := range timeline {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if !p.sleep(begin + ev.Fault.At.Duration - p.rec.Now()) {
				return
			}
			from := p.rec.Now()
			p.log.Info("fault begins", "name", ev.Fault.Name, "kind", ev.Fault.Kind, "of", ev.Of)
			p.inject(ev)
			to := max(p.rec.Now(), from+ev.Fault.For.Duration)
			if ev.Fault.Stays {
				to = begin + p.experiment.Length.Duration
			}
			p.rec.Band(record.Band{Name: ev.Fault.Name, Of: ev.Of, From: from, To: to})
		}()
	}
	return &wg
}
