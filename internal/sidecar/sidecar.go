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
	"runtime"
	"runtime/debug"
	"slices"
	"time"

	"granitehinge/balancer"
)

const (
	ownSockets  = 32                     // descriptors that are neither a client's nor an upstream's
	memoryPart  = 0.75                   // of the limit that the heap may use
	quietAfter  = 450 * time.Millisecond // after SIGTERM: clients use the connections that they have until this
	acceptAfter = 600 * time.Millisecond // and may come on new ones until this
	justOpened  = 50 * time.Millisecond  // a connection this young is about to bring its request
	killAfter   = 3500 * time.Millisecond
	// A peer that sends no whole request is cut off this long after it connected: it is owed an answer or a close
	// within 3 s, and a connection without a request may be closed from 2 s on.
	sendPatience = 2500 * time.Millisecond
	clientIdle   = 2 * time.Minute
)

// Run serves until ctx ends, then finishes what it has taken. Of a configuration that comes from reloads it takes
// over where discovery is; the rest is for the next start.
func Run(ctx context.Context, c *Config, reloads <-chan *Config) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Limits.Cores))))
	debug.SetMemoryLimit(int64(c.Limits.MemoryMB * memoryPart * (1 << 20)))
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	var ops net.Listener
	if c.Ops != "" {
		if ops, err = net.Listen("tcp", c.Ops); err != nil {
			listener.Close()
			return fmt.Errorf("listening for operators: %w", err)
		}
	}
	return serve(ctx, c, listener, ops, reloads)
}

// serve owns both listeners; ops may be nil.
func serve(ctx context.Context, c *Config, listener, ops net.Listener, reloads <-chan *Config) error {
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
	connections := (c.Limits.Sockets - own) / 2
	up := newUpstreams(c, clk, connections)
	l := newLoop(b, clk, running.Done())
	w := newWatcher(c, up.dir, l.postList)
	l.send, l.ask, l.sockets, l.zone = up.attempt, w.ask, up.sockets, up.dir.zone
	classes := map[string]balancer.Class{}
	for _, class := range c.Settings.Classes {
		classes[class.Name] = class
	}
	l.late = func(class string) time.Duration { return classes[class].Aim }
	known := balancer.Members{}
	if c.Known != nil {
		known = up.dir.apply(c.Known)
	}
	known.Kind = balancer.Saved
	up.dispatched = l.stats.dispatched
	l.stats.name(slices.Collect(maps.Keys(classes)))
	if ops != nil {
		l.look = func(ejected []string) { l.stats.upstreams(up.dir.avoided(ejected)) }
	}
	go l.run(known)
	go w.run(running, c.Settings.MustSubscribe)

	s := &server{clock: clk, classes: classes, post: l.post, stop: running.Done(), bad: l.bad, stats: l.stats,
		ready: func() bool { return l.started.Load() && !up.dir.empty() }}
	if ops != nil {
		d := newDoor(ops)
		d.ready = func() bool { return s.ready() && !s.stopping.Load() }
		d.figures = func() string { now := l.stats.snapshot(); return now.lines() }
		d.ban = func(id string, lifted bool) error { return banned(up.dir, l, id, lifted) }
		go d.run()
		defer d.close()
	}
	conns := newClientConns(listener, connections)
	srv := &http.Server{Handler: s, ReadHeaderTimeout: sendPatience, IdleTimeout: clientIdle,
		MaxHeaderBytes: maxHeader, DisableGeneralOptionsHandler: true, ConnState: conns.state,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, acceptedKey{}, time.Now())
		}}
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(conns) }()
	for ctx.Err() == nil {
		select {
		case err := <-ended:
			return fmt.Errorf("serving: %w", err)
		case fresh := <-reloads:
			log.Printf("reload: discovery is at %s", fresh.Discovery)
			w.move(fresh.Discovery)
		case <-ctx.Done():
		}
	}
	return drain(srv, s, conns, l)
}

// banned takes an upstream out of use by hand, or with lifted back: in the directory, which what is decided already
// is held to, and then in the module.
func banned(dir *directory, l *loop, id string, lifted bool) error {
	if !dir.ban(id, lifted) {
		return fmt.Errorf("no upstream is called %s", short(id))
	}
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
// process is killed.
func drain(srv *http.Server, s *server, conns *clientConns, l *loop) error {
	begun := time.Now()
	s.stopping.Store(true)
	last := time.AfterFunc(killAfter, func() { l.post(abort{}) })
	defer last.Stop()
	time.Sleep(quietAfter)
	conns.closeQuiet(justOpened) // where that crosses a request, the client comes on a new connection
	time.Sleep(acceptAfter - quietAfter)
	conns.closeQuiet(0)
	ctx, cancel := context.WithTimeout(context.Background(), killAfter+100*time.Millisecond-time.Since(begun))
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shutting down: %w", err)
	}
	return nil
}
