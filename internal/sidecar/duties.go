package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mosslead/internal/gossip/message"
	"mosslead/internal/lease"
	"mosslead/internal/registry/client"
)

// The duties in use.
func trialsOf(upstream string) string { return "trials/" + upstream }
func digestOf(site string) string     { return "digest/" + site }
func incidentOf(site string) string   { return "incident/" + site }

const (
	dutiesMost  = 128              // this sidecar is a candidate for so many at most; of others it holds none
	dutiesLook  = time.Second      // sites come and go, and fitness changes, no faster
	dutyIdle    = 10 * time.Minute // one that was not wanted for so long is forgotten, with how it failed
	ownSite     = 500              // fitness of one at the site that the duty is about
	notPressed  = 400              // and of one under no pressure
	fitnessStep = 50               // smaller differences are not told
)

// duties are those that this sidecar holds or waits for. A nil one holds none: whatever depends on a duty is then what each
// does alone. Safe for concurrent use; nothing of it waits.
type duties struct {
	service lease.Service
	end     func() // of the service's client
	holder  string
	site    string
	c       lease.Config // times; the names are each duty's own
	sites   func() []string
	siteOf  func(upstream string) string
	pressed atomic.Uint64 // pressure in thousandths

	ctx  context.Context
	stop context.CancelFunc
	runs sync.WaitGroup

	mu   sync.Mutex
	of   map[string]*heldDuty
	full int64 // wishes beyond dutiesMost
}

type heldDuty struct {
	*lease.Runner
	stop    context.CancelFunc
	on      bool
	fitness float64
	since   time.Time // that it is not wanted
}

// newDuties begins to ask the list service for duties. sites are those there are.
func newDuties(addresses string, self message.Member, sites func() []string) (*duties, error) {
	all, err := client.Addresses(addresses)
	if err != nil {
		return nil, fmt.Errorf("service: %w", err)
	}
	c := client.New(all)
	d := &duties{service: c, end: c.Close, site: self.Site, sites: sites, of: map[string]*heldDuty{},
		holder: fmt.Sprintf("%s/%d/%x", self.Name, self.Incarnation.StartedMs, self.Incarnation.ID)}
	d.ctx, d.stop = context.WithCancel(context.Background())
	return d, nil
}

// run keeps this sidecar a candidate for what every sidecar is one for, until ctx ends: the digest of its own site, and the
// incidents of each.
func (d *duties) run(ctx context.Context) {
	tick := time.NewTicker(dutiesLook)
	defer tick.Stop()
	incidents := map[string]bool{}
	for {
		d.want(digestOf(d.site), true, d.site)
		now := map[string]bool{}
		for _, site := range d.sites() {
			now[site] = true
			d.want(incidentOf(site), true, site)
		}
		for site := range incidents {
			if !now[site] {
				d.want(incidentOf(site), false, site)
			}
		}
		incidents = now
		d.forget(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// holds is asked at each act under a duty, directly before it: whether this sidecar holds it, and the epoch that the act has to
// carry. Whoever is acted upon refuses an epoch below the highest it has seen.
func (d *duties) holds(name string) (epoch uint64, ok bool) {
	if d == nil {
		return 0, false
	}
	d.mu.Lock()
	h := d.of[name]
	d.mu.Unlock()
	if h == nil {
		return 0, false
	}
	return h.Act(time.Now())
}

// wish is want for the trials of an upstream.
func (d *duties) wish(name string, wanted bool) {
	d.want(name, wanted, d.siteOf(strings.TrimPrefix(name, trialsOf(""))))
}

// want makes this sidecar a candidate for a duty that is about a site, or not one any more: what it holds it then gives up.
func (d *duties) want(name string, on bool, site string) {
	if d == nil {
		return
	}
	fitness := float64(notPressed) * (1 - min(1, float64(d.pressed.Load())/1000))
	if site == d.site {
		fitness += ownSite
	}
	fitness -= float64(int(fitness) % fitnessStep)
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.of[name]
	switch {
	case h == nil && !on:
		return
	case h == nil && len(d.of) >= dutiesMost:
		d.full++
		return
	case h == nil:
		h = d.begin(name)
	case h.on == on && h.fitness == fitness:
		return
	}
	if h.on && !on {
		h.since = time.Now()
	}
	h.on, h.fitness = on, fitness
	h.Want(on, fitness)
}

// begin starts the candidate for a duty. d.mu is held.
func (d *duties) begin(name string) *heldDuty {
	c := d.c
	c.Name, c.Holder = name, d.holder
	ctx, stop := context.WithCancel(d.ctx)
	h := &heldDuty{stop: stop, Runner: lease.NewRunner(d.service, c, func(a lease.Action) { saysOf(name, a) })}
	d.of[name] = h
	d.runs.Go(func() { h.Run(ctx) })
	return h
}

func saysOf(name string, a lease.Action) {
	switch a := a.(type) {
	case lease.Hold:
		if a.First {
			note(slog.LevelInfo, ofPeers, "duty taken", slog.String("duty", name), slog.Uint64("epoch", a.Epoch))
		}
	case lease.Lost:
		note(slog.LevelInfo, ofPeers, "duty lost", slog.String("duty", name), slog.Uint64("epoch", a.Epoch), slog.String("why", a.Why))
	}
}

// failed says that a duty does not get done here: this sidecar loses it for a while.
func (d *duties) failed(name string) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if h := d.of[name]; h != nil {
		h.Failed()
	}
}

// press tells of this sidecar's pressure, 0 to 1: one under less is fitter.
func (d *duties) press(pressure float64) {
	if d != nil {
		d.pressed.Store(uint64(1000 * min(max(pressure, 0), 1)))
	}
}

// forget ends candidates that were not wanted for long.
func (d *duties) forget(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, h := range d.of {
		if !h.on && now.Sub(h.since) > dutyIdle {
			h.stop()
			delete(d.of, name)
		}
	}
}

// yield gives all up and takes no more; it does not wait.
func (d *duties) yield() {
	if d != nil {
		d.stop()
	}
}

// close yields, and returns once the service was told or the leases are over.
func (d *duties) close() {
	if d == nil {
		return
	}
	d.stop()
	d.runs.Wait()
	d.end()
}

// lines are the duties for operators: those held, with their epochs, and those that are waited for.
func (d *duties) lines() string {
	if d == nil {
		return ""
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []string
	for name, h := range d.of {
		if epoch, ok := h.Act(now); ok {
			all = append(all, fmt.Sprintf("duty %s held %d\n", name, epoch))
		} else if h.on {
			all = append(all, fmt.Sprintf("duty %s waits\n", name))
		}
	}
	slices.Sort(all)
	return strings.Join(all, "") + fmt.Sprintf("duties_beyond %d\n", d.full)
}

// count is how many duties are held here, are waited for, and were wished for beyond the bound.
func (d *duties) count() (held, waits, beyond int64) {
	if d == nil {
		return 0, 0, 0
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range d.of {
		if _, ok := h.Act(now); ok {
			held++
		} else if h.on {
			waits++
		}
	}
	return held, waits, d.full
}
