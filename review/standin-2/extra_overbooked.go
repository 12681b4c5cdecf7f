package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["extra-overbooked"] = overbookedDiscovery }

const (
	grace     = 3000*time.Millisecond + 50*time.Millisecond // of drains, by the settings and the rules on sockets
	heldUp    = 150 * time.Millisecond                      // allowed to the stand-ins of this test as well
	callTakes = 4500 * time.Millisecond                     // how long discovery takes for a call while it is overbooked
	playTime  = 25 * time.Second
	endsAfter = 18 * time.Second // when the upstream that drains ends, counted from the start
	toldAfter = 6 * time.Second  // a change counts as told this long after discovery had it and could be reached, at the latest
)

// overbookedDiscovery: a sidecar is killed and started again; discovery is overbooked and answers each call late. An upstream has
// begun to drain before.
func overbookedDiscovery(c caseRun) {
	answer := answerOK(150 * time.Millisecond)
	u1, u2 := newUpstream(c.rec, "s-1", answer), newUpstream(c.rec, "s-2", answer)
	a := newAgent(c.rec, "discovery", 43, u1.entry(away), u2.entry(home))
	known := map[string]any{"index": 43, "snapshot": true, "endpoints": []entry{u1.entry(away), u2.entry(home)}}
	o := sidecarOptions{name: "n1", listen: freeAddress(), discovery: a.address, memoryMB: 192, sockets: 1024, settings: siteSettings(), known: known}
	first := startSidecar(c.rec, c.root, o)
	first.awaitReady()
	send(c.rec, o.listen, call{method: "GET", class: readClass, id: "before", timeout: "3000m"})
	first.signal(syscall.SIGKILL)
	<-first.ended
	drains := u2.entry(home)
	drains.Status = "Terminating"
	a.set(drains)
	if c.trouble {
		a.delay(callTakes)
	}
	started := c.rec.now()
	s := startSidecar(c.rec, c.root, o)
	s.awaitReady()
	var clients sync.WaitGroup
	var mu sync.Mutex
	failed := map[string]bool{}
	for k := range 4 {
		clients.Go(func() {
			for i := 0; c.rec.now() < started+playTime; i++ {
				x := call{method: "GET", class: readClass, id: fmt.Sprintf("read-%d-%d", k, i), timeout: "3000m"}
				if k > 0 {
					x = call{method: "POST", class: writeClass, id: fmt.Sprintf("charge-%d-%d", k, i), timeout: "2500m", body: 40}
				}
				if r := send(c.rec, s.listen, x); r.status != 200 {
					mu.Lock()
					failed[x.id] = true
					mu.Unlock()
				}
				time.Sleep(40 * time.Millisecond)
			}
		})
	}
	time.Sleep(endsAfter)
	u2.end()
	clients.Wait()
	late, broken, last := 0, 0, time.Duration(0)
	for _, r := range u2.all() {
		if r.headAt > started+toldAfter+grace+heldUp {
			late, last = late+1, r.headAt
			if failed[r.id] {
				broken++
				c.rec.log("check      %s was begun at s-2 at %.2f s, too late, and broke off with s-2", r.id, r.headAt.Seconds())
			}
		}
	}
	c.verdict(late > 0, "s-2 drains, and discovery had that before the start at %.2f s; requests begun there later than %.2f s after the start: %d, the last at %.2f s; of these %d were broken off when s-2 ended, and failed",
		started.Seconds(), (toldAfter + grace + heldUp).Seconds(), late, last.Seconds(), broken)
}
