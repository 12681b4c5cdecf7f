package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"mosslead/balancer"
)

// startWatcher runs a watcher on demand, and subscribes again at once after each failure.
func startWatcher(t *testing.T, d *fakeDiscovery, known ...string) (*endpointDirectory, chan balancer.EndpointUpdate) {
	t.Helper()
	updates := make(chan balancer.EndpointUpdate, 64)
	u := testUpstreams(t, 4, known...)
	var w *watcher
	w = newWatcher(testConfig(t, d.address, known...), u.directory, func(m balancer.EndpointUpdate) {
		updates <- m
		if m.Kind == balancer.WatchFailed {
			w.subscribe()
		}
	})
	done := make(chan struct{})
	go func() {
		w.run(t.Context(), true) // ends before the cleanups
		close(done)
	}()
	t.Cleanup(func() { <-done })
	w.subscribe()
	return u.directory, updates
}

func nextUpdate(t *testing.T, updates chan balancer.EndpointUpdate) balancer.EndpointUpdate {
	t.Helper()
	select {
	case m := <-updates:
		return m
	case <-time.After(testTimeout):
		t.Fatal("got no update in time")
		panic("unreachable")
	}
}

// Guards against a list that differs from that of discovery: changes apply to the known list, a snapshot replaces it.
func TestWatchFollowsTheList(t *testing.T) {
	d := newDiscovery(t, func(_ int, send func(string), done <-chan struct{}) {
		send(list(5, false, entry("b", "127.0.0.2:2", "Ready"), entry("a", "127.0.0.2:1", "Terminating")))
		send("")
		send(`{"index":6,"snapshot":true,"new_field":[1],"endpoints":[` + entry("c", "127.0.0.2:3", "Ready") + `]}`)
		<-done
	})
	dir, updates := startWatcher(t, d, entry("a", "127.0.0.2:1", "Ready"))
	m := nextUpdate(t, updates)
	if m.Kind != balancer.Delta || len(m.Endpoints) != 2 || m.Endpoints[0].State != balancer.Active ||
		m.Endpoints[1].State != balancer.Draining || m.Endpoints[0].Machine != "m" || m.Endpoints[0].Zone != "a" ||
		m.Endpoints[0].Weight != 3 {
		t.Errorf("got update %+v, want a delta with b, active, on machine m in zone a with weight 3, and a, draining", m)
	}
	if m = nextUpdate(t, updates); m.Kind != balancer.FullState || len(m.Endpoints) != 1 {
		t.Errorf("got update %+v, want the full state with 1 endpoint", m)
	}
	for name, want := range map[string]bool{"a": false, "b": false, "c": true} {
		if _, ok := dir.address(name); ok != want {
			t.Errorf("%s accepts requests: got %v, want %v", name, ok, want)
		}
	}
	if froms := d.watches(); !slices.Equal(froms, []string{"1"}) {
		t.Errorf("got watches that start at revisions %v, want [1]", froms)
	}
}

// Guards against the loss of the list after a malformed line: the last good list stays in use, and the next watch requests
// changes from its revision on.
func TestMalformedLines(t *testing.T) {
	for name, bad := range map[string]string{
		"not JSON":   `{"index":8]`,
		"no index":   `{"snapshot":true,"endpoints":[]}`,
		"no name":    list(8, true, entry("", "127.0.0.2:2", "Ready")),
		"no address": list(8, true, entry("b", "", "Ready")),
		"a host":     list(8, true, entry("b", "elsewhere.example:80", "Ready")),
		"too long":   list(8, true, entry(strings.Repeat("b", maxList), "127.0.0.2:2", "Ready")),
	} {
		t.Run(name, func(t *testing.T) {
			d := newDiscovery(t, func(n int, send func(string), done <-chan struct{}) {
				if n == 1 {
					send(list(7, false))
					send(bad)
				}
				<-done
			})
			dir, updates := startWatcher(t, d, entry("a", "127.0.0.2:1", "Ready"))
			if m := nextUpdate(t, updates); m.Kind != balancer.Delta {
				t.Errorf("got update %+v, want kind %d", m, balancer.Delta)
			}
			if m := nextUpdate(t, updates); m.Kind != balancer.WatchFailed {
				t.Errorf("got update %+v, want kind %d", m, balancer.WatchFailed)
			}
			eventually(t, "a second watch", func() bool { return len(d.watches()) == 2 })
			if froms := d.watches(); froms[1] != "7" {
				t.Errorf("got a second watch that starts at revision %s, want 7", froms[1])
			}
			if _, ok := dir.address("a"); !ok {
				t.Error("got no address for a, want the one of the last good list")
			}
		})
	}
}

// Guards against a watch that counts as unanswered because there are no changes: an empty line is an answer.
func TestWatchWithoutChangesIsAnswered(t *testing.T) {
	answered := make(chan struct{}) // closed once the first update has come: lines that are read at once give one update
	d := newDiscovery(t, func(_ int, send func(string), done <-chan struct{}) {
		send("")
		send("")
		select {
		case <-answered:
		case <-done:
		}
		send(list(9, false))
		<-done
	})
	dir, updates := startWatcher(t, d, entry("a", "127.0.0.2:1", "Ready"))
	for i := range 2 { // one update for the answer and one for the changes, none for the second empty line
		if m := nextUpdate(t, updates); m.Kind != balancer.Delta || len(m.Endpoints) != 0 {
			t.Errorf("got update %+v, want kind %d without endpoints", m, balancer.Delta)
		}
		if i == 0 {
			close(answered)
		}
	}
	if len(updates) != 0 {
		t.Errorf("got a third update %+v, want two", <-updates)
	}
	if _, ok := dir.address("a"); !ok {
		t.Error("got no address for a, want the one of the known list")
	}
}

// Guards against a list that is no longer updated after its watch has ended. If discovery pushes the list (the balancer did
// not subscribe), the watcher opens a new watch by itself, and reports no failed watch to the balancer.
func TestPushedListIsWatchedAgain(t *testing.T) {
	d := newDiscovery(t, func(n int, send func(string), done <-chan struct{}) {
		send(list(6+n, false))
		if n > 1 {
			<-done
		}
	})
	updates := make(chan balancer.EndpointUpdate, 4)
	w := newWatcher(testConfig(t, d.address), testUpstreams(t, 4).directory, func(m balancer.EndpointUpdate) { updates <- m })
	done := make(chan struct{})
	go func() {
		w.run(t.Context(), false)
		close(done)
	}()
	t.Cleanup(func() { <-done })
	for range 2 {
		if m := nextUpdate(t, updates); m.Kind != balancer.Delta {
			t.Errorf("got update %+v, want kind %d", m, balancer.Delta)
		}
	}
	if froms := d.watches(); !slices.Equal(froms, []string{"1", "7"}) {
		t.Errorf("got watches that start at revisions %v, want [1 7]", froms)
	}
}

// Guards against wrong start times of upstreams, also of those that started before this sidecar: the balancer derives from
// them how warm an upstream is.
func TestSinceIsOnTheSidecarsClock(t *testing.T) {
	clk := newClock()
	if got := clk.fromUnixMs(0); got != 0 {
		t.Errorf("got %v for 0, want 0", got)
	}
	since := float64(clk.start.Add(-3 * time.Second).UnixMilli())
	if got := clk.fromUnixMs(since) - clockStart; got > -2900*time.Millisecond || got < -3100*time.Millisecond {
		t.Errorf("got %v for 3 s before the start, want -3 s within 0.1 s", got)
	}
	if got := clk.fromUnixMs(1); got != 0 {
		t.Errorf("got %v for 1 ms after the start of 1970, want 0", got)
	}
}

// Guards against a list that is no longer updated after discovery has moved: the watch continues at the new address from its
// last version, whether it was open or waiting for the next call, and no failure is reported.
func TestMovedDiscoveryIsFollowed(t *testing.T) {
	for _, onDemand := range []bool{true, false} {
		for _, staysOpen := range []bool{true, false} {
			first := newDiscovery(t, func(_ int, send func(string), done <-chan struct{}) {
				send(list(5, false))
				if staysOpen || onDemand {
					<-done
				}
			})
			second := newDiscovery(t, func(_ int, send func(string), done <-chan struct{}) {
				send(list(6, false, entry("b", "127.0.0.2:2", "Ready")))
				<-done
			})
			updates := make(chan balancer.EndpointUpdate, 64)
			u := testUpstreams(t, 4)
			w := newWatcher(testConfig(t, first.address), u.directory, func(m balancer.EndpointUpdate) { updates <- m })
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				w.run(ctx, onDemand)
				close(done)
			}()
			w.subscribe()
			if m := nextUpdate(t, updates); m.Kind != balancer.Delta {
				t.Errorf("got update %+v, want kind %d", m, balancer.Delta)
			}
			w.move(second.address)
			for {
				m := nextUpdate(t, updates)
				if m.Kind == balancer.WatchFailed {
					t.Error("got a failure as the update after a move, want none")
				}
				if len(m.Endpoints) == 1 {
					break
				}
			}
			if from := second.watches(); from[0] != "5" {
				t.Errorf("got a first watch at the new address that starts at revision %s, want 5", from[0])
			}
			cancel()
			<-done
		}
	}
}

// Guards against the loss of a line that the old address writes at the time of SIGHUP: it is applied, also while the new
// address does not answer, with and without onDemand.
func TestALineThatCrossesAMoveIsRead(t *testing.T) {
	for _, onDemand := range []bool{true, false} {
		for _, late := range []time.Duration{0, time.Millisecond, time.Second} {
			t.Run(fmt.Sprintf("asks %v, %v after", onDemand, late), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					updates := make(chan balancer.EndpointUpdate, 64)
					u := testUpstreams(t, 4, entry("a", "127.0.0.2:1", "Ready"))
					w := newWatcher(testConfig(t, "127.0.0.1:1"), u.directory, func(m balancer.EndpointUpdate) { updates <- m })
					move := make(chan struct{})
					w.client.Transport.(*http.Transport).DialContext = func(_ context.Context, _, address string) (net.Conn, error) {
						near, far := net.Pipe()
						go func() {
							if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil && address == "127.0.0.1:1" {
								_, _ = io.WriteString(far, outageHead+chunked(list(5, false)))
								<-move
								time.Sleep(late)
								_, _ = io.WriteString(far, chunked(list(6, false, entry("a", "127.0.0.2:1", "Terminating"))))
							}
							_, _ = io.Copy(io.Discard, far)
						}()
						return near, nil
					}
					ctx, cancel := context.WithCancel(t.Context())
					done := make(chan struct{})
					go func() {
						w.run(ctx, onDemand)
						close(done)
					}()
					w.subscribe()
					synctest.Wait()
					close(move)
					w.move("127.0.0.2:1")
					time.Sleep(late + time.Millisecond)
					synctest.Wait()
					if _, ok := u.directory.address("a"); ok || *u.directory.fullList().Revision != 6 {
						t.Errorf("got revision %d, upstream a accepts requests: %v; want revision 6, false", *u.directory.fullList().Revision, ok)
					}
					cancel()
					<-done
				})
			})
		}
	}
}

// scriptDiscovery replaces the connections of w by ones to a discovery in memory, and returns the times of the dials. script gets
// the address and the number of the connection at that address, from 1. It returns whether the dial fails, the lines of the
// answer (nil if there is no answer), and whether the answer ends after them; the connection stays open in any case.
func scriptDiscovery(w *watcher, script func(address string, n int) (refuses bool, lines []string, ends bool)) *[]time.Time {
	dials, numbers := &[]time.Time{}, map[string]int{}
	w.client.Transport.(*http.Transport).DialContext = func(_ context.Context, _, address string) (net.Conn, error) {
		*dials = append(*dials, time.Now())
		numbers[address]++
		refuses, lines, ends := script(address, numbers[address])
		if refuses {
			return nil, errors.New("refused")
		}
		near, far := net.Pipe()
		go func() {
			if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil || lines == nil {
				return
			}
			text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
			for _, line := range lines {
				text += fmt.Sprintf("%x\r\n%s\n\r\n", len(line)+1, line)
			}
			if ends {
				text += "0\r\n\r\n"
			}
			_, _ = io.WriteString(far, text)
			_, _ = io.Copy(io.Discard, far)
		}()
		return near, nil
	}
	return dials
}

// Guards against a pushed list that is applied too late: sidecars have to follow it by a deadline, whether or not they have
// received it. In the first case, the watch at the new address falls silent, the next one is never answered, and the deadline is
// 4 s after SIGHUP. In the second case, discovery ends the watch, is down for 3.75 s, and has a new list, which sidecars have to
// follow 3 s after its return.
func TestListIsInHandWhenItBinds(t *testing.T) {
	for name, x := range map[string]struct {
		script func(address string, n int) (bool, []string, bool)
		moves  bool
		within time.Duration
	}{
		"silent after SIGHUP": {func(address string, n int) (bool, []string, bool) {
			switch {
			case address == "127.0.0.1:1":
				return false, []string{list(5, false)}, false
			case n == 1:
				return false, []string{list(6, false)}, false
			case n == 2:
				return false, nil, false
			}
			return false, []string{list(7, false)}, false
		}, true, 4 * time.Second},
		"gone for 3.75 s": {func(_ string, n int) (bool, []string, bool) {
			if n == 1 {
				return false, []string{list(5, false)}, true
			}
			return n < 6, []string{list(7, false)}, false
		}, false, 6 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWatcher(testConfig(t, "127.0.0.1:1"), newEndpointDirectory(newClock(), func(string) {}), func(balancer.EndpointUpdate) {})
				dials := scriptDiscovery(w, x.script)
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					w.run(ctx, false)
					close(done)
				}()
				synctest.Wait()
				if got := *w.dir.fullList().Revision; got != 5 {
					t.Fatalf("got revision %d at the start, want 5", got)
				}
				if x.moves {
					w.move("127.0.0.2:1")
				}
				time.Sleep(x.within)
				synctest.Wait()
				if got := *w.dir.fullList().Revision; got != 7 {
					t.Errorf("got revision %d after %v, want 7", got, x.within)
				}
				for i, at := range (*dials)[1:] {
					if gap := at.Sub((*dials)[i]); gap > 2500*time.Millisecond {
						t.Errorf("got %v between two dials, want 2.5 s or less", gap)
					}
				}
				cancel()
				<-done
			})
		})
	}
}
