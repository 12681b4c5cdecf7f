package sidecar

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"mosslead/balancer"
	"mosslead/internal/lab/memnet"
	"mosslead/internal/lab/transcript"
)

func testUpstreams(t *testing.T, bound int, entries ...string) *upstreamPool {
	t.Helper()
	c := testConfig(t, "127.0.0.1:1", entries...)
	u := newUpstreamPool(c, newClock(), bound)
	u.directory.apply(c.Known)
	t.Cleanup(func() {
		for _, e := range c.Known.Endpoints {
			u.drop(e.Name)
		}
	})
	return u
}

// roundTrip sends a request on a connection, without an attempt that waits for it.
func (u *upstreamPool) roundTrip(ctx context.Context, c *upstreamConn, r *clientRequest) (attemptReply, bool) {
	x := &upstreamExchange{pool: u, ctx: ctx, readCtx: ctx, conn: c, client: r}
	return x.roundTrip()
}

// awaitRest waits until each connection that is kept may be used again.
func (u *upstreamPool) awaitRest(t *testing.T) {
	t.Helper()
	eventually(t, "the connections have rested", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return !slices.ContainsFunc(u.idle, func(c *upstreamConn) bool { return time.Since(c.releasedAt) < minIdleBeforeReuse })
	})
}

func testRequest(method, body string) *clientRequest {
	return &clientRequest{id: "1", method: method, target: "/search/a%2Fb?x=%20y&z", host: "service.internal",
		header: http.Header{"X-Request-Id": {"9b1f03aa5c7e2d41"}, "Idempotency-Key": {"k"}}, body: &clientBody{retained: []byte(body), length: int64(len(body))}}
}

// slowWrites is a connection whose writes return a second after what they carry has gone out.
type slowWrites struct{ net.Conn }

func (c slowWrites) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	time.Sleep(time.Second)
	return n, err
}

// Guards against an unsafe request that runs twice: an answer that breaks off says that the request may have run, also
// where nothing has said yet that it was written.
func TestAnswerBreaksOffBeforeTheWriteReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, calls := memnet.New(func(memnet.Event) {}), transcript.NewCalls()
		near, far := n.Host("sidecar", "10.0.0.1", 0), n.Host("s", "10.0.0.11", time.Millisecond)
		if err := transcript.Serve(t.Context(), far, 8000, calls); err != nil {
			t.Fatal(err)
		}
		u := testUpstreams(t, 4, entry("s", upstream1Address, "Ready"))
		u.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := near.Dial(ctx, network, address)
			return slowWrites{c}, err
		}
		go func() {
			c, err := calls.Next()
			if err == nil {
				err = c.Say("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
			}
			if err != nil {
				t.Error(err)
				return
			}
			time.Sleep(time.Millisecond)
			c.Reset()
		}()
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		if rep := u.attempt(ctx, "s", testRequest("POST", "b"), 0); rep.result != balancer.Reset {
			t.Errorf("result %d, want %d: %v", rep.result, balancer.Reset, rep.err)
		}
		n.Close()
		time.Sleep(time.Minute) // all ends
	})
}

// Guards against claims about attempts that the sockets do not bear out: a request that may have run must
// never be reported as one that did not.
func TestOutcomes(t *testing.T) {
	refusal, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = refusal.Close()
	for _, c := range []struct {
		name   string
		answer func(net.Conn, receivedRequest) bool
		want   balancer.Result
	}{
		{"served", respondWith(ok200("body")), balancer.OK},
		{"empty body", respondWith(ok200("")), balancer.OK},
		{"chunked", respondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"), balancer.OK},
		{"error", respondWith("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"), balancer.ServerError},
		{"redirect", respondWith("HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n"), balancer.ServerError},
		{"request rejected before admission", respondWith("HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), balancer.Overloaded},
		{"turned away late", respondWith("HTTP/1.1 504 Over\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), balancer.Overloaded},
		{"503 without the mark", respondWith("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"), balancer.ServerError},
		{"500 with the mark", respondWith("HTTP/1.1 500 Oops\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), balancer.ServerError},
		{"reset", func(net.Conn, receivedRequest) bool { return false }, balancer.Reset},
		{"garbage", respondWith("\x00\x01 no HTTP\r\n\r\n"), balancer.Reset},
		{"truncated", func(c net.Conn, _ receivedRequest) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
			return false
		}, balancer.Reset},
		{"delimited by the end", func(c net.Conn, _ receivedRequest) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
			_ = c.Close()
			return true
		}, balancer.OK},
		{"delimited by a reset", func(c net.Conn, _ receivedRequest) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf?")
			return false
		}, balancer.Reset},
		{"large", respondWith(ok200(strings.Repeat("x", maxRetainedBytes+1))), balancer.OK},
		{"another protocol", respondWith("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"),
			balancer.ServerError},
		{"headers too large", respondWith("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxHeader) + "\r\n\r\n"), balancer.Reset},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newUpstream(t, c.answer)
			u := testUpstreams(t, 4, entry("s", s.address, "Ready"))
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			if rep := u.attempt(ctx, "s", testRequest("POST", "b"), 0); rep.result != c.want {
				t.Errorf("result %d, want %d", rep.result, c.want)
			}
			if n := len(s.requests()); n != 1 {
				t.Errorf("the upstream got %d copies", n)
			}
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		u := testUpstreams(t, 4, entry("s", refusal.Addr().String(), "Ready"))
		if rep := u.attempt(t.Context(), "s", testRequest("GET", ""), 0); rep.result != balancer.ConnectFailed {
			t.Errorf("result %d", rep.result)
		}
	})
}

// Guards against attempts that are called off in name only: where another may follow, the upstream must see the
// connection end.
func TestTimeoutAndCancelCloseTheConnection(t *testing.T) {
	for _, want := range []balancer.Result{balancer.Timeout, balancer.Cancelled} {
		s := newUpstream(t, neverRespond)
		u := testUpstreams(t, 4, entry("s", s.address, "Ready"))
		ctx, cancel := context.WithCancel(context.Background())
		if want == balancer.Timeout {
			ctx, cancel = context.WithTimeout(context.Background(), 200*time.Millisecond)
		}
		end := make(chan attemptReply, 1)
		go func() { end <- u.attempt(ctx, "s", testRequest("GET", ""), 0) }()
		eventually(t, "request at the upstream", func() bool { return len(s.requests()) == 1 })
		if want == balancer.Cancelled {
			cancel()
		}
		rep := <-end
		if rep.result != want {
			t.Errorf("result %d, want %d", rep.result, want)
		}
		if (rep.abandon != nil) != (want == balancer.Timeout) {
			t.Fatalf("result %d: waits on: %v", rep.result, rep.abandon != nil)
		}
		if rep.abandon != nil {
			rep.abandon()
		}
		cancel()
		eventually(t, "connection closed", func() bool { return s.closed.Load() == 1 })
		if u.open != 0 {
			t.Errorf("%d connections counted", u.open)
		}
	}
}

// Guards against a handshake after each time-out: with little time to each request, one that pays for a new
// connection runs out of it too, and ends that connection. The late answer is taken in and goes to nobody, also
// not to the request that uses the connection next.
func TestLateAnswerKeepsItsConnection(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(context.CancelCauseFunc, context.CancelFunc)
		want balancer.Result
	}{
		{"its time is up", func(_ context.CancelCauseFunc, expire context.CancelFunc) { expire() }, balancer.Timeout},
		{"the request was answered", func(cancel context.CancelCauseFunc, _ context.CancelFunc) { cancel(errAnswered) },
			balancer.Cancelled},
	} {
		t.Run(c.name, func(t *testing.T) {
			release := make(chan struct{})
			s := newUpstream(t, func(w net.Conn, g receivedRequest) bool {
				if g.body == "first" {
					<-release
				}
				_, err := io.WriteString(w, ok200("for "+g.body))
				return err == nil
			})
			u := testUpstreams(t, 4, entry("s", s.address, "Ready"))
			ctx, cancel := context.WithCancelCause(context.Background())
			defer cancel(nil)
			ctx, expire := newDeadline(ctx)
			end := make(chan attemptReply, 1)
			go func() { end <- u.attempt(ctx, "s", testRequest("POST", "first"), 0) }()
			eventually(t, "request at the upstream", func() bool { return len(s.requests()) == 1 })
			c.end(cancel, expire)
			rep := <-end
			if rep.result != c.want {
				t.Fatalf("result %d, want %d", rep.result, c.want)
			}
			close(release)
			eventually(t, "the connection is idle", func() bool {
				u.mu.Lock()
				defer u.mu.Unlock()
				return len(u.idle) == 1 && len(u.awaitingLate) == 0 && time.Since(u.idle[0].releasedAt) >= minIdleBeforeReuse
			})
			rep.abandon() // comes too late to harm
			next := u.attempt(t.Context(), "s", testRequest("POST", "second"), 0)
			if next.result != balancer.OK || string(next.body) != "for second" || next.use.nth != 2 {
				t.Errorf("then: result %d, %q, use %d", next.result, next.body, next.use.nth)
			}
			if n := s.opened.Load(); n != 1 {
				t.Errorf("%d connections", n)
			}
		})
	}
}

// deadline is a context whose time is up when the test says so.
type deadline struct {
	context.Context
	up chan struct{}
}

func newDeadline(parent context.Context) (context.Context, context.CancelFunc) {
	d := &deadline{parent, make(chan struct{})}
	context.AfterFunc(parent, func() { closeOnce(d.up) })
	return d, func() { closeOnce(d.up) }
}

func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

func (d *deadline) Done() <-chan struct{} { return d.up }

func (d *deadline) Err() error {
	if err := d.Context.Err(); err != nil {
		return err
	}
	select {
	case <-d.up:
		return context.DeadlineExceeded
	default:
		return nil
	}
}

// Guards against connections that wait for ever, and against too many of them: they are evicted at the limit.
func TestLateAnswerIsNotWaitedForLong(t *testing.T) {
	a, b := newUpstream(t, neverRespond), newUpstream(t, respondWith(ok200("")))
	u := testUpstreams(t, 1, entry("a", a.address, "Ready"), entry("b", b.address, "Ready"))
	late := func() {
		t.Helper()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if rep := u.attempt(ctx, "a", testRequest("GET", ""), 0); rep.result != balancer.Timeout {
			t.Fatalf("result %d", rep.result)
		}
	}
	late()
	if rep := u.attempt(t.Context(), "b", testRequest("GET", ""), 0); rep.result != balancer.OK {
		t.Errorf("result %d at the limit", rep.result)
	}
	eventually(t, "it gave way", func() bool { return a.closed.Load() == 1 })
	u.times.late = 50 * time.Millisecond
	late()
	eventually(t, "its wait ended", func() bool { return a.closed.Load() == 2 })
	eventually(t, "none is counted", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return u.open == 0 && len(u.awaitingLate) == 0
	})
}

// Guards against a refusal that is not safe, and a failure where one would be: what was never written whole
// has not run. The library reports such a request as written, from its buffer.
func TestBrokenBeforeTheLastByteNeverRan(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and leaves them alone
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	u := testUpstreams(t, 4, entry("s", l.Addr().String(), "Ready"))
	c, err := u.connect(t.Context(), "s", endpointAddress{address: l.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil { // the write will fail
		t.Fatal(err)
	}
	rep, reusable := u.roundTrip(t.Context(), c, testRequest("POST", "b"))
	u.discard(c)
	if rep.result != balancer.ConnectFailed || reusable {
		t.Errorf("result %d, reusable %v", rep.result, reusable)
	}
}

// Guards against sends to an upstream that drains: the news came between the decision and the write.
func TestDrainIsCheckedAtTheWrite(t *testing.T) {
	for _, status := range []string{"Terminating", "Gone"} {
		s := newUpstream(t, respondWith(ok200("")))
		u := testUpstreams(t, 4, entry("s", s.address, "Ready"))
		c, err := u.connect(t.Context(), "s", endpointAddress{address: s.address})
		if err != nil {
			t.Fatal(err)
		}
		u.directory.apply(mustParseListing(t, list(2, false, entry("s", s.address, status))))
		if rep, _ := u.roundTrip(t.Context(), c, testRequest("GET", "")); rep.result != balancer.NotSent {
			t.Errorf("%s: result %d", status, rep.result)
		}
		u.discard(c)
		if rep := u.attempt(t.Context(), "s", testRequest("GET", ""), 0); rep.result != balancer.NotSent {
			t.Errorf("%s: later result %d", status, rep.result)
		}
		if n := len(s.requests()); n != 0 {
			t.Errorf("%s: the upstream got %d requests", status, n)
		}
	}
}

// Guards against changed requests: upstreams drop repeats and count copies by what stands in them.
func TestRequestGoesOnUnchanged(t *testing.T) {
	s := newUpstream(t, respondWith(ok200("")))
	u := testUpstreams(t, 4, entry("s", s.address, "Ready"))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	body := "\x00binary\r\n" + strings.Repeat("y", 60<<10)
	u.attempt(ctx, "s", testRequest("POST", body), 0)
	g := s.requests()[0]
	if g.method != "POST" || g.target != "/search/a%2Fb?x=%20y&z" || g.body != body {
		t.Errorf("got %s %s and %d bytes", g.method, g.target, len(g.body))
	}
	if g.header.Get("X-Request-ID") != "9b1f03aa5c7e2d41" || g.header.Get("Idempotency-Key") != "k" {
		t.Errorf("headers %v", g.header)
	}
	if d, err := parseTimeout(g.header.Get("X-Timeout")); err != nil || d <= 0 || d > testTimeout {
		t.Errorf("X-Timeout %q: %v, %v", g.header.Get("X-Timeout"), d, err)
	}
}

// Guards against a handshake for each request, and against requests on connections that the upstream closed
// or is about to close.
func TestPool(t *testing.T) {
	n, pooled := atomic.Int32{}, make(chan struct{})
	s := newUpstream(t, func(c net.Conn, _ receivedRequest) bool {
		_, _ = io.WriteString(c, ok200(""))
		if n.Add(1) != 3 {
			return true
		}
		<-pooled // the third answer's connection is reset when idle
		return false
	})
	u := testUpstreams(t, 4, entry("s", s.address, "Ready"))
	send := func(want balancer.Result) {
		t.Helper()
		u.awaitRest(t)
		if rep := u.attempt(t.Context(), "s", testRequest("GET", ""), 0); rep.result != want {
			t.Fatalf("result %d, want %d", rep.result, want)
		}
	}
	send(balancer.OK)
	send(balancer.OK)
	if n := s.opened.Load(); n != 1 {
		t.Fatalf("%d connections for two requests", n)
	}

	// A reset while idle: the next request takes a new connection.
	send(balancer.OK)
	idle := u.idle[0]
	close(pooled)
	eventually(t, "the upstream's close is seen", func() bool { return idle.http.Err() != nil })
	send(balancer.OK)
	if n := s.opened.Load(); n != 2 {
		t.Fatalf("%d connections", n)
	}

	// Retired while idle, before the upstream would.
	u.times.idle = time.Millisecond
	send(balancer.OK)
	eventually(t, "idle connection retired", func() bool { return s.closed.Load() == 2 })

	// Gone: the pool goes too.
	u.times.idle = time.Hour
	send(balancer.OK)
	u.directory.apply(mustParseListing(t, list(2, false, entry("s", s.address, "Gone"))))
	eventually(t, "pool dropped", func() bool { return s.closed.Load() == 3 })

	// Back at another address: no connection to the old one is used.
	u.directory.apply(mustParseListing(t, list(3, false, entry("s", s.address, "Ready"))))
	send(balancer.OK)
	moved := newUpstream(t, respondWith(ok200("")))
	u.directory.apply(mustParseListing(t, list(4, false, entry("s", moved.address, "Ready"))))
	eventually(t, "old address dropped", func() bool { return s.closed.Load() == 4 })
	send(balancer.OK)
	if len(moved.requests()) != 1 {
		t.Error("the new address got nothing")
	}

	// A new process at the same address: connections to the old one are dead, if silently.
	again := strings.Replace(entry("s", moved.address, "Ready"), `"since_ms":0`, `"since_ms":1000`, 1)
	u.directory.apply(mustParseListing(t, list(5, false, again)))
	eventually(t, "old process dropped", func() bool { return moved.closed.Load() == 1 })
}

// Guards against hidden copies: a library that sends a request again by itself, as net/http's Transport does
// on a connection that it reuses, makes an attempt that nobody decided on.
func TestBrokenRequestIsNotSentAgain(t *testing.T) {
	n := atomic.Int32{}
	s := newUpstream(t, func(c net.Conn, _ receivedRequest) bool {
		if n.Add(1) > 1 {
			return false
		}
		_, err := io.WriteString(c, ok200(""))
		return err == nil
	})
	u := testUpstreams(t, 4, entry("s", s.address, "Ready"))
	for _, want := range []balancer.Result{balancer.OK, balancer.Reset} {
		if rep := u.attempt(t.Context(), "s", testRequest("GET", ""), 0); rep.result != want {
			t.Errorf("result %d, want %d", rep.result, want)
		}
		u.awaitRest(t)
	}
	if got := s.requests(); len(got) != 2 || got[1].conn != 1 {
		t.Errorf("%d requests, the last on connection %d", len(got), got[len(got)-1].conn)
	}
}

// Guards against too many descriptors: at the limit the least useful idle connection is evicted, and where
// all are busy an attempt ends as one that was never sent, which says nothing of its upstream.
func TestConnectionLimit(t *testing.T) {
	a, b := newUpstream(t, respondWith(ok200(""))), newUpstream(t, neverRespond)
	u := testUpstreams(t, 1, entry("a", a.address, "Ready"), entry("b", b.address, "Ready"))
	if rep := u.attempt(t.Context(), "a", testRequest("GET", ""), 0); rep.result != balancer.OK {
		t.Fatalf("result %d", rep.result)
	}
	ctx, cancel := context.WithCancel(t.Context())
	end := make(chan attemptReply, 1)
	go func() { end <- u.attempt(ctx, "b", testRequest("GET", ""), 0) }()
	eventually(t, "the idle connection gave way", func() bool { return a.closed.Load() == 1 && len(b.requests()) == 1 })
	if rep := u.attempt(t.Context(), "a", testRequest("GET", ""), 0); rep.result != balancer.NotSent {
		t.Errorf("result %d over the limit", rep.result)
	}
	cancel()
	<-end
}
