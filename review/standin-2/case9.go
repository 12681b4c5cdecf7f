package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

func init() { cases["9"] = slowlyTakenChunks }

const (
	chunkedUploads = 24
	chunkedBytes   = 6 << 20
	takeEvery      = 100 * time.Millisecond
	takeBytes      = 64 << 10 // 640 kB a second
	clientTime     = 2100 * time.Millisecond
	lateSlack      = 500*time.Millisecond + 50*time.Millisecond
)

// slowlyTakenChunks: clients upload bodies in chunks, written at once; the upstreams take them slowly, without a stop.
func slowlyTakenChunks(c caseRun) {
	receiveBuffer = 64 << 10
	answer := answerOK(20 * time.Millisecond)
	u1, u2 := newUpstream(c.rec, "s-1", answer), newUpstream(c.rec, "s-2", answer)
	if c.trouble {
		u1.readBody, u2.readBody = readSlowly, readSlowly
	}
	a := newAgent(c.rec, "discovery", 41, u1.entry(home), u2.entry(home))
	s := startSidecar(c.rec, c.root, sidecarOptions{name: "n1", listen: freeAddress(), discovery: a.address, memoryMB: 192, sockets: 1024, settings: siteSettings()})
	s.awaitReady()
	time.Sleep(200 * time.Millisecond)
	var all sync.WaitGroup
	var mu sync.Mutex
	late, worst := 0, time.Duration(0)
	for i := range chunkedUploads {
		all.Go(func() {
			r, ok := sendChunks(c.rec, s.listen, fmt.Sprintf("upload-%d", i))
			if !ok {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			worst = max(worst, r.took)
			if r.status == 0 || r.took > clientTime+lateSlack {
				late++
			}
		})
		time.Sleep(1500 * time.Millisecond)
	}
	all.Wait()
	c.verdict(late > 0, "%d of %d uploads had no answer within %.2f s of their last byte; the latest answer came after %.2f s", late, chunkedUploads, (clientTime + lateSlack).Seconds(), worst.Seconds())
}

// sendChunks sends a request of writeClass whose body comes in chunks, and reads the answer.
func sendChunks(rec *record, address, id string) (r reply, ok bool) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		rec.log("client     id %s: could not connect: %v", id, err)
		return r, false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	started := time.Now()
	_, _ = fmt.Fprintf(conn, "POST /%s/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Tenant-Id: %s\r\nX-Timeout: %dm\r\nTransfer-Encoding: chunked\r\n\r\n",
		writeClass, id, writeClass, tenant, clientTime.Milliseconds())
	for sent := 0; sent < chunkedBytes && err == nil; sent += 64 << 10 {
		if _, err = fmt.Fprintf(conn, "%x\r\n", 64<<10); err == nil {
			if _, err = io.CopyN(conn, filler{}, 64<<10); err == nil {
				_, err = io.WriteString(conn, "\r\n")
			}
		}
	}
	if err == nil {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	if err != nil {
		rec.log("client     id %s: not all of the body was written: %v", id, err)
		return r, false
	}
	sentAt := time.Now()
	rec.log("client     sent POST /%s id %s in chunks, X-Timeout %dm; its last byte was written %.3f s after its first", writeClass, id, clientTime.Milliseconds(), sentAt.Sub(started).Seconds())
	r = readReply(bufio.NewReader(conn), sentAt)
	rec.log("client     id %s was answered %d, %.3f s after its last byte, err %v", id, r.status, r.took.Seconds(), r.err)
	return r, true
}

// readSlowly reads a body, a part at a time.
func readSlowly(_ net.Conn, r io.Reader) (int, error) {
	total := 0
	for {
		n, err := io.CopyN(io.Discard, r, takeBytes)
		total += int(n)
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
		time.Sleep(takeEvery)
	}
}
