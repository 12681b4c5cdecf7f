// Package memnet provides a network in memory for the bubbles of testing/synctest. Every wait in it is durably blocking, so
// that the bubble's clock advances, and it reports every connection and every byte in the order of that clock.
//
// Every message takes time to arrive, so that its effects are later than the message itself. Events of several hosts at the
// same moment have no defined order: whoever compares two runs has to choose one.
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
	backlog     = 128      // maximum number of connections that wait to be accepted; further dials wait
	windowBytes = 64 << 10 // maximum bytes in one direction of a connection that are on their way or unread
	firstPort   = 40000    // the local ports of dialled connections are above this
)

// Kind is the kind of an Event.
type Kind int

// The kinds of events on a connection. Ends means that one side has closed its sending direction, Closes that a side has
// closed its end of the connection, and Resets that a side has broken the connection, also by closing it with unread bytes.
const (
	Dials Kind = iota
	Refuses
	Leaves // the dialler has stopped waiting
	Sends
	Ends
	Closes
	Resets
)

// Event is something that a host did on a connection. Bytes are the bytes that it sent.
type Event struct {
	At       time.Time
	Conn     int // number from 1, in the order in which connections were dialled
	From, To string
	Kind     Kind
	Bytes    []byte
}

// Network connects hosts. The network, its hosts and their connections must be used in one bubble.
type Network struct {
	observe func(Event)

	mu        sync.Mutex
	changed   *sync.Cond
	hosts     map[string]*Host // by IP address
	dialCount int
}

// New returns a network that calls observe for each event, one at a time. observe must not call the network.
func New(observe func(Event)) *Network {
	n := &Network{observe: observe, hosts: map[string]*Host{}}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// wait waits for a change, or until the given time if that is not zero. The caller holds mu.
func (n *Network) wait(until time.Time) {
	if !until.IsZero() {
		defer time.AfterFunc(time.Until(until), n.wake).Stop()
	}
	n.changed.Wait()
}

// wake wakes all goroutines that wait on the network.
func (n *Network) wake() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.changed.Broadcast()
}

// Close kills every host, so that all calls that wait on the network return an error.
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
	// The network's lock guards the fields below.
	silent        bool
	lastPort      int // local port of the latest connection that the host dialled
	listeners     map[int]*listener
	ends          []*connEnd
	connectDelays []time.Duration // additional delays of the next connections to the host; if negative, the connection is never established
}

// Host adds a machine. A message between two hosts takes the sum of their delays, which must be above 0.
func (n *Network) Host(name, ip string, delay time.Duration) *Host {
	h := &Host{network: n, name: name, ip: net.ParseIP(ip), delay: delay, lastPort: firstPort, listeners: map[int]*listener{}}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[h.ip.String()] = h
	return h
}

// Name returns the host's name in events.
func (h *Host) Name() string { return h.name }

// Silence cuts the host off, or with false connects it again. While it is cut off, nothing reaches it or leaves it and
// nothing fails; what is sent meanwhile arrives afterwards.
func (h *Host) Silence(on bool) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.silent = on
	h.network.changed.Broadcast()
}

// Late delays the next connection to the host by the given time. If that is negative, that connection is never
// established. A further call applies to the connection after that.
func (h *Host) Late(delay time.Duration) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.connectDelays = append(h.connectDelays, delay)
}

// Kill ends the host's process: its connections are reset, and new ones are refused until it listens again.
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

// Listen accepts connections on a port from 1 to 65535.
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

// Dial opens a TCP connection to an address of the network, which takes twice the delay between the hosts. The connection is
// refused if no listener has the port. Dial blocks until ctx ends if there is no such host or one of the two is silent.
func (h *Host) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, fmt.Errorf("port %q: %w", portText, err)
	}
	n := h.network
	defer context.AfterFunc(ctx, n.wake)()
	n.mu.Lock()
	defer n.mu.Unlock()
	to := n.hosts[host]
	n.dialCount++
	h.lastPort++
	localPort := h.lastPort
	d := &dialAttempt{network: n, number: n.dialCount, from: h, to: to, toName: address}
	if to != nil {
		d.toName, d.delay = to.name, h.delay+to.delay
	}
	d.observe(h.name, d.toName, Dials)
	dialError := func(err error) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: network, Addr: &net.TCPAddr{IP: net.ParseIP(host), Port: port}, Err: err}
	}
	extraDelay := time.Duration(0)
	if to != nil && len(to.connectDelays) > 0 {
		extraDelay, to.connectDelays = to.connectDelays[0], to.connectDelays[1:]
		d.neverConnects = extraDelay < 0
	}
	if err := d.awaitArrival(ctx, d.delay+extraDelay); err != nil {
		return dialError(err)
	}
	for to.listeners[port] != nil && len(to.listeners[port].queue) >= backlog && ctx.Err() == nil {
		n.wait(time.Time{})
	}
	l := to.listeners[port]
	if l == nil {
		d.observe(to.name, h.name, Refuses)
	}
	if err := d.awaitArrival(ctx, d.delay); err != nil {
		return dialError(err)
	}
	if l != nil && l.closed { // closed while the connection was being established
		d.observe(to.name, h.name, Refuses)
	}
	if l == nil || l.closed {
		return dialError(os.NewSyscallError("connect", syscall.ECONNREFUSED))
	}
	near := &connEnd{network: n, host: h, number: d.number, delay: d.delay, addr: &net.TCPAddr{IP: h.ip, Port: localPort}}
	far := &connEnd{network: n, host: to, number: d.number, delay: d.delay, addr: &net.TCPAddr{IP: to.ip, Port: port}, peer: near}
	near.peer = far
	h.ends, to.ends = append(h.ends, near), append(to.ends, far)
	l.queue = append(l.queue, far)
	n.changed.Broadcast()
	return near, nil
}

// dialAttempt is a connection that is being established.
type dialAttempt struct {
	network       *Network
	number        int
	from, to      *Host
	toName        string
	delay         time.Duration
	neverConnects bool // the connection is never established
}

// observe reports an event of the attempt. The caller holds the network's lock.
func (d *dialAttempt) observe(from, to string, kind Kind) {
	d.network.observe(Event{At: time.Now(), Conn: d.number, From: from, To: to, Kind: kind})
}

// awaitArrival waits until a message that is sent now and takes delay has arrived. It fails if ctx ends first.
func (d *dialAttempt) awaitArrival(ctx context.Context, delay time.Duration) error {
	due := time.Now().Add(delay)
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

// listener accepts connections on a port of a host.
type listener struct {
	host           *Host
	port           int
	queue          []*connEnd
	acceptDeadline time.Time // the deadline of Accept
	closed         bool
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return &net.TCPAddr{IP: l.host.ip, Port: l.port} }

// opError wraps err in a net.OpError for an operation.
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

// SetDeadline sets the deadline of Accept.
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

// Close ends the listening. Connections that were not accepted are reset.
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
