// Package sidecar runs package balancer on real sockets: clients on one side, upstreams and discovery on the
// other. It makes no decisions; what it adds is I/O within the configured limits.
//
// One goroutine owns the Balancer (loop.go). server.go takes clients' requests, clients.go bounds their
// connections, upstream.go carries out attempts, discovery.go follows the list and directory.go keeps it.
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
	ownSockets = 32   // descriptors that are neither a client's nor an upstream's
	memoryPart = 0.75 // of the limit that the heap may use
	// A peer that sends no whole request is cut off this long after it connected: it is owed an answer or a close
	// within 3 s, and a connection without a request may be closed from 2 s on.
	sendPatience = 2500 * time.Millisecond
	clientIdle   = 2 * time.Minute
	mayClose     = 2 * time.Second      // a connection may be closed once no request came on it for so long
	startLook    = 5 * time.Millisecond // how often a new process looks whether it could take clients
	// listPatience is how long a process without a list of use says that it is not ready. A call to discovery that hangs has
	// another beside it after 1.25 s and one in its place after 2.5 s; whoever could answer has had three. Nine in ten processes
	// are to be ready within 10 s, also where discovery is down for longer.
	listPatience = 3 * time.Second
	fewestConns  = 2 // to clients, and as many to upstreams: one that a request holds, and one for whoever comes beside it
)

// Reload is a configuration that was read anew, or why it can't be used.
type Reload struct {
	Config *Config
	Err    error
}

// Run serves until ctx ends, then finishes what it has taken. Of a configuration that comes from reloads it takes
// over the settings and where discovery is; the rest is for the next start.
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
			listener.Close()
			return fmt.Errorf("listening for operators: %w", err)
		}
	}
	return serve(ctx, c, listener, ops, tmp, reloads)
}

// process is one sidecar process: its parts, and what is shared with the other process of an upgrade.
type process struct {
	c     *Config // in use; reload changes it
	up    *upstreams
	loop  *loop
	watch *watcher
	s     *server
	conns *clientConns
	h     *handover
	// service is whose settings are followed; nil: the file's are in force.
	service *service
	keep    *keeper                         // nil: nothing outlives the process
	kept    statestore.Kept                 // what it begins with
	old     atomic.Pointer[statestore.List] // the list from disk, where one is used
	most    int                             // connections to clients, and as many to upstreams
	meets   bool
	heap    float64     // bytes that it may use alone
	fresh   atomic.Bool // a list has come since the start
	// taking says that clients are taken: at once, or once the process before has yielded.
	taking   atomic.Bool
	draining atomic.Bool // told to end
}

// serve owns both listeners; ops may be nil. Where tmp is set, the clients' listener is shared with the process before
// and the one after, which are found there.
func serve(ctx context.Context, c *Config, listener, ops net.Listener, tmp string, reloads <-chan Reload) error {
	defer listener.Close()
	if ops != nil {
		defer ops.Close()
	}
	running, stop := context.WithCancel(context.Background())
	defer stop()
	p, err := newProcess(c, listener, ops != nil, tmp, running.Done())
	if err != nil {
		return err
	}
	known, learnt, err := p.begin()
	if err != nil {
		return err
	}
	waits := p.h.peer != nil
	if waits {
		p.conns.pause(true)
	}
	if learnt != nil {
		p.loop.postNews(*learnt) // holds more than one
	}
	if c.Peers != nil {
		if p.loop.shared, err = share(c, p.up.dir, p.loop.clock, program()); err != nil {
			return err
		}
		defer p.loop.shared.close()
	}
	go p.loop.run(known)
	go p.watch.run(running, c.Settings.MustSubscribe)
	p.h.join()
	defer p.h.close()
	over := make(chan struct{})
	p.keepWith()
	if p.keep != nil && !waits {
		go p.recall()
		go p.lastResort(running)
	}
	go p.keep.run(over)
	defer p.keep.end(over)
	if p.service != nil {
		p.service.silent = p.s.stopping.Load // the other process of an upgrade speaks
		go p.service.acknowledge(running, p.watch.source)
	}
	if ops != nil {
		d := newDoor(ops)
		d.ready = func() bool { return p.s.ready() && !p.s.stopping.Load() }
		d.figures = func() string {
			now := p.loop.stats.snapshot()
			return now.lines() + p.keep.lines(p.onKept()) + p.loop.shared.lines() + p.service.lines(p.up.dir)
		}
		d.peers = p.loop.shared.view
		d.ban = p.ban
		go d.run()
		defer d.close()
	}
	srv := &http.Server{Handler: p.s, ReadHeaderTimeout: sendPatience, IdleTimeout: clientIdle,
		MaxHeaderBytes: maxHeader, DisableGeneralOptionsHandler: true, ConnState: p.conns.state,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		}}
	p.loop.shared.forward(p)
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(p.conns) }()
	go p.take(running, waits)
	for ctx.Err() == nil {
		select {
		case err := <-ended:
			return fmt.Errorf("serving: %w", err)
		case r := <-reloads:
			p.reload(r)
		case <-p.service.news():
			p.settle(p.loop.postNews)
		case <-ctx.Done():
		}
	}
	return p.drain(srv)
}

// newProcess puts the parts together; nothing runs yet.
func newProcess(c *Config, listener net.Listener, door bool, tmp string, stop <-chan struct{}) (*process, error) {
	own := ownSockets
	if door {
		own += doorConns + 2 // the listener, and the caller that another gives way to
	}
	if c.State != "" {
		own += keepSockets
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
	if least := own + 2*fewestConns; c.Limits.Sockets < least {
		return nil, fmt.Errorf("limits: sockets: %d is under %d, which is what this configuration needs", c.Limits.Sockets, least)
	}
	p := &process{c: c, most: (c.Limits.Sockets - own) / 2, meets: tmp != "",
		heap: c.Limits.MemoryMB * memoryPart * (1 << 20)}
	if err := p.assemble(stop); err != nil {
		return nil, err
	}
	up, l := p.up, p.loop
	l.send, l.sockets = up.attempt, up.sockets
	classes := l.classes
	up.dispatched = l.stats.dispatched
	if door {
		l.look = func(ejected []string) { l.stats.upstreams(up.dir.avoided(ejected)) }
	}
	p.s = &server{clock: l.clock, post: l.post, stop: stop, bad: l.bad, stats: l.stats, budget: up.budget,
		ready: p.ready, sends: func() bool { return !up.dir.empty() }}
	p.s.classes.Store(&classes)
	p.conns = newClientConns(listener, p.most)
	p.h = &handover{dir: tmp, yielded: make(chan struct{}), over: make(chan struct{}), halved: p.memory, state: p.state, ban: p.banned,
		yield: p.yield, resume: p.resume, bounded: p.bounded,
		holds: func() uses { return uses{p.conns.count(), up.count()} }}
	p.memory(false)
	return p, nil
}

// assemble puts together what decides and what it hears, with clients or without; nothing runs yet.
func (p *process) assemble(stop <-chan struct{}) error {
	c := p.c
	b, err := balancer.New(c.Settings.Settings, c.Seed)
	if err != nil {
		return err
	}
	clk := newClock()
	up := newUpstreams(c, clk, p.most)
	l := newLoop(b, clk, stop)
	w := newWatcher(c, up.dir, func(m balancer.EndpointUpdate) {
		if m.Kind == balancer.Delta || m.Kind == balancer.FullState {
			p.fresh.Store(true)
		}
		l.postList(m)
	})
	l.ask, l.zone = w.ask, up.dir.zone
	l.classes = classTable(c.Settings.Settings)
	l.stats.name(slices.Collect(maps.Keys(l.classes)))
	p.up, p.loop, p.watch, p.service = up, l, w, newService(c)
	w.service = p.service
	return nil
}

// begin finds what this process begins with: the list, with the bans in already, and what was learnt. The process before
// tells it; where there is none, the disk does. An error: the disk is another process's.
func (p *process) begin() (known balancer.EndpointUpdate, learnt *balancer.Snapshot, err error) {
	first, source, banned := p.c.Known, p.c.Discovery, []string(nil)
	var settings *statestore.Settings
	if p.meets {
		before := p.h.find()
		p.memory(p.h.peer != nil)
		if list := before.List; list != nil && list.Index != nil && (first == nil || *list.Index >= *first.Index) {
			first = list
		}
		learnt, banned, settings = before.Learnt, before.Banned, before.Settings
	}
	if p.keep, p.kept, err = openState(p.c, p.h.peer == nil); err != nil {
		return known, nil, err
	}
	if p.keep != nil && p.h.peer == nil {
		first, source = p.fromDisk(first)
		for id := range p.kept.Bans {
			banned = append(banned, id)
		}
	}
	for _, id := range banned {
		p.up.dir.setBan(id, false)
		p.loop.handle(balancer.Ban{Upstream: id})
	}
	if first != nil {
		known = p.up.dir.apply(first)
		p.watch.index = 0
		if source == p.c.Discovery { // versions of another discovery mean nothing here
			p.watch.index = *first.Index
		}
	}
	p.settleFirst(settings)
	known.Kind = balancer.Cached
	return known, learnt, nil
}

// take begins to take clients. Where the process before still does, it waits until this one could, and that one yields.
func (p *process) take(running context.Context, waits bool) {
	for waits && (p.up.dir.empty() || !p.loop.started.Load()) && running.Err() == nil {
		time.Sleep(startLook)
	}
	if waits && !p.draining.Load() {
		p.h.take()
		p.conns.pause(false)
	}
	p.taking.Store(true)
	if !p.meets || p.draining.Load() { // one that ends hands nothing over
		return
	}
	if err := p.h.serve(); err != nil {
		warn(ofHandover, "no other process will find this one", err)
	}
}

// ready tells whether clients may come: once they are taken, the module has the list as it was last known, and there is a server
// to send to. Nothing else is waited for: no answer of discovery, as what was last known serves while it is down; no connection,
// as the first request opens it; nothing learnt, as it only betters what is done without. Where no server is known, it is ready
// all the same after listPatience. Requests then wait in the module for a list, and are refused just before their time is over:
// discovery may come back at any moment, and whoever is not ready serves nobody then.
func (p *process) ready() bool {
	return p.taking.Load() && p.loop.started.Load() && (!p.up.dir.empty() || p.loop.clock.now()-clockStart >= listPatience)
}

// reload takes a configuration over whole, or not at all.
func (p *process) reload(r Reload) {
	file := r.Config
	if r.Err == nil {
		r.Err = file.follows(p.c)
	}
	if r.Err == nil {
		r.Config, r.Err = p.service.over(file)
	}
	p.loop.stats.reload(r.Err == nil)
	if r.Err != nil {
		warn(ofReload, "the configuration in use stays", r.Err)
		return
	}
	p.c = r.Config
	classes := p.tune(p.loop.postNews)
	note(slog.LevelInfo, ofReload, "taken", slog.Any("classes", slices.Sorted(maps.Keys(classes))), slog.String("discovery", p.c.Discovery))
	p.watch.move(p.c.Discovery)
	if p.service != nil {
		p.service.file = file
	}
}

// tune puts the settings of the configuration in use into force; post hands the module its part. No connection is closed, and what was
// learnt stays.
func (p *process) tune(post func(any)) map[string]balancer.Class {
	fresh := retune{p.c.Settings.Settings, make(chan struct{})}
	post(fresh)
	<-fresh.done // the module first: what the table admits must be known to it
	classes := classTable(p.c.Settings.Settings)
	p.loop.stats.name(slices.Collect(maps.Keys(classes)))
	p.up.retune(p.c.Settings)
	p.s.classes.Store(&classes)
	return classes
}

// memory bounds the heap, by half of what is allowed while two processes share it.
func (p *process) memory(shared bool) {
	limit := p.heap
	if shared {
		limit /= 2
	}
	debug.SetMemoryLimit(int64(limit))
}

// state is what the next process begins with.
func (p *process) state() inherited {
	s := inherited{List: p.up.dir.whole(), Banned: p.up.dir.bans()}
	if p.service != nil {
		s.Settings, _ = p.service.kept()
	}
	if learnt, ok := p.loop.learnt(); ok { // else the new process begins without
		s.Learnt = &learnt
	}
	return s
}

// bounded sets the limits to what is left beside the process before, or with nil to all.
func (p *process) bounded(others *uses) {
	p.memory(others != nil)
	if others == nil {
		others = &uses{}
	}
	p.conns.limit(p.most - others.Clients)
	p.up.limit(p.most - others.Upstreams)
}

// yield leaves the clients to the next process.
func (p *process) yield() {
	p.s.stopping.Store(true)
	p.conns.pause(true)
	p.conns.lingers.Store(true)
	p.conns.endQuiet(mayClose)
	p.up.keep(false, 0)
	p.keep.want(false)
}

// resume takes clients again: the next process died. One that was told to end does not.
func (p *process) resume() {
	if p.draining.Load() {
		return
	}
	p.s.stopping.Store(false)
	p.conns.lingers.Store(false)
	p.keep.want(true)
	p.up.keep(true, p.most)
	p.conns.pause(false)
}

// ban takes an upstream out of use by hand, or with lifted back, here and in the other process of an upgrade.
func (p *process) ban(id string, lifted bool) error {
	if !p.up.dir.ban(id, lifted) {
		return fmt.Errorf("no upstream is called %s", short(id))
	}
	err := confirm(p.up.dir, p.loop, id, lifted)
	kept := false
	if err == nil && p.meets {
		kept, err = p.h.banned(call{ID: id, Lifted: lifted, Writes: p.keep.writesNow()}, p.up.dir.bans())
	}
	if err != nil || kept {
		return err
	}
	return p.keep.ban(id, lifted)
}

// banned takes in a ban that came to the other process, and tells whether it is on disk.
func (p *process) banned(b call) (kept bool, err error) {
	if err := confirm(p.up.dir, p.loop, b.ID, b.Lifted); err != nil {
		return false, fmt.Errorf("%s: %w", short(b.ID), err)
	}
	return p.keep.accept(b.ID, b.Lifted, b.Writes)
}

// program is the version of this program, as it was built.
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

// confirm takes a ban in: in the directory, which what is decided already is held to, and then in the module.
func confirm(dir *directory, l *loop, id string, lifted bool) error {
	dir.setBan(id, lifted)
	b := ban{balancer.Ban{Upstream: id, Cleared: lifted}, make(chan struct{})}
	late := time.NewTimer(doorWait)
	defer late.Stop()
	go l.postNews(b) // ends with the loop
	select {
	case <-b.done:
		return nil
	case <-late.C:
		return errors.New("too busy to confirm it in time, call again")
	case <-l.stop:
		return errors.New("this process ends")
	}
}
