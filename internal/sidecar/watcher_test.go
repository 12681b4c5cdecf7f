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

// startWatcher runs a watcher as a module would that asks again at once.
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
		t.Fatal("nothing was reported")
		panic("unreachable")
	}
}

// Guards against a list that differs from discovery's: changes apply to what is known, a snapshot replaces it.
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
		t.Errorf("changes told as %+v", m)
	}
	if m = nextUpdate(t, updates); m.Kind != balancer.FullState || len(m.Endpoints) != 1 {
		t.Errorf("snapshot told as %+v", m)
	}
	for name, want := range map[string]bool{"a": false, "b": false, "c": true} {
		if _, ok := dir.address(name); ok != want {
			t.Errorf("%s wants requests: %v", name, ok)
		}
	}
	if froms := d.watches(); !slices.Equal(froms, []string{"1"}) {
		t.Errorf("watches from %v", froms)
	}
}

// Guards against a list lost to a bad line: the last good one stays, and is asked for again from there.
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
				t.Errorf("told %+v", m)
			}
			if m := nextUpdate(t, updates); m.Kind != balancer.WatchFailed {
				t.Errorf("told %+v", m)
			}
			eventually(t, "asked again", func() bool { return len(d.watches()) == 2 })
			if froms := d.watches(); froms[1] != "7" {
				t.Errorf("asked again from %s", froms[1])
			}
			if _, ok := dir.address("a"); !ok {
				t.Error("the good list is lost")
			}
		})
	}
}

// Guards against a watch that is taken for not yet answered because there is no news: an empty line answers it.
func TestWatchWithoutChangesIsAnswered(t *testing.T) {
	d := newDiscovery(t, func(_ int, send func(string), done <-chan struct{}) {
		send("")
		send("")
		send(list(9, false))
		<-done
	})
	dir, updates := startWatcher(t, d, entry("a", "127.0.0.2:1", "Ready"))
	for range 2 { // the answer and the news, nothing for the second empty line
		if m := nextUpdate(t, updates); m.Kind != balancer.Delta || len(m.Endpoints) != 0 {
			t.Errorf("told %+v", m)
		}
	}
	if len(updates) != 0 {
		t.Errorf("told %+v too", <-updates)
	}
	if _, ok := dir.address("a"); !ok {
		t.Error("the known list is lost")
	}
}

// Guards against a list that stands still where nobody asks for it: a pushed list is watched again by itself,
// and the balancer hears of no failure of a call that it did not make.
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
			t.Errorf("told %+v", m)
		}
	}
	if froms := d.watches(); !slices.Equal(froms, []string{"1", "7"}) {
		t.Errorf("watches from %v", froms)
	}
}

// Guards against a new process taken for an old one: its age tells the balancer how warm it is. Also one that
// started before this sidecar did.
func TestSinceIsOnTheSidecarsClock(t *testing.T) {
	clk := newClock()
	if got := clk.fromUnixMs(0); got != 0 {
		t.Errorf("long ago is %v", got)
	}
	since := float64(clk.start.Add(-3 * time.Second).UnixMilli())
	if got := clk.fromUnixMs(since) - clockStart; got > -2900*time.Millisecond || got < -3100*time.Millisecond {
		t.Errorf("3 s before the start is %v", got)
	}
	if got := clk.fromUnixMs(1); got != 0 {
		t.Errorf("1970 is %v", got)
	}
}

// Guards against a list that stands still after discovery has moved: the watch goes on at the new address from the
// version that it had, whether it was standing or waiting to be opened again, and no failure is told.
func TestMovedDiscoveryIsFollowed(t *testing.T) {
	for _, onDemand := range []bool{true, false} {
		for _, stood := range []bool{true, false} {
			before := newDiscovery(t, func(_ int, send func(string), done <-chan struct{}) {
				send(list(5, false))
				if stood || onDemand {
					<-done
				}
			})
			after := newDiscovery(t, func(_ int, send func(string), done <-chan struct{}) {
				send(list(6, false, entry("b", "127.0.0.2:2", "Ready")))
				<-done
			})
			updates := make(chan balancer.EndpointUpdate, 64)
			u := testUpstreams(t, 4)
			w := newWatcher(testConfig(t, before.address), u.directory, func(m balancer.EndpointUpdate) { updates <- m })
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				w.run(ctx, onDemand)
				close(done)
			}()
			w.subscribe()
			if m := nextUpdate(t, updates); m.Kind != balancer.Delta {
				t.Errorf("told %+v", m)
			}
			w.move(after.address)
			for {
				m := nextUpdate(t, updates)
				if m.Kind == balancer.WatchFailed {
					t.Error("a move was told as a failure")
				}
				if len(m.Endpoints) == 1 {
					break
				}
			}
			if from := after.watches(); from[0] != "5" {
				t.Errorf("asked at the new address from %s", from[0])
			}
			cancel()
			<-done
		}
	}
}

// Guards against a line that crosses SIGHUP and is never read: what the old discovery has written counts as told, also while the
// new one does not answer, whoever asks for the list. Versions are asked on from there.
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
						ours, theirs := net.Pipe()
						go func() {
							if _, err := http.ReadRequest(bufio.NewReader(theirs)); err == nil && address == "127.0.0.1:1" {
								_, _ = io.WriteString(theirs, outageHead+chunked(list(5, false)))
								<-move
								time.Sleep(late)
								_, _ = io.WriteString(theirs, chunked(list(6, false, entry("a", "127.0.0.2:1", "Terminating"))))
							}
							_, _ = io.Copy(io.Discard, theirs)
						}()
						return ours, nil
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
						t.Errorf("version %d is in use, and takes work: %v", *u.directory.fullList().Revision, ok)
					}
					cancel()
					<-done
				})
			})
		}
	}
}

// scriptDiscovery sets up agents of discovery in memory: each connection runs script with its address and number at that address, from
// 1, and then stays open. Not answering is silence; script ends the answer where it says so, and nil lines refuse.
func scriptDiscovery(w *watcher, script func(address string, n int) (refuses bool, lines []string, ends bool)) *[]time.Time {
	dials, numbers := &[]time.Time{}, map[string]int{}
	w.client.Transport.(*http.Transport).DialContext = func(_ context.Context, _, address string) (net.Conn, error) {
		*dials = append(*dials, time.Now())
		numbers[address]++
		refuses, lines, ends := script(address, numbers[address])
		if refuses {
			return nil, errors.New("refused")
		}
		ours, theirs := net.Pipe()
		go func() {
			if _, err := http.ReadRequest(bufio.NewReader(theirs)); err != nil || lines == nil {
				return
			}
			text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
			for _, line := range lines {
				text += fmt.Sprintf("%x\r\n%s\n\r\n", len(line)+1, line)
			}
			if ends {
				text += "0\r\n\r\n"
			}
			_, _ = io.WriteString(theirs, text)
			_, _ = io.Copy(io.Discard, theirs)
		}()
		return ours, nil
	}
	return dials
}

// Guards against a list that comes too late where pushed lists bind whether or not they were heard: silence within the
// 4 s after SIGHUP, with a successor that is never answered; an agent that ends the watch, is gone for a while, and has a
// list that came meanwhile, which binds 3 s after its return.
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
					t.Fatalf("version %d at the start", got)
				}
				if x.moves {
					w.move("127.0.0.2:1")
				}
				time.Sleep(x.within)
				synctest.Wait()
				if got := *w.dir.fullList().Revision; got != 7 {
					t.Errorf("version %d after %v", got, x.within)
				}
				for i, at := range (*dials)[1:] {
					if gap := at.Sub((*dials)[i]); gap > 2500*time.Millisecond {
						t.Errorf("not asked for %v", gap)
					}
				}
				cancel()
				<-done
			})
		})
	}
}
