package sidecar

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"mosslead/balancer"
)

// dialGate holds connections to one address until they are let through, as those that come up late.
type dialGate struct {
	address string
	dialed  chan struct{} // one for each that is asked for
	release chan struct{} // one lets one through
	holding atomic.Bool
}

func newDialGate(c *Config, address string) *dialGate {
	g := &dialGate{address: address, dialed: make(chan struct{}, 16), release: make(chan struct{}, 16)}
	g.holding.Store(true)
	c.dial = func(ctx context.Context, network, to string) (net.Conn, error) {
		if to == g.address && g.holding.Load() {
			g.dialed <- struct{}{}
			select {
			case <-g.release:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		return (&net.Dialer{}).DialContext(ctx, network, to)
	}
	return g
}

// waitFor waits for an event that another party brings about.
func waitFor(t *testing.T, what string, event <-chan struct{}) {
	t.Helper()
	select {
	case <-event:
	case <-time.After(testTimeout):
		t.Fatalf("waited in vain: %s", what)
	}
}

// Guards against work for nobody: a client leaves while the connection for its request is coming up, in whatever way, and where
// attempts can't be cancelled, too. Nothing is sent for it, and the connection, which has cost a handshake, is there for the next.
func TestNothingIsSentForAClientThatLeft(t *testing.T) {
	for name, leave := range map[string]func(*rawClient){
		"closes":             func(p *rawClient) { _ = p.Close() },
		"ends its sending":   func(p *rawClient) { _ = p.Conn.(*net.TCPConn).CloseWrite() },
		"resets":             func(p *rawClient) { _ = p.Conn.(*net.TCPConn).SetLinger(0); _ = p.Close() },
		"closes behind half": func(p *rawClient) { p.send("GET /sea"); _ = p.Close() },
		"closes behind another": func(p *rawClient) {
			p.send(requestText("search"))
			_ = p.Close()
		},
	} {
		for _, class := range []string{"search", "confirm"} {
			t.Run(name+" "+class, func(t *testing.T) {
				s := newUpstream(t, says(ok200("")))
				c := testConfig(t, quiet(t).address, entry("s", s.address, "Ready"))
				c.Settings.Cancellation = false
				g := newDialGate(c, s.address)
				r := start(t, c, "127.0.0.1:0")
				p := dialRaw(t, r.address)
				p.send(requestText(class))
				waitFor(t, "an attempt is made", g.dialed)
				leave(p)
				g.holding.Store(false)
				g.release <- struct{}{}
				eventually(t, "the connection is up", func() bool { return s.opened.Load() == 1 })
				next := request(t, r.address, "confirm", "next")
				if resp, _ := r.do(t, next); resp.StatusCode != 200 {
					t.Errorf("the next one: %s", resp.Status)
				}
				if got := s.requests(); len(got) != 1 || got[0].body != "next" {
					t.Errorf("the upstream got %d requests, first %+v", len(got), got[0])
				}
			})
		}
	}
}

// Guards against a client whose leaving nobody sees: the library reads one byte behind a request and no more, and nothing of a
// large body while no attempt does. It counts as gone all the same, while its request waits or its attempt is out.
func TestLeavingIsSeenBehindWhatNobodyReads(t *testing.T) {
	for name, c := range map[string]struct{ first, more string }{
		"a byte behind":           {requestText("search"), "G"},
		"another request behind":  {requestText("search"), requestText("search")},
		"a body that is not read": {"POST /confirm/1 HTTP/1.1\r\nHost: s\r\nX-Request-ID: 00000000000000d7\r\nContent-Length: 300000\r\n\r\n", strings.Repeat("x", 200<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			s := newUpstream(t, silent)
			conf := testConfig(t, quiet(t).address, entry("s", s.address, "Ready"))
			conf.Ops = "127.0.0.1:0"
			g := newDialGate(conf, s.address) // never comes up
			r := start(t, conf, "127.0.0.1:0")
			p := dialRaw(t, r.address)
			p.send(c.first)
			if strings.HasPrefix(c.first, "POST") {
				p.send(c.more)
			}
			waitFor(t, "an attempt is made", g.dialed)
			if !strings.HasPrefix(c.first, "POST") {
				p.send(c.more)
			}
			_ = p.Close()
			eventually(t, "the request is over", func() bool { return strings.Contains(r.call(t, "STATS\n"), "gw.concurrent:0|g") })
			if n := s.opened.Load(); n != 0 {
				t.Errorf("%d connections", n)
			}
		})
	}
}

// Guards against a repeat after its time: a request that may have run may be sent again within its window, and the connection
// for that comes up only after it.
func TestNoRepeatBeginsAfterItsWindow(t *testing.T) {
	for name, late := range map[string]bool{"in time": false, "too late": true} {
		t.Run(name, func(t *testing.T) {
			var n atomic.Int32
			s := newUpstream(t, func(c net.Conn, _ got) bool {
				if n.Add(1) == 1 {
					return false // it may have run
				}
				_, err := io.WriteString(c, ok200("again"))
				return err == nil
			})
			c := testConfig(t, quiet(t).address, entry("s", s.address, "Ready"))
			const window = time.Second
			for i := range c.Settings.Classes {
				if c.Settings.Classes[i].Idempotency == balancer.IdempotentByKey {
					c.Settings.Classes[i].DedupWindow = window
				}
			}
			g := newDialGate(c, s.address)
			r := start(t, c, "127.0.0.1:0")
			end := r.later(request(t, r.address, "record", ""))
			waitFor(t, "the first attempt", g.dialed)
			g.release <- struct{}{}
			waitFor(t, "the second attempt", g.dialed)
			want, sent := "200 again", 2
			if late {
				want, sent = "502 failed\n", 1
				time.Sleep(window) // the window is over now, whenever it began
			}
			g.release <- struct{}{}
			if got := <-end; got != want {
				t.Errorf("answered %q, want %q", got, want)
			}
			if got := s.requests(); len(got) != sent {
				t.Errorf("sent %d times, want %d", len(got), sent)
			}
		})
	}
}

// Guards against an answer that was made for another request: an upstream answers twice, the second time some milliseconds
// later, when the next request may be on its way already.
func TestASecondAnswerIsNobodys(t *testing.T) {
	next := make(chan struct{})
	s := newUpstream(t, func(c net.Conn, g got) bool {
		_, err := io.WriteString(c, ok200("for "+g.body))
		if g.body == "1" {
			select {
			case <-next: // the next one has been sent, on this connection or another
			case <-time.After(testTimeout):
			}
			_, err = io.WriteString(c, ok200("for 1"))
		}
		return err == nil
	})
	u := testUpstreams(t, 4, entry("s", s.address, "Ready"))
	if rep := u.attempt(t.Context(), "s", testRequest("POST", "1"), 0); rep.result != balancer.OK {
		t.Fatalf("the first one: %d", rep.result)
	}
	time.AfterFunc(4*time.Millisecond, func() { close(next) })
	if rep := u.attempt(t.Context(), "s", testRequest("POST", "2"), 0); string(rep.body) != "for 2" {
		t.Errorf("the next one got %d %q", rep.result, rep.body)
	}
}

// Guards against an answer that nobody gave: a second one, which comes as the next request is being written, is not taken for that
// one's. It is not sent again either, since upstreams may answer early. A connection's first request has none before it, and one
// whose body has gone out is answered as ever.
func TestASecondAnswerWithinTheNextRequestIsNobodys(t *testing.T) {
	for name, x := range map[string]struct {
		before, whole bool // a request came before on the connection; the body has come from its client
		want          balancer.Result
	}{
		"behind another": {true, false, balancer.Reset},
		"alone":          {false, false, balancer.OK},
		"whole":          {true, true, balancer.OK},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					in := bufio.NewReader(c)
					for { // ends with the connection
						req, err := http.ReadRequest(in)
						if err != nil {
							break
						}
						if n := int64(8); x.whole || req.ContentLength < n {
							_, _ = io.Copy(io.Discard, req.Body)
						} else {
							_, _ = io.CopyN(io.Discard, req.Body, n)
						}
						_, _ = io.WriteString(c, ok200("done"))
					}
				}
			}()
			u := testUpstreams(t, 4, entry("s", l.Addr().String(), "Ready"))
			if x.before {
				if rep := u.attempt(t.Context(), "s", testRequest("POST", "1"), 0); rep.result != balancer.OK {
					t.Fatalf("the one before: %d", rep.result)
				}
				u.awaitReusable(t)
			}
			rest, client := io.Pipe()
			defer func() { _ = client.Close() }()
			r := testRequest("POST", "what is kept")
			r.body.length, r.body.rest = 1<<20, rest
			r.body.onComplete, r.body.onError, r.body.budget = func() {}, func(error) {}, &byteBudget{}
			go func() {
				_, _ = client.Write(make([]byte, 4<<10)) // some more has come
				if x.whole {
					_, _ = client.Write(make([]byte, 1<<20-4<<10-len(r.body.retained)))
					_ = client.Close()
				}
			}()
			rep := u.attempt(t.Context(), "s", r, 0)
			defer rep.drop()
			if rep.result != x.want {
				t.Errorf("ended with %d, %v; want %d", rep.result, rep.err, x.want)
			}
			if uses := rep.use.nth; uses > 1 != x.before {
				t.Errorf("it was the connection's request number %d", uses)
			}
		})
	}
}

// Guards against the library taking what came on a resting connection for the next request's answer, before it has looked
// itself, and against an unsafe request that is lost to a connection which the upstream has closed: neither is used.
func TestASpentConnectionIsNotUsed(t *testing.T) {
	for name, spend := range map[string]func(net.Conn){
		"another answer": func(c net.Conn) { _, _ = io.WriteString(c, ok200("stale")) },
		"half a line":    func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 2") },
		"its end":        func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() },
		"a reset":        func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			conns := make(chan net.Conn, 8)
			s := newUpstream(t, func(c net.Conn, g got) bool {
				conns <- c
				_, err := io.WriteString(c, ok200("for "+g.body))
				return err == nil
			})
			u := testUpstreams(t, 4, entry("s", s.address, "Ready"))
			for i := range 20 { // the library may look before or after; each time it has to be right
				u.awaitReusable(t)
				body := strconv.Itoa(i)
				rep := u.attempt(t.Context(), "s", testRequest("POST", body), 0)
				for rep.result == balancer.ConnectFailed || rep.result == balancer.NotSent { // seen just then: it never ran
					rep = u.attempt(t.Context(), "s", testRequest("POST", body), 0)
				}
				if string(rep.body) != "for "+body {
					t.Fatalf("%d: %d %q", i, rep.result, rep.body)
				}
				u.awaitReusable(t)
				spend(<-conns)
			}
			if n := len(s.requests()); n != 20 {
				t.Errorf("%d requests reached the upstream, of 20", n)
			}
		})
	}
}

// Guards against answers that never end: a drip that keeps a connection and its client for ever, and one that goes on fast. The
// client sees that it did not get all.
func TestEndlessAnswersEnd(t *testing.T) {
	t.Run("a drip", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			body, drip := io.Pipe()
			rest := responseRest{body: body, length: -1, stallTimeout: 3 * time.Second, cancelRead: func() { _ = body.Close() }}
			over := make(chan struct{})
			defer func() { <-over }()
			go func() {
				defer close(over)
				for {
					if _, err := drip.Write([]byte("x")); err != nil {
						return
					}
					time.Sleep(500 * time.Millisecond)
				}
			}()
			begun, err, n := time.Now(), error(nil), 0
			for ; err == nil; n++ {
				_, err = rest.read(make([]byte, transferBufferBytes))
			}
			if elapsed := time.Since(begun); !errors.Is(err, io.ErrClosedPipe) || elapsed > 4*time.Second || n < 6 {
				t.Errorf("%v after %v, %d reads", err, elapsed, n)
			}
		})
	})
	t.Run("a flood", func(t *testing.T) {
		s := newUpstream(t, func(c net.Conn, _ got) bool {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for part := "10000\r\n" + strings.Repeat("x", 1<<16) + "\r\n"; err == nil; {
				_, err = io.WriteString(c, part)
			}
			return false
		})
		r := startWithUpstream(t, s)
		resp, err := r.client.Do(request(t, r.address, "search", ""))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		n, err := io.Copy(io.Discard, resp.Body)
		if err == nil || n > maxBodyBytes+maxRetainedBytes+transferBufferBytes {
			t.Errorf("%d bytes, %v", n, err)
		}
	})
}
