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

// list returns a full list at a revision; a name may be followed by "=" and the status, which is Ready otherwise.
func list(revision int64, names ...string) api.WatchEvent {
	l := api.WatchEvent{Revision: revision, Snapshot: true, Endpoints: []api.Endpoint{}}
	for _, name := range names {
		name, status, ok := strings.Cut(name, "=")
		if !ok {
			status = api.Ready
		}
		l.Endpoints = append(l.Endpoints, api.Endpoint{Name: name, Address: "127.0.0.1:1", Status: status})
	}
	return l
}

func TestDoubt(t *testing.T) {
	change := func(l api.WatchEvent) api.WatchEvent { l.Snapshot = false; return l }
	for _, test := range []struct {
		name        string
		event       api.WatchEvent
		implausible bool
		drains      string // names that are drained at once
	}{
		{"a later list", list(6, "a"), false, ""},
		{"the same list again", list(5, "a", "b"), false, ""},
		{"a lower revision", list(4, "a", "b"), true, ""},
		{"a lower revision that drains", list(4, "a=Terminating", "c=Gone"), true, "a"},
		{"an empty list", list(7), true, ""},
		{"a list where all drain", list(7, "a=Terminating", "b=Terminating"), true, "a b"},
		{"a change that removes all", change(list(7, "a=Gone", "b=Gone")), false, ""},
		{"a change with a lower revision", change(list(3, "b=Gone")), true, "b"},
	} {
		p := &plausibility{}
		p.accept(list(5, "a", "b"))
		if got := p.anomaly(test.event) != ""; got != test.implausible {
			t.Errorf("%s: got implausible %v, want %v", test.name, got, test.implausible)
			continue
		}
		if !test.implausible {
			continue
		}
		drains, _ := p.drainsOnly(test.event)
		var names []string
		for _, e := range drains.Endpoints {
			names = append(names, e.Name)
		}
		if got := strings.Join(names, " "); got != test.drains || drains.Snapshot || drains.Revision != 5 {
			t.Errorf("%s: got drains %q at revision %d, snapshot %v; want %q at revision 5, no snapshot", test.name, got, drains.Revision, drains.Snapshot, test.drains)
		}
	}
}

// Checks that 1000 clients that fail at the same time do not retry at the same time, and that the number of retries is bounded
// while a service keeps failing.
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
			t.Errorf("got %d of %d retries within 20 ms after %v, want %d at most", n, clients, bucket, clients/5)
		}
	}
	var retry backoff
	now, attempts := time.Unix(0, 0), 0
	for end := now.Add(time.Minute); now.Before(end); attempts++ {
		now = now.Add(retry.next(now, 0)) // the shortest waits
	}
	if limit := retryBurst + int(time.Minute/retryRefill) + int(2*time.Minute/retryRefill); attempts > limit {
		t.Errorf("got %d attempts in a minute, want %d at most", attempts, limit)
	}
}

// startListServer starts a server that responds to reads and watches with the given events, one per line, and returns
// its address. A watch from revision -1 ends after them; any other stays open.
func startListServer(t *testing.T, events func(watch bool, from string, requests int) []api.WatchEvent) string {
	t.Helper()
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		watch := r.FormValue("watch") != ""
		for _, event := range events(watch, r.FormValue("from"), int(requests.Add(1))) {
			_ = json.NewEncoder(w).Encode(event)
		}
		if watch && r.FormValue("from") != "-1" {
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Checks that an empty list is not applied if a second read at another replica returns endpoints, and is applied if the second read
// confirms it.
func TestAnEmptyListIsReadTwice(t *testing.T) {
	for _, confirmed := range []bool{false, true} {
		second := startListServer(t, func(watch bool, _ string, _ int) []api.WatchEvent {
			if confirmed {
				return []api.WatchEvent{list(9)}
			}
			return []api.WatchEvent{list(9, "a", "b")}
		})
		first := startListServer(t, func(bool, string, int) []api.WatchEvent { return []api.WatchEvent{list(8)} })
		c := New([]string{first, second})
		c.currentIndex = 0
		ctx, cancel := context.WithCancel(t.Context())
		var sizes []int
		start := list(5, "a")
		c.Watch(ctx, &start, Watcher{Apply: func(event api.WatchEvent) error {
			sizes = append(sizes, len(event.Endpoints))
			cancel()
			return nil
		}, OnError: func(string, error) {}})
		want := []int{2}
		if confirmed {
			want = []int{0}
		}
		if !slices.Equal(sizes, want) {
			t.Errorf("confirmed %v: got lists of %v endpoints applied, want %v", confirmed, sizes, want)
		}
		c.Close()
	}
}

// Checks that a watch that ends is continued at another replica, from the known revision.
func TestWatchGoesOnElsewhere(t *testing.T) {
	var from atomic.Value
	ends := startListServer(t, func(_ bool, fromParam string, _ int) []api.WatchEvent { return []api.WatchEvent{list(3, "a")} }) // called with from=-1, so that startListServer ends the watch
	other := startListServer(t, func(_ bool, fromParam string, _ int) []api.WatchEvent {
		from.Store(fromParam)
		return []api.WatchEvent{list(4, "a", "b")}
	})
	c := New([]string{ends, other})
	c.currentIndex = 0
	defer c.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c.Watch(ctx, nil, Watcher{Apply: func(event api.WatchEvent) error {
		if event.Revision == 4 {
			cancel()
		}
		return nil
	}, OnError: func(string, error) {}})
	if from.Load() != "3" {
		t.Errorf("got a watch from %v, want from 3", from.Load())
	}
}

// Checks that a call from the known revision goes to another replica once the one in use has been silent for watch.Silence.
func TestSilentReplicaIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from := ""
		c := New([]string{"127.0.0.1:1", "127.0.0.1:2"})
		c.currentIndex = 0
		c.http.Transport.(*http.Transport).DialContext = func(_ context.Context, _, address string) (net.Conn, error) {
			clientConn, serverConn := net.Pipe()
			go func() {
				req, err := http.ReadRequest(bufio.NewReader(serverConn))
				if err != nil {
					return
				}
				event := list(3, "a")
				if address != "127.0.0.1:1" {
					from, event = req.FormValue("from"), list(4, "a", "b")
				}
				line, _ := json.Marshal(event)
				_, _ = fmt.Fprintf(serverConn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(line), line)
				_, _ = io.Copy(io.Discard, serverConn)
			}()
			return clientConn, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		started, elapsed := time.Now(), time.Duration(0)
		c.Watch(ctx, nil, Watcher{Apply: func(event api.WatchEvent) error {
			if event.Revision == 4 {
				elapsed = time.Since(started)
				cancel()
			}
			return nil
		}, OnError: func(string, error) {}})
		if elapsed != watch.Silence || from != "3" {
			t.Errorf("got the next list after %v by a watch from %q, want after %v from 3", elapsed, from, watch.Silence)
		}
	})
}

// Checks that a call that may have been carried out is not repeated, unless it is idempotent.
func TestConditionalWritesAreNotRepeated(t *testing.T) {
	var calls atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_ = conn.Close() // after the request was read, so that its outcome is unknown
		}
	}))
	defer s.Close()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	c := New([]string{closed.Addr().String(), strings.TrimPrefix(s.URL, "http://")})
	c.currentIndex = 0
	defer c.Close()
	revision := int64(1)
	_, err = c.Register(t.Context(), "a", api.Registration{Address: "127.0.0.1:1", IfRevision: &revision})
	if !api.IsCode(err, api.CodeOutcomeUnknown) || calls.Load() != 1 {
		t.Errorf("conditional write: got error %v after %d calls, want code %q after 1", err, calls.Load(), api.CodeOutcomeUnknown)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	_, err = c.Register(ctx, "a", api.Registration{Address: "127.0.0.1:1"})
	if !errors.Is(err, context.DeadlineExceeded) || calls.Load() < 3 {
		t.Errorf("idempotent write: got error %v after %d calls, want %v after 3 or more", err, calls.Load(), context.DeadlineExceeded)
	}
}

func TestAddresses(t *testing.T) {
	for text, want := range map[string]string{"127.0.0.1:1,127.0.0.2:1": "[127.0.0.1:1 127.0.0.2:1]", "a": "", "127.0.0.1:1,": "", "a:1,a:1": ""} {
		got, err := Addresses(text)
		if (err != nil) != (want == "") || err == nil && fmt.Sprint(got) != want {
			t.Errorf("%q: got %v, error %v; want %q, or an error if that is empty", text, got, err, want)
		}
	}
}

// Guards against an error that contains only the end of the context: that end cuts the last attempt short, so the error must also
// contain the failure of the attempt before.
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
		t.Errorf("got error %v, want one that wraps %v and code %q", err, context.Canceled, api.CodeNoLeader)
	}
}

// Guards against an operator's change that is carried out late and overrides a newer one. An attempt whose response was lost must be
// conditional on a revision, so that it fails once the entry has changed, and the next attempt is based on the entry as read then.
func TestAnOperatorsWordIsNotCarriedOutLate(t *testing.T) {
	for name, test := range map[string]struct {
		states   []string // administrative state at each read; the revision is 5 at the first read, and rises by one with each
		outcomes []int    // HTTP status of each attempt
		based    []int64  // revision that each attempt is conditional on
		revision int64    // result
	}{
		"first attempt succeeds":         {[]string{""}, []int{200}, []int64{5}, 50},
		"set already":                    {[]string{"drain"}, nil, nil, 5},
		"carried out, response lost":     {[]string{"", "drain"}, []int{504}, []int64{5}, 6},
		"not carried out, response lost": {[]string{"", ""}, []int{504, 200}, []int64{5, 6}, 50},
		"conflict with another change":   {[]string{"", "ban"}, []int{409, 200}, []int64{5, 6}, 50},
		"response lost, then a conflict": {[]string{"", "ban", ""}, []int{504, 409, 200}, []int64{5, 6, 7}, 50},
	} {
		t.Run(name, func(t *testing.T) {
			reads, based := 0, []int64(nil)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet {
					if r.FormValue("consistent") == "" {
						t.Error("got a read without consistent=1, want a consistent read")
					}
					_ = json.NewEncoder(w).Encode(api.Record{Revision: int64(5 + reads), AdminState: test.states[reads]})
					reads++
					return
				}
				var change api.StateChange
				if err := json.NewDecoder(r.Body).Decode(&change); err != nil || change.AdminState != "drain" || change.IfRevision == nil {
					t.Errorf("got request %+v, error %v; want state drain with a revision", change, err)
					return
				}
				based = append(based, *change.IfRevision)
				status := test.outcomes[len(based)-1]
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
			revision, err := c.SetAdminState(t.Context(), "u", "drain")
			if err != nil || revision != test.revision || !slices.Equal(based, test.based) || reads != len(test.states) {
				t.Errorf("got revision %d, error %v, attempts based on %v, %d reads; want revision %d, attempts based on %v, %d reads", revision, err, based, reads, test.revision, test.based, len(test.states))
			}
		})
	}
}
