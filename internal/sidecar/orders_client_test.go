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
	w     *world
	host  *memnet.Host
	conns []*orderConn // under the world's lock
}

type orderConn struct {
	net.Conn
	out  int  // requests that have no whole answer yet
	half bool // a body is on its way, the rest of which is still to come
	dead bool
}

// send sends a request, on a connection that rests or else a new one. split is what passes between its body's halves.
func (c *orderClient) send(class string, timeout, split time.Duration, fresh bool) {
	w := c.w
	r := w.request(class, timeout)
	go func() {
		line := c.resting(fresh)
		if line == nil {
			return
		}
		c.sends(line, true)
		defer c.sends(line, false)
		text := r.text()
		if split > 0 && r.body != "" {
			cut := len(text) - len(r.body)/2
			if _, err := io.WriteString(line, text[:cut]); err != nil || !w.passes(split) {
				return
			}
			text = text[cut:]
		}
		_, _ = io.WriteString(line, text) // where it fails the client has gone
	}()
}

// sendHalf sends a part of a request: of its head, or all but half of its body.
func (c *orderClient) sendHalf(gap time.Duration) {
	r := c.w.request("confirm", time.Second)
	text := r.text()
	cut := len(text) - len(r.body)/2
	if gap > 0 {
		cut = len(text) / 3
	}
	go func() {
		if line := c.connect(1); line != nil {
			c.sends(line, true)
			_, _ = io.WriteString(line, text[:cut]) // where it fails the connection has ended
		}
	}()
}

// inside is a request that stands in the body of another.
const inside = "GET /search/7f3a HTTP/1.1\r\nHost: s\r\nX-Request-ID: 00000000000000ff\r\n\r\n"

var junk = []string{
	"GET /search/7f3a HTTP/1.1\r\nHost: s\r\n\r\n",
	"GET /search/7f3a HTTP/1.1\r\nHost: s\r\nX-Request-ID: 00000000000000fe\r\nX-Request-ID: 00000000000000fd\r\n\r\n",
	"GET /nothing/7f3a HTTP/1.1\r\nHost: s\r\nX-Request-ID: 00000000000000fe\r\n\r\n",
	"GET /confirm/7f3a HTTP/1.1\r\nHost: s\r\nX-Request-ID: 00000000000000fe\r\n\r\n",
	"GET /search/7f3a HTTP/1.0\r\nX-Request-ID: 00000000000000fe\r\n\r\n",
	"POST /record/7f3a HTTP/1.1\r\nHost: s\r\nX-Request-ID: 00000000000000fe\r\nContent-Length: 2\r\n\r\nab",
	"GET /search/7f3a HTTP/1.1\r\nHost: s\r\nX-Request-ID: 00000000000000fe\r\nX-Timeout: 5\r\n\r\n",
	fmt.Sprintf("GET /search/7f3a HTTP/1.1\r\nHost: s\r\nX-Request-ID: 00000000000000fe\r\nContent-Length: %d\r\n\r\n%s", len(inside), inside),
	"POST /confirm/7f3a HTTP/1.1\r\nHost: s\r\nX-Request-ID: 00000000000000fe\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inside,
	"\x16\x03\x01\x02\x00\x01",
	"GET /search/" + strings.Repeat("x", 40<<10),
}

// junk sends something that is no proper request, and waits.
func (c *orderClient) junk(n int) {
	go func() {
		if line := c.connect(1); line != nil {
			c.sends(line, true)
			_, _ = io.WriteString(line, junk[n%len(junk)]) // where it fails the connection has ended
		}
	}()
}

func (c *orderClient) sends(line *orderConn, on bool) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	line.half = on
}

// behind sends more on the busiest connection, unless it would come into the middle of a body.
func (c *orderClient) behind(text func(*orderConn) string) {
	line := c.busiest()
	if line == nil {
		return
	}
	c.w.mu.Lock()
	half := line.half
	line.half = true
	c.w.mu.Unlock()
	if !half {
		_, _ = io.WriteString(line, text(line)) // where it fails the connection has ended
		c.sends(line, false)
	}
}

// request makes up a request.
func (w *world) request(class string, timeout time.Duration) *orderRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requested++
	r := &orderRequest{id: fmt.Sprintf("%016x", 0xa00+w.requested), method: http.MethodPost, class: class, timeout: timeout,
		target: "/" + class + "/7f3a", body: fmt.Sprintf("the body of %d", w.requested)}
	switch class {
	case "search":
		r.method, r.body = http.MethodGet, ""
	case "large":
		r.class, r.target = "confirm", "/confirm/7f3a"
		r.body = strings.Repeat(fmt.Sprintf("%7d ", w.requested), 8<<10) // the most that there is
	}
	w.sent[r.id] = r
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

// resting is a connection for the next request, which it counts; nil: none is to be had.
func (c *orderClient) resting(fresh bool) *orderConn {
	w := c.w
	w.mu.Lock()
	for i := len(c.conns) - 1; i >= 0 && !fresh; i-- {
		if l := c.conns[i]; !l.dead && !l.half && l.out == 0 {
			l.out++
			l.half = true // before anybody else finds it: what is sent behind must not come into its body
			w.mu.Unlock()
			return l
		}
	}
	w.mu.Unlock()
	return c.connect(1)
}

// connect opens a connection for so many requests.
func (c *orderClient) connect(out int) *orderConn {
	w := c.w
	ctx, cancel := context.WithTimeout(w.ctx, 3*time.Second)
	defer cancel()
	raw, err := c.host.Dial(ctx, "tcp", "10.0.0.1:9000")
	if err != nil {
		return nil
	}
	line := &orderConn{Conn: raw, out: out, half: out > 0}
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
			line.out = max(line.out-1, 0)
			line.dead = line.dead || err != nil || resp.Close
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
func (c *orderClient) busiest() *orderConn {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	var found *orderConn
	for _, l := range c.conns {
		if !l.dead && (found == nil || l.out > 0 || found.out == 0) {
			found = l
		}
	}
	return found
}

// passes sleeps, and tells whether the order still goes on.
func (w *world) passes(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-w.ctx.Done():
		return false
	}
}

// The upstreams.
