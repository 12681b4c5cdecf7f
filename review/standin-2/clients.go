package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// call is one request of a client, on a connection of its own.
type call struct {
	method, class, id, timeout string
	headers                    string // further header lines, each with its line end
	body                       int    // length of the body
}

// reply is what the client got.
type reply struct {
	status    int // 0: no answer
	err       error
	firstByte time.Duration // from the last byte of the request to the first byte of the answer's body
	took      time.Duration // from the last byte of the request to the answer's last byte
	bytes     int
	whole     bool
	close     bool
}

// send sends a request and reads its answer, for 10 s at most.
func send(rec *record, address string, c call) reply {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		rec.log("client     %s id %s: could not connect: %v", c.class, c.id, err)
		return reply{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	length := ""
	if c.method == "POST" {
		length = fmt.Sprintf("Content-Length: %d\r\n", c.body)
	}
	_, _ = fmt.Fprintf(conn, "%s /%s/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Tenant-Id: %s\r\nX-Timeout: %s\r\n%s%s\r\n",
		c.method, c.class, c.id, c.class, tenant, c.timeout, length, c.headers)
	if _, err := io.CopyN(conn, filler{}, int64(c.body)); err != nil {
		rec.log("client     id %s: writing the body: %v", c.id, err)
	}
	sentAt := time.Now()
	rec.log("client     sent %s /%s id %s, X-Timeout %s, body %d", c.method, c.class, c.id, c.timeout, c.body)
	r := readReply(bufio.NewReader(conn), sentAt)
	rec.log("client     id %s was answered %d after %.3f s, %d bytes, first byte after %.3f s, whole %v, err %v", c.id, r.status, r.took.Seconds(), r.bytes, r.firstByte.Seconds(), r.whole, r.err)
	return r
}

// readReply reads one answer.
func readReply(in *bufio.Reader, sentAt time.Time) (r reply) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return reply{err: err, took: time.Since(sentAt)}
	}
	r.status, r.close = resp.StatusCode, resp.Close
	buf := make([]byte, 32<<10)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 && r.bytes == 0 {
			r.firstByte = time.Since(sentAt)
		}
		r.bytes += n
		if err != nil {
			r.whole = err == io.EOF
			if !r.whole {
				r.err = err
			}
			break
		}
	}
	r.took = time.Since(sentAt)
	return r
}

// filler is a reader without an end.
type filler struct{}

func (filler) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'y'
	}
	return len(p), nil
}

// answerOK answers 200 after a time.
func answerOK(after time.Duration) func(net.Conn, received) bool {
	return func(c net.Conn, r received) bool {
		time.Sleep(after)
		body := "done " + r.id
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return err == nil
	}
}
