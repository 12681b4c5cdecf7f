package lab

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"mosslead/internal/lab/experiment"
	"mosslead/internal/lab/fake"
	"mosslead/internal/lab/record"
	"mosslead/internal/lab/relay"
)

const (
	maxOpsCalls      = 40
	opsRetryInterval = 100 * time.Millisecond
	starveStopped    = 9 * time.Millisecond
	starveRunning    = time.Millisecond
)

// inject lets a fault happen, and returns once it is undone.
func (p *play) inject(ev *event) {
	f := ev.Fault
	if f.Of.Kind == "replica" {
		p.injectReplicas(ev)
		return
	}
	if f.To.Kind == "sidecar" {
		applyDuring(p, f, p.peerLinksOf(ev), linkChange(f))
		return
	}
	switch f.Kind {
	case "term":
		p.injectInSteps(ev, func(s *sidecar) { p.restart(s, f) })
	case "kill":
		p.injectAll(ev, func(s *sidecar) { p.restart(s, f) }, func(u *upstream) { p.crashRepeatedly(u, f) })
	case "stop":
		p.injectAll(ev, func(s *sidecar) { p.pause(s, f.For.Duration) }, nil)
	case "lie":
		p.injectAll(ev, func(s *sidecar) { p.note(p.broadcastLies(s, ev.toUpstreams, f.For.Duration)) }, nil)
	case "starve":
		p.injectAll(ev, func(s *sidecar) { p.starve(s, f.For.Duration) }, nil)
	case "hup":
		p.injectAll(ev, func(s *sidecar) { p.signal(s, syscall.SIGHUP) }, nil)
	case "ban":
		p.injectAll(ev, func(s *sidecar) { p.ban(s, ev.toUpstreams, f.For.Duration) }, nil)
	case "cut":
		if f.To.Kind == "replica" {
			applyDuring(p, f, p.windowsOf(ev), func(v *fake.View) { v.Silent, v.Reset = f.Mode != "reset", f.Mode == "reset" })
			return
		}
		applyDuring(p, ev.Fault, p.linksOf(ev), linkChange(ev.Fault))
	case "delay", "throttle", "chop", "resets":
		applyDuring(p, ev.Fault, p.linksOf(ev), linkChange(ev.Fault))
	case "slow", "fail", "hang":
		p.disturbUpstreams(ev)
	case "choke":
		p.injectAll(ev, nil, (*upstream).Choke)
	case "replace":
		p.replaceUpstreams(ev)
	case "lose":
		p.loseUpstreams(ev)
	case "late", "silent", "rewind", "garbage", "empty":
		p.disturbDiscovery(ev)
	case "state-full", "state-readonly", "state-torn", "state-flip", "state-gone", "state-old":
		p.injectAll(ev, func(s *sidecar) { p.damageState(s, f) }, nil)
	default:
		p.note(fmt.Errorf("fault %s: kind %s is not carried out", f.Name, f.Kind))
	}
}

// injectAll does a fault to all of its parties side by side.
func (p *play) injectAll(ev *event, each func(*sidecar), of func(*upstream)) {
	var all sync.WaitGroup
	for _, s := range ev.sidecars {
		all.Add(1)
		go func() { defer all.Done(); each(s) }()
	}
	for _, u := range ev.upstreams {
		all.Add(1)
		go func() { defer all.Done(); of(u) }()
	}
	all.Wait()
}

// injectInSteps does a fault to its sidecars in so many steps over its time.
func (p *play) injectInSteps(ev *event, each func(*sidecar)) {
	f := ev.Fault
	steps := max(1, f.Waves)
	begun := p.rec.Now()
	var all sync.WaitGroup
	for i, s := range ev.sidecars {
		at := begun + f.For.Duration*time.Duration(i*steps/len(ev.sidecars))/time.Duration(steps)
		all.Go(func() {
			if p.sleep(at - p.rec.Now()) {
				each(s)
			}
		})
	}
	all.Wait()
}

// restart ends a sidecar's process, hard or in order, and starts it again after its time down; with every, again and
// again as long as the fault lasts.
func (p *play) restart(s *sidecar, f experiment.Fault) {
	until := p.rec.Now() + f.For.Duration
	rng := rand.New(rand.NewPCG(p.seed, faultStream+uint64(s.number)*131))
	for {
		begun := p.rec.Now()
		if f.Kind == "kill" {
			p.kill(s)
		} else {
			p.terminate(s, f.Busy)
		}
		if f.Stays || !p.sleep(f.Down.Duration) {
			return
		}
		if err := p.startSidecar(s); err != nil && p.ctx.Err() == nil {
			p.note(fmt.Errorf("fault %s: %w", f.Name, err))
		}
		next := begun + time.Duration((0.5+rng.Float64())*float64(f.Every.Duration)) // not in step with anything
		if f.Every.Duration <= 0 || next >= until || !p.sleep(next-p.rec.Now()) {
			return
		}
	}
}

// crashRepeatedly kills an upstream's process; with every, again and again as long as the fault lasts.
func (p *play) crashRepeatedly(u *upstream, f experiment.Fault) {
	for until := p.rec.Now() + f.For.Duration; ; {
		next := p.rec.Now() + f.Every.Duration
		p.crash(u, f)
		if f.Every.Duration <= 0 || f.Stays || next >= until || !p.sleep(next-p.rec.Now()) {
			return
		}
	}
}

// crash kills an upstream's process; the list notices, and it comes back cold after its time down.
func (p *play) crash(u *upstream, f experiment.Fault) {
	p.killUpstream(u)
	p.markDead(u)
	down := f.Down.Duration
	if notice := p.experiment.Discovery.Notice.Duration; f.Stays || notice < down {
		if !p.sleep(notice) {
			return
		}
		p.setStatus(u, fake.Gone, false)
		down -= notice
	}
	if !f.Stays && p.sleep(down) {
		p.startCold(u)
	}
}

// startCold starts an upstream's process cold, and tells the list.
func (p *play) startCold(u *upstream) {
	if err := p.startUpstream(u, true); err != nil {
		p.note(err)
		return
	}
	p.setStatus(u, fake.Ready, true)
}

func (p *play) pause(s *sidecar, duration time.Duration) {
	paused := &record.Life{Party: s.name, Paused: true, Start: p.rec.Now()}
	p.rec.Life(paused)
	p.signal(s, syscall.SIGSTOP)
	p.sleep(duration)
	p.signal(s, syscall.SIGCONT)
	p.rec.Change(func() { paused.End = p.rec.Now() })
}

// starve leaves a sidecar's process a tenth of the time: 1 ms in 10. Where this process itself wakes late, and so feeds the other
// for longer, the next stop is longer by as much.
func (p *play) starve(s *sidecar, duration time.Duration) {
	starved := &record.Life{Party: s.name, Paused: true, Start: p.rec.Now()}
	p.rec.Life(starved)
	defer p.rec.Change(func() { starved.End = p.rec.Now() })
	stop := starveStopped
	for until := starved.Start + duration; p.rec.Now() < until; {
		p.signal(s, syscall.SIGSTOP)
		going := p.sleep(stop)
		from := p.rec.Now()
		p.signal(s, syscall.SIGCONT)
		if !going || !p.sleep(starveRunning) {
			return
		}
		stop = (p.rec.Now() - from) * starveStopped / starveRunning
	}
}

// ban disables upstreams at a sidecar's door. It binds from the yes on.
func (p *play) ban(s *sidecar, ups []*upstream, duration time.Duration) {
	for _, u := range ups {
		if !p.callUntilYes(s, "DISABLE "+u.Name) {
			continue
		}
		p.rec.Tell(record.Told{At: p.rec.Now(), Sidecar: s.name, Upstream: u.Name, Source: record.Operator})
	}
	if duration <= 0 {
		return // it stays
	}
	p.sleep(duration)
	for _, u := range ups {
		at := p.rec.Now() // before the call: it may be used from the yes on
		if p.callUntilYes(s, "ENABLE "+u.Name) {
			p.rec.Tell(record.Told{At: at, Sidecar: s.name, Upstream: u.Name, Source: record.Operator, Usable: true})
		}
	}
}

// callUntilYes makes a call at a sidecar's door until it gets its yes, as an operator would.
func (p *play) callUntilYes(s *sidecar, line string) bool {
	var answer string
	var err error
	for range maxOpsCalls {
		if answer, err = p.callOps(s, line); err == nil && answer == "YES" {
			return true
		}
		if !p.sleep(opsRetryInterval) {
			return false
		}
	}
	p.note(fmt.Errorf("%s: %s: %q, %w", s.name, line, answer, err))
	return false
}

// linkChange is what a fault does to a link.
func linkChange(f experiment.Fault) func(*relay.State) {
	return func(s *relay.State) {
		switch f.Kind {
		case "cut":
			if f.Mode == "reset" {
				s.Reset = true
				return
			}
			s.SilentForth = s.SilentForth || f.Way != "back"
			s.SilentBack = s.SilentBack || f.Way != "forth"
		case "delay":
			s.Delay += f.Delay.Duration
		case "loss":
			s.Loss = f.Share
		case "throttle":
			s.Rate = f.Rate
		case "chop":
			s.Chop = f.Chop
		case "resets":
			s.ResetShare = f.Share
		}
	}
}

// applyDuring keeps a fault's change in force on all that it befalls, until its time or the play is over.
func applyDuring[T any](p *play, f experiment.Fault, all []*overlay[T], change func(*T)) {
	for _, o := range all {
		o.add(f.Name, change)
	}
	p.sleep(f.For.Duration)
	for _, o := range all {
		o.remove(f.Name)
	}
}

// linksOf are the links from the chosen sidecars to the chosen upstreams.
func (p *play) linksOf(ev *event) (all []*overlay[relay.State]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range ev.sidecars {
		for _, u := range ev.toUpstreams {
			all = append(all, s.links[u.Name].overlay)
		}
	}
	return all
}

func (p *play) disturbUpstreams(ev *event) {
	f := ev.Fault
	var all []*overlay[fake.Trouble]
	for _, u := range ev.upstreams {
		all = append(all, u.trouble)
	}
	applyDuring(p, f, all, func(t *fake.Trouble) {
		switch f.Kind {
		case "slow":
			t.Slower = max(t.Slower, 1) * f.Times
		case "fail":
			if t.FailShare = f.Share; f.Class != "" {
				t.FailClass, t.FailShare, t.FailPart = f.Class, 0, cmp.Or(f.Share, 1)
			}
		case "hang":
			t.Hang = true
		}
	})
}

// loseUpstreams silences upstreams as a data centre that is lost does. They come back cold, as their machines lost power.
func (p *play) loseUpstreams(ev *event) {
	for _, u := range ev.upstreams {
		p.eachLink(u, func(o *overlay[relay.State]) {
			o.add("lost", func(s *relay.State) { s.SilentForth, s.SilentBack = true, true })
		})
	}
	for _, u := range ev.upstreams {
		p.markDead(u)
	}
	notice := p.experiment.Discovery.SilentNotice.Duration
	left := ev.Fault.For.Duration
	if notice < left {
		if p.sleep(notice) {
			for _, u := range ev.upstreams {
				p.setStatus(u, fake.Gone, false)
			}
		}
		left -= notice
	}
	p.sleep(left)
	for _, u := range ev.upstreams {
		u.Kill()
		p.eachLink(u, func(o *overlay[relay.State]) { o.remove("lost") })
		if p.ctx.Err() == nil {
			p.startCold(u)
		}
	}
}

// replaceUpstreams drains upstreams in waves; a cold one takes the place of each, under another name.
func (p *play) replaceUpstreams(ev *event) {
	f := ev.Fault
	waves := max(1, f.Waves)
	begun := p.rec.Now()
	var all sync.WaitGroup
	for i, u := range ev.upstreams {
		at := begun + f.For.Duration*time.Duration(i*waves/len(ev.upstreams))/time.Duration(waves)
		all.Add(1)
		go func() {
			defer all.Done()
			if p.sleep(at - p.rec.Now()) {
				p.replaceUpstream(u, f)
			}
		}()
	}
	all.Wait()
}

func (p *play) replaceUpstream(u *upstream, f experiment.Fault) {
	p.setStatus(u, fake.Terminating, false)
	if !p.sleep(f.Drain.Duration) {
		return
	}
	p.killUpstream(u)
	p.setStatus(u, fake.Gone, false)
	if !p.sleep(f.Boot.Duration) {
		return
	}
	entry := u.entry
	entry.Name, entry.Status, entry.SinceMs = u.Name+"n", fake.Ready, 0
	fresh, err := p.addUpstream(u.Spec, entry)
	if err != nil {
		p.note(err)
		return
	}
	p.startCold(fresh)
}

func (p *play) disturbDiscovery(ev *event) {
	f := ev.Fault
	var all []*overlay[fake.Mood]
	for _, s := range ev.sidecars {
		all = append(all, s.mood)
	}
	applyDuring(p, f, all, func(m *fake.Mood) {
		switch f.Kind {
		case "late":
			m.Late += f.Delay.Duration
		case "silent":
			m.Silent = true
		case "rewind":
			m.Rewind = true
		case "garbage":
			m.Garbage = true
		case "empty":
			m.Empty = true
		}
	})
}
