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

// outages are the ways in which discovery may fail. On a connection opened during an outage, discovery sends the texts of writes,
// pause apart, as long as the outage lasts. After them it resets the connection if resets is set; otherwise the connection stays
// open, and discovery sends repeats on it again and again, or nothing more.
var outages = []struct {
	name    string
	dial    string // "refused", "hangs", or "" if the connection is established
	writes  []string
	pause   time.Duration // pause between writes, and between repeats
	resets  bool
	repeats string // written repeatedly after writes, even after the outage
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

// outageScenario is a watcher with its dispatcher, and a discovery that fails from failsAt until recoversAt in one of the ways
// above, and then has a list in which the upstream a drains. Times are since the start of the scenario.
type outageScenario struct {
	outage              int
	failsAt, recoversAt time.Duration
	startedAt           time.Time
	watcher             *watcher
	dir                 *endpointDirectory
	drainedAt           atomic.Int64  // when the drain was applied to the directory; 0 if it was not
	failureReports      atomic.Int64  // number of failures reported to the balancer
	eventAt             time.Duration // when discovery recovers, or moves to another address
	ignoresFirstCall    bool          // the first call at the new address is never answered
	firstCallIgnored    atomic.Bool   // the first call at the new address was made
	running             *sync.WaitGroup
}

const (
	outageFrom = "127.0.0.1:1"
	outageTo   = "127.0.0.2:1" // discovery at this address never fails
)

func (s *outageScenario) now() time.Duration { return time.Since(s.startedAt) }

func (s *outageScenario) fails() bool { return s.now() >= s.failsAt && s.now() < s.recoversAt }

func (s *outageScenario) dial(ctx context.Context, _, address string) (net.Conn, error) {
	if outage := outages[s.outage]; address == outageFrom && s.fails() && outage.dial != "" {
		if outage.dial == "hangs" {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return nil, errors.New("refused")
	}
	near, far := net.Pipe()
	s.running.Go(func() {
		defer func() { _ = far.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
			return
		}
		if address == outageTo && s.ignoresFirstCall && !s.firstCallIgnored.Swap(true) {
			_, _ = io.Copy(io.Discard, far)
			return
		}
		s.serve(far, address == outageTo)
	})
	return near, nil
}

// serve writes discovery's answer; it returns when the connection is to be reset.
func (s *outageScenario) serve(c net.Conn, healthy bool) {
	write := func(text string) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
	if outage := outages[s.outage]; healthy || !s.fails() {
		index, status := 5, "Ready"
		if healthy || s.now() >= s.recoversAt {
			index, status = 7, "Terminating"
		}
		if !write(outageHead + chunked(list(index, false, entry("a", "127.0.0.2:1", status))+"\n")) {
			return
		}
		for next := s.now() + 2*time.Second; index == 7 || next < s.failsAt; next += 2 * time.Second {
			time.Sleep(next - s.now())
			if !write(chunked("\n")) {
				return
			}
		}
		time.Sleep(s.failsAt - s.now())
		if outage.resets || outage.dial == "refused" {
			return
		}
		if outage.repeats != "" && strings.HasPrefix(outage.name, "a line") {
			write(chunked(`{"index":7,"more":"`))
			s.writeRepeats(write)
		}
	} else {
		for i, text := range outage.writes {
			if i > 0 {
				time.Sleep(outage.pause)
			}
			if s.fails() && !write(text) {
				return
			}
		}
		if outage.resets {
			return
		}
		if outage.repeats != "" {
			s.writeRepeats(write)
		}
	}
	_, _ = io.Copy(io.Discard, c)
}

func (s *outageScenario) writeRepeats(write func(string) bool) {
	for write(outages[s.outage].repeats) {
		time.Sleep(outages[s.outage].pause)
	}
}

// start runs the scenario until the drain is applied, or ctx ends.
func (s *outageScenario) start(ctx context.Context, t *testing.T, c Config, seed uint64) {
	c.dial = s.dial
	b, err := balancer.New(c.Settings.Settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	clk := newClock()
	s.startedAt, s.dir = time.Now(), newEndpointDirectory(clk, func(string) {})
	s.dir.apply(c.Known)
	d := newDispatcher(b, clk, ctx.Done())
	onDemand := c.Settings.MustSubscribe
	s.watcher = newWatcher(&c, s.dir, func(update balancer.EndpointUpdate) {
		if update.Kind == balancer.WatchFailed {
			s.failureReports.Add(1)
		}
		if _, ok := s.dir.address("a"); !ok && s.drainedAt.Load() == 0 {
			s.drainedAt.Store(int64(s.now()))
			cancel()
		}
		if onDemand {
			d.enqueueUpdate(update)
		}
	})
	s.running.Go(func() { s.watcher.run(ctx, onDemand) })
	if onDemand {
		d.subscribe = s.watcher.subscribe
		s.running.Go(func() { d.run(s.dir.cachedUpdate()) })
	}
}

// eventTimes are the times of events, 50 ms apart, in an outage that begins at failsAt. The first event is 50 ms after
// failsAt+offset, and the last one is at failsAt+offset+length.
type eventTimes struct{ failsAt, offset, length time.Duration }

// outageEventTimes returns event times in three outages: one from the start, one that begins after a while, and one that has
// lasted so long that all waits are at their longest. The times cover one round of calls: with onDemand two calls and the
// balancer's back-off, otherwise one watch.Silence.
func outageEventTimes(onDemand bool) []eventTimes {
	const sec = time.Second
	if onDemand {
		return []eventTimes{{0, 0, 4 * sec}, {1017 * time.Millisecond, 0, 4 * sec}, {0, 20 * sec, 8 * sec}}
	}
	return []eventTimes{{0, 0, 4 * sec}, {1017 * time.Millisecond, 0, 4 * sec}, {0, 10 * sec, 2500 * time.Millisecond}}
}

// outagePlan is what the scenarios of one run have in common.
type outagePlan struct {
	onDemand bool
	moves    bool // at its event time discovery moves, and stays down at the old address; otherwise it recovers
	outage   int  // index in outages
	connect  time.Duration
	grace    time.Duration // 0 for the default
	reloaded bool          // the grace is set only graceLead before the event, and is the default until then
}

// graceLead is how long before the event a reload changes the grace.
const graceLead = 200 * time.Millisecond

// runOutage runs one scenario for each event time in one synctest bubble. It returns the longest time from the event until the
// drain was applied.
func runOutage(t *testing.T, plan outagePlan, events []eventTimes) (longest time.Duration) {
	onDemand, moves, outage, connect := plan.onDemand, plan.moves, plan.outage, plan.connect
	synctest.Test(t, func(t *testing.T) {
		c := testConfig(t, outageFrom, entry("a", "127.0.0.2:1", "Ready"))
		c.Settings.ConnectTimeout, c.Settings.MustSubscribe = connect, onDemand
		if plan.grace > 0 && !plan.reloaded {
			c.Settings.DrainGrace = plan.grace
		}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		var scenarios []*outageScenario
		var lastEvent, firstCallDelay time.Duration
		for _, times := range events {
			for after := 50 * time.Millisecond; after <= times.length; after += 50 * time.Millisecond {
				p := &outageScenario{outage: outage, failsAt: times.failsAt, eventAt: times.failsAt + times.offset + after, running: &running}
				p.recoversAt, lastEvent = p.eventAt, max(lastEvent, p.eventAt)
				if moves {
					p.recoversAt, p.ignoresFirstCall = time.Hour, len(scenarios)%2 == 1
				}
				scenarios = append(scenarios, p)
				p.start(ctx, t, *c, uint64(len(scenarios)))
				if plan.reloaded {
					time.AfterFunc(max(0, p.eventAt-graceLead), func() { p.watcher.setDrainGrace(plan.grace) })
				}
				if moves {
					time.AfterFunc(p.eventAt, func() { p.watcher.move(outageTo) })
				}
			}
		}
		time.Sleep(lastEvent + 2*watch.NotifyDeadline)
		cancel()
		running.Wait()
		for _, p := range scenarios {
			drainedAt := time.Duration(p.drainedAt.Load())
			if drainedAt < p.eventAt {
				t.Fatalf("outage at %v, event at %v: got the drain at %v, after %d reported failures, want it after the event", p.failsAt, p.eventAt, drainedAt, p.failureReports.Load())
			}
			if !onDemand && p.failureReports.Load() > 0 {
				t.Errorf("got %d failures reported without onDemand, want none", p.failureReports.Load())
			}
			longest = max(longest, drainedAt-p.eventAt)
			if moves && !p.firstCallIgnored.Load() {
				firstCallDelay = max(firstCallDelay, drainedAt-p.eventAt)
			}
		}
		if firstCallDelay > 0 {
			t.Errorf("first call to the new address answered: got the drain up to %v after the move, want 0s", firstCallDelay)
		}
	})
	return longest
}

// Guards against a drain that is applied too late: whatever failed before, a change is applied within watch.NotifyDeadline
// after discovery has it and can be reached, and within 3 s if lists are pushed, since sidecars then have to follow it at once.
func TestAfterAnOutageAListIsInHandInTime(t *testing.T) {
	for _, onDemand := range []bool{false, true} {
		for outage := range outages {
			for _, connect := range []time.Duration{200 * time.Millisecond, 2200 * time.Millisecond, 5 * time.Second} {
				if connect > 200*time.Millisecond && outages[outage].dial != "hangs" {
					continue
				}
				t.Run(fmt.Sprintf("asks %v, %s, connect %v", onDemand, outages[outage].name, connect), func(t *testing.T) {
					t.Parallel()
					bound := 3 * time.Second
					if onDemand {
						bound = watch.NotifyDeadline
					}
					if got := runOutage(t, outagePlan{onDemand: onDemand, outage: outage, connect: connect}, outageEventTimes(onDemand)); got > bound {
						t.Errorf("got the drain up to %v after the recovery, want %v or less", got, bound)
					} else {
						t.Logf("the drain was applied up to %v after the recovery", got)
					}
				})
			}
		}
	}
}

// Guards against requests that are sent to a draining upstream after the grace of the settings, because discovery is asked at
// intervals that fit another grace: where lists are pushed, a drain is applied within the grace after discovery has it and can be
// reached, with responseTime left for connecting and for requests that are being sent.
func TestADrainIsAppliedWithinItsGrace(t *testing.T) {
	const responseTime = 150 * time.Millisecond
	for _, grace := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second} {
		for _, reloaded := range []bool{false, true} {
			for outage := range outages {
				t.Run(fmt.Sprintf("%v, reloaded %v, %s", grace, reloaded, outages[outage].name), func(t *testing.T) {
					t.Parallel()
					plan := outagePlan{outage: outage, connect: 200 * time.Millisecond, grace: grace, reloaded: reloaded}
					if got := runOutage(t, plan, outageEventTimes(false)); got > grace-responseTime {
						t.Errorf("got the drain up to %v after the recovery, want %v or less", got, grace-responseTime)
					}
				})
			}
		}
	}
}

// Guards against a list that is applied too late after SIGHUP: the first call to the new address is made at once, however the
// old one fails and however long the balancer's back-off still is. Even if that call is never answered, the list is applied
// within 4 s after the signal, the deadline by which sidecars have to follow it.
func TestAMovedListIsInHandInTime(t *testing.T) {
	for _, onDemand := range []bool{false, true} {
		for outage := range outages {
			t.Run(fmt.Sprintf("asks %v, %s", onDemand, outages[outage].name), func(t *testing.T) {
				t.Parallel()
				events := []eventTimes{{1017 * time.Millisecond, 0, 1500 * time.Millisecond}, {0, 15 * time.Second, 2 * time.Second}}
				if got := runOutage(t, outagePlan{onDemand: onDemand, moves: true, outage: outage, connect: 2200 * time.Millisecond}, events); got > 4*time.Second {
					t.Errorf("got the drain up to %v after the signal, want 4 s or less", got)
				}
			})
		}
	}
}

// Guards against a request that was decided on before a drain was known and is sent afterwards: its connection is established
// only after discovery has recovered or moved. Nothing is written to it, and the balancer may send the request elsewhere.
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
				connected, bytes := make(chan struct{}), make(chan int, 1)
				c.Settings.ConnectTimeout = time.Minute
				c.dial = func(context.Context, string, string) (net.Conn, error) {
					<-connected
					near, far := net.Pipe()
					go func() {
						buffer := make([]byte, 100)
						n, _ := far.Read(buffer)
						_ = far.Close()
						bytes <- n
					}()
					return near, nil
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
				close(connected)
				rep, n := <-ended, <-bytes
				if drains && (n != 0 || rep.result != balancer.NotSent) {
					t.Errorf("moves %v: got %d bytes after the drain, result %d, want 0, %d", moves, n, rep.result, balancer.NotSent)
				}
				if !drains && n == 0 {
					t.Errorf("moves %v: got 0 bytes without a drain, want the request", moves)
				}
				cancel()
				running.Wait()
			})
		}
	}
}
