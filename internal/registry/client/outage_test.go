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
	name, dial, says string
	ends             bool
	more             string
}{
	{name: "refused", dial: "refused"},
	{name: "hangs", dial: "hangs"},
	{name: "no head"},
	{name: "a head", says: outageHead},
	{name: "half a line", says: outageHead + chunked(`{"index":7,"endp`)},
	{name: "a line without end", says: outageHead + chunked(`{"index":7,"more":"`), more: chunked("x")},
	{name: "reset", ends: true},
	{name: "reset after a head", says: outageHead, ends: true},
	{name: "ended", says: outageHead + "0\r\n\r\n"},
	{name: "ended after an empty line", says: outageHead + chunked("\n") + "0\r\n\r\n"},
	{name: "503", says: "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"},
	{name: "a spoilt line", says: outageHead + chunked(`{"index":8]`)},
	{name: "an older list, and no second", says: outageHead + chunked(`{"index":4,"snapshot":true,"endpoints":[]}`)},
}

// outageParty is a client of some replicas, of which all fail from down until event in one of the ways above, and the bad ones
// for ever.
type outageParty struct {
	way         int
	down, event time.Duration
	bad         map[string]bool // replicas
	begun       time.Time
	told        atomic.Int64 // when the change was in flight
	running     *sync.WaitGroup
}

func (p *outageParty) now() time.Duration { return time.Since(p.begun) }

func (p *outageParty) fails(at string) bool {
	return p.now() >= p.down && (p.now() < p.event || p.bad[at])
}

func (p *outageParty) dial(ctx context.Context, _, at string) (net.Conn, error) {
	if way := outages[p.way]; p.fails(at) && way.dial != "" {
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
func (p *outageParty) serve(c net.Conn, at string, watches bool) bool {
	way, fails := outages[p.way], p.fails(at)
	say := func(text string) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
	if !fails {
		l := list(5, "a")
		if p.now() >= p.event {
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
		for next := p.now() + 2*time.Second; lives && (l.Revision == 7 || next < p.down); next += 2 * time.Second {
			time.Sleep(next - p.now())
			lives = say(chunked("\n"))
		}
		if !lives {
			return false
		}
		time.Sleep(p.down - p.now())
		if way.ends || way.dial == "refused" {
			return false
		}
	} else if !watches {
		_, _ = io.Copy(io.Discard, c)
		return false
	} else if !say(way.says) || way.ends {
		return false
	} else if strings.HasSuffix(way.says, "0\r\n\r\n") || strings.Contains(way.says, "Content-Length") {
		return true
	}
	for way.more != "" && fails && say(way.more) {
		time.Sleep(250 * time.Millisecond)
	}
	_, _ = io.Copy(io.Discard, c)
	return false
}

func (p *outageParty) begin(ctx context.Context, replicas int) {
	var all []string
	for i := range replicas {
		all = append(all, "127.0.0."+strconv.Itoa(i+1)+":1")
	}
	first := int(p.event/(50*time.Millisecond)) % replicas
	p.bad = map[string]bool{}
	for i := range (replicas - 1) / 2 { // one after the other: nobody answers between
		p.bad[all[(first+i)%replicas]] = true
	}
	c := New(all)
	c.current = 0
	c.http.Transport.(*http.Transport).DialContext = p.dial
	p.begun = time.Now()
	ctx, cancel := context.WithCancel(ctx)
	p.running.Go(func() {
		defer c.Close()
		start := list(1, "a")
		c.Watch(ctx, &start, Watcher{OnEstablished: func() {}, OnError: func(string, error) {}, Apply: func(l api.WatchEvent) error {
			if l.Revision == 7 {
				p.told.Store(int64(p.now()))
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
					var all []*outageParty
					for after := 50 * time.Millisecond; after <= 2500*time.Millisecond; after += 50 * time.Millisecond {
						p := &outageParty{way: way, down: x.down, event: x.down + x.from + after, running: &running}
						all = append(all, p)
						p.begin(ctx, x.replicas)
					}
					time.Sleep(long + 2*watch.NotifyDeadline)
					cancel()
					running.Wait()
					latest := slices.MaxFunc(all, func(a, b *outageParty) int { return int(a.late() - b.late()) })
					if latest.late() > watch.NotifyDeadline {
						t.Errorf("down at %v, back at %v: in hand at %v", latest.down, latest.event, time.Duration(latest.told.Load()))
					}
					t.Logf("in hand %v after the return, at the latest", latest.late())
				})
			})
		}
	}
}

// late is how long after the return the change was in flight.
func (p *outageParty) late() time.Duration {
	if p.told.Load() == 0 {
		return time.Hour
	}
	return time.Duration(p.told.Load()) - p.event
}
