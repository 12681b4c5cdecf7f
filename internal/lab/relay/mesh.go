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
	maxHeldDatagrams = 4096 // datagrams to one party that are held up; what is more vanishes, as in a full queue
	maxConnsPerLink  = 16   // connections that one link of a mesh carries at once; more are refused
)

// Mesh is the links between parties that talk to each other over datagrams and connections, each party at one address for
// all: a link knows who sends by the source address, which every party has one of its own of.
type Mesh struct {
	mu         sync.Mutex
	hubs       map[string]*hub // by party
	partyByIP  map[string]string
	directions map[[2]string]*direction // from and to
	onRequest  func(from, to string, r *http.Request)
}

// hub is where all others reach one party: one socket for datagrams and one listener, whatever the number of the others.
type hub struct {
	mesh      *Mesh
	name      string
	target    *net.UDPAddr
	datagrams *net.UDPConn
	listener  net.Listener
	done      sync.WaitGroup
	held      atomic.Int64 // datagrams on the way
}

// direction is the link of an ordered pair.
type direction struct {
	link *Link // carries connections that from opens

	mu        sync.Mutex
	requested State // as set
	effective State // with what the way back has set for this one
	rng       *rand.Rand
	count     Passed
}

// Passed counts the datagrams of a way.
type Passed struct{ Packets, Bytes, Lost int }

// NewMesh is a mesh without parties.
func NewMesh() *Mesh {
	return &Mesh{hubs: map[string]*hub{}, partyByIP: map[string]string{}, directions: map[[2]string]*direction{}}
}

// Add puts a party into the mesh, which listens and sends at target and which the others reach at address. seed draws what is
// lost on the ways to it.
func (m *Mesh) Add(name, address, target string, seed uint64) error {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return fmt.Errorf("mesh: %s: %w", name, err)
	}
	h := &hub{mesh: m, name: name}
	if h.target, err = net.ResolveUDPAddr("udp", target); err != nil {
		return fmt.Errorf("mesh: %s: %w", name, err)
	}
	if h.datagrams, err = net.ListenUDP("udp", at); err != nil {
		return fmt.Errorf("mesh: %s: %w", name, err)
	}
	if h.listener, err = net.Listen("tcp", address); err != nil {
		_ = h.datagrams.Close()
		return fmt.Errorf("mesh: %s: %w", name, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for other := range m.hubs {
		for _, of := range [][2]string{{name, other}, {other, name}} {
			to := target
			if of[1] != name {
				to = m.hubs[other].target.String()
			}
			m.directions[of] = &direction{rng: rand.New(rand.NewPCG(seed, uint64(len(m.directions)))),
				link: &Link{From: of[0], To: of[1], target: to, onRequest: m.requestObserver(of[0], of[1]), onEnd: func(string) {}, changed: make(chan struct{}), conns: map[*pair]bool{}}}
		}
	}
	m.hubs[name], m.partyByIP[h.target.IP.String()] = h, name
	h.done.Go(h.receive)
	h.done.Go(h.accept)
	return nil
}

// Set changes what the link between two parties does, from now on. Forth is what from sends, over either's connections too.
func (m *Mesh) Set(from, to string, s State) error {
	m.mu.Lock()
	w, back := m.directions[[2]string{from, to}], m.directions[[2]string{to, from}]
	m.mu.Unlock()
	if w == nil {
		return fmt.Errorf("mesh: no link from %s to %s", from, to)
	}
	w.mu.Lock()
	w.requested = s
	w.mu.Unlock()
	return errors.Join(w.combine(back), back.combine(w))
}

// combine puts in force what both directions have set.
func (w *direction) combine(back *direction) error {
	back.mu.Lock()
	b := back.requested
	back.mu.Unlock()
	w.mu.Lock()
	s := w.requested
	s.SilentForth, s.SilentBack, s.Reset = s.SilentForth || b.SilentBack, s.SilentBack || b.SilentForth, s.Reset || b.Reset
	w.effective = s
	w.mu.Unlock()
	return w.link.Set(s)
}

// Count is what went from one party to another in datagrams.
func (m *Mesh) Count(from, to string) Passed {
	m.mu.Lock()
	w := m.directions[[2]string{from, to}]
	m.mu.Unlock()
	if w == nil {
		return Passed{}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count
}

// directionFrom is the way that somebody at an address takes to h; nil: a stranger.
func (h *hub) directionFrom(address net.IP) *direction {
	h.mesh.mu.Lock()
	defer h.mesh.mu.Unlock()
	return h.mesh.directions[[2]string{h.mesh.partyByIP[address.String()], h.name}]
}

// receive passes datagrams on, until the mesh closes.
func (h *hub) receive() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, source, err := h.datagrams.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // what the kernel says of a datagram before: its target is down
			continue
		}
		w := h.directionFrom(source.IP)
		if w == nil {
			continue
		}
		wait, lost := w.drawDelay(n)
		if lost || h.held.Load() >= maxHeldDatagrams {
			continue
		}
		if wait <= 0 {
			_, _ = h.datagrams.WriteToUDP(buf[:n], h.target) // a datagram may be lost
			continue
		}
		data := append([]byte(nil), buf[:n]...)
		h.held.Add(1)
		time.AfterFunc(wait, func() {
			h.held.Add(-1)
			_, _ = h.datagrams.WriteToUDP(data, h.target) // the same; once the mesh is closed nothing goes out
		})
	}
}

// drawDelay is what becomes of a datagram.
func (w *direction) drawDelay(n int) (wait time.Duration, lost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.effective
	if s.SilentForth || s.Reset || s.Loss > 0 && w.rng.Float64() < s.Loss {
		w.count.Lost++
		return 0, true
	}
	w.count.Packets++
	w.count.Bytes += n
	wait = s.Delay
	if s.Jitter > 0 {
		wait += time.Duration(w.rng.Int64N(int64(s.Jitter)))
	}
	return wait, false
}

// accept carries connections, until the mesh closes. On a silent link they come up and bring nothing.
func (h *hub) accept() {
	for {
		c, err := h.listener.Accept()
		if err != nil {
			return // closed
		}
		w := h.directionFrom(c.RemoteAddr().(*net.TCPAddr).IP)
		if w == nil {
			abort(c)
			continue
		}
		w.link.carryAccepted(c)
	}
}

// carryAccepted carries a connection that a mesh has accepted.
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

// Close ends the mesh and all that it carries, and waits until it has.
func (m *Mesh) Close() {
	m.mu.Lock()
	hubs, ways := m.hubs, m.directions
	m.mu.Unlock()
	for _, h := range hubs {
		_ = h.datagrams.Close()
		_ = h.listener.Close()
	}
	for _, h := range hubs {
		h.done.Wait()
	}
	for _, w := range ways {
		w.link.Close()
	}
}
