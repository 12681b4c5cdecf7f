package relay

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxDatagramBytes = 64 << 10
	maxHeldDatagrams = 4096 // delayed datagrams to one party; further ones are dropped, as by a full queue
	maxConnsPerLink  = 16   // connections that one link of a mesh carries at once; further ones are reset
)

// Mesh connects parties that communicate over datagrams and connections. All others reach a party at one address. The mesh
// identifies a sender by its source IP address, which no other party has.
type Mesh struct {
	mu         sync.Mutex
	hubs       map[string]*hub          // by party
	partyByIP  map[string]string        // names by source IP address
	directions map[[2]string]*direction // by the names of sender and receiver
	onRequest  func(from, to string, r *http.Request)
}

// hub receives what all others send to one party. It has one socket for datagrams and one listener, however many others
// there are.
type hub struct {
	mesh      *Mesh
	name      string
	target    *net.UDPAddr
	datagrams *net.UDPConn
	listener  net.Listener
	done      sync.WaitGroup
	held      atomic.Int64 // delayed datagrams that are not sent yet
}

// direction is the link of an ordered pair of parties: a Link for connections, and the state for datagrams.
type direction struct {
	link *Link // carries the connections that the sender opens

	mu        sync.Mutex
	requested State // as passed to Mesh.Set
	effective State // requested, with the silence and the reset that the opposite direction requests
	rng       *rand.Rand
	count     Passed
}

// Passed counts the datagrams of one direction.
type Passed struct{ Packets, Bytes, Lost int }

// NewMesh returns a mesh without parties.
func NewMesh() *Mesh {
	return &Mesh{hubs: map[string]*hub{}, partyByIP: map[string]string{}, directions: map[[2]string]*direction{}}
}

// Add adds a party to the mesh. The party listens and sends at target, and the others reach it at address. seed
// determines loss and jitter of the datagrams between it and the parties that were added before.
func (m *Mesh) Add(name, address, target string, seed uint64) error {
	listenAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return fmt.Errorf("mesh: %s: %w", name, err)
	}
	h := &hub{mesh: m, name: name}
	if h.target, err = net.ResolveUDPAddr("udp", target); err != nil {
		return fmt.Errorf("mesh: %s: %w", name, err)
	}
	if h.datagrams, err = net.ListenUDP("udp", listenAddress); err != nil {
		return fmt.Errorf("mesh: %s: %w", name, err)
	}
	if h.listener, err = net.Listen("tcp", address); err != nil {
		_ = h.datagrams.Close()
		return fmt.Errorf("mesh: %s: %w", name, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for other := range m.hubs {
		for _, key := range [][2]string{{name, other}, {other, name}} {
			linkTarget := target
			if key[1] != name {
				linkTarget = m.hubs[other].target.String()
			}
			m.directions[key] = &direction{rng: rand.New(rand.NewPCG(seed, uint64(len(m.directions)))),
				link: &Link{From: key[0], To: key[1], target: linkTarget, onRequest: m.requestObserver(key[0], key[1]), onEnd: func(string) {}, changed: make(chan struct{}), conns: map[*pair]bool{}}}
		}
	}
	m.hubs[name], m.partyByIP[h.target.IP.String()] = h, name
	h.done.Go(h.receive)
	h.done.Go(h.accept)
	return nil
}

// Set changes what the link between two parties does from now on. In s, forth stands for what from sends, also over
// connections that to opened.
func (m *Mesh) Set(from, to string, s State) error {
	m.mu.Lock()
	d, opposite := m.directions[[2]string{from, to}], m.directions[[2]string{to, from}]
	m.mu.Unlock()
	if d == nil {
		return fmt.Errorf("mesh: no link from %s to %s", from, to)
	}
	d.mu.Lock()
	d.requested = s
	d.mu.Unlock()
	return errors.Join(d.combine(opposite), opposite.combine(d))
}

// combine sets the effective state from the states requested for this direction and for the opposite one.
func (d *direction) combine(opposite *direction) error {
	opposite.mu.Lock()
	o := opposite.requested
	opposite.mu.Unlock()
	d.mu.Lock()
	s := d.requested
	s.SilentForth, s.SilentBack, s.Reset = s.SilentForth || o.SilentBack, s.SilentBack || o.SilentForth, s.Reset || o.Reset
	d.effective = s
	d.mu.Unlock()
	return d.link.Set(s)
}

// Count returns the counts of the datagrams from one party to another.
func (m *Mesh) Count(from, to string) Passed {
	m.mu.Lock()
	d := m.directions[[2]string{from, to}]
	m.mu.Unlock()
	if d == nil {
		return Passed{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.count
}

// directionFrom returns the direction to h from the party with an address, or nil if no party has it.
func (h *hub) directionFrom(address net.IP) *direction {
	h.mesh.mu.Lock()
	defer h.mesh.mu.Unlock()
	return h.mesh.directions[[2]string{h.mesh.partyByIP[address.String()], h.name}]
}

// receive forwards datagrams until the mesh closes.
func (h *hub) receive() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, source, err := h.datagrams.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // the kernel reports that the target of an earlier datagram is down
			continue
		}
		d := h.directionFrom(source.IP)
		if d == nil {
			continue
		}
		wait, lost := d.drawDelay(n)
		if lost || h.held.Load() >= maxHeldDatagrams {
			continue
		}
		if wait <= 0 {
			_, _ = h.datagrams.WriteToUDP(buf[:n], h.target) // the error is ignored: UDP may lose a datagram anyway
			continue
		}
		data := append([]byte(nil), buf[:n]...)
		h.held.Add(1)
		time.AfterFunc(wait, func() {
			h.held.Add(-1)
			_, _ = h.datagrams.WriteToUDP(data, h.target) // the error is ignored: UDP may lose the datagram anyway, and the write fails once the mesh is closed
		})
	}
}

// drawDelay draws whether a datagram of n bytes is lost, and its delay if it is not, and counts the datagram.
func (d *direction) drawDelay(n int) (wait time.Duration, lost bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.effective
	if s.SilentForth || s.Reset || s.Loss > 0 && d.rng.Float64() < s.Loss {
		d.count.Lost++
		return 0, true
	}
	d.count.Packets++
	d.count.Bytes += n
	wait = s.Delay
	if s.Jitter > 0 {
		wait += time.Duration(d.rng.Int64N(int64(s.Jitter)))
	}
	return wait, false
}

// accept forwards connections until the mesh closes. On a silent link, connections are established but pass no data.
func (h *hub) accept() {
	for {
		c, err := h.listener.Accept()
		if err != nil {
			return // closed
		}
		d := h.directionFrom(c.RemoteAddr().(*net.TCPAddr).IP)
		if d == nil {
			abort(c)
			continue
		}
		d.link.carryAccepted(c)
	}
}

// carryAccepted forwards a connection that the mesh's listener accepted.
func (l *Link) carryAccepted(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.state.Reset || len(l.conns) >= maxConnsPerLink {
		abort(c)
		return
	}
	p := &pair{in: c}
	l.conns[p] = true
	l.done.Add(1)
	go l.carry(p)
}

// Close ends the mesh and all its connections, and waits until they have ended.
func (m *Mesh) Close() {
	m.mu.Lock()
	hubs, directions := m.hubs, m.directions
	m.mu.Unlock()
	for _, h := range hubs {
		_ = h.datagrams.Close()
		_ = h.listener.Close()
	}
	for _, h := range hubs {
		h.done.Wait()
	}
	for _, d := range directions {
		d.link.Close()
	}
}
