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

// outages are the ways in which a replica may fail: says is what a call gets that is made then. It is reset after that where
// ends is set, and stays open and silent where not, or gets more for ever.
var outages = []struct {
	name, dial, response string
	reset                bool
	repeated             string
}{
	{name: "refused", dial: "refused"},
	{name: "hangs", dial: "hangs"},
	{name: "no head"},
	{name: "a head", response: outageHead},
	{name: "half a line", response: outageHead + chunked(`{"index":7,"endp`)},
	{name: "a line without end", response: outageHead + chunked(`{"index":7,"more":"`), repeated: chunked("x")},
	{name: "reset", reset: true},
	{name: "reset after a head", response: outageHead, reset: true},
	{name: "ended", response: outageHead + "0\r\n\r\n"},
	{name: "ended after an empty line", response: outageHead + chunked("\n") + "0\r\n\r\n"},
	{name: "503", response: "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"},
	{name: "a spoilt line", response: outageHead + chunked(`{"index":8]`)},
	{name: "an older list, and no second", response: outageHead + chunked(`{"index":4,"snapshot":true,"endpoints":[]}`)},
}

// outageClient is a client of some replicas, of which all fail from down until event in one of the ways above, and the bad ones
// for ever.
type outageClient struct {
	outage       int
	downAt, upAt time.Duration
	failing      map[string]bool // replicas
	started      time.Time
	appliedAt    atomic.Int64 // when the change was in flight
	running      *sync.WaitGroup
}

func (p *outageClient) elapsed() time.Duration { return time.Since(p.started) }

func (p *outageClient) fails(at string) bool {
	return p.elapsed() >= p.downAt && (p.elapsed() < p.upAt || p.failing[at])
}

func (p *outageClient) dial(ctx context.Context, _, at string) (net.Conn, error) {
	if way := outages[p.outage]; p.fails(at) && way.dial != "" {
		if way.dial == "hangs" {
			time.Sleep(dialTimeout)
			return nil, context.DeadlineExceeded
		}
		return nil, errors.New("refused")
	}
	ours, theirs := net.Pipe()
	p.running.Go(func() {
		defer func() { _ = theirs.Close() }()
		in := bufio.NewReader(theirs)
		for {
			req, err := http.ReadRequest(in)
			if err != nil || !p.serve(theirs, at, req.FormValue("watch") != "") {
				return
			}
		}
	})
	return ours, nil
}

// serve answers a call; false: the connection is to be reset.
func (p *outageClient) serve(c net.Conn, at string, watches bool) bool {
	way, fails := outages[p.outage], p.fails(at)
	say := func(text string) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
	if !fails {
		l := list(5, "a")
		if p.elapsed() >= p.upAt {
			l = list(7, "a=Terminating", "b")
		}
		line, err := json.Marshal(l)
		if err != nil {
			panic(err)
		}
		if !watches {
			return say(outageHead + chunked(string(line)) + "0\r\n\r\n")
		}
		lives := say(outageHead + chunked(string(line)+"\n"))
		for next := p.elapsed() + 2*time.Second; lives && (l.Revision == 7 || next < p.downAt); next += 2 * time.Second {
			time.Sleep(next - p.elapsed())
			lives = say(chunked("\n"))
		}
		if !lives {
			return false
		}
		time.Sleep(p.downAt - p.elapsed())
		if way.reset || way.dial == "refused" {
			return false
		}
	} else if !watches {
		_, _ = io.Copy(io.Discard, c)
		return false
	} else if !say(way.response) || way.reset {
		return false
	} else if strings.HasSuffix(way.response, "0\r\n\r\n") || strings.Contains(way.response, "Content-Length") {
		return true
	}
	for way.repeated != "" && fails && say(way.repeated) {
		time.Sleep(250 * time.Millisecond)
	}
	_, _ = io.Copy(io.Discard, c)
	return false
}

func (p *outageClient) start(ctx context.Context, replicas int) {
	var all []string
	for i := range replicas {
		all = append(all, "127.0.0."+strconv.Itoa(i+1)+":1")
	}
	first := int(p.upAt/(50*time.Millisecond)) % replicas
	p.failing = map[string]bool{}
	for i := range (replicas - 1) / 2 { // one after the other: nobody answers between
		p.failing[all[(first+i)%replicas]] = true
	}
	c := New(all)
	c.currentIndex = 0
	c.http.Transport.(*http.Transport).DialContext = p.dial
	p.started = time.Now()
	ctx, cancel := context.WithCancel(ctx)
	p.running.Go(func() {
		defer c.Close()
		start := list(1, "a")
		c.Watch(ctx, &start, Watcher{OnEstablished: func() {}, OnError: func(string, error) {}, Apply: func(l api.WatchEvent) error {
			if l.Revision == 7 {
				p.appliedAt.Store(int64(p.elapsed()))
				cancel()
			}
			return nil
		}})
	})
}

// Guards against a change that is acted on too late: whatever failed before, it is in flight within watch.Told of the moment at
// which most replicas had it and could be reached, also where the others never can.
func TestAfterAnOutageAListIsInHandInTime(t *testing.T) {
	const long = 8 * time.Second // all waits are at their longest by then
	for way := range outages {
		for _, x := range []struct {
			replicas   int
			down, from time.Duration
		}{{1, 0, long}, {3, 0, 0}, {3, time.Second, 0}, {5, time.Second, 0}, {5, 0, long}} {
			t.Run(fmt.Sprintf("%s, %d replicas, down at %v, back from %v on", outages[way].name, x.replicas, x.down, x.down+x.from), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					var running sync.WaitGroup
					var all []*outageClient
					for after := 50 * time.Millisecond; after <= 2500*time.Millisecond; after += 50 * time.Millisecond {
						p := &outageClient{outage: way, downAt: x.down, upAt: x.down + x.from + after, running: &running}
						all = append(all, p)
						p.start(ctx, x.replicas)
					}
					time.Sleep(long + 2*watch.NotifyDeadline)
					cancel()
					running.Wait()
					latest := slices.MaxFunc(all, func(a, b *outageClient) int { return int(a.delay() - b.delay()) })
					if latest.delay() > watch.NotifyDeadline {
						t.Errorf("down at %v, back at %v: in hand at %v", latest.downAt, latest.upAt, time.Duration(latest.appliedAt.Load()))
					}
					t.Logf("in hand %v after the return, at the latest", latest.delay())
				})
			})
		}
	}
}

// delay is how long after the return the change was in flight.
func (p *outageClient) delay() time.Duration {
	if p.appliedAt.Load() == 0 {
		return time.Hour
	}
	return time.Duration(p.appliedAt.Load()) - p.upAt
}
