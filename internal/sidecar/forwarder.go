package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"mosslead/balancer"
	"mosslead/internal/forwarding"
	"mosslead/internal/gossip/message"
)

const (
	maxConnsToPeers   = 16                    // file descriptors are reserved for these connections
	maxConnsFromPeers = 32                    // file descriptors are reserved for these connections as well
	forwardMargin     = 5 * time.Millisecond  // part of the client's deadline that is reserved for sending the answer to the client
	crossSiteRTT      = 20 * time.Millisecond // round-trip time between sites
)

// forwarder forwards requests to peers and accepts theirs. A request that a peer may have begun is not attempted anywhere
// else. This sidecar handles a forwarded request itself only if it did not reach the peer, or if the peer answers that it has
// not processed it. A forwarder is safe for concurrent use.
type forwarder struct {
	pool      *upstreamPool // connections to peers; it sends no request twice
	listener  net.Listener
	srv       *http.Server
	conns     *clientConns
	accepted  atomic.Int64 // requests from peers that this sidecar accepted
	rejected  atomic.Int64 // requests from peers that this sidecar rejected, mostly under pressure
	forwarded atomic.Int64 // requests that this sidecar forwarded
	returned  atomic.Int64 // forwarded requests that no peer processed, and this sidecar handled itself
	abort     context.CancelFunc
	ctx       context.Context // parent context of the forwarded requests in flight

	mu            sync.Mutex
	decider       *forwarding.Decider
	gauge         forwarding.Gauge
	inFlight      map[string]bool // ids of the requests in flight, here or at a peer
	crossZoneCost float64         // cost of forwarding a request to another zone, as a fraction of the request's importance
}

// newForwarder returns a forwarder that listens on the address for forwarded requests. It does not accept any before serve.
func newForwarder(c *Config, clk clock) (*forwarder, error) {
	listener, err := net.Listen("tcp", c.Peers.Forward)
	if err != nil {
		return nil, fmt.Errorf("listening for peers: %w", err)
	}
	f := &forwarder{pool: newUpstreamPool(c, clk, maxConnsToPeers), listener: listener, decider: forwarding.NewDecider(c.Peers.site(c), c.Seed), crossZoneCost: c.Settings.CrossZoneCost,
		inFlight: map[string]bool{}}
	f.pool.dial = c.dial.withSourceHost(c.Peers.Forward)
	f.ctx, f.abort = context.WithCancel(context.Background())
	return f, nil
}

// serve starts a goroutine that serves the requests of peers until close. The server for clients handles these requests.
func (f *forwarder) serve(s *server) {
	f.conns = newClientConns(f.listener, maxConnsFromPeers, f.pool.memory)
	f.conns.useStartQueue(s.starts)
	f.srv = &http.Server{Handler: f.handler(s), ReadHeaderTimeout: requestTimeout, IdleTimeout: clientIdleTimeout, MaxHeaderBytes: maxHeader,
		DisableGeneralOptionsHandler: true, ConnState: f.conns.onConnState, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		}}
	go func() {
		if err := f.srv.Serve(f.conns); !errors.Is(err, http.ErrServerClosed) {
			logWarning(componentPeers, "server for forwarded requests stopped", err)
		}
	}()
}

// handler returns the handler for requests from peers. It rejects requests that do not state exactly one hop, and every
// request while this sidecar is under pressure or can't serve. A rejected request has not been processed.
func (f *forwarder) handler(s *server) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if hops := r.Header[forwarding.HeaderHop]; len(hops) != 1 || hops[0] != "1" {
			s.reject(w, r, &rejection{http.StatusBadRequest, "a peer forwards by one hop, and says so in one " + forwarding.HeaderHop})
			return
		}
		f.mu.Lock()
		accepts := f.gauge.Accepts()
		f.mu.Unlock()
		if !accepts || s.stopping.Load() || !s.ready() || !s.hasEndpoints() {
			f.rejected.Add(1)
			w.Header().Set(headerNotProcessed, "1")
			s.writeLine(w, http.StatusServiceUnavailable, "refused: a peer is under pressure")
			return
		}
		f.accepted.Add(1)
		s.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), hopKey{}, true)))
	})
}

// hopKey is the context key of a request that came from a peer.
type hopKey struct{}

// forward forwards a request to a peer if the decider prefers that. If done, the answer is final; if not, the request has
// not been processed anywhere, and the caller handles it.
func (f *forwarder) forward(ctx context.Context, now time.Duration, r *clientRequest) (a answer, done bool) {
	if f == nil || r.bodyPending || r.forwarded { // a body that is still arriving could not be sent again
		return a, false
	}
	f.mu.Lock()
	choice, peer := f.decider.Choose(now, &f.gauge, forwarding.Request{TimeLeft: r.expiresAt - now, RoundTrip: crossSiteRTT, Cost: f.crossZoneCost})
	f.mu.Unlock()
	if choice != forwarding.Forward {
		return a, false
	}
	clientCtx := ctx
	defer func() {
		f.mu.Lock()
		f.decider.Done(peer, done && a.kind == served || clientCtx.Err() != nil) // a client that cancels its request is not the peer's failure
		f.mu.Unlock()
	}()
	f.forwarded.Add(1)
	ctx, cancel := context.WithTimeout(ctx, r.expiresAt-now-forwardMargin)
	defer cancel()
	defer context.AfterFunc(f.ctx, cancel)()
	outgoing := *r
	outgoing.header = r.header.Clone()
	outgoing.header.Set(forwarding.HeaderHop, "1")
	rep := f.pool.attempt(ctx, peer, &outgoing, 0)
	switch rep.result {
	case balancer.OK:
		return answer{kind: served, reply: rep}, true
	case balancer.Overloaded, balancer.ConnectFailed, balancer.NotSent:
		f.returned.Add(1)
		return a, false
	}
	// The peer may be processing the request, so a second attempt here could run beside it.
	return answer{kind: failed, reply: attemptReply{use: rep.use, err: rep.err, result: rep.result}}, true
}

// reserve marks a request id as in flight. It returns false if the id is already in flight, here or at a peer. (The dispatcher
// knows only the requests in flight here.)
func (f *forwarder) reserve(id string) bool {
	if f == nil {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inFlight[id] {
		return false
	}
	f.inFlight[id] = true
	return true
}

// release removes the mark that reserve set.
func (f *forwarder) release(id string) {
	if f != nil {
		f.mu.Lock()
		delete(f.inFlight, id)
		f.mu.Unlock()
	}
}

// setMembers sets the peers to forward to.
func (f *forwarder) setMembers(members []message.Member, self string) {
	list := &listing{Revision: new(int64), Snapshot: true}
	var others []message.Member
	for _, m := range members {
		if m.Name != self && m.Forward != "" && checkAddress(m.Forward) == nil {
			others = append(others, m)
			list.Endpoints = append(list.Endpoints, endpoint{Name: m.Name, Address: m.Forward, Zone: m.Site, Status: statusReady, StartedMs: float64(m.Incarnation.StartedMs)})
		}
	}
	f.pool.directory.apply(list)
	f.mu.Lock()
	f.decider.SetMembers(others)
	f.mu.Unlock()
}

// close cancels the requests at peers, and closes the connections from peers.
func (f *forwarder) close() {
	if f == nil {
		return
	}
	f.abort()
	if f.srv != nil {
		f.conns.stopped.Store(true)
		_ = f.srv.Close()
	}
	_ = f.listener.Close()
}

// statsAttrs returns the pressure and the counts of forwarded requests as log attributes.
func (f *forwarder) statsAttrs() []slog.Attr {
	f.mu.Lock()
	pressure, hot := f.gauge.Now(), f.gauge.Hot()
	f.mu.Unlock()
	attr := func(name string, x float64) slog.Attr { return slog.Float64(name, math.Round(x*100)/100) }
	return []slog.Attr{slog.Group("pressure", slog.Bool("hot", hot), attr("cpu", pressure.CPU), attr("sockets", pressure.Sockets), attr("heap", pressure.Heap),
		attr("in_flight", pressure.InFlight), attr("site", pressure.Site)),
		slog.Int64("forwarded", f.forwarded.Load()), slog.Int64("returned", f.returned.Load()),
		slog.Int64("accepted_from_peers", f.accepted.Load()), slog.Int64("rejected_from_peers", f.rejected.Load())}
}
