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
	milli              = time.Millisecond
	clientDelay        = time.Millisecond
	discoveryDelay     = time.Millisecond
	killDelay          = 3700 * time.Millisecond // from SIGTERM to SIGKILL: 3 s, as the longest deadline is longer, and 0.7 s
	oldDiscoveryLinger = 1500 * time.Millisecond // for which an address that discovery has left keeps its open watches
)

var upstreamDelays = [2]time.Duration{2 * milli, 3 * milli}

// orderHarness is one order being played.
type orderHarness struct {
	t     *testing.T
	ctx   context.Context
	net   *memnet.Network
	begun time.Time
	fault plantedFault

	sidecar *memnet.Host
	reloads chan Reload
	stop    context.CancelFunc
	ended   chan struct{} // the sidecar has

	mu             sync.Mutex
	recording      bool // the record goes on
	record         transcript.Transcript
	events         []memnet.Event
	clients        [2]*orderClient
	upstreams      [2]*orderUpstream
	requestCount   int // requests so far
	clientRequests map[string]*orderRequest
	answers        map[string][]*orderAnswer

	discovery    *orderDiscovery // where it is now
	discoveries  []*orderDiscovery
	snapshots    bool          // watches begin with the whole list
	dedupWindow  time.Duration // for repeats of what is idempotent by key
	twoZones     bool          // upstream 2 stands in another zone
	listIndex    int
	entries      [2]orderEntry
	changes      []*orderChange
	hangupAt     time.Time // SIGHUP
	terminatedAt time.Time // SIGTERM
	killedAt     time.Time // SIGKILL
	newConfig    func(address string) *Config
}

// orderRequest is a request that a client meant to send.
type orderRequest struct {
	id, method, target, body string
	class                    string
	timeout                  time.Duration
	pipelined                bool
}

func (w *orderHarness) observe(e memnet.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.recording {
		w.record.Take(e)
		w.events = append(w.events, e)
	}
}

// note puts words into the transcript.
func (w *orderHarness) note(from, to, format string, args ...any) {
	w.record.Say(from, to, format, args...)
}

// plantedFault is a fault that is put between the sidecar and the network; each may be nil.
type plantedFault struct {
	toUpstream  func(w *orderHarness, c net.Conn) net.Conn
	toClient    func(w *orderHarness, c net.Conn) net.Conn
	toDiscovery func(w *orderHarness, c net.Conn) net.Conn
	settings    func(*Config)
	killDelay   time.Duration // SIGTERM; 0: when it is time
}

func newOrderHarness(t *testing.T, o *order, p plantedFault) *orderHarness {
	ctx, cancel := context.WithCancel(t.Context())
	w := &orderHarness{t: t, ctx: ctx, fault: p, reloads: make(chan Reload), ended: make(chan struct{}),
		clientRequests: map[string]*orderRequest{}, answers: map[string][]*orderAnswer{}, listIndex: 1, twoZones: o.twoZones, snapshots: o.snapshots, dedupWindow: o.dedupWindow}
	w.net = memnet.New(w.observe)
	w.begun, w.recording = time.Now(), true
	w.record.Begin()
	for i := range w.clients {
		w.clients[i] = &orderClient{h: w, host: w.net.Host(fmt.Sprint("client-", i+1), fmt.Sprint("10.0.0.", i+2), clientDelay)}
	}
	for i := range w.upstreams {
		w.entries[i] = orderEntry{status: statusReady}
		u := &orderUpstream{h: w, number: i, autoAnswer: o.autoAnswer[i], host: w.net.Host(fmt.Sprint("up-", i+1), fmt.Sprint("10.0.0.1", i+1), upstreamDelays[i])}
		w.upstreams[i] = u
		u.listen()
	}
	w.discovery = newOrderDiscovery(w, "discovery", "10.0.0.9")
	w.discoveries = append(w.discoveries, w.discovery)
	known := []string{w.entryJSON(0), w.entryJSON(1)}
	w.newConfig = func(address string) *Config {
		c := testConfig(t, address, known...)
		s := &c.Settings
		s.Hedging, s.MustSubscribe = false, o.onDemand
		s.Classes[1].DedupWindow = o.dedupWindow
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
		l = &faultyListener{l, w}
	}
	c := w.newConfig("10.0.0.9:7000")
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

// faultyListener hands on clients' connections with a fault in them.
type faultyListener struct {
	net.Listener
	w *orderHarness
}

func (l *faultyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.w.fault.toClient(l.w, c), nil
}

// SetDeadline bounds Accept.
func (l *faultyListener) SetDeadline(t time.Time) error {
	return l.Listener.(interface{ SetDeadline(time.Time) error }).SetDeadline(t)
}

// dial is the sidecar's way out.
func (w *orderHarness) dial(ctx context.Context, network, address string) (net.Conn, error) {
	wrap := w.fault.toDiscovery
	if address == up1 || address == up2 {
		wrap = w.fault.toUpstream
	}
	c, err := w.sidecar.Dial(ctx, network, address)
	if err == nil && wrap != nil {
		c = wrap(w, c)
	}
	return c, err
}

// The clients.
