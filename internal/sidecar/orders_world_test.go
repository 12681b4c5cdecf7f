package sidecar

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"mosslead/internal/lab/memnet"
	"mosslead/internal/lab/transcript"
)

// The parties of an order: two clients, two upstreams and discovery around one sidecar, in a bubble. They do what an
// order's acts say and know nothing of the sidecar but what comes over the wire.

const (
	milli        = time.Millisecond
	clientWay    = time.Millisecond
	discoveryWay = time.Millisecond
	killWait     = 3700 * time.Millisecond // from SIGTERM to SIGKILL: 3 s, as the longest deadline is longer, and 0.7 s
	oldStays     = 1500 * time.Millisecond // for which an address that discovery has left keeps its open watches
)

var upWays = [2]time.Duration{2 * milli, 3 * milli}

// world is one order being played.
type world struct {
	t     *testing.T
	ctx   context.Context
	net   *memnet.Network
	begun time.Time
	plant plant

	sidecar *memnet.Host
	reloads chan Reload
	stop    context.CancelFunc
	ended   chan struct{} // the sidecar has

	mu        sync.Mutex
	on        bool // the record goes on
	record    transcript.Transcript
	events    []memnet.Event
	clients   [2]*orderClient
	ups       [2]*orderUpstream
	requested int // requests so far
	sent      map[string]*orderRequest
	answers   map[string][]*orderAnswer

	disc        *orderDiscovery // where it is now
	discoveries []*orderDiscovery
	complete    bool          // watches begin with the whole list
	window      time.Duration // for repeats of what is idempotent by key
	scope       bool          // upstream 2 stands in another zone
	index       int
	entries     [2]orderEntry
	changes     []*orderChange
	moved       time.Time // SIGHUP
	termed      time.Time // SIGTERM
	killed      time.Time // SIGKILL
	config      func(address string) *Config
}

// orderRequest is a request that a client meant to send.
type orderRequest struct {
	id, method, target, body string
	class                    string
	timeout                  time.Duration
	pipelined                bool
}

func (w *world) observe(e memnet.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.on {
		w.record.Take(e)
		w.events = append(w.events, e)
	}
}

// say puts words into the transcript.
func (w *world) say(from, to, format string, args ...any) { w.record.Say(from, to, format, args...) }

// plant is a fault that is put between the sidecar and the network; each may be nil.
type plant struct {
	toUpstream  func(w *world, c net.Conn) net.Conn
	toClient    func(w *world, c net.Conn) net.Conn
	toDiscovery func(w *world, c net.Conn) net.Conn
	settings    func(*Config)
	killsAfter  time.Duration // SIGTERM; 0: when it is time
}

func newWorld(t *testing.T, o *order, p plant) *world {
	ctx, cancel := context.WithCancel(t.Context())
	w := &world{t: t, ctx: ctx, plant: p, reloads: make(chan Reload), ended: make(chan struct{}),
		sent: map[string]*orderRequest{}, answers: map[string][]*orderAnswer{}, index: 1, scope: o.twoZones, complete: o.complete, window: o.window}
	w.net = memnet.New(w.observe)
	w.begun, w.on = time.Now(), true
	w.record.Begin()
	for i := range w.clients {
		w.clients[i] = &orderClient{w: w, host: w.net.Host(fmt.Sprint("client-", i+1), fmt.Sprint("10.0.0.", i+2), clientWay)}
	}
	for i := range w.ups {
		w.entries[i] = orderEntry{status: statusReady}
		u := &orderUpstream{w: w, number: i, auto: o.auto[i], host: w.net.Host(fmt.Sprint("up-", i+1), fmt.Sprint("10.0.0.1", i+1), upWays[i])}
		w.ups[i] = u
		u.listen()
	}
	w.disc = newOrderDiscovery(w, "discovery", "10.0.0.9")
	w.discoveries = append(w.discoveries, w.disc)
	known := []string{w.line(0), w.line(1)}
	w.config = func(address string) *Config {
		c := testConfig(t, address, known...)
		s := &c.Settings
		s.Hedging, s.MustSubscribe = false, o.onDemand
		s.Classes[1].DedupWindow = o.window
		c.dial = w.dial
		if p.settings != nil {
			p.settings(c)
		}
		return c
	}
	w.sidecar = w.net.Host("sidecar", "10.0.0.1", 0)
	l, err := w.sidecar.Listen(9000)
	if err != nil {
		t.Fatal(err)
	}
	if p.toClient != nil {
		l = &plantedListener{l, w}
	}
	c := w.config("10.0.0.9:7000")
	run, stop := context.WithCancel(ctx)
	w.stop = stop
	go func() {
		defer close(w.ended)
		_ = serve(run, c, l, nil, "", w.reloads) // it ends with an error where it is killed
	}()
	t.Cleanup(func() {
		cancel()
		w.net.Close()
		<-w.ended
	})
	return w
}

// plantedListener hands on clients' connections with a fault in them.
type plantedListener struct {
	net.Listener
	w *world
}

func (l *plantedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.w.plant.toClient(l.w, c), nil
}

// SetDeadline bounds Accept.
func (l *plantedListener) SetDeadline(t time.Time) error {
	return l.Listener.(interface{ SetDeadline(time.Time) error }).SetDeadline(t)
}

// dial is the sidecar's way out.
func (w *world) dial(ctx context.Context, network, address string) (net.Conn, error) {
	wrap := w.plant.toDiscovery
	if address == upstream1Address || address == upstream2Address {
		wrap = w.plant.toUpstream
	}
	c, err := w.sidecar.Dial(ctx, network, address)
	if err == nil && wrap != nil {
		c = wrap(w, c)
	}
	return c, err
}

// The clients.
