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
	w      *world
	number int
	host   *memnet.Host
	auto   time.Duration // after which it answers what no act is there for; negative: never
	// The fields below are under the world's lock.
	conns   []*upConn
	plan    []act // for the next requests
	pending []*upCall
	down    bool
}

type upConn struct {
	net.Conn
	calls int
	out   int // without an answer
	dead  bool
}

// upCall is a request as an upstream got it.
type upCall struct {
	u    *orderUpstream
	conn *upConn
	rec  *orderAnswer
}

// orderAnswer is what an upstream did with a request that it got whole.
type orderAnswer struct {
	id       string
	port     int // of the connection on the sidecar's side
	nth      int // request on that connection, from 1
	status   int
	never    bool // it says that the request did not run
	body     string
	begun    bool
	complete bool
	at       time.Duration // of its last byte
	mark     int           // the record's place after it
	again    time.Duration // when another answer was sent behind it; 0: none was
}

func (u *orderUpstream) listen() {
	l, err := u.host.Listen(8000)
	if err != nil {
		u.w.t.Error(err)
		return
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(&upConn{Conn: c})
		}
	}()
}

func (u *orderUpstream) serve(c *upConn) {
	w := u.w
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
			c.dead = true
			w.mu.Unlock()
			return
		}
		c.calls++
		c.out++
		call := &upCall{u, c, &orderAnswer{id: req.Header.Get(headerID), port: c.RemoteAddr().(*net.TCPAddr).Port, nth: c.calls}}
		w.answers[call.rec.id] = append(w.answers[call.rec.id], call.rec)
		switch {
		case len(u.plan) > 0:
			a := u.plan[0]
			u.plan = u.plan[1:]
			go call.do(a)
		case u.auto >= 0:
			go func() {
				if u.auto == 0 || w.passes(u.auto) {
					call.do(act{kind: answersOK})
				}
			}()
		default:
			u.pending = append(u.pending, call)
		}
		w.mu.Unlock()
	}
}

// answers has the oldest request that waits get what an act says, or else the next one that comes.
func (u *orderUpstream) answers(a act) {
	u.w.mu.Lock()
	if len(u.pending) == 0 {
		u.plan = append(u.plan, a)
		u.w.mu.Unlock()
		return
	}
	call := u.pending[0]
	u.pending = u.pending[1:]
	u.w.mu.Unlock()
	go call.do(a)
}

func (c *upCall) write(text string) { _, _ = io.WriteString(c.conn, text) } // where it fails the sidecar has given up

// begins notes what is being answered; whole notes its end.
func (c *upCall) begins(status int, body string) {
	c.u.w.mu.Lock()
	defer c.u.w.mu.Unlock()
	c.rec.status, c.rec.body, c.rec.begun = status, body, true
}

func (c *upCall) finish() {
	w := c.u.w
	w.mu.Lock()
	defer w.mu.Unlock()
	c.rec.complete, c.rec.at, c.rec.mark = true, time.Since(w.begun), len(w.events)
	c.conn.out--
}

func (c *upCall) reset() {
	if r, ok := c.conn.Conn.(interface{ Reset() }); ok {
		r.Reset()
	}
}

// do carries out an act on a request.
func (c *upCall) do(a act) {
	w := c.u.w
	body := fmt.Sprintf("made for %s by %s, %d", c.rec.id, c.u.host.Name(), c.rec.nth)
	half, rest := body[:len(body)/2], body[len(body)/2:]
	switch a.kind {
	case answersOK:
		c.begins(200, body)
		c.write(ok200(body))
		c.finish()
	case answersSlowly:
		c.begins(200, body)
		c.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), half))
		if w.passes(a.gap) {
			c.write(rest)
			c.finish()
		}
	case answersChunked:
		c.begins(200, body)
		c.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(half), half))
		if w.passes(a.gap) {
			c.write(fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(rest), rest))
			c.finish()
		}
	case answersLarge:
		body = strings.Repeat(body+"\n", 4000)
		c.begins(200, body)
		c.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:len(body)/3]))
		if w.passes(a.gap) {
			c.write(body[len(body)/3:])
			c.finish()
		}
	case answersTwice:
		c.begins(200, body)
		c.write(ok200(body))
		c.finish()
		if a.gap > 0 && !w.passes(a.gap) {
			return
		}
		w.mu.Lock()
		newest := c.conn.calls == c.rec.nth // else it would be the answer to what came since, for all that can be told
		w.mu.Unlock()
		if newest {
			w.mu.Lock()
			c.rec.again = time.Since(w.begun)
			w.mu.Unlock()
			c.write(ok200("again " + body))
		}
	case answersError:
		c.begins(500, "")
		c.write("HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n")
		c.finish()
	case rejects:
		c.begins(503, "")
		w.mu.Lock()
		c.rec.never = true
		w.mu.Unlock()
		c.write("HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
		c.finish()
	case cutsShort:
		c.begins(200, body)
		c.write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), half))
		if a.gap == 0 || w.passes(a.gap) {
			c.reset()
		}
	case endsUnstated: // in order: that is its end
		c.begins(200, body)
		c.write("HTTP/1.1 200 OK\r\n\r\n" + body)
		if a.gap == 0 || w.passes(a.gap) {
			_ = c.conn.Close()
			c.finish()
		}
	case cutsUnstated:
		c.begins(200, body)
		c.write("HTTP/1.1 200 OK\r\n\r\n" + half)
		if a.gap == 0 || w.passes(a.gap) {
			c.reset()
		}
	case closesUnanswered:
		_ = c.conn.Close()
	case resetsUnanswered:
		c.reset()
	case spoils:
		c.write("HTTP/1.1 2")
	case spoilsHead:
		c.write("HTTP/9 what?\r\nContent-Length: 0\r\n\r\n")
	case neverEnds:
		c.begins(200, strings.Repeat("more", 400))
		c.write("HTTP/1.1 200 OK\r\n\r\n")
		for range 100 {
			if c.write("more"); !w.passes(40 * milli) {
				return
			}
		}
	case neverAnswers:
	}
}

// rest gives connections without a request to do.
func (u *orderUpstream) resting() []*upConn {
	u.w.mu.Lock()
	defer u.w.mu.Unlock()
	var all []*upConn
	for _, c := range u.conns {
		if !c.dead && c.out == 0 {
			all = append(all, c)
		}
	}
	return all
}

// kill ends the upstream's process; another one listens after that long.
func (u *orderUpstream) kill(back time.Duration) {
	w := u.w
	w.mu.Lock()
	was := u.down
	u.down, u.pending = true, nil
	w.mu.Unlock()
	if was {
		return
	}
	u.host.Kill()
	go func() {
		if w.passes(back) {
			w.mu.Lock()
			u.down = false
			w.mu.Unlock()
			u.listen()
		}
	}()
}

// Discovery.
