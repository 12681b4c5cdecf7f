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

// Names of the leaderships in use.
func probeLeadership(upstream string) string { return "trials/" + upstream }
func digestLeadership(site string) string    { return "digest/" + site }
func incidentLeadership(site string) string  { return "incident/" + site }

const (
	maxLeaderships    = 128              // for which this sidecar is a candidate at most
	leadershipTick    = time.Second      // between updates of the sites and of the fitness
	candidacyLifetime = 10 * time.Minute // after which an unwanted candidacy is dropped, with its back-off
	ownSiteFitness    = 500              // fitness of a candidate at the site that the leadership is about
	idleFitness       = 400              // fitness of a candidate without pressure
	fitnessStep       = 50               // to which fitness is rounded down
)

// leaderships holds and campaigns for leaderships. A nil one holds none: what depends on a leadership is then done by each
// sidecar alone. Safe for concurrent use; of its methods only run and close block.
type leaderships struct {
	service             lease.Service
	closeClient         func() // of the service's client
	candidateName       string
	site                string
	config              lease.Config // of each leadership, but for its name and holder
	sites               func() []string
	siteOf              func(upstream string) string
	pressureThousandths atomic.Uint64 // pressure in thousandths

	ctx     context.Context
	stop    context.CancelFunc
	runners sync.WaitGroup

	mu       sync.Mutex
	byName   map[string]*candidacy
	rejected int64 // candidacies beyond maxLeaderships
}

// candidacy is this sidecar's part in one election.
type candidacy struct {
	*lease.Runner
	stop          context.CancelFunc
	wanted        bool
	fitness       float64
	unwantedSince time.Time
}

// newLeaderships returns the leaderships of a sidecar at the list service; sites returns the present sites.
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

// run keeps this sidecar a candidate for the leaderships that all sidecars campaign for, until ctx ends: the digest of its
// own site, and the incidents of each site.
func (d *leaderships) run(ctx context.Context) {
	tick := time.NewTicker(leadershipTick)
	defer tick.Stop()
	incidents := map[string]bool{}
	for {
		d.setWanted(digestLeadership(d.site), true, d.site)
		now := map[string]bool{}
		for _, site := range d.sites() {
			now[site] = true
			d.setWanted(incidentLeadership(site), true, site)
		}
		for site := range incidents {
			if !now[site] {
				d.setWanted(incidentLeadership(site), false, site)
			}
		}
		incidents = now
		d.dropUnwanted(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// holds reports whether this sidecar is the leader, and the epoch that an act of the leader must carry. It is called directly
// before each act; receivers reject an epoch below the highest they have seen.
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

// campaign is setWanted for the probes of an upstream.
func (d *leaderships) campaign(name string, wanted bool) {
	d.setWanted(name, wanted, d.siteOf(strings.TrimPrefix(name, probeLeadership(""))))
}

// setWanted starts or stops campaigning for a leadership that is about a site. A leadership that is held and no longer
// wanted is released.
func (d *leaderships) setWanted(name string, wanted bool, site string) {
	if d == nil {
		return
	}
	fitness := float64(idleFitness) * (1 - min(1, float64(d.pressureThousandths.Load())/1000))
	if site == d.site {
		fitness += ownSiteFitness
	}
	fitness -= float64(int(fitness) % fitnessStep)
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.byName[name]
	switch {
	case h == nil && !wanted:
		return
	case h == nil && len(d.byName) >= maxLeaderships:
		d.rejected++
		return
	case h == nil:
		h = d.startCandidacy(name)
	case h.wanted == wanted && h.fitness == fitness:
		return
	}
	if h.wanted && !wanted {
		h.unwantedSince = time.Now()
	}
	h.wanted, h.fitness = wanted, fitness
	h.Campaign(wanted, fitness)
}

// startCandidacy starts a candidacy, with d.mu held.
func (d *leaderships) startCandidacy(name string) *candidacy {
	c := d.config
	c.Name, c.Holder = name, d.candidateName
	ctx, stop := context.WithCancel(d.ctx)
	h := &candidacy{stop: stop, Runner: lease.NewRunner(d.service, c, func(a lease.Action) { logLeadership(name, a) })}
	d.byName[name] = h
	d.runners.Go(func() { h.Run(ctx) })
	return h
}

// logLeadership logs that a leadership was acquired or lost.
func logLeadership(name string, a lease.Action) {
	switch a := a.(type) {
	case lease.Acquired:
		if a.New {
			logAttrs(slog.LevelInfo, componentPeers, "leadership acquired", slog.String("leadership", name), slog.Uint64("epoch", a.Epoch))
		}
	case lease.Expired:
		logAttrs(slog.LevelInfo, componentPeers, "leadership lost", slog.String("leadership", name), slog.Uint64("epoch", a.Epoch), slog.String("reason", a.Reason))
	}
}

// setPressure sets this sidecar's pressure, 0 to 1; less pressure is more fitness.
func (d *leaderships) setPressure(pressure float64) {
	if d != nil {
		d.pressureThousandths.Store(uint64(1000 * min(max(pressure, 0), 1)))
	}
}

// dropUnwanted drops candidacies that have been unwanted for candidacyLifetime.
func (d *leaderships) dropUnwanted(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, h := range d.byName {
		if !h.wanted && now.Sub(h.unwantedSince) > candidacyLifetime {
			h.stop()
			delete(d.byName, name)
		}
	}
}

// releaseAll releases all leaderships and ends all candidacies. It does not wait for that.
func (d *leaderships) releaseAll() {
	if d != nil {
		d.stop()
	}
}

// close is yield, and returns once the service has been told or the leases have expired.
func (d *leaderships) close() {
	if d == nil {
		return
	}
	d.stop()
	d.runners.Wait()
	d.closeClient()
}

// describe returns the leaderships for operators: those held, with their epochs, and those campaigned for.
func (d *leaderships) describe() string {
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

// count returns how many leaderships are held, how many are campaigned for, and how many candidacies were rejected.
func (d *leaderships) count() (leading, campaigning, rejected int64) {
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
			campaigning++
		}
	}
	return leading, campaigning, d.rejected
}
