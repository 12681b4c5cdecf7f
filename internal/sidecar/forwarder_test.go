package sidecar

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mosslead/balancer"
	"mosslead/internal/forwarding"
	"mosslead/internal/gossip/message"
)

// pressedBeside is the way out of a sidecar whose site is short, with one idle peer at another site.
func pressedBeside(t *testing.T, peer string) (*forwarder, clock) {
	t.Helper()
	c := testConfig(t, "127.0.0.1:1")
	c.Peers = &Peers{Forward: "127.0.0.1:0", Zone: "a"}
	clk := newClock()
	f, err := newForwarder(c, clk)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.close)
	f.setMembers([]message.Member{{Name: "n2", Site: "b", Forward: peer}}, "n1")
	f.decider.OnPressure(clk.now(), "n2", 0.1)
	for at := time.Duration(0); at < 5*time.Second; at += time.Second {
		f.gauge.Add(at, message.Pressure{Site: 1})
	}
	return f, clk
}

// While a request is with a peer nothing else is done with it; only the peer's word that it never began, or no way to tell it,
// brings it home.
func TestWhatComesOfAForwardedRequest(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(net.Conn, receivedRequest) bool
		kind   answerKind
		done   bool
	}{
		"served":                      {respondWith(ok200("yes")), served, true},
		"refused unbegun":             {respondWith("HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"), 0, false},
		"refused after it began":      {respondWith("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"), failed, true},
		"killed after the last byte":  {func(net.Conn, receivedRequest) bool { return false }, failed, true},
		"silent until its time is up": {neverRespond, failed, true},
	} {
		t.Run(name, func(t *testing.T) {
			peer := newUpstream(t, c.answer)
			f, clk := pressedBeside(t, peer.address)
			r := &clientRequest{id: "1", class: "confirm", method: http.MethodPost, target: "/confirm/1", host: "x", header: http.Header{headerID: {"1"}},
				body: &clientBody{budget: f.pool.budget}, expiresAt: clk.now() + 300*time.Millisecond, timeout: 300 * time.Millisecond}
			a, done := f.forward(context.Background(), clk.now(), r)
			if done != c.done || done && a.kind != c.kind {
				t.Fatalf("done %v, %v", done, answerNames[a.kind])
			}
			a.reply.drop()
			at := peer.requests()
			if len(at) != 1 {
				t.Fatalf("the peer got it %d times", len(at))
			}
			if h := at[0].header; h.Get(forwarding.HeaderHop) != "1" || h.Get(headerID) != "1" || !strings.HasSuffix(h.Get(headerTimeout), "u") {
				t.Errorf("the peer got %v", h)
			}
			r.forwarded = true
			if _, again := f.forward(context.Background(), clk.now(), r); again || len(peer.requests()) != 1 {
				t.Error("it travelled a second hop")
			}
		})
	}
	f, clk := pressedBeside(t, "127.0.0.1:1")
	r := &clientRequest{method: http.MethodGet, target: "/", header: http.Header{}, body: &clientBody{budget: f.pool.budget}, expiresAt: clk.now() + time.Second}
	if _, done := f.forward(context.Background(), clk.now(), r); done || f.returned.Load() != 1 {
		t.Error("a peer that can't be reached keeps the request")
	}
}

func TestAPeerTakesOneHop(t *testing.T) {
	up := newUpstream(t, respondWith(ok200("yes")))
	c := testConfig(t, quietDiscovery(t).address, entry("s-1", up.address, "Ready"))
	c.Peers = &Peers{Address: "127.0.0.1:0", Forward: freeAddress(t), Zone: "a"}
	c.Settings.ShareEvidence = true
	r := start(t, c, "127.0.0.1:0")
	for hops, want := range map[string]int{"1": 200, "2": 400, "": 400} {
		req := request(t, c.Peers.Forward, "confirm", "x")
		if hops != "" {
			req.Header.Set(forwarding.HeaderHop, hops)
		}
		if resp, body := r.do(t, req); resp.StatusCode != want {
			t.Errorf("%q hops: %d %s", hops, resp.StatusCode, body)
		}
	}
	own := request(t, r.address, "confirm", "x")
	own.Header.Set(forwarding.HeaderHop, "1") // from a client it means nothing
	if resp, _ := r.do(t, own); resp.StatusCode != 200 {
		t.Errorf("a client's own: %d", resp.StatusCode)
	}
	for _, g := range up.requests() {
		if g.header.Get(forwarding.HeaderHop) != "" {
			t.Error("an upstream got the header of the hop")
		}
	}
	if n := len(up.requests()); n != 2 {
		t.Errorf("%d requests at the upstream", n)
	}
}

// A second request of an id that is with a peer is told so, and begins nowhere; one that comes after its end is another.
func TestAnIDThatIsWithAPeerIsInHand(t *testing.T) {
	release := make(chan struct{})
	peer := newUpstream(t, func(c net.Conn, g receivedRequest) bool { <-release; return respondWith(ok200("peer"))(c, g) })
	f, clk := pressedBeside(t, peer.address)
	s := &server{clock: clk, failures: newLimitedLog(maxFailureLines), stats: newStats(), budget: f.pool.budget, forwards: f, post: func(any) bool {
		t.Error("begun at home")
		return false
	}}
	s.classes.Store(&map[string]balancer.Class{"confirm": {Idempotency: balancer.NotIdempotent, Deadline: testTimeout}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := newClientConns(l, 4)
	srv := &http.Server{Handler: s, ConnState: conns.state, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}}
	go func() { _ = srv.Serve(conns) }() // until Close
	t.Cleanup(func() { _ = srv.Close() })
	r := &testSidecar{address: l.Addr().String(), client: &http.Client{Timeout: testTimeout, Transport: &http.Transport{}}}
	t.Cleanup(r.client.CloseIdleConnections)
	same := func() *http.Request {
		req := request(t, r.address, "confirm", "x")
		req.Header.Set("X-Request-ID", "the same")
		return req
	}
	first := r.doAsync(same())
	eventually(t, "it is with the peer", func() bool { return len(peer.requests()) == 1 })
	if resp, body := r.do(t, same()); resp.StatusCode != http.StatusConflict {
		t.Errorf("the second: %d %s", resp.StatusCode, body)
	}
	close(release)
	if got := <-first; got != "200 peer" {
		t.Errorf("the first: %s", got)
	}
	if resp, _ := r.do(t, same()); resp.StatusCode != 200 || len(peer.requests()) != 2 {
		t.Errorf("afterwards: %d, the peer got it %d times", resp.StatusCode, len(peer.requests()))
	}
}

// freeAddress is an address that nobody listened at a moment ago.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}
