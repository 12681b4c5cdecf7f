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
	"log"
	"maps"
	"math"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"granitehinge/balancer"
)

const (
	ownSockets  = 32                     // descriptors that are neither a client's nor an upstream's
	memoryPart  = 0.75                   // of the limit that the heap may use
	quietAfter  = 450 * time.Millisecond // after SIGTERM: clients use the connections that they have until this
	acceptAfter = 600 * time.Millisecond // and may come on new ones until this
	justOpened  = 50 * time.Millisecond  // a connection this young is about to bring its request
	killMost    = 3 * time.Second        // SIGKILL comes this long after SIGTERM, or the longest deadline if that is less,
	killBefore  = 500 * time.Millisecond // and 0.7 s: what is left then is failed before
	// A peer that sends no whole request is cut off this long after it connected: it is owed an answer or a close
	// within 3 s, and a connection without a request may be closed from 2 s on.
	sendPatience = 2500 * time.Millisecond
	clientIdle   = 2 * time.Minute
	mayClose     = 2 * time.Second      // a connection may be closed once no request came on it for so long
	startLook    = 5 * time.Millisecond // how often a new process looks whether it could take clients
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

// serve owns both listeners; ops may be nil. Where tmp is set, the clients' listener is shared with the process before
// and the one after, which are found there.
func serve(ctx context.Context, c *Config, listener, ops net.Listener, tmp string, reloads <-chan Reload) error {
	defer listener.Close()
	if ops != nil {
		defer ops.Close()
	}
	b, err := balancer.New(c.Settings.Settings, c.Seed)
	if err != nil {
		return err
	}
	clk := newClock()
	running, stop := context.WithCancel(context.Background())
	defer stop()
	own := ownSockets
	if ops != nil {
		own += doorConns + 2 // the listener, and the caller that another gives way to
	}
	if tmp != "" {
		own *= 2 // the next process begins beside this one
	}
	connections := (c.Limits.Sockets - own) / 2
	up := newUpstreams(c, clk, connections)
	l := newLoop(b, clk, running.Done())
	w := newWatcher(c, up.dir, l.postList)
	l.send, l.ask, l.sockets, l.zone = up.attempt, w.ask, up.sockets, up.dir.zone
	classes := classTable(c.Settings.Settings)
	l.classes = classes
	up.dispatched = l.stats.dispatched
	l.stats.name(slices.Collect(maps.Keys(classes)))
	if ops != nil {
		l.look = func(ejected []string) { l.stats.upstreams(up.dir.avoided(ejected)) }
	}
	var taking atomic.Bool
	s := &server{clock: clk, post: l.post, stop: running.Done(), bad: l.bad, stats: l.stats, budget: up.budget,
		ready: func() bool { return taking.Load() && l.started.Load() && !up.dir.empty() }}
	s.classes.Store(&classes)
	conns := newClientConns(listener, connections)

	memory := func(shared bool) {
		limit := c.Limits.MemoryMB * memoryPart * (1 << 20)
		if shared {
			limit /= 2
		}
		debug.SetMemoryLimit(int64(limit))
	}
	memory(false)
	h := &handover{dir: tmp, yielded: make(chan struct{}), halved: memory}
	take := func(id string, lifted bool) error { return confirm(up.dir, l, id, lifted) }
	ban := func(id string, lifted bool) error {
		if !up.dir.ban(id, lifted) {
			return fmt.Errorf("no upstream is called %s", short(id))
		}
		if err := take(id, lifted); err != nil || tmp == "" {
			return err
		}
		return h.banned(id, lifted, up.dir.bans())
	}
	h.ban = func(b call) {
		if err := take(b.ID, b.Lifted); err != nil {
			log.Printf("hand-over: a ban on %s: %v", short(b.ID), err)
		}
	}
	h.state = func() state {
		s := state{List: up.dir.whole(), Banned: up.dir.bans()}
		ask := learning{make(chan balancer.Learnt, 1)}
		l.postNews(ask)
		select {
		case learnt := <-ask.learnt:
			s.Learnt = &learnt
		case <-time.After(doorWait): // the new process begins without
		case <-l.stop:
		}
		return s
	}
	h.holds = func() uses { return uses{conns.count(), up.count()} }
	h.bounded = func(others *uses) {
		memory(others != nil)
		if others == nil {
			others = &uses{}
		}
		conns.limit(connections - others.Clients)
		up.limit(connections - others.Upstreams)
	}
	h.yield = func() {
		s.stopping.Store(true)
		conns.pause(true)
		conns.closeQuiet(mayClose)
		up.keep(false, 0)
	}
	h.resume = func() {
		if ctx.Err() == nil {
			s.stopping.Store(false)
			up.keep(true, connections)
			conns.pause(false)
		}
	}
	first := c.Known
	var learnt *balancer.Learnt
	if tmp != "" {
		before := h.find()
		if list := before.List; list != nil && list.Index != nil && (first == nil || *list.Index >= *first.Index) {
			first = list
		}
		learnt = before.Learnt
		for _, id := range before.Banned {
			up.dir.setBan(id, false)
			l.handle(balancer.Ban{Upstream: id})
		}
	}
	known := balancer.Members{}
	if first != nil {
		known = up.dir.apply(first)
		w.index = *first.Index
	}
	known.Kind = balancer.Saved
	waits := h.peer != nil
	if waits {
		memory(true)
		conns.pause(true)
	}
	if learnt != nil {
		l.postNews(*learnt) // holds more than one
	}
	go l.run(known)
	go w.run(running, c.Settings.MustSubscribe)
	h.join()
	if ops != nil {
		d := newDoor(ops)
		d.ready = func() bool { return s.ready() && !s.stopping.Load() }
		d.figures = func() string { now := l.stats.snapshot(); return now.lines() }
		d.ban = ban
		go d.run()
		defer d.close()
	}
	srv := &http.Server{Handler: s, ReadHeaderTimeout: sendPatience, IdleTimeout: clientIdle,
		MaxHeaderBytes: maxHeader, DisableGeneralOptionsHandler: true, ConnState: conns.state,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		}}
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(conns) }()
	go func() { // ends with the start, or with the process
		for waits && (up.dir.empty() || !l.started.Load()) && running.Err() == nil {
			time.Sleep(startLook)
		}
		if waits {
			h.take()
			conns.pause(false)
		}
		taking.Store(true)
		if tmp == "" {
			return
		}
		if err := h.serve(); err != nil {
			log.Printf("hand-over: no other process will find this one: %v", err)
		}
	}()
	defer h.close()
	for ctx.Err() == nil {
		select {
		case err := <-ended:
			return fmt.Errorf("serving: %w", err)
		case r := <-reloads:
			if r.Err == nil {
				r.Err = r.Config.follows(c)
			}
			l.stats.reload(r.Err == nil)
			if r.Err != nil {
				log.Printf("reload: the configuration in use stays: %v", r.Err)
				continue
			}
			c = r.Config
			fresh := retune{c.Settings.Settings, make(chan struct{})}
			l.postNews(fresh)
			<-fresh.done // the module first: what the table admits must be known to it
			classes := classTable(c.Settings.Settings)
			l.stats.name(slices.Collect(maps.Keys(classes)))
			up.retune(c.Settings)
			s.classes.Store(&classes)
			log.Printf("reload: taken; classes %v, discovery at %s", slices.Sorted(maps.Keys(classes)), c.Discovery)
			w.move(c.Discovery)
		case <-ctx.Done():
		}
	}
	return drain(srv, s, conns, l, c)
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
	b := ban{balancer.Ban{Upstream: id, Lifted: lifted}, make(chan struct{})}
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

// drain goes on accepting while clients still come, answers everything that was taken, and ends before the
// process is killed. Where another process takes clients already, it accepts none: each connection ends with its next
// answer, and what is between requests is closed only when another request could not be answered within its aim.
func drain(srv *http.Server, s *server, conns *clientConns, l *loop, c *Config) error {
	begun := time.Now()
	replaced := s.stopping.Swap(true)
	longest, aim := time.Duration(0), time.Duration(0)
	for _, class := range c.Settings.Classes {
		longest, aim = max(longest, class.Deadline), max(aim, class.Aim)
	}
	killAfter := min(longest, killMost) + killBefore
	last := time.AfterFunc(killAfter, func() { l.post(abort{}) })
	defer last.Stop()
	if replaced {
		conns.awaitNone(max(killAfter-aim, quietAfter))
	} else {
		time.Sleep(quietAfter)
		conns.closeQuiet(justOpened) // where that crosses a request, the client comes on a new connection
		time.Sleep(acceptAfter - quietAfter)
	}
	conns.closeQuiet(0)
	ctx, cancel := context.WithTimeout(context.Background(), killAfter+100*time.Millisecond-time.Since(begun))
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shutting down: %w", err)
	}
	return nil
}
