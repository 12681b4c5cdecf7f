package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

func init() { cases["7"] = spoiltRefusals }

// spoiltRefusals: some upstreams answer a part of the requests with a 503 that says X-Not-Processed but can't be read, since its
// body breaks off or is no chunked body. Without the trouble the same answer comes whole.
func spoiltRefusals(c caseRun) {
	var mu sync.Mutex
	spoilt := map[string]string{} // by request id: the upstream whose answer to it was spoilt
	count := 0
	answer := func(name string) func(net.Conn, received) bool {
		return func(conn net.Conn, r received) bool {
			mu.Lock()
			count++
			n := count
			mu.Unlock()
			if n%4 != 0 {
				return answerOK(20*time.Millisecond)(conn, r)
			}
			time.Sleep(20 * time.Millisecond)
			if !c.trouble {
				_, err := io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 10\r\n\r\nqueue full")
				return err == nil
			}
			mu.Lock()
			spoilt[r.id] = name
			mu.Unlock()
			text := "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 64\r\n\r\nqueue"
			if n%8 == 0 {
				text = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\nqueue\r\n"
			}
			_, _ = io.WriteString(conn, text)
			c.rec.log("%s answers id %s with what can't be read: %q, and closes", name, r.id, text)
			return false
		}
	}
	u1, u2, u3 := newUpstream(c.rec, "s-1", answer("s-1")), newUpstream(c.rec, "s-2", answer("s-2")), newUpstream(c.rec, "s-3", answer("s-3"))
	a := newAgent(c.rec, "discovery", 41, u1.entry(home), u2.entry(home), u3.entry(home))
	s := startSidecar(c.rec, c.root, sidecarOptions{name: "n1", listen: freeAddress(), discovery: a.address, memoryMB: 192, sockets: 1024, settings: siteSettings()})
	s.awaitReady()
	time.Sleep(200 * time.Millisecond)
	refused := 0
	for i := range 60 {
		id := fmt.Sprintf("charge-%d", i)
		r := send(c.rec, s.listen, call{method: "POST", class: writeClass, id: id, timeout: "2500m", body: 40})
		if spoilt[id] != "" && (r.status == 503 || r.status == 429) {
			refused++
			c.rec.log("check      %s was refused after the spoilt answer of %s", id, spoilt[id])
		}
		time.Sleep(80 * time.Millisecond)
	}
	took := map[string][]received{}
	for _, u := range []*upstream{u1, u2, u3} {
		for _, r := range u.all() {
			took[r.id] = append(took[r.id], r)
		}
	}
	twice := 0
	for id := range spoilt {
		if len(took[id]) > 1 {
			twice++
			c.rec.log("check      %s was taken whole %d times, after an answer of %s that can't be read", id, len(took[id]), spoilt[id])
		}
	}
	c.verdict(twice+refused > 0, "of 60 requests of the fragile class %d got an answer that can't be read; %d of them were sent once more, %d refused", len(spoilt), twice, refused)
}
