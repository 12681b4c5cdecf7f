package sidecar

import (
	"context"
	"errors"
	"sync"
	"time"

	"mosslead/balancer"
	"mosslead/internal/registry/api"
)

// Hollow is told what a sidecar without clients hears. Any of it may be nil; none of it may wait. Calls come one at a time from the
// goroutine that follows the list, those of InForce from another.
type Hollow struct {
	// Listed is called once a message of discovery binds: the list's version, and how many entries it has.
	Listed func(index int64, entries int, at time.Time)
	// Changed is called for each entry that a message names, and for those that a whole list does not name any more. Whoever wants
	// it pays for a second table of names.
	Changed func(name, status string, index int64)
	// InForce is called with each document of the service that was taken in, or rejected and why; once it is deleted, the file's settings
	// are in force.
	InForce func(region string, version int64, rejected error, at time.Time)
}

// RunHollow is a sidecar without clients and without upstreams, for plays of many in one process: what hears, keeps and decides is the
// program's own, with its timers. It listens nowhere but where sharing needs it, and leaves alone what belongs to the whole process: the bound
// on memory and processors, signals, the log. It ends with ctx; then its error is nil.
func RunHollow(ctx context.Context, c *Config, h Hollow) error {
	if c.Peers != nil {
		own := *c
		own.Peers = &Peers{Address: c.Peers.Address, Advertise: c.Peers.Advertise, Seeds: c.Peers.Seeds, Zone: c.Peers.Zone, Service: c.Peers.Service}
		c = &own // without requests there is nothing to forward
	}
	running, stop := context.WithCancel(context.Background())
	p := &process{c: c, s: &server{}, h: &handover{}}
	if err := p.assemble(running.Done()); err != nil {
		stop()
		return err
	}
	p.loop.send = func(context.Context, string, *clientRequest, time.Duration) reply {
		return reply{result: balancer.NotSent, err: errors.New("nobody sends through a hollow sidecar")}
	}
	p.watch.report = h.heard(p)
	if p.service != nil && h.InForce != nil {
		p.service.told = func(d api.Document, rejected error) { h.InForce(d.Region, d.Version, rejected, time.Now()) }
	}
	known, _, err := p.begin()
	if err != nil {
		stop()
		return err
	}
	if c.Peers != nil {
		if p.loop.shared, err = share(c, p.up.dir, p.loop.clock, program()); err != nil {
			stop()
			if p.keep != nil {
				p.keep.release(false)
			}
			return err
		}
	}
	p.keepWith()
	var parts sync.WaitGroup
	over := make(chan struct{})
	parts.Go(func() { p.loop.run(known) })
	parts.Go(func() { p.watch.run(running, c.Settings.MustSubscribe) })
	if p.keep != nil {
		parts.Go(p.recall)
		parts.Go(func() { p.lastResort(running) })
	}
	parts.Go(func() { p.keep.run(over) })
	parts.Go(func() { p.service.acknowledge(running, p.watch.source) })
	for ctx.Err() == nil {
		select {
		case <-p.service.news():
			p.settle(p.loop.postNews)
		case <-ctx.Done():
		}
	}
	p.keep.end(over)
	p.loop.shared.close()
	stop()
	parts.Wait()
	p.watch.client.CloseIdleConnections()
	return nil
}

// heard is what the watcher reports to: the loop, and then whoever wants to know.
func (h Hollow) heard(p *process) func(balancer.EndpointUpdate) {
	module, states := p.watch.report, map[string]string{}
	return func(m balancer.EndpointUpdate) {
		module(m)
		if m.Endpoints == nil || m.Kind != balancer.Delta && m.Kind != balancer.FullState { // no message: a watch stands or failed
			return
		}
		index, entries := p.up.dir.size()
		if h.Changed != nil {
			h.changes(m, states, index)
		}
		if h.Listed != nil {
			h.Listed(index, entries, time.Now())
		}
	}
}

// changes tells what a message changes in the entries' states as they were.
func (h Hollow) changes(m balancer.EndpointUpdate, states map[string]string, index int64) {
	words := map[balancer.EndpointState]string{balancer.Active: statusReady, balancer.Draining: statusTerminating, balancer.Removed: statusGone}
	named := map[string]bool{}
	for _, e := range m.Endpoints {
		named[e.Upstream] = true
		if states[e.Upstream] = words[e.State]; e.State == balancer.Removed {
			delete(states, e.Upstream)
		}
		h.Changed(e.Upstream, words[e.State], index)
	}
	if m.Kind != balancer.FullState {
		return
	}
	for name := range states {
		if !named[name] {
			delete(states, name)
			h.Changed(name, statusGone, index)
		}
	}
}
