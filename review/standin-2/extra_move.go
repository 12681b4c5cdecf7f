package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["extra-move"] = movedToLagging }

const listsLater = 6 * time.Second // how much further behind the new discovery is

// movedToLagging: a drain is told; then a new configuration moves discovery to an address whose list is some seconds behind.
func movedToLagging(c caseRun) {
	answer := answerOK(10 * time.Millisecond)
	u1, u2 := newUpstream(c.rec, "s-1", answer), newUpstream(c.rec, "s-2", answer)
	old := newAgent(c.rec, "discovery (first address)", 43, u1.entry(away), u2.entry(home))
	next := newAgent(c.rec, "discovery (new address)", 43, u1.entry(away), u2.entry(home))
	next.firstWhole = true
	o := sidecarOptions{name: "n1", listen: freeAddress(), discovery: old.address, memoryMB: 192, sockets: 1024, settings: siteSettings()}
	s := startSidecar(c.rec, c.root, o)
	s.awaitReady()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(90 * time.Millisecond):
				send(c.rec, s.listen, call{method: "GET", class: readClass, id: fmt.Sprintf("read-%d", i), timeout: "3000m"})
			}
		}
	})
	time.Sleep(2 * time.Second)
	drains := u2.entry(home)
	drains.Status = "Terminating"
	old.set(drains)
	told := c.rec.now()
	if c.trouble {
		time.AfterFunc(listsLater, func() { next.set(drains) })
	} else {
		next.set(drains)
	}
	time.Sleep(time.Second)
	o.discovery = next.address
	writeConfig(s.config, o)
	old.stopListening()
	s.signal(syscall.SIGHUP)
	time.AfterFunc(1500*time.Millisecond, old.end)
	time.Sleep(8 * time.Second)
	close(stop)
	clients.Wait()
	late, last := 0, time.Duration(0)
	for _, r := range u2.all() {
		if r.headAt > told+grace+heldUp {
			late, last = late+1, r.headAt
		}
	}
	c.verdict(late > 0, "s-2 drains, told at %.2f s; requests begun there later than %.2f s after that: %d, the last at %.2f s", told.Seconds(), (grace + heldUp).Seconds(), late, last.Seconds())
}
