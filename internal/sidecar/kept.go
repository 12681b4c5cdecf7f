package sidecar

import (
	"context"
	"log/slog"
	"time"

	"mosslead/balancer"
	"mosslead/internal/statestore"
)

// suspectAfter is how long a process waits for discovery before it takes a list that was set aside.
const suspectAfter = 2 * time.Second

// What a process takes from the disk that the one before it left there, and what it leaves.

// fromDisk chooses between the list of the configuration and the one that was kept, and gives what was learnt as it is
// worth now.
func (p *process) fromDisk(configured *listing) (first *listing, source string) {
	first, source = configured, p.c.Discovery
	attrs := []slog.Attr{slog.Bool("crashed", p.kept.Crashed), slog.Int("bans", len(p.kept.Bans))}
	if k := p.kept.List; k != nil {
		l, err := parseListing(k.Listing)
		switch {
		case err != nil:
			warn(ofState, "the list that was kept is of no use", err)
		case configured == nil || k.Source == p.c.Discovery && *l.Index >= *configured.Index:
			first, source = l, k.Source
			p.old.Store(k)
			attrs = append(attrs, slog.Int("upstreams", len(l.Endpoints)), millis("list_age_ms", since(k.SavedMs)))
		}
	}
	note(slog.LevelInfo, ofState, "begins with what was kept", attrs...)
	return first, source
}

// recall brings the module what was learnt, as it is worth now. It runs beside the start: reading it takes some
// milliseconds, and what counts there, the budgets of cold upstreams, is closed until it comes.
func (p *process) recall() {
	k := p.kept // the notes on reading it are apart from the others
	k.Notes, k.Damages = nil, nil
	if err := p.keep.store.LoadLearnt(&k, time.Now()); err != nil {
		p.keep.fail(err)
		return
	}
	tellState(k)
	if k.Learnt == nil {
		return
	}
	age := since(k.Learnt.SavedMs)
	k.Learnt.Learnt.Age(age, k.Crashed)
	note(slog.LevelInfo, ofState, "knows what was learnt", slog.Int("upstreams", len(k.Learnt.Learnt.Endpoints)), millis("age_ms", age))
	p.loop.postNews(k.Learnt.Learnt)
}

// tellState logs what of the state was not used.
func tellState(k statestore.Kept) {
	for _, d := range k.Damages {
		note(slog.LevelWarn, ofState, "damaged", slog.String("file", d.File), slog.Int64("byte", d.At), slog.Bool("torn", d.Torn), slog.Any("err", d.Err))
	}
	for _, text := range k.Notes {
		note(slog.LevelWarn, ofState, "not used", slog.String("err", text))
	}
}

// since is the time since a moment of the machine's clock, at least 0.
func since(unixMs int64) time.Duration { return max(0, time.Since(time.UnixMilli(unixMs))) }

// onKept tells whether the list in use is the one from the disk, and how old it is.
func (p *process) onKept() (bool, time.Duration) {
	old := p.old.Load()
	if old == nil || p.fresh.Load() {
		return false, 0
	}
	return true, since(old.SavedMs)
}

// lastResort takes a list that was set aside after a crash loop, if nobody has told another one in time: it was perhaps
// not the list that ended those processes, and without one nothing can be served.
func (p *process) lastResort(running context.Context) {
	if p.kept.Suspect == nil {
		return
	}
	select {
	case <-time.After(suspectAfter):
	case <-running.Done():
		return
	}
	l, err := parseListing(p.kept.Suspect.Listing)
	if err != nil || !p.up.dir.empty() || p.fresh.Load() {
		return
	}
	note(slog.LevelWarn, ofState, "nobody tells a list: the one that was set aside is used", slog.Int("upstreams", len(l.Endpoints)))
	p.old.Store(p.kept.Suspect)
	known := p.up.dir.apply(l)
	known.Kind = balancer.Cached
	p.loop.postList(known)
}

// keepWith tells the keeper where what it writes comes from.
func (p *process) keepWith() {
	if p.keep == nil {
		return
	}
	p.keep.bans = p.up.dir.bans
	p.keep.adopt = func(id string) {
		p.up.dir.setBan(id, false)
		go p.loop.postNews(ban{balancer.Ban{Upstream: id}, make(chan struct{})}) // ends with the loop
	}
	p.keep.list = func() (string, *listing) { // nil: there is none to write
		if !p.fresh.Load() && p.old.Load() != nil {
			return "", nil // from the disk itself
		}
		l := p.up.dir.whole()
		if len(l.Endpoints) == 0 {
			return "", nil
		}
		return p.watch.source(), l
	}
	if p.service != nil {
		p.keep.settings = p.service.kept
	}
	p.keep.learnt = func() (balancer.Snapshot, bool) {
		if !p.loop.started.Load() {
			return balancer.Snapshot{}, false
		}
		return p.loop.learnt()
	}
}
