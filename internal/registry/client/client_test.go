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
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"mosslead/internal/registry/api"
	"mosslead/internal/watch"
)

func list(index int64, names ...string) api.WatchEvent {
	l := api.WatchEvent{Revision: index, Snapshot: true, Endpoints: []api.Endpoint{}}
	for _, name := range names {
		name, status, has := strings.Cut(name, "=")
		if !has {
			status = api.Ready
		}
		l.Endpoints = append(l.Endpoints, api.Endpoint{Name: name, Address: "127.0.0.1:1", Status: status})
	}
	return l
}

func TestDoubt(t *testing.T) {
	change := func(l api.WatchEvent) api.WatchEvent { l.Snapshot = false; return l }
	for _, x := range []struct {
		name   string
		next   api.WatchEvent
		doubts bool
		binds  string // names that are taken out at once
	}{
		{"a later list", list(6, "a"), false, ""},
		{"the same list again", list(5, "a", "b"), false, ""},
		{"a version that goes back", list(4, "a", "b"), true, ""},
		{"one that goes back, and drains", list(4, "a=Terminating", "c=Gone"), true, "a"},
		{"nobody at all", list(7), true, ""},
		{"all drain", list(7, "a=Terminating", "b=Terminating"), true, "a b"},
		{"a change that takes all away, one by one", change(list(7, "a=Gone", "b=Gone")), false, ""},
		{"a change that goes back", change(list(3, "b=Gone")), true, "b"},
	} {
		d := &plausibility{}
		d.accept(list(5, "a", "b"))
		if got := d.anomaly(x.next) != ""; got != x.doubts {
			t.Errorf("%s: doubted is %v", x.name, got)
			continue
		}
		if !x.doubts {
			continue
		}
		bound, _ := d.drainsOnly(x.next)
		var names []string
		for _, e := range bound.Endpoints {
			names = append(names, e.Name)
		}
		if got := strings.Join(names, " "); got != x.binds || bound.Snapshot || bound.Revision != 5 {
			t.Errorf("%s: binds %q of version %d", x.name, got, bound.Revision)
		}
	}
}

// A thousand clients that fail together do not come back together, and none wears a service down that always fails.
func TestBackoffSpreadsAndIsBounded(t *testing.T) {
	const clients = 1000
	at := func(i int) time.Time { return time.Unix(0, 0) }
	buckets := map[time.Duration]int{}
	for i := range clients {
		var retry backoff
		buckets[retry.next(at(i), float64(i)/clients).Truncate(20*time.Millisecond)]++
	}
	for bucket, n := range buckets {
		if n > clients/5 {
			t.Errorf("%d of %d come back within 20 ms after %v", n, clients, bucket)
		}
	}
	var retry backoff
	now, attempts := time.Unix(0, 0), 0
	for end := now.Add(time.Minute); now.Before(end); attempts++ {
		now = now.Add(retry.next(now, 0)) // the least that chance allows
	}
	if limit := retryBurst + int(time.Minute/retryRefill) + int(2*time.Minute/retryRefill); attempts > limit {
		t.Errorf("%d tries in a minute", attempts)
	}
}

// startListServer answers lists and watches with what answer gives, line by line; an empty one ends the watch.
func startListServer(t *testing.T, answer func(watch bool, from string, n int) []api.WatchEvent) string {
	t.Helper()
	var n atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		watch := r.FormValue("watch") != ""
		for _, l := range answer(watch, r.FormValue("from"), int(n.Add(1))) {
			_ = json.NewEncoder(w).Encode(l)
		}
		if watch && r.FormValue("from") != "-1" {
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// A replica that empties the list is not believed while another knows better, and is once the second read says the same.
func TestAnEmptyListIsReadTwice(t *testing.T) {
	for _, confirmed := range []bool{false, true} {
		second := startListServer(t, func(watch bool, _ string, _ int) []api.WatchEvent {
			if confirmed {
				return []api.WatchEvent{list(9)}
			}
			return []api.WatchEvent{list(9, "a", "b")}
		})
		liar := startListServer(t, func(bool, string, int) []api.WatchEvent { return []api.WatchEvent{list(8)} })
		c := New([]string{liar, second})
		c.currentIndex = 0
		ctx, cancel := context.WithCancel(t.Context())
		var took []int
		start := list(5, "a")
		c.Watch(ctx, &start, Watcher{Apply: func(l api.WatchEvent) error {
			took = append(took, len(l.Endpoints))
			cancel()
			return nil
		}, OnError: func(string, error) {}})
		want := []int{2}
		if confirmed {
			want = []int{0}
		}
		if !slices.Equal(took, want) {
			t.Errorf("confirmed %v: took lists of %v, want %v", confirmed, took, want)
		}
		c.Close()
	}
}

// A watch that ends goes on at another replica, from the version that it has.
func TestWatchGoesOnElsewhere(t *testing.T) {
	var from atomic.Value
	ends := startListServer(t, func(_ bool, f string, _ int) []api.WatchEvent { return []api.WatchEvent{list(3, "a")} }) // from -1: it ends
	other := startListServer(t, func(_ bool, f string, _ int) []api.WatchEvent {
		from.Store(f)
		return []api.WatchEvent{list(4, "a", "b")}
	})
	c := New([]string{ends, other})
	c.currentIndex = 0
	defer c.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c.Watch(ctx, nil, Watcher{Apply: func(l api.WatchEvent) error {
		if l.Revision == 4 {
			cancel()
		}
		return nil
	}, OnError: func(string, error) {}})
	if from.Load() != "3" {
		t.Errorf("went on from %v", from.Load())
	}
}

// A replica that falls silent costs a few seconds: the next is asked beside it, from the version that is held.
func TestSilentReplicaIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked := ""
		c := New([]string{"127.0.0.1:1", "127.0.0.1:2"})
		c.currentIndex = 0
		c.http.Transport.(*http.Transport).DialContext = func(_ context.Context, _, at string) (net.Conn, error) {
			ours, theirs := net.Pipe()
			go func() {
				req, err := http.ReadRequest(bufio.NewReader(theirs))
				if err != nil {
					return
				}
				l := list(3, "a")
				if at != "127.0.0.1:1" {
					asked, l = req.FormValue("from"), list(4, "a", "b")
				}
				line, _ := json.Marshal(l)
				_, _ = fmt.Fprintf(theirs, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(line), line)
				_, _ = io.Copy(io.Discard, theirs)
			}()
			return ours, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		begun, took := time.Now(), time.Duration(0)
		c.Watch(ctx, nil, Watcher{Apply: func(l api.WatchEvent) error {
			if l.Revision == 4 {
				took = time.Since(begun)
				cancel()
			}
			return nil
		}, OnError: func(string, error) {}})
		if took != watch.Silence || asked != "3" {
			t.Errorf("went on after %v from %q", took, asked)
		}
	})
}

// What may have been carried out is not asked again, unless twice is the same as once.
func TestConditionalWritesAreNotRepeated(t *testing.T) {
	var calls atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = conn.Close() // after it was read: nobody knows what came of it
		}
	}))
	defer s.Close()
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = gone.Close()
	c := New([]string{gone.Addr().String(), strings.TrimPrefix(s.URL, "http://")})
	c.currentIndex = 0
	defer c.Close()
	version := int64(1)
	_, err = c.Register(t.Context(), "a", api.Registration{Address: "127.0.0.1:1", IfRevision: &version})
	if !api.IsCode(err, api.CodeOutcomeUnknown) || calls.Load() != 1 {
		t.Errorf("%v after %d calls", err, calls.Load())
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	_, err = c.Register(ctx, "a", api.Registration{Address: "127.0.0.1:1"})
	if !errors.Is(err, context.DeadlineExceeded) || calls.Load() < 3 {
		t.Errorf("%v after %d calls", err, calls.Load())
	}
}

func TestAddresses(t *testing.T) {
	for text, want := range map[string]string{"127.0.0.1:1,127.0.0.2:1": "[127.0.0.1:1 127.0.0.2:1]", "a": "", "127.0.0.1:1,": "", "a:1,a:1": ""} {
		got, err := Addresses(text)
		if (err != nil) != (want == "") || err == nil && fmt.Sprint(got) != want {
			t.Errorf("%q: %v, %v", text, got, err)
		}
	}
}

// Guards against a call that ends with its time and does not say why it failed: the try that was cut short knows nothing.
func TestACallThatIsCutShortSaysWhatFailedBefore(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	attempts := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if attempts++; attempts == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(w).Encode(api.Errorf(api.CodeNoLeader, "nobody leads"))
			return
		}
		cancel()
		<-r.Context().Done()
	}))
	defer s.Close()
	c := New([]string{s.Listener.Addr().String()})
	defer c.Close()
	if _, err := c.Record(ctx, "u", false); !errors.Is(err, context.Canceled) || !api.IsCode(err, api.CodeNoLeader) {
		t.Errorf("%v", err)
	}
}

// Guards against an operator's word that is carried out a second time, over what was said since: a try without an answer is void once
// the entry has changed, whether it was carried out or not, and the next is based on what is there then.
func TestAnOperatorsWordIsNotCarriedOutLate(t *testing.T) {
	for name, x := range map[string]struct {
		hands    []string // the entry's, at each read; its version is 5, and one more at each
		outcomes []int    // of the tries
		based    []int64
		version  int64
	}{
		"at once":                              {[]string{""}, []int{200}, []int64{5}, 50},
		"it stands already":                    {[]string{"drain"}, nil, nil, 5},
		"carried out, and no answer":           {[]string{"", "drain"}, []int{504}, []int64{5}, 6},
		"not carried out, and no answer":       {[]string{"", ""}, []int{504, 200}, []int64{5, 6}, 50},
		"somebody else was first":              {[]string{"", "ban"}, []int{409, 200}, []int64{5, 6}, 50},
		"no answer, and then somebody else is": {[]string{"", "ban", ""}, []int{504, 409, 200}, []int64{5, 6, 7}, 50},
	} {
		t.Run(name, func(t *testing.T) {
			reads, based := 0, []int64(nil)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet {
					if r.FormValue("consistent") == "" {
						t.Error("read what may be old")
					}
					_ = json.NewEncoder(w).Encode(api.Record{Revision: int64(5 + reads), AdminState: x.hands[reads]})
					reads++
					return
				}
				var change api.StateChange
				if err := json.NewDecoder(r.Body).Decode(&change); err != nil || change.AdminState != "drain" || change.IfRevision == nil {
					t.Errorf("asked for %+v, %v", change, err)
					return
				}
				based = append(based, *change.IfRevision)
				status := x.outcomes[len(based)-1]
				w.WriteHeader(status)
				if status == 200 {
					_ = json.NewEncoder(w).Encode(api.WriteResult{Revision: 50})
					return
				}
				_ = json.NewEncoder(w).Encode(api.Errorf(map[int]string{504: api.CodeOutcomeUnknown, 409: api.CodeConflict}[status], "test"))
			}))
			defer s.Close()
			c := New([]string{s.Listener.Addr().String()})
			defer c.Close()
			version, err := c.SetAdminState(t.Context(), "u", "drain")
			if err != nil || version != x.version || !slices.Equal(based, x.based) || reads != len(x.hands) {
				t.Errorf("version %d, %v; tries based on %v, %d reads", version, err, based, reads)
			}
		})
	}
}
