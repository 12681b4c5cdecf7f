package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Request is one request of a client.
type Request struct {
	Method, Class, Tenant, ID, Key string
	Timeout                        time.Duration
	Body                           string
}

// Text returns the request as it is written.
func (q *Request) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s/%s HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Tenant-Id: %s\r\nX-Timeout: %dm\r\n",
		q.Method, q.Class, q.Key, q.ID, q.Class, q.Tenant, q.Timeout.Milliseconds())
	if q.Method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.Body))
	}
	b.WriteString("\r\n" + q.Body)
	return b.String()
}

// Reply is a final answer, or the error that came in its place.
type Reply struct {
	Status int
	Body   string
	At     time.Time
	Closes bool // the sidecar ends the connection behind it
	Err    error
}

// ReadReply reads one answer from a connection.
func ReadReply(r *bufio.Reader) Reply {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return Reply{At: time.Now(), Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return Reply{Status: resp.StatusCode, Body: string(body), At: time.Now(), Closes: resp.Close, Err: err}
}

// Conn is a client's connection to its sidecar.
type Conn struct {
	net.Conn
	R *bufio.Reader
}

// Dial opens a connection.
func Dial(address string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{c, bufio.NewReader(c)}, nil
}
