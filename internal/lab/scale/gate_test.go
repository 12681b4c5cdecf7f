package scale

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// Guards against a gate that counts other bytes or messages than pass, that holds back or changes any, or that leaves anything behind.
func TestAGateCountsWhatPasses(t *testing.T) {
	before := goleak.IgnoreCurrent()
	defer goleak.VerifyNone(t, before)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	large := strings.Repeat("x", 100<<10)
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(large), large)
	line := `{"index":7,"snapshot":false,"endpoints":[]}` + "\n"
	watch := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n%x\r\n%s\r\n", len(line), line)
	var all sync.WaitGroup
	all.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			all.Go(func() {
				defer func() { _ = c.Close() }()
				for r := bufio.NewReader(c); ; {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					if req.URL.Path == "/watch" {
						_, _ = io.WriteString(c, watch)
					} else {
						_, _ = io.WriteString(c, answer)
					}
				}
			})
		}
	})
	defer all.Wait()
	defer func() { _ = ln.Close() }()
	lines := make(chan string, 1)
	d, err := newDoor([]string{ln.Addr().String()}, func(text []byte) { lines <- string(text) })
	if err != nil {
		t.Fatal(err)
	}
	defer d.close()
	c, err := net.Dial("tcp", d.addresses()[0])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second)) // where it fails, so does what follows
	call := "POST /call HTTP/1.1\r\nHost: lab\r\nContent-Length: 5\r\n\r\nhello"
	ask := "GET /watch HTTP/1.1\r\nHost: lab\r\n\r\n"
	for _, x := range []struct{ ask, want string }{{call, answer}, {call, answer}, {ask, watch}} {
		if _, err := io.WriteString(c, x.ask); err != nil {
			t.Fatal(err)
		}
		got := make([]byte, len(x.want))
		if _, err := io.ReadFull(c, got); err != nil || string(got) != x.want {
			t.Fatalf("got %d bytes, %v", len(got), err)
		}
	}
	select {
	case text := <-lines:
		if text != line {
			t.Errorf("read along: %q", text)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("nothing was read along")
	}
	if up, down := d.Up.Load(), d.Down.Load(); up != int64(2*len(call)+len(ask)) || down != int64(2*len(answer)+len(watch)) {
		t.Errorf("counted %d up, %d down", up, down)
	}
	d.breakAll()
	if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("a connection that was broken: %v", err)
	}
	again, err := net.Dial("tcp", d.addresses()[0])
	if err != nil {
		t.Fatalf("after a break: %v", err)
	}
	_ = again.Close()
	d.close() // by then all that was read along is counted
	// Two answers, the head of the watch and its two lines.
	if up, down := d.UpMsgs.Load(), d.DownMsgs.Load(); up != 3 || down != 5 {
		t.Errorf("counted %d messages up, %d down", up, down)
	}
}
