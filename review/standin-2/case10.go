package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["10"] = halfHeads }

const (
	memoryMB    = 32  // the least that the pages allow
	descriptors = 256 // the same
	peers       = 200
	headBytes   = 20000 // of half a head
	peersTime   = 12 * time.Second
)

// halfHeads: peers fill the descriptors; each sends a part of a head, stays, and comes again once it is closed. The platform
// kills a sidecar that needs more than memory_mb. Without the trouble the same peers send nothing.
func halfHeads(c caseRun) {
	answer := answerOK(50 * time.Millisecond)
	u1, u2 := newUpstream(c.rec, "s-1", answer), newUpstream(c.rec, "s-2", answer)
	a := newAgent(c.rec, "discovery", 41, u1.entry(home), u2.entry(home))
	s := startSidecar(c.rec, c.root, sidecarOptions{name: "n1", listen: freeAddress(), discovery: a.address, memoryMB: memoryMB, sockets: descriptors, settings: siteSettings()})
	s.awaitReady()
	c.rec.log("platform   n1 has %.1f MB of anonymous memory", s.rssMB())
	head := halfHead()
	end := time.Now().Add(peersTime)
	var all sync.WaitGroup
	var closed atomic.Int64
	if !c.trouble {
		head = ""
	}
	for range peers {
		all.Go(func() {
			for time.Now().Before(end) && !s.hasEnded() {
				conn, err := net.DialTimeout("tcp", s.listen, time.Second)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				_, _ = conn.Write([]byte(head))
				_ = conn.SetReadDeadline(time.Now().Add(4 * time.Second))
				for buf := make([]byte, 512); err == nil; {
					_, err = conn.Read(buf)
				}
				_ = conn.Close()
				closed.Add(1)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	var unanswered atomic.Int64
	for k := range 10 { // the application
		all.Go(func() {
			for i := 0; time.Now().Before(end) && !s.hasEnded(); i++ {
				r := send(c.rec, s.listen, call{method: "POST", class: writeClass, id: fmt.Sprintf("charge-%d-%d", k, i), timeout: "2500m", body: 40})
				if r.status == 0 {
					unanswered.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	peak, killed := 0.0, false
	for time.Now().Before(end) && !s.hasEnded() {
		rss := s.rssMB()
		peak = max(peak, rss)
		if rss > memoryMB && !killed {
			killed = true
			c.rec.log("platform   n1 has %.1f MB of anonymous memory, over memory_mb %d: it is killed", rss, memoryMB)
			s.signal(syscall.SIGKILL)
		}
		time.Sleep(10 * time.Millisecond)
	}
	crashed := s.hasEnded()
	all.Wait()
	c.verdict(killed || crashed, "most resident anonymous memory %.1f MB of %d MB; killed for memory: %v; %d requests of the application without an answer; %d peers were closed",
		peak, memoryMB, killed, unanswered.Load(), closed.Load())
}

// halfHead returns a head of many short lines, without its end.
func halfHead() string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	b.WriteString("GET /" + readClass + "/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: service.internal\r\n")
	for i := 0; b.Len() < headBytes; i++ {
		name := string([]byte{letters[i%36], letters[i/36%36], letters[i/1296%36]})
		if i < 1296 {
			name = name[:2]
		}
		b.WriteString(name + ":\r\n")
	}
	return b.String()
}
