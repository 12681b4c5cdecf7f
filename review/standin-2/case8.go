package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["8"] = slowAnswers }

const (
	pieceBytes = 48 << 10
	pieces     = 4                      // 192 KiB in all
	pieceEvery = 750 * time.Millisecond // 64 KiB a second
)

// slowAnswers: an upstream gives a large chunked answer, the first bytes at once and the rest at 64 KiB a second.
func slowAnswers(c caseRun) {
	settings := siteSettings()
	for _, class := range settings["Classes"].([]any) {
		class.(map[string]any)["DeadlineMs"], class.(map[string]any)["AimMs"] = 1000.0, 400.0
	}
	var mu sync.Mutex
	began, cut := map[string]bool{}, map[string]int{}
	piece := strings.Repeat("x", pieceBytes)
	answer := func(conn net.Conn, r received) bool {
		time.Sleep(20 * time.Millisecond)
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i := 0; i < pieces && err == nil; i++ {
			if i > 0 && c.trouble {
				time.Sleep(pieceEvery)
			}
			_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", pieceBytes, piece)
			c.rec.log("%s wrote piece %d of the answer to id %s, err %v", r.upstream, i+1, r.id, err)
			mu.Lock()
			if err == nil && i == 0 {
				began[r.id] = true
			}
			if err != nil {
				cut[r.id] = i
			}
			mu.Unlock()
		}
		if err == nil {
			_, err = io.WriteString(conn, "0\r\n\r\n")
		}
		return err == nil
	}
	u1, u2 := newUpstream(c.rec, "s-1", answer), newUpstream(c.rec, "s-2", answer)
	a := newAgent(c.rec, "discovery", 41, u1.entry(home), u2.entry(home))
	s := startSidecar(c.rec, c.root, sidecarOptions{name: "n1", listen: freeAddress(), discovery: a.address, memoryMB: 192, sockets: 1024, settings: settings})
	s.awaitReady()
	time.Sleep(200 * time.Millisecond)
	lost := map[string]int{}
	for i := range 6 {
		for _, x := range []call{{method: "GET", class: readClass}, {method: "POST", class: writeClass, body: 40}} {
			x.id, x.timeout = fmt.Sprintf("%s-%d", x.class, i), "480m"
			r := send(c.rec, s.listen, x)
			mu.Lock()
			if began[x.id] && (r.status != 200 || !r.whole || r.bytes != pieces*pieceBytes) {
				lost[x.class]++
				c.rec.log("check      id %s: an upstream had given its first bytes after 0.02 s and went on; the client got status %d, %d bytes", x.id, r.status, r.bytes)
			}
			mu.Unlock()
			time.Sleep(300 * time.Millisecond)
		}
	}
	time.Sleep(pieces * pieceEvery)
	c.verdict(len(lost) > 0, "12 large answers, begun within 0.02 s of 0.48 s; cut off by the sidecar before the client got a byte: %v (the upstreams saw %d connections broken)", lost, len(cut))
}
