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
	datagramMost = 64 << 10
	onTheWayMost = 4096 // datagrams to one party that are held up; what is more vanishes, as in a full queue
	streamsMost  = 16   // connections that one link of a mesh carries at once; more are refused
)

// Mesh is the links between parties that talk to each other over datagrams and connections, each party at one address for
// all: a link knows who sends by the source address, which every party has one of its own of.
type Mesh struct {
	mu    sync.Mutex
	hubs  map[string]*hub // by party
	party map[string]string
	ways  map[[2]string]*way // from and to
	heard func(from, to string, r *http.Request)
}

// hub is where all others reach one party: one socket for datagrams and one listener, whatever the number of the others.
type hub struct {
	m        *Mesh
	name     string
	target   *net.UDPAddr
	packets  *net.UDPConn
	listener net.Listener
	done     sync.WaitGroup
	held     atomic.Int64 // datagrams on the way
}

// way is the link of an ordered pair.
type way struct {
	link *Link // carries connections that from opens

	mu    sync.Mutex
	own   State // as set
	state State // with what the way back has set for this one
	rng   *rand.Rand
	count Passed
}

// Passed counts the datagrams of a way.
type Passed struct{ Packets, Bytes, Lost int }

// NewMesh is a mesh without parties.
func NewMesh() *Mesh {
	return &Mesh{hubs: map[string]*hub{}, party: map[string]string{}, ways: map[[2]string]*way{}}
}

// Add puts a party into the mesh, which listens and sends at target and which the others reach at address. seed draws what is
// lost on the ways to it.
func (m *Mesh) Add(name, address, target string, seed uint64) error {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return fmt.Errorf("mesh: %s: %w", name, err)
	}
	h := &hub{m: m, name: name}
	if h.target, err = net.ResolveUDPAddr("udp", target); err != nil {
		return fmt.Errorf("mesh: %s: %w", name, err)
	}
	if h.packets, err = net.ListenUDP("udp", at); err != nil {
		return fmt.Errorf("mesh: %s: %w", name, err)
	}
	if h.listener, err = net.Listen("tcp", address); err != nil {
		_ = h.packets.Close()
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
			m.ways[of] = &way{rng: rand.New(rand.NewPCG(seed, uint64(len(m.ways)))),
				link: &Link{From: of[0], To: of[1], target: to, heard: m.hear(of[0], of[1]), onEnd: func(string) {}, changed: make(chan struct{}), conns: map[*pair]bool{}}}
		}
	}
	m.hubs[name], m.party[h.target.IP.String()] = h, name
	h.done.Go(h.receive)
	h.done.Go(h.accept)
	return nil
}

// Set changes what the link between two parties does, from now on. Forth is what from sends, over either's connections too.
func (m *Mesh) Set(from, to string, s State) error {
	m.mu.Lock()
	w, back := m.ways[[2]string{from, to}], m.ways[[2]string{to, from}]
	m.mu.Unlock()
	if w == nil {
		return fmt.Errorf("mesh: no link from %s to %s", from, to)
	}
	w.mu.Lock()
	w.own = s
	w.mu.Unlock()
	return errors.Join(w.join(back), back.join(w))
}

// join puts in force what both directions have set.
func (w *way) join(back *way) error {
	back.mu.Lock()
	b := back.own
	back.mu.Unlock()
	w.mu.Lock()
	s := w.own
	s.SilentForth, s.SilentBack, s.Reset = s.SilentForth || b.SilentBack, s.SilentBack || b.SilentForth, s.Reset || b.Reset
	w.state = s
	w.mu.Unlock()
	return w.link.Set(s)
}

// Count is what went from one party to another in datagrams.
func (m *Mesh) Count(from, to string) Passed {
	m.mu.Lock()
	w := m.ways[[2]string{from, to}]
	m.mu.Unlock()
	if w == nil {
		return Passed{}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count
}

// from is the way that somebody at an address takes to h; nil: a stranger.
func (h *hub) from(address net.IP) *way {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	return h.m.ways[[2]string{h.m.party[address.String()], h.name}]
}

// receive passes datagrams on, until the mesh closes.
func (h *hub) receive() {
	buf := make([]byte, datagramMost)
	for {
		n, source, err := h.packets.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // what the kernel says of a datagram before: its target is down
			continue
		}
		w := h.from(source.IP)
		if w == nil {
			continue
		}
		wait, lost := w.fate(n)
		if lost || h.held.Load() >= onTheWayMost {
			continue
		}
		if wait <= 0 {
			_, _ = h.packets.WriteToUDP(buf[:n], h.target) // a datagram may be lost
			continue
		}
		data := append([]byte(nil), buf[:n]...)
		h.held.Add(1)
		time.AfterFunc(wait, func() {
			h.held.Add(-1)
			_, _ = h.packets.WriteToUDP(data, h.target) // the same; once the mesh is closed nothing goes out
		})
	}
}

// fate is what becomes of a datagram.
func (w *way) fate(n int) (wait time.Duration, lost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.state
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
		w := h.from(c.RemoteAddr().(*net.TCPAddr).IP)
		if w == nil {
			abort(c)
			continue
		}
		w.link.take(c)
	}
}

// take carries a connection that a mesh has accepted.
func (l *Link) take(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.state.Reset || len(l.conns) >= streamsMost {
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
	hubs, ways := m.hubs, m.ways
	m.mu.Unlock()
	for _, h := range hubs {
		_ = h.packets.Close()
		_ = h.listener.Close()
	}
	for _, h := range hubs {
		h.done.Wait()
	}
	for _, w := range ways {
		w.link.Close()
	}
}
