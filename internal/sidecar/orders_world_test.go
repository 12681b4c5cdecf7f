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

// An order is played by two clients, two upstreams and discovery around one sidecar, in a synctest bubble. They carry out the
// order's actions and know about the sidecar only what they receive from it over the network.

const (
	milli              = time.Millisecond
	clientDelay        = time.Millisecond
	discoveryDelay     = time.Millisecond
	killDelay          = 3700 * time.Millisecond // from SIGTERM to SIGKILL: maxDrainTime, 3 s, since the longest deadline is longer, plus 0.7 s
	oldDiscoveryLinger = 1500 * time.Millisecond // how long discovery keeps open watches at its old address after it has moved
)

var upstreamDelays = [2]time.Duration{2 * milli, 3 * milli}

// orderHarness plays one order against one sidecar.
type orderHarness struct {
	t     *testing.T
	ctx   context.Context
	net   *memnet.Network
	begun time.Time
	fault plantedFault

	sidecar *memnet.Host
	reloads chan Reload
	stop    context.CancelFunc
	ended   chan struct{} // closed when the sidecar has ended

	mu             sync.Mutex
	recording      bool // events are still recorded
	record         transcript.Transcript
	events         []memnet.Event
	clients        [2]*orderClient
	upstreams      [2]*orderUpstream
	requestCount   int                       // number of requests created so far
	clientRequests map[string]*orderRequest  // by id
	answers        map[string][]*orderAnswer // by the id of the request

	discovery    *orderDiscovery // the current one
	discoveries  []*orderDiscovery
	snapshots    bool          // watches begin with a snapshot of the list
	dedupWindow  time.Duration // DedupWindow of the class that is idempotent by key
	twoZones     bool          // upstream 2 is in another zone
	listIndex    int
	entries      [2]orderEntry
	changes      []*orderChange
	hangupAt     time.Time // time of SIGHUP
	terminatedAt time.Time // time of SIGTERM
	killedAt     time.Time // time of SIGKILL
	newConfig    func(address string) *Config
}

// orderRequest is a request that a client sends, perhaps only in part.
type orderRequest struct {
	id, method, target, body string
	class                    string
	timeout                  time.Duration
	pipelined                bool
}

// observe records a network event.
func (h *orderHarness) observe(e memnet.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.recording {
		h.record.Take(e)
		h.events = append(h.events, e)
	}
}

// note adds a note to the transcript.
func (h *orderHarness) note(from, to, format string, args ...any) {
	h.record.Say(from, to, format, args...)
}

// plantedFault is a fault between the sidecar and its network or settings; each func may be nil.
type plantedFault struct {
	toUpstream  func(h *orderHarness, c net.Conn) net.Conn
	toClient    func(h *orderHarness, c net.Conn) net.Conn
	toDiscovery func(h *orderHarness, c net.Conn) net.Conn
	settings    func(*Config)
	killDelay   time.Duration // from SIGTERM to SIGKILL; 0 means the constant killDelay
}

// newOrderHarness starts the sidecar, its clients, upstreams and discovery for an order.
func newOrderHarness(t *testing.T, o *order, fault plantedFault) *orderHarness {
	ctx, cancel := context.WithCancel(t.Context())
	h := &orderHarness{t: t, ctx: ctx, fault: fault, reloads: make(chan Reload), ended: make(chan struct{}),
		clientRequests: map[string]*orderRequest{}, answers: map[string][]*orderAnswer{}, listIndex: 1, twoZones: o.twoZones, snapshots: o.snapshots, dedupWindow: o.dedupWindow}
	h.net = memnet.New(h.observe)
	h.begun, h.recording = time.Now(), true
	h.record.Begin()
	for i := range h.clients {
		h.clients[i] = &orderClient{h: h, host: h.net.Host(fmt.Sprint("client-", i+1), fmt.Sprint("10.0.0.", i+2), clientDelay)}
	}
	for i := range h.upstreams {
		h.entries[i] = orderEntry{status: statusReady}
		u := &orderUpstream{h: h, number: i, autoAnswer: o.autoAnswer[i], host: h.net.Host(fmt.Sprint("up-", i+1), fmt.Sprint("10.0.0.1", i+1), upstreamDelays[i])}
		h.upstreams[i] = u
		u.listen()
	}
	h.discovery = newOrderDiscovery(h, "discovery", "10.0.0.9")
	h.discoveries = append(h.discoveries, h.discovery)
	entries := []string{h.entryJSON(0), h.entryJSON(1)}
	h.newConfig = func(address string) *Config {
		c := testConfig(t, address, entries...)
		s := &c.Settings
		s.Hedging, s.MustSubscribe = false, o.onDemand
		s.Classes[1].DedupWindow = o.dedupWindow
		c.dial = h.dial
		if fault.settings != nil {
			fault.settings(c)
		}
		return c
	}
	h.sidecar = h.net.Host("sidecar", "10.0.0.1", 0)
	l, err := h.sidecar.Listen(9000)
	if err != nil {
		t.Fatal(err)
	}
	if fault.toClient != nil {
		l = &faultyListener{l, h}
	}
	c := h.newConfig("10.0.0.9:7000")
	runCtx, stop := context.WithCancel(ctx)
	h.stop = stop
	go func() {
		defer close(h.ended)
		_ = serve(runCtx, c, l, nil, "", h.reloads) // returns an error if the sidecar is killed
	}()
	t.Cleanup(func() {
		cancel()
		h.net.Close()
		<-h.ended
	})
	return h
}

// faultyListener adds a planted fault to the connections of clients.
type faultyListener struct {
	net.Listener
	h *orderHarness
}

func (l *faultyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.h.fault.toClient(l.h, c), nil
}

// SetDeadline bounds Accept.
func (l *faultyListener) SetDeadline(t time.Time) error {
	return l.Listener.(interface{ SetDeadline(time.Time) error }).SetDeadline(t)
}

// dial makes the sidecar's outgoing connections and adds planted faults to them.
func (h *orderHarness) dial(ctx context.Context, network, address string) (net.Conn, error) {
	wrap := h.fault.toDiscovery
	if address == upstream1Address || address == upstream2Address {
		wrap = h.fault.toUpstream
	}
	c, err := h.sidecar.Dial(ctx, network, address)
	if err == nil && wrap != nil {
		c = wrap(h, c)
	}
	return c, err
}
