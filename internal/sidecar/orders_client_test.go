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

type orderClient struct {
	h     *orderHarness
	host  *memnet.Host
	conns []*orderClientConn // under the world's lock
}

type orderClientConn struct {
	net.Conn
	unanswered int  // requests that have no whole answer yet
	sending    bool // a body is on its way, the rest of which is still to come
	ended      bool
}

// send sends a request, on a connection that rests or else a new one. split is what passes between its body's halves.
func (c *orderClient) send(class string, timeout, split time.Duration, fresh bool) {
	w := c.h
	r := w.newRequest(class, timeout)
	go func() {
		line := c.idleConn(fresh)
		if line == nil {
			return
		}
		c.setSending(line, true)
		defer c.setSending(line, false)
		text := r.text()
		if split > 0 && r.body != "" {
			cut := len(text) - len(r.body)/2
			if _, err := io.WriteString(line, text[:cut]); err != nil || !w.sleep(split) {
				return
			}
			text = text[cut:]
		}
		_, _ = io.WriteString(line, text) // where it fails the client has gone
	}()
}

// sendPartial sends a part of a request: of its head, or all but half of its body.
func (c *orderClient) sendPartial(gap time.Duration) {
	r := c.h.newRequest("confirm", time.Second)
	text := r.text()
	cut := len(text) - len(r.body)/2
	if gap > 0 {
		cut = len(text) / 3
	}
	go func() {
		if line := c.connect(1); line != nil {
			c.setSending(line, true)
			_, _ = io.WriteString(line, text[:cut]) // where it fails the connection has ended
		}
	}()
}

// embeddedRequest is a request that stands in the body of another.
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

// sendMalformed sends something that is no proper request, and waits.
func (c *orderClient) sendMalformed(n int) {
	go func() {
		if line := c.connect(1); line != nil {
			c.setSending(line, true)
			_, _ = io.WriteString(line, malformedRequests[n%len(malformedRequests)]) // where it fails the connection has ended
		}
	}()
}

func (c *orderClient) setSending(line *orderClientConn, on bool) {
	c.h.mu.Lock()
	defer c.h.mu.Unlock()
	line.sending = on
}

// pipeline sends more on the busiest connection, unless it would come into the middle of a body.
func (c *orderClient) pipeline(text func(*orderClientConn) string) {
	line := c.busiest()
	if line == nil {
		return
	}
	c.h.mu.Lock()
	half := line.sending
	line.sending = true
	c.h.mu.Unlock()
	if !half {
		_, _ = io.WriteString(line, text(line)) // where it fails the connection has ended
		c.setSending(line, false)
	}
}

// newRequest makes up a newRequest.
func (w *orderHarness) newRequest(class string, timeout time.Duration) *orderRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requestCount++
	r := &orderRequest{id: fmt.Sprintf("%016x", 0xa00+w.requestCount), method: http.MethodPost, class: class, timeout: timeout,
		target: "/" + class + "/7f3a", body: fmt.Sprintf("the body of %d", w.requestCount)}
	switch class {
	case "search":
		r.method, r.body = http.MethodGet, ""
	case "large":
		r.class, r.target = "confirm", "/confirm/7f3a"
		r.body = strings.Repeat(fmt.Sprintf("%7d ", w.requestCount), 8<<10) // the most that there is
	}
	w.clientRequests[r.id] = r
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

// idleConn is a connection for the next request, which it counts; nil: none is to be had.
func (c *orderClient) idleConn(fresh bool) *orderClientConn {
	w := c.h
	w.mu.Lock()
	for i := len(c.conns) - 1; i >= 0 && !fresh; i-- {
		if l := c.conns[i]; !l.ended && !l.sending && l.unanswered == 0 {
			l.unanswered++
			l.sending = true // before anybody else finds it: what is sent behind must not come into its body
			w.mu.Unlock()
			return l
		}
	}
	w.mu.Unlock()
	return c.connect(1)
}

// connect opens a connection for so many requests.
func (c *orderClient) connect(out int) *orderClientConn {
	w := c.h
	ctx, cancel := context.WithTimeout(w.ctx, 3*time.Second)
	defer cancel()
	raw, err := c.host.Dial(ctx, "tcp", "10.0.0.1:9000")
	if err != nil {
		return nil
	}
	line := &orderClientConn{Conn: raw, unanswered: out, sending: out > 0}
	w.mu.Lock()
	c.conns = append(c.conns, line)
	w.mu.Unlock()
	go func() {
		in := bufio.NewReader(line)
		for {
			resp, err := http.ReadResponse(in, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			w.mu.Lock()
			line.unanswered = max(line.unanswered-1, 0)
			line.ended = line.ended || err != nil || resp.Close
			w.mu.Unlock()
			if err != nil {
				_ = line.Close()
				return
			}
		}
	}()
	return line
}

// busiest is the newest connection that waits for an answer, or else the newest; nil: there is none.
func (c *orderClient) busiest() *orderClientConn {
	c.h.mu.Lock()
	defer c.h.mu.Unlock()
	var found *orderClientConn
	for _, l := range c.conns {
		if !l.ended && (found == nil || l.unanswered > 0 || found.unanswered == 0) {
			found = l
		}
	}
	return found
}

// sleep sleeps, and tells whether the order still goes on.
func (w *orderHarness) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-w.ctx.Done():
		return false
	}
}

// The upstreams.
