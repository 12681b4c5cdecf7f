package watch

import (
	"bufio"
	"cmp"
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
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"
)

const (
	head  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	lineA = `{"index":1}` + "\n"
	lineB = `{"index":2}` + "\n"
)

type listMessage struct{ Index int }

var errRefused = errors.New("refused")

// step is an action of an agent on a connection: it waits, and then writes text.
type step struct {
	after time.Duration
	text  string
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// agent is a fake discovery agent. It plays one script for each connection, and the last script for all further ones; nil refuses the
// connection. Connections stay open after the script.
type agent struct {
	scripts [][]step
	started time.Time
	open    atomic.Int32

	mu         sync.Mutex
	fromParams []string
	callTimes  []time.Duration
	addresses  []string
	maxOpen    int32
}

// countedConn is a connection that is counted in open until it is closed.
type countedConn struct {
	net.Conn
	open   *atomic.Int32
	closed atomic.Bool
}

func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

func (a *agent) dial(_ context.Context, _, address string) (net.Conn, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	script := a.scripts[min(len(a.callTimes), len(a.scripts)-1)]
	a.callTimes = append(a.callTimes, time.Since(a.started))
	a.addresses = append(a.addresses, strings.TrimSuffix(address, ":80"))
	if script == nil {
		return nil, errRefused
	}
	a.maxOpen = max(a.maxOpen, a.open.Add(1))
	clientConn, serverConn := net.Pipe()
	go func() {
		req, err := http.ReadRequest(bufio.NewReader(serverConn))
		if err != nil {
			return
		}
		a.mu.Lock()
		a.fromParams = append(a.fromParams, req.FormValue("from"))
		a.mu.Unlock()
		for _, s := range script {
			time.Sleep(s.after)
			if _, err := io.WriteString(serverConn, s.text); err != nil {
				return
			}
		}
		_, _ = io.Copy(io.Discard, serverConn)
	}()
	return &countedConn{Conn: clientConn, open: &a.open}, nil
}

// Checks that whatever causes a silence, a change is applied within 6 s after the last byte received, or within 3 s after it can first
// be received; that there is never a third connection; and that an outage takes few calls.
func TestNewsIsInHandInTime(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	established := []step{{0, head}, {0, chunk(lineA)}, {ms(2000), chunk("\n")}} // the last byte is sent after 2 s
	changed := []step{{0, head}, {0, chunk(lineB)}}
	endless := append(slices.Clone(established), step{0, chunk(`{"index":0,"x":"`)})
	for range 100 {
		endless = append(endless, step{ms(500), chunk("x")})
	}
	bad := append([]step{{0, head}}, endless[len(established):]...)
	noResponse := []step{}
	for _, test := range []struct {
		name      string
		f         Follower[listMessage]
		scripts   [][]step
		appliedMs int // time at which the change is applied
		calls     int
		from      string // parameter of the last call
	}{
		{"silent after a line", Follower[listMessage]{}, [][]step{established, changed}, 4500, 2, "1"},
		{"silent in the middle of a line", Follower[listMessage]{}, [][]step{append(slices.Clone(established), step{0, chunk(lineB[:5])}), changed}, 4500, 2, "1"},
		{"silent, with empty lines within a message", Follower[listMessage]{}, [][]step{append(slices.Clone(established),
			step{0, chunk(lineB[:9])}, step{ms(2000), chunk("\n")}, step{ms(2000), chunk("\n")}), changed}, 4500, 2, "1"},
		{"a line without end, a byte at a time", Follower[listMessage]{}, [][]step{endless, changed}, 4500, 2, "1"},
		{"a line without end, a byte at a time, on three calls", Follower[listMessage]{}, [][]step{endless, bad, bad, changed}, 9500, 4, "1"},
		{"silent, and the next two calls get no response", Follower[listMessage]{}, [][]step{established, noResponse, noResponse, changed}, 7000, 4, "1"},
		{"silent, and the next two calls are refused", Follower[listMessage]{}, [][]step{established, nil, nil, changed}, 5000, 4, "1"},
		{"silent, with MaxCalls, and the next call gets no response", Follower[listMessage]{Step: Silence, MaxCalls: 2}, [][]step{established, noResponse, changed}, 7000, 3, "1"},
		{"silent, and the next call gets a head only", Follower[listMessage]{}, [][]step{established, {{0, head}}, changed}, 7000, 3, "1"},
		{"silent, and the next call gets head and line after 2 s", Follower[listMessage]{}, [][]step{established, {{ms(2000), head}, {0, chunk(lineB)}}}, 6500, 3, "1"},
		{"silent, and it continues before the next call gets a line", Follower[listMessage]{}, [][]step{append(slices.Clone(established), step{ms(3000), chunk(lineB)}),
			{{0, head}, {ms(1000), chunk(`{"index":0}`)}}}, 5000, 2, "1"},
		{"no response to the first two calls", Follower[listMessage]{}, [][]step{noResponse, noResponse, changed}, 2500, 3, "0"},
		{"refused, with a wait that is longer than the step", Follower[listMessage]{Wait: func() time.Duration { return ms(5000) }},
			[][]step{nil, nil, nil, changed}, 3750, 4, "0"},
		{"first three calls refused", Follower[listMessage]{}, [][]step{nil, nil, nil, changed}, 750, 4, "0"},
		{"down for 8 s, without a response to six calls", Follower[listMessage]{}, [][]step{noResponse, noResponse, noResponse, noResponse, noResponse, noResponse, changed}, 9750, 7, "0"},
		{"heartbeats, and then a change", Follower[listMessage]{}, [][]step{{{0, head}, {ms(2000), chunk("\n")}, {ms(2000), chunk("\n")}, {ms(2000), chunk("\n")}, {0, chunk(lineB)}}}, 6000, 1, "0"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &agent{scripts: test.scripts, started: time.Now()}
				ctx, cancel := context.WithCancel(t.Context())
				revision, appliedAt, openAfter := 0, time.Duration(0), int32(0)
				f := test.f
				f.Client = &http.Client{Transport: &http.Transport{DialContext: a.dial, DisableKeepAlives: true}}
				f.MaxMessageBytes, f.Address, f.Revision = 1000, func() string { return "agent" }, func() int64 { return int64(revision) }
				f.Apply = func(_ string, v *listMessage) error {
					if revision = v.Index; revision != 1 {
						appliedAt = time.Since(a.started)
						time.AfterFunc(time.Second, func() { // any further event comes before this
							openAfter = a.open.Load()
							cancel()
						})
					}
					return nil
				}
				f.OnError = func(string, error) {}
				if f.Wait == nil {
					f.Wait = func() time.Duration { return ms(250) }
				}
				if err := f.Follow(ctx); !errors.Is(err, context.Canceled) {
					t.Errorf("Follow: got error %v, want %v", err, context.Canceled)
				}
				time.Sleep(time.Minute) // the scripts end
				a.mu.Lock()
				defer a.mu.Unlock()
				if revision != 2 || appliedAt != ms(test.appliedMs) || len(a.callTimes) != test.calls || a.fromParams[len(a.fromParams)-1] != test.from {
					t.Errorf("got revision %d after %v, calls at %v from %v; want 2 after %d ms, %d calls, the last from %s", revision, appliedAt, a.callTimes, a.fromParams, test.appliedMs, test.calls, test.from)
				}
				if a.maxOpen > 2 || openAfter != 1 || a.open.Load() != 0 {
					t.Errorf("got %d connections at a time, %d after the change, %d in the end; want 2 at most, 1, 0", a.maxOpen, openAfter, a.open.Load())
				}
			})
		})
	}
}

// Checks that a short bound neither floods a server that works nor starves on one that is slow: a watch is checked at most once in
// each Silence and stays open, two calls are open at most, and a line that comes late is received all the same.
func TestAShortBoundAsksOftenEnoughAndNoMore(t *testing.T) {
	const duration = time.Minute
	timing := TimingWithin(time.Second)
	healthy := []step{{0, head}, {0, chunk(lineA)}}
	for range 60 {
		healthy = append(healthy, step{2 * time.Second, chunk("\n")})
	}
	for name, test := range map[string]struct {
		script []step
		errors bool // calls are reported as silent
	}{
		"a server that works":  {script: healthy},
		"a head late by 4.5 s": {script: append([]step{{4500 * time.Millisecond, ""}}, healthy...), errors: true},
		"a line late by 4.5 s": {script: []step{{0, head}, {4500 * time.Millisecond, chunk(lineA)}}, errors: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &agent{scripts: [][]step{test.script}, started: time.Now()}
				ctx, cancel := context.WithTimeout(t.Context(), duration)
				defer cancel()
				lines, messages, failures := 0, 0, 0
				f := Follower[listMessage]{Client: &http.Client{Transport: &http.Transport{DialContext: a.dial, DisableKeepAlives: true}}, MaxMessageBytes: 1000,
					Timing: func() Timing { return timing }, Address: func() string { return "agent" }, Revision: func() int64 { return 0 },
					Apply:   func(string, *listMessage) error { messages++; return nil },
					OnLine:  func() { lines++ },
					OnError: func(string, error) { failures++ },
					Wait:    func() time.Duration { return time.Second }}
				_ = f.Follow(ctx)
				if most := int(duration/timing.Step) + 1; len(a.callTimes) > most || a.maxOpen > 2 || !test.errors && len(a.callTimes) > most/2+1 {
					t.Errorf("got %d calls in %v, %d connections at a time; want %d calls and 2 connections at most", len(a.callTimes), duration, a.maxOpen, most)
				}
				if emptyLines := lines - messages; !test.errors && emptyLines < int(duration/(2*time.Second))-1 {
					t.Errorf("got %d empty lines, want one in 2 s: the watch stays open", emptyLines)
				}
				if lines == 0 || test.errors != (failures > 0) {
					t.Errorf("got %d lines, %d failures; want 1 line or more, failures %v", lines, failures, test.errors)
				}
				time.Sleep(3 * time.Minute) // the scripts end
			})
		})
	}
}

// Checks that with MaxCalls 2, Follow returns ErrSilent after two calls without a line.
func TestAskedForGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &agent{scripts: [][]step{{}}, started: time.Now()}
		f := Follower[listMessage]{Client: &http.Client{Transport: &http.Transport{DialContext: a.dial}}, Step: Silence, MaxCalls: 2,
			Address: func() string { return "agent" }, Revision: func() int64 { return 0 }, OnError: func(string, error) {}}
		if err := f.Follow(t.Context()); !errors.Is(err, ErrSilent) || time.Since(a.started) != 2*Silence || len(a.callTimes) != 2 {
			t.Errorf("Follow: got error %v after %v, calls at %v; want %v after %v, 2 calls", err, time.Since(a.started), a.callTimes, ErrSilent, 2*Silence)
		}
	})
}

// Checks that messages are decoded however they are indented and however the stream is split, and that white space between them does
// not count against the limit of a message.
func TestMessages(t *testing.T) {
	var want []listMessage
	text := strings.Repeat("\n", 5000)
	for i := range 20 {
		message := listMessage{i}
		want = append(want, message)
		encoded, err := json.MarshalIndent(message, " ", "\t")
		if i%3 == 0 {
			encoded, err = json.Marshal(message)
		}
		if err != nil {
			t.Fatal(err)
		}
		text += string(encoded) + strings.Repeat("\r\n", i%4)
	}
	text += strings.Repeat(" \n", 5000)
	for name, split := range map[string]func(io.Reader) io.Reader{
		"whole": func(r io.Reader) io.Reader { return r }, "bytes": iotest.OneByteReader, "halves": iotest.HalfReader, "ends with data": iotest.DataErrReader,
	} {
		blanks := 0
		messages := NewMessages(split(strings.NewReader(text)), 600)
		messages.onData = func(blank bool) {
			if blank {
				blanks++
			}
		}
		var got []listMessage
		var err error
		for err == nil {
			var message listMessage
			if err = messages.Next(&message); err == nil {
				got = append(got, message)
			}
		}
		if !slices.Equal(got, want) || !errors.Is(err, io.EOF) || blanks == 0 {
			t.Errorf("%s: got %v, error %v, %d empty lines; want %v, %v, 1 or more", name, got, err, blanks, want, io.EOF)
		}
	}
	for _, bad := range []string{`{"index":1`, `{"index":1]`, `{"index":1,"x":"` + strings.Repeat("x", 600) + `"}`} {
		if err := NewMessages(strings.NewReader(bad), 600).Next(&listMessage{}); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("%.20s: got error %v, want one other than %v", bad, err, io.EOF)
		}
	}
}

// Checks that a call contains the additional query, that the query of a call is unchanged without one, and that OnLine is called for
// each line.
func TestWhatIsAskedForBeside(t *testing.T) {
	for _, test := range []struct {
		query func() string
		want  string
	}{
		{nil, "watch=1&from=7"},
		{func() string { return "&own=1" }, "watch=1&from=7&own=1"},
	} {
		queries := make(chan string, 1)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			queries <- r.URL.RawQuery
			_, _ = fmt.Fprint(w, lineA+"\n"+lineB)
		}))
		ctx, cancel := context.WithCancel(t.Context())
		var applied []int
		lines := 0
		f := Follower[listMessage]{Client: server.Client(), MaxMessageBytes: 1 << 10, Address: func() string { return server.Listener.Addr().String() },
			Revision: func() int64 { return 7 }, Query: test.query, OnLine: func() { lines++ }, OnError: func(string, error) {},
			Apply: func(_ string, v *listMessage) error {
				if applied = append(applied, v.Index); v.Index == 2 {
					cancel()
				}
				return nil
			}, Wait: func() time.Duration { return time.Hour }}
		if err := f.Follow(ctx); !errors.Is(err, context.Canceled) {
			t.Errorf("Follow: got error %v, want %v", err, context.Canceled)
		}
		server.Close()
		if got := <-queries; got != test.want || !slices.Equal(applied, []int{1, 2}) || lines < 2 {
			t.Errorf("got query %q, messages %v, %d lines; want %q, [1 2], 2 or more", got, applied, lines, test.want)
		}
	}
}

// Checks a change of the address from "old" to "new" after 1 s: a line that the old address has written is applied, whether or not the
// new one has sent a line yet; no call goes back to the old address; there is never a third connection, and none is left over.
func TestMoveReadsOn(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	line := func(index int) string { return chunk(fmt.Sprintf(`{"index":%d}`+"\n", index)) }
	former := []step{{0, head}, {0, line(1)}, {ms(1001), line(2)}}
	blank := []step{{0, head}, {ms(500), chunk("\n")}}
	noResponse := []step{}
	var spaced []step // lines at intervals of 1 s
	for i := range 9 {
		spaced = append(spaced, step{ms(1000), line(10 + i)})
	}
	for name, test := range map[string]struct {
		f       Follower[listMessage]
		scripts [][]step // one for each call
		third   bool     // whether the address changes again, to "third", 100 ms later
		calls   string   // addresses of the calls
		from    string   // parameter of the first call to the new address
		applied string   // address, index and time of each message
		err     error    // returned by Follow if it gives up
		open    int32    // connections after 3.9 s, before the latest line counts as silent
	}{
		"new address without a change":     {scripts: [][]step{former, blank}, calls: "old new", from: "1", applied: "old 1 0s, old 2 1.001s", open: 1},
		"new address with the same change": {scripts: [][]step{former, {{0, head}, {ms(500), line(2)}}}, calls: "old new", from: "1", applied: "old 1 0s, old 2 1.001s, new 2 1.5s", open: 1},
		"new address sends a line first":   {scripts: [][]step{append(slices.Clone(former), step{ms(700), line(5)}), blank}, calls: "old new", from: "1", applied: "old 1 0s, old 2 1.001s", open: 1},
		"new address refuses two calls":    {scripts: [][]step{append(slices.Clone(former), spaced...), nil, nil, blank}, calls: "old new new new", from: "1", applied: "old 1 0s, old 2 1.001s", open: 1},
		"new address refuses all calls":    {f: Follower[listMessage]{Wait: func() time.Duration { return ms(2000) }}, scripts: [][]step{append(slices.Clone(former), spaced...), nil}, calls: "old new new new", from: "1", applied: "old 1 0s, old 2 1.001s, old 10 2.001s, old 11 3.001s", open: 1},
		"new address is silent":            {scripts: [][]step{append(slices.Clone(former), spaced...), noResponse}, calls: "old new new new", from: "1", applied: "old 1 0s, old 2 1.001s, old 10 2.001s", open: 2},
		"former call ends":                 {scripts: [][]step{append(slices.Clone(former), step{0, "0\r\n\r\n"}), blank}, calls: "old new", from: "1", applied: "old 1 0s, old 2 1.001s", open: 1},
		"former call gets invalid JSON":    {scripts: [][]step{append(slices.Clone(former[:2]), step{ms(1001), chunk("]")}), blank}, calls: "old new", from: "1", applied: "old 1 0s", open: 1},
		"no call is open":                  {scripts: [][]step{nil, blank}, f: Follower[listMessage]{Wait: func() time.Duration { return ms(5000) }, Step: ms(5000)}, calls: "old new", from: "0", applied: "", open: 1},
		"two calls are open":               {scripts: [][]step{noResponse, {{0, head}, {ms(500), line(2)}}, blank}, f: Follower[listMessage]{Step: ms(600)}, calls: "old old new", from: "0", applied: "old 2 1.1s", open: 1},
		"second change of the address":     {scripts: [][]step{former, {{0, head}, {ms(200), line(3)}}, blank}, third: true, calls: "old new third", from: "1", applied: "old 1 0s, old 2 1.001s, new 3 1.2s", open: 1},
		"MaxCalls, refused":                {f: Follower[listMessage]{Step: Silence, MaxCalls: 2}, scripts: [][]step{former, nil}, calls: "old new", from: "1", applied: "old 1 0s", err: errRefused},
		"MaxCalls, silent":                 {f: Follower[listMessage]{Step: Silence, MaxCalls: 2}, scripts: [][]step{former, noResponse, noResponse}, calls: "old new new", from: "1", applied: "old 1 0s, old 2 1.001s", err: ErrSilent},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &agent{scripts: test.scripts, started: time.Now()}
				ctx, cancel := context.WithCancel(t.Context())
				addressChanged := make(chan struct{})
				var address atomic.Value
				address.Store("old")
				var applied []string
				revision, firstFrom := 0, ""
				f := test.f
				f.Client = &http.Client{Transport: &http.Transport{DialContext: a.dial, DisableKeepAlives: true}}
				f.MaxMessageBytes, f.AddressChanged, f.Revision = 1000, addressChanged, func() int64 {
					if address.Load() == "new" && firstFrom == "" {
						firstFrom = fmt.Sprint(revision)
					}
					return int64(revision)
				}
				f.Address = func() string { return address.Load().(string) }
				f.Apply = func(from string, v *listMessage) error {
					revision = v.Index
					applied = append(applied, fmt.Sprintf("%s %d %v", from, revision, time.Since(a.started)))
					return nil
				}
				f.OnError = func(string, error) {}
				if f.Wait == nil {
					f.Wait = func() time.Duration { return ms(250) }
				}
				changeAddress := func(after time.Duration, to string) {
					time.AfterFunc(after, func() {
						address.Store(to)
						select {
						case addressChanged <- struct{}{}:
						case <-ctx.Done():
						}
					})
				}
				changeAddress(ms(1000), "new")
				if test.third {
					changeAddress(ms(1100), "third")
				}
				end := ms(3900)
				if test.err != nil {
					end = ms(8000)
				}
				time.AfterFunc(end, func() {
					if n := a.open.Load(); n != test.open {
						t.Errorf("got %d open connections after %v, want %d", n, end, test.open)
					}
					cancel()
				})
				if err := f.Follow(ctx); !errors.Is(err, cmp.Or(test.err, context.Canceled)) {
					t.Errorf("Follow: got error %v, want %v", err, cmp.Or(test.err, context.Canceled))
				}
				cancel()
				time.Sleep(time.Minute) // the scripts end
				if got := strings.Join(applied, ", "); got != test.applied {
					t.Errorf("got messages %q, want %q", got, test.applied)
				}
				if got := strings.Join(a.addresses, " "); got != test.calls || firstFrom != test.from {
					t.Errorf("got calls to %q, the first to the new address from %s; want %q, from %s", got, firstFrom, test.calls, test.from)
				}
				if a.maxOpen > 2 || a.open.Load() != 0 {
					t.Errorf("got %d connections at a time, %d in the end; want 2 at most, 0", a.maxOpen, a.open.Load())
				}
			})
		})
	}
}
