// Package sidecar runs package balancer on real sockets: clients on one side, upstreams and discovery on the
// other. It makes no decisions; what it adds is I/O within the configured limits.
//
// The path of a request: clientlistener.go accepts its connection, clientconn.go and framing.go follow what is read from
// it, requestparser.go parses the request, requesthandler.go passes it to dispatcher.go, whose goroutine owns the Balancer,
// upstreampool.go, upstreamconn.go and exchange.go make its attempts, and answerwriter.go writes the answer. The path of
// the endpoint list: watcher.go receives it, endpointdirectory.go stores it, and the dispatcher passes it to the Balancer.
//
// sidecar.go runs the parts that process.go assembles, reload.go and bans.go change them while they run, and drain.go ends
// them. handover.go passes clients to the next process of an upgrade, persister.go and restore.go write and read the state
// that outlives the process, admin.go is the operators' port, settingsfollower.go follows the settings of a service, and
// sharing.go, breakers.go, leaderships.go, forwarder.go and pressure.go implement the cooperation of sidecars.
package sidecar

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"mosslead/internal/statestore"
)

const (
	fixedSockets = 32 // file descriptors other than those of clients and upstreams
	// requestTimeout is the time after connecting within which a client must send a complete request. A client must get an
	// answer or a close within 3 s, and a connection without a request may be closed after 2 s.
	requestTimeout    = 2500 * time.Millisecond
	clientIdleTimeout = 2 * time.Minute
	closableAfter     = 2 * time.Second      // time without a request after which a connection may be closed
	startPollInterval = 5 * time.Millisecond // time between a new process's checks whether it can accept clients
	// readyWithoutListAfter is how long a process without a list reports that it is not ready. It is enough for three calls
	// to discovery: a call that hangs is followed by the next after 1.25 s, so that the third starts after 2.5 s. Nine in
	// ten processes must be ready within 10 s, even if discovery is down for longer.
	readyWithoutListAfter = 3 * time.Second
	// minConns is the minimum number of connections to clients, and likewise to upstreams: one for a request, and one for the
	// next client.
	minConns = 2
)

// Reload is a configuration that was read again, or the error of reading it.
type Reload struct {
	Config *Config
	Err    error
}

// Run serves clients until ctx ends, then finishes the accepted requests and returns. From a configuration in reloads it
// applies the settings and the address of discovery; other changes apply from the next start on. Run changes
// process-wide limits, so it must be called only once per process.
func Run(ctx context.Context, c *Config, reloads <-chan Reload) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Limits.Cores))))
	if c.State != "" {
		signal.Ignore(syscall.SIGXFSZ) // a write beyond the file size limit then fails and does not end the process
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

// process holds the parts of one sidecar process.
type process struct {
	config       *Config // the configuration in use; reload and a settings document change it
	upstreams    *upstreamPool
	dispatcher   *dispatcher
	watcher      *watcher
	server       *server
	conns        *clientConns
	starts       *startQueue
	handover     *handover
	follower     *settingsFollower               // nil if the settings of the file are in force
	persister    *statePersister                 // nil if no state is stored
	loaded       statestore.Loaded               // state that was read from disk at the start
	cachedList   atomic.Pointer[statestore.List] // the list from disk, if one is used
	maxConns     int                             // maximum number of connections to clients, and likewise to upstreams
	handsOver    bool                            // the platform passes the listener, so that upgrades are possible
	memoryLimit  int64                           // bytes that this process and another one beside it may use
	ownMemory    atomic.Int64                    // bytes of it that this process may use
	listReceived atomic.Bool                     // discovery has sent a list since the start
	accepting    atomic.Bool                     // clients are accepted: at once, or once the predecessor has yielded
	draining     atomic.Bool                     // SIGTERM has been received
}

// serve implements Run on the given listeners, which it closes; ops is nil if there is no operators' port. If tmp is not
// empty, the clients' listener is shared with the predecessor and the successor, whose sockets are in that directory.
func serve(ctx context.Context, c *Config, listener, ops net.Listener, tmp string, reloads <-chan Reload) error {
	defer func() { _ = listener.Close() }()
	if ops != nil {
		defer func() { _ = ops.Close() }()
	}
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	p, err := newProcess(c, listener, ops != nil, tmp, runCtx.Done())
	if err != nil {
		return err
	}
	known, snapshot, err := p.restore()
	if err != nil {
		return err
	}
	hasPredecessor := p.handover.other != nil
	if hasPredecessor {
		p.conns.pause(true)
	}
	if snapshot != nil {
		p.dispatcher.enqueueUrgent(*snapshot) // does not block: the queue is empty
	}
	if c.Peers != nil {
		if p.dispatcher.sharing, err = newSharing(c, p.upstreams.directory, p.dispatcher.clock, programVersion()); err != nil {
			return err
		}
		defer p.dispatcher.sharing.close()
	}
	go p.dispatcher.run(known)
	go p.watcher.run(runCtx, c.Settings.MustSubscribe)
	p.handover.followPredecessor()
	go p.handover.sendRan()
	defer p.handover.close()
	defer p.startPersister(runCtx, !hasPredecessor)()
	if p.follower != nil {
		p.follower.muted = p.server.stopping.Load // while this process is being replaced, the other process of the upgrade acknowledges
		go p.follower.acknowledge(runCtx, p.watcher.source)
	}
	if ops != nil {
		admin := p.newAdminServer(ops)
		go admin.run()
		defer admin.close()
	}
	srv := p.newHTTPServer()
	p.dispatcher.sharing.startForwarding(p)
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(p.conns) }()
	go p.startAccepting(runCtx, hasPredecessor)
	for ctx.Err() == nil {
		select {
		case err := <-ended:
			return fmt.Errorf("serving: %w", err)
		case r := <-reloads:
			p.reload(r)
		case <-p.follower.pending():
			p.applyDocument(p.dispatcher.enqueueUrgent)
		case <-ctx.Done():
		}
	}
	return p.drain(srv)
}

// startPersister starts writing state. If this is the first process, without a predecessor, it also restores the snapshot.
// The returned function ends the writing, and waits until it has ended.
func (p *process) startPersister(ctx context.Context, first bool) (stop func()) {
	done := make(chan struct{})
	p.connectPersister()
	if p.persister != nil && first {
		go p.restoreSnapshot()
		go p.useSuspectList(ctx)
	}
	go p.persister.run(done)
	return func() { p.persister.stopAndWait(done) }
}

// newAdminServer returns the server of the operators' port.
func (p *process) newAdminServer(listener net.Listener) *adminServer {
	s := newAdminServer(listener, p.starts)
	s.ready = func() bool { return p.server.ready() && !p.server.stopping.Load() }
	s.stats = func() string {
		snapshot := p.dispatcher.stats.snapshot()
		return snapshot.lines() + p.persister.lines(p.usesCachedList()) + p.dispatcher.sharing.lines() + p.follower.lines(p.upstreams.directory)
	}
	s.peers = p.dispatcher.sharing.describe
	s.ban = p.ban
	return s
}

// newHTTPServer returns the server of the clients' connections.
func (p *process) newHTTPServer() *http.Server {
	return &http.Server{Handler: p.server, ReadHeaderTimeout: requestTimeout, IdleTimeout: clientIdleTimeout,
		MaxHeaderBytes: maxHeader, DisableGeneralOptionsHandler: true, ConnState: p.conns.onConnState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		}}
}

// startAccepting starts accepting clients: at once, or with a predecessor as soon as this process can serve and the
// predecessor has yielded. Then it waits for a successor.
func (p *process) startAccepting(ctx context.Context, hasPredecessor bool) {
	for hasPredecessor && (p.upstreams.directory.empty() || !p.dispatcher.ready.Load()) && ctx.Err() == nil {
		time.Sleep(startPollInterval)
	}
	if hasPredecessor && !p.draining.Load() {
		p.handover.awaitPredecessor()
		p.conns.pause(false)
	}
	p.accepting.Store(true)
	if !p.handsOver || p.draining.Load() { // a draining process hands nothing over
		return
	}
	if err := p.handover.serve(); err != nil {
		logWarning(componentHandover, "hand-over socket not available", err)
	}
}

// programVersion returns the version of this program, "" if the build did not record it.
func programVersion() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return ""
}
