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

// Guards against an error that the client can't read: bytes that it sent after the request are unread when the connection is
// closed, and a socket closed with unread bytes is reset.
func TestErrorIsReadBeforeTheClose(t *testing.T) {
	t.Parallel()
	s := newUpstream(t, respondWith(ok200("")))
	r := startWithUpstream(t, s)
	requests := strings.Repeat("GET /search/1 HTTP/1.1\r\nHost: s\r\n\r\n", 1000)
	for name, text := range map[string]string{
		"no HTTP":                    "\x00\x01\r\n" + requests,
		"a bad request":              "GET /none/1 HTTP/1.1\r\nHost: s\r\n\r\n" + requests,
		"an unknown transfer coding": "POST /confirm/1 HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: gzip\r\n\r\n" + requests,
		"a body that is too big":     "POST /confirm/1 HTTP/1.1\r\nHost: s\r\nX-Request-ID: 1\r\nContent-Length: 99999999\r\n\r\n" + requests,
	} {
		client := dialRaw(t, r.address)
		client.send(text)
		resp, err := http.ReadResponse(client.r, nil)
		if err != nil || resp.StatusCode < 400 {
			t.Errorf("%s: got answer %v with error %v, want status 400 or more", name, resp, err)
			continue
		}
		if _, err := io.ReadAll(resp.Body); err != nil { // without a length, the body ends only with an orderly close
			t.Errorf("%s: reading the answer: %v", name, err)
		}
		client.expectClose()
	}
	if n := len(s.requests()); n != 0 {
		t.Errorf("%d requests reached the upstream, want 0", n)
	}
}

// halfCloseConn is a connection that calls onCloseWrite before its sending side is closed.
type halfCloseConn struct {
	*net.TCPConn
	onCloseWrite func(*net.TCPConn)
}

func (c *halfCloseConn) CloseWrite() error {
	c.onCloseWrite(c.TCPConn)
	return c.TCPConn.CloseWrite()
}

// halfCloseListener accepts halfCloseConns.
type halfCloseListener struct {
	net.Listener
	onCloseWrite func(*net.TCPConn)
}

func (l *halfCloseListener) SetDeadline(at time.Time) error {
	return l.Listener.(*net.TCPListener).SetDeadline(at)
}

func (l *halfCloseListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &halfCloseConn{c.(*net.TCPConn), l.onCloseWrite}, nil
}

// awaitUnreadBytes waits until minBytes or more unread bytes are in a socket.
func awaitUnreadBytes(t *testing.T, c *net.TCPConn, minBytes int) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	buf := make([]byte, minBytes)
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		n := 0
		if err := raw.Control(func(fd uintptr) { n, _, _ = syscall.Recvfrom(int(fd), buf, syscall.MSG_PEEK) }); err != nil || n >= minBytes {
			return
		}
	}
	t.Errorf("fewer than %d bytes arrived in %v", minBytes, testTimeout)
}

// Guards against mishandling a request that arrives at the moment in which its idle connection is closed, after the last
// check: at SIGTERM, and on eviction. It can't be answered any more. It must not be sent to an upstream, the connection must be
// closed without a reset, and the client must be served on a new one.
func TestRequestAtTheMomentOfTheClose(t *testing.T) {
	t.Parallel()
	for name, closeConn := range map[string]func(r *testSidecar){
		"SIGTERM": func(r *testSidecar) { r.stop() },
		"room":    func(r *testSidecar) { dialRaw(t, r.address).send(requestText("confirm")) }, // stays unanswered
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, _ := pendingUpstream(t)
			c := testConfig(t, quietDiscovery(t).address, entry("s", s.address, "Ready"))
			c.Limits.Sockets = fixedSockets + 2*2
			crossing := requestText("search")
			var client *rawClient
			var crossed atomic.Bool
			l := &halfCloseListener{listenLoopback(t), func(conn *net.TCPConn) {
				if client != nil && conn.RemoteAddr().String() == client.LocalAddr().String() {
					client.send(crossing)
					awaitUnreadBytes(t, conn, len(crossing))
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
			client = dialRaw(t, r.address)
			client.send(requestText("search"))
			client.expectAnswer(200)
			closeConn(r)
			client.expectClose()
			if !crossed.Load() {
				t.Error("got no request at the moment of the close, want one")
			}
			second := dialRaw(t, r.address)
			second.send(requestText("search"))
			second.expectAnswer(200)
			for _, g := range s.requests() {
				if strings.Contains(crossing, g.header.Get(headerID)) {
					t.Error("the request that arrived at the moment of the close reached the upstream, want it not sent")
				}
			}
		})
	}
}

func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}
