package gossipbench

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

const maxQueuedPackets = 1024 // datagrams that wait at one member; a kernel's socket buffer holds about as many

// fabric is a network in memory that loses and delays datagrams. Streams lose nothing, as with TCP, and are delayed only when opened.
type fabric struct {
	loss  float64
	delay time.Duration // one way; a datagram takes 0.5 to 1.5 times as long

	mu         sync.Mutex
	rng        *rand.Rand
	transports map[string]*transport
}

// transport is one member's transport.
type transport struct {
	fabric  *fabric
	ip      net.IP
	port    int
	packets chan *memberlist.Packet
	streams chan net.Conn
	done    chan struct{}
	sent    atomic.Int64 // bytes sent, of datagrams and streams
	dropped atomic.Int64 // datagrams that arrived while maxQueuedPackets waited
}

// newTransport returns the transport of member number n, and adds it to the network.
func (f *fabric) newTransport(n int) *transport {
	e := &transport{fabric: f, ip: net.IPv4(127, 1, byte(n>>8), byte(n)), port: 7946, packets: make(chan *memberlist.Packet, maxQueuedPackets),
		streams: make(chan net.Conn, 16), done: make(chan struct{})}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.transports[e.String()] = e
	return e
}

func (e *transport) String() string { return net.JoinHostPort(e.ip.String(), strconv.Itoa(e.port)) }

// Network implements net.Addr.
func (e *transport) Network() string { return "memory" }

// FinalAdvertiseAddr returns the member's address.
func (e *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) { return e.ip, e.port, nil }

// WriteTo sends a datagram, which may be lost.
func (e *transport) WriteTo(b []byte, address string) (time.Time, error) {
	now := time.Now()
	e.sent.Add(int64(len(b)))
	e.fabric.mu.Lock()
	to, lost, delay := e.fabric.transports[address], e.fabric.rng.Float64() < e.fabric.loss, time.Duration((0.5+e.fabric.rng.Float64())*float64(e.fabric.delay))
	e.fabric.mu.Unlock()
	if to == nil || lost {
		return now, nil
	}
	p := &memberlist.Packet{Buf: append([]byte(nil), b...), From: e}
	time.AfterFunc(delay, func() {
		p.Timestamp = time.Now()
		select {
		case to.packets <- p:
		default:
			to.dropped.Add(1)
		}
	})
	return now, nil
}

// PacketCh returns the channel on which datagrams arrive.
func (e *transport) PacketCh() <-chan *memberlist.Packet { return e.packets }

// DialTimeout opens a stream.
func (e *transport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	e.fabric.mu.Lock()
	to := e.fabric.transports[address]
	e.fabric.mu.Unlock()
	if to == nil {
		return nil, fmt.Errorf("no member at %s", address)
	}
	time.Sleep(2 * e.fabric.delay)
	near, far := net.Pipe()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case to.streams <- &countingConn{far, &to.sent}:
		return &countingConn{near, &e.sent}, nil
	case <-to.done:
	case <-timer.C:
	}
	return nil, errors.New("no answer")
}

// StreamCh returns the channel on which streams arrive.
func (e *transport) StreamCh() <-chan net.Conn { return e.streams }

// Shutdown takes the member off the network.
func (e *transport) Shutdown() error {
	e.fabric.mu.Lock()
	defer e.fabric.mu.Unlock()
	if e.fabric.transports[e.String()] == e {
		delete(e.fabric.transports, e.String())
		close(e.done)
	}
	return nil
}

// countingConn is a connection that counts the bytes written to it.
type countingConn struct {
	net.Conn
	sent *atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}
