package sidecar

import (
	"context"
	"errors"
	"sync"
	"time"

	"mosslead/balancer"
	"mosslead/internal/registry/api"
)

// HollowObserver observes what a hollow sidecar receives: see RunHollow. Any field may be nil, and no function may block. The
// goroutine that follows the list calls the functions one at a time; another goroutine calls OnSettings.
type HollowObserver struct {
	// OnList is called after each message of discovery has been applied, with the list's revision and number of entries.
	OnList func(index int64, entries int, at time.Time)
	// OnChange is called for each entry in a message, and for each entry that a full list no longer contains. If it
	// is set, a second table of names is in memory.
	OnChange func(name, status string, index int64)
	// OnSettings is called with each document of the service that was applied, or rejected with an error. After the deletion
	// of a document the settings of the sidecar's file are in force.
	OnSettings func(region string, revision int64, rejected error, at time.Time)
}

// RunHollow runs a hollow sidecar: one without clients, and without connections to upstreams, for simulations of many sidecars
// in one process. It follows the list, the settings and its peers, and stores state, as Run does. It listens only where sharing
// requires it, and does not change process-wide limits, signals or the log. It blocks until ctx ends, and then returns nil.
func RunHollow(ctx context.Context, c *Config, o HollowObserver) error {
	if c.Peers != nil {
		shared := *c
		shared.Peers = &Peers{Address: c.Peers.Address, Advertise: c.Peers.Advertise, Seeds: c.Peers.Seeds, Zone: c.Peers.Zone, Service: c.Peers.Service}
		c = &shared // without Forward: there are no requests to forward
	}
	running, stop := context.WithCancel(context.Background())
	p := &process{config: c, server: &server{}, handover: &handover{}}
	if err := p.assemble(running.Done()); err != nil {
		stop()
		return err
	}
	p.dispatcher.attempt = func(context.Context, string, *clientRequest, time.Duration) attemptReply {
		return attemptReply{result: balancer.NotSent, err: errors.New("a hollow sidecar sends no requests")}
	}
	p.watcher.report = o.wrapReport(p)
	if p.follower != nil && o.OnSettings != nil {
		p.follower.onOutcome = func(d api.Document, rejected error) { o.OnSettings(d.Region, d.Revision, rejected, time.Now()) }
	}
	list, _, err := p.restore()
	if err != nil {
		stop()
		return err
	}
	if c.Peers != nil {
		if p.dispatcher.sharing, err = newSharing(c, p.upstreams.directory, p.dispatcher.clock, programVersion()); err != nil {
			stop()
			if p.persister != nil {
				p.persister.release(false)
			}
			return err
		}
	}
	p.connectPersister()
	var parts sync.WaitGroup
	stopPersister := make(chan struct{})
	parts.Go(func() { p.dispatcher.run(list) })
	parts.Go(func() { p.watcher.run(running, c.Settings.MustSubscribe) })
	if p.persister != nil {
		parts.Go(p.restoreSnapshot)
		parts.Go(func() { p.useSuspectList(running) })
	}
	parts.Go(func() { p.persister.run(stopPersister) })
	parts.Go(func() { p.follower.acknowledge(running, p.watcher.source) })
	for ctx.Err() == nil {
		select {
		case <-p.follower.pending():
			p.applyDocument(p.dispatcher.enqueueUrgent)
		case <-ctx.Done():
		}
	}
	p.persister.stopAndWait(stopPersister)
	p.dispatcher.sharing.close()
	stop()
	parts.Wait()
	p.watcher.client.CloseIdleConnections()
	return nil
}

// wrapReport returns a report function for the watcher, which reports to the dispatcher and then to the observer.
func (o HollowObserver) wrapReport(p *process) func(balancer.EndpointUpdate) {
	report, states := p.watcher.report, map[string]string{}
	return func(m balancer.EndpointUpdate) {
		report(m)
		if m.Endpoints == nil || m.Kind != balancer.Delta && m.Kind != balancer.FullState { // a report that a watch was established or has failed, not a message of discovery
			return
		}
		index, entries := p.upstreams.directory.revision()
		if o.OnChange != nil {
			o.reportChanges(m, states, index)
		}
		if o.OnList != nil {
			o.OnList(index, entries, time.Now())
		}
	}
}

// reportChanges calls OnChange for each entry in a message and for each that a full list no longer contains, and updates
// states, which holds the status of each listed entry.
func (o HollowObserver) reportChanges(m balancer.EndpointUpdate, states map[string]string, index int64) {
	statuses := map[balancer.EndpointState]string{balancer.Active: statusReady, balancer.Draining: statusTerminating, balancer.Removed: statusRemoved}
	named := map[string]bool{}
	for _, e := range m.Endpoints {
		named[e.Upstream] = true
		if states[e.Upstream] = statuses[e.State]; e.State == balancer.Removed {
			delete(states, e.Upstream)
		}
		o.OnChange(e.Upstream, statuses[e.State], index)
	}
	if m.Kind != balancer.FullState {
		return
	}
	for name := range states {
		if !named[name] {
			delete(states, name)
			o.OnChange(name, statusRemoved, index)
		}
	}
}
