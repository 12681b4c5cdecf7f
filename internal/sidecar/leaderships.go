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

// The leaderships in use.
func probesOf(upstream string) string { return "trials/" + upstream }
func digestOf(site string) string     { return "digest/" + site }
func incidentOf(site string) string   { return "incident/" + site }

const (
	maxLeaderships    = 128              // this sidecar is a candidate for so many at most; of others it holds none
	leadershipTick    = time.Second      // sites come and go, and fitness changes, no faster
	candidacyLifetime = 10 * time.Minute // one that was not wanted for so long is forgotten, with how it failed
	ownSiteFitness    = 500              // fitness of one at the site that the leadership is about
	idleFitness       = 400              // and of one under no pressure
	fitnessStep       = 50               // smaller differences are not told
)

// leaderships are those that this sidecar holds or campaigns for. A nil one holds none: whatever depends on a
// leadership is then done by each sidecar alone. Safe for concurrent use; nothing of it blocks.
type leaderships struct {
	service       lease.Service
	closeClient   func() // of the service's client
	candidateName string
	site          string
	config        lease.Config // times; the names are each leadership's own
	sites         func() []string
	siteOf        func(upstream string) string
	pressed       atomic.Uint64 // pressure in thousandths

	ctx  context.Context
	stop context.CancelFunc
	runs sync.WaitGroup

	mu       sync.Mutex
	byName   map[string]*candidacy
	rejected int64 // wishes beyond maxLeaderships
}

// candidacy is this sidecar's part in one election.
type candidacy struct {
	*lease.Runner
	stop          context.CancelFunc
	wanted        bool
	fitness       float64
	unwantedSince time.Time // that it is not wanted
}

// newLeaderships begins to ask the list service for leaderships. sites are those there are.
func newLeaderships(addresses string, self message.Member, sites func() []string) (*leaderships, error) {
	all, err := client.Addresses(addresses)
	if err != nil {
		return nil, fmt.Errorf("service: %w", err)
	}
	c := client.New(all)
	d := &leaderships{service: c, closeClient: c.Close, site: self.Site, sites: sites, byName: map[string]*candidacy{},
		candidateName: fmt.Sprintf("%s/%d/%x", self.Name, self.Incarnation.StartedMs, self.Incarnation.ID)}
	d.ctx, d.stop = context.WithCancel(context.Background())
	return d, nil
}

// run keeps this sidecar a candidate for what every sidecar is one for, until ctx ends: the digest of its own site, and the
// incidents of each.
func (d *leaderships) run(ctx context.Context) {
	tick := time.NewTicker(leadershipTick)
	defer tick.Stop()
	incidents := map[string]bool{}
	for {
		d.setWanted(digestOf(d.site), true, d.site)
		now := map[string]bool{}
		for _, site := range d.sites() {
			now[site] = true
			d.setWanted(incidentOf(site), true, site)
		}
		for site := range incidents {
			if !now[site] {
				d.setWanted(incidentOf(site), false, site)
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

// holds is asked at each act under a leadership, directly before it: whether this sidecar holds it, and the epoch that the act has to
// carry. Whoever is acted upon refuses an epoch below the highest it has seen.
func (d *leaderships) holds(name string) (epoch uint64, ok bool) {
	if d == nil {
		return 0, false
	}
	d.mu.Lock()
	h := d.byName[name]
	d.mu.Unlock()
	if h == nil {
		return 0, false
	}
	return h.Holds(time.Now())
}

// campaign is want for the probes of an upstream.
func (d *leaderships) campaign(name string, wanted bool) {
	d.setWanted(name, wanted, d.siteOf(strings.TrimPrefix(name, probesOf(""))))
}

// setWanted makes this sidecar a candidate for a leadership that is about a site, or not one any more: what it holds it then gives up.
func (d *leaderships) setWanted(name string, on bool, site string) {
	if d == nil {
		return
	}
	fitness := float64(idleFitness) * (1 - min(1, float64(d.pressed.Load())/1000))
	if site == d.site {
		fitness += ownSiteFitness
	}
	fitness -= float64(int(fitness) % fitnessStep)
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.byName[name]
	switch {
	case h == nil && !on:
		return
	case h == nil && len(d.byName) >= maxLeaderships:
		d.rejected++
		return
	case h == nil:
		h = d.begin(name)
	case h.wanted == on && h.fitness == fitness:
		return
	}
	if h.wanted && !on {
		h.unwantedSince = time.Now()
	}
	h.wanted, h.fitness = on, fitness
	h.Campaign(on, fitness)
}

// begin starts the candidate for a leadership. d.mu is held.
func (d *leaderships) begin(name string) *candidacy {
	c := d.config
	c.Name, c.Holder = name, d.candidateName
	ctx, stop := context.WithCancel(d.ctx)
	h := &candidacy{stop: stop, Runner: lease.NewRunner(d.service, c, func(a lease.Action) { logLeadership(name, a) })}
	d.byName[name] = h
	d.runs.Go(func() { h.Run(ctx) })
	return h
}

func logLeadership(name string, a lease.Action) {
	switch a := a.(type) {
	case lease.Acquired:
		if a.New {
			logAttrs(slog.LevelInfo, ofPeers, "leadership acquired", slog.String("leadership", name), slog.Uint64("epoch", a.Epoch))
		}
	case lease.Expired:
		logAttrs(slog.LevelInfo, ofPeers, "leadership lost", slog.String("leadership", name), slog.Uint64("epoch", a.Epoch), slog.String("reason", a.Reason))
	}
}

// setPressure tells of this sidecar's pressure, 0 to 1: one under less is fitter.
func (d *leaderships) setPressure(pressure float64) {
	if d != nil {
		d.pressed.Store(uint64(1000 * min(max(pressure, 0), 1)))
	}
}

// forget ends candidates that were not wanted for long.
func (d *leaderships) forget(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, h := range d.byName {
		if !h.wanted && now.Sub(h.unwantedSince) > candidacyLifetime {
			h.stop()
			delete(d.byName, name)
		}
	}
}

// yield gives all up and takes no more; it does not wait.
func (d *leaderships) yield() {
	if d != nil {
		d.stop()
	}
}

// close yields, and returns once the service was told or the leases are over.
func (d *leaderships) close() {
	if d == nil {
		return
	}
	d.stop()
	d.runs.Wait()
	d.closeClient()
}

// lines are the leaderships for operators: those held, with their epochs, and those that are waited for.
func (d *leaderships) lines() string {
	if d == nil {
		return ""
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []string
	for name, h := range d.byName {
		if epoch, ok := h.Holds(now); ok {
			all = append(all, fmt.Sprintf("duty %s held %d\n", name, epoch))
		} else if h.wanted {
			all = append(all, fmt.Sprintf("duty %s waits\n", name))
		}
	}
	slices.Sort(all)
	return strings.Join(all, "") + fmt.Sprintf("duties_beyond %d\n", d.rejected)
}

// count is how many leaderships are held here, are waited for, and were wished for beyond the bound.
func (d *leaderships) count() (leading, waits, beyond int64) {
	if d == nil {
		return 0, 0, 0
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, h := range d.byName {
		if _, ok := h.Holds(now); ok {
			leading++
		} else if h.wanted {
			waits++
		}
	}
	return leading, waits, d.rejected
}
