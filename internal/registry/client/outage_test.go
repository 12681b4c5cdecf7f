package client

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"mosslead/internal/registry/api"
	"mosslead/internal/watch"
)

const outageHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunked(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// outages are the ways in which a replica may fail. response is what a call receives during the outage. Afterwards the connection
// is reset if reset is set; otherwise it stays open, and the text in repeated, if there is one, is sent on it again and again.
var outages = []struct {
	name, dial, response string
	reset                bool
	repeated             string
}{
	{name: "refused", dial: "refused"},
	{name: "hangs", dial: "hangs"},
	{name: "no head"},
	{name: "a head only", response: outageHead},
	{name: "half a line", response: outageHead + chunked(`{"index":7,"endp`)},
	{name: "a line without end", response: outageHead + chunked(`{"index":7,"more":"`), repeated: chunked("x")},
	{name: "reset", reset: true},
	{name: "reset after a head", response: outageHead, reset: true},
	{name: "ended", response: outageHead + "0\r\n\r\n"},
	{name: "ended after an empty line", response: outageHead + chunked("\n") + "0\r\n\r\n"},
	{name: "503", response: "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"},
	{name: "invalid JSON", response: outageHead + chunked(`{"index":8]`)},
	{name: "an older list, and no response to the second read", response: outageHead + chunked(`{"index":4,"snapshot":true,"endpoints":[]}`)},
}

// outageClient is a client of replicas that all fail in one of the ways above from downAt until upAt. Those in failing continue to
// fail after upAt.
type outageClient struct {
	outage       int // index in outages
	downAt, upAt time.Duration
	failing      map[string]bool // addresses of replicas
	started      time.Time
	appliedAt    atomic.Int64 // time at which the change was applied
	running      *sync.WaitGroup
}

func (o *outageClient) elapsed() time.Duration { return time.Since(o.started) }

func (o *outageClient) fails(address string) bool {
	return o.elapsed() >= o.downAt && (o.elapsed() < o.upAt || o.failing[address])
}

func (o *outageClient) dial(ctx context.Context, _, address string) (net.Conn, error) {
	if outage := outages[o.outage]; o.fails(address) && outage.dial != "" {
		if outage.dial == "hangs" {
			time.Sleep(dialTimeout)
			return nil, context.DeadlineExceeded
		}
		return nil, errors.New("refused")
	}
	clientConn, serverConn := net.Pipe()
	o.running.Go(func() {
		defer func() { _ = serverConn.Close() }()
		in := bufio.NewReader(serverConn)
		for {
			req, err := http.ReadRequest(in)
			if err != nil || !o.serve(serverConn, address, req.FormValue("watch") != "") {
				return
			}
		}
	})
	return clientConn, nil
}

// serve responds to a call. It returns false if the connection is to be reset.
func (o *outageClient) serve(conn net.Conn, address string, isWatch bool) bool {
	outage, fails := outages[o.outage], o.fails(address)
	write := func(text string) bool {
		_, err := io.WriteString(conn, text)
		return err == nil
	}
	if !fails {
		event := list(5, "a")
		if o.elapsed() >= o.upAt {
			event = list(7, "a=Terminating", "b")
		}
		line, err := json.Marshal(event)
		if err != nil {
			panic(err)
		}
		if !isWatch {
			return write(outageHead + chunked(string(line)) + "0\r\n\r\n")
		}
		connected := write(outageHead + chunked(string(line)+"\n"))
		for nextBlank := o.elapsed() + 2*time.Second; connected && (event.Revision == 7 || nextBlank < o.downAt); nextBlank += 2 * time.Second {
			time.Sleep(nextBlank - o.elapsed())
			connected = write(chunked("\n"))
		}
		if !connected {
			return false
		}
		time.Sleep(o.downAt - o.elapsed())
		if outage.reset || outage.dial == "refused" {
			return false
		}
	} else if !isWatch {
		_, _ = io.Copy(io.Discard, conn)
		return false
	} else if !write(outage.response) || outage.reset {
		return false
	} else if strings.HasSuffix(outage.response, "0\r\n\r\n") || strings.Contains(outage.response, "Content-Length") {
		return true
	}
	for outage.repeated != "" && fails && write(outage.repeated) {
		time.Sleep(250 * time.Millisecond)
	}
	_, _ = io.Copy(io.Discard, conn)
	return false
}

func (o *outageClient) start(ctx context.Context, replicas int) {
	var addresses []string
	for i := range replicas {
		addresses = append(addresses, "127.0.0."+strconv.Itoa(i+1)+":1")
	}
	first := int(o.upAt/(50*time.Millisecond)) % replicas
	o.failing = map[string]bool{}
	for i := range (replicas - 1) / 2 { // consecutive replicas, so that the calls to them follow each other
		o.failing[addresses[(first+i)%replicas]] = true
	}
	client := New(addresses)
	client.currentIndex = 0
	client.http.Transport.(*http.Transport).DialContext = o.dial
	o.started = time.Now()
	ctx, cancel := context.WithCancel(ctx)
	o.running.Go(func() {
		defer client.Close()
		start := list(1, "a")
		client.Watch(ctx, &start, Watcher{OnEstablished: func() {}, OnError: func(string, error) {}, Apply: func(event api.WatchEvent) error {
			if event.Revision == 7 {
				o.appliedAt.Store(int64(o.elapsed()))
				cancel()
			}
			return nil
		}})
	})
}

// Guards against a change that is applied too late: whatever failed before, it must be applied within watch.NotifyDeadline after
// a majority of the replicas has it and can be reached, even if the others never can.
func TestAfterAnOutageAListIsInHandInTime(t *testing.T) {
	const longOutage = 8 * time.Second // all back-off waits have reached their maximum by then
	for i := range outages {
		for _, test := range []struct {
			replicas        int
			downAt, downFor time.Duration // all replicas are down for up to 2.5 s longer
		}{{1, 0, longOutage}, {3, 0, 0}, {3, time.Second, 0}, {5, time.Second, 0}, {5, 0, longOutage}} {
			t.Run(fmt.Sprintf("%s, %d replicas, down at %v, up from %v on", outages[i].name, test.replicas, test.downAt, test.downAt+test.downFor), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					var running sync.WaitGroup
					var clients []*outageClient
					for after := 50 * time.Millisecond; after <= 2500*time.Millisecond; after += 50 * time.Millisecond {
						client := &outageClient{outage: i, downAt: test.downAt, upAt: test.downAt + test.downFor + after, running: &running}
						clients = append(clients, client)
						client.start(ctx, test.replicas)
					}
					time.Sleep(longOutage + 2*watch.NotifyDeadline)
					cancel()
					running.Wait()
					latest := slices.MaxFunc(clients, func(a, b *outageClient) int { return int(a.delay() - b.delay()) })
					if latest.delay() > watch.NotifyDeadline {
						t.Errorf("down at %v, up at %v: got the change applied at %v, want within %v", latest.downAt, latest.upAt, time.Duration(latest.appliedAt.Load()), watch.NotifyDeadline)
					}
					t.Logf("longest time until the change was applied: %v", latest.delay())
				})
			})
		}
	}
}

// delay returns the time from the end of the outage until the change was applied, or an hour if it was not.
func (o *outageClient) delay() time.Duration {
	if o.appliedAt.Load() == 0 {
		return time.Hour
	}
	return time.Duration(o.appliedAt.Load()) - o.upAt
}
