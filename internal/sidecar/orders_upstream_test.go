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

type orderUpstream struct {
	h          *orderHarness
	number     int
	host       *memnet.Host
	autoAnswer time.Duration // after which it answers what no act is there for; negative: never
	// The fields below are under the world's lock.
	conns          []*orderUpstreamConn
	plannedAnswers []orderAction // for the next requests
	pending        []*orderCall
	down           bool
}

type orderUpstreamConn struct {
	net.Conn
	requests   int
	unanswered int // without an answer
	ended      bool
}

// orderCall is a request as an upstream got it.
type orderCall struct {
	upstream *orderUpstream
	conn     *orderUpstreamConn
	answer   *orderAnswer
}

// orderAnswer is what an upstream did with a request that it got whole.
type orderAnswer struct {
	id           string
	port         int // of the connection on the sidecar's side
	nth          int // request on that connection, from 1
	status       int
	notProcessed bool // it says that the request did not run
	body         string
	begun        bool
	complete     bool
	at           time.Duration // of its last byte
	index        int           // the record's place after it
	secondAt     time.Duration // when another answer was sent behind it; 0: none was
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
	w := u.h
	w.mu.Lock()
	u.conns = append(u.conns, c)
	w.mu.Unlock()
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err == nil {
			_, err = io.Copy(io.Discard, req.Body)
		}
		w.mu.Lock()
		if err != nil {
			c.ended = true
			w.mu.Unlock()
			return
		}
		c.requests++
		c.unanswered++
		call := &orderCall{u, c, &orderAnswer{id: req.Header.Get(headerID), port: c.RemoteAddr().(*net.TCPAddr).Port, nth: c.requests}}
		w.answers[call.answer.id] = append(w.answers[call.answer.id], call.answer)
		switch {
		case len(u.plannedAnswers) > 0:
			a := u.plannedAnswers[0]
			u.plannedAnswers = u.plannedAnswers[1:]
			go call.perform(a)
		case u.autoAnswer >= 0:
			go func() {
				if u.autoAnswer == 0 || w.sleep(u.autoAnswer) {
					call.perform(orderAction{kind: answersOK})
				}
			}()
		default:
			u.pending = append(u.pending, call)
		}
		w.mu.Unlock()
	}
}

// answerNext has the oldest request that waits get what an act says, or else the next one that comes.
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

func (c *orderCall) write(text string) { _, _ = io.WriteString(c.conn, text) } // where it fails the sidecar has given up

// noteBegun notes what is being answered; whole notes its end.
func (c *orderCall) noteBegun(status int, body string) {
	c.upstream.h.mu.Lock()
	defer c.upstream.h.mu.Unlock()
	c.answer.status, c.answer.body, c.answer.begun = status, body, true
}

func (c *orderCall) noteComplete() {
	w := c.upstream.h
	w.mu.Lock()
	defer w.mu.Unlock()
	c.answer.complete, c.answer.at, c.answer.index = true, time.Since(w.begun), len(w.events)
	c.conn.unanswered--
}

func (c *orderCall) reset() {
	if r, ok := c.conn.Conn.(interface{ Reset() }); ok {
		r.Reset()
	}
}

// perform carries out an act on a request.
func (c *orderCall) perform(a orderAction) {
	w := c.upstream.h
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
		if w.sleep(a.delay) {
			c.write(rest)
			c.noteComplete()
		}
	case answersChunked:
		c.noteBegun(200, body)
		c.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(half), half))
		if w.sleep(a.delay) {
			c.write(fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(rest), rest))
			c.noteComplete()
		}
	case answersLarge:
		body = strings.Repeat(body+"\n", 4000)
		c.noteBegun(200, body)
		c.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)/3]))
		if w.sleep(a.delay) {
			c.write(body[len(body)/3:])
			c.noteComplete()
		}
	case answersTwice:
		c.noteBegun(200, body)
		c.write(ok200(body))
		c.noteComplete()
		if a.delay > 0 && !w.sleep(a.delay) {
			return
		}
		w.mu.Lock()
		newest := c.conn.requests == c.answer.nth // else it would be the answer to what came since, for all that can be told
		w.mu.Unlock()
		if newest {
			w.mu.Lock()
			c.answer.secondAt = time.Since(w.begun)
			w.mu.Unlock()
			c.write(ok200("again " + body))
		}
	case answersError:
		c.noteBegun(500, "")
		c.write("HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n")
		c.noteComplete()
	case answersNotProcessed:
		c.noteBegun(503, "")
		w.mu.Lock()
		c.answer.notProcessed = true
		w.mu.Unlock()
		c.write("HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
		c.noteComplete()
	case resetsMidAnswer:
		c.noteBegun(200, body)
		c.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), half))
		if a.delay == 0 || w.sleep(a.delay) {
			c.reset()
		}
	case closesUnsizedAnswer: // in order: that is its end
		c.noteBegun(200, body)
		c.write("HTTP/1.1 200 OK\r\n\r\n" + body)
		if a.delay == 0 || w.sleep(a.delay) {
			_ = c.conn.Close()
			c.noteComplete()
		}
	case resetsUnsizedAnswer:
		c.noteBegun(200, body)
		c.write("HTTP/1.1 200 OK\r\n\r\n" + half)
		if a.delay == 0 || w.sleep(a.delay) {
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
			if c.write("more"); !w.sleep(40 * milli) {
				return
			}
		}
	case neverAnswers:
	}
}

// rest gives connections without a request to do.
func (u *orderUpstream) idleConns() []*orderUpstreamConn {
	u.h.mu.Lock()
	defer u.h.mu.Unlock()
	var all []*orderUpstreamConn
	for _, c := range u.conns {
		if !c.ended && c.unanswered == 0 {
			all = append(all, c)
		}
	}
	return all
}

// kill ends the upstream's process; another one listens after that long.
func (u *orderUpstream) kill(back time.Duration) {
	w := u.h
	w.mu.Lock()
	was := u.down
	u.down, u.pending = true, nil
	w.mu.Unlock()
	if was {
		return
	}
	u.host.Kill()
	go func() {
		if w.sleep(back) {
			w.mu.Lock()
			u.down = false
			w.mu.Unlock()
			u.listen()
		}
	}()
}

// Discovery.
