package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"mosslead/balancer"
	"mosslead/internal/watch"
)

const outageHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunked(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// outages are the ways in which an agent of discovery may fail. A call made while it does gets what before writes, with
// pauses between, for as long as goes is true, and then is reset where ends is set, or stays open and silent. Nothing that
// was begun before the return brings anything after it, but for a message without end.
var outages = []struct {
	name    string
	dial    string // refused or hangs; else it comes up
	writes  []string
	pause   time.Duration // between what it says
	resets  bool
	repeats string // once all was said: again and again, also after the return
}{
	{name: "refused", dial: "refused"},
	{name: "hangs", dial: "hangs"},
	{name: "no head"},
	{name: "half a head", writes: []string{outageHead[:30]}},
	{name: "a head, a byte at a time", writes: []string{outageHead[:30]}, pause: 250 * time.Millisecond, repeats: "x"},
	{name: "a head, late", writes: []string{"", outageHead}, pause: 1900 * time.Millisecond},
	{name: "a head", writes: []string{outageHead}},
	{name: "half a line", writes: []string{outageHead + chunked(`{"index":7,"endp`)}},
	{name: "half a line, late", writes: []string{outageHead, chunked(`{"index":7,"endp`)}, pause: 2400 * time.Millisecond},
	{name: "a line without end", writes: []string{outageHead + chunked(`{"index":7,"more":"`)}, pause: 250 * time.Millisecond, repeats: chunked("x")},
	{name: "a line without end, slowly", writes: []string{outageHead + chunked(`{"index":7,"more":"`)}, pause: 2 * time.Second, repeats: chunked("x")},
	{name: "reset", resets: true},
	{name: "reset after a head", writes: []string{outageHead}, resets: true},
	{name: "reset after a while", writes: []string{outageHead, ""}, pause: time.Second, resets: true},
	{name: "ended", writes: []string{outageHead + "0\r\n\r\n"}, resets: true},
	{name: "ended after an empty line", writes: []string{outageHead + chunked("\n") + "0\r\n\r\n"}, resets: true},
	{name: "503", writes: []string{"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"}, resets: true},
	{name: "500 without end", writes: []string{"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 10\r\n\r\n"}},
	{name: "a spoilt line", writes: []string{outageHead + chunked(`{"index":8]`)}},
	{name: "a list that can't be used", writes: []string{outageHead + chunked(`{"index":8,"snapshot":true,"endpoints":[{}]}`)}},
}

// outageScenario is a watcher with its module, and its agent, which fails from down until back in one of the ways above, and
// has a drain to tell when it is back. Times are since the party began.
type outageScenario struct {
	outage              int
	failsAt, recoversAt time.Duration
	startedAt           time.Time
	watcher             *watcher
	dir                 *endpointDirectory
	drainedAt           atomic.Int64  // when the drain was in flight; 0: it is not
	failureReports      atomic.Int64  // how often the balancer was told of a failure
	eventAt             time.Duration // the return, or the move
	ignoresFirstCall    bool          // the first call at the new address is never answered
	firstCallIgnored    atomic.Bool   // it was made
	running             *sync.WaitGroup
}

const (
	outageFrom = "127.0.0.1:1"
	outageTo   = "127.0.0.2:1" // an agent that never fails
)

func (p *outageScenario) now() time.Duration { return time.Since(p.startedAt) }

func (p *outageScenario) fails() bool { return p.now() >= p.failsAt && p.now() < p.recoversAt }

func (p *outageScenario) dial(ctx context.Context, _, address string) (net.Conn, error) {
	if way := outages[p.outage]; address == outageFrom && p.fails() && way.dial != "" {
		if way.dial == "hangs" {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return nil, errors.New("refused")
	}
	ours, theirs := net.Pipe()
	p.running.Go(func() {
		defer func() { _ = theirs.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(theirs)); err != nil {
			return
		}
		if address == outageTo && p.ignoresFirstCall && !p.firstCallIgnored.Swap(true) {
			_, _ = io.Copy(io.Discard, theirs)
			return
		}
		p.serve(theirs, address == outageTo)
	})
	return ours, nil
}

// serve is an agent's answer; it returns once the connection is to be reset.
func (p *outageScenario) serve(c net.Conn, sound bool) {
	say := func(text string) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
	if way := outages[p.outage]; sound || !p.fails() {
		index, status := 5, "Ready"
		if sound || p.now() >= p.recoversAt {
			index, status = 7, "Terminating"
		}
		if !say(outageHead + chunked(list(index, false, entry("a", "127.0.0.2:1", status))+"\n")) {
			return
		}
		for next := p.now() + 2*time.Second; index == 7 || next < p.failsAt; next += 2 * time.Second {
			time.Sleep(next - p.now())
			if !say(chunked("\n")) {
				return
			}
		}
		time.Sleep(p.failsAt - p.now())
		if way.resets || way.dial == "refused" {
			return
		}
		if way.repeats != "" && strings.HasPrefix(way.name, "a line") {
			say(chunked(`{"index":7,"more":"`))
			p.writeRepeats(say)
		}
	} else {
		for i, text := range way.writes {
			if i > 0 {
				time.Sleep(way.pause)
			}
			if p.fails() && !say(text) {
				return
			}
		}
		if way.resets {
			return
		}
		if way.repeats != "" {
			p.writeRepeats(say)
		}
	}
	_, _ = io.Copy(io.Discard, c)
}

func (p *outageScenario) writeRepeats(say func(string) bool) {
	for say(outages[p.outage].repeats) {
		time.Sleep(outages[p.outage].pause)
	}
}

// start runs the party until it has the drain, or ctx ends.
func (p *outageScenario) start(ctx context.Context, t *testing.T, c Config, seed uint64) {
	c.dial = p.dial
	b, err := balancer.New(c.Settings.Settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	clk := newClock()
	p.startedAt, p.dir = time.Now(), newEndpointDirectory(clk, func(string) {})
	p.dir.apply(c.Known)
	l := newDispatcher(b, clk, ctx.Done())
	onDemand := c.Settings.MustSubscribe
	p.watcher = newWatcher(&c, p.dir, func(m balancer.EndpointUpdate) {
		if m.Kind == balancer.WatchFailed {
			p.failureReports.Add(1)
		}
		if _, ok := p.dir.address("a"); !ok && p.drainedAt.Load() == 0 {
			p.drainedAt.Store(int64(p.now()))
			cancel()
		}
		if onDemand {
			l.enqueueUpdate(m)
		}
	})
	p.running.Go(func() { p.watcher.run(ctx, onDemand) })
	if onDemand {
		l.subscribe = p.watcher.subscribe
		p.running.Go(func() { l.run(p.dir.cachedUpdate()) })
	}
}

// eventTimes are those at which something comes 50 ms apart: from then on, over so long, in an outage that begins at down.
type eventTimes struct{ failsAt, offset, length time.Duration }

// outageEventTimes are at the start, after a while without an outage, and once all waits are at their longest, over one round of
// all that is tried: two calls and the balancer's wait where that asks, one silence where not.
func outageEventTimes(onDemand bool) []eventTimes {
	const sec = time.Second
	if onDemand {
		return []eventTimes{{0, 0, 4 * sec}, {1017 * time.Millisecond, 0, 4 * sec}, {0, 20 * sec, 8 * sec}}
	}
	return []eventTimes{{0, 0, 4 * sec}, {1017 * time.Millisecond, 0, 4 * sec}, {0, 10 * sec, 2500 * time.Millisecond}}
}

// runOutage plays moments of an outage in one bubble: at each the agent is back for one party or, where moves is set,
// discovery moves for good. It returns how long after that the latest of them had the drain.
func runOutage(t *testing.T, onDemand, moves bool, way int, connect time.Duration, at []eventTimes) (latest time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		c := testConfig(t, outageFrom, entry("a", "127.0.0.2:1", "Ready"))
		c.Settings.ConnectTimeout, c.Settings.MustSubscribe = connect, onDemand
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		var all []*outageScenario
		var last, first time.Duration
		for _, m := range at {
			for after := 50 * time.Millisecond; after <= m.length; after += 50 * time.Millisecond {
				p := &outageScenario{outage: way, failsAt: m.failsAt, eventAt: m.failsAt + m.offset + after, running: &running}
				p.recoversAt, last = p.eventAt, max(last, p.eventAt)
				if moves {
					p.recoversAt, p.ignoresFirstCall = time.Hour, len(all)%2 == 1
				}
				all = append(all, p)
				p.start(ctx, t, *c, uint64(len(all)))
				if moves {
					time.AfterFunc(p.eventAt, func() { p.watcher.move(outageTo) })
				}
			}
		}
		time.Sleep(last + 2*watch.NotifyDeadline)
		cancel()
		running.Wait()
		for _, p := range all {
			announced := time.Duration(p.drainedAt.Load())
			if announced < p.eventAt {
				t.Fatalf("down at %v, event at %v: told at %v, %d failures", p.failsAt, p.eventAt, announced, p.failureReports.Load())
			}
			if !onDemand && p.failureReports.Load() > 0 {
				t.Error("a failure was told to a module that did not ask")
			}
			latest = max(latest, announced-p.eventAt)
			if moves && !p.firstCallIgnored.Load() {
				first = max(first, announced-p.eventAt)
			}
		}
		if first > 0 {
			t.Errorf("the new address was first asked %v after the signal, at the latest", first)
		}
	})
	return latest
}

// Guards against a drain that is acted on too late: whatever failed before, a change is in flight within watch.Told of the
// moment at which discovery had it and could be reached, and where it is pushed within 3 s, since it binds at once there.
func TestAfterAnOutageAListIsInHandInTime(t *testing.T) {
	for _, onDemand := range []bool{false, true} {
		for way := range outages {
			for _, connect := range []time.Duration{200 * time.Millisecond, 2200 * time.Millisecond, 5 * time.Second} {
				if connect > 200*time.Millisecond && outages[way].dial != "hangs" {
					continue
				}
				t.Run(fmt.Sprintf("asks %v, %s, connect %v", onDemand, outages[way].name, connect), func(t *testing.T) {
					t.Parallel()
					bound := 3 * time.Second
					if onDemand {
						bound = watch.NotifyDeadline
					}
					if got := runOutage(t, onDemand, false, way, connect, outageEventTimes(onDemand)); got > bound {
						t.Errorf("in hand %v after the return, at the latest", got)
					} else {
						t.Logf("in hand %v after the return, at the latest", got)
					}
				})
			}
		}
	}
}

// Guards against a list that is late after SIGHUP: the new address is asked at once, whatever is wrong with the old one and
// however long the balancer would still wait; where that first call is never answered, the list is in flight all the same
// before it binds, 4 s after the signal.
func TestAMovedListIsInHandInTime(t *testing.T) {
	for _, onDemand := range []bool{false, true} {
		for way := range outages {
			t.Run(fmt.Sprintf("asks %v, %s", onDemand, outages[way].name), func(t *testing.T) {
				t.Parallel()
				at := []eventTimes{{1017 * time.Millisecond, 0, 1500 * time.Millisecond}, {0, 15 * time.Second, 2 * time.Second}}
				if got := runOutage(t, onDemand, true, way, 2200*time.Millisecond, at); got > 4*time.Second {
					t.Errorf("in hand %v after the signal, at the latest", got)
				}
			})
		}
	}
}

// Guards against a request that was decided on before a drain was known and is sent after: its connection is still coming up when
// discovery is back, or has moved, and is up later. Nothing is written to it, and the balancer may send it elsewhere.
func TestAConnectionThatIsUpAfterTheDrainSendsNothing(t *testing.T) {
	for _, moves := range []bool{false, true} {
		for _, drains := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				var running sync.WaitGroup
				p := &outageScenario{outage: 0, recoversAt: time.Hour, running: &running}
				if drains && !moves {
					p.recoversAt = 2 * time.Second
				}
				c := testConfig(t, outageFrom, entry("a", "127.0.0.2:1", "Ready"))
				c.Settings.MustSubscribe = false
				p.start(ctx, t, *c, 1)
				late, bytes := make(chan struct{}), make(chan int, 1)
				c.Settings.ConnectTimeout = time.Minute
				c.dial = func(context.Context, string, string) (net.Conn, error) {
					<-late
					ours, theirs := net.Pipe()
					go func() {
						got := make([]byte, 100)
						n, _ := theirs.Read(got)
						_ = theirs.Close()
						bytes <- n
					}()
					return ours, nil
				}
				u := newUpstreamPool(c, newClock(), 4)
				u.directory = p.dir
				ended := make(chan attemptReply, 1)
				go func() { ended <- u.attempt(t.Context(), "a", testRequest("GET", ""), 0) }()
				time.Sleep(time.Second)
				if drains && moves {
					p.watcher.move(outageTo)
				}
				time.Sleep(4 * time.Second)
				close(late)
				rep, n := <-ended, <-bytes
				if drains && (n != 0 || rep.result != balancer.NotSent) {
					t.Errorf("moves %v: %d bytes after the drain, result %d", moves, n, rep.result)
				}
				if !drains && n == 0 {
					t.Errorf("moves %v: nothing was sent without a drain", moves)
				}
				cancel()
				running.Wait()
			})
		}
	}
}
