package sidecar

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Guards against an error that its peer can't read: what it sent besides is unread when the connection is closed, and a socket
// closed with bytes unread is reset.
func TestErrorIsReadBeforeTheClose(t *testing.T) {
	t.Parallel()
	s := newUpstream(t, respondWith(ok200("")))
	r := rigOf(t, s)
	much := strings.Repeat("GET /search/1 HTTP/1.1\r\nHost: s\r\n\r\n", 1000)
	for name, text := range map[string]string{
		"no HTTP":                "\x00\x01\r\n" + much,
		"a bad request":          "GET /none/1 HTTP/1.1\r\nHost: s\r\n\r\n" + much,
		"a coding nobody knows":  "POST /confirm/1 HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: gzip\r\n\r\n" + much,
		"a body that is too big": "POST /confirm/1 HTTP/1.1\r\nHost: s\r\nX-Request-ID: 1\r\nContent-Length: 99999999\r\n\r\n" + much,
	} {
		p := dialRaw(t, r.address)
		p.send(text)
		resp, err := http.ReadResponse(p.r, nil)
		if err != nil || resp.StatusCode < 400 {
			t.Errorf("%s: %v, %v", name, resp, err)
			continue
		}
		if _, err := io.ReadAll(resp.Body); err != nil { // words without a length: the end has to come in order
			t.Errorf("%s: %v", name, err)
		}
		p.over()
	}
	if n := len(s.requests()); n != 0 {
		t.Errorf("%d requests behind them were sent on", n)
	}
}

// shutConn runs a step at the very moment in which its sending is about to end.
type shutConn struct {
	*net.TCPConn
	before func(*net.TCPConn)
}

func (c *shutConn) CloseWrite() error {
	c.before(c.TCPConn)
	return c.TCPConn.CloseWrite()
}

type shutListener struct {
	net.Listener
	before func(*net.TCPConn)
}

func (l *shutListener) SetDeadline(at time.Time) error {
	return l.Listener.(*net.TCPListener).SetDeadline(at)
}

func (l *shutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &shutConn{c.(*net.TCPConn), l.before}, nil
}

// holds waits until so many bytes wait unread in a socket.
func holds(t *testing.T, c *net.TCPConn, atLeast int) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	buf := make([]byte, atLeast)
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		n := 0
		if err := raw.Control(func(fd uintptr) { n, _, _ = syscall.Recvfrom(int(fd), buf, syscall.MSG_PEEK) }); err != nil || n >= atLeast {
			return
		}
	}
	t.Error("the bytes never came")
}

// Guards against the request that comes in the very moment in which its resting connection is closed, after the last look: at
// SIGTERM, and to make room. Nobody can answer it any more. It is not sent on, the connection ends in order and without a reset,
// and its client is served on a new one.
func TestRequestAtTheMomentOfTheClose(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(r *testSidecar){
		"SIGTERM": func(r *testSidecar) { r.stop() },
		"room":    func(r *testSidecar) { dialRaw(t, r.address).send(text("confirm")) }, // held
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, _ := pendingUpstream(t)
			c := testConfig(t, quietDiscovery(t).address, entry("s", s.address, "Ready"))
			c.Limits.Sockets = fixedSockets + 2*2
			crossing := text("search")
			var p *rawClient
			var crossed atomic.Bool
			l := &shutListener{listenAt(t), func(on *net.TCPConn) {
				if p != nil && on.RemoteAddr().String() == p.LocalAddr().String() {
					p.send(crossing)
					holds(t, on, len(crossing))
					crossed.Store(true)
				}
			}}
			r := startOnListener(t, c, l, "")
			eventually(t, "ready", func() bool {
				resp, err := r.client.Get("http://" + r.address + "/-/ready")
				if err == nil {
					_ = resp.Body.Close()
				}
				return err == nil && resp.StatusCode == 200
			})
			r.client.CloseIdleConnections()
			p = dialRaw(t, r.address)
			p.send(text("search"))
			p.answered(200)
			end(r)
			p.over()
			if !crossed.Load() {
				t.Error("nothing crossed the end")
			}
			again := dialRaw(t, r.address)
			again.send(text("search"))
			again.answered(200)
			for _, g := range s.requests() {
				if strings.Contains(crossing, g.header.Get(headerID)) {
					t.Error("the request that crossed the end was sent on")
				}
			}
		})
	}
}

func listenAt(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}
