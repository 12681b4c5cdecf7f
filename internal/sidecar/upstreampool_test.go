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

func testUpstreams(t *testing.T, maxConns int, entries ...string) *upstreamPool {
	t.Helper()
	c := testConfig(t, "127.0.0.1:1", entries...)
	u := newUpstreamPool(c, newClock(), maxConns)
	u.directory.apply(c.Known)
	t.Cleanup(func() {
		for _, e := range c.Known.Endpoints {
			u.drop(e.Name)
		}
	})
	return u
}

// roundTrip runs an exchange on a connection, without the steps of attempt before and after it.
func (u *upstreamPool) roundTrip(ctx context.Context, c *upstreamConn, r *clientRequest) (attemptReply, bool) {
	x := &upstreamExchange{pool: u, ctx: ctx, readCtx: ctx, conn: c, clientReq: r}
	return x.roundTrip()
}

// awaitReusable waits until each idle connection may be used again.
func (u *upstreamPool) awaitReusable(t *testing.T) {
	t.Helper()
	eventually(t, "each idle connection may be used again", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return !slices.ContainsFunc(u.idle, func(c *upstreamConn) bool { return time.Since(c.releasedAt) < minIdleBeforeReuse })
	})
}

func testRequest(method, body string) *clientRequest {
	return &clientRequest{id: "1", method: method, target: "/search/a%2Fb?x=%20y&z", host: "service.internal",
		header: http.Header{"X-Request-Id": {"9b1f03aa5c7e2d41"}, "Idempotency-Key": {"k"}}, body: &clientBody{retained: []byte(body), length: int64(len(body))}}
}

// slowWriteConn is a connection whose writes return one second after their bytes were sent.
type slowWriteConn struct{ net.Conn }

func (c slowWriteConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	time.Sleep(time.Second)
	return n, err
}

// slowWritePool returns a pool whose writes are those of slowWriteConn, in an in-memory network, and the calls at its upstream s.
func slowWritePool(t *testing.T) (*memnet.Network, transcript.Calls, *upstreamPool) {
	t.Helper()
	n, calls := memnet.New(func(memnet.Event) {}), transcript.NewCalls()
	near, far := n.Host("sidecar", "10.0.0.1", 0), n.Host("s", "10.0.0.11", time.Millisecond)
	if err := transcript.Serve(t.Context(), far, 8000, calls); err != nil {
		t.Fatal(err)
	}
	u := testUpstreams(t, 4, entry("s", upstream1Address, "Ready"))
	u.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := near.Dial(ctx, network, address)
		return slowWriteConn{c}, err
	}
	return n, calls, u
}

// Guards against an unsafe request that runs twice: an answer that is cut off means that the request may have run, even if
// the write of the request has not returned yet.
func TestAnswerBreaksOffBeforeTheWriteReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, calls, u := slowWritePool(t)
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
			t.Errorf("answer that is cut off: got result %d, want %d, error %v", rep.result, balancer.Reset, rep.err)
		}
		n.Close()
		time.Sleep(time.Minute) // until all goroutines have ended
	})
}

// Guards against wrong results of attempts: a request that may have run must never be reported as one that did not.
func TestOutcomes(t *testing.T) {
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closedListener.Close()
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
				t.Errorf("got result %d, want %d", rep.result, c.want)
			}
			if n := len(s.requests()); n != 1 {
				t.Errorf("the upstream got %d requests, want 1", n)
			}
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		u := testUpstreams(t, 4, entry("s", closedListener.Addr().String(), "Ready"))
		if rep := u.attempt(t.Context(), "s", testRequest("GET", ""), 0); rep.result != balancer.ConnectFailed {
			t.Errorf("address that refuses connections: got result %d, want %d", rep.result, balancer.ConnectFailed)
		}
	})
}

// Guards against attempts that continue after they were cancelled: if another attempt may follow, the upstream must see that the
// connection was closed.
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
			t.Errorf("got result %d, want %d", rep.result, want)
		}
		if (rep.abandon != nil) != (want == balancer.Timeout) {
			t.Fatalf("result %d: connection waits for a late answer: got %v, want %v", rep.result, rep.abandon != nil, want == balancer.Timeout)
		}
		if rep.abandon != nil {
			rep.abandon()
		}
		cancel()
		eventually(t, "connection closed", func() bool { return s.closed.Load() == 1 })
		if u.open != 0 {
			t.Errorf("got %d open connections, want 0", u.open)
		}
	}
}

// Guards against closing the connection of a request that timed out: the next request would wait for a new connection, with a
// short deadline it would time out too, and so on. The late answer is read and discarded; in particular, the request that uses
// the connection next does not get it.
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
			ctx, expire := newManualDeadline(ctx)
			end := make(chan attemptReply, 1)
			go func() { end <- u.attempt(ctx, "s", testRequest("POST", "first"), 0) }()
			eventually(t, "request at the upstream", func() bool { return len(s.requests()) == 1 })
			c.end(cancel, expire)
			rep := <-end
			if rep.result != c.want {
				t.Fatalf("got result %d, want %d", rep.result, c.want)
			}
			close(release)
			eventually(t, "the connection is idle", func() bool {
				u.mu.Lock()
				defer u.mu.Unlock()
				return len(u.idle) == 1 && len(u.awaitingLate) == 0 && time.Since(u.idle[0].releasedAt) >= minIdleBeforeReuse
			})
			rep.abandon() // has no effect, since the exchange has ended
			next := u.attempt(t.Context(), "s", testRequest("POST", "second"), 0)
			if next.result != balancer.OK || string(next.body) != "for second" || next.use.nth != 2 {
				t.Errorf("second request: got result %d, body %q, use %d of the connection, want %d, \"for second\", 2", next.result, next.body, next.use.nth, balancer.OK)
			}
			if n := s.opened.Load(); n != 1 {
				t.Errorf("got %d connections, want 1", n)
			}
		})
	}
}

// manualDeadline is a context whose deadline passes when expired is closed.
type manualDeadline struct {
	context.Context
	expired chan struct{}
}

func newManualDeadline(parent context.Context) (context.Context, context.CancelFunc) {
	d := &manualDeadline{parent, make(chan struct{})}
	context.AfterFunc(parent, func() { closeOnce(d.expired) })
	return d, func() { closeOnce(d.expired) }
}

func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

func (d *manualDeadline) Done() <-chan struct{} { return d.expired }

func (d *manualDeadline) Err() error {
	if err := d.Context.Err(); err != nil {
		return err
	}
	select {
	case <-d.expired:
		return context.DeadlineExceeded
	default:
		return nil
	}
}

// Guards against connections that wait for a late answer indefinitely, and against too many of them: at the limit they are
// closed.
func TestLateAnswerIsNotWaitedForLong(t *testing.T) {
	a, b := newUpstream(t, neverRespond), newUpstream(t, respondWith(ok200("")))
	u := testUpstreams(t, 1, entry("a", a.address, "Ready"), entry("b", b.address, "Ready"))
	timeOutAttempt := func() {
		t.Helper()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if rep := u.attempt(ctx, "a", testRequest("GET", ""), 0); rep.result != balancer.Timeout {
			t.Fatalf("request that is not answered: got result %d, want %d", rep.result, balancer.Timeout)
		}
	}
	timeOutAttempt()
	if rep := u.attempt(t.Context(), "b", testRequest("GET", ""), 0); rep.result != balancer.OK {
		t.Errorf("at the limit: got result %d, want %d", rep.result, balancer.OK)
	}
	eventually(t, "the waiting connection is closed for another", func() bool { return a.closed.Load() == 1 })
	u.timeouts.late = 50 * time.Millisecond
	timeOutAttempt()
	eventually(t, "the wait for a late answer ends", func() bool { return a.closed.Load() == 2 })
	eventually(t, "no connection is open", func() bool {
		u.mu.Lock()
		defer u.mu.Unlock()
		return u.open == 0 && len(u.awaitingLate) == 0
	})
}

// Guards against a wrong result for a request that was not written completely, which has not run: its result is
// ConnectFailed, not Reset. The library reports such a request as written, since it was in its buffer.
func TestBrokenBeforeTheLastByteNeverRan(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections, and neither reads nor writes
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
		t.Errorf("write that fails: got result %d, reusable %v, want %d, false", rep.result, reusable, balancer.ConnectFailed)
	}
}

// Guards against requests to an upstream that drains: the update arrived between the decision and the write.
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
			t.Errorf("%s: got result %d, want %d", status, rep.result, balancer.NotSent)
		}
		u.discard(c)
		if rep := u.attempt(t.Context(), "s", testRequest("GET", ""), 0); rep.result != balancer.NotSent {
			t.Errorf("%s: next attempt: got result %d, want %d", status, rep.result, balancer.NotSent)
		}
		if n := len(s.requests()); n != 0 {
			t.Errorf("%s: the upstream got %d requests, want 0", status, n)
		}
	}
}

// Guards against changed requests: upstreams recognise duplicates by the contents of requests.
func TestRequestGoesOnUnchanged(t *testing.T) {
	s := newUpstream(t, respondWith(ok200("")))
	u := testUpstreams(t, 4, entry("s", s.address, "Ready"))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	body := "\x00binary\r\n" + strings.Repeat("y", 60<<10)
	u.attempt(ctx, "s", testRequest("POST", body), 0)
	g := s.requests()[0]
	if g.method != "POST" || g.target != "/search/a%2Fb?x=%20y&z" || g.body != body {
		t.Errorf("got %s %s with %d bytes, want POST /search/a%%2Fb?x=%%20y&z with the %d bytes sent", g.method, g.target, len(g.body), len(body))
	}
	if g.header.Get("X-Request-ID") != "9b1f03aa5c7e2d41" || g.header.Get("Idempotency-Key") != "k" {
		t.Errorf("got headers %v, want X-Request-ID 9b1f03aa5c7e2d41 and Idempotency-Key k", g.header)
	}
	if d, err := parseTimeout(g.header.Get("X-Timeout")); err != nil || d <= 0 || d > testTimeout {
		t.Errorf("got X-Timeout %q: %v, %v, want above 0 and up to %v", g.header.Get("X-Timeout"), d, err, testTimeout)
	}
}

// Guards against a handshake for each request, and against requests on connections that the upstream has closed or is about
// to close.
func TestPool(t *testing.T) {
	n, pooled := atomic.Int32{}, make(chan struct{})
	s := newUpstream(t, func(c net.Conn, _ receivedRequest) bool {
		_, _ = io.WriteString(c, ok200(""))
		if n.Add(1) != 3 {
			return true
		}
		<-pooled // the connection is reset while it is idle after the third answer
		return false
	})
	u := testUpstreams(t, 4, entry("s", s.address, "Ready"))
	send := func(want balancer.Result) {
		t.Helper()
		u.awaitReusable(t)
		if rep := u.attempt(t.Context(), "s", testRequest("GET", ""), 0); rep.result != want {
			t.Fatalf("got result %d, want %d", rep.result, want)
		}
	}
	send(balancer.OK)
	send(balancer.OK)
	if n := s.opened.Load(); n != 1 {
		t.Fatalf("got %d connections for two requests, want 1", n)
	}

	// A reset while idle: the next request takes a new connection.
	send(balancer.OK)
	idle := u.idle[0]
	close(pooled)
	eventually(t, "the upstream's reset is detected", func() bool { return idle.http.Err() != nil })
	send(balancer.OK)
	if n := s.opened.Load(); n != 2 {
		t.Fatalf("got %d connections, want 2", n)
	}

	// An idle connection is closed before the upstream would close it.
	u.timeouts.idle = time.Millisecond
	send(balancer.OK)
	eventually(t, "idle connection retired", func() bool { return s.closed.Load() == 2 })

	// The upstream is removed: its idle connections are closed.
	u.timeouts.idle = time.Hour
	send(balancer.OK)
	u.directory.apply(mustParseListing(t, list(2, false, entry("s", s.address, "Gone"))))
	eventually(t, "the removed upstream's connection is closed", func() bool { return s.closed.Load() == 3 })

	// The upstream is back at another address: no connection to the old address is used.
	u.directory.apply(mustParseListing(t, list(3, false, entry("s", s.address, "Ready"))))
	send(balancer.OK)
	moved := newUpstream(t, respondWith(ok200("")))
	u.directory.apply(mustParseListing(t, list(4, false, entry("s", moved.address, "Ready"))))
	eventually(t, "the connection to the old address is closed", func() bool { return s.closed.Load() == 4 })
	send(balancer.OK)
	if len(moved.requests()) != 1 {
		t.Errorf("the new address got %d requests, want 1", len(moved.requests()))
	}

	// A new process is at the same address: connections to the old process are closed, even if they show no failure.
	again := strings.Replace(entry("s", moved.address, "Ready"), `"since_ms":0`, `"since_ms":1000`, 1)
	u.directory.apply(mustParseListing(t, list(5, false, again)))
	eventually(t, "the connection to the old process is closed", func() bool { return moved.closed.Load() == 1 })
}

// Guards against retries by the HTTP library: net/http's Transport sends a request again if a reused connection fails, which
// would be an attempt on which the balancer did not decide.
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
			t.Errorf("got result %d, want %d", rep.result, want)
		}
		u.awaitReusable(t)
	}
	if got := s.requests(); len(got) != 2 || got[1].conn != 1 {
		t.Errorf("got %d requests, the last on connection %d, want 2 on connection 1", len(got), got[len(got)-1].conn)
	}
}

// Guards against too many descriptors: at the limit the longest idle connection is closed, and if all are busy an attempt ends
// as NotSent, which does not count as a failure of its upstream.
func TestConnectionLimit(t *testing.T) {
	a, b := newUpstream(t, respondWith(ok200(""))), newUpstream(t, neverRespond)
	u := testUpstreams(t, 1, entry("a", a.address, "Ready"), entry("b", b.address, "Ready"))
	if rep := u.attempt(t.Context(), "a", testRequest("GET", ""), 0); rep.result != balancer.OK {
		t.Fatalf("first request: got result %d, want %d", rep.result, balancer.OK)
	}
	ctx, cancel := context.WithCancel(t.Context())
	end := make(chan attemptReply, 1)
	go func() { end <- u.attempt(ctx, "b", testRequest("GET", ""), 0) }()
	eventually(t, "the idle connection is closed for another", func() bool { return a.closed.Load() == 1 && len(b.requests()) == 1 })
	if rep := u.attempt(t.Context(), "a", testRequest("GET", ""), 0); rep.result != balancer.NotSent {
		t.Errorf("above the limit: got result %d, want %d", rep.result, balancer.NotSent)
	}
	cancel()
	<-end
}
