package sidecar

import (
	"context"
	"errors"
	"sync"
	"time"

	"mosslead/balancer"
	"mosslead/internal/registry/api"
)

// HollowObserver observes what a sidecar without clients receives. Any field may be nil, and none may block. Its functions
// are called one at a time by the goroutine that follows the list, OnSettings by another.
type HollowObserver struct {
	// OnList is called once a message of discovery has been applied, with the list's revision and number of entries.
	OnList func(index int64, entries int, at time.Time)
	// OnChange is called for each entry that a message names, and for those that a full list no longer has. It costs a
	// second table of names.
	OnChange func(name, status string, index int64)
	// OnSettings is called with each document of the service that was applied, or rejected with an error. After a deletion
	// the settings of the file are in force.
	OnSettings func(region string, revision int64, rejected error, at time.Time)
}

// RunHollow runs a sidecar without clients and upstreams, for simulations of many in one process: it follows the list, the
// settings and its peers, and stores state, as Run does. It listens only where sharing requires it, and does not change
// process-wide limits, signals or the log. It blocks until ctx ends, and then returns nil.
func RunHollow(ctx context.Context, c *Config, h HollowObserver) error {
	if c.Peers != nil {
		shared := *c
		shared.Peers = &Peers{Address: c.Peers.Address, Advertise: c.Peers.Advertise, Seeds: c.Peers.Seeds, Zone: c.Peers.Zone, Service: c.Peers.Service}
		c = &shared // without requests there is nothing to forward
	}
	running, stop := context.WithCancel(context.Background())
	p := &process{config: c, server: &server{}, handover: &handover{}}
	if err := p.assemble(running.Done()); err != nil {
		stop()
		return err
	}
	p.dispatcher.attempt = func(context.Context, string, *clientRequest, time.Duration) attemptReply {
		return attemptReply{result: balancer.NotSent, err: errors.New("nobody sends through a hollow sidecar")}
	}
	p.watcher.report = h.wrapReport(p)
	if p.follower != nil && h.OnSettings != nil {
		p.follower.onJudged = func(d api.Document, rejected error) { h.OnSettings(d.Region, d.Revision, rejected, time.Now()) }
	}
	known, _, err := p.restore()
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
	over := make(chan struct{})
	parts.Go(func() { p.dispatcher.run(known) })
	parts.Go(func() { p.watcher.run(running, c.Settings.MustSubscribe) })
	if p.persister != nil {
		parts.Go(p.restoreSnapshot)
		parts.Go(func() { p.useSuspectList(running) })
	}
	parts.Go(func() { p.persister.run(over) })
	parts.Go(func() { p.follower.acknowledge(running, p.watcher.source) })
	for ctx.Err() == nil {
		select {
		case <-p.follower.pending():
			p.applyDocument(p.dispatcher.enqueueUrgent)
		case <-ctx.Done():
		}
	}
	p.persister.end(over)
	p.dispatcher.sharing.close()
	stop()
	parts.Wait()
	p.watcher.client.CloseIdleConnections()
	return nil
}

// wrapReport returns the report function of the watcher, which reports to the dispatcher and then to the observer.
func (h HollowObserver) wrapReport(p *process) func(balancer.EndpointUpdate) {
	report, states := p.watcher.report, map[string]string{}
	return func(m balancer.EndpointUpdate) {
		report(m)
		if m.Endpoints == nil || m.Kind != balancer.Delta && m.Kind != balancer.FullState { // not a message: a watch was established or failed
			return
		}
		index, entries := p.upstreams.directory.revision()
		if h.OnChange != nil {
			h.changes(m, states, index)
		}
		if h.OnList != nil {
			h.OnList(index, entries, time.Now())
		}
	}
}

// changes calls OnChange for what a message changes in states.
func (h HollowObserver) changes(m balancer.EndpointUpdate, states map[string]string, index int64) {
	statuses := map[balancer.EndpointState]string{balancer.Active: statusReady, balancer.Draining: statusTerminating, balancer.Removed: statusRemoved}
	named := map[string]bool{}
	for _, e := range m.Endpoints {
		named[e.Upstream] = true
		if states[e.Upstream] = statuses[e.State]; e.State == balancer.Removed {
			delete(states, e.Upstream)
		}
		h.OnChange(e.Upstream, statuses[e.State], index)
	}
	if m.Kind != balancer.FullState {
		return
	}
	for name := range states {
		if !named[name] {
			delete(states, name)
			h.OnChange(name, statusRemoved, index)
		}
	}
}
