package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

func init() { cases["extra-pipeline"] = pipelined }

// pipelined: a client sends eight requests at once on one connection; each has 1 s, and the upstreams take 0.4 s for each. Without
// the trouble each request comes on a connection of its own.
func pipelined(c caseRun) {
	const (
		count   = 8
		timeout = time.Second
		slack   = 500 * time.Millisecond // an answer up to half a second after the request's time only earns nothing
	)
	answer := answerOK(400 * time.Millisecond)
	u1, u2 := newUpstream(c.rec, "s-1", answer), newUpstream(c.rec, "s-2", answer)
	a := newAgent(c.rec, "discovery", 41, u1.entry(home), u2.entry(home))
	s := startSidecar(c.rec, c.root, sidecarOptions{name: "n1", listen: freeAddress(), discovery: a.address, memoryMB: 192, sockets: 1024, settings: siteSettings()})
	s.awaitReady()
	time.Sleep(200 * time.Millisecond)
	late := 0
	check := func(id string, r reply) {
		if r.status == 0 || r.took > timeout+slack {
			late++
			c.rec.log("check      id %s had its answer after %.3f s, status %d", id, r.took.Seconds(), r.status)
		}
	}
	if !c.trouble {
		done := make(chan bool)
		for i := range count {
			go func() {
				x := call{method: "GET", class: readClass, id: fmt.Sprintf("read-%d", i), timeout: "1000m"}
				check(x.id, send(c.rec, s.listen, x))
				done <- true
			}()
		}
		for range count {
			<-done
		}
		c.verdict(late > 0, "%d of %d requests were answered too late or not at all", late, count)
	}
	conn, err := net.Dial("tcp", s.listen)
	if err != nil {
		unable("%v", err)
	}
	var b strings.Builder
	for i := range count {
		fmt.Fprintf(&b, "GET /%s/k HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: read-%d\r\nX-Priority-Class: %s\r\nX-Timeout: 1000m\r\n\r\n", readClass, i, readClass)
	}
	_, _ = io.WriteString(conn, b.String())
	sentAt := time.Now()
	_ = conn.SetDeadline(sentAt.Add(15 * time.Second))
	in := bufio.NewReader(conn)
	for i := range count {
		check(fmt.Sprintf("read-%d", i), readReply(in, sentAt))
	}
	c.verdict(late > 0, "%d of %d requests were answered too late or not at all", late, count)
}
