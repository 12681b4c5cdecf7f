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

// inject carries out a fault, and returns once it is undone.
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
		p.note(fmt.Errorf("fault %s: unknown kind %s", f.Name, f.Kind))
	}
}

// injectAll calls a function concurrently for each sidecar and each upstream of the event.
func (p *play) injectAll(ev *event, onSidecar func(*sidecar), onUpstream func(*upstream)) {
	var wg sync.WaitGroup
	for _, s := range ev.sidecars {
		wg.Add(1)
		go func() { defer wg.Done(); onSidecar(s) }()
	}
	for _, u := range ev.upstreams {
		wg.Add(1)
		go func() { defer wg.Done(); onUpstream(u) }()
	}
	wg.Wait()
}

// injectInSteps calls a function for the sidecars of the event, in as many steps over the fault's duration as it has
// waves.
func (p *play) injectInSteps(ev *event, onSidecar func(*sidecar)) {
	f := ev.Fault
	steps := max(1, f.Waves)
	begun := p.rec.Now()
	var wg sync.WaitGroup
	for i, s := range ev.sidecars {
		at := begun + f.For.Duration*time.Duration(i*steps/len(ev.sidecars))/time.Duration(steps)
		wg.Go(func() {
			if p.sleep(at - p.rec.Now()) {
				onSidecar(s)
			}
		})
	}
	wg.Wait()
}

// restart ends a sidecar's process, by SIGKILL or SIGTERM, and starts it again after the fault's time down. A fault
// with 'every' repeats this as long as it lasts.
func (p *play) restart(s *sidecar, f experiment.Fault) {
	end := p.rec.Now() + f.For.Duration
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
		next := begun + time.Duration((0.5+rng.Float64())*float64(f.Every.Duration)) // random, so that it is in step with nothing periodic
		if f.Every.Duration <= 0 || next >= end || !p.sleep(next-p.rec.Now()) {
			return
		}
	}
}

// crashRepeatedly kills an upstream's process. A fault with 'every' repeats this as long as it lasts.
func (p *play) crashRepeatedly(u *upstream, f experiment.Fault) {
	for end := p.rec.Now() + f.For.Duration; ; {
		next := p.rec.Now() + f.Every.Duration
		p.crash(u, f)
		if f.Every.Duration <= 0 || f.Stays || next >= end || !p.sleep(next-p.rec.Now()) {
			return
		}
	}
}

// crash kills an upstream's process. Discovery notices after its delay, and the upstream starts again cold after the
// fault's time down.
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

// startCold starts an upstream's process cold and reports it ready to the list.
func (p *play) startCold(u *upstream) {
	if err := p.startUpstream(u, true); err != nil {
		p.note(err)
		return
	}
	p.setStatus(u, fake.Ready, true)
}

// pause stops a sidecar's process for a time, by SIGSTOP and SIGCONT.
func (p *play) pause(s *sidecar, duration time.Duration) {
	paused := &record.Life{Party: s.name, Paused: true, Start: p.rec.Now()}
	p.rec.Life(paused)
	p.signal(s, syscall.SIGSTOP)
	p.sleep(duration)
	p.signal(s, syscall.SIGCONT)
	p.rec.Change(func() { paused.End = p.rec.Now() })
}

// starve gives a sidecar's process a tenth of the time: 1 ms in 10. If the laboratory itself wakes late, so that the
// process runs for longer, the next stop is longer in proportion.
func (p *play) starve(s *sidecar, duration time.Duration) {
	starved := &record.Life{Party: s.name, Paused: true, Start: p.rec.Now()}
	p.rec.Life(starved)
	defer p.rec.Change(func() { starved.End = p.rec.Now() })
	stop := starveStopped
	for end := starved.Start + duration; p.rec.Now() < end; {
		p.signal(s, syscall.SIGSTOP)
		ok := p.sleep(stop)
		resumed := p.rec.Now()
		p.signal(s, syscall.SIGCONT)
		if !ok || !p.sleep(starveRunning) {
			return
		}
		stop = (p.rec.Now() - resumed) * starveStopped / starveRunning
	}
}

// ban disables upstreams at a sidecar's operators' port. A ban is in force once the answer is YES.
func (p *play) ban(s *sidecar, upstreams []*upstream, duration time.Duration) {
	for _, u := range upstreams {
		if !p.callUntilYes(s, "DISABLE "+u.Name) {
			continue
		}
		p.rec.Tell(record.Told{At: p.rec.Now(), Sidecar: s.name, Upstream: u.Name, Source: record.Operator})
	}
	if duration <= 0 {
		return // the ban stays
	}
	p.sleep(duration)
	for _, u := range upstreams {
		at := p.rec.Now() // before the call: the sidecar may use the upstream as soon as it answers YES
		if p.callUntilYes(s, "ENABLE "+u.Name) {
			p.rec.Tell(record.Told{At: at, Sidecar: s.name, Upstream: u.Name, Source: record.Operator, Usable: true})
		}
	}
}

// callUntilYes repeats a call at a sidecar's operators' port until the answer is YES, as an operator would, and
// reports whether that came.
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

// linkChange returns the change that a fault makes to the state of a link.
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

// applyDuring keeps a fault's change in force on all overlays until the fault or the play ends.
func applyDuring[T any](p *play, f experiment.Fault, overlays []*overlay[T], change func(*T)) {
	for _, o := range overlays {
		o.add(f.Name, change)
	}
	p.sleep(f.For.Duration)
	for _, o := range overlays {
		o.remove(f.Name)
	}
}

// linksOf returns the links from the event's sidecars to the upstreams in 'to'.
func (p *play) linksOf(ev *event) (links []*overlay[relay.State]) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range ev.sidecars {
		for _, u := range ev.toUpstreams {
			links = append(links, s.links[u.Name].overlay)
		}
	}
	return links
}

// disturbUpstreams makes upstreams slow, failing or hanging.
func (p *play) disturbUpstreams(ev *event) {
	f := ev.Fault
	var overlays []*overlay[fake.Trouble]
	for _, u := range ev.upstreams {
		overlays = append(overlays, u.trouble)
	}
	applyDuring(p, f, overlays, func(t *fake.Trouble) {
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

// loseUpstreams silences upstreams as the loss of a data centre does. They start again cold, because their machines
// lost power.
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
	remaining := ev.Fault.For.Duration
	if notice < remaining {
		if p.sleep(notice) {
			for _, u := range ev.upstreams {
				p.setStatus(u, fake.Gone, false)
			}
		}
		remaining -= notice
	}
	p.sleep(remaining)
	for _, u := range ev.upstreams {
		u.Kill()
		p.eachLink(u, func(o *overlay[relay.State]) { o.remove("lost") })
		if p.ctx.Err() == nil {
			p.startCold(u)
		}
	}
}

// replaceUpstreams drains upstreams in waves and starts a cold one under another name in place of each.
func (p *play) replaceUpstreams(ev *event) {
	f := ev.Fault
	waves := max(1, f.Waves)
	begun := p.rec.Now()
	var wg sync.WaitGroup
	for i, u := range ev.upstreams {
		at := begun + f.For.Duration*time.Duration(i*waves/len(ev.upstreams))/time.Duration(waves)
		wg.Add(1)
		go func() {
			defer wg.Done()
			if p.sleep(at - p.rec.Now()) {
				p.replaceUpstream(u, f)
			}
		}()
	}
	wg.Wait()
}

// replaceUpstream drains one upstream, ends it and starts its cold successor.
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
	successor, err := p.addUpstream(u.Spec, entry)
	if err != nil {
		p.note(err)
		return
	}
	p.startCold(successor)
}

// disturbDiscovery makes the discovery of sidecars late, silent or wrong.
func (p *play) disturbDiscovery(ev *event) {
	f := ev.Fault
	var overlays []*overlay[fake.Mood]
	for _, s := range ev.sidecars {
		overlays = append(overlays, s.mood)
	}
	applyDuring(p, f, overlays, func(m *fake.Mood) {
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
