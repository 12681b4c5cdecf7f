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

// Faults that stand between the sidecar and the network, so that what the rules see is what a sidecar with that fault
// would do.

// faultyConn is a connection of the sidecar's with a fault in it.
type faultyConn struct {
	net.Conn
	write func(c net.Conn, p []byte) (int, error) // nil: without a fault
	read  func(c net.Conn, p []byte) (int, error)
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

// CloseWrite ends the sending, as the server does before it closes.
func (c *faultyConn) CloseWrite() error {
	return c.Conn.(interface{ CloseWrite() error }).CloseWrite()
}

func isHead(p []byte) bool {
	return bytes.HasPrefix(p, []byte("GET /")) || bytes.HasPrefix(p, []byte("POST /"))
}

// maxPlantedSeeds is how many seeds a planted fault may take to be found.
const maxPlantedSeeds = 3000

var plantedFaults = []struct {
	name      string
	violation string // part of what the rules say of it
	fault     plantedFault
}{
	{"each attempt goes out twice", "both at once", plantedFault{toUpstream: func(w *orderHarness, c net.Conn) net.Conn {
		return &faultyConn{Conn: c, write: func(c net.Conn, p []byte) (int, error) {
			if to := map[string]string{up1: up2, up2: up1}[c.RemoteAddr().String()]; isHead(p) {
				copied := bytes.Clone(p)
				go func() {
					if other, err := w.sidecar.Dial(w.ctx, "tcp", to); err == nil {
						_, _ = other.Write(copied)
					}
				}()
			}
			return c.Write(p)
		}}
	}}},
	{"what a reset broke off never ran", "where it may have run", plantedFault{toUpstream: func(_ *orderHarness, c net.Conn) net.Conn {
		planted := false
		return &faultyConn{Conn: c, read: func(c net.Conn, p []byte) (int, error) {
			n, err := c.Read(p)
			if errors.Is(err, syscall.ECONNRESET) && !planted {
				planted = true
				return copy(p, "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), nil
			}
			return n, err
		}}
	}}},
	{"requests go on for clients that have left", "its client had gone", plantedFault{toUpstream: func(w *orderHarness, c net.Conn) net.Conn {
		return &faultyConn{Conn: c, write: func(c net.Conn, p []byte) (int, error) {
			copied := bytes.Clone(p)
			go func() {
				if w.sleep(150 * milli) {
					_, _ = c.Write(copied)
				}
			}()
			return len(p), nil
		}}
	}}},
	{"drains are not read", "which was Terminating", plantedFault{toDiscovery: func(_ *orderHarness, c net.Conn) net.Conn {
		return &faultyConn{Conn: c, read: func(c net.Conn, p []byte) (int, error) {
			n, err := c.Read(p)
			copy(p, bytes.ReplaceAll(p[:n], []byte(`"Terminating"`), []byte(`"Ready"      `)))
			return n, err
		}}
	}}},
	{"silent watches go unnoticed", "told at 0s", plantedFault{toDiscovery: func(_ *orderHarness, c net.Conn) net.Conn {
		begun := false
		return &faultyConn{Conn: c, read: func(c net.Conn, p []byte) (int, error) {
			if begun {
				_ = c.SetReadDeadline(time.Now().Add(2 * time.Second)) // fails on a closed connection only
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
	{"an empty 200 for a failure", "no upstream has made", plantedFault{toClient: func(_ *orderHarness, c net.Conn) net.Conn {
		return &faultyConn{Conn: c, write: func(c net.Conn, p []byte) (int, error) {
			if bytes.HasPrefix(p, []byte("HTTP/1.1 502")) {
				_, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
				return len(p), err
			}
			return c.Write(p)
		}}
	}}},
	{"refusals for failures", "was refused", plantedFault{toClient: func(_ *orderHarness, c net.Conn) net.Conn {
		return &faultyConn{Conn: c, write: func(c net.Conn, p []byte) (int, error) {
			return c.Write(bytes.Replace(p, []byte("HTTP/1.1 502"), []byte("HTTP/1.1 503"), 1))
		}}
	}}},
	{"a request that no client sent", "which no client did", plantedFault{toUpstream: func(_ *orderHarness, c net.Conn) net.Conn {
		return &faultyConn{Conn: c, write: func(c net.Conn, p []byte) (int, error) {
			return c.Write(bytes.Replace(p, []byte("X-Request-Id: 0"), []byte("X-Request-Id: f"), 1))
		}}
	}}},
	{"keyed requests without a window", "longer ago than its window", plantedFault{settings: func(c *Config) {
		c.Settings.Classes[1].DedupWindow = time.Minute
	}}},
	{"an end with requests in hand", "was ended at", plantedFault{killDelay: 700 * milli}},
}

// Guards against rules that see nothing: each planted fault is found.
func TestOrdersFindPlantedFaults(t *testing.T) {
	discardLogs(t)
	t.Run("planted", func(t *testing.T) {
		for _, x := range plantedFaults {
			t.Run(x.name, func(t *testing.T) {
				var next atomic.Int64
				var found atomic.Bool
				var both sync.WaitGroup
				for range orderWorkers {
					both.Go(func() {
						for seed := next.Add(1); seed <= maxPlantedSeeds && !found.Load(); seed = next.Add(1) {
							broken, _ := playOrder(t, drawOrder(seed), x.fault, false)
							for _, text := range broken {
								if strings.Contains(text, x.violation) && !found.Swap(true) {
									t.Logf("found by seed %d: %s", seed, text)
								}
							}
						}
					})
				}
				both.Wait()
				if !found.Load() {
					t.Errorf("not found in %d orders", maxPlantedSeeds)
				}
			})
		}
	})
}
