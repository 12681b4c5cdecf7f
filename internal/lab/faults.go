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
	insistTimes = 40
	insistEvery = 100 * time.Millisecond
	starvedFor  = 9 * time.Millisecond
	fedFor      = time.Millisecond
)

// befall lets a fault happen, and returns once it is undone.
func (p *play) befall(ev *event) {
	f := ev.Fault
	if f.Of.Kind == "replica" {
		p.befallReplicas(ev)
		return
	}
	if f.To.Kind == "sidecar" {
		during(p, f, p.peerLinksOf(ev), linkChange(f))
		return
	}
	switch f.Kind {
	case "term":
		p.waves(ev, func(s *sidecar) { p.restart(s, f) })
	case "kill":
		p.together(ev, func(s *sidecar) { p.restart(s, f) }, func(u *upstream) { p.crashes(u, f) })
	case "stop":
		p.together(ev, func(s *sidecar) { p.pause(s, f.For.Duration) }, nil)
	case "lie":
		p.together(ev, func(s *sidecar) { p.note(p.lie(s, ev.to, f.For.Duration)) }, nil)
	case "starve":
		p.together(ev, func(s *sidecar) { p.starve(s, f.For.Duration) }, nil)
	case "hup":
		p.together(ev, func(s *sidecar) { p.signal(s, syscall.SIGHUP) }, nil)
	case "ban":
		p.together(ev, func(s *sidecar) { p.ban(s, ev.to, f.For.Duration) }, nil)
	case "cut":
		if f.To.Kind == "replica" {
			during(p, f, p.windowsOf(ev), func(v *fake.View) { v.Silent, v.Reset = f.Mode != "reset", f.Mode == "reset" })
			return
		}
		during(p, ev.Fault, p.linksOf(ev), linkChange(ev.Fault))
	case "delay", "throttle", "chop", "resets":
		during(p, ev.Fault, p.linksOf(ev), linkChange(ev.Fault))
	case "slow", "fail", "hang":
		p.trouble(ev)
	case "choke":
		p.together(ev, nil, (*upstream).Choke)
	case "replace":
		p.replace(ev)
	case "lose":
		p.lose(ev)
	case "late", "silent", "rewind", "garbage", "empty":
		p.moods(ev)
	case "state-full", "state-readonly", "state-torn", "state-flip", "state-gone", "state-old":
		p.together(ev, func(s *sidecar) { p.disk(s, f) }, nil)
	default:
		p.note(fmt.Errorf("fault %s: kind %s is not carried out", f.Name, f.Kind))
	}
}

// together does a fault to all of its parties side by side.
func (p *play) together(ev *event, each func(*sidecar), of func(*upstream)) {
	var all sync.WaitGroup
	for _, s := range ev.sidecars {
		all.Add(1)
		go func() { defer all.Done(); each(s) }()
	}
	for _, u := range ev.ups {
		all.Add(1)
		go func() { defer all.Done(); of(u) }()
	}
	all.Wait()
}

// waves does a fault to its sidecars in so many steps over its time.
func (p *play) waves(ev *event, each func(*sidecar)) {
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
			p.term(s, f.Busy)
		}
		if f.Stays || !p.sleep(f.Down.Duration) {
			return
		}
		if err := p.run(s); err != nil && p.ctx.Err() == nil {
			p.note(fmt.Errorf("fault %s: %w", f.Name, err))
		}
		next := begun + time.Duration((0.5+rng.Float64())*float64(f.Every.Duration)) // not in step with anything
		if f.Every.Duration <= 0 || next >= until || !p.sleep(next-p.rec.Now()) {
			return
		}
	}
}

// crashes kills an upstream's process; with every, again and again as long as the fault lasts.
func (p *play) crashes(u *upstream, f experiment.Fault) {
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
	p.end(u)
	p.silence(u)
	down := f.Down.Duration
	if notice := p.e.Discovery.Notice.Duration; f.Stays || notice < down {
		if !p.sleep(notice) {
			return
		}
		p.tell(u, fake.Gone, false)
		down -= notice
	}
	if !f.Stays && p.sleep(down) {
		p.comeBack(u)
	}
}

// comeBack starts an upstream's process cold, and tells the list.
func (p *play) comeBack(u *upstream) {
	if err := p.start(u, true); err != nil {
		p.note(err)
		return
	}
	p.tell(u, fake.Ready, true)
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
	stop := starvedFor
	for until := starved.Start + duration; p.rec.Now() < until; {
		p.signal(s, syscall.SIGSTOP)
		going := p.sleep(stop)
		from := p.rec.Now()
		p.signal(s, syscall.SIGCONT)
		if !going || !p.sleep(fedFor) {
			return
		}
		stop = (p.rec.Now() - from) * starvedFor / fedFor
	}
}

// ban disables upstreams at a sidecar's door. It binds from the yes on.
func (p *play) ban(s *sidecar, ups []*upstream, duration time.Duration) {
	for _, u := range ups {
		if !p.insist(s, "DISABLE "+u.Name) {
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
		if p.insist(s, "ENABLE "+u.Name) {
			p.rec.Tell(record.Told{At: at, Sidecar: s.name, Upstream: u.Name, Source: record.Operator, Usable: true})
		}
	}
}

// insist makes a call at a sidecar's door until it gets its yes, as an operator would.
func (p *play) insist(s *sidecar, line string) bool {
	var answer string
	var err error
	for range insistTimes {
		if answer, err = p.call(s, line); err == nil && answer == "YES" {
			return true
		}
		if !p.sleep(insistEvery) {
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

// during keeps a fault's change in force on all that it befalls, until its time or the play is over.
func during[T any](p *play, f experiment.Fault, all []*overlay[T], change func(*T)) {
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
		for _, u := range ev.to {
			all = append(all, s.links[u.Name].overlay)
		}
	}
	return all
}

func (p *play) trouble(ev *event) {
	f := ev.Fault
	var all []*overlay[fake.Trouble]
	for _, u := range ev.ups {
		all = append(all, u.trouble)
	}
	during(p, f, all, func(t *fake.Trouble) {
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

// lose silences upstreams as a data centre that is lost does. They come back cold, as their machines lost power.
func (p *play) lose(ev *event) {
	for _, u := range ev.ups {
		p.eachLink(u, func(o *overlay[relay.State]) {
			o.add("lost", func(s *relay.State) { s.SilentForth, s.SilentBack = true, true })
		})
	}
	for _, u := range ev.ups {
		p.silence(u)
	}
	notice := p.e.Discovery.SilentNotice.Duration
	left := ev.Fault.For.Duration
	if notice < left {
		if p.sleep(notice) {
			for _, u := range ev.ups {
				p.tell(u, fake.Gone, false)
			}
		}
		left -= notice
	}
	p.sleep(left)
	for _, u := range ev.ups {
		u.Kill()
		p.eachLink(u, func(o *overlay[relay.State]) { o.remove("lost") })
		if p.ctx.Err() == nil {
			p.comeBack(u)
		}
	}
}

// replace drains upstreams in waves; a cold one takes the place of each, under another name.
func (p *play) replace(ev *event) {
	f := ev.Fault
	waves := max(1, f.Waves)
	begun := p.rec.Now()
	var all sync.WaitGroup
	for i, u := range ev.ups {
		at := begun + f.For.Duration*time.Duration(i*waves/len(ev.ups))/time.Duration(waves)
		all.Add(1)
		go func() {
			defer all.Done()
			if p.sleep(at - p.rec.Now()) {
				p.replaceOne(u, f)
			}
		}()
	}
	all.Wait()
}

func (p *play) replaceOne(u *upstream, f experiment.Fault) {
	p.tell(u, fake.Terminating, false)
	if !p.sleep(f.Drain.Duration) {
		return
	}
	p.end(u)
	p.tell(u, fake.Gone, false)
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
	p.comeBack(fresh)
}

func (p *play) moods(ev *event) {
	f := ev.Fault
	var all []*overlay[fake.Mood]
	for _, s := range ev.sidecars {
		all = append(all, s.mood)
	}
	during(p, f, all, func(m *fake.Mood) {
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
