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

// probeLeadership returns the name of the leadership for probes of an upstream.
func probeLeadership(upstream string) string { return "trials/" + upstream }

// digestLeadership returns the name of the leadership for the digest of a site.
func digestLeadership(site string) string { return "digest/" + site }

// incidentLeadership returns the name of the leadership for the incidents of a site.
func incidentLeadership(site string) string { return "incident/" + site }

const (
	maxLeaderships    = 128              // maximum number of leaderships for which this sidecar is a candidate
	leadershipTick    = time.Second      // time between updates of the sites and of the fitness
	candidacyLifetime = 10 * time.Minute // an unwanted candidacy is dropped after this time, together with its back-off
	ownSiteFitness    = 500              // fitness of a candidate at the site that the leadership concerns
	idleFitness       = 400              // fitness of a candidate without pressure
	fitnessStep       = 50               // fitness is rounded down to a multiple of this
)

// leaderships holds and campaigns for leaderships. A nil *leaderships holds none: each sidecar then does on its own what a
// leader would do for all. It is safe for concurrent use; of its methods only run and close block.
type leaderships struct {
	service             lease.Service
	closeClient         func() // closes the client of service
	candidateName       string
	site                string
	config              lease.Config                 // configuration of each leadership, without its name and holder
	sites               func() []string              // returns the present sites
	siteOf              func(upstream string) string // returns the site of an upstream
	pressureThousandths atomic.Uint64                // this sidecar's pressure

	ctx     context.Context
	stop    context.CancelFunc
	runners sync.WaitGroup

	mu       sync.Mutex
	byName   map[string]*candidacy
	rejected int64 // number of candidacies rejected because there were already maxLeaderships
}

// candidacy is this sidecar's candidacy for one leadership.
type candidacy struct {
	*lease.Runner
	stop          context.CancelFunc
	wanted        bool
	fitness       float64
	unwantedSince time.Time // when it became unwanted, if it is not wanted
}

// newLeaderships returns the leaderships of a sidecar, which the list service at the addresses grants; sites returns the
// present sites.
func newLeaderships(addresses string, self message.Member, sites func() []string) (*leaderships, error) {
	all, err := client.Addresses(addresses)
	if err != nil {
		return nil, fmt.Errorf("service: %w", err)
	}
	c := client.New(all)
	l := &leaderships{service: c, closeClient: c.Close, site: self.Site, sites: sites, byName: map[string]*candidacy{},
		candidateName: fmt.Sprintf("%s/%d/%x", self.Name, self.Incarnation.StartedMs, self.Incarnation.ID)}
	l.ctx, l.stop = context.WithCancel(context.Background())
	return l, nil
}

// run keeps this sidecar a candidate, until ctx ends, for the leaderships that every sidecar campaigns for: those for the
// digest of its own site and for the incidents of each site.
func (l *leaderships) run(ctx context.Context) {
	tick := time.NewTicker(leadershipTick)
	defer tick.Stop()
	incidents := map[string]bool{}
	for {
		l.setWanted(digestLeadership(l.site), true, l.site)
		present := map[string]bool{}
		for _, site := range l.sites() {
			present[site] = true
			l.setWanted(incidentLeadership(site), true, site)
		}
		for site := range incidents {
			if !present[site] {
				l.setWanted(incidentLeadership(site), false, site)
			}
		}
		incidents = present
		l.dropUnwanted(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// holds reports whether this sidecar is the leader, and returns the epoch that each message of the leader must carry. It is
// called directly before each action as the leader; receivers reject an epoch below the highest they have seen.
func (l *leaderships) holds(name string) (epoch uint64, ok bool) {
	if l == nil {
		return 0, false
	}
	l.mu.Lock()
	c := l.byName[name]
	l.mu.Unlock()
	if c == nil {
		return 0, false
	}
	return c.Holds(time.Now())
}

// campaign starts or stops campaigning for the probe leadership of an upstream.
func (l *leaderships) campaign(name string, wanted bool) {
	l.setWanted(name, wanted, l.siteOf(strings.TrimPrefix(name, probeLeadership(""))))
}

// setWanted starts or stops campaigning for a leadership that concerns a site. A leadership that is no longer wanted is
// released.
func (l *leaderships) setWanted(name string, wanted bool, site string) {
	if l == nil {
		return
	}
	fitness := float64(idleFitness) * (1 - min(1, float64(l.pressureThousandths.Load())/1000))
	if site == l.site {
		fitness += ownSiteFitness
	}
	fitness -= float64(int(fitness) % fitnessStep)
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.byName[name]
	switch {
	case c == nil && !wanted:
		return
	case c == nil && len(l.byName) >= maxLeaderships:
		l.rejected++
		return
	case c == nil:
		c = l.startCandidacy(name)
	case c.wanted == wanted && c.fitness == fitness:
		return
	}
	if c.wanted && !wanted {
		c.unwantedSince = time.Now()
	}
	c.wanted, c.fitness = wanted, fitness
	c.Campaign(wanted, fitness)
}

// startCandidacy starts a candidacy. The caller holds l.mu.
func (l *leaderships) startCandidacy(name string) *candidacy {
	cfg := l.config
	cfg.Name, cfg.Holder = name, l.candidateName
	ctx, stop := context.WithCancel(l.ctx)
	c := &candidacy{stop: stop, Runner: lease.NewRunner(l.service, cfg, func(a lease.Action) { logLeadership(name, a) })}
	l.byName[name] = c
	l.runners.Go(func() { c.Run(ctx) })
	return c
}

// logLeadership logs that a leadership was acquired or has expired.
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

// setPressure sets this sidecar's pressure, 0 to 1. The lower the pressure, the higher the fitness.
func (l *leaderships) setPressure(pressure float64) {
	if l != nil {
		l.pressureThousandths.Store(uint64(1000 * min(max(pressure, 0), 1)))
	}
}

// dropUnwanted drops candidacies that have been unwanted for candidacyLifetime.
func (l *leaderships) dropUnwanted(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, c := range l.byName {
		if !c.wanted && now.Sub(c.unwantedSince) > candidacyLifetime {
			c.stop()
			delete(l.byName, name)
		}
	}
}

// releaseAll starts the release of all leaderships and the end of all candidacies, and does not wait for them.
func (l *leaderships) releaseAll() {
	if l != nil {
		l.stop()
	}
}

// close releases all leaderships, and blocks until the service has confirmed that or the leases have expired.
func (l *leaderships) close() {
	if l == nil {
		return
	}
	l.stop()
	l.runners.Wait()
	l.closeClient()
}

// describe returns the lines of PEERS about leaderships: the acquired ones, with their epochs, and those campaigned for.
func (l *leaderships) describe() string {
	if l == nil {
		return ""
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var lines []string
	for name, c := range l.byName {
		if epoch, ok := c.Holds(now); ok {
			lines = append(lines, fmt.Sprintf("duty %s held %d\n", name, epoch))
		} else if c.wanted {
			lines = append(lines, fmt.Sprintf("duty %s waits\n", name))
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, "") + fmt.Sprintf("duties_beyond %d\n", l.rejected)
}

// count returns how many leaderships this sidecar has, for how many others it campaigns, and how many candidacies were
// rejected.
func (l *leaderships) count() (leading, campaigning, rejected int64) {
	if l == nil {
		return 0, 0, 0
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.byName {
		if _, ok := c.Holds(now); ok {
			leading++
		} else if c.wanted {
			campaigning++
		}
	}
	return leading, campaigning, l.rejected
}
