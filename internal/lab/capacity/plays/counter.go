package plays

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
)

// counter is a TCP proxy for a target that counts the bytes of the streams, without the kernel's headers.
type counter struct {
	ln       net.Listener
	target   string
	sent     atomic.Int64 // bytes to the target
	received atomic.Int64 // bytes from the target
	calls    atomic.Int64 // reads from clients that begin with a request line

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

// bytes returns the bytes of both directions.
func (c *counter) bytes() int64 { return c.sent.Load() + c.received.Load() }

func (c *counter) accept() {
	for {
		clientConn, err := c.ln.Accept()
		if err != nil {
			return
		}
		targetConn, err := net.Dial("tcp", c.target)
		if err != nil || !c.track(clientConn, targetConn) {
			_ = clientConn.Close()
			if err == nil {
				_ = targetConn.Close()
			}
			continue
		}
		c.running.Go(func() { c.forward(clientConn, targetConn, &c.sent, true) })
		c.running.Go(func() { c.forward(targetConn, clientConn, &c.received, false) })
	}
}

func (c *counter) track(conns ...net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range conns {
		c.conns[conn] = true
	}
	return !c.closed
}

// forward copies one direction until it ends, and then closes both connections.
func (c *counter) forward(src, dst net.Conn, count *atomic.Int64, requests bool) {
	defer func() { _ = src.Close() }()
	defer func() { _ = dst.Close() }()
	defer func() {
		c.mu.Lock()
		delete(c.conns, src)
		c.mu.Unlock()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		count.Add(int64(n))
		if requests && (bytes.HasPrefix(buf[:n], []byte("POST ")) || bytes.HasPrefix(buf[:n], []byte("GET ")) || bytes.HasPrefix(buf[:n], []byte("PUT "))) {
			c.calls.Add(1)
		}
		if n > 0 {
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// close closes all connections and waits until their copying has ended.
func (c *counter) close() {
	_ = c.ln.Close()
	c.mu.Lock()
	c.closed = true
	for conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.running.Wait()
}
