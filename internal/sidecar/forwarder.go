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
	forwardOut    = 16                    // connections to peers, and
	forwardIn     = 32                    // from them; their descriptors are set aside
	forwardMargin = 5 * time.Millisecond  // before the client's time is up, for the answer to reach it
	crossTime     = 20 * time.Millisecond // there and back between sites
)

// forwarder forwards requests to peers and accepts theirs. Once a peer has an attempt of a request, nothing
// else is done with it; only the peer's answer that it never began returns it.
type forwarder struct {
	pool      *upstreamPool // peers in the place of upstreams: a pool that sends nothing twice
	listener  net.Listener
	srv       *http.Server
	conns     *clientConns
	accepted  atomic.Int64 // forwarded to this sidecar and admitted
	rejected  atomic.Int64 // and rejected under pressure
	forwarded atomic.Int64 // forwarded by this sidecar
	returned  atomic.Int64 // of them, those that came home unbegun
	abort     context.CancelFunc
	ctx       context.Context // of what is out

	mu            sync.Mutex
	decider       *forwarding.Decider
	gauge         forwarding.Gauge
	inFlight      map[string]bool // ids, here or with a peer
	crossZoneCost float64         // of a crossing, as a share of a request's worth
}

// newForwarder listens for peers, where they are to send.
func newForwarder(c *Config, clk clock) (*forwarder, error) {
	in, err := net.Listen("tcp", c.Peers.Forward)
	if err != nil {
		return nil, fmt.Errorf("listening for peers: %w", err)
	}
	f := &forwarder{pool: newUpstreamPool(c, clk, forwardOut), listener: in, decider: forwarding.NewDecider(c.Peers.site(c), c.Seed), crossZoneCost: c.Settings.CrossZoneCost,
		inFlight: map[string]bool{}}
	f.pool.dial = c.dial.from(c.Peers.Forward)
	f.ctx, f.abort = context.WithCancel(context.Background())
	return f, nil
}

// serve takes what peers forward, with the server that clients have; it ends with close.
func (f *forwarder) serve(s *server) {
	f.conns = newClientConns(f.listener, forwardIn)
	f.srv = &http.Server{Handler: f.handler(s), ReadHeaderTimeout: requestTimeout, IdleTimeout: clientIdleTimeout, MaxHeaderBytes: maxHeader,
		DisableGeneralOptionsHandler: true, ConnState: f.conns.state, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		}}
	go func() {
		if err := f.srv.Serve(f.conns); !errors.Is(err, http.ErrServerClosed) {
			logWarning(ofPeers, "server for forwarded requests stopped", err)
		}
	}()
}

// handler admits what comes from peers: not what has come two hops, and nothing under pressure. What it refuses has not begun.
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

// forward forwards a request if that is worth more than to keep it. done says that the answer is final; else the request has not
// begun anywhere and goes on at home.
func (f *forwarder) forward(ctx context.Context, now time.Duration, r *clientRequest) (a answer, done bool) {
	if f == nil || r.bodyPending || r.forwarded { // a body that is still coming could not come home
		return a, false
	}
	f.mu.Lock()
	choice, to := f.decider.Choose(now, &f.gauge, forwarding.Request{TimeLeft: r.expiresAt - now, RoundTrip: crossTime, Cost: f.crossZoneCost})
	f.mu.Unlock()
	if choice != forwarding.Forward {
		return a, false
	}
	client := ctx
	defer func() {
		f.mu.Lock()
		f.decider.Done(to, done && a.kind == served || client.Err() != nil) // a client that left says nothing of the peer
		f.mu.Unlock()
	}()
	f.forwarded.Add(1)
	ctx, cancel := context.WithTimeout(ctx, r.expiresAt-now-forwardMargin)
	defer cancel()
	defer context.AfterFunc(f.ctx, cancel)()
	hop := *r
	hop.header = r.header.Clone()
	hop.header.Set(forwarding.HeaderHop, "1")
	rep := f.pool.attempt(ctx, to, &hop, 0)
	switch rep.result {
	case balancer.OK:
		return answer{kind: served, reply: rep}, true
	case balancer.Overloaded, balancer.ConnectFailed, balancer.NotSent:
		f.returned.Add(1)
		return a, false
	}
	// It may have run. A second attempt here could stand beside the peer's, which a cut link keeps out of sight.
	return answer{kind: failed, reply: attemptReply{use: rep.use, err: rep.err, result: rep.result}}, true
}

// reserve takes a request in flight, by its id; false: one of that id is in flight, here or with a peer. The loop tells only of those
// that it has.
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

// release ends what claim began.
func (f *forwarder) release(id string) {
	if f != nil {
		f.mu.Lock()
		delete(f.inFlight, id)
		f.mu.Unlock()
	}
}

// setMembers says which peers there are.
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

// close ends what comes from peers, then what is out.
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

// figures words the pressure and what was forwarded, for operators.
func (f *forwarder) figures() []slog.Attr {
	f.mu.Lock()
	at, hot := f.gauge.Now(), f.gauge.Hot()
	f.mu.Unlock()
	part := func(name string, x float64) slog.Attr { return slog.Float64(name, math.Round(x*100)/100) }
	return []slog.Attr{slog.Group("pressure", slog.Bool("hot", hot), part("cpu", at.CPU), part("sockets", at.Sockets), part("heap", at.Heap),
		part("in_flight", at.InFlight), part("site", at.Site)),
		slog.Int64("forwarded", f.forwarded.Load()), slog.Int64("returned", f.returned.Load()),
		slog.Int64("accepted_from_peers", f.accepted.Load()), slog.Int64("rejected_from_peers", f.rejected.Load())}
}
