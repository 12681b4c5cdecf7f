package sidecar

import (
	"fmt"
	"maps"
	"net"
	"slices"

	"mosslead/balancer"
)

// newProcess assembles the parts of a process that serves clients, and starts none of them. admin is set if the process has
// an operators' port. tmp is the directory for the sockets of hand-overs, "" if there are no hand-overs.
func newProcess(c *Config, listener net.Listener, admin bool, tmp string, stop <-chan struct{}) (*process, error) {
	reserved := reservedSockets(c, admin, tmp != "")
	if required := reserved + 2*minConns; c.Limits.Sockets < required {
		return nil, fmt.Errorf("limits: sockets: %d is under %d, which is what this configuration needs", c.Limits.Sockets, required)
	}
	p := &process{config: c, maxConns: (c.Limits.Sockets - reserved) / 2, handsOver: tmp != "",
		memoryLimit: int64(c.Limits.MemoryMB * (1 << 20))}
	if err := p.assemble(stop); err != nil {
		return nil, err
	}
	pool, d := p.upstreams, p.dispatcher
	d.attempt, d.connectionStats = pool.attempt, pool.connectionStats
	classes := d.classes
	pool.onDispatched = d.stats.countDispatched
	if admin {
		d.onEjected = func(ejected []string) { d.stats.setEndpoints(pool.directory.countUnavailable(ejected)) }
	}
	idle, err := newIdleDetector()
	if err != nil { // starts then wait only for the goroutines that are ready
		logWarning(componentClients, "idle detection not available", err)
	}
	p.starts = newStartQueue(idle)
	p.server = &server{clock: d.clock, post: d.enqueue, stop: stop, failures: d.failures, stats: d.stats, memory: pool.memory, readDelay: &d.readDelay, answerDelay: &d.answerDelay, overdue: newLimitedLog(maxFailureLines), recent: d.recent, starts: p.starts,
		ready: p.ready, hasEndpoints: func() bool { return !pool.directory.empty() }}
	p.server.classes.Store(&classes)
	p.conns = newClientConns(listener, p.maxConns, pool.memory)
	p.conns.useStartQueue(p.starts)
	pool.memory.reclaim, pool.memory.onRoom = pool.reclaim, p.conns.changed.Broadcast
	d.accountStats, d.startStats = pool.memory.stats, p.starts.attr
	p.handover = &handover{dir: tmp, predecessorStopped: make(chan struct{}), closedCh: make(chan struct{}), ran: make(chan uint64, maxRelayedIDs),
		shareMemory: p.shareMemory, state: p.handoverState, applyBan: p.applyRelayedBan, applyRan: p.recordRan,
		stopAccepting: p.yield, resumeAccepting: p.resume, limitConns: p.limitToRemainder,
		ownUse: func() connectionUse { return connectionUse{p.conns.count(), pool.count(), p.yieldMemory()} }}
	d.onRun = p.handover.relayRan
	p.shareMemory(false)
	pool.memory.setConnections(p.maxConns)
	return p, nil
}

// reservedSockets returns the number of file descriptors that a configuration needs beside those for clients and upstreams.
func reservedSockets(c *Config, admin, handsOver bool) int {
	n := fixedSockets
	if admin {
		n += maxAdminConns + 2 // the listener, and a new connection while an older one is evicted
	}
	if c.State != "" {
		n += stateSockets
	}
	if c.Service != "" {
		n += ackSockets
	}
	if c.Peers != nil {
		n += gossipSockets
		if c.Peers.Forward != "" {
			n += maxConnsFromPeers + maxConnsToPeers
		}
	}
	if handsOver {
		n *= 2 // the successor runs beside this process and needs as many
	}
	return n
}

// assemble assembles the parts that make decisions and follow discovery, which a process without clients has as well. It
// starts none of them.
func (p *process) assemble(stop <-chan struct{}) error {
	c := p.config
	b, err := balancer.New(c.Settings.Settings, c.Seed)
	if err != nil {
		return err
	}
	clk := newClock()
	pool := newUpstreamPool(c, clk, p.maxConns)
	d := newDispatcher(b, clk, stop)
	w := newWatcher(c, pool.directory, func(m balancer.EndpointUpdate) {
		if m.Kind == balancer.Delta || m.Kind == balancer.FullState {
			p.listReceived.Store(true)
		}
		d.enqueueUpdate(m)
	})
	d.subscribe, d.zone = w.subscribe, pool.directory.zone
	d.classes = classTable(c.Settings.Settings)
	d.stats.addClasses(slices.Collect(maps.Keys(d.classes)))
	p.upstreams, p.dispatcher, p.watcher, p.follower = pool, d, w, newSettingsFollower(c)
	w.settings = p.follower
	return nil
}

// ready reports whether the process is ready for clients: it accepts them, the balancer has the last known list, and an
// endpoint is ready. It does not wait for discovery, since the last known list is used while discovery is down, nor for the
// snapshot, which only improves decisions. Without an endpoint it is ready after readyWithoutListAfter: requests then wait
// in the balancer for a list until just before their deadlines, as discovery may return at any moment.
func (p *process) ready() bool {
	return p.accepting.Load() && p.dispatcher.ready.Load() && (!p.upstreams.directory.empty() || p.dispatcher.clock.now()-clockStart >= readyWithoutListAfter)
}

// recordRan records unsafe requests that may have run at the other process of an upgrade, by the hashes of their ids.
func (p *process) recordRan(hashes []uint64) {
	for _, hash := range hashes {
		p.dispatcher.recent.add(p.dispatcher.clock.now(), hash)
	}
}

// handoverState returns the state for a successor.
func (p *process) handoverState() handoverState {
	s := handoverState{Ran: p.dispatcher.recent.hashes(), List: p.upstreams.directory.fullList(), Banned: p.upstreams.directory.bans()}
	if p.follower != nil {
		s.Settings, _ = p.follower.persisted()
	}
	if snapshot, ok := p.dispatcher.snapshot(); ok { // otherwise the successor starts without a snapshot
		s.Snapshot = &snapshot
	}
	return s
}

// limitToRemainder limits memory and connections to what another process beside this one does not use. others is nil if
// there is no other process.
func (p *process) limitToRemainder(others *connectionUse) {
	switch {
	case others == nil:
		p.setMemory(p.memoryLimit)
		others = &connectionUse{}
	case others.Memory == 0: // an earlier version, which does not state it
		p.setMemory(p.memoryLimit / 2)
	default:
		p.setMemory(p.memoryLimit - others.Memory)
	}
	p.limitClients(p.maxConns - others.Clients)
	p.upstreams.limit(p.maxConns - others.Upstreams)
}

// limitClients sets the limit of clients' connections.
func (p *process) limitClients(n int) {
	p.conns.setLimit(n)
	p.upstreams.memory.setConnections(n)
}

// yield stops accepting clients and writing state, because a successor takes over.
func (p *process) yield() {
	p.server.stopping.Store(true)
	p.conns.pause(true)
	p.conns.lingering.Store(true)
	p.conns.closeIdle(closableAfter)
	p.upstreams.setRetention(false, 0)
	p.persister.setWriting(false)
}

// resume accepts clients and writes state again, unless the process is draining.
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
