package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"mosslead/internal/lab/memnet"
)

// orderClient is a client of the sidecar.
type orderClient struct {
	h     *orderHarness
	host  *memnet.Host
	conns []*orderClientConn // guarded by orderHarness.mu
}

// orderClientConn is a connection of a client; its fields are guarded by orderHarness.mu.
type orderClientConn struct {
	net.Conn
	unanswered int  // requests without a complete answer
	sending    bool // a request is being written, so nothing may be pipelined behind it
	ended      bool
}

// send sends a request on an idle connection or else a new one, and pauses for split between the halves of its body.
func (c *orderClient) send(class string, timeout, split time.Duration, newConn bool) {
	h := c.h
	r := h.newRequest(class, timeout)
	go func() {
		conn := c.idleConn(newConn)
		if conn == nil {
			return
		}
		c.setSending(conn, true)
		defer c.setSending(conn, false)
		text := r.text()
		if split > 0 && r.body != "" {
			cut := len(text) - len(r.body)/2
			if _, err := io.WriteString(conn, text[:cut]); err != nil || !h.sleep(split) {
				return
			}
			text = text[cut:]
		}
		_, _ = io.WriteString(conn, text) // fails if the connection has ended
	}()
}

// sendPartial sends part of a request: a third of it, or everything but half of its body if delay is 0.
func (c *orderClient) sendPartial(delay time.Duration) {
	r := c.h.newRequest("confirm", time.Second)
	text := r.text()
	cut := len(text) - len(r.body)/2
	if delay > 0 {
		cut = len(text) / 3
	}
	go func() {
		if conn := c.connect(1); conn != nil {
			c.setSending(conn, true)
			_, _ = io.WriteString(conn, text[:cut]) // fails if the connection has ended
		}
	}()
}

// embeddedRequest is a request inside the body of another.
const embeddedRequest = "GET /search/7f3a HTTP/1.1\r\nHost: s\r\nX-Request-ID: 00000000000000ff\r\n\r\n"

var malformedRequests = []string{
	"GET /search/7f3a HTTP/1.1\r\nHost: s\r\n\r\n",
	"GET /search/7f3a HTTP/1.1\r\nHost: s\r\nX-Request-ID: 00000000000000fe\r\nX-Request-ID: 00000000000000fd\r\n\r\n",
	"GET /nothing/7f3a HTTP/1.1\r\nHost: s\r\nX-Request-ID: 00000000000000fe\r\n\r\n",
	"GET /confirm/7f3a HTTP/1.1\r\nHost: s\r\nX-Request-ID: 00000000000000fe\r\n\r\n",
	"GET /search/7f3a HTTP/1.0\r\nX-Request-ID: 00000000000000fe\r\n\r\n",
	"POST /record/7f3a HTTP/1.1\r\nHost: s\r\nX-Request-ID: 00000000000000fe\r\nContent-Length: 2\r\n\r\nab",
	"GET /search/7f3a HTTP/1.1\r\nHost: s\r\nX-Request-ID: 00000000000000fe\r\nX-Timeout: 5\r\n\r\n",
	fmt.Sprintf("GET /search/7f3a HTTP/1.1\r\nHost: s\r\nX-Request-ID: 00000000000000fe\r\nContent-Length: %d\r\n\r\n%s", len(embeddedRequest), embeddedRequest),
	"POST /confirm/7f3a HTTP/1.1\r\nHost: s\r\nX-Request-ID: 00000000000000fe\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + embeddedRequest,
	"\x16\x03\x01\x02\x00\x01",
	"GET /search/" + strings.Repeat("x", 40<<10),
}

// sendMalformed sends a malformed request on a new connection, and does not close it.
func (c *orderClient) sendMalformed(n int) {
	go func() {
		if conn := c.connect(1); conn != nil {
			c.setSending(conn, true)
			_, _ = io.WriteString(conn, malformedRequests[n%len(malformedRequests)]) // fails if the connection has ended
		}
	}()
}

// setSending sets whether a request is being written on a connection.
func (c *orderClient) setSending(conn *orderClientConn, sending bool) {
	c.h.mu.Lock()
	defer c.h.mu.Unlock()
	conn.sending = sending
}

// pipeline sends more on the busiest connection, unless a request is being written there.
func (c *orderClient) pipeline(text func(*orderClientConn) string) {
	conn := c.busiest()
	if conn == nil {
		return
	}
	c.h.mu.Lock()
	busy := conn.sending
	conn.sending = true
	c.h.mu.Unlock()
	if !busy {
		_, _ = io.WriteString(conn, text(conn)) // fails if the connection has ended
		c.setSending(conn, false)
	}
}

// newRequest creates a request of a class and registers it.
func (h *orderHarness) newRequest(class string, timeout time.Duration) *orderRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requestCount++
	r := &orderRequest{id: fmt.Sprintf("%016x", 0xa00+h.requestCount), method: http.MethodPost, class: class, timeout: timeout,
		target: "/" + class + "/7f3a", body: fmt.Sprintf("the body of %d", h.requestCount)}
	switch class {
	case "search":
		r.method, r.body = http.MethodGet, ""
	case "large":
		r.class, r.target = "confirm", "/confirm/7f3a"
		r.body = strings.Repeat(fmt.Sprintf("%7d ", h.requestCount), 8<<10) // 64 KiB, the largest body here
	}
	h.clientRequests[r.id] = r
	return r
}

func (r *orderRequest) text() string {
	s := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: s\r\nX-Request-ID: %s\r\nX-Timeout: %dm\r\n", r.method, r.target, r.id, r.timeout.Milliseconds())
	if r.class == "record" {
		s += "Idempotency-Key: k" + r.id + "\r\n"
	}
	if r.body != "" {
		s += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	return s + "\r\n" + r.body
}

// idleConn returns a connection for one request and counts the request on it. It returns nil if it cannot connect.
func (c *orderClient) idleConn(newConn bool) *orderClientConn {
	h := c.h
	h.mu.Lock()
	for i := len(c.conns) - 1; i >= 0 && !newConn; i-- {
		if conn := c.conns[i]; !conn.ended && !conn.sending && conn.unanswered == 0 {
			conn.unanswered++
			conn.sending = true // set now, so that nothing is pipelined into this request
			h.mu.Unlock()
			return conn
		}
	}
	h.mu.Unlock()
	return c.connect(1)
}

// connect opens a connection on which the given number of requests will be sent. It returns nil if it cannot connect.
func (c *orderClient) connect(requests int) *orderClientConn {
	h := c.h
	ctx, cancel := context.WithTimeout(h.ctx, 3*time.Second)
	defer cancel()
	raw, err := c.host.Dial(ctx, "tcp", "10.0.0.1:9000")
	if err != nil {
		return nil
	}
	conn := &orderClientConn{Conn: raw, unanswered: requests, sending: requests > 0}
	h.mu.Lock()
	c.conns = append(c.conns, conn)
	h.mu.Unlock()
	go func() {
		in := bufio.NewReader(conn)
		for {
			resp, err := http.ReadResponse(in, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			h.mu.Lock()
			conn.unanswered = max(conn.unanswered-1, 0)
			conn.ended = conn.ended || err != nil || resp.Close
			h.mu.Unlock()
			if err != nil {
				_ = conn.Close()
				return
			}
		}
	}()
	return conn
}

// busiest returns the newest connection that waits for an answer, or else the newest one; nil if there is none.
func (c *orderClient) busiest() *orderClientConn {
	c.h.mu.Lock()
	defer c.h.mu.Unlock()
	var best *orderClientConn
	for _, conn := range c.conns {
		if !conn.ended && (best == nil || conn.unanswered > 0 || best.unanswered == 0) {
			best = conn
		}
	}
	return best
}

// sleep waits for d and reports whether the order is still being played.
func (h *orderHarness) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-h.ctx.Done():
		return false
	}
}
