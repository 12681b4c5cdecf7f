package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"mosslead/internal/lab/memnet"
)

// orderUpstream is an upstream of the sidecar.
type orderUpstream struct {
	h          *orderHarness
	number     int
	host       *memnet.Host
	autoAnswer time.Duration // delay of its answer to a request for which no action is planned; negative: never
	// The fields below are guarded by orderHarness.mu.
	conns          []*orderUpstreamConn
	plannedAnswers []orderAction // planned for the next requests, one for each
	pending        []*orderCall
	down           bool
}

// orderUpstreamConn is a connection from the sidecar; its fields are guarded by orderHarness.mu.
type orderUpstreamConn struct {
	net.Conn
	requests   int
	unanswered int // requests without a complete answer
	ended      bool
}

// orderCall is a request that an upstream has received completely.
type orderCall struct {
	upstream *orderUpstream
	conn     *orderUpstreamConn
	answer   *orderAnswer
}

// orderAnswer records how an upstream answered a request that it received completely.
type orderAnswer struct {
	id           string
	port         int // the sidecar's port of the connection
	nth          int // ordinal of the request on that connection, from 1
	status       int
	notProcessed bool // the answer states that the request was not processed
	body         string
	begun        bool
	complete     bool
	at           time.Duration // when its last byte was sent
	index        int           // number of recorded events at that time
	secondAt     time.Duration // when a second answer was sent after it; 0 if none was
}

func (u *orderUpstream) listen() {
	l, err := u.host.Listen(8000)
	if err != nil {
		u.h.t.Error(err)
		return
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(&orderUpstreamConn{Conn: c})
		}
	}()
}

func (u *orderUpstream) serve(c *orderUpstreamConn) {
	h := u.h
	h.mu.Lock()
	u.conns = append(u.conns, c)
	h.mu.Unlock()
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err == nil {
			_, err = io.Copy(io.Discard, req.Body)
		}
		h.mu.Lock()
		if err != nil {
			c.ended = true
			h.mu.Unlock()
			return
		}
		c.requests++
		c.unanswered++
		call := &orderCall{u, c, &orderAnswer{id: req.Header.Get(headerID), port: c.RemoteAddr().(*net.TCPAddr).Port, nth: c.requests}}
		h.answers[call.answer.id] = append(h.answers[call.answer.id], call.answer)
		switch {
		case len(u.plannedAnswers) > 0:
			a := u.plannedAnswers[0]
			u.plannedAnswers = u.plannedAnswers[1:]
			go call.perform(a)
		case u.autoAnswer >= 0:
			go func() {
				if u.autoAnswer == 0 || h.sleep(u.autoAnswer) {
					call.perform(orderAction{kind: answersOK})
				}
			}()
		default:
			u.pending = append(u.pending, call)
		}
		h.mu.Unlock()
	}
}

// answerNext answers the oldest pending request as the action specifies, or plans the action for the next request.
func (u *orderUpstream) answerNext(a orderAction) {
	u.h.mu.Lock()
	if len(u.pending) == 0 {
		u.plannedAnswers = append(u.plannedAnswers, a)
		u.h.mu.Unlock()
		return
	}
	call := u.pending[0]
	u.pending = u.pending[1:]
	u.h.mu.Unlock()
	go call.perform(a)
}

func (c *orderCall) write(text string) { _, _ = io.WriteString(c.conn, text) } // fails if the connection has ended

// noteBegun records the status and the intended body of the answer that begins.
func (c *orderCall) noteBegun(status int, body string) {
	c.upstream.h.mu.Lock()
	defer c.upstream.h.mu.Unlock()
	c.answer.status, c.answer.body, c.answer.begun = status, body, true
}

// noteComplete records that the complete answer has been sent.
func (c *orderCall) noteComplete() {
	h := c.upstream.h
	h.mu.Lock()
	defer h.mu.Unlock()
	c.answer.complete, c.answer.at, c.answer.index = true, time.Since(h.begun), len(h.events)
	c.conn.unanswered--
}

func (c *orderCall) reset() {
	if r, ok := c.conn.Conn.(interface{ Reset() }); ok {
		r.Reset()
	}
}

// perform answers the request as the action specifies.
func (c *orderCall) perform(a orderAction) {
	h := c.upstream.h
	body := fmt.Sprintf("made for %s by %s, %d", c.answer.id, c.upstream.host.Name(), c.answer.nth)
	half, rest := body[:len(body)/2], body[len(body)/2:]
	switch a.kind {
	case answersOK:
		c.noteBegun(200, body)
		c.write(ok200(body))
		c.noteComplete()
	case answersInTwoParts:
		c.noteBegun(200, body)
		c.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), half))
		if h.sleep(a.delay) {
			c.write(rest)
			c.noteComplete()
		}
	case answersChunked:
		c.noteBegun(200, body)
		c.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(half), half))
		if h.sleep(a.delay) {
			c.write(fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(rest), rest))
			c.noteComplete()
		}
	case answersLarge:
		body = strings.Repeat(body+"\n", 4000)
		c.noteBegun(200, body)
		c.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)/3]))
		if h.sleep(a.delay) {
			c.write(body[len(body)/3:])
			c.noteComplete()
		}
	case answersTwice:
		c.noteBegun(200, body)
		c.write(ok200(body))
		c.noteComplete()
		if a.delay > 0 && !h.sleep(a.delay) {
			return
		}
		h.mu.Lock()
		newest := c.conn.requests == c.answer.nth // otherwise the sidecar could not distinguish it from the answer to a later request
		h.mu.Unlock()
		if newest {
			h.mu.Lock()
			c.answer.secondAt = time.Since(h.begun)
			h.mu.Unlock()
			c.write(ok200("again " + body))
		}
	case answersError:
		c.noteBegun(500, "")
		c.write("HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n")
		c.noteComplete()
	case answersNotProcessed:
		c.noteBegun(503, "")
		h.mu.Lock()
		c.answer.notProcessed = true
		h.mu.Unlock()
		c.write("HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
		c.noteComplete()
	case resetsMidAnswer:
		c.noteBegun(200, body)
		c.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), half))
		if a.delay == 0 || h.sleep(a.delay) {
			c.reset()
		}
	case closesUnsizedAnswer: // the orderly close ends the answer
		c.noteBegun(200, body)
		c.write("HTTP/1.1 200 OK\r\n\r\n" + body)
		if a.delay == 0 || h.sleep(a.delay) {
			_ = c.conn.Close()
			c.noteComplete()
		}
	case resetsUnsizedAnswer:
		c.noteBegun(200, body)
		c.write("HTTP/1.1 200 OK\r\n\r\n" + half)
		if a.delay == 0 || h.sleep(a.delay) {
			c.reset()
		}
	case closesUnanswered:
		_ = c.conn.Close()
	case resetsUnanswered:
		c.reset()
	case answersPartialLine:
		c.write("HTTP/1.1 2")
	case answersMalformed:
		c.write("HTTP/9 what?\r\nContent-Length: 0\r\n\r\n")
	case answersEndlessly:
		c.noteBegun(200, strings.Repeat("more", 400))
		c.write("HTTP/1.1 200 OK\r\n\r\n")
		for range 100 {
			if c.write("more"); !h.sleep(40 * milli) {
				return
			}
		}
	case neverAnswers:
	}
}

// idleConns returns the open connections without a pending request.
func (u *orderUpstream) idleConns() []*orderUpstreamConn {
	u.h.mu.Lock()
	defer u.h.mu.Unlock()
	var idle []*orderUpstreamConn
	for _, c := range u.conns {
		if !c.ended && c.unanswered == 0 {
			idle = append(idle, c)
		}
	}
	return idle
}

// kill ends the upstream's process; a new one listens after restartDelay.
func (u *orderUpstream) kill(restartDelay time.Duration) {
	h := u.h
	h.mu.Lock()
	wasDown := u.down
	u.down, u.pending = true, nil
	h.mu.Unlock()
	if wasDown {
		return
	}
	u.host.Kill()
	go func() {
		if h.sleep(restartDelay) {
			h.mu.Lock()
			u.down = false
			h.mu.Unlock()
			u.listen()
		}
	}()
}
