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

// transcriptTest is the environment of one script: sidecars, a client, two upstreams and discovery on a simulated network
// and clock.
type transcriptTest struct {
	*testing.T
	ctx            context.Context
	net            *memnet.Network
	record         transcript.Transcript
	client         *memnet.Host
	upstreams      [2]*memnet.Host
	calls, watches transcript.Calls // requests that upstreams received, and watches that discovery received
}

// simulatedSidecar is a sidecar of a transcriptTest.
type simulatedSidecar struct {
	tt      *transcriptTest
	address string
	stop    context.CancelFunc // has the effect of SIGTERM
	reloads chan Reload
	watch   transcript.Call // the last watch that discovery received
}

const (
	discoveryAddress                   = "10.0.0.9:7000"
	upstream1Address, upstream2Address = "10.0.0.11:8000", "10.0.0.12:8000"

	searchRequest     = "GET /search/7f3a HTTP/1.1\r\nHost: s\r\nX-Request-ID: 9b1f03aa5c7e2d41\r\nX-Timeout: 900m\r\n\r\n"
	confirmRequest    = "POST /confirm/7f3a HTTP/1.1\r\nHost: s\r\nX-Request-ID: 9b1f03aa5c7e2d42\r\nX-Timeout: 900m\r\nContent-Length: 6\r\n\r\nseat 4"
	watchResponseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// start runs a sidecar with a list from its configuration, and opens its watch without a change of the list.
func (tt *transcriptTest) start(known ...string) *simulatedSidecar {
	s := tt.run("sidecar", "10.0.0.1", known...)
	s.openWatch("\n")
	time.Sleep(50 * time.Millisecond)
	tt.record.Begin()
	return s
}

// run starts a sidecar on a new host, and stops it when the test ends.
func (tt *transcriptTest) run(name, ip string, known ...string) *simulatedSidecar {
	host := tt.net.Host(name, ip, 0)
	l, err := host.Listen(9000)
	tt.check(err)
	c := testConfig(tt.T, discoveryAddress, known...)
	c.dial = host.Dial
	ctx, stop := context.WithCancel(tt.ctx)
	s := &simulatedSidecar{tt: tt, address: l.Addr().String(), stop: stop, reloads: make(chan Reload)}
	ended := make(chan error, 1)
	go func() { ended <- serve(ctx, c, l, nil, "", s.reloads) }()
	tt.Cleanup(func() {
		stop()
		tt.check(<-ended)
	})
	return s
}

// openWatch answers the next watch of the sidecar, with a first message.
func (s *simulatedSidecar) openWatch(first string) {
	s.tt.Helper()
	s.watch = s.tt.nextCall(s.tt.watches)
	s.tt.check(s.watch.Say(watchResponseHead))
	s.tt.check(s.watch.Chunk(first))
}

func (tt *transcriptTest) check(err error) {
	tt.Helper()
	if err != nil {
		tt.Error(err)
	}
}

func (tt *transcriptTest) nextCall(calls transcript.Calls) transcript.Call {
	tt.Helper()
	c, err := calls.Next()
	if err != nil {
		tt.Fatal(err)
	}
	return c
}

// request sends a request from a client on a connection of its own.
func (tt *transcriptTest) request(s *simulatedSidecar, text string) *transcript.Line {
	tt.Helper()
	c, err := transcript.Connect(tt.ctx, tt.client, s.address)
	if err != nil {
		tt.Fatal(err)
	}
	tt.check(c.Say(text))
	return c
}

// expectStatus waits for the answer to a client, compares its status, and then waits 20 ms for what the answer causes.
func (tt *transcriptTest) expectStatus(c *transcript.Line, want int) {
	tt.Helper()
	if status, err := c.Answer(); status != want || err != nil {
		tt.Errorf("got status %d, error %v; want %d", status, err, want)
	}
	time.Sleep(20 * time.Millisecond)
}

var transcriptTests = []struct {
	name, keyLine string // keyLine is part of a line that the transcript must contain
	script        func(*transcriptTest)
}{
	{"ordinary", "7 sidecar > up-1 sends", func(tt *transcriptTest) {
		s := tt.start(entry("up-1", upstream1Address, "Ready"))
		c := tt.request(s, searchRequest)
		tt.check(tt.nextCall(tt.calls).Say(ok200("ok")))
		tt.expectStatus(c, 200)
		tt.check(c.Say(searchRequest)) // on the existing connections
		tt.check(tt.nextCall(tt.calls).Say(ok200("ok")))
		tt.expectStatus(c, 200)
	}},
	{"retry-after-connect-failure", "up-2 > sidecar refuses", func(tt *transcriptTest) {
		s := tt.start(entry("up-1", upstream1Address, "Ready"), entry("up-2", upstream2Address, "Ready"))
		tt.upstreams[1].Kill()
		c := tt.request(s, strings.Replace(confirmRequest, "900m", "9000m", 1)) // the timeout is long enough for two attempts
		tt.check(tt.nextCall(tt.calls).Say(ok200("ok")))
		tt.expectStatus(c, 200)
	}},
	{"unsafe-after-reset", "> sidecar resets", func(tt *transcriptTest) {
		s := tt.start(entry("up-1", upstream1Address, "Ready"), entry("up-2", upstream2Address, "Ready"))
		c := tt.request(s, confirmRequest)
		tt.nextCall(tt.calls).Reset()
		tt.expectStatus(c, 502)
	}},
	{"refused", "503 Service Unavailable", func(tt *transcriptTest) {
		s := tt.start(entry("up-1", upstream1Address, "Ready"))
		c := tt.request(s, confirmRequest)
		tt.check(tt.nextCall(tt.calls).Say("HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"))
		tt.expectStatus(c, 503)
	}},
	{"given-up", "502 Bad Gateway", func(tt *transcriptTest) {
		s := tt.start(entry("up-1", upstream1Address, "Ready"))
		c := tt.request(s, confirmRequest)
		tt.nextCall(tt.calls)
		tt.expectStatus(c, 502)
		time.Sleep(time.Second)
	}},
	{"client-gone", "client > sidecar closes", func(tt *transcriptTest) {
		s := tt.start(entry("up-1", upstream1Address, "Ready"))
		c := tt.request(s, searchRequest)
		pending := tt.nextCall(tt.calls)
		tt.check(c.Close())
		time.Sleep(20 * time.Millisecond)
		tt.check(pending.Say(ok200("for nobody"))) // the next request uses this connection, which has then been idle for minIdleBeforeReuse
		time.Sleep(20 * time.Millisecond)
		c = tt.request(s, confirmRequest)
		tt.check(tt.nextCall(tt.calls).Say(ok200("ok")))
		tt.expectStatus(c, 200)
	}},
	{"silent-watch", "sidecar > discovery (2) connects", func(tt *transcriptTest) {
		tt.record.Begin()
		s := tt.run("sidecar", "10.0.0.1", entry("up-1", upstream1Address, "Ready"))
		s.openWatch(list(2, false, entry("up-2", upstream2Address, "Ready")) + "\n")
		s.openWatch("\n")
		time.Sleep(20 * time.Millisecond)
	}},
	{"moved-discovery", "sidecar > new discovery connects", func(tt *transcriptTest) {
		s := tt.start(entry("up-1", upstream1Address, "Ready"))
		tt.check(transcript.Serve(tt.ctx, tt.net.Host("new discovery", "10.0.0.8", time.Millisecond), 7000, tt.watches))
		c := testConfig(tt.T, "10.0.0.8:7000", entry("up-1", upstream1Address, "Ready"))
		s.reloads <- Reload{Config: c}
		s.openWatch(list(1, true, entry("up-2", upstream2Address, "Ready")) + "\n")
		time.Sleep(20 * time.Millisecond)
		clientConn := tt.request(s, searchRequest)
		tt.check(tt.nextCall(tt.calls).Say(ok200("ok")))
		tt.expectStatus(clientConn, 200)
	}},
	{"terminated", "sidecar > client (3) ends its sending", func(tt *transcriptTest) {
		s := tt.start(entry("up-1", upstream1Address, "Ready"))
		quiet, busy := tt.request(s, searchRequest), tt.request(s, confirmRequest)
		tt.check(tt.nextCall(tt.calls).Say(ok200("ok")))
		tt.expectStatus(quiet, 200)
		pending := tt.nextCall(tt.calls)
		_, err := transcript.Connect(tt.ctx, tt.client, s.address)
		tt.check(err)
		s.stop()
		time.Sleep(100 * time.Millisecond)
		tt.check(quiet.Say(searchRequest)) // the idle connection stayed open
		tt.check(tt.nextCall(tt.calls).Say(ok200("ok")))
		tt.expectStatus(quiet, 200)
		tt.check(pending.Say(ok200("ok")))
		tt.expectStatus(busy, 200)
		time.Sleep(400 * time.Millisecond)
	}},
	{"drain-during-attempt", "sidecar > up-1 closes", func(tt *transcriptTest) {
		s := tt.start(entry("up-1", upstream1Address, "Ready"))
		c := tt.request(s, searchRequest)
		pending := tt.nextCall(tt.calls)
		tt.check(s.watch.Chunk(list(2, false, entry("up-1", upstream1Address, "Terminating"), entry("up-2", upstream2Address, "Ready")) + "\n"))
		time.Sleep(20 * time.Millisecond)
		tt.check(pending.Say(ok200("ok")))
		tt.expectStatus(c, 200)
		tt.check(c.Say(searchRequest))
		tt.check(tt.nextCall(tt.calls).Say(ok200("ok")))
		tt.expectStatus(c, 200)
	}},
	{"old-list", "sidecar > up-1 closes", func(tt *transcriptTest) {
		tt.record.Begin()
		s := tt.run("sidecar", "10.0.0.1", entry("up-1", upstream1Address, "Ready"))
		time.Sleep(10 * time.Millisecond)
		c := tt.request(s, searchRequest) // before discovery has sent a list
		tt.check(tt.nextCall(tt.calls).Say(ok200("ok")))
		tt.expectStatus(c, 200)
		s.openWatch(list(7, true, entry("up-2", upstream2Address, "Ready")) + "\n")
		time.Sleep(20 * time.Millisecond)
		tt.check(c.Say(searchRequest))
		tt.check(tt.nextCall(tt.calls).Say(ok200("ok")))
		tt.expectStatus(c, 200)
	}},
	{"indented-list", `"index": 2`, func(tt *transcriptTest) {
		tt.record.Begin()
		s := tt.run("sidecar", "10.0.0.1", entry("up-1", upstream1Address, "Ready"))
		var text bytes.Buffer
		tt.check(json.Indent(&text, []byte(list(2, true, entry("up-2", upstream2Address, "Ready"))), "", " "))
		s.openWatch(text.String() + "\n")
		time.Sleep(20 * time.Millisecond)
	}},
}

// Guards against unreviewed changes of what goes over the wire. After a review, approve them with -update.
func TestApprovedTranscripts(t *testing.T) {
	for _, test := range transcriptTests {
		t.Run(test.name, func(t *testing.T) {
			text := ""
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				tt := &transcriptTest{T: t, ctx: ctx, calls: transcript.NewCalls(), watches: transcript.NewCalls()}
				tt.net = memnet.New(tt.record.Take)
				t.Cleanup(func() {
					cancel()
					tt.net.Close()
				})
				tt.client = tt.net.Host("client", "10.0.0.2", time.Millisecond)
				for i, name := range []string{"up-1", "up-2"} {
					tt.upstreams[i] = tt.net.Host(name, fmt.Sprint("10.0.0.1", i+1), time.Duration(2+i)*time.Millisecond)
					tt.check(transcript.Serve(ctx, tt.upstreams[i], 8000, tt.calls))
				}
				tt.check(transcript.Serve(ctx, tt.net.Host("discovery", "10.0.0.9", time.Millisecond), 7000, tt.watches))
				test.script(tt)
				tt.record.Stop()
				text = tt.record.Text()
			})
			approve.Text(t, test.name, test.keyLine, text)
		})
	}
}
