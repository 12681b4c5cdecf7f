// Package leases owns the experiments on duties with real processes: candidates, replicas of the list service, links between
// them, and one that is acted upon; holders and replicas are killed, stopped and cut off, and what was done is judged.
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
	Service = "duty-service" // the service loses its leader, its disk or its quorum, mostly with the holder
)

// Kinds are all of them.
var Kinds = []string{Stall, Cut, Service}

// Spec is one experiment.
type Spec struct {
	Program string // mosslead
	Dir     string // of logs and data; there is nothing in it
	Kind    string
	Seed    uint64
	HandOns int           // it ends after so many
	Lease   time.Duration // a tenth is the margin
	NoFence bool          // planted: the one acted upon looks at no epoch
}

// Result is what it came to.
type Result struct {
	Kind    string         `json:"kind"`
	Seed    uint64         `json:"seed"`
	Seconds float64        `json:"seconds"`
	Faults  map[string]int `json:"faults"`
	Played  []Played       `json:"played"`
	fencing.Verdict
}

// Played is a fault that was done.
type Played struct {
	At     time.Duration `json:"at"` // on the machine's monotonic clock, as breaches
	Fault  string        `json:"fault"`
	Holder string        `json:"holder"`
}

const (
	replicas   = 3
	candidates = 4
	endsWithin = 5 * time.Second
)

// candidateProc is one candidate process, or one after another at the same place.
type candidateProc struct {
	slot  int
	links []*relay.Link // to the replicas
	child *proc.Child
	name  string // the holder's
}

type run struct {
	Spec
	ctx          context.Context
	rng          *rand.Rand
	target       *target
	service      *client.Client
	runner       loadtest.Runner
	addresses    []string // replicas
	procs        []*proc.Child
	parties      []*candidateProc
	started      uint64
	cleanups     []func() // what has to be undone
	excused      []fencing.Span
	faults       map[string]int
	played       []Played
	lastLongStop time.Time // when one was last stopped for ten leases
}

// Run plays an experiment.
func Run(ctx context.Context, s Spec) (Result, error) {
	begun := time.Now()
	r := &run{Spec: s, ctx: ctx, rng: rand.New(rand.NewPCG(s.Seed, 22)), faults: map[string]int{},
		runner: loadtest.Runner{Command: []string{s.Program, "registry", "serve"}, Dir: s.Dir}}
	defer r.close()
	if err := r.setUp(); err != nil {
		return Result{}, err
	}
	if !r.target.awaitHandOns(ctx, 0, time.Second) || !r.awaitFirstAct(endsWithin) {
		return Result{}, fmt.Errorf("nobody acts: see %s", s.Dir)
	}
	for _, hands := r.target.lastAct(); hands < s.HandOns && ctx.Err() == nil; _, hands = r.target.lastAct() {
		if time.Since(begun) > time.Duration(s.HandOns)*12*s.Lease+time.Minute {
			return Result{}, fmt.Errorf("%d of %d hand-ons in %v: see %s", hands, s.HandOns, time.Since(begun).Round(time.Second), s.Dir)
		}
		if err := r.injectFault(); err != nil {
			return Result{}, err
		}
		r.target.awaitHandOns(ctx, hands+1, 3*s.Lease)
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
	all, err := r.collect()
	if err != nil {
		return Result{}, err
	}
	v := fencing.Check(all, fencing.Rules{Gap: s.Lease + s.Lease/10 + time.Second, Excused: r.excused})
	v.Breaches = append(v.Breaches, fencing.Linearizable(all)...)
	return Result{s.Kind, s.Seed, time.Since(begun).Seconds(), r.faults, r.played, v}, nil
}

// runs counts experiments of this process.
var runs atomic.Int64

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
		for j, at := range r.addresses {
			// An address of its own: a link that resets listens no more, and another program might take a port meanwhile.
			own := fmt.Sprintf("127.%d.%d.%d:7000", 100+os.Getpid()%128, number, i*replicas+j+1)
			l, err := relay.New(fmt.Sprint("c", i), fmt.Sprint("r", j), own, at, nil)
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

// start starts a candidate at a place, under a name of its own.
func (r *run) start(p *candidateProc) (err error) {
	r.started++
	p.name = fmt.Sprintf("c%d.%d", p.slot, r.started)
	var at []string
	for _, l := range p.links {
		at = append(at, l.Address())
	}
	p.child, err = proc.Start(proc.Spec{Name: p.name, Path: r.Program, Dir: r.Dir, LogFile: filepath.Join(r.Dir, p.name+".journal"),
		Args: []string{"lab", "candidate", "--service", strings.Join(at, ","), "--target", r.target.ln.Addr().String(), "--holder", p.name,
			"--number", fmt.Sprint(r.started), "--lease", r.Lease.String()}})
	return err
}

// awaitFirstAct waits for the first act.
func (r *run) awaitFirstAct(most time.Duration) bool {
	for end := time.Now().Add(most); time.Now().Before(end) && r.ctx.Err() == nil; pause.For(r.ctx, 5*time.Millisecond) {
		if last, _ := r.target.lastAct(); last.OK {
			return true
		}
	}
	return false
}

// collect joins what candidates wrote down with what the one acted upon took.
func (r *run) collect() ([]fencing.Act, error) {
	by := map[uint64]*fencing.Act{}
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
				by[a.Value] = &a
			} else if n, _ := fmt.Sscanf(lines.Text(), "heard %d %d %t %d", &a.Value, &heard, &a.OK, &a.Before); n == 4 && by[a.Value] != nil {
				x := by[a.Value]
				x.Heard, x.OK, x.Before = heard, a.OK, a.Before
			}
		}
	}
	for value, took := range r.target.acts {
		x := by[value]
		if x == nil || x.Holder != took.Holder || x.Epoch != took.Epoch || x.Heard != 0 && x.OK != took.OK {
			return nil, fmt.Errorf("%s was told %+v of what was taken as %+v", took.Holder, x, took)
		}
		x.Taken, x.OK = took.Taken, took.OK
		if x.Heard == 0 {
			x.Before = took.Before
		}
	}
	all := make([]fencing.Act, 0, len(by))
	for _, value := range slices.Sorted(maps.Keys(by)) {
		all = append(all, *by[value])
	}
	return all, nil
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
