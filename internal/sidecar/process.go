package sidecar

import (
	"fmt"
	"maps"
	"net"
	"runtime/debug"
	"slices"

	"mosslead/balancer"
)

// newProcess assembles the parts of a process that serves clients; nothing runs yet. admin tells whether it has an
// operators' port, tmp is the directory of hand-overs, "" for none.
func newProcess(c *Config, listener net.Listener, admin bool, tmp string, stop <-chan struct{}) (*process, error) {
	reserved := reservedSockets(c, admin, tmp != "")
	if atLeast := reserved + 2*minConns; c.Limits.Sockets < atLeast {
		return nil, fmt.Errorf("limits: sockets: %d is under %d, which is what this configuration needs", c.Limits.Sockets, atLeast)
	}
	p := &process{config: c, maxConns: (c.Limits.Sockets - reserved) / 2, handsOver: tmp != "",
		maxHeapBytes: c.Limits.MemoryMB * heapFraction * (1 << 20)}
	if err := p.assemble(stop); err != nil {
		return nil, err
	}
	up, l := p.upstreams, p.dispatcher
	l.attempt, l.connectionStats = up.attempt, up.connectionStats
	classes := l.classes
	up.dispatched = l.stats.countDispatched
	if admin {
		l.onEjected = func(ejected []string) { l.stats.setEndpoints(up.directory.countUnavailable(ejected)) }
	}
	p.server = &server{clock: l.clock, post: l.enqueue, stop: stop, failures: l.failures, stats: l.stats, budget: up.budget,
		ready: p.ready, hasEndpoints: func() bool { return !up.directory.empty() }}
	p.server.classes.Store(&classes)
	p.conns = newClientConns(listener, p.maxConns)
	p.handover = &handover{dir: tmp, yielded: make(chan struct{}), closedCh: make(chan struct{}), halveMemory: p.limitMemory, state: p.handoverState, ban: p.banned,
		yield: p.yield, resume: p.resume, limitBeside: p.shareLimits,
		use: func() connectionUse { return connectionUse{p.conns.count(), up.count()} }}
	p.limitMemory(false)
	return p, nil
}

// reservedSockets returns how many file descriptors a configuration needs beside those of clients and upstreams.
func reservedSockets(c *Config, admin, handsOver bool) int {
	n := fixedSockets
	if admin {
		n += maxAdminConns + 2 // the listener, and a caller that replaces another
	}
	if c.State != "" {
		n += stateSockets
	}
	if c.Service != "" {
		n += ackSockets
	}
	if c.Peers != nil {
		n += peerSockets
		if c.Peers.Forward != "" {
			n += forwardIn + forwardOut
		}
	}
	if handsOver {
		n *= 2 // the successor starts beside this process
	}
	return n
}

// assemble assembles the parts that decide and that follow discovery, which a process without clients has as well; nothing
// runs yet.
func (p *process) assemble(stop <-chan struct{}) error {
	c := p.config
	b, err := balancer.New(c.Settings.Settings, c.Seed)
	if err != nil {
		return err
	}
	clk := newClock()
	up := newUpstreamPool(c, clk, p.maxConns)
	l := newDispatcher(b, clk, stop)
	w := newWatcher(c, up.directory, func(m balancer.EndpointUpdate) {
		if m.Kind == balancer.Delta || m.Kind == balancer.FullState {
			p.listReceived.Store(true)
		}
		l.enqueueUpdate(m)
	})
	l.subscribe, l.zone = w.subscribe, up.directory.zone
	l.classes = classTable(c.Settings.Settings)
	l.stats.addClasses(slices.Collect(maps.Keys(l.classes)))
	p.upstreams, p.dispatcher, p.watcher, p.follower = up, l, w, newSettingsFollower(c)
	w.service = p.follower
	return nil
}

// ready reports whether the process is ready for clients: it accepts them, the balancer has the last known list, and an
// endpoint is ready. It does not wait for discovery, since the last known list serves while that is down, nor for the
// snapshot, which only improves decisions. Without an endpoint it is ready after readyWithoutListAfter: requests then wait
// in the balancer for a list until just before their deadlines, as discovery may return at any moment.
func (p *process) ready() bool {
	return p.accepting.Load() && p.dispatcher.ready.Load() && (!p.upstreams.directory.empty() || p.dispatcher.clock.now()-clockStart >= readyWithoutListAfter)
}

// limitMemory limits the heap, to half while two processes share the limit.
func (p *process) limitMemory(shared bool) {
	limit := p.maxHeapBytes
	if shared {
		limit /= 2
	}
	debug.SetMemoryLimit(int64(limit))
}

// handoverState returns the state for a successor.
func (p *process) handoverState() handoverState {
	s := handoverState{List: p.upstreams.directory.full(), Banned: p.upstreams.directory.bans()}
	if p.follower != nil {
		s.Settings, _ = p.follower.persisted()
	}
	if snapshot, ok := p.dispatcher.snapshot(); ok { // else the successor starts without it
		s.Snapshot = &snapshot
	}
	return s
}

// shareLimits sets the limits of connections to what the other process leaves; nil: there is none.
func (p *process) shareLimits(others *connectionUse) {
	p.limitMemory(others != nil)
	if others == nil {
		others = &connectionUse{}
	}
	p.conns.limit(p.maxConns - others.Clients)
	p.upstreams.limit(p.maxConns - others.Upstreams)
}

// yield stops accepting clients, for a successor that does.
func (p *process) yield() {
	p.server.stopping.Store(true)
	p.conns.pause(true)
	p.conns.lingering.Store(true)
	p.conns.endIdle(closableAfter)
	p.upstreams.setRetention(false, 0)
	p.persister.setWriting(false)
}

// resume accepts clients again, unless the process is draining.
func (p *process) resume() {
	if p.draining.Load() {
		return
	}
	p.server.stopping.Store(false)
	p.conns.lingering.Store(false)
	p.persister.setWriting(true)
	p.upstreams.setRetention(true, p.maxConns)
	p.conns.pause(false)
}
