package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"mosslead/internal/lab/memnet"
	"mosslead/internal/lab/transcript"
	"mosslead/internal/lab/transcript/approve"
)

// exchange is what one script plays in: sidecars in a bubble, with a client, two upstreams and discovery.
type exchange struct {
	*testing.T
	ctx            context.Context
	net            *memnet.Network
	record         transcript.Transcript
	client         *memnet.Host
	up             [2]*memnet.Host
	calls, watches transcript.Calls // what upstreams got, and discovery
}

// inBubble is a sidecar of an exchange.
type inBubble struct {
	x       *exchange
	address string
	stop    context.CancelFunc // as SIGTERM
	reloads chan Reload
	watch   transcript.Call // the last one that discovery got
}

const (
	discoveryAt = "10.0.0.9:7000"
	up1, up2    = "10.0.0.11:8000", "10.0.0.12:8000"

	aSearch  = "GET /search/7f3a HTTP/1.1\r\nHost: s\r\nX-Request-ID: 9b1f03aa5c7e2d41\r\nX-Timeout: 900m\r\n\r\n"
	aConfirm = "POST /confirm/7f3a HTTP/1.1\r\nHost: s\r\nX-Request-ID: 9b1f03aa5c7e2d42\r\nX-Timeout: 900m\r\nContent-Length: 6\r\n\r\nseat 4"
	opens    = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// start runs a sidecar with a list from its configuration, and opens its watch, which has no news.
func (x *exchange) start(known ...string) *inBubble {
	s := x.run("sidecar", "10.0.0.1", known...)
	s.follow("\n")
	time.Sleep(50 * time.Millisecond)
	x.record.Begin()
	return s
}

func (x *exchange) run(name, ip string, known ...string) *inBubble {
	host := x.net.Host(name, ip, 0)
	l, err := host.Listen(9000)
	x.must(err)
	c := testConfig(x.T, discoveryAt, known...)
	c.dial = host.Dial
	ctx, stop := context.WithCancel(x.ctx)
	s := &inBubble{x: x, address: l.Addr().String(), stop: stop, reloads: make(chan Reload)}
	ended := make(chan error, 1)
	go func() { ended <- serve(ctx, c, l, nil, "", s.reloads) }()
	x.Cleanup(func() {
		stop()
		x.must(<-ended)
	})
	return s
}

// follow opens the watch that the sidecar asks for next, with a first message.
func (s *inBubble) follow(first string) {
	s.x.Helper()
	s.watch = s.x.next(s.x.watches)
	s.x.must(s.watch.Say(opens))
	s.x.must(s.watch.Chunk(first))
}

func (x *exchange) must(err error) {
	x.Helper()
	if err != nil {
		x.Error(err)
	}
}

func (x *exchange) next(calls transcript.Calls) transcript.Call {
	x.Helper()
	c, err := calls.Next()
	if err != nil {
		x.Fatal(err)
	}
	return c
}

// request sends a request from a client on a connection of its own.
func (x *exchange) request(s *inBubble, text string) *transcript.Line {
	x.Helper()
	c, err := transcript.Connect(x.ctx, x.client, s.address)
	if err != nil {
		x.Fatal(err)
	}
	x.must(c.Say(text))
	return c
}

// gets waits for a client's answer, and what comes right after it.
func (x *exchange) gets(c *transcript.Line, want int) {
	x.Helper()
	if status, err := c.Answer(); status != want || err != nil {
		x.Errorf("answered %d, %v; want %d", status, err, want)
	}
	time.Sleep(20 * time.Millisecond)
}

var approved = []struct {
	name, shows string // shows is the line that it is about
	script      func(*exchange)
}{
	{"ordinary", "7 sidecar > up-1 sends", func(x *exchange) {
		s := x.start(entry("up-1", up1, "Ready"))
		c := x.request(s, aSearch)
		x.must(x.next(x.calls).Say(ok200("ok")))
		x.gets(c, 200)
		x.must(c.Say(aSearch)) // on the connections that there are
		x.must(x.next(x.calls).Say(ok200("ok")))
		x.gets(c, 200)
	}},
	{"retry-after-connect-failure", "up-2 > sidecar refuses", func(x *exchange) {
		s := x.start(entry("up-1", up1, "Ready"), entry("up-2", up2, "Ready"))
		x.up[1].Kill()
		c := x.request(s, strings.Replace(aConfirm, "900m", "9000m", 1)) // time for two
		x.must(x.next(x.calls).Say(ok200("ok")))
		x.gets(c, 200)
	}},
	{"unsafe-after-reset", "> sidecar resets", func(x *exchange) {
		s := x.start(entry("up-1", up1, "Ready"), entry("up-2", up2, "Ready"))
		c := x.request(s, aConfirm)
		x.next(x.calls).Reset()
		x.gets(c, 502)
	}},
	{"refused", "503 Service Unavailable", func(x *exchange) {
		s := x.start(entry("up-1", up1, "Ready"))
		c := x.request(s, aConfirm)
		x.must(x.next(x.calls).Say("HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"))
		x.gets(c, 503)
	}},
	{"given-up", "502 Bad Gateway", func(x *exchange) {
		s := x.start(entry("up-1", up1, "Ready"))
		c := x.request(s, aConfirm)
		x.next(x.calls)
		x.gets(c, 502)
		time.Sleep(time.Second)
	}},
	{"client-gone", "client > sidecar closes", func(x *exchange) {
		s := x.start(entry("up-1", up1, "Ready"))
		c := x.request(s, aSearch)
		pending := x.next(x.calls)
		x.must(c.Close())
		time.Sleep(20 * time.Millisecond)
		x.must(pending.Say(ok200("for nobody"))) // the next request comes on the connection that waited for it, once that has rested
		time.Sleep(20 * time.Millisecond)
		c = x.request(s, aConfirm)
		x.must(x.next(x.calls).Say(ok200("ok")))
		x.gets(c, 200)
	}},
	{"silent-watch", "sidecar > discovery (2) connects", func(x *exchange) {
		x.record.Begin()
		s := x.run("sidecar", "10.0.0.1", entry("up-1", up1, "Ready"))
		s.follow(list(2, false, entry("up-2", up2, "Ready")) + "\n")
		s.follow("\n")
		time.Sleep(20 * time.Millisecond)
	}},
	{"moved-discovery", "sidecar > new discovery connects", func(x *exchange) {
		s := x.start(entry("up-1", up1, "Ready"))
		x.must(transcript.Serve(x.ctx, x.net.Host("new discovery", "10.0.0.8", time.Millisecond), 7000, x.watches))
		c := testConfig(x.T, "10.0.0.8:7000", entry("up-1", up1, "Ready"))
		s.reloads <- Reload{Config: c}
		s.follow(list(1, true, entry("up-2", up2, "Ready")) + "\n")
		time.Sleep(20 * time.Millisecond)
		in := x.request(s, aSearch)
		x.must(x.next(x.calls).Say(ok200("ok")))
		x.gets(in, 200)
	}},
	{"terminated", "sidecar > client (3) ends its sending", func(x *exchange) {
		s := x.start(entry("up-1", up1, "Ready"))
		quiet, busy := x.request(s, aSearch), x.request(s, aConfirm)
		x.must(x.next(x.calls).Say(ok200("ok")))
		x.gets(quiet, 200)
		pending := x.next(x.calls)
		_, err := transcript.Connect(x.ctx, x.client, s.address)
		x.must(err)
		s.stop()
		time.Sleep(100 * time.Millisecond)
		x.must(quiet.Say(aSearch)) // it stayed open
		x.must(x.next(x.calls).Say(ok200("ok")))
		x.gets(quiet, 200)
		x.must(pending.Say(ok200("ok")))
		x.gets(busy, 200)
		time.Sleep(400 * time.Millisecond)
	}},
	{"drain-during-attempt", "sidecar > up-1 closes", func(x *exchange) {
		s := x.start(entry("up-1", up1, "Ready"))
		c := x.request(s, aSearch)
		pending := x.next(x.calls)
		x.must(s.watch.Chunk(list(2, false, entry("up-1", up1, "Terminating"), entry("up-2", up2, "Ready")) + "\n"))
		time.Sleep(20 * time.Millisecond)
		x.must(pending.Say(ok200("ok")))
		x.gets(c, 200)
		x.must(c.Say(aSearch))
		x.must(x.next(x.calls).Say(ok200("ok")))
		x.gets(c, 200)
	}},
	{"old-list", "sidecar > up-1 closes", func(x *exchange) {
		x.record.Begin()
		s := x.run("sidecar", "10.0.0.1", entry("up-1", up1, "Ready"))
		time.Sleep(10 * time.Millisecond)
		c := x.request(s, aSearch) // before discovery has said anything
		x.must(x.next(x.calls).Say(ok200("ok")))
		x.gets(c, 200)
		s.follow(list(7, true, entry("up-2", up2, "Ready")) + "\n")
		time.Sleep(20 * time.Millisecond)
		x.must(c.Say(aSearch))
		x.must(x.next(x.calls).Say(ok200("ok")))
		x.gets(c, 200)
	}},
	{"indented-list", `"index": 2`, func(x *exchange) {
		x.record.Begin()
		s := x.run("sidecar", "10.0.0.1", entry("up-1", up1, "Ready"))
		var text bytes.Buffer
		x.must(json.Indent(&text, []byte(list(2, true, entry("up-2", up2, "Ready"))), "", " "))
		s.follow(text.String() + "\n")
		time.Sleep(20 * time.Millisecond)
	}},
}

// Guards against any change of what goes over the wire that nobody has looked at: approve it with -update.
func TestApprovedTranscripts(t *testing.T) {
	for _, a := range approved {
		t.Run(a.name, func(t *testing.T) {
			text := ""
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				x := &exchange{T: t, ctx: ctx, calls: transcript.NewCalls(), watches: transcript.NewCalls()}
				x.net = memnet.New(x.record.Take)
				t.Cleanup(func() {
					cancel()
					x.net.Close()
				})
				x.client = x.net.Host("client", "10.0.0.2", time.Millisecond)
				for i, name := range []string{"up-1", "up-2"} {
					x.up[i] = x.net.Host(name, fmt.Sprint("10.0.0.1", i+1), time.Duration(2+i)*time.Millisecond)
					x.must(transcript.Serve(ctx, x.up[i], 8000, x.calls))
				}
				x.must(transcript.Serve(ctx, x.net.Host("discovery", "10.0.0.9", time.Millisecond), 7000, x.watches))
				a.script(x)
				x.record.Stop()
				text = x.record.Text()
			})
			approve.Text(t, a.name, a.shows, text)
		})
	}
}
