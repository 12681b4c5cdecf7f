package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// receiveBuffer is the size of the receive buffers of upstreams that are made afterwards; 0: as the system has it.
var receiveBuffer int

// received is a request whose last byte has arrived at an upstream.
type received struct {
	upstream, id, method, target, timeout string
	headAt, at                            time.Duration // when its head and its last byte had been read
	conn                                  int
	bytes                                 int
}

// upstream is a server that reads requests one at a time on each connection; answer writes the answer, and returns false if
// the connection is to be closed.
type upstream struct {
	rec      *record
	name     string
	address  string
	listener net.Listener
	answer   func(c net.Conn, r received) bool
	readBody func(c net.Conn, r io.Reader) (int, error) // reads a body; nil: at once
	serveRaw func(c net.Conn)                           // serves a connection in place of all that; may be nil

	mu       sync.Mutex
	conns    int
	open     map[net.Conn]bool
	received []received
}

func newUpstream(rec *record, name string, answer func(net.Conn, received) bool) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable("%v", err)
	}
	u := &upstream{rec: rec, name: name, address: l.Addr().String(), listener: l, answer: answer, open: map[net.Conn]bool{}}
	if receiveBuffer > 0 {
		raw, _ := l.(*net.TCPListener).SyscallConn()
		_ = raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			u.conns++
			n := u.conns
			u.open[c] = true
			u.mu.Unlock()
			go u.serve(c, n)
		}
	}()
	return u
}

func (u *upstream) serve(c net.Conn, n int) {
	defer func() {
		_ = c.Close()
		u.mu.Lock()
		delete(u.open, c)
		u.mu.Unlock()
	}()
	if u.serveRaw != nil {
		u.serveRaw(c)
		return
	}
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		r := received{upstream: u.name, id: req.Header.Get("X-Request-Id"), method: req.Method, target: req.RequestURI,
			timeout: req.Header.Get("X-Timeout"), headAt: u.rec.now(), conn: n}
		read := u.readBody
		if read == nil {
			read = func(_ net.Conn, r io.Reader) (int, error) {
				n, err := io.Copy(io.Discard, r)
				return int(n), err
			}
		}
		if r.bytes, err = read(c, req.Body); err != nil {
			u.rec.log("%s got an incomplete %s %s id %s (%d bytes): %v", u.name, r.method, r.target, r.id, r.bytes, err)
			return
		}
		r.at = u.rec.now()
		u.mu.Lock()
		u.received = append(u.received, r)
		u.mu.Unlock()
		u.rec.log("%s took %s %s id %s on its connection %d, X-Timeout %s, body %d: it begins", u.name, r.method, r.target, r.id, n, r.timeout, r.bytes)
		if !u.answer(c, r) {
			return
		}
	}
}

func (u *upstream) all() []received {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]received(nil), u.received...)
}

func (u *upstream) entry(zone string) entry {
	return entry{Name: u.name, Address: u.address, Zone: zone, Type: machine, Group: 1, Status: "Ready", Weight: 1}
}

// end does what the end of the upstream's process does: connections are reset, new ones refused.
func (u *upstream) end() {
	_ = u.listener.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rec.log("%s ends", u.name)
	for c := range u.open {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}
