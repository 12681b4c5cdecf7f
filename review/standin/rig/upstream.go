package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Arrival is one request that reached an upstream.
type Arrival struct {
	Upstream  string
	ID        string
	Class     string
	Timeout   string // as the sidecar told it
	FirstByte time.Time
	LastByte  time.Time
	Conn      int
}

// Upstream is a stand-in for an upstream server.
type Upstream struct {
	Name, Address string
	rec           *Record
	listener      net.Listener
	onArrival     func(*Arrival) // called when a request has arrived whole
	// serve answers a request on its connection; false ends the connection.
	serve func(c net.Conn, a *Arrival) bool

	mu    sync.Mutex
	conns map[net.Conn]bool
	count int
	hung  chan struct{} // closed once the upstream hangs
}

// NewUpstream starts an upstream that answers with serve, and reports each whole request to onArrival first.
func NewUpstream(rec *Record, name string, onArrival func(*Arrival), serve func(net.Conn, *Arrival) bool) (*Upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &Upstream{Name: name, Address: l.Addr().String(), rec: rec, listener: l, onArrival: onArrival, serve: serve, conns: map[net.Conn]bool{}, hung: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			u.count++
			n := u.count
			u.conns[c] = true
			u.mu.Unlock()
			go u.handle(c, n)
		}
	}()
	return u, nil
}

func (u *Upstream) handle(c net.Conn, n int) {
	defer func() {
		_ = c.Close()
		u.mu.Lock()
		delete(u.conns, c)
		u.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		select {
		case <-u.hung:
			time.Sleep(time.Hour)
		default:
		}
		a := &Arrival{Upstream: u.Name, FirstByte: time.Now(), Conn: n}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return // broken off before its last byte: it never ran
		}
		a.LastByte = time.Now()
		a.ID, a.Class, a.Timeout = req.Header.Get("X-Request-Id"), req.Header.Get("X-Priority-Class"), req.Header.Get("X-Timeout")
		u.rec.Log("%s: request %s of class %s arrived on connection %d, X-Timeout %s", u.Name, a.ID, a.Class, n, a.Timeout)
		if a.ID == "" {
			_, _ = io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		u.onArrival(a)
		if !u.serve(c, a) {
			return
		}
	}
}

// Hang makes the upstream stop reading and answering; its connections stay open.
func (u *Upstream) Hang() { close(u.hung) }

// Close ends the upstream as a process that dies: its connections are reset and new ones are refused.
func (u *Upstream) Close() {
	_ = u.listener.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Answer writes a 200 answer with a body.
func Answer(c net.Conn, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}
