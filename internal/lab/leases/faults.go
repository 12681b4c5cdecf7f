package leases

import (
	"context"
	"fmt"
	"path/filepath"
	"syscall"
	"time"

	"mosslead/internal/lab/fencing"
	"mosslead/internal/lab/pause"
	"mosslead/internal/lab/relay"
)

const (
	restartAfter   = 300 * time.Millisecond
	serviceTimeout = 20 * time.Second // limit for the service to answer again, and for a wait for its leader
)

// injectFault injects one of the experiment's faults, and returns when the fault is over. A stop that lasts ten leases
// continues in the background.
func (r *run) injectFault() error {
	last, _ := r.target.lastAct()
	var holder *candidateProc
	for _, p := range r.parties {
		if p.name == last.Holder {
			holder = p
		}
	}
	if holder == nil { // the holder was restarted meanwhile, and another takes the duty over soon
		return nil
	}
	switch r.Kind {
	case Stall:
		return r.stall(holder)
	case Cut:
		return r.cut(holder)
	case Service:
		return r.disruptService(holder)
	}
	return fmt.Errorf("no experiment is called %q", r.Kind)
}

// recordFault records a fault with the time and the present holder.
func (r *run) recordFault(fault string) {
	last, _ := r.target.lastAct()
	r.faults[fault]++
	r.played = append(r.played, Played{clock(), fault, last.Holder})
}

// replace ends a candidate with a signal and starts another process in its place.
func (r *run) replace(p *candidateProc, s syscall.Signal) error {
	if err := p.child.Signal(s); err != nil {
		return err
	}
	select {
	case <-p.child.Ended():
	case <-time.After(endsWithin):
		return fmt.Errorf("candidate %s does not end", p.name)
	}
	pause.For(r.ctx, restartAfter)
	return r.start(p)
}

// stall kills, ends or stops the holder.
func (r *run) stall(p *candidateProc) error {
	stop := func(fault string, leases float64) error {
		r.recordFault(fault)
		if err := p.child.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		pause.For(r.ctx, time.Duration(leases*float64(r.Lease)))
		return p.child.Signal(syscall.SIGCONT)
	}
	switch r.rng.IntN(6) {
	case 0:
		r.recordFault("killed")
		return r.replace(p, syscall.SIGKILL)
	case 1:
		r.recordFault("ended")
		return r.replace(p, syscall.SIGTERM)
	case 2:
		return stop("stopped just under", 0.85)
	case 3:
		return stop("stopped just over", 1.15)
	case 4:
		return stop("stopped for two", 2)
	}
	if time.Since(r.lastLongStop) < 11*r.Lease { // only one long stop at a time, so that other candidates can take over
		return stop("stopped just over", 1.15)
	}
	r.lastLongStop = time.Now()
	r.recordFault("stopped for ten")
	child := p.child
	if err := child.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	timer := time.AfterFunc(10*r.Lease, func() { _ = child.Signal(syscall.SIGCONT) })
	r.cleanups = append(r.cleanups, func() { timer.Stop() })
	return nil
}

// cut cuts the holder off from the service, or resets its connections, for 0.7 to 2.2 leases.
func (r *run) cut(p *candidateProc) error {
	states := map[string]relay.State{"cut both ways": {SilentForth: true, SilentBack: true}, "cut forth": {SilentForth: true},
		"cut back": {SilentBack: true}, "reset": {Reset: true}}
	fault := []string{"cut both ways", "cut forth", "cut back", "reset"}[r.rng.IntN(4)]
	r.recordFault(fault)
	set := func(s relay.State) error {
		for _, l := range p.links {
			if err := l.Set(s); err != nil {
				return err
			}
		}
		return nil
	}
	if err := set(states[fault]); err != nil {
		return err
	}
	pause.For(r.ctx, time.Duration((0.7+1.5*r.rng.Float64())*float64(r.Lease)))
	return set(relay.State{})
}

// disruptService takes the service's leader, disk or quorum away, and also kills the holder in half of the cases. In the
// others it ends the holder afterwards. Nobody can take over until the service answers again, so that time is excused.
func (r *run) disruptService(p *candidateProc) error {
	leader, err := r.leader()
	if err != nil {
		return err
	}
	from := clock()
	kill := r.rng.IntN(2) == 0
	length := time.Duration((0.5 + 2*r.rng.Float64()) * float64(r.Lease))
	var down []int
	switch r.rng.IntN(4) {
	case 0:
		r.recordFault("leader killed")
		down = []int{leader}
	case 1:
		r.recordFault("no quorum")
		down = []int{leader, (leader + 1) % replicas}
	case 2:
		r.recordFault("leader stopped")
		err = r.procs[leader].Signal(syscall.SIGSTOP)
	case 3:
		r.recordFault("leader's disk full")
		err = r.procs[leader].FileLimit(new(uint64))
	}
	if err != nil {
		return err
	}
	for _, i := range down {
		if err := r.procs[i].Kill(); err != nil {
			return err
		}
	}
	if kill {
		r.recordFault("with the holder")
		if err := r.replace(p, syscall.SIGKILL); err != nil {
			return err
		}
	}
	pause.For(r.ctx, length)
	_ = r.procs[leader].Signal(syscall.SIGCONT)
	if err := r.procs[leader].FileLimit(nil); err != nil {
		return err
	}
	for _, i := range down {
		name := fmt.Sprint("r", i)
		if r.procs[i], err = r.runner.Start(name, "--config", filepath.Join(r.Dir, name+".toml")); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(r.ctx, serviceTimeout)
	defer cancel()
	if _, err := r.service.Leaderships(ctx, true); err != nil {
		return fmt.Errorf("the service does not answer after the fault: %w", err)
	}
	r.excused = append(r.excused, fencing.Span{From: from, To: clock()})
	if !kill {
		r.recordFault("holder ended after")
		return r.replace(p, syscall.SIGTERM)
	}
	return nil
}

// leader returns the index of the replica that leads.
func (r *run) leader() (int, error) {
	ctx, cancel := context.WithTimeout(r.ctx, serviceTimeout)
	defer cancel()
	for {
		statuses, _ := r.service.Status(ctx)
		for i, address := range r.addresses {
			if statuses[address].State == "leader" {
				return i, nil
			}
		}
		if ctx.Err() != nil {
			return 0, fmt.Errorf("no replica leads after %v", serviceTimeout)
		}
		pause.For(ctx, 20*time.Millisecond)
	}
}
