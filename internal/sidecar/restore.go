package sidecar

import (
	"context"
	"log/slog"
	"time"

	"mosslead/balancer"
	"mosslead/internal/statestore"
)

// suspectListDelay is how long a process waits for discovery before it takes a list that was set aside.
const suspectListDelay = 2 * time.Second

// What a process takes from the disk that the one before it left there, and what it leaves.

// chooseList chooses between the list of the configuration and the one that was kept, and gives the snapshot as it is
// worth now.
func (p *process) chooseList(configured *listing) (first *listing, source string) {
	first, source = configured, p.config.Discovery
	attrs := []slog.Attr{slog.Bool("crashed", p.loaded.Crashed), slog.Int("bans", len(p.loaded.Bans))}
	if k := p.loaded.List; k != nil {
		l, err := parseListing(k.Listing)
		switch {
		case err != nil:
			logWarning(ofState, "persisted endpoint list not usable", err)
		case configured == nil || k.Source == p.config.Discovery && *l.Revision >= *configured.Revision:
			first, source = l, k.Source
			p.cachedList.Store(k)
			attrs = append(attrs, slog.Int("upstreams", len(l.Endpoints)), millis("list_age_ms", since(k.SavedMs)))
		}
	}
	logAttrs(slog.LevelInfo, ofState, "persisted state loaded", attrs...)
	return first, source
}

// restoreSnapshot brings the balancer the snapshot, as it is worth now. It runs beside the start: reading it takes some
// milliseconds, and what counts there, the budgets of upstreams in slow start, is closed until it comes.
func (p *process) restoreSnapshot() {
	k := p.loaded // the notes on reading it are apart from the others
	k.Notes, k.Corruptions = nil, nil
	if err := p.persister.store.LoadSnapshot(&k, time.Now()); err != nil {
		p.persister.recordError(err)
		return
	}
	logLoaded(k)
	if k.Snapshot == nil {
		return
	}
	age := since(k.Snapshot.SavedMs)
	k.Snapshot.Balancer.Age(age, k.Crashed)
	logAttrs(slog.LevelInfo, ofState, "snapshot restored", slog.Int("upstreams", len(k.Snapshot.Balancer.Endpoints)), millis("age_ms", age))
	p.loop.enqueueUrgent(k.Snapshot.Balancer)
}

// logLoaded logs what of the state was not used.
func logLoaded(k statestore.Loaded) {
	for _, d := range k.Corruptions {
		logAttrs(slog.LevelWarn, ofState, "damaged", slog.String("file", d.File), slog.Int64("byte", d.At), slog.Bool("torn", d.Torn), slog.Any("err", d.Err))
	}
	for _, text := range k.Notes {
		logAttrs(slog.LevelWarn, ofState, "not used", slog.String("err", text))
	}
}

// since is the time since a moment of the machine's clock, at least 0.
func since(unixMs int64) time.Duration { return max(0, time.Since(time.UnixMilli(unixMs))) }

// usesCachedList tells whether the list in use is the one from the disk, and how old it is.
func (p *process) usesCachedList() (bool, time.Duration) {
	old := p.cachedList.Load()
	if old == nil || p.listReceived.Load() {
		return false, 0
	}
	return true, since(old.SavedMs)
}

// useSuspectList takes a list that was set aside after a crash loop, if nobody has told another one in time: it was perhaps
// not the list that ended those processes, and without one nothing can be served.
func (p *process) useSuspectList(running context.Context) {
	if p.loaded.SuspectList == nil {
		return
	}
	select {
	case <-time.After(suspectListDelay):
	case <-running.Done():
		return
	}
	l, err := parseListing(p.loaded.SuspectList.Listing)
	if err != nil || !p.upstreams.directory.empty() || p.listReceived.Load() {
		return
	}
	logAttrs(slog.LevelWarn, ofState, "no endpoint list received, using the one that was set aside", slog.Int("upstreams", len(l.Endpoints)))
	p.cachedList.Store(p.loaded.SuspectList)
	known := p.upstreams.directory.apply(l)
	known.Kind = balancer.Cached
	p.loop.enqueueUpdate(known)
}

// connectPersister tells the state persister where what it writes comes from.
func (p *process) connectPersister() {
	if p.persister == nil {
		return
	}
	p.persister.bans = p.upstreams.directory.bans
	p.persister.adoptBan = func(id string) {
		p.upstreams.directory.setBan(id, false)
		go p.loop.enqueueUrgent(banCommand{balancer.Ban{Upstream: id}, make(chan struct{})}) // ends with the loop
	}
	p.persister.list = func() (string, *listing) { // nil: there is none to write
		if !p.listReceived.Load() && p.cachedList.Load() != nil {
			return "", nil // from the disk itself
		}
		l := p.upstreams.directory.full()
		if len(l.Endpoints) == 0 {
			return "", nil
		}
		return p.watch.source(), l
	}
	if p.service != nil {
		p.persister.settings = p.service.persisted
	}
	p.persister.snapshot = func() (balancer.Snapshot, bool) {
		if !p.loop.ready.Load() {
			return balancer.Snapshot{}, false
		}
		return p.loop.snapshot()
	}
}
