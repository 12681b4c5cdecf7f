package scale

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const gateDial = 2 * time.Second

// Counts is what went through the gates of one process, between it and the list service. Messages are requests one way, and
// answers and lines of watches the other; they are counted where a gate reads along.
type Counts struct {
	Up, Down         atomic.Int64 // bytes
	UpMsgs, DownMsgs atomic.Int64
}

// Gate carries the connections of one process to one replica, and counts what passes. It can break all of them at once.
type Gate struct {
	to     string
	counts *Counts
	line   func(text []byte) // of each line of a watch; nil: the gate does not read along

	listener net.Listener
	mu       sync.Mutex
	closed   bool
	conns    map[net.Conn]bool
	done     sync.WaitGroup
}

// buffers are held only while bytes pass, so that thousands of idle connections cost none.
var buffers = sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }}

// NewGate opens a gate to a replica.
func NewGate(to string, counts *Counts, line func([]byte)) (*Gate, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("gate to %s: %w", to, err)
	}
	g := &Gate{to: to, counts: counts, line: line, listener: ln, conns: map[net.Conn]bool{}}
	g.done.Go(g.accept)
	return g, nil
}

// Address is where the process connects.
func (g *Gate) Address() string { return g.listener.Addr().String() }

func (g *Gate) accept() {
	for {
		in, err := g.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // for want of descriptors
			continue
		}
		if !g.hold(in) {
			return
		}
		g.done.Go(func() { g.carry(in) })
	}
}

func (g *Gate) hold(c net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		_ = c.Close()
		return false
	}
	g.conns[c] = true
	return true
}

func (g *Gate) drop(c net.Conn) {
	_ = c.Close()
	g.mu.Lock()
	delete(g.conns, c)
	g.mu.Unlock()
}

func (g *Gate) carry(in net.Conn) {
	defer g.drop(in)
	out, err := net.DialTimeout("tcp", g.to, gateDial)
	if err != nil {
		_ = in.(*net.TCPConn).SetLinger(0) // refused, as it would have been without a gate
		return
	}
	if !g.hold(out) {
		return
	}
	defer g.drop(out)
	var up, down io.WriteCloser
	var readers sync.WaitGroup
	if g.line != nil {
		up, down = g.along(&readers, g.requests), g.along(&readers, g.answers)
	}
	var forth sync.WaitGroup
	forth.Go(func() {
		pass(out, in, &g.counts.Up, up)
		_ = out.(*net.TCPConn).CloseWrite() // it may be gone already
	})
	pass(in, out, &g.counts.Down, down)
	_ = in.Close()
	_ = out.Close()
	forth.Wait()
	readers.Wait()
}

// along has what passes read by a goroutine too, until it is closed.
func (g *Gate) along(readers *sync.WaitGroup, read func(*bufio.Reader) error) io.WriteCloser {
	r, w := io.Pipe()
	readers.Go(func() { r.CloseWithError(read(bufio.NewReader(r))) })
	return w
}

func (g *Gate) requests(r *bufio.Reader) error {
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return err
		}
		g.counts.UpMsgs.Add(1)
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return err
		}
	}
}

func (g *Gate) answers(r *bufio.Reader) error {
	for {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return err
		}
		g.counts.DownMsgs.Add(1)
		if resp.ContentLength >= 0 {
			_, err = io.Copy(io.Discard, resp.Body)
		} else {
			lines := bufio.NewReader(resp.Body)
			for {
				var text []byte
				if text, err = lines.ReadBytes('\n'); err != nil {
					break
				}
				g.counts.DownMsgs.Add(1)
				if len(text) > 1 {
					g.line(text)
				}
			}
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
	}
}

// pass moves bytes until one side has ended.
func pass(to, from net.Conn, count *atomic.Int64, along io.WriteCloser) {
	if along != nil {
		defer func() { _ = along.Close() }()
	}
	raw, err := from.(*net.TCPConn).SyscallConn()
	if err != nil {
		return
	}
	for over := false; !over; {
		err := raw.Read(func(fd uintptr) bool {
			b := buffers.Get().(*[]byte)
			defer buffers.Put(b)
			n, err := syscall.Read(int(fd), *b)
			switch {
			case err == syscall.EAGAIN:
				return false
			case err == syscall.EINTR:
				return true
			case n <= 0:
				over = true
				return true
			}
			count.Add(int64(n))
			if _, err := to.Write((*b)[:n]); err != nil {
				over = true
			}
			if along != nil {
				_, _ = along.Write((*b)[:n]) // fails once nothing more is read
			}
			return true
		})
		over = over || err != nil
	}
}

// Break resets all connections. New ones are carried.
func (g *Gate) Break() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns { // all first: the end of one side has the other closed
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	for c := range g.conns {
		_ = c.Close()
	}
}

// Close ends the gate with all that it carries.
func (g *Gate) Close() {
	g.mu.Lock()
	g.closed = true
	_ = g.listener.Close()
	for c := range g.conns {
		_ = c.Close()
	}
	g.mu.Unlock()
	g.done.Wait()
}

// door is the gates of one process, one for each replica.
type door struct {
	Counts
	gates []*Gate
}

func newDoor(replicas []string, line func([]byte)) (*door, error) {
	d := &door{}
	for _, a := range replicas {
		g, err := NewGate(a, &d.Counts, line)
		if err != nil {
			d.close()
			return nil, err
		}
		d.gates = append(d.gates, g)
	}
	return d, nil
}

func (d *door) addresses() (all []string) {
	for _, g := range d.gates {
		all = append(all, g.Address())
	}
	return all
}

func (d *door) breakAll() {
	for _, g := range d.gates {
		g.Break()
	}
}

func (d *door) close() {
	for _, g := range d.gates {
		g.Close()
	}
}
