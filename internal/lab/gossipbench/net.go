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

const packetsMost = 1024 // that wait at one member; a kernel's socket buffer holds about as many

// fabric is a network in memory that loses and delays datagrams; streams are whole, as TCP's are, and come up late.
type fabric struct {
	loss  float64
	delay time.Duration // one way; each datagram takes half to one and a half of it

	mu   sync.Mutex
	rng  *rand.Rand
	ends map[string]*end
}

// end is one member's transport.
type end struct {
	f       *fabric
	ip      net.IP
	port    int
	packets chan *memberlist.Packet
	streams chan net.Conn
	done    chan struct{}
	sent    atomic.Int64 // bytes, of datagrams and streams
	dropped atomic.Int64 // that came while packetsMost waited
}

// end makes the transport of member number n.
func (f *fabric) end(n int) *end {
	e := &end{f: f, ip: net.IPv4(127, 1, byte(n>>8), byte(n)), port: 7946, packets: make(chan *memberlist.Packet, packetsMost),
		streams: make(chan net.Conn, 16), done: make(chan struct{})}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ends[e.String()] = e
	return e
}

func (e *end) String() string { return net.JoinHostPort(e.ip.String(), strconv.Itoa(e.port)) }

// Network implements net.Addr.
func (e *end) Network() string { return "memory" }

// FinalAdvertiseAddr is the member's address.
func (e *end) FinalAdvertiseAddr(string, int) (net.IP, int, error) { return e.ip, e.port, nil }

// WriteTo sends a datagram, which may be lost.
func (e *end) WriteTo(b []byte, address string) (time.Time, error) {
	now := time.Now()
	e.sent.Add(int64(len(b)))
	e.f.mu.Lock()
	to, lost, wait := e.f.ends[address], e.f.rng.Float64() < e.f.loss, time.Duration((0.5+e.f.rng.Float64())*float64(e.f.delay))
	e.f.mu.Unlock()
	if to == nil || lost {
		return now, nil
	}
	p := &memberlist.Packet{Buf: append([]byte(nil), b...), From: e}
	time.AfterFunc(wait, func() {
		p.Timestamp = time.Now()
		select {
		case to.packets <- p:
		default:
			to.dropped.Add(1)
		}
	})
	return now, nil
}

// PacketCh is where datagrams arrive.
func (e *end) PacketCh() <-chan *memberlist.Packet { return e.packets }

// DialTimeout opens a stream.
func (e *end) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	e.f.mu.Lock()
	to := e.f.ends[address]
	e.f.mu.Unlock()
	if to == nil {
		return nil, fmt.Errorf("nobody at %s", address)
	}
	time.Sleep(2 * e.f.delay)
	near, far := net.Pipe()
	late := time.NewTimer(timeout)
	defer late.Stop()
	select {
	case to.streams <- &counted{far, &to.sent}:
		return &counted{near, &e.sent}, nil
	case <-to.done:
	case <-late.C:
	}
	return nil, errors.New("no answer")
}

// StreamCh is where streams arrive.
func (e *end) StreamCh() <-chan net.Conn { return e.streams }

// Shutdown takes the member off the network.
func (e *end) Shutdown() error {
	e.f.mu.Lock()
	defer e.f.mu.Unlock()
	if e.f.ends[e.String()] == e {
		delete(e.f.ends, e.String())
		close(e.done)
	}
	return nil
}

// counted counts what is written.
type counted struct {
	net.Conn
	sent *atomic.Int64
}

func (c *counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}
