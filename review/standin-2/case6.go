package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

func init() { cases["6"] = pausedUpload }

const (
	readPause    = 1200 * time.Millisecond // how long an upstream takes no more of a body
	uploads      = 120
	uploadStep   = 4 << 10
	uploadsAtA   = 4 // uploads of one sidecar at a time
	upstreamRead = 64 << 10
)

// pausedUpload: clients upload bodies of some MB; the upstreams pause for a moment while they read them. A refusal says that
// nothing was done.
func pausedUpload(c caseRun) {
	settings := siteSettings()
	for _, class := range settings["Classes"].([]any) {
		if class := class.(map[string]any); class["Name"] == writeClass {
			class["Semantics"], class["KeyScope"] = "dedup", "zone"
		}
	}
	settings["Limits"].(map[string]any)["SecondCopies"] = true
	receiveBuffer = upstreamRead
	size := pipeSize(c.rec)
	answer := answerOK(40 * time.Millisecond)
	u1, u2 := newUpstream(c.rec, "s-1", answer), newUpstream(c.rec, "s-2", answer)
	if c.trouble {
		u1.readBody, u2.readBody = readWithPause, readWithPause
	}
	a := newAgent(c.rec, "discovery", 41, u1.entry(home), u2.entry(home))
	var mu sync.Mutex
	refused := map[string]bool{}
	var both sync.WaitGroup
	for _, name := range []string{"n1", "n2"} {
		s := startSidecar(c.rec, c.root, sidecarOptions{name: name, listen: freeAddress(), discovery: a.address, memoryMB: 192, sockets: 1024, settings: settings})
		s.awaitReady()
		both.Go(func() {
			time.Sleep(200 * time.Millisecond)
			for _, id := range upload(s, size) {
				mu.Lock()
				refused[id] = true
				mu.Unlock()
			}
		})
	}
	both.Wait()
	time.Sleep(time.Second)
	ran := []string{}
	for _, u := range []*upstream{u1, u2} {
		for _, r := range u.all() {
			if refused[r.id] && r.bytes >= size { // all of its body has arrived
				ran = append(ran, r.id+" at "+u.name)
			}
		}
	}
	c.verdict(len(ran) > 0, "%d of %d uploads were refused, of which upstreams had all of %d and ran them: %v", len(refused), 2*uploads, len(ran), ran)
}

// upload sends the requests of one sidecar's clients, and returns the ids of the uploads that were refused.
func upload(s *sidecar, size int) (refused []string) {
	var mu sync.Mutex
	for round := range uploads / uploadsAtA {
		for i := range 30 { // the usual small requests
			send(s.rec, s.listen, call{method: "GET", class: readClass, id: fmt.Sprintf("%s-read-%d-%d", s.name, round, i), timeout: "3000m"})
		}
		var wg sync.WaitGroup
		for k := range uploadsAtA {
			n := round*uploadsAtA + k
			wg.Go(func() {
				id := fmt.Sprintf("%s-upload-%d", s.name, n)
				r := send(s.rec, s.listen, call{method: "POST", class: writeClass, id: id, timeout: "3000m",
					headers: "Idempotency-Key: key-" + id + "\r\n", body: size + n*uploadStep})
				if r.status == 503 || r.status == 429 {
					mu.Lock()
					refused = append(refused, id)
					mu.Unlock()
				}
			})
		}
		wg.Wait()
	}
	return refused
}

// readWithPause reads a body; after its first bytes it pauses for readPause.
func readWithPause(_ net.Conn, r io.Reader) (int, error) {
	n, err := io.ReadFull(r, make([]byte, 1000))
	if err != nil {
		if n == 0 && err == io.EOF { // no body
			return 0, nil
		}
		return n, err
	}
	time.Sleep(readPause)
	rest, err := io.Copy(io.Discard, r)
	return n + int(rest), err
}

// pipeSize returns how many bytes the system takes on a loopback connection whose other end reads nothing.
func pipeSize(rec *record) int {
	done := make(chan struct{})
	u := newUpstream(rec, "pipe", nil)
	u.serveRaw = func(net.Conn) { <-done }
	defer close(done)
	c, err := net.Dial("tcp", u.address)
	if err != nil {
		unable("%v", err)
	}
	defer func() { _ = c.Close() }()
	total := 0
	for {
		_ = c.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
		n, err := c.Write(make([]byte, 16<<10))
		total += n
		if err != nil {
			rec.log("a loopback connection takes %d bytes that nobody reads", total)
			return total
		}
	}
}
