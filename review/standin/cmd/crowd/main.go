// Command crowd: idle clients fill the descriptors, while some clients write their requests slowly, each on a connection that it keeps. A request
// whose last byte was written gets an answer.
package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"standin/rig"
)

const (
	memoryMB  = 64
	sockets   = 256
	upstreams = 12
	work      = 40 * time.Millisecond
	crowd     = 130              // idle clients: more than the descriptors hold
	rest      = 10 * time.Second // an idle client stays so long, unless the sidecar ends its connection; then it comes again 1 s later
	slow      = 4                // clients that write slowly
	headTime  = 1200 * time.Millisecond
	length    = 60 * time.Second
	// crossing is how long before the end of its connection the first bytes of a request have to have been written for the end to be no
	// crossing: the sidecar has read them, on a loopback address, long before.
	crossing = 20 * time.Millisecond
)

func main() { rig.Main(play) }

// closable is how long a connection has to have been idle for the sidecar to be free to close it.
const closable = 2 * time.Second

// tally is what became of the slow clients' requests, and since when each client of the crowd has been idle on a connection.
type tally struct {
	mu        sync.Mutex
	statuses  map[int]int
	lost      int
	others    int // ended without an answer, but not counted as lost
	idleSince map[int]time.Time
}

// idleFor returns how many idle clients' connections were open and idle for closable or longer at a time. The caller holds mu.
func (t *tally) idleFor(at time.Time) (n int) {
	for _, since := range t.idleSince {
		if at.Sub(since) >= closable {
			n++
		}
	}
	return n
}

// setIdle records that a client of the crowd is idle on a connection, or that it is not any more.
func (t *tally) setIdle(client int, idle bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if delete(t.idleSince, client); idle {
		t.idleSince[client] = time.Now()
	}
}

func play(c *rig.Case) (int, error) {
	serve := func(conn net.Conn, a *rig.Arrival) bool {
		time.Sleep(work)
		return rig.Answer(conn, "for "+a.ID)
	}
	if err := c.StartUpstreams(upstreams, func(*rig.Arrival) {}, serve); err != nil {
		return 2, err
	}
	if err := c.StartSidecar(rig.Limits(memoryMB, sockets)); err != nil {
		return 2, err
	}
	t := tally{statuses: map[int]int{}, idleSince: map[int]time.Time{}}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	if c.Trouble {
		for n := range crowd {
			clients.Go(func() { idle(c, n, stop, &t) })
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
	}
	for n := range slow {
		clients.Go(func() {
			for pause(stop, 100*time.Millisecond) {
				slowClient(c, n, stop, &t)
			}
		})
	}
	time.Sleep(length)
	close(stop)
	clients.Wait()
	if c.Sidecar.Exited() {
		return 2, fmt.Errorf("the sidecar ended by itself")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c.Rec.Say("requests of the slow clients: answered, by status, %v; written whole and lost %d; cut off otherwise %d", t.statuses, t.lost, t.others)
	if t.lost > 0 {
		c.Rec.Say("RULE BROKEN (lost): the sidecar ended the connections of %d requests that were written whole, without an answer", t.lost)
		return 1, nil
	}
	c.Rec.Say("the rule held: every request that was written whole was answered")
	return 0, nil
}

// pause waits, and returns false if the case has ended.
func pause(stop <-chan struct{}, d time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(d):
		return true
	}
}

// idle is one client of the crowd: it sends one request, keeps its connection, and comes again once that has ended.
func idle(c *rig.Case, n int, stop <-chan struct{}, t *tally) {
	for pause(stop, time.Second) {
		conn, err := rig.Dial(c.Sidecar.Listen)
		if err != nil {
			continue
		}
		q := rig.Request{Method: "GET", Class: c.Settings.Retryable[0], Tenant: c.Settings.Tenant, ID: rig.ID(), Key: "k", Timeout: 4 * time.Second}
		_, _ = conn.Write([]byte(q.Text()))
		if r := rig.ReadReply(conn.R); r.Err == nil {
			t.setIdle(n, true)
			ended := make(chan struct{})
			go func() { _, _ = conn.Read(make([]byte, 1)); close(ended) }()
			select {
			case <-ended:
			case <-time.After(rest):
			case <-stop:
			}
			t.setIdle(n, false)
		}
		_ = conn.Close()
	}
}

// slowClient opens a connection and sends requests on it, one after another, until the connection ends: the first at once, each further one in two
// pieces, headTime apart. It reads what came only after it has written a request whole.
func slowClient(c *rig.Case, n int, stop <-chan struct{}, t *tally) {
	conn, err := rig.Dial(c.Sidecar.Listen)
	if err != nil {
		return
	}
	defer conn.Close()
	for nth := 1; ; nth++ {
		q := rig.Request{Method: "POST", Class: c.Settings.Unsafe, Tenant: c.Settings.Tenant, ID: rig.ID(), Key: fmt.Sprintf("k-%d", n), Timeout: 3 * time.Second, Body: "amount=320"}
		text := q.Text()
		replies := make(chan rig.Reply, 1)
		idle := 0 // idle connections of the crowd when the answer came, or the connection ended
		read := func() {
			r := rig.ReadReply(conn.R)
			t.mu.Lock()
			idle = t.idleFor(r.At)
			t.mu.Unlock()
			replies <- r
		}
		begun := time.Now()
		var writeErr error
		if nth > 1 {
			cut := strings.Index(text, "X-Tenant-Id")
			_, writeErr = conn.Write([]byte(text[:cut]))
			go read() // notes when the connection ends
			time.Sleep(headTime)
			text = text[cut:]
		} else {
			go read()
		}
		if writeErr == nil {
			_, writeErr = conn.Write([]byte(text))
		}
		written := time.Now()
		var r rig.Reply
		select {
		case r = <-replies:
		case <-time.After(q.Timeout + time.Second):
			_ = conn.Close()
			r = <-replies
		}
		t.mu.Lock()
		switch {
		case r.Err == nil:
			t.statuses[r.Status]++
			c.Rec.Log("client %d: request %s was answered %d", n, q.ID, r.Status)
		case writeErr == nil && nth > 1 && r.At.Sub(begun) >= crossing:
			t.lost++
			c.Rec.Log("LOST: client %d: request %s, the %dth on its connection, was begun at %.0f ms, its last byte was written at %.0f ms; the sidecar ended the connection at %.0f ms without an answer (%v), while %d of the crowd's connections had been idle for %v or longer",
				n, q.ID, nth, c.Rec.Ms(begun), c.Rec.Ms(written), c.Rec.Ms(r.At), r.Err, idle, closable)
		default:
			t.others++
			c.Rec.Log("client %d: request %s, the %dth on its connection, got no answer: %v, %v", n, q.ID, nth, writeErr, r.Err)
		}
		t.mu.Unlock()
		if r.Err != nil || r.Closes || !pause(stop, 20*time.Millisecond) {
			return
		}
	}
}
