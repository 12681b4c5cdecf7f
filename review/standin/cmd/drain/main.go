// Command drain: discovery is down for some seconds, into the start of a release; what its agent gets at the return counts as told at once. No new
// work may go to a draining upstream later than the grace that the settings name.
package main

import (
	"fmt"
	"net"
	"sync"
	"time"

	"standin/rig"
)

const (
	upstreams = 12
	rounds    = 3
	leaving   = 3 // upstreams that drain in each round
	quiet     = 3 * time.Second
	outage    = 8 * time.Second
	slack     = 50 * time.Millisecond // of every time limit
	toFinish  = 250 * time.Millisecond
	after     = 4 * time.Second // from the return to the next round
	work      = 100 * time.Millisecond
	interval  = 8 * time.Millisecond
)

// drains is when the sidecar counts as told that an upstream drains.
type drains struct {
	mu   sync.Mutex
	told map[string]time.Time
}

func main() { rig.Main(play) }

func play(c *rig.Case) (int, error) {
	grace := c.Settings.DrainGrace
	d := drains{told: map[string]time.Time{}}
	inGrace, late, latest := 0, map[string]string{}, time.Duration(0)
	onArrival := func(a *rig.Arrival) {
		d.mu.Lock()
		defer d.mu.Unlock()
		told, draining := d.told[a.Upstream]
		if !draining {
			return
		}
		behind := a.FirstByte.Sub(told)
		if behind <= grace+slack {
			inGrace++
			return
		}
		late[a.ID] = a.Class
		latest = max(latest, behind)
		c.Rec.Log("BROKEN: %s was sent request %s of class %s %d ms after the sidecar was told that it drains", a.Upstream, a.ID, a.Class, behind.Milliseconds())
	}
	serve := func(conn net.Conn, a *rig.Arrival) bool {
		time.Sleep(work)
		return rig.Answer(conn, "done "+a.ID)
	}
	if err := c.StartUpstreams(upstreams, onArrival, serve); err != nil {
		return 2, err
	}
	if err := c.StartSidecar(rig.Limits(192, 1024)); err != nil {
		return 2, err
	}
	lost, statuses := 0, map[int]int{}
	classes := []rig.Request{{Method: "GET", Class: c.Settings.Retryable[0], Timeout: 1500 * time.Millisecond}, {Method: "GET", Class: c.Settings.Retryable[1], Timeout: time.Second},
		{Method: "POST", Class: c.Settings.Unsafe, Timeout: 2 * time.Second, Body: "fare=3.20"}}
	var load sync.WaitGroup
	load.Go(func() {
		rig.Load(c, interval, rounds*(quiet+2*time.Second+outage+after), func(n int) rig.Request {
			q := classes[n%len(classes)]
			q.Tenant = c.Settings.Tenant
			return q
		}, func(q rig.Request, reply rig.Reply) {
			d.mu.Lock()
			defer d.mu.Unlock()
			statuses[reply.Status]++
			if _, wasLate := late[q.ID]; wasLate && (reply.Status != 200 || reply.Err != nil) {
				lost++
				c.Rec.Log("LOST: request %s of class %s, sent to a draining upstream beyond the grace, was answered %d %v", q.ID, q.Class, reply.Status, reply.Err)
			}
		})
	})
	for round := range rounds {
		time.Sleep(quiet)
		c.Agent.AwaitEmptyLine() // one comes every 2 s; discovery goes down 0.3, 0.6 and 0.9 s after one
		time.Sleep(time.Duration(round+1) * 300 * time.Millisecond)
		if c.Trouble {
			c.Agent.SetDown(true)
		}
		time.Sleep(outage - 500*time.Millisecond)
		batch := c.Upstreams[round*leaving : (round+1)*leaving]
		told := time.Now()
		for _, u := range batch { // the release begins; an agent that is silent learns nothing of it
			c.Agent.Set(u.Name, "Terminating")
		}
		time.Sleep(500 * time.Millisecond)
		d.mu.Lock()
		if c.Trouble {
			told = time.Now()
		}
		for _, u := range batch {
			d.told[u.Name] = told
		}
		d.mu.Unlock()
		if c.Trouble {
			c.Agent.SetDown(false)
		}
		time.Sleep(time.Until(told.Add(grace + slack + toFinish)))
		for _, u := range batch { // it has had the grace, and longer than its work takes to finish what it has
			c.Rec.Log("%s has drained: its process ends", u.Name)
			u.Close()
		}
		time.Sleep(after - grace)
		for _, u := range batch {
			c.Agent.Set(u.Name, "Gone")
		}
		if c.Sidecar.Exited() {
			return 2, fmt.Errorf("the sidecar ended by itself")
		}
	}
	load.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	c.Rec.Say("answers by status %v; sent to draining upstreams within the grace %d, later %d", statuses, inGrace, len(late))
	if len(late) > 0 {
		c.Rec.Say("RULE BROKEN (drain): %d requests were sent to draining upstreams later than %v after the notice, the latest %v after it; %d of them were lost when the upstream ended",
			len(late), grace+slack, latest.Round(time.Millisecond), lost)
		return 1, nil
	}
	c.Rec.Say("the rule on drains held")
	return 0, nil
}
