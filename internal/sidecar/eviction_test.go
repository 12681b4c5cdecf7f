package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"mosslead/internal/lab/memnet"
)

// Guards against a flood that holds the descriptors: each of many peers that connect at once, with a house that takes few, gets an
// error or a close within 3 s of connecting, and a client that comes behind them all is served in that time, too. A busy machine
// may be late by a second; each peer in its turn would take 6 s and more.
func TestFlood(t *testing.T) {
	t.Parallel()
	const bound, peers, limit = 16, 192, 4 * time.Second
	post := "POST /confirm/1 HTTP/1.1\r\nHost: s\r\nX-Request-ID: 9b1f03aa5c7e2d41\r\nX-Timeout: 9000m\r\n"
	for name, wanted := range map[string]struct {
		text  string
		error bool // else a close is as good
	}{
		"nothing":                 {"", false},
		"half a head":             {post, false},
		"half a body":             {post + "Content-Length: 9\r\n\r\nhalf", true},
		"half a body, not asked":  {strings.Replace(post, "confirm", "none", 1) + "Content-Length: 9\r\n\r\nhalf", true},
		"half a chunk":            {post + "Transfer-Encoding: chunked\r\n\r\n9\r\nhalf", true},
		"a head without end":      {post + "X: " + strings.Repeat("x", 2*maxHeader), true},
		"much that is no request": {"\x00\x01\r\n" + strings.Repeat("x", 60<<10), true},
		"a bad request":           {"GET /none/1 HTTP/1.1\r\nHost: s\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newUpstream(t, func(c net.Conn, _ receivedRequest) bool {
				_, err := io.WriteString(c, ok200("done"))
				return err == nil
			})
			c := testConfig(t, quietDiscovery(t).address, entry("s", s.address, "Ready"))
			c.Limits.Sockets = fixedSockets + 2*bound
			r := start(t, c, "127.0.0.1:0")
			var all sync.WaitGroup
			var errorsRead atomic.Int32
			for range peers {
				begun := time.Now()
				conn, err := net.Dial("tcp", r.address)
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.WriteString(conn, wanted.text) // fails where the end comes first
				all.Go(func() {
					defer func() { _ = conn.Close() }()
					_ = conn.SetReadDeadline(begun.Add(limit))
					line, err := bufio.NewReader(conn).ReadString('\n')
					if errors.Is(err, os.ErrDeadlineExceeded) {
						t.Errorf("a peer has neither an error nor an end after %v", limit)
					}
					if strings.HasPrefix(line, "HTTP/1.1 4") {
						errorsRead.Add(1)
					}
				})
			}
			begun := time.Now()
			beside := &http.Client{Timeout: testTimeout, Transport: &http.Transport{}}
			defer beside.CloseIdleConnections()
			resp, err := beside.Do(request(t, r.address, "search", ""))
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if elapsed := time.Since(begun); resp.StatusCode != 200 || elapsed > limit {
				t.Errorf("the client beside them: %s after %v", resp.Status, elapsed)
			}
			all.Wait()
			if n := errorsRead.Load(); wanted.error && n < peers*9/10 { // the others' words came late, and are owed an end only
				t.Errorf("%d of %d could read their error", n, peers)
			}
			for _, g := range s.requests() {
				if !strings.HasPrefix(g.target, "/search") {
					t.Errorf("sent on: %v", g)
				}
			}
		})
	}
}

// Guards against a flood that drives out those who were there before: what never brought a request is evicted first, a connection
// that rests for a moment only does not.
func TestFloodDoesNotDelayClients(t *testing.T) {
	t.Parallel()
	const bound = 8
	s := newUpstream(t, respondWith(ok200("done")))
	c := testConfig(t, quietDiscovery(t).address, entry("s", s.address, "Ready"))
	c.Limits.Sockets = fixedSockets + 2*bound
	r := start(t, c, "127.0.0.1:0")
	r.client.CloseIdleConnections()
	p := dialRaw(t, r.address)
	p.send(text("search"))
	p.answered(200)
	rested := time.Now()
	for range 5 * bound {
		dialRaw(t, r.address)
	}
	q := dialRaw(t, r.address) // behind them all
	q.send(text("search"))
	q.answered(200)
	if time.Since(rested) < closableAfter { // else it may be closed
		p.send(text("search"))
		p.answered(200)
	}
}

// Guards against an accept that fails for want of descriptors and ends the process, spins or rests for seconds: what rests gives
// way, the next try comes soon, and each connection that waits is accepted once one can be.
func TestAcceptWithoutDescriptors(t *testing.T) {
	for _, fails := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.EPROTO} {
		synctest.Test(t, func(t *testing.T) {
			l := &failing{err: &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", fails)}, until: time.Now().Add(time.Second)}
			c := newClientConns(l, 8)
			client, server := net.Pipe()
			defer func() { _ = client.Close() }()
			resting := &framedConn{Conn: server, listener: c}
			resting.framing.delivered = 1
			c.state(resting, http.StateIdle)
			ended := make(chan error, 1)
			go func() {
				_, err := resting.Read(make([]byte, 1))
				ended <- err
			}()
			synctest.Wait()
			begun := time.Now()
			conn, err := c.Accept()
			if err != nil {
				t.Fatalf("%v: %v", fails, err)
			}
			_ = conn.Close()
			if late := time.Since(begun) - time.Second; late > acceptRetryInterval {
				t.Errorf("%v: accepted %v after one could be", fails, late)
			}
			if bound := int(time.Second/acceptRetryInterval) + 1; l.calls > bound {
				t.Errorf("%v: tried %d times in a second", fails, l.calls)
			}
			if err := <-ended; !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("%v: what rests did not give way: %v", fails, err)
			}
		})
	}
}

// failing is a listener that fails until then.
type failing struct {
	err   error
	until time.Time
	calls int
}

func (l *failing) Accept() (net.Conn, error) {
	l.calls++
	if time.Now().Before(l.until) {
		return nil, l.err
	}
	_, server := net.Pipe()
	return server, nil
}

func (l *failing) Close() error   { return nil }
func (l *failing) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against the wrong one giving way, or giving way too soon.
func TestWhoGivesWay(t *testing.T) {
	type is struct {
		how   evictionClass
		since time.Duration // ago
	}
	const ms = time.Millisecond
	for _, c := range []struct {
		all  []is
		want int // which; -1: none yet
		wait time.Duration
	}{
		{nil, -1, 0},
		{[]is{{classBusy, time.Hour}}, -1, 0},
		{[]is{{classIdle, 10 * ms}, {classIdle, 20 * ms}, {classBusy, time.Hour}}, 1, 0},
		{[]is{{classIdle, time.Hour}, {classUnused, 60 * ms}}, 1, 0},
		{[]is{{classIdle, time.Second}, {classUnused, 40 * ms}}, -1, 10 * ms}, // a flood's own go first
		{[]is{{classIdle, closableAfter}, {classUnused, 40 * ms}}, 0, 0},
		{[]is{{classUnused, 60 * ms}, {classSlowHead, 70 * ms}, {classAnswered, 9 * ms}}, 0, 0},
		{[]is{{classUnused, 60 * ms}, {classAnswered, 10 * ms}}, 1, 0},
		{[]is{{classSlowBody, time.Hour}, {classIdle, 10 * ms}}, 1, 0},
		{[]is{{classSlowBody, time.Hour}, {classSlowHead, 10 * ms}}, -1, 40 * ms},
		{[]is{{classSlowBody, time.Hour}, {classBusy, time.Hour}}, 0, 0},
		{[]is{{classSlowBody, 100 * ms}}, -1, 50 * ms},
	} {
		t.Run(fmt.Sprint(c.all), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := newClientConns(nil, 1)
				time.Sleep(2 * time.Hour)
				now := time.Now()
				var conns []*framedConn
				for _, one := range c.all {
					at := now.Add(-one.since)
					conn := &framedConn{listener: all, arrivedAt: at, acceptedAt: at}
					conn.framing.delivered = 1
					all.idleSince[conn] = at
					switch one.how {
					case classAnswered:
						conn.closingSince = at
					case classUnused:
						conn.framing.delivered = 0
					case classSlowHead:
						conn.framing.delivered, conn.stage, conn.headSince, conn.readSince = 0, partialHead, at, at
					case classSlowBody:
						conn.active, conn.readSince, conn.framing.state = true, at, inBody
					case classBusy:
						conn.active, conn.readSince = true, at
					}
					conns = append(conns, conn)
				}
				got, _, wait := all.evictionCandidate(now)
				if c.want < 0 && got != nil || c.want >= 0 && got != conns[c.want] || wait != c.wait {
					t.Errorf("%p of %p, in %v; want number %d, in %v", got, conns, wait, c.want, c.wait)
				}
			})
		})
	}
}

// Guards against a connection that was told to make room, kept since a request came on it, and ended after that one all the same;
// and against a peer that gains time by being told.
func TestEvictionIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := net.Pipe()
		defer func() { _ = client.Close() }()
		all := newClientConns(nil, 1)
		conn := &framedConn{Conn: server, listener: all}
		defer func() { _ = conn.Close() }()
		conn.framing.delivered = 1
		all.state(conn, http.StateIdle)
		until := time.Now().Add(time.Second)
		_ = conn.SetReadDeadline(until) // a read shows it
		read := func() <-chan error {
			end := make(chan error, 1)
			go func() {
				_, err := conn.Read(make([]byte, 1))
				end <- err
			}()
			synctest.Wait()
			return end
		}
		end := read()
		all.mu.Lock()
		all.evict()
		evicting := len(all.evicting)
		all.mu.Unlock()
		if evicting != 1 {
			t.Fatal("not told")
		}
		if _, err := client.Write([]byte("G")); err != nil {
			t.Fatal(err)
		}
		if err := <-end; err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if conn.ending || conn.evicted || len(all.evicting) > 0 {
			t.Error("it is still to end")
		}
		if err := <-read(); !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Equal(until) {
			t.Errorf("%v at %v, the library's bound was %v", err, time.Now(), until)
		}
	})
}

// Guards against clients that are held up by idle ones, which take all descriptors that clients may have and come again whenever
// they are ended: each client that comes from discovery's return on is served within the second that is owed to it. The clock is
// a fake one, so that a busy machine takes nothing of it; `mosslead-sidecar`'s TestIdleClientsTakeEveryDescriptor has the processes.
func TestIdleClientsDelayNobody(t *testing.T) {
	hush(t)
	const bound, idle, lingers = 20, 120, time.Second
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(func(memnet.Event) {})
		ctx, cancel := context.WithCancel(t.Context())
		back, returns := context.WithCancel(ctx)
		var all sync.WaitGroup
		host := n.Host("sidecar", "10.0.0.1", 0)
		listens := func(name, ip string, port int, answers http.HandlerFunc) {
			l, err := n.Host(name, ip, time.Millisecond).Listen(port)
			if err != nil {
				t.Fatal(err)
			}
			srv := &http.Server{Handler: answers}
			all.Go(func() { _ = srv.Serve(l) }) // ends with srv
			context.AfterFunc(ctx, func() { _ = srv.Close() })
		}
		listens("up-1", "10.0.0.11", 8000, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		listens("up-2", "10.0.0.12", 8000, func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "done") })
		listens("discovery", "10.0.0.9", 7000, func(w http.ResponseWriter, r *http.Request) { // silent until it is back
			for at := back; ; at = ctx {
				select {
				case <-at.Done():
					if ctx.Err() != nil {
						return
					}
					_, _ = fmt.Fprintln(w, list(2, true, entry("serves", upstream2Address, "Ready")))
					_ = http.NewResponseController(w).Flush()
				case <-r.Context().Done():
					return
				}
			}
		})
		c := testConfig(t, "10.0.0.9:7000", entry("hangs", upstream1Address, "Ready"))
		c.Limits.Sockets, c.Settings.MustSubscribe = fixedSockets+2*bound, false
		c.dial = host.Dial
		l, err := host.Listen(9000)
		if err != nil {
			t.Fatal(err)
		}
		run, stop := context.WithCancel(ctx)
		all.Go(func() {
			if err := serve(run, c, l, nil, "", nil); err != nil {
				t.Error(err)
			}
		})
		clients := n.Host("clients", "10.0.0.2", time.Millisecond)
		for range idle {
			all.Go(func() {
				for ctx.Err() == nil {
					if conn, err := clients.Dial(ctx, "tcp", "10.0.0.1:9000"); err == nil {
						over := context.AfterFunc(ctx, func() { _ = conn.Close() })
						_, _ = io.Copy(io.Discard, conn) // until it is ended
						over()
						_ = conn.Close()
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		returns()
		returned := time.Now()
		var queries sync.WaitGroup
		elapsed := make(chan time.Duration, 30)
		for range cap(elapsed) { // as many moments of what the others do
			queries.Go(func() {
				begun := time.Now()
				conn, err := clients.Dial(ctx, "tcp", "10.0.0.1:9000")
				if err != nil {
					t.Error(err)
					return
				}
				defer func() { _ = conn.Close() }()
				_ = conn.SetDeadline(begun.Add(testTimeout)) // a read shows it
				_, _ = io.WriteString(conn, text("search"))
				line, err := bufio.NewReader(conn).ReadString('\n')
				if !strings.HasPrefix(line, "HTTP/1.1 200") || time.Since(begun) > lingers {
					t.Errorf("asked %v after the return: %q, %v, after %v", begun.Sub(returned), line, err, time.Since(begun))
				}
				elapsed <- time.Since(begun)
			})
			time.Sleep(7 * time.Millisecond)
		}
		queries.Wait()
		close(elapsed)
		longest := time.Duration(0)
		for one := range elapsed {
			longest = max(longest, one)
		}
		t.Logf("the longest was served after %v", longest)
		stop()
		time.Sleep(killWait)
		cancel()
		n.Close()
		all.Wait()
	})
}
