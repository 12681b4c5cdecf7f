// Package lab plays experiments. It owns the parties of one play, its timeline and its end; packages below this one
// implement the parties.
package lab

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"syscall"
	"time"

	"mosslead/internal/lab/experiment"
	"mosslead/internal/lab/fake"
	"mosslead/internal/lab/load"
	"mosslead/internal/lab/record"
	"mosslead/internal/lab/relay"
)

const (
	sampleEvery        = 200 * time.Millisecond
	loadDelay          = 100 * time.Millisecond // from the time at which all parties are ready
	maxClientConns     = 10_000                 // of all sidecars together
	ownDescriptors     = 256                    // descriptors of the laboratory itself
	descriptorsPerLink = 3                      // for one connection over a link: in, out, and the upstream's
)

// Outcome is the result of a play that has ended.
type Outcome struct {
	Record     *record.Record
	Begin      time.Duration // of the load, in the record's time
	Plan       load.Plan
	Lags       []time.Duration // how late each arrival's first try began
	PlanHash   string
	FaultsHash string
	Littles    [2]float64 // both sides of Little's law, summed over all upstreams
	Notes      []string   // errors of the laboratory itself, for example a fault that could not be carried out
}

// play is a play in progress.
type play struct {
	ctx        context.Context
	experiment *experiment.Experiment
	variant    experiment.Variant
	seed       uint64
	dir        string
	programs   Programs
	rec        *record.Record
	addrs      *addresses
	log        *slog.Logger

	discovery *fake.Discovery
	service   *service    // nil if the sidecars use the stand-in for discovery
	mesh      *relay.Mesh // links between sidecars; nil if they share nothing
	forwards  *relay.Mesh // links for forwarded requests; nil if sidecars forward nothing
	clients   *load.Clients
	spec      load.Spec  // of the clients' traffic
	mu        sync.Mutex // guards upstreams, sidecars, each sidecar's links and each upstream's entry
	upstreams []*upstream
	sidecars  []*sidecar
	notes     []string

	numbersMu       sync.RWMutex // guards upstreamNumbers and notes; apart from mu, as agents look up numbers while mu is held
	upstreamNumbers map[string]int

	tasks sync.WaitGroup
}

// Programs are the commands of the parties: a path and the first arguments.
type Programs struct {
	Sidecar []string
	Replica []string // of the list service; the path of its configuration is appended
	First   []string // of the first replica, if it differs from the others
}

// Play plays an experiment once. dir is an empty directory for this play alone. An error means that the play could
// not be carried out; a sidecar that misbehaves is no error. If ctx ends early, Play returns what was recorded until
// then, marked as partial.
func Play(ctx context.Context, e *experiment.Experiment, v experiment.Variant, seed uint64, dir string, programs Programs, log *slog.Logger) (out *Outcome, err error) {
	if err := ensureDescriptors(e); err != nil {
		return nil, err
	}
	addrs, err := claimAddresses()
	if err != nil {
		return nil, err
	}
	defer addrs.release()
	running, stop := context.WithCancel(ctx)
	p := &play{ctx: running, experiment: e, variant: v, seed: seed, dir: dir, programs: programs, rec: record.New(), addrs: addrs, log: log,
		upstreamNumbers: map[string]int{}}
	p.discovery = fake.NewDiscovery(p.rec)
	if v.Share {
		p.mesh = relay.NewMesh()
	}
	if v.Forward {
		p.forwards = p.newForwardMesh()
	}
	defer func() { // ends everything that the play started, also after an error
		stop()
		p.close()
	}()
	if err := p.startParties(); err != nil {
		return nil, err
	}
	out = &Outcome{Record: p.rec, Plan: load.Draw(loadSpec(e, p.capacity()), len(p.sidecars), seed)}
	out.PlanHash = out.Plan.Hash()
	timeline := p.timeline()
	out.FaultsHash = hashOf(timeline)
	out.Begin = p.rec.Now() + loadDelay
	var names, addresses []string
	for _, s := range p.sidecars {
		names, addresses = append(names, s.name), append(addresses, addrs.sidecar(s.number, sidecarPort))
	}
	clients := load.NewClients(p.rec, names, addresses, e.Load.Connections)
	p.clients, p.spec = clients, out.Plan.Spec // set before any fault begins
	p.background(p.sampleParties)
	faults := p.runTimeline(timeline, out.Begin)
	finishHistory := p.startHistory()
	clients.Run(ctx, out.Plan, out.Begin)
	finishHistory(ctx)
	stop() // ends the faults that are still in force
	faults.Wait()
	p.rec.Partial = ctx.Err() != nil
	p.endSidecars()
	p.rec.Length = p.rec.Now()
	p.readLogs()
	for _, u := range p.upstreams {
		area, sojourns := u.Little()
		out.Littles[0] += area
		out.Littles[1] += sojourns
	}
	out.Lags = clients.Lags()
	p.close()
	out.Notes = p.notes
	return out, nil
}

// ensureDescriptors makes sure that this process may hold as many descriptors as the play can need.
func ensureDescriptors(e *experiment.Experiment) error {
	f := e.Fleet
	if n := f.Sidecars * e.Load.Connections; n > maxClientConns {
		return fmt.Errorf("%d sidecars with %d connections of clients each: the laboratory opens %d at most", f.Sidecars, e.Load.Connections, maxClientConns)
	}
	upstreams := f.Upstreams * 2 // each may be replaced by another one
	need := uint64(f.Sidecars*upstreams + f.Sidecars*e.Load.Connections + descriptorsPerLink*f.Sidecars*f.Sockets/2 + ownDescriptors)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return fmt.Errorf("reading the limit on descriptors: %w", err)
	}
	if limit.Cur >= need {
		return nil
	}
	raised := syscall.Rlimit{Cur: need, Max: max(limit.Max, need)}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &raised); err != nil {
		return fmt.Errorf("the play may need %d descriptors and %d are allowed: take fewer sidecars, upstreams or connections, or raise the limit (ulimit -n)", need, limit.Max)
	}
	return nil
}

// startParties starts all parties, and returns once all sidecars are ready.
func (p *play) startParties() error {
	if p.variant.Registry > 0 {
		if err := p.addService(); err != nil {
			return err
		}
	}
	specs, entries := drawUpstreams(p.experiment, p.experiment.Fleet.Upstreams, p.seed)
	for i := range specs {
		if err := specs[i].Check(); err != nil {
			return fmt.Errorf("upstream kind %s: %w", entries[i].Type, err)
		}
		u, err := p.addUpstream(specs[i], entries[i])
		if err != nil {
			return err
		}
		if err := p.startUpstream(u, false); err != nil {
			return err
		}
		p.discovery.Change(u.entry)
		if p.service != nil {
			p.register(u, u.entry)
		}
	}
	if p.service != nil {
		if err := p.awaitService(len(specs)); err != nil {
			return err
		}
	}
	for i := range p.experiment.Fleet.Sidecars {
		if err := p.addSidecar(i); err != nil {
			return err
		}
	}
	errs := make(chan error, len(p.sidecars))
	for _, s := range p.sidecars {
		go func() { errs <- p.startSidecar(s) }()
	}
	var first error
	for range p.sidecars {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (p *play) setUpstreamNumber(upstream string, n int) {
	p.numbersMu.Lock()
	p.upstreamNumbers[upstream] = n
	p.numbersMu.Unlock()
}

// capacity returns the work that all upstreams do in a second, warm and undisturbed.
func (p *play) capacity() (sum float64) {
	for _, u := range p.upstreams {
		sum += u.Spec.Capacity()
	}
	return sum
}

// loadSpec converts an experiment's load to the spec that arrivals are drawn from.
func loadSpec(e *experiment.Experiment, capacity float64) load.Spec {
	l := e.Load
	s := load.Spec{Length: e.Length.Duration, Rate: l.Rate, Bursty: l.Shape == "bursty", Swing: l.Swing, StreamCV: l.StreamCV,
		Keys: l.Keys, KeyZipf: l.KeyZipf, TryShare: l.TryShare, Retries: l.Retries, Backoff: l.Backoff.Duration, Impatient: l.Impatient}
	for _, step := range l.Steps {
		s.Steps = append(s.Steps, load.Step{At: step.At.Duration, For: step.For.Duration, Times: step.Times, Of: sidecarsInZone(e, step.Zone)})
	}
	work, shares := 0.0, 0.0
	for _, c := range e.Classes {
		s.Classes = append(s.Classes, load.Class{Name: c.Name, Share: c.Share, Work: c.Work.Duration, CV: c.CV, Pareto: c.Dist == "pareto",
			Aim: c.Aim.Duration, Deadline: c.Deadline.Duration, Worth: c.Worth, LateWorth: c.LateWorth, Safe: !c.Unsafe})
		work += c.Share * c.Work.Seconds()
		shares += c.Share
	}
	for _, t := range e.Tenants {
		s.Tenants = append(s.Tenants, load.Tenant{Name: t.Name, Share: t.Share, Usage: t.Usage})
	}
	if l.Share > 0 {
		s.Rate = l.Share * capacity * shares / work
	}
	return s
}

// sampleParties samples all parties until the play ends.
func (p *play) sampleParties() {
	for p.sleep(sampleEvery) {
		p.mu.Lock()
		sidecars, upstreams := p.sidecars, p.upstreams
		p.mu.Unlock()
		for _, s := range sidecars {
			if s.mu.TryLock() { // otherwise the sidecar is being started or ended
				p.sample(s)
				s.mu.Unlock()
			}
		}
		now := p.rec.Now()
		loads := make([]record.Load, len(upstreams))
		for i, u := range upstreams {
			loads[i] = record.Load{At: now, Upstream: u.Name, Held: u.Held()}
		}
		p.rec.Load(loads...)
	}
}

// endSidecars ends all sidecars concurrently: by SIGTERM, or by SIGKILL in a partial play.
func (p *play) endSidecars() {
	var wg sync.WaitGroup
	for _, s := range p.sidecars {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.mu.Lock()
			s.stopping = true
			s.mu.Unlock()
			if p.rec.Partial {
				p.kill(s)
			} else {
				p.terminate(s, 0)
			}
		}()
	}
	wg.Wait()
}

// close ends everything that still runs, and waits for it. It may be called again.
func (p *play) close() {
	for _, s := range p.sidecars {
		s.mu.Lock()
		s.stopping = true
		s.mu.Unlock()
		p.kill(s)
	}
	if p.service != nil {
		p.service.close(p)
	}
	p.tasks.Wait()
	for _, s := range p.sidecars {
		for _, l := range s.links {
			l.Close()
		}
		for _, w := range s.windows {
			w.Close()
		}
		s.agent.Close()
	}
	if p.mesh != nil {
		p.mesh.Close()
	}
	if p.forwards != nil {
		p.forwards.Close()
	}
	for _, u := range p.upstreams {
		u.Close()
	}
}

// background runs f as a task that the play waits for at its end.
func (p *play) background(f func()) {
	p.tasks.Add(1)
	go func() { defer p.tasks.Done(); f() }()
}

// sleep waits for d, and reports false if the play ends first.
func (p *play) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.ctx.Done():
		return false
	}
}

// note records an error of the laboratory itself.
func (p *play) note(err error) {
	if err == nil || errors.Is(err, os.ErrProcessDone) {
		return
	}
	p.log.Warn("play disturbed", "err", err)
	p.numbersMu.Lock()
	p.notes = append(p.notes, err.Error())
	p.numbersMu.Unlock()
}
