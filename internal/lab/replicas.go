package lab

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"mosslead/internal/lab/fake"
	"mosslead/internal/lab/history"
	"mosslead/internal/lab/proc"
	"mosslead/internal/lab/record"
	"mosslead/internal/lab/relay"
	"mosslead/internal/registry/api"
	"mosslead/internal/registry/client"
)

const (
	serviceTimeout      = 15 * time.Second // for all replicas to serve, from their start
	servicePollInterval = 20 * time.Millisecond
	statusTimeout       = time.Second
)

// replica is a party of the list service. It runs one real process, or several one after another.
type replica struct {
	name   string
	number int
	dir    string           // own directory: configuration, log, data
	links  map[string]*link // to other replicas, by "NAME raft" and "NAME api"

	mu       sync.Mutex
	child    *proc.Child
	stopping bool
}

func (r *replica) data() string { return filepath.Join(r.dir, "data") }

// service is the list service of a play, with the registrar of its upstreams.
type service struct {
	replicas  []*replica
	client    *client.Client
	registrar *client.Registrar
}

// addService creates and starts the replicas, and waits until they serve.
func (p *play) addService() error {
	n := p.variant.Registry
	s := &service{}
	for i := range n {
		r := &replica{name: fmt.Sprintf("r%d", i), number: i, dir: filepath.Join(p.dir, fmt.Sprintf("r%d", i)), links: map[string]*link{}}
		if err := os.MkdirAll(r.data(), 0o755); err != nil {
			return fmt.Errorf("directory of %s: %w", r.name, err)
		}
		for j := range n {
			if j == i {
				continue
			}
			for protocol, port := range map[string]int{"raft": replicaRaftPort, "api": replicaAPIPort} {
				l, err := relay.New(r.name, fmt.Sprintf("r%d", j), p.addrs.replicaLink(i, j, port), p.addrs.replica(j, port), nil)
				if err != nil {
					return err
				}
				o := newOverlay(relay.State{Delay: p.experiment.Net.Cross.Duration, Jitter: p.experiment.Net.Jitter.Duration}, func(state relay.State) { p.note(l.Set(state)) })
				o.apply()
				r.links[fmt.Sprintf("r%d %s", j, protocol)] = &link{l, o}
			}
		}
		s.replicas = append(s.replicas, r)
	}
	p.service = s
	var addresses []string
	for _, r := range s.replicas {
		addresses = append(addresses, p.addrs.replica(r.number, replicaAPIPort))
		if err := p.runReplica(r); err != nil {
			return err
		}
	}
	s.client = client.New(addresses)
	lease := p.experiment.Registry.Lease.Duration
	s.registrar = client.NewRegistrar(s.client, lease, func(name string, err error) { p.log.Info("registrar call failed", "upstream", name, "err", err) })
	p.background(func() { s.registrar.Run(p.ctx) })
	return p.awaitService(0)
}

// awaitService returns once all replicas know at least that many entries.
func (p *play) awaitService(entries int) error {
	ctx, cancel := context.WithTimeout(p.ctx, serviceTimeout)
	defer cancel()
	for {
		statuses, failures := p.service.client.Status(ctx)
		serving := 0
		for _, status := range statuses {
			if status.Leader != "" && status.Endpoints >= entries && status.StalenessMs >= 0 && time.Duration(status.StalenessMs)*time.Millisecond < statusTimeout {
				serving++
			}
		}
		if serving == len(p.service.replicas) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the list service is not ready: %d of %d replicas serve, %v", serving, len(p.service.replicas), failures)
		case <-time.After(servicePollInterval):
		}
	}
}

// runReplica starts a process of the replica, unless one runs.
func (p *play) runReplica(r *replica) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.child != nil || r.stopping {
		return nil
	}
	var peers []map[string]any
	dial := map[string]any{}
	for _, other := range p.service.replicas {
		peers = append(peers, map[string]any{"name": other.name, "raft": p.addrs.replica(other.number, replicaRaftPort), "api": p.addrs.replica(other.number, replicaAPIPort)})
		if other != r {
			dial[other.name] = map[string]any{"raft": p.addrs.replicaLink(r.number, other.number, replicaRaftPort), "api": p.addrs.replicaLink(r.number, other.number, replicaAPIPort)}
		}
	}
	settings := p.experiment.Registry
	text, err := toml.Marshal(map[string]any{"name": r.name, "dir": r.data(), "replica": peers, "dial": dial, "grace": settings.Grace.String(),
		"preserve": settings.Preserve, "stale": settings.Stale.String(), "breaks": p.variant.ServiceBreaks})
	if err != nil {
		return fmt.Errorf("configuration of %s: %w", r.name, err)
	}
	path := filepath.Join(r.dir, "registry.toml")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return fmt.Errorf("configuration of %s: %w", r.name, err)
	}
	command := p.programs.Replica
	if r.number == 0 && len(p.programs.First) > 0 {
		command = p.programs.First
	}
	r.child, err = proc.Start(proc.Spec{Name: r.name, Path: command[0], Args: append(command[1:len(command):len(command)], path), Dir: r.dir, LogFile: filepath.Join(r.dir, "log")})
	if err != nil {
		return err
	}
	child := r.child
	p.background(func() { // reports a process that ends by itself
		<-child.Ended()
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.child == child {
			p.rec.Change(func() {
				p.rec.Reported = append(p.rec.Reported, record.Reported{Rule: "crash", At: p.rec.Now(), Text: r.name + " ended by itself: " + child.Exit()})
			})
		}
	})
	return nil
}

func (p *play) killReplica(r *replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.child != nil {
		p.note(r.child.Kill())
		r.child = nil
	}
}

// chosenReplicas returns the replicas that a fault affects. The name "leader" is resolved when it is called; the
// first replica is taken if there is no leader.
func (p *play) chosenReplicas(ev *event) []*replica {
	if !slices.Contains(ev.Fault.Of.Names, "leader") {
		return ev.replicas
	}
	leader := p.leader()
	for _, r := range ev.replicas {
		if r.name == leader {
			return []*replica{r}
		}
	}
	return ev.replicas[:1]
}

// leader returns the replica that most replicas call the leader; empty if there is none.
func (p *play) leader() string {
	ctx, cancel := context.WithTimeout(p.ctx, statusTimeout)
	defer cancel()
	statuses, _ := p.service.client.Status(ctx)
	votes := map[string]int{}
	best := ""
	for _, s := range statuses {
		if votes[s.Leader]++; s.Leader != "" && votes[s.Leader] > votes[best] {
			best = s.Leader
		}
	}
	return best
}

// injectReplicas carries out a fault on replicas.
func (p *play) injectReplicas(ev *event) {
	if p.service == nil {
		return // the variant has no list service
	}
	f := ev.Fault
	chosen := p.chosenReplicas(ev)
	if f.Kind == "cut" {
		applyDuring(p, f, p.replicaLinks(ev, chosen), linkChange(f))
		return
	}
	var wg sync.WaitGroup
	for _, r := range chosen {
		wg.Go(func() {
			switch f.Kind {
			case "kill":
				p.restartReplica(r, f.Down.Duration, f.For.Duration, f.Every.Duration)
			case "stop":
				p.signalReplica(r, syscall.SIGSTOP)
				p.sleep(f.For.Duration)
				p.signalReplica(r, syscall.SIGCONT)
			case "disk-full":
				p.limitReplicaFiles(r, new(uint64))
				p.sleep(f.For.Duration)
				p.limitReplicaFiles(r, nil)
			case "disk-lost":
				p.killReplica(r)
				p.note(os.RemoveAll(r.data()))
				if p.sleep(f.Down.Duration) {
					p.note(errors.Join(os.MkdirAll(r.data(), 0o755), p.runReplica(r)))
				}
			case "disk-old":
				p.restoreOldDisk(r, f.For.Duration)
			}
		})
	}
	wg.Wait()
}

// restartReplica kills a replica and starts it again after its time down; with 'every' again and again for the
// duration.
func (p *play) restartReplica(r *replica, down, duration, every time.Duration) {
	end := p.rec.Now() + duration
	for {
		begun := p.rec.Now()
		p.killReplica(r)
		if !p.sleep(down) {
			return
		}
		p.note(p.runReplica(r))
		next := begun + every
		if every <= 0 || next >= end || !p.sleep(next-p.rec.Now()) {
			return
		}
	}
}

func (p *play) signalReplica(r *replica, sig syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.child != nil {
		p.note(r.child.Signal(sig))
	}
}

// limitReplicaFiles limits the size of the files that the replica writes; nil removes the limit.
func (p *play) limitReplicaFiles(r *replica, limit *uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.child != nil {
		p.note(r.child.FileLimit(limit))
	}
}

// restoreOldDisk copies the replica's directory while its process is down for a moment, and puts the copy in place
// after the given time.
func (p *play) restoreOldDisk(r *replica, after time.Duration) {
	backup := filepath.Join(r.dir, "old")
	p.killReplica(r)
	p.note(errors.Join(os.CopyFS(backup, os.DirFS(r.data())), p.runReplica(r)))
	if !p.sleep(after) {
		return
	}
	p.killReplica(r)
	p.note(errors.Join(os.RemoveAll(r.data()), os.Rename(backup, r.data()), p.runReplica(r)))
}

// replicaLinks returns the links between the chosen replicas and those in 'to', in both directions. Forth is the
// direction away from the chosen replicas.
func (p *play) replicaLinks(ev *event, chosen []*replica) (links []*overlay[relay.State]) {
	to := ev.Fault.To
	isTo := func(r *replica) bool {
		return to.Kind != "replica" || len(to.Names) == 0 || slices.Contains(to.Names, r.name)
	}
	isChosen := map[string]bool{}
	for _, r := range chosen {
		isChosen[r.name] = true
	}
	for _, a := range p.service.replicas {
		for _, b := range p.service.replicas {
			if a == b || (!isChosen[a.name] || isChosen[b.name] || !isTo(b)) {
				continue
			}
			for _, protocol := range []string{"raft", "api"} {
				links = append(links, a.links[b.name+" "+protocol].overlay, mirrored(b.links[a.name+" "+protocol].overlay))
			}
		}
	}
	return links
}

// mirrored returns an overlay that makes its changes to o with the directions exchanged: what is silent forth in it
// is silent back in o.
func mirrored(o *overlay[relay.State]) *overlay[relay.State] {
	m := newOverlay(relay.State{}, nil)
	m.set = func(state relay.State) {
		o.remove("mirrored")
		if state != (relay.State{}) {
			o.add("mirrored", func(s *relay.State) {
				s.SilentForth = s.SilentForth || state.SilentBack
				s.SilentBack = s.SilentBack || state.SilentForth
				s.Reset = s.Reset || state.Reset
			})
		}
	}
	return m
}

// windowsOf returns the windows of the event's sidecars on the replicas in 'to'.
func (p *play) windowsOf(ev *event) (windows []*overlay[fake.View]) {
	for _, s := range ev.sidecars {
		for name, w := range s.windows {
			if len(ev.Fault.To.Names) == 0 || slices.Contains(ev.Fault.To.Names, name) {
				windows = append(windows, w.overlay)
			}
		}
	}
	return windows
}

// window is the proxy through which a sidecar reaches a replica, with the faults in force on it.
type window struct {
	*fake.Window
	overlay *overlay[fake.View]
}

// addWindows opens a sidecar's windows on all replicas.
func (p *play) addWindows(s *sidecar) error {
	s.windows = map[string]*window{}
	for _, r := range p.service.replicas {
		w, err := fake.NewWindow(p.addrs.sidecar(s.number, firstWindowPort+r.number), p.addrs.replica(r.number, replicaAPIPort), s.agent.Teller(),
			func(upstream string) string { return p.addrs.link(s.number, p.upstreamNumber(upstream)) })
		if err != nil {
			return err
		}
		s.windows[r.name] = &window{w, newOverlay(fake.View{}, w.Set)}
		s.replicas = append(s.replicas, w.Address())
	}
	return nil
}

// register registers an upstream in the list service with the values of the laboratory's own list.
func (p *play) register(u *upstream, e fake.Entry) {
	registration := api.Registration{Address: p.addrs.upstream(u.number), Zone: e.Zone, Machine: e.Type, Cell: e.Group, Weight: max(e.Weight, 0.01),
		StartedMs: e.SinceMs, Incarnation: int64(u.starts)}
	p.service.registrar.Set(e.Name, registration, e.Status)
}

// startHistory starts the callers of a history, if the experiment has any. finish ends them and records the
// violations that they found.
func (p *play) startHistory() (finish func(context.Context)) {
	if p.service == nil || p.experiment.History.Callers == 0 {
		return func(context.Context) {}
	}
	ctx, stopCallers := context.WithCancel(p.ctx)
	spec := history.Spec{Callers: p.experiment.History.Callers, Names: p.experiment.History.Names, Seed: p.seed}
	for _, r := range p.service.replicas {
		spec.Replicas = append(spec.Replicas, p.addrs.replica(r.number, replicaAPIPort))
	}
	run := history.Start(ctx, spec)
	return func(ctx context.Context) {
		stopCallers()
		ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
		defer cancel()
		all, err := p.service.client.Records(ctx, true)
		p.note(err)
		final := api.WatchEvent{Revision: all.Revision, Snapshot: true}
		for _, r := range all.Records {
			if r.Status != api.Removed {
				final.Endpoints = append(final.Endpoints, r.Endpoint)
			}
		}
		violations, counts := run.End(final)
		p.rec.Change(func() {
			for _, v := range violations {
				p.rec.Reported = append(p.rec.Reported, record.Reported{Rule: v.Rule, At: v.At, Text: v.Text})
			}
		})
		p.rec.Calls, p.rec.Unknown, p.rec.Watched = counts.Calls, counts.Unknown, counts.Messages
	}
}

// close ends all replicas.
func (s *service) close(p *play) {
	for _, r := range s.replicas {
		r.mu.Lock()
		r.stopping = true
		r.mu.Unlock()
		p.killReplica(r)
		for _, l := range r.links {
			l.Close()
		}
	}
	if s.client != nil {
		s.client.Close()
	}
}
