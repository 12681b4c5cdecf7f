package sidecar

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// pendingUpstream is an upstream that answers nothing before the test releases it, but at once what asks for /search.
func pendingUpstream(t *testing.T) (s *fakeUpstream, release func()) {
	t.Helper()
	free := make(chan struct{})
	s = newUpstream(t, func(c net.Conn, g receivedRequest) bool {
		if !strings.HasPrefix(g.target, "/search") {
			<-free
		}
		_, err := io.WriteString(c, ok200("done"))
		return err == nil
	})
	t.Cleanup(func() { release() })
	done := false
	return s, func() {
		if !done {
			done = true
			close(free)
		}
	}
}

// rawClient is a client's connection, byte by byte.
type rawClient struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func dialRaw(t *testing.T, address string) *rawClient {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout)) // a read shows it
	return &rawClient{t, conn, bufio.NewReader(conn)}
}

func (p *rawClient) send(text string) {
	p.t.Helper()
	if _, err := io.WriteString(p, text); err != nil {
		p.t.Fatalf("sending: %v", err)
	}
}

// text words a request without a body.
func text(class string) string {
	method := http.MethodPost
	if class == "search" {
		method = http.MethodGet
	}
	return fmt.Sprintf("%s /%s/7f3a HTTP/1.1\r\nHost: s\r\nX-Request-ID: %016x\r\nX-Timeout: 9000m\r\n\r\n", method, class, lastID.Add(1))
}

// answered wants the next answer, and tells whether it ends the connection.
func (p *rawClient) answered(status int) (last bool) {
	p.t.Helper()
	resp, err := http.ReadResponse(p.r, nil)
	if err != nil {
		p.t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != status {
		p.t.Fatalf("%s %q, %v; want %d", resp.Status, body, err, status)
	}
	return resp.Close
}

// over wants the connection closed in order: a reset could take an answer with it.
func (p *rawClient) over() {
	p.t.Helper()
	if n, err := p.r.ReadByte(); !errors.Is(err, io.EOF) {
		p.t.Errorf("%q, %v; want the end", n, err)
	}
}

func rigOf(t *testing.T, s *fakeUpstream) *testSidecar {
	t.Helper()
	return start(t, testConfig(t, quietDiscovery(t).address, entry("s", s.address, "Ready")), "127.0.0.1:0")
}

func term(r *testSidecar) time.Time {
	r.stop()
	return time.Now()
}

// Guards against a request that is cut off because its connection counts as idle until its head is whole.
func TestTermWithHalfAHead(t *testing.T) {
	t.Parallel()
	s, _ := pendingUpstream(t)
	r := rigOf(t, s)
	used, fresh := dialRaw(t, r.address), dialRaw(t, r.address)
	used.send(text("search"))
	used.answered(200)
	q, q2 := text("search"), text("search")
	used.send(q[:20])
	fresh.send(q2[:20])
	begun := term(r)
	time.Sleep(time.Until(begun.Add(drainAcceptTime + 100*time.Millisecond))) // all that is between requests is closed by now
	used.send(q[20:])
	fresh.send(q2[20:])
	for _, p := range []*rawClient{used, fresh} {
		if !p.answered(200) {
			t.Error("the connection goes on")
		}
		p.over()
	}
}

// Guards against an answer that dies with its connection: what comes behind a request is not read before the end.
func TestTermWithARequestBehind(t *testing.T) {
	t.Parallel()
	s, release := pendingUpstream(t)
	r := rigOf(t, s)
	p := dialRaw(t, r.address)
	p.send(text("confirm"))
	eventually(t, "request at the upstream", func() bool { return len(s.requests()) == 1 })
	begun := term(r)
	p.send(text("search"))
	time.Sleep(time.Until(begun.Add(50 * time.Millisecond)))
	release()
	if !p.answered(200) {
		t.Error("the connection goes on")
	}
	p.over()
}

// Guards against a request that is lost behind an answer whose head had gone before SIGTERM, without a word of the end.
func TestTermWithHalfAnAnswer(t *testing.T) {
	t.Parallel()
	rest := make(chan struct{})
	s := newUpstream(t, func(c net.Conn, g receivedRequest) bool {
		if strings.HasPrefix(g.target, "/search") {
			_, err := io.WriteString(c, ok200("done"))
			return err == nil
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 90000))
		<-rest
		_, err := io.WriteString(c, strings.Repeat("x", 10000))
		return err == nil
	})
	r := rigOf(t, s)
	p := dialRaw(t, r.address)
	p.send(text("confirm"))
	if _, err := p.r.Peek(1); err != nil { // its head has gone
		t.Fatal(err)
	}
	begun := term(r)
	p.send(text("search"))
	time.Sleep(time.Until(begun.Add(drainAcceptTime + 100*time.Millisecond)))
	close(rest)
	p.answered(200)
	if !p.answered(200) {
		t.Error("the connection goes on")
	}
	p.over()
}

// Guards against connections that are reset in the accept queue: the client's request is written to them already.
func TestTermWithAFullHouse(t *testing.T) {
	t.Parallel()
	s, release := pendingUpstream(t)
	c := testConfig(t, quietDiscovery(t).address, entry("s", s.address, "Ready"))
	const bound = 3
	c.Limits.Sockets = fixedSockets + 2*bound
	r := start(t, c, "127.0.0.1:0")
	r.client.CloseIdleConnections()
	var busy, waiting []*rawClient
	for range bound {
		p := dialRaw(t, r.address)
		p.send(text("confirm"))
		busy = append(busy, p)
	}
	eventually(t, "requests at the upstream", func() bool { return len(s.requests()) == bound })
	for range bound {
		p := dialRaw(t, r.address)
		p.send(text("search"))
		waiting = append(waiting, p)
	}
	begun := term(r)
	time.Sleep(time.Until(begun.Add(drainAcceptTime + 100*time.Millisecond)))
	release()
	for _, p := range append(busy, waiting...) {
		p.answered(200)
		p.over()
	}
}

// Guards against a body that is whole only when nobody is left to see to its request: it is rejected at once.
func TestTermWithHalfABody(t *testing.T) {
	t.Parallel()
	s, _ := pendingUpstream(t)
	c := testConfig(t, quietDiscovery(t).address, entry("s", s.address, "Ready"))
	for i := range c.Settings.Classes {
		c.Settings.Classes[i].Deadline = 400 * time.Millisecond
	}
	r := start(t, c, "127.0.0.1:0")
	soon, late := dialRaw(t, r.address), dialRaw(t, r.address)
	for _, p := range []*rawClient{soon, late} {
		p.send(strings.Replace(text("confirm"), "\r\n\r\n", "\r\nContent-Length: 4\r\n\r\nha", 1))
	}
	begun := term(r)
	time.Sleep(time.Until(begun.Add(drainAcceptTime + 50*time.Millisecond)))
	soon.send("lf")
	soon.answered(http.StatusBadGateway) // it was sent on, and nothing came
	time.Sleep(time.Until(begun.Add(400*time.Millisecond + drainMargin + 50*time.Millisecond)))
	late.send("lf")
	late.answered(http.StatusServiceUnavailable)
	for _, p := range []*rawClient{soon, late} {
		p.over()
	}
	if n := len(s.requests()); n != 1 {
		t.Errorf("%d reached the upstream", n)
	}
}

// Guards against a connection that is closed on a request which has come, or is about to on a new one.
func TestEndLooksOnceMore(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		used   bool
		at     time.Duration // of the request, after the end
		active bool          // a read that only watches the client is under way
		want   error
	}{
		"new, soon":      {false, newConnGrace - time.Millisecond, false, nil},
		"new, late":      {false, newConnGrace + time.Millisecond, false, os.ErrDeadlineExceeded},
		"used, just now": {true, finalReadTimeout / 2, false, nil},
		"used, late":     {true, 2 * finalReadTimeout, false, os.ErrDeadlineExceeded},
		"in hand":        {true, time.Second, true, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, server := net.Pipe()
				defer func() { _ = client.Close() }()
				conn := &framedConn{Conn: server, acceptedAt: time.Now(), listener: newClientConns(nil, 1), active: c.active}
				defer func() { _ = conn.Close() }()
				if c.used {
					conn.framing.delivered = 1
				}
				got := make(chan error, 1)
				go func() {
					_, err := conn.Read(make([]byte, 1))
					got <- err
				}()
				synctest.Wait()
				conn.end()
				come := time.AfterFunc(c.at, func() { _, _ = client.Write([]byte("G")) }) // fails where nobody reads
				defer come.Stop()
				if err := <-got; !errors.Is(err, c.want) {
					t.Errorf("read %v, want %v", err, c.want)
				}
			})
		})
	}
}

// Guards against peers that only take up descriptors at SIGTERM: the client that comes behind them, in the time in which clients
// still come, is served before the process is killed.
func TestTermBehindAFlood(t *testing.T) {
	t.Parallel()
	const bound, peers = 4, 110
	s, _ := pendingUpstream(t)
	c := testConfig(t, quietDiscovery(t).address, entry("s", s.address, "Ready"))
	c.Limits.Sockets = fixedSockets + 2*bound
	r := start(t, c, "127.0.0.1:0")
	r.client.CloseIdleConnections()
	for range peers {
		dialRaw(t, r.address)
	}
	begun := term(r)
	p := dialRaw(t, r.address)
	p.send(text("search"))
	p.answered(200)
	p.over()
	if elapsed := time.Since(begun); elapsed > maxDrainTime {
		t.Errorf("answered %v after SIGTERM", elapsed)
	}
}
