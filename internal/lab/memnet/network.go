// Package memnet is a network in memory for the bubbles of testing/synctest: every wait in it is durably blocking, so
// that the bubble's clock goes on, and it tells of every connection and every byte in the order of that clock.
//
// A way takes time, so that what follows from a message comes later than the message; what parties do at the same moment
// has no order, and whoever compares two plays has to choose one.
package memnet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	backlog     = 128      // connections that wait to be accepted; one more has to wait itself
	windowBytes = 64 << 10 // bytes on one way of a connection, on the way or unread
	firstPort   = 40000    // of those that dial
)

// Kind says what an Event tells.
type Kind int

// What may happen on a connection. Ends is one side's sending that is over; Closes is that side's end of the connection
// closed; Resets is a connection broken by that side, also by closing it unread.
const (
	Dials Kind = iota
	Refuses
	Leaves // the dialler waits no longer
	Sends
	Ends
	Closes
	Resets
)

// Event is something that a host did on a connection; Bytes are what it sent.
type Event struct {
	At       time.Time
	Conn     int // counted from 1, in the order in which they were dialled
	From, To string
	Kind     Kind
	Bytes    []byte
}

// Network joins hosts. It, and all that is called on it, belongs to one bubble.
type Network struct {
	observe func(Event)

	mu        sync.Mutex
	changed   *sync.Cond
	hosts     map[string]*Host // by IP address
	dialCount int
}

// New makes a network that tells observe of each event, one at a time; observe must not call the network.
func New(observe func(Event)) *Network {
	n := &Network{observe: observe, hosts: map[string]*Host{}}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// wait waits, with mu held, for a change or until then; the zero time is never.
func (n *Network) wait(until time.Time) {
	if !until.IsZero() {
		defer time.AfterFunc(time.Until(until), n.wake).Stop()
	}
	n.changed.Wait()
}

func (n *Network) wake() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.changed.Broadcast()
}

// Close kills every host: whoever waits on the network gets an error.
func (n *Network) Close() {
	n.mu.Lock()
	hosts := n.hosts
	n.mu.Unlock()
	for _, h := range hosts {
		h.Kill()
	}
}

// Host is a machine with an address of its own.
type Host struct {
	network *Network
	name    string
	ip      net.IP
	delay   time.Duration
	// The fields below are under the network's lock.
	silent        bool
	lastPort      int
	listeners     map[int]*listener
	ends          []*connEnd
	connectDelays []time.Duration // of the next connections to it
}

// Host adds a machine. A way between two takes the sum of their delays, which has to be above 0.
func (n *Network) Host(name, ip string, delay time.Duration) *Host {
	h := &Host{network: n, name: name, ip: net.ParseIP(ip), delay: delay, lastPort: firstPort, listeners: map[int]*listener{}}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[h.ip.String()] = h
	return h
}

// Name is what events call it.
func (h *Host) Name() string { return h.name }

// Silence cuts the host off, or with false back on: nothing reaches it or leaves it, nothing fails, and what is on its
// way meanwhile comes afterwards.
func (h *Host) Silence(on bool) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.silent = on
	h.network.changed.Broadcast()
}

// Late has the next connection to the host come up that much later, or with a negative time never; called again, the one
// after that.
func (h *Host) Late(by time.Duration) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.connectDelays = append(h.connectDelays, by)
}

// Kill ends the host's process: its connections are reset, and new ones refused until it listens again.
func (h *Host) Kill() {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	for _, l := range h.listeners {
		l.closed = true
	}
	clear(h.listeners)
	for _, e := range slices.Clone(h.ends) {
		e.reset()
	}
	h.network.changed.Broadcast()
}

// Listen takes connections on a port, from 1 to 65535.
func (h *Host) Listen(port int) (net.Listener, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	l := &listener{host: h, port: port}
	if h.listeners[port] != nil {
		return nil, l.opError("listen", syscall.EADDRINUSE)
	}
	h.listeners[port] = l
	return l, nil
}

// Dial opens a TCP connection to an address of the network. It lasts twice the way there; where nobody listens it is
// refused, and where no host is or one is silent it lasts until ctx ends.
func (h *Host) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	host, text, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		return nil, fmt.Errorf("port %q: %w", text, err)
	}
	n := h.network
	defer context.AfterFunc(ctx, n.wake)()
	n.mu.Lock()
	defer n.mu.Unlock()
	to := n.hosts[host]
	n.dialCount++
	h.lastPort++
	from := h.lastPort
	d := &dialAttempt{network: n, number: n.dialCount, from: h, to: to, toName: address}
	if to != nil {
		d.toName, d.delay = to.name, h.delay+to.delay
	}
	d.observe(h.name, d.toName, Dials)
	failed := func(err error) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: network, Addr: &net.TCPAddr{IP: net.ParseIP(host), Port: port}, Err: err}
	}
	late := time.Duration(0)
	if to != nil && len(to.connectDelays) > 0 {
		late, to.connectDelays = to.connectDelays[0], to.connectDelays[1:]
		d.neverConnects = late < 0
	}
	if err := d.awaitArrival(ctx, d.delay+late); err != nil {
		return failed(err)
	}
	for to.listeners[port] != nil && len(to.listeners[port].queue) >= backlog && ctx.Err() == nil {
		n.wait(time.Time{})
	}
	l := to.listeners[port]
	if l == nil {
		d.observe(to.name, h.name, Refuses)
	}
	if err := d.awaitArrival(ctx, d.delay); err != nil {
		return failed(err)
	}
	if l != nil && l.closed { // while it came up
		d.observe(to.name, h.name, Refuses)
	}
	if l == nil || l.closed {
		return failed(os.NewSyscallError("connect", syscall.ECONNREFUSED))
	}
	near := &connEnd{network: n, host: h, number: d.number, delay: d.delay, addr: &net.TCPAddr{IP: h.ip, Port: from}}
	far := &connEnd{network: n, host: to, number: d.number, delay: d.delay, addr: &net.TCPAddr{IP: to.ip, Port: port}, peer: near}
	near.peer = far
	h.ends, to.ends = append(h.ends, near), append(to.ends, far)
	l.queue = append(l.queue, far)
	n.changed.Broadcast()
	return near, nil
}

// dialAttempt is a connection that is coming up.
type dialAttempt struct {
	network       *Network
	number        int
	from, to      *Host
	toName        string
	delay         time.Duration
	neverConnects bool // it never comes up
}

func (d *dialAttempt) observe(from, to string, kind Kind) {
	d.network.observe(Event{At: time.Now(), Conn: d.number, From: from, To: to, Kind: kind})
}

// awaitArrival waits until what was sent now is there, that much later, or ctx ends.
func (d *dialAttempt) awaitArrival(ctx context.Context, way time.Duration) error {
	due := time.Now().Add(way)
	for {
		until := due
		if reached(due) {
			if d.to != nil && !d.neverConnects && !d.from.silent && !d.to.silent {
				return nil
			}
			until = time.Time{}
		}
		if err := ctx.Err(); err != nil {
			d.observe(d.from.name, d.toName, Leaves)
			if errors.Is(err, context.DeadlineExceeded) {
				return os.ErrDeadlineExceeded
			}
			return err
		}
		d.network.wait(until)
	}
}

// listener is a port of a host that takes connections.
type listener struct {
	host           *Host
	port           int
	queue          []*connEnd
	acceptDeadline time.Time // the deadline of Accept
	closed         bool
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return &net.TCPAddr{IP: l.host.ip, Port: l.port} }

func (l *listener) opError(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Addr: l.Addr(), Err: err}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	n := l.host.network
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		switch {
		case l.closed:
			return nil, l.opError("accept", net.ErrClosed)
		case reached(l.acceptDeadline):
			return nil, l.opError("accept", os.ErrDeadlineExceeded)
		case len(l.queue) > 0:
			e := l.queue[0]
			l.queue = l.queue[1:]
			n.changed.Broadcast()
			return e, nil
		}
		n.wait(l.acceptDeadline)
	}
}

// SetDeadline bounds Accept.
func (l *listener) SetDeadline(t time.Time) error {
	n := l.host.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if l.closed {
		return l.opError("set", net.ErrClosed)
	}
	l.acceptDeadline = t
	n.changed.Broadcast()
	return nil
}

// Close ends the listening; connections that nobody accepted are reset.
func (l *listener) Close() error {
	n := l.host.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if l.closed {
		return l.opError("close", net.ErrClosed)
	}
	l.closed = true
	delete(l.host.listeners, l.port)
	for _, e := range l.queue {
		e.reset()
	}
	n.changed.Broadcast()
	return nil
}
