package sidecar

import (
	"context"
	"log/slog"
	"time"

	"mosslead/balancer"
	"mosslead/internal/statestore"
)

// suspectListDelay is how long a process waits for discovery before it uses a quarantined list.
const suspectListDelay = 2 * time.Second

// restore returns the list and the snapshot that this process starts with, from the predecessor or, if there is none, from
// disk, and applies the bans. It fails if another process of the sidecar has locked the state directory.
func (p *process) restore() (known balancer.EndpointUpdate, snapshot *balancer.Snapshot, err error) {
	first, source, banned := p.config.Known, p.config.Discovery, []string(nil)
	var settings *statestore.Settings
	if p.handsOver {
		before := p.handover.receiveState()
		p.limitMemory(p.handover.other != nil)
		if list := before.List; list != nil && list.Revision != nil && (first == nil || *list.Revision >= *first.Revision) {
			first = list
		}
		snapshot, banned, settings = before.Snapshot, before.Banned, before.Settings
	}
	if p.persister, p.loaded, err = openState(p.config, p.handover.other == nil); err != nil {
		return known, nil, err
	}
	if p.persister != nil && p.handover.other == nil {
		first, source = p.chooseList(first)
		for id := range p.loaded.Bans {
			banned = append(banned, id)
		}
	}
	for _, id := range banned {
		p.upstreams.directory.setBan(id, false)
		p.dispatcher.handle(balancer.Ban{Upstream: id})
	}
	if first != nil {
		known = p.upstreams.directory.apply(first)
		p.watcher.index = 0
		if source == p.config.Discovery { // another discovery's revisions can't be compared
			p.watcher.index = *first.Revision
		}
	}
	p.restoreDocument(settings)
	known.Kind = balancer.Cached
	return known, snapshot, nil
}

// chooseList chooses between the list of the configuration and the persisted one.
func (p *process) chooseList(configured *listing) (first *listing, source string) {
	first, source = configured, p.config.Discovery
	attrs := []slog.Attr{slog.Bool("crashed", p.loaded.Crashed), slog.Int("bans", len(p.loaded.Bans))}
	if k := p.loaded.List; k != nil {
		l, err := parseListing(k.Listing)
		switch {
		case err != nil:
			logWarning(componentState, "persisted endpoint list not usable", err)
		case configured == nil || k.Source == p.config.Discovery && *l.Revision >= *configured.Revision:
			first, source = l, k.Source
			p.cachedList.Store(k)
			attrs = append(attrs, slog.Int("upstreams", len(l.Endpoints)), millisecondsAttr("list_age_ms", since(k.SavedMs)))
		}
	}
	logAttrs(slog.LevelInfo, componentState, "persisted state loaded", attrs...)
	return first, source
}

// restoreSnapshot reads the balancer's snapshot, ages it and hands it to the dispatcher. It runs beside the start, since it
// takes milliseconds; until then upstreams in slow start get no requests beyond their budgets.
func (p *process) restoreSnapshot() {
	k := p.loaded // a copy: the notes on this read are logged on their own
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
	logAttrs(slog.LevelInfo, componentState, "snapshot restored", slog.Int("upstreams", len(k.Snapshot.Balancer.Endpoints)), millisecondsAttr("age_ms", age))
	p.dispatcher.enqueueUrgent(k.Snapshot.Balancer)
}

// logLoaded logs which parts of the state were not used.
func logLoaded(k statestore.Loaded) {
	for _, d := range k.Corruptions {
		logAttrs(slog.LevelWarn, componentState, "damaged", slog.String("file", d.File), slog.Int64("byte", d.At), slog.Bool("torn", d.Torn), slog.Any("err", d.Err))
	}
	for _, text := range k.Notes {
		logAttrs(slog.LevelWarn, componentState, "not used", slog.String("err", text))
	}
}

// since is the time since a moment of the machine's clock, at least 0.
func since(unixMs int64) time.Duration { return max(0, time.Since(time.UnixMilli(unixMs))) }

// usesCachedList reports whether the list in use is the persisted one, and its age.
func (p *process) usesCachedList() (bool, time.Duration) {
	old := p.cachedList.Load()
	if old == nil || p.listReceived.Load() {
		return false, 0
	}
	return true, since(old.SavedMs)
}

// useSuspectList uses a list that was quarantined after a crash loop, if no other list has been received within
// suspectListDelay: the crashes may have had another cause, and without a list nothing can be served.
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
	logAttrs(slog.LevelWarn, componentState, "no endpoint list received, using the one that was set aside", slog.Int("upstreams", len(l.Endpoints)))
	p.cachedList.Store(p.loaded.SuspectList)
	known := p.upstreams.directory.apply(l)
	known.Kind = balancer.Cached
	p.dispatcher.enqueueUpdate(known)
}

// connectPersister connects the state persister with the sources of what it writes.
func (p *process) connectPersister() {
	if p.persister == nil {
		return
	}
	p.persister.bans = p.upstreams.directory.bans
	p.persister.adoptBan = func(id string) {
		p.upstreams.directory.setBan(id, false)
		go p.dispatcher.enqueueUrgent(banCommand{balancer.Ban{Upstream: id}, make(chan struct{})}) // returns once the dispatcher has stopped at the latest
	}
	p.persister.list = func() (string, *listing) { // a nil list: there is none to write
		if !p.listReceived.Load() && p.cachedList.Load() != nil {
			return "", nil // it was read from the disk
		}
		l := p.upstreams.directory.full()
		if len(l.Endpoints) == 0 {
			return "", nil
		}
		return p.watcher.source(), l
	}
	if p.follower != nil {
		p.persister.settings = p.follower.persisted
	}
	p.persister.snapshot = func() (balancer.Snapshot, bool) {
		if !p.dispatcher.ready.Load() {
			return balancer.Snapshot{}, false
		}
		return p.dispatcher.snapshot()
	}
}
