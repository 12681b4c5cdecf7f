// Command stall: a quarter of the upstreams hang in the middle of their work, while clients send large bodies. Each request gets its final answer at
// most half a second after its time, which is counted from its last byte.
package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"standin/rig"
)

const (
	upstreams = 12
	hang      = 4 // one upstream of so many hangs
	quiet     = 5 * time.Second
	length    = 50 * time.Second
	interval  = 200 * time.Millisecond
	work      = 50 * time.Millisecond
	timeout   = 2100 * time.Millisecond // 70% of the class's give-up time
	extra     = 500 * time.Millisecond  // "up to half a second after its time"
	slack     = 50 * time.Millisecond
	patience  = 12 * time.Second // how long the clients stay, to see whether an answer comes at all
)

// bodies are the sizes that take turns.
var bodies = []int{4 << 20, 5 << 20, 6 << 20}

func main() { rig.Main(play) }

// outcome is what became of one request.
type outcome struct {
	status int
	err    error // why there is no answer
	whole  bool  // its last byte was written
	after  time.Duration
}

func play(c *rig.Case) (int, error) {
	serve := func(conn net.Conn, a *rig.Arrival) bool {
		time.Sleep(work)
		return rig.Answer(conn, "booked "+a.ID)
	}
	if err := c.StartUpstreams(upstreams, func(*rig.Arrival) {}, serve); err != nil {
		return 2, err
	}
	if err := c.StartSidecar(rig.Limits(192, 1024)); err != nil {
		return 2, err
	}
	var mu sync.Mutex
	statuses, lost, latest := map[int]int{}, 0, time.Duration(0)
	var clients sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	begun, hanging := time.Now(), false
	for n := 0; time.Since(begun) < length; n++ {
		<-ticker.C
		if c.Trouble && !hanging && time.Since(begun) > quiet {
			hanging = true
			for i := 0; i < len(c.Upstreams); i += hang {
				c.Rec.Log("%s hangs", c.Upstreams[i].Name)
				c.Upstreams[i].Hang()
			}
		}
		clients.Go(func() {
			id := rig.ID()
			o := send(c, id, bodies[n%len(bodies)])
			c.Rec.Log("client: request %s, written whole %v, was answered %d %v, %d ms after its last byte", id, o.whole, o.status, o.err, o.after.Milliseconds())
			mu.Lock()
			defer mu.Unlock()
			statuses[o.status]++
			if o.whole && (o.after > timeout+extra+slack || o.err != nil) {
				lost++
				latest = max(latest, o.after)
				c.Rec.Log("LOST: request %s had %v, and half a second more", id, timeout)
			}
		})
	}
	clients.Wait()
	if c.Sidecar.Exited() {
		return 2, fmt.Errorf("the sidecar ended by itself")
	}
	mu.Lock()
	defer mu.Unlock()
	c.Rec.Say("answers by status %v", statuses)
	if lost > 0 {
		c.Rec.Say("RULE BROKEN (lost): %d requests with %v to wait had no final answer %v after their last byte; the latest came after %v", lost, timeout, timeout+extra+slack, latest.Round(time.Millisecond))
		return 1, nil
	}
	c.Rec.Say("the rule held: every request had its final answer in time")
	return 0, nil
}

// send sends one request with a large body on a connection of its own, as fast as it is taken.
func send(c *rig.Case, id string, body int) outcome {
	conn, err := rig.Dial(c.Sidecar.Listen)
	if err != nil {
		return outcome{err: err}
	}
	defer conn.Close()
	replies := make(chan rig.Reply, 1)
	go func() { replies <- rig.ReadReply(conn.R) }()
	head := fmt.Sprintf("POST /%s/k-1 HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Tenant-Id: %s\r\nX-Timeout: %dm\r\nContent-Length: %d\r\n\r\n",
		c.Settings.Unsafe, id, c.Settings.Unsafe, c.Settings.Tenant, timeout.Milliseconds(), body)
	_ = conn.SetWriteDeadline(time.Now().Add(patience))
	start := time.Now()
	_, err = io.WriteString(conn, head+strings.Repeat("a", body))
	written := time.Now()
	c.Rec.Log("client: request %s with a body of %d bytes was written within %d ms, %v", id, body, written.Sub(start).Milliseconds(), err)
	o := outcome{whole: err == nil}
	select {
	case r := <-replies:
		o.status, o.err, o.after = r.Status, r.Err, max(0, r.At.Sub(written))
	case <-time.After(patience):
		o.err, o.after = fmt.Errorf("no answer"), patience
	}
	return o
}
