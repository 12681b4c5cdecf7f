// Package leases runs the experiments on duties with real processes: candidates, replicas of the list service, links between
// them, and a target of acts. Holders and replicas are killed, stopped and cut off, and the acts are checked afterwards.
package leases

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"mosslead/internal/lab/fencing"
	"mosslead/internal/lab/loadtest"
	"mosslead/internal/lab/pause"
	"mosslead/internal/lab/proc"
	"mosslead/internal/lab/relay"
	"mosslead/internal/registry/client"
)

// The kinds of experiments.
const (
	Stall   = "duty-stall"   // the holder is killed, ended or stopped
	Cut     = "duty-cut"     // the holder is cut off from the service, one way or both
	Service = "duty-service" // the service loses its leader, its disk or its quorum; in half of the cases the holder is killed too
)

// Kinds lists all kinds of experiments.
var Kinds = []string{Stall, Cut, Service}

// Spec describes one experiment.
type Spec struct {
	Program string // path of mosslead
	Dir     string // for logs and data; empty at the start
	Kind    string
	Seed    uint64
	HandOns int           // number of hand-ons after which the experiment ends
	Lease   time.Duration // the margin is a tenth of the lease
	NoFence bool          // planted fault: the target ignores epochs
}

// Result is the outcome of an experiment.
type Result struct {
	Kind    string         `json:"kind"`
	Seed    uint64         `json:"seed"`
	Seconds float64        `json:"seconds"`
	Faults  map[string]int `json:"faults"`
	Played  []Played       `json:"played"`
	fencing.Verdict
}

// Played is a fault that was injected.
type Played struct {
	At     time.Duration `json:"at"` // on the machine's monotonic clock, as for breaches
	Fault  string        `json:"fault"`
	Holder string        `json:"holder"`
}

const (
	replicas   = 3
	candidates = 4
	endsWithin = 5 * time.Second
)

// candidateProc is a candidate process, or several in turn in the same slot.
type candidateProc struct {
	slot  int
	links []*relay.Link // to the replicas
	child *proc.Child
	name  string // its name as a holder
}

type run struct {
	Spec
	ctx          context.Context
	rng          *rand.Rand
	target       *target
	service      *client.Client
	runner       loadtest.Runner
	addresses    []string // of the replicas
	procs        []*proc.Child
	parties      []*candidateProc
	started      uint64
	cleanups     []func() // run by close
	excused      []fencing.Span
	faults       map[string]int
	played       []Played
	lastLongStop time.Time // start of the last stop that lasted ten leases
}

// Run runs an experiment and checks its acts.
func Run(ctx context.Context, s Spec) (Result, error) {
	start := time.Now()
	r := &run{Spec: s, ctx: ctx, rng: rand.New(rand.NewPCG(s.Seed, 22)), faults: map[string]int{},
		runner: loadtest.Runner{Command: []string{s.Program, "registry", "serve"}, Dir: s.Dir}}
	defer r.close()
	if err := r.setUp(); err != nil {
		return Result{}, err
	}
	if !r.target.awaitHandOns(ctx, 0, time.Second) || !r.awaitFirstAct(endsWithin) {
		return Result{}, fmt.Errorf("no act was accepted: see %s", s.Dir)
	}
	for _, handOns := r.target.lastAct(); handOns < s.HandOns && ctx.Err() == nil; _, handOns = r.target.lastAct() {
		if time.Since(start) > time.Duration(s.HandOns)*12*s.Lease+time.Minute {
			return Result{}, fmt.Errorf("%d of %d hand-ons in %v: see %s", handOns, s.HandOns, time.Since(start).Round(time.Second), s.Dir)
		}
		if err := r.injectFault(); err != nil {
			return Result{}, err
		}
		r.target.awaitHandOns(ctx, handOns+1, 3*s.Lease)
		pause.For(ctx, time.Duration(r.rng.IntN(400))*time.Millisecond)
	}
	if err := ctx.Err(); err != nil {
		return Result{}, err
	}
	for _, p := range r.parties {
		_ = p.child.Signal(syscall.SIGCONT)
		if _, err := p.child.Stop(endsWithin, func() {}); err != nil {
			return Result{}, err
		}
	}
	r.target.close()
	acts, err := r.collect()
	if err != nil {
		return Result{}, err
	}
	v := fencing.Check(acts, fencing.Rules{Gap: s.Lease + s.Lease/10 + time.Second, Excused: r.excused})
	v.Breaches = append(v.Breaches, fencing.Linearizable(acts)...)
	return Result{s.Kind, s.Seed, time.Since(start).Seconds(), r.faults, r.played, v}, nil
}

// runs counts the experiments of this process.
var runs atomic.Int64

// setUp starts the replicas, the target and the candidates, with the links between them.
func (r *run) setUp() (err error) {
	number := runs.Add(1) % 256
	if r.addresses, r.procs, err = r.runner.Quorum(replicas); err != nil {
		return err
	}
	r.service = client.New(r.addresses)
	if err := loadtest.Await(r.ctx, r.service, replicas); err != nil {
		return err
	}
	if r.target, err = newTarget(r.NoFence); err != nil {
		return err
	}
	for i := range candidates {
		p := &candidateProc{slot: i}
		r.parties = append(r.parties, p)
		for j, address := range r.addresses {
			// Each link has a loopback address of its own. While a link resets connections it does not listen, and on a
			// shared address another program could take its port.
			own := fmt.Sprintf("127.%d.%d.%d:7000", 100+os.Getpid()%128, number, i*replicas+j+1)
			l, err := relay.New(fmt.Sprint("c", i), fmt.Sprint("r", j), own, address, nil)
			if err != nil {
				return err
			}
			p.links = append(p.links, l)
		}
		if err := r.start(p); err != nil {
			return err
		}
	}
	return nil
}

// start starts a candidate in a slot, under a new name.
func (r *run) start(p *candidateProc) (err error) {
	r.started++
	p.name = fmt.Sprintf("c%d.%d", p.slot, r.started)
	var addresses []string
	for _, l := range p.links {
		addresses = append(addresses, l.Address())
	}
	p.child, err = proc.Start(proc.Spec{Name: p.name, Path: r.Program, Dir: r.Dir, LogFile: filepath.Join(r.Dir, p.name+".journal"),
		Args: []string{"lab", "candidate", "--service", strings.Join(addresses, ","), "--target", r.target.ln.Addr().String(), "--holder", p.name,
			"--number", fmt.Sprint(r.started), "--lease", r.Lease.String()}})
	return err
}

// awaitFirstAct waits until an act is accepted, and reports whether one was within the limit.
func (r *run) awaitFirstAct(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end) && r.ctx.Err() == nil; pause.For(r.ctx, 5*time.Millisecond) {
		if last, _ := r.target.lastAct(); last.OK {
			return true
		}
	}
	return false
}

// collect merges the candidates' journals with the acts that the target received.
func (r *run) collect() ([]fencing.Act, error) {
	byValue := map[uint64]*fencing.Act{}
	journals, err := filepath.Glob(filepath.Join(r.Dir, "*.journal"))
	if err != nil {
		return nil, err
	}
	for _, path := range journals {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer func() { _ = f.Close() }()
		holder := strings.TrimSuffix(filepath.Base(path), ".journal")
		for lines := bufio.NewScanner(f); lines.Scan(); {
			var a fencing.Act
			var heard time.Duration
			if n, _ := fmt.Sscanf(lines.Text(), "act %d %d %d", &a.Value, &a.Epoch, &a.Looked); n == 3 {
				a.Duty, a.Upon, a.Holder = dutyName, "target", holder
				byValue[a.Value] = &a
			} else if n, _ := fmt.Sscanf(lines.Text(), "heard %d %d %t %d", &a.Value, &heard, &a.OK, &a.Before); n == 4 && byValue[a.Value] != nil {
				act := byValue[a.Value]
				act.Heard, act.OK, act.Before = heard, a.OK, a.Before
			}
		}
	}
	for value, received := range r.target.acts {
		act := byValue[value]
		if act == nil || act.Holder != received.Holder || act.Epoch != received.Epoch || act.Heard != 0 && act.OK != received.OK {
			return nil, fmt.Errorf("the journal of %s has %+v for an act that the target has as %+v", received.Holder, act, received)
		}
		act.Taken, act.OK = received.Taken, received.OK
		if act.Heard == 0 {
			act.Before = received.Before
		}
	}
	acts := make([]fencing.Act, 0, len(byValue))
	for _, value := range slices.Sorted(maps.Keys(byValue)) {
		acts = append(acts, *byValue[value])
	}
	return acts, nil
}

func (r *run) close() {
	for _, undo := range r.cleanups {
		undo()
	}
	for _, p := range r.parties {
		if p.child != nil {
			_ = p.child.Kill()
		}
		for _, l := range p.links {
			l.Close()
		}
	}
	for _, c := range r.procs {
		_ = c.Kill()
	}
	if r.service != nil {
		r.service.Close()
	}
	if r.target != nil {
		r.target.close()
	}
}
