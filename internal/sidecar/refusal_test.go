package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mosslead/balancer"
)

// refusalHead is the start of an answer which states that its upstream has not processed the request.
const refusalHead = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\n"

// thenClose returns an answer function that writes the same text for every request, and closes the connection.
func thenClose(text string) func(net.Conn, receivedRequest) bool {
	return func(c net.Conn, _ receivedRequest) bool {
		_, _ = io.WriteString(c, text)
		_ = c.Close()
		return true
	}
}

// thenReset is like thenClose, but resets the connection.
func thenReset(text string) func(net.Conn, receivedRequest) bool {
	return func(c net.Conn, _ receivedRequest) bool {
		_, _ = io.WriteString(c, text)
		return false
	}
}

// Guards against a request that runs twice: an answer that can't be read to its end does not prove that nothing ran, whatever its head says.
func TestAnUnreadableRefusalIsNoProof(t *testing.T) {
	sized := func(stated, sent int) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", refusalHead, stated, strings.Repeat("x", sent))
	}
	const chunked = refusalHead + "Transfer-Encoding: chunked\r\n\r\n"
	for _, test := range []struct {
		name   string
		answer func(net.Conn, receivedRequest) bool
		want   balancer.Result
	}{
		{"shorter than its length", thenClose(sized(64, 5)), balancer.ServerError},
		{"504, shorter than its length", thenClose(strings.Replace(sized(64, 5), "503", "504", 1)), balancer.ServerError},
		{"reset within its body", thenReset(sized(64, 5)), balancer.ServerError},
		{"no body at all", thenClose(sized(64, 0)), balancer.ServerError},
		{"a chunk size that is no number", thenClose(chunked + "xyz\r\nqueue\r\n"), balancer.ServerError},
		{"no last chunk", thenClose(chunked + "5\r\nqueue\r\n"), balancer.ServerError},
		{"no end of its trailer", thenClose(chunked + "5\r\nqueue\r\n0\r\n"), balancer.ServerError},
		{"a reset in place of its end", thenReset(refusalHead + "\r\nqueue"), balancer.ServerError},
		{"over 64 KiB, shorter than its length", thenClose(sized(maxRetainedBytes+10, maxRetainedBytes+5)), balancer.ServerError},
		{"over 64 KiB, no last chunk", thenClose(chunked + "20000\r\n" + strings.Repeat("x", 0x20000) + "\r\n"), balancer.ServerError},
		{"over the size limit", respondWith(sized(maxBodyBytes+1, maxBodyBytes+1)), balancer.ServerError},
		{"whole", respondWith(sized(10, 10)), balancer.Overloaded},
		{"whole, in chunks", respondWith(chunked + "5\r\nqueue\r\n0\r\n\r\n"), balancer.Overloaded},
		{"whole, ended by the connection", thenClose(refusalHead + "\r\nqueue"), balancer.Overloaded},
		{"whole, over 4 KiB", respondWith(sized(2*minRetainedBytes, 2*minRetainedBytes)), balancer.Overloaded},
		{"whole, over 64 KiB", respondWith(sized(2*maxRetainedBytes, 2*maxRetainedBytes)), balancer.Overloaded},
		{"whole, at the size limit", respondWith(sized(maxBodyBytes, maxBodyBytes)), balancer.Overloaded},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newUpstream(t, test.answer)
			u := testUpstreams(t, 4, entry("s", s.address, "Ready"))
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			if rep := u.attempt(ctx, "s", testRequest("POST", "b"), 0); rep.result != test.want {
				t.Errorf("got result %d, error %v, want result %d", rep.result, rep.err, test.want)
			}
		})
	}
}

// Guards against the same when the attempt ends, by its deadline or because it is cancelled, before its answer does.
func TestARefusalCutOffByItsAttemptIsNoProof(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		begun := make(chan struct{}, 1)
		s := newUpstream(t, func(c net.Conn, r receivedRequest) bool {
			_, _ = io.WriteString(c, refusalHead+"Content-Length: 64\r\n\r\nqueue")
			begun <- struct{}{}
			return neverRespond(c, r)
		})
		u := testUpstreams(t, 4, entry("s", s.address, "Ready"))
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		if cancelled {
			ctx, cancel = context.WithCancel(t.Context())
			go func() {
				<-begun
				time.Sleep(100 * time.Millisecond) // the attempt reads the start of the answer
				cancel()
			}()
		}
		rep := u.attempt(ctx, "s", testRequest("POST", "b"), 0)
		cancel()
		if rep.result == balancer.Overloaded {
			t.Errorf("cancelled %v: got result %d, error %v, want a result that does not exclude that the request ran", cancelled, rep.result, rep.err)
		}
		if rep.abandon != nil {
			rep.abandon()
		}
	}
}

// Guards against the same at the sidecar: a request of a class that must not run twice is sent once, and is not rejected.
func TestAnUnreadableRefusalIsNotFollowedByAnotherAttempt(t *testing.T) {
	answer := thenClose(refusalHead + "Content-Length: 64\r\n\r\nqueue")
	s1, s2 := newUpstream(t, answer), newUpstream(t, answer)
	r := start(t, testConfig(t, quietDiscovery(t).address, entry("s1", s1.address, "Ready"), entry("s2", s2.address, "Ready")), "127.0.0.1:0")
	if resp, _ := r.do(t, request(t, r.address, "confirm", "b")); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("got status %s, want %d", resp.Status, http.StatusBadGateway)
	}
	if n := len(s1.requests()) + len(s2.requests()); n != 1 {
		t.Errorf("the upstreams got %d requests, want 1", n)
	}
}

// Guards against the same if the refusal comes before the request is sent completely. On a connection that carried a request before,
// it may be a second answer to that one, so it proves something only if the request is never completed.
func TestAnEarlyRefusalStopsItsRequest(t *testing.T) {
	for _, retained := range []bool{false, true} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		got := make(chan error, 1) // the result of reading the second request to its end
		go refuseSecondRequestEarly(listener, got)
		u := testUpstreams(t, 4, entry("s", listener.Addr().String(), "Ready"))
		if rep := u.attempt(t.Context(), "s", testRequest("POST", "1"), 0); rep.result != balancer.OK {
			t.Fatalf("the previous request on the connection: got result %d, want %d", rep.result, balancer.OK)
		}
		u.awaitReusable(t)
		rest, client := io.Pipe()
		defer func() { _ = client.Close() }()
		r := largeRequest(16<<20, 16<<20)
		r.body.rest = rest
		if retained {
			r = testRequest("POST", strings.Repeat("x", 16<<20))
		}
		go func() { _, _ = client.Write(make([]byte, 4<<10)) }()
		rep := u.attempt(t.Context(), "s", r, 0)
		go func() { _, _ = client.Write(make([]byte, 16<<20)) }() // the client sends the rest, which the upstream must not get
		if rep.result != balancer.Overloaded || rep.use.nth != 2 {
			t.Errorf("body retained %v: got result %d for request %d of its connection, want %d for 2", retained, rep.result, rep.use.nth, balancer.Overloaded)
		}
		if err := <-got; err == nil {
			t.Errorf("body retained %v: the upstream got the complete request, want a part of it", retained)
		}
	}
}

// Guards against an early refusal that is taken as proof although the request has been sent completely since then.
func TestAnEarlyRefusalOfASentRequestIsNoProof(t *testing.T) {
	for _, test := range []struct {
		uses      int
		early     bool
		bytesRead int // of the body, of 9
		want      bool
	}{
		{2, true, 9, false},
		{2, true, 8, true},
		{2, false, 9, true},
		{1, true, 9, true},
	} {
		near, far := net.Pipe()
		c := &upstreamConn{Conn: near, uses: test.uses, writeTimeout: testTimeout, writing: make(chan struct{}, 1), checkMayBegin: func() error { return nil }}
		go func() { _, _ = io.Copy(io.Discard, far) }()
		if _, err := c.Write([]byte("POST")); err != nil {
			t.Fatal(err)
		}
		r := largeRequest(9, 9)
		x := &upstreamExchange{conn: c, clientReq: r, body: r.body.reader().(*bodyReader)}
		x.answeredEarly.Store(test.early)
		if _, err := io.ReadFull(x.body, make([]byte, test.bytesRead)); err != nil {
			t.Fatal(err)
		}
		if got := x.isOwnAnswerOrStopped(); got != test.want {
			t.Errorf("%+v: got a proof %v, want %v", test, got, test.want)
		}
		_ = near.Close()
		_ = far.Close()
	}
}

// refuseSecondRequestEarly serves a connection: it answers the first request, refuses the second one once it has some of its body,
// and reports the result of reading the rest of that body after a pause.
func refuseSecondRequestEarly(listener net.Listener, rest chan<- error) {
	c, err := listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	first, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, first.Body)
	_, _ = io.WriteString(c, ok200("done"))
	second, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, second.Body, 8)
	_, _ = io.WriteString(c, refusalHead+"Content-Length: 4\r\n\r\nfull")
	time.Sleep(300 * time.Millisecond)
	_, err = io.Copy(io.Discard, second.Body)
	rest <- err
}
