package plays

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
)

// counter passes connections on to a target and counts what goes over them: the bytes of streams, without the kernel's headers.
type counter struct {
	ln       net.Listener
	target   string
	sent     atomic.Int64 // to the target
	received atomic.Int64 // by it
	calls    atomic.Int64 // requests that began with what was sent at once

	mu      sync.Mutex
	conns   map[net.Conn]bool
	closed  bool
	running sync.WaitGroup
}

func newCounter(target string) (*counter, error) { return counterAt("127.0.0.1:0", target) }

func counterAt(address, target string) (*counter, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &counter{ln: ln, target: target, conns: map[net.Conn]bool{}}
	c.running.Go(c.accept)
	return c, nil
}

func (c *counter) address() string { return c.ln.Addr().String() }

// bytes are those of both ways.
func (c *counter) bytes() int64 { return c.sent.Load() + c.received.Load() }

func (c *counter) accept() {
	for {
		near, err := c.ln.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", c.target)
		if err != nil || !c.track(near, far) {
			_ = near.Close()
			if err == nil {
				_ = far.Close()
			}
			continue
		}
		c.running.Go(func() { c.forward(near, far, &c.sent, true) })
		c.running.Go(func() { c.forward(far, near, &c.received, false) })
	}
}

func (c *counter) track(both ...net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range both {
		c.conns[x] = true
	}
	return !c.closed
}

// forward ends both connections with the first end.
func (c *counter) forward(from, to net.Conn, n *atomic.Int64, requests bool) {
	defer func() { _ = from.Close() }()
	defer func() { _ = to.Close() }()
	defer func() {
		c.mu.Lock()
		delete(c.conns, from)
		c.mu.Unlock()
	}()
	buf := make([]byte, 32<<10)
	for {
		k, err := from.Read(buf)
		n.Add(int64(k))
		if requests && (bytes.HasPrefix(buf[:k], []byte("POST ")) || bytes.HasPrefix(buf[:k], []byte("GET ")) || bytes.HasPrefix(buf[:k], []byte("PUT "))) {
			c.calls.Add(1)
		}
		if k > 0 {
			if _, err := to.Write(buf[:k]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// close ends all connections and waits for what passes them on.
func (c *counter) close() {
	_ = c.ln.Close()
	c.mu.Lock()
	c.closed = true
	for x := range c.conns {
		_ = x.Close()
	}
	c.mu.Unlock()
	c.running.Wait()
}
