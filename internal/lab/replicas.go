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
	serviceTimeout      = 15 * time.Second // all replicas, from their start
	servicePollInterval = 20 * time.Millisecond
	statusTimeout       = time.Second
)

// replica is a party that is a real process of the list service, or one after another.
type replica struct {
	name   string
	number int
	dir    string           // its own: configuration, log, data
	links  map[string]*link // to other replicas, "name raft" and "name api"

	mu       sync.Mutex
	child    *proc.Child
	stopping bool
}

func (r *replica) data() string { return filepath.Join(r.dir, "data") }

// service is the list service of a play, with those who register in it.
type service struct {
	replicas  []*replica
	client    *client.Client
	registrar *client.Registrar
}

// addService makes the replicas, starts them, and waits until they serve.
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
			for what, port := range map[string]int{"raft": replicaRaftPort, "api": replicaAPIPort} {
				l, err := relay.New(r.name, fmt.Sprintf("r%d", j), p.addrs.replicaLink(i, j, port), p.addrs.replica(j, port), nil)
				if err != nil {
					return err
				}
				o := newOverlay(relay.State{Delay: p.experiment.Net.Cross.Duration, Jitter: p.experiment.Net.Jitter.Duration}, func(state relay.State) { p.note(l.Set(state)) })
				o.apply()
				r.links[fmt.Sprintf("r%d %s", j, what)] = &link{l, o}
			}
		}
		s.replicas = append(s.replicas, r)
	}
	p.service = s
	var at []string
	for _, r := range s.replicas {
		at = append(at, p.addrs.replica(r.number, replicaAPIPort))
		if err := p.runReplica(r); err != nil {
			return err
		}
	}
	s.client = client.New(at)
	lease := p.experiment.Registry.Lease.Duration
	s.registrar = client.NewRegistrar(s.client, lease, func(name string, err error) { p.log.Info("registrar", "upstream", name, "err", err) })
	p.background(func() { s.registrar.Run(p.ctx) })
	return p.awaitService(0)
}

// awaitService returns once all replicas know of so many entries.
func (p *play) awaitService(entries int) error {
	ctx, cancel := context.WithTimeout(p.ctx, serviceTimeout)
	defer cancel()
	for {
		said, failed := p.service.client.Status(ctx)
		serving := 0
		for _, s := range said {
			if s.Leader != "" && s.Endpoints >= entries && s.StalenessMs >= 0 && time.Duration(s.StalenessMs)*time.Millisecond < statusTimeout {
				serving++
			}
		}
		if serving == len(p.service.replicas) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the list service does not serve: %d of %d replicas, %v", serving, len(p.service.replicas), failed)
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
	for _, o := range p.service.replicas {
		peers = append(peers, map[string]any{"name": o.name, "raft": p.addrs.replica(o.number, replicaRaftPort), "api": p.addrs.replica(o.number, replicaAPIPort)})
		if o != r {
			dial[o.name] = map[string]any{"raft": p.addrs.replicaLink(r.number, o.number, replicaRaftPort), "api": p.addrs.replicaLink(r.number, o.number, replicaAPIPort)}
		}
	}
	e := p.experiment.Registry
	text, err := toml.Marshal(map[string]any{"name": r.name, "dir": r.data(), "replica": peers, "dial": dial, "grace": e.Grace.String(),
		"preserve": e.Preserve, "stale": e.Stale.String(), "breaks": p.variant.ServiceBreaks})
	if err != nil {
		return fmt.Errorf("configuration of %s: %w", r.name, err)
	}
	path := filepath.Join(r.dir, "registry.toml")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return fmt.Errorf("configuration of %s: %w", r.name, err)
	}
	run := p.programs.Replica
	if r.number == 0 && len(p.programs.First) > 0 {
		run = p.programs.First
	}
	r.child, err = proc.Start(proc.Spec{Name: r.name, Path: run[0], Args: append(run[1:len(run):len(run)], path), Dir: r.dir, LogFile: filepath.Join(r.dir, "log")})
	if err != nil {
		return err
	}
	child := r.child
	p.background(func() { // notes an end that nobody asked for
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

// chosenReplicas are those that a fault befalls; who leads is found out now. Where nobody does, any is taken.
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

// leader is who most replicas say leads; "" : nobody.
func (p *play) leader() string {
	ctx, cancel := context.WithTimeout(p.ctx, statusTimeout)
	defer cancel()
	said, _ := p.service.client.Status(ctx)
	votes := map[string]int{}
	best := ""
	for _, s := range said {
		if votes[s.Leader]++; s.Leader != "" && votes[s.Leader] > votes[best] {
			best = s.Leader
		}
	}
	return best
}

// injectReplicas lets a fault happen to replicas.
func (p *play) injectReplicas(ev *event) {
	if p.service == nil {
		return // a variant without
	}
	f := ev.Fault
	chosen := p.chosenReplicas(ev)
	if f.Kind == "cut" {
		applyDuring(p, f, p.replicaLinks(ev, chosen), linkChange(f))
		return
	}
	var all sync.WaitGroup
	for _, r := range chosen {
		all.Go(func() {
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
	all.Wait()
}

func (p *play) restartReplica(r *replica, down, lasts, every time.Duration) {
	until := p.rec.Now() + lasts
	for {
		begun := p.rec.Now()
		p.killReplica(r)
		if !p.sleep(down) {
			return
		}
		p.note(p.runReplica(r))
		next := begun + every
		if every <= 0 || next >= until || !p.sleep(next-p.rec.Now()) {
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

// limitReplicaFiles bounds the size of the files that the replica writes; nil lifts the bound.
func (p *play) limitReplicaFiles(r *replica, bytes *uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.child != nil {
		p.note(r.child.FileLimit(bytes))
	}
}

// restoreOldDisk copies the replica's directory while it is down for a moment, and puts the copy in place at the end.
func (p *play) restoreOldDisk(r *replica, after time.Duration) {
	old := filepath.Join(r.dir, "old")
	p.killReplica(r)
	p.note(errors.Join(os.CopyFS(old, os.DirFS(r.data())), p.runReplica(r)))
	if !p.sleep(after) {
		return
	}
	p.killReplica(r)
	p.note(errors.Join(os.RemoveAll(r.data()), os.Rename(old, r.data()), p.runReplica(r)))
}

// replicaLinks are the links between the chosen replicas and those in 'to', each way's in its sense: forth is from the
// chosen ones.
func (p *play) replicaLinks(ev *event, chosen []*replica) (all []*overlay[relay.State]) {
	to := ev.Fault.To
	isTo := func(r *replica) bool {
		return to.Kind != "replica" || len(to.Names) == 0 || slices.Contains(to.Names, r.name)
	}
	in := map[string]bool{}
	for _, r := range chosen {
		in[r.name] = true
	}
	for _, a := range p.service.replicas {
		for _, b := range p.service.replicas {
			if a == b || (!in[a.name] || in[b.name] || !isTo(b)) {
				continue
			}
			for _, what := range []string{"raft", "api"} {
				all = append(all, a.links[b.name+" "+what].overlay, mirrored(b.links[a.name+" "+what].overlay))
			}
		}
	}
	return all
}

// mirrored takes changes in the other link's sense: what is silent forth there is silent back here.
func mirrored(o *overlay[relay.State]) *overlay[relay.State] {
	m := newOverlay(relay.State{}, nil)
	m.set = func(now relay.State) {
		o.remove("mirrored")
		if now != (relay.State{}) {
			o.add("mirrored", func(s *relay.State) {
				s.SilentForth = s.SilentForth || now.SilentBack
				s.SilentBack = s.SilentBack || now.SilentForth
				s.Reset = s.Reset || now.Reset
			})
		}
	}
	return m
}

// windowsOf are the windows of the chosen sidecars on the replicas in 'to'.
func (p *play) windowsOf(ev *event) (all []*overlay[fake.View]) {
	for _, s := range ev.sidecars {
		for name, w := range s.windows {
			if len(ev.Fault.To.Names) == 0 || slices.Contains(ev.Fault.To.Names, name) {
				all = append(all, w.overlay)
			}
		}
	}
	return all
}

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

// register has the service know of an upstream what the lab's own list says.
func (p *play) register(u *upstream, e fake.Entry) {
	g := api.Registration{Address: p.addrs.upstream(u.number), Zone: e.Zone, Machine: e.Type, Cell: e.Group, Weight: max(e.Weight, 0.01),
		StartedMs: e.SinceMs, Incarnation: int64(u.starts)}
	p.service.registrar.Set(e.Name, g, e.Status)
}

// startHistory begins the calls of a history, where there is one; judge ends them and notes what it finds.
func (p *play) startHistory() (judge func(context.Context)) {
	if p.service == nil || p.experiment.History.Callers == 0 {
		return func(context.Context) {}
	}
	ctx, end := context.WithCancel(p.ctx)
	spec := history.Spec{Callers: p.experiment.History.Callers, Names: p.experiment.History.Names, Seed: p.seed}
	for _, r := range p.service.replicas {
		spec.Replicas = append(spec.Replicas, p.addrs.replica(r.number, replicaAPIPort))
	}
	run := history.Start(ctx, spec)
	return func(ctx context.Context) {
		end()
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
		found, n := run.End(final)
		p.rec.Change(func() {
			for _, b := range found {
				p.rec.Reported = append(p.rec.Reported, record.Reported{Rule: b.Rule, At: b.At, Text: b.Text})
			}
		})
		p.rec.Calls, p.rec.Unknown, p.rec.Watched = n.Calls, n.Unknown, n.Messages
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
