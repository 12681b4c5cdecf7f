package sidecar

import (
	"bytes"
	"errors"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// A planted fault is placed between the sidecar and the network, so that the rules see the traffic that a sidecar with that fault
// would cause.

// faultyConn is a connection of the sidecar with a planted fault.
type faultyConn struct {
	net.Conn
	write func(c net.Conn, p []byte) (int, error) // nil if writes have no fault
	read  func(c net.Conn, p []byte) (int, error) // nil if reads have no fault
}

func (c *faultyConn) Write(p []byte) (int, error) {
	if c.write == nil {
		return c.Conn.Write(p)
	}
	return c.write(c.Conn, p)
}

func (c *faultyConn) Read(p []byte) (int, error) {
	if c.read == nil {
		return c.Conn.Read(p)
	}
	return c.read(c.Conn, p)
}

// CloseWrite closes the sending side, as the server does before it closes a connection.
func (c *faultyConn) CloseWrite() error {
	return c.Conn.(interface{ CloseWrite() error }).CloseWrite()
}

// isHead reports whether p begins with the head of a request.
func isHead(p []byte) bool {
	return bytes.HasPrefix(p, []byte("GET /")) || bytes.HasPrefix(p, []byte("POST /"))
}

// maxPlantedSeeds is the number of seeds within which each planted fault must be found.
const maxPlantedSeeds = 3000

// plantedFaults lists the faults, each with a rule that has to detect it.
var plantedFaults = []struct {
	name      string
	violation string // part of the message of the rule that it violates
	fault     plantedFault
}{
	{"each attempt goes out twice", "at the same time", plantedFault{toUpstream: func(h *orderHarness, c net.Conn) net.Conn {
		return &faultyConn{Conn: c, write: func(c net.Conn, p []byte) (int, error) {
			if address := map[string]string{upstream1Address: upstream2Address, upstream2Address: upstream1Address}[c.RemoteAddr().String()]; isHead(p) {
				data := bytes.Clone(p)
				go func() {
					if other, err := h.sidecar.Dial(h.ctx, "tcp", address); err == nil {
						_, _ = other.Write(data)
					}
				}()
			}
			return c.Write(p)
		}}
	}}},
	{"attempts that a reset ended count as not processed", "may have run there", plantedFault{toUpstream: func(_ *orderHarness, c net.Conn) net.Conn {
		injected := false
		return &faultyConn{Conn: c, read: func(c net.Conn, p []byte) (int, error) {
			n, err := c.Read(p)
			if errors.Is(err, syscall.ECONNRESET) && !injected {
				injected = true
				return copy(p, "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), nil
			}
			return n, err
		}}
	}}},
	{"requests go on for clients that have left", "after its client had left", plantedFault{toUpstream: func(h *orderHarness, c net.Conn) net.Conn {
		return &faultyConn{Conn: c, write: func(c net.Conn, p []byte) (int, error) {
			data := bytes.Clone(p)
			go func() {
				if h.sleep(150 * milli) {
					_, _ = c.Write(data)
				}
			}()
			return len(p), nil
		}}
	}}},
	{"drained upstreams stay ready", "which was Terminating", plantedFault{toDiscovery: func(_ *orderHarness, c net.Conn) net.Conn {
		return &faultyConn{Conn: c, read: func(c net.Conn, p []byte) (int, error) {
			n, err := c.Read(p)
			copy(p, bytes.ReplaceAll(p[:n], []byte(`"Terminating"`), []byte(`"Ready"      `)))
			return n, err
		}}
	}}},
	{"silent watches go unnoticed", "announced at 0s", plantedFault{toDiscovery: func(_ *orderHarness, c net.Conn) net.Conn {
		begun := false
		return &faultyConn{Conn: c, read: func(c net.Conn, p []byte) (int, error) {
			if begun {
				_ = c.SetReadDeadline(time.Now().Add(2 * time.Second)) // fails only on a closed connection
			}
			n, err := c.Read(p)
			if errors.Is(err, os.ErrDeadlineExceeded) {
				return copy(p, "1\r\n\n\r\n"), nil
			}
			begun = true
			return n, err
		}}
	}}},
	{"failures are not answered", "no answer", plantedFault{toClient: func(_ *orderHarness, c net.Conn) net.Conn {
		return &faultyConn{Conn: c, write: func(c net.Conn, p []byte) (int, error) {
			if bytes.HasPrefix(p, []byte("HTTP/1.1 502")) {
				return len(p), nil
			}
			return c.Write(p)
		}}
	}}},
	{"answers go out twice", "answers to", plantedFault{toClient: func(_ *orderHarness, c net.Conn) net.Conn {
		return &faultyConn{Conn: c, write: func(c net.Conn, p []byte) (int, error) {
			_, _ = c.Write(p)
			return c.Write(p)
		}}
	}}},
	{"an empty 200 for a failure", "no upstream sent", plantedFault{toClient: func(_ *orderHarness, c net.Conn) net.Conn {
		return &faultyConn{Conn: c, write: func(c net.Conn, p []byte) (int, error) {
			if bytes.HasPrefix(p, []byte("HTTP/1.1 502")) {
				_, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
				return len(p), err
			}
			return c.Write(p)
		}}
	}}},
	{"failures are answered as refusals", "was refused", plantedFault{toClient: func(_ *orderHarness, c net.Conn) net.Conn {
		return &faultyConn{Conn: c, write: func(c net.Conn, p []byte) (int, error) {
			return c.Write(bytes.Replace(p, []byte("HTTP/1.1 502"), []byte("HTTP/1.1 503"), 1))
		}}
	}}},
	{"a request that no client sent", "which no client sent", plantedFault{toUpstream: func(_ *orderHarness, c net.Conn) net.Conn {
		return &faultyConn{Conn: c, write: func(c net.Conn, p []byte) (int, error) {
			return c.Write(bytes.Replace(p, []byte("X-Request-Id: 0"), []byte("X-Request-Id: f"), 1))
		}}
	}}},
	{"requests idempotent by key are repeated after their window", "longer ago than its window", plantedFault{settings: func(c *Config) {
		c.Settings.Classes[1].DedupWindow = time.Minute
	}}},
	{"SIGKILL while requests are in progress", "the sidecar ended its connection at", plantedFault{killDelay: 700 * milli}},
}

// Guards against rules that detect nothing: plants each fault in turn, and the rules have to report it.
func TestOrdersFindPlantedFaults(t *testing.T) {
	discardLogs(t)
	t.Run("planted", func(t *testing.T) {
		for _, x := range plantedFaults {
			t.Run(x.name, func(t *testing.T) {
				var lastSeed atomic.Int64
				var found atomic.Bool
				var workers sync.WaitGroup
				for range orderWorkers {
					workers.Go(func() {
						for seed := lastSeed.Add(1); seed <= maxPlantedSeeds && !found.Load(); seed = lastSeed.Add(1) {
							violations, _ := playOrder(t, drawOrder(seed), x.fault, false)
							for _, text := range violations {
								if strings.Contains(text, x.violation) && !found.Swap(true) {
									t.Logf("found by seed %d: %s", seed, text)
								}
							}
						}
					})
				}
				workers.Wait()
				if !found.Load() {
					t.Errorf("got no violation that contains %q in %d orders, want one", x.violation, maxPlantedSeeds)
				}
			})
		}
	})
}
