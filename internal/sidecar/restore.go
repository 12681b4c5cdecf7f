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

// restore returns the list and the snapshot with which this process starts, from the predecessor or, if there is none, from
// disk, and applies the bans. Without a predecessor, it fails if another process of the sidecar has locked the state
// directory.
func (p *process) restore() (known balancer.EndpointUpdate, snapshot *balancer.Snapshot, err error) {
	initial, source, banned := p.config.Known, p.config.Discovery, []string(nil)
	var settings *statestore.Settings
	if p.handsOver {
		predecessor := p.handover.receiveState()
		if p.handover.other != nil {
			p.setMemory(p.startMemory())
		}
		p.recordRan(predecessor.Ran)
		if list := predecessor.List; list != nil && list.Revision != nil && (initial == nil || *list.Revision >= *initial.Revision) {
			initial = list
		}
		snapshot, banned, settings = predecessor.Snapshot, predecessor.Banned, predecessor.Settings
	}
	if p.persister, p.loaded, err = openState(p.config, p.handover.other == nil); err != nil {
		return known, nil, err
	}
	if p.persister != nil && p.handover.other == nil {
		initial, source = p.chooseList(initial)
		for id := range p.loaded.Bans {
			banned = append(banned, id)
		}
	}
	for _, id := range banned {
		p.upstreams.directory.setBan(id, false)
		p.dispatcher.handle(balancer.Ban{Upstream: id})
	}
	if initial != nil {
		known = p.upstreams.directory.apply(initial)
		p.watcher.revision = 0
		if source == p.config.Discovery { // revisions of another discovery can't be compared with those of this one
			p.watcher.revision = *initial.Revision
		}
	}
	p.restoreDocument(settings)
	known.Kind = balancer.Cached
	return known, snapshot, nil
}

// chooseList chooses between the list of the configuration and the persisted one.
func (p *process) chooseList(configured *listing) (chosen *listing, source string) {
	chosen, source = configured, p.config.Discovery
	attrs := []slog.Attr{slog.Bool("crashed", p.loaded.Crashed), slog.Int("bans", len(p.loaded.Bans))}
	if persisted := p.loaded.List; persisted != nil {
		l, err := parseListing(persisted.Listing)
		switch {
		case err != nil:
			logWarning(componentState, "persisted endpoint list not usable", err)
		case configured == nil || persisted.Source == p.config.Discovery && *l.Revision >= *configured.Revision:
			chosen, source = l, persisted.Source
			p.cachedList.Store(persisted)
			attrs = append(attrs, slog.Int("upstreams", len(l.Endpoints)), millisecondsAttr("list_age_ms", ageOf(persisted.SavedMs)))
		}
	}
	logAttrs(slog.LevelInfo, componentState, "persisted state loaded", attrs...)
	return chosen, source
}

// restoreSnapshot reads the balancer's snapshot, adjusts it for its age and sends it to the dispatcher. It runs concurrently
// with the start, since it takes milliseconds; until then upstreams in slow start get no requests beyond their budgets.
func (p *process) restoreSnapshot() {
	loaded := p.loaded // a copy without the earlier notes, so that only those on this read are logged below
	loaded.Notes, loaded.Corruptions = nil, nil
	if err := p.persister.store.LoadSnapshot(&loaded, time.Now()); err != nil {
		p.persister.recordError(err)
		return
	}
	logLoaded(loaded)
	if loaded.Snapshot == nil {
		return
	}
	age := ageOf(loaded.Snapshot.SavedMs)
	loaded.Snapshot.Balancer.Age(age, loaded.Crashed)
	logAttrs(slog.LevelInfo, componentState, "snapshot restored", slog.Int("upstreams", len(loaded.Snapshot.Balancer.Endpoints)), millisecondsAttr("age_ms", age))
	p.dispatcher.enqueueUrgent(loaded.Snapshot.Balancer)
}

// logLoaded logs which parts of the persisted state were not used.
func logLoaded(loaded statestore.Loaded) {
	for _, damage := range loaded.Corruptions {
		logAttrs(slog.LevelWarn, componentState, "damaged", slog.String("file", damage.File), slog.Int64("byte", damage.At), slog.Bool("torn", damage.Torn), slog.Any("err", damage.Err))
	}
	for _, text := range loaded.Notes {
		logAttrs(slog.LevelWarn, componentState, "persisted state not used", slog.String("err", text))
	}
}

// ageOf returns the time since a Unix time in milliseconds, or 0 if that is in the future.
func ageOf(unixMs int64) time.Duration { return max(0, time.Since(time.UnixMilli(unixMs))) }

// usesCachedList reports whether the list in use is the persisted one, and returns its age.
func (p *process) usesCachedList() (bool, time.Duration) {
	cached := p.cachedList.Load()
	if cached == nil || p.listReceived.Load() {
		return false, 0
	}
	return true, ageOf(cached.SavedMs)
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

// connectPersister sets the functions from which the state persister gets what it writes.
func (p *process) connectPersister() {
	if p.persister == nil {
		return
	}
	p.persister.bans = p.upstreams.directory.bans
	p.persister.adoptBan = func(id string) {
		p.upstreams.directory.setBan(id, false)
		go p.dispatcher.enqueueUrgent(banCommand{balancer.Ban{Upstream: id}, make(chan struct{})}) // returns at the latest once the dispatcher has stopped
	}
	p.persister.list = func() (string, *listing) { // returns a nil list if there is none to write
		if !p.listReceived.Load() && p.cachedList.Load() != nil {
			return "", nil // the list in use was read from the disk, and need not be written
		}
		l := p.upstreams.directory.fullList()
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
