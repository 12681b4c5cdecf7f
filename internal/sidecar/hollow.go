package sidecar

import (
	"context"
	"errors"
	"sync"
	"time"

	"mosslead/balancer"
	"mosslead/internal/registry/api"
)

// HollowObserver is told what a sidecar without clients receives. Any field may be nil; none may block. Calls
// come one at a time from the goroutine that follows the list, those of OnSettings from another.
type HollowObserver struct {
	// OnList is called once a message of discovery binds: the list's version, and how many entries it has.
	OnList func(index int64, entries int, at time.Time)
	// OnChange is called for each entry that a message names, and for those that a whole list does not name any more. Whoever wants
	// it pays for a second table of names.
	OnChange func(name, status string, index int64)
	// OnSettings is called with each document of the service that was taken in, or rejected and why; once it is deleted, the file's settings
	// are in force.
	OnSettings func(region string, version int64, rejected error, at time.Time)
}

// RunHollow is a sidecar without clients and without upstreams, for plays of many in one process: what hears, keeps and decides is the
// program's own, with its timers. It listens nowhere but where sharing needs it, and leaves alone what belongs to the whole process: the
// bound on memory and processors, signals, the log. It ends with ctx; then its error is nil.
func RunHollow(ctx context.Context, c *Config, h HollowObserver) error {
	if c.Peers != nil {
		own := *c
		own.Peers = &Peers{Address: c.Peers.Address, Advertise: c.Peers.Advertise, Seeds: c.Peers.Seeds, Zone: c.Peers.Zone, Service: c.Peers.Service}
		c = &own // without requests there is nothing to forward
	}
	running, stop := context.WithCancel(context.Background())
	p := &process{config: c, server: &server{}, handover: &handover{}}
	if err := p.assemble(running.Done()); err != nil {
		stop()
		return err
	}
	p.loop.attempt = func(context.Context, string, *clientRequest, time.Duration) attemptReply {
		return attemptReply{result: balancer.NotSent, err: errors.New("nobody sends through a hollow sidecar")}
	}
	p.watch.report = h.wrapReport(p)
	if p.service != nil && h.OnSettings != nil {
		p.service.onJudged = func(d api.Document, rejected error) { h.OnSettings(d.Region, d.Revision, rejected, time.Now()) }
	}
	known, _, err := p.restore()
	if err != nil {
		stop()
		return err
	}
	if c.Peers != nil {
		if p.loop.sharing, err = newSharing(c, p.upstreams.directory, p.loop.clock, program()); err != nil {
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
	parts.Go(func() { p.loop.run(known) })
	parts.Go(func() { p.watch.run(running, c.Settings.MustSubscribe) })
	if p.persister != nil {
		parts.Go(p.restoreSnapshot)
		parts.Go(func() { p.useSuspectList(running) })
	}
	parts.Go(func() { p.persister.run(over) })
	parts.Go(func() { p.service.acknowledge(running, p.watch.source) })
	for ctx.Err() == nil {
		select {
		case <-p.service.pending():
			p.applyDocument(p.loop.enqueueUrgent)
		case <-ctx.Done():
		}
	}
	p.persister.end(over)
	p.loop.sharing.close()
	stop()
	parts.Wait()
	p.watch.client.CloseIdleConnections()
	return nil
}

// wrapReport is what the watcher reports to: the loop, and then whoever wants to know.
func (h HollowObserver) wrapReport(p *process) func(balancer.EndpointUpdate) {
	module, states := p.watch.report, map[string]string{}
	return func(m balancer.EndpointUpdate) {
		module(m)
		if m.Endpoints == nil || m.Kind != balancer.Delta && m.Kind != balancer.FullState { // no message: a watch stands or failed
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

// changes tells what a message changes in the entries' states as they were.
func (h HollowObserver) changes(m balancer.EndpointUpdate, states map[string]string, index int64) {
	fields := map[balancer.EndpointState]string{balancer.Active: statusReady, balancer.Draining: statusTerminating, balancer.Removed: statusRemoved}
	named := map[string]bool{}
	for _, e := range m.Endpoints {
		named[e.Upstream] = true
		if states[e.Upstream] = fields[e.State]; e.State == balancer.Removed {
			delete(states, e.Upstream)
		}
		h.OnChange(e.Upstream, fields[e.State], index)
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
