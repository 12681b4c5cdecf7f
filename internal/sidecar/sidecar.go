// Package sidecar runs package balancer on real sockets: clients on one side, upstreams and discovery on the
// other. It makes no decisions; what it adds is I/O within the configured limits.
//
// The way of a request: clientlistener.go accepts its connection, clientconn.go and framing.go follow what is
// read from it, requestparser.go checks the request, requesthandler.go hands it to dispatcher.go, whose
// goroutine owns the Balancer, and upstreampool.go and exchange.go carry out its attempts; server.go writes
// the answer. The way of the endpoint list: watcher.go receives it, endpointdirectory.go stores it, and the
// dispatcher passes it to the Balancer.
//
// sidecar.go starts, reloads and stops the parts. handover.go passes clients to the next process of an
// upgrade, persister.go and restore.go write and read what outlives the process, admin.go is the operators'
// port, settingsfollower.go follows the settings of a service, and sharing.go with breakers.go,
// leaderships.go, forwarder.go and pressure.go is what sidecars do together.
package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"mosslead/balancer"
	"mosslead/internal/statestore"
)

const (
	fixedSockets = 32   // descriptors that are neither a client's nor an upstream's
	heapFraction = 0.75 // of the memory limit that the heap may use
	// A peer that sends no complete request is closed this long after it connected: it is owed an answer or a
	// close within 3 s, and a connection without a request may be closed from 2 s on.
	requestTimeout    = 2500 * time.Millisecond
	clientIdleTimeout = 2 * time.Minute
	closableAfter     = 2 * time.Second      // a connection may be closed if no request came on it for this long
	startPollInterval = 5 * time.Millisecond // how often a new process checks whether it could accept clients
	// readyWithoutListAfter is how long a process without a usable list reports that it is not ready. A call to
	// discovery that hangs has another beside it after 1.25 s and one in its place after 2.5 s; whoever could
	// answer has had three. Nine in ten processes are to be ready within 10 s, also if discovery is down for
	// longer.
	readyWithoutListAfter = 3 * time.Second
	// to clients, and as many to upstreams: one that a request holds, and one for whoever comes beside it
	minConns = 2
)

// Reload is a configuration that was read again, or why it can't be used.
type Reload struct {
	Config *Config
	Err    error
}

// Run serves until ctx ends, then finishes what it has accepted. It blocks until then. Of a configuration
// from reloads it takes over the settings and the address of discovery; the rest is for the next start.
func Run(ctx context.Context, c *Config, reloads <-chan Reload) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Limits.Cores))))
	if c.State != "" {
		signal.Ignore(syscall.SIGXFSZ) // a bound on files is an error of the write, and no reason to end
	}
	listener, err := passedListener()
	if err != nil {
		return err
	}
	tmp := ""
	if listener != nil {
		tmp = os.TempDir()
	} else if listener, err = net.Listen("tcp", c.Listen); err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	var ops net.Listener
	if c.Ops != "" {
		if ops, err = net.Listen("tcp", c.Ops); err != nil {
			_ = listener.Close()
			return fmt.Errorf("listening for operators: %w", err)
		}
	}
	return serve(ctx, c, listener, ops, tmp, reloads)
}

// process is one sidecar process: its parts, and what it shares with the other process of an upgrade.
type process struct {
	config    *Config // in use; reload changes it
	upstreams *upstreamPool
	loop      *dispatcher
	watch     *watcher
	server    *server
	conns     *clientConns
	handover  *handover
	// service is whose settings are followed; nil: the file's are in force.
	service      *settingsFollower
	persister    *statePersister                 // nil: nothing outlives the process
	loaded       statestore.Loaded               // persisted state that it begins with
	cachedList   atomic.Pointer[statestore.List] // the list from disk, if one is used
	maxConns     int                             // connections to clients, and as many to upstreams
	handsOver    bool
	maxHeapBytes float64     // that it may use alone
	listReceived atomic.Bool // since the start
	// accepting says that clients are accepted: at once, or once the predecessor has yielded.
	accepting atomic.Bool
	draining  atomic.Bool // SIGTERM has come
}

// serve owns both listeners; ops may be nil. With tmp, the clients' listener is shared with the predecessor
// and the successor, which are found there.
func serve(ctx context.Context, c *Config, listener, ops net.Listener, tmp string, reloads <-chan Reload) error {
	defer func() { _ = listener.Close() }()
	if ops != nil {
		defer func() { _ = ops.Close() }()
	}
	running, stop := context.WithCancel(context.Background())
	defer stop()
	p, err := newProcess(c, listener, ops != nil, tmp, running.Done())
	if err != nil {
		return err
	}
	known, snapshot, err := p.restore()
	if err != nil {
		return err
	}
	waits := p.handover.other != nil
	if waits {
		p.conns.pause(true)
	}
	if snapshot != nil {
		p.loop.enqueueUrgent(*snapshot) // holds more than one
	}
	if c.Peers != nil {
		if p.loop.sharing, err = newSharing(c, p.upstreams.directory, p.loop.clock, program()); err != nil {
			return err
		}
		defer p.loop.sharing.close()
	}
	go p.loop.run(known)
	go p.watch.run(running, c.Settings.MustSubscribe)
	p.handover.join()
	defer p.handover.close()
	defer p.startPersister(running, !waits)()
	if p.service != nil {
		p.service.muted = p.server.stopping.Load // the other process of an upgrade speaks
		go p.service.acknowledge(running, p.watch.source)
	}
	if ops != nil {
		admin := p.newAdminServer(ops)
		go admin.run()
		defer admin.close()
	}
	srv := p.newHTTPServer()
	p.loop.sharing.startForwarding(p)
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(p.conns) }()
	go p.startAccepting(running, waits)
	for ctx.Err() == nil {
		select {
		case err := <-ended:
			return fmt.Errorf("serving: %w", err)
		case r := <-reloads:
			p.reload(r)
		case <-p.service.pending():
			p.applyDocument(p.loop.enqueueUrgent)
		case <-ctx.Done():
		}
	}
	return p.drain(srv)
}

// startPersister begins to write what is to outlive the process, and with first, where there is no process before, brings
// in what was learned before. stop ends the writing, and waits until it has.
func (p *process) startPersister(running context.Context, first bool) (stop func()) {
	over := make(chan struct{})
	p.connectPersister()
	if p.persister != nil && first {
		go p.restoreSnapshot()
		go p.useSuspectList(running)
	}
	go p.persister.run(over)
	return func() { p.persister.end(over) }
}

// newAdminServer is the operators' port of this process.
func (p *process) newAdminServer(listener net.Listener) *adminServer {
	d := newAdminServer(listener)
	d.ready = func() bool { return p.server.ready() && !p.server.stopping.Load() }
	d.stats = func() string {
		now := p.loop.stats.snapshot()
		return now.lines() + p.persister.lines(p.usesCachedList()) + p.loop.sharing.lines() + p.service.lines(p.upstreams.directory)
	}
	d.peers = p.loop.sharing.describe
	d.ban = p.ban
	return d
}

// newHTTPServer serves the clients' connections.
func (p *process) newHTTPServer() *http.Server {
	return &http.Server{Handler: p.server, ReadHeaderTimeout: requestTimeout, IdleTimeout: clientIdleTimeout,
		MaxHeaderBytes: maxHeader, DisableGeneralOptionsHandler: true, ConnState: p.conns.state,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		}}
}

// newProcess assembles the parts; nothing runs yet.
func newProcess(c *Config, listener net.Listener, door bool, tmp string, stop <-chan struct{}) (*process, error) {
	own := fixedSockets
	if door {
		own += maxAdminConns + 2 // the listener, and the caller that another is evicted to
	}
	if c.State != "" {
		own += stateSockets
	}
	if c.Service != "" {
		own += ackSockets
	}
	if c.Peers != nil {
		own += peerSockets
		if c.Peers.Forward != "" {
			own += forwardIn + forwardOut
		}
	}
	if tmp != "" {
		own *= 2 // the next process begins beside this one
	}
	if atLeast := own + 2*minConns; c.Limits.Sockets < atLeast {
		return nil, fmt.Errorf("limits: sockets: %d is under %d, which is what this configuration needs", c.Limits.Sockets, atLeast)
	}
	p := &process{config: c, maxConns: (c.Limits.Sockets - own) / 2, handsOver: tmp != "",
		maxHeapBytes: c.Limits.MemoryMB * heapFraction * (1 << 20)}
	if err := p.assemble(stop); err != nil {
		return nil, err
	}
	up, l := p.upstreams, p.loop
	l.attempt, l.connectionStats = up.attempt, up.connectionStats
	classes := l.classes
	up.dispatched = l.stats.countDispatched
	if door {
		l.onEjected = func(ejected []string) { l.stats.setEndpoints(up.directory.countUnavailable(ejected)) }
	}
	p.server = &server{clock: l.clock, post: l.enqueue, stop: stop, failures: l.failures, stats: l.stats, budget: up.budget,
		ready: p.ready, hasEndpoints: func() bool { return !up.directory.empty() }}
	p.server.classes.Store(&classes)
	p.conns = newClientConns(listener, p.maxConns)
	p.handover = &handover{dir: tmp, yielded: make(chan struct{}), closedCh: make(chan struct{}), halveMemory: p.limitMemory, state: p.handoverState, ban: p.banned,
		yield: p.yield, resume: p.resume, limitBeside: p.limitBeside,
		use: func() connectionUse { return connectionUse{p.conns.count(), up.count()} }}
	p.limitMemory(false)
	return p, nil
}

// assemble assembles what decides and what follows discovery, with clients or without; nothing runs yet.
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
	p.upstreams, p.loop, p.watch, p.service = up, l, w, newSettingsFollower(c)
	w.service = p.service
	return nil
}

// restore finds what this process begins with: the list, with the bans applied already, and the snapshot.
// They come from the predecessor or, if there is none, from disk. The error says that the disk is another
// process's.
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
		p.loop.handle(balancer.Ban{Upstream: id})
	}
	if first != nil {
		known = p.upstreams.directory.apply(first)
		p.watch.index = 0
		if source == p.config.Discovery { // versions of another discovery mean nothing here
			p.watch.index = *first.Revision
		}
	}
	p.restoreDocument(settings)
	known.Kind = balancer.Cached
	return known, snapshot, nil
}

// startAccepting begins to accept clients. While the predecessor still does, it waits until this process
// could, and the predecessor yields.
func (p *process) startAccepting(running context.Context, waits bool) {
	for waits && (p.upstreams.directory.empty() || !p.loop.ready.Load()) && running.Err() == nil {
		time.Sleep(startPollInterval)
	}
	if waits && !p.draining.Load() {
		p.handover.awaitYield()
		p.conns.pause(false)
	}
	p.accepting.Store(true)
	if !p.handsOver || p.draining.Load() { // one that ends hands nothing over
		return
	}
	if err := p.handover.serve(); err != nil {
		logWarning(ofHandover, "hand-over socket not available", err)
	}
}

// ready tells whether clients may come: once they are accepted, the balancer has the list as it was last
// known, and there is an endpoint to send to. Nothing else is waited for: no answer of discovery, as the last
// known list serves while it is down; no connection, as the first request opens it; no snapshot, as it only
// improves decisions. Without a known endpoint it is ready all the same after readyWithoutListAfter. Requests
// then wait in the balancer for a list, and are rejected just before their time is over: discovery may come
// back at any moment, and a process that is not ready serves nobody then.
func (p *process) ready() bool {
	return p.accepting.Load() && p.loop.ready.Load() && (!p.upstreams.directory.empty() || p.loop.clock.now()-clockStart >= readyWithoutListAfter)
}

// reload takes over a configuration completely, or not at all.
func (p *process) reload(r Reload) {
	file := r.Config
	if r.Err == nil {
		r.Err = file.replaces(p.config)
	}
	if r.Err == nil {
		r.Config, r.Err = p.service.overlay(file)
	}
	p.loop.stats.countReload(r.Err == nil)
	if r.Err != nil {
		logWarning(ofReload, "reload rejected, configuration unchanged", r.Err)
		return
	}
	p.config = r.Config
	classes := p.applySettings(p.loop.enqueueUrgent)
	logAttrs(slog.LevelInfo, ofReload, "taken", slog.Any("classes", slices.Sorted(maps.Keys(classes))), slog.String("discovery", p.config.Discovery))
	p.watch.move(p.config.Discovery)
	if p.service != nil {
		p.service.file = file
	}
}

// applySettings puts the settings of the configuration in use into force; post hands the balancer its part.
// No connection is closed, and what was learned stays.
func (p *process) applySettings(post func(any)) map[string]balancer.Class {
	fresh := settingsCommand{p.config.Settings.Settings, make(chan struct{})}
	post(fresh)
	<-fresh.done // the balancer first: what the table admits must be known to it
	classes := classTable(p.config.Settings.Settings)
	p.loop.stats.addClasses(slices.Collect(maps.Keys(classes)))
	p.upstreams.updateSettings(p.config.Settings)
	p.server.classes.Store(&classes)
	return classes
}

// limitMemory bounds the heap, by half of the limit while two processes share it.
func (p *process) limitMemory(shared bool) {
	limit := p.maxHeapBytes
	if shared {
		limit /= 2
	}
	debug.SetMemoryLimit(int64(limit))
}

// handoverState is what the successor begins with.
func (p *process) handoverState() handoverState {
	s := handoverState{List: p.upstreams.directory.full(), Banned: p.upstreams.directory.bans()}
	if p.service != nil {
		s.Settings, _ = p.service.persisted()
	}
	if snapshot, ok := p.loop.snapshot(); ok { // else the new process begins without
		s.Snapshot = &snapshot
	}
	return s
}

// limitBeside sets the limits to what is left beside the other process or, with nil, to all.
func (p *process) limitBeside(others *connectionUse) {
	p.limitMemory(others != nil)
	if others == nil {
		others = &connectionUse{}
	}
	p.conns.limit(p.maxConns - others.Clients)
	p.upstreams.limit(p.maxConns - others.Upstreams)
}

// yield leaves the clients to the successor.
func (p *process) yield() {
	p.server.stopping.Store(true)
	p.conns.pause(true)
	p.conns.lingering.Store(true)
	p.conns.endIdle(closableAfter)
	p.upstreams.setRetention(false, 0)
	p.persister.setWriting(false)
}

// resume accepts clients again after the successor has died. A process that is draining does not.
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

// ban takes an upstream out of use, or with cleared back into use, here and in the other process of an
// upgrade.
func (p *process) ban(id string, cleared bool) error {
	if !p.upstreams.directory.ban(id, cleared) {
		return fmt.Errorf("no upstream is called %s", quoteShort(id))
	}
	err := confirm(p.upstreams.directory, p.loop, id, cleared)
	persisted := false
	if err == nil && p.handsOver {
		persisted, err = p.handover.relayBan(banMessage{ID: id, Cleared: cleared, Writes: p.persister.writesNow()}, p.upstreams.directory.bans())
	}
	if err != nil || persisted {
		return err
	}
	return p.persister.ban(id, cleared)
}

// banned applies a ban that came to the other process, and tells whether it is on disk.
func (p *process) banned(b banMessage) (persisted bool, err error) {
	if err := confirm(p.upstreams.directory, p.loop, b.ID, b.Cleared); err != nil {
		return false, fmt.Errorf("%s: %w", quoteShort(b.ID), err)
	}
	return p.persister.accept(b.ID, b.Cleared, b.Writes)
}

// program is the version of this program.
func program() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return ""
}

func classTable(s balancer.Settings) map[string]balancer.Class {
	classes := map[string]balancer.Class{}
	for _, class := range s.Classes {
		classes[class.Name] = class
	}
	return classes
}

// confirm applies a ban: in the directory, which binds what is decided already, and then in the balancer.
func confirm(dir *endpointDirectory, l *dispatcher, id string, cleared bool) error {
	dir.setBan(id, cleared)
	b := banCommand{balancer.Ban{Upstream: id, Cleared: cleared}, make(chan struct{})}
	late := time.NewTimer(adminTimeout)
	defer late.Stop()
	go l.enqueueUrgent(b) // ends with the loop
	select {
	case <-b.done:
		return nil
	case <-late.C:
		return errors.New("too busy to confirm it in time, call again")
	case <-l.stop:
		return errors.New("this process ends")
	}
}
