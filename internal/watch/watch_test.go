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

// step is what an agent does on one connection: it waits, and then writes. An empty text: the head; none: nothing.
type step struct {
	after time.Duration
	text  string
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// agent plays one script for each call, the last for all further ones; nil refuses it. Connections stay open.
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
	ours, theirs := net.Pipe()
	go func() {
		req, err := http.ReadRequest(bufio.NewReader(theirs))
		if err != nil {
			return
		}
		a.mu.Lock()
		a.fromParams = append(a.fromParams, req.FormValue("from"))
		a.mu.Unlock()
		for _, s := range script {
			time.Sleep(s.after)
			if _, err := io.WriteString(theirs, s.text); err != nil {
				return
			}
		}
		_, _ = io.Copy(io.Discard, theirs)
	}()
	return &countedConn{Conn: ours, open: &a.open}, nil
}

// At every silence the news is in flight within 6 s of the last byte, or within 3 s of the first moment; never with a third
// connection, and an outage costs few calls.
func TestNewsIsInHandInTime(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	stood := []step{{0, head}, {0, chunk(lineA)}, {ms(2000), chunk("\n")}} // its last byte comes after 2 s
	news := []step{{0, head}, {0, chunk(lineB)}}
	endless := append(slices.Clone(stood), step{0, chunk(`{"index":0,"x":"`)})
	for range 100 {
		endless = append(endless, step{ms(500), chunk("x")})
	}
	bad := append([]step{{0, head}}, endless[len(stood):]...)
	mute := []step{}
	for _, x := range []struct {
		name  string
		f     Follower[listMessage]
		plays [][]step
		by    int // ms, of the news
		calls int
		from  string // of the last call
	}{
		{"silent after a line", Follower[listMessage]{}, [][]step{stood, news}, 4500, 2, "1"},
		{"silent in the middle of a line", Follower[listMessage]{}, [][]step{append(slices.Clone(stood), step{0, chunk(lineB[:5])}), news}, 4500, 2, "1"},
		{"silent, with empty lines within a list", Follower[listMessage]{}, [][]step{append(slices.Clone(stood),
			step{0, chunk(lineB[:9])}, step{ms(2000), chunk("\n")}, step{ms(2000), chunk("\n")}), news}, 4500, 2, "1"},
		{"a line without end, a byte at a time", Follower[listMessage]{}, [][]step{endless, news}, 4500, 2, "1"},
		{"the same, and the next two are as bad", Follower[listMessage]{}, [][]step{endless, bad, bad, news}, 9500, 4, "1"},
		{"silent, and the next two are never answered", Follower[listMessage]{}, [][]step{stood, mute, mute, news}, 7000, 4, "1"},
		{"silent, and the next is refused", Follower[listMessage]{}, [][]step{stood, nil, nil, news}, 5000, 4, "1"},
		{"silent, and asked for, the next never answered", Follower[listMessage]{Step: Silence, MaxCalls: 2}, [][]step{stood, mute, news}, 7000, 3, "1"},
		{"silent, and the next has its head and nothing else", Follower[listMessage]{}, [][]step{stood, {{0, head}}, news}, 7000, 3, "1"},
		{"slow: head and line after 2 s", Follower[listMessage]{}, [][]step{stood, {{ms(2000), head}, {0, chunk(lineB)}}}, 6500, 3, "1"},
		{"silent, and it comes back before the next speaks", Follower[listMessage]{}, [][]step{append(slices.Clone(stood), step{ms(3000), chunk(lineB)}),
			{{0, head}, {ms(1000), chunk(`{"index":0}`)}}}, 5000, 2, "1"},
		{"never answered at the start", Follower[listMessage]{}, [][]step{mute, mute, news}, 2500, 3, "0"},
		{"refused, and the wait after that is longer than the step", Follower[listMessage]{Wait: func() time.Duration { return ms(5000) }},
			[][]step{nil, nil, nil, news}, 3750, 4, "0"},
		{"refused at the start", Follower[listMessage]{}, [][]step{nil, nil, nil, news}, 750, 4, "0"},
		{"down for 8 s, and what came then is lost", Follower[listMessage]{}, [][]step{mute, mute, mute, mute, mute, mute, news}, 9750, 7, "0"},
		{"in order", Follower[listMessage]{}, [][]step{{{0, head}, {ms(2000), chunk("\n")}, {ms(2000), chunk("\n")}, {ms(2000), chunk("\n")}, {0, chunk(lineB)}}}, 6000, 1, "0"},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &agent{scripts: x.plays, started: time.Now()}
				ctx, cancel := context.WithCancel(t.Context())
				held, at, believed := 0, time.Duration(0), int32(0)
				f := x.f
				f.Client = &http.Client{Transport: &http.Transport{DialContext: a.dial, DisableKeepAlives: true}}
				f.MaxMessageBytes, f.Address, f.Revision = 1000, func() string { return "agent" }, func() int64 { return int64(held) }
				f.Apply = func(_ string, v *listMessage) error {
					if held = v.Index; held != 1 {
						at = time.Since(a.started)
						time.AfterFunc(time.Second, func() { // whatever else there is comes before
							believed = a.open.Load()
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
					t.Errorf("gave up: %v", err)
				}
				time.Sleep(time.Minute) // the scripts end
				a.mu.Lock()
				defer a.mu.Unlock()
				if held != 2 || at != ms(x.by) || len(a.callTimes) != x.calls || a.fromParams[len(a.fromParams)-1] != x.from {
					t.Errorf("version %d after %v, want 2 after %d ms; calls at %v from %v", held, at, x.by, a.callTimes, a.fromParams)
				}
				if a.maxOpen > 2 || believed != 1 || a.open.Load() != 0 {
					t.Errorf("%d connections at a time, %d once there is news, %d left", a.maxOpen, believed, a.open.Load())
				}
			})
		})
	}
}

// Where another decides when to ask again, it is told once two calls have brought nothing.
func TestAskedForGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &agent{scripts: [][]step{{}}, started: time.Now()}
		f := Follower[listMessage]{Client: &http.Client{Transport: &http.Transport{DialContext: a.dial}}, Step: Silence, MaxCalls: 2,
			Address: func() string { return "agent" }, Revision: func() int64 { return 0 }, OnError: func(string, error) {}}
		if err := f.Follow(t.Context()); !errors.Is(err, ErrSilent) || time.Since(a.started) != 2*Silence || len(a.callTimes) != 2 {
			t.Errorf("%v after %v, calls at %v", err, time.Since(a.started), a.callTimes)
		}
	})
}

// Messages are the same however they are laid out and cut, and what is between them is never held.
func TestMessages(t *testing.T) {
	var want []listMessage
	text := strings.Repeat("\n", 5000)
	for i := range 20 {
		v := listMessage{i}
		want = append(want, v)
		whole, err := json.MarshalIndent(v, " ", "\t")
		if i%3 == 0 {
			whole, err = json.Marshal(v)
		}
		if err != nil {
			t.Fatal(err)
		}
		text += string(whole) + strings.Repeat("\r\n", i%4)
	}
	text += strings.Repeat(" \n", 5000)
	for name, cut := range map[string]func(io.Reader) io.Reader{
		"whole": func(r io.Reader) io.Reader { return r }, "bytes": iotest.OneByteReader, "halves": iotest.HalfReader, "ends with data": iotest.DataErrReader,
	} {
		blanks := 0
		in := NewMessages(cut(strings.NewReader(text)), 600)
		in.onData = func(blank bool) {
			if blank {
				blanks++
			}
		}
		var got []listMessage
		var err error
		for err == nil {
			var v listMessage
			if err = in.Next(&v); err == nil {
				got = append(got, v)
			}
		}
		if !slices.Equal(got, want) || !errors.Is(err, io.EOF) || blanks == 0 {
			t.Errorf("%s: %v, %v, %d empty lines", name, got, err, blanks)
		}
	}
	for _, bad := range []string{`{"index":1`, `{"index":1]`, `{"index":1,"x":"` + strings.Repeat("x", 600) + `"}`} {
		if err := NewMessages(strings.NewReader(bad), 600).Next(&listMessage{}); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("%.20s: %v", bad, err)
		}
	}
}

// What is asked for beside the list is asked anew for each call; without, a call is what it always was. Each line is a heartbeat.
func TestWhatIsAskedForBeside(t *testing.T) {
	for _, x := range []struct {
		query func() string
		want  string
	}{
		{nil, "watch=1&from=7"},
		{func() string { return "&own=1" }, "watch=1&from=7&own=1"},
	} {
		asked := make(chan string, 1)
		server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			asked <- r.URL.RawQuery
			_, _ = fmt.Fprint(rw, lineA+"\n"+lineB)
		}))
		ctx, stop := context.WithCancel(t.Context())
		var taken []int
		heard := 0
		f := Follower[listMessage]{Client: server.Client(), MaxMessageBytes: 1 << 10, Address: func() string { return server.Listener.Addr().String() },
			Revision: func() int64 { return 7 }, Query: x.query, OnLine: func() { heard++ }, OnError: func(string, error) {},
			Apply: func(_ string, v *listMessage) error {
				if taken = append(taken, v.Index); v.Index == 2 {
					stop()
				}
				return nil
			}, Wait: func() time.Duration { return time.Hour }}
		if err := f.Follow(ctx); !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
		server.Close()
		if got := <-asked; got != x.want || !slices.Equal(taken, []int{1, 2}) || heard < 2 {
			t.Errorf("asked %q, want %q; took %v, heard %d", got, x.want, taken, heard)
		}
	}
}

// Guards against what crosses a move: a line that the former place has written is taken, whether or not the new one speaks yet; no
// call goes back; never a third connection, and none is left over. Lines are at the former place "old" and the new one "new"; the
// move comes after 1 s.
func TestMoveReadsOn(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	line := func(index int) string { return chunk(fmt.Sprintf(`{"index":%d}`+"\n", index)) }
	old := []step{{0, head}, {0, line(1)}, {ms(1001), line(2)}}
	blank := []step{{0, head}, {ms(500), chunk("\n")}}
	mute := []step{}
	var apart []step // each 1 s from the next
	for i := range 9 {
		apart = append(apart, step{ms(1000), line(10 + i)})
	}
	for name, x := range map[string]struct {
		f     Follower[listMessage]
		plays [][]step // one for each call
		back  bool     // another move, to a third place, 100 ms later
		calls string   // where they went
		from  string   // the first at the new place
		took  string   // versions, and when
		err   error    // of giving up
		open  int32    // after 3.9 s, before what spoke last counts as silent
	}{
		"the new one has no news":        {plays: [][]step{old, blank}, calls: "old new", from: "1", took: "old 1 0s, old 2 1.001s", open: 1},
		"the new one has the same":       {plays: [][]step{old, {{0, head}, {ms(500), line(2)}}}, calls: "old new", from: "1", took: "old 1 0s, old 2 1.001s, new 2 1.5s", open: 1},
		"the new one speaks first":       {plays: [][]step{append(slices.Clone(old), step{ms(700), line(5)}), blank}, calls: "old new", from: "1", took: "old 1 0s, old 2 1.001s", open: 1},
		"the new one refuses, then not":  {plays: [][]step{append(slices.Clone(old), apart...), nil, nil, blank}, calls: "old new new new", from: "1", took: "old 1 0s, old 2 1.001s", open: 1},
		"the new one refuses for good":   {f: Follower[listMessage]{Wait: func() time.Duration { return ms(2000) }}, plays: [][]step{append(slices.Clone(old), apart...), nil}, calls: "old new new new", from: "1", took: "old 1 0s, old 2 1.001s, old 10 2.001s, old 11 3.001s", open: 1},
		"the new one is silent":          {plays: [][]step{append(slices.Clone(old), apart...), mute}, calls: "old new new new", from: "1", took: "old 1 0s, old 2 1.001s, old 10 2.001s", open: 2},
		"the former one ends":            {plays: [][]step{append(slices.Clone(old), step{0, "0\r\n\r\n"}), blank}, calls: "old new", from: "1", took: "old 1 0s, old 2 1.001s", open: 1},
		"the former one brings nonsense": {plays: [][]step{append(slices.Clone(old[:2]), step{ms(1001), chunk("]")}), blank}, calls: "old new", from: "1", took: "old 1 0s", open: 1},
		"nothing was open":               {plays: [][]step{nil, blank}, f: Follower[listMessage]{Wait: func() time.Duration { return ms(5000) }, Step: ms(5000)}, calls: "old new", from: "0", took: "", open: 1},
		"two were open":                  {plays: [][]step{mute, {{0, head}, {ms(500), line(2)}}, blank}, f: Follower[listMessage]{Step: ms(600)}, calls: "old old new", from: "0", took: "old 2 1.1s", open: 1},
		"it moves on":                    {plays: [][]step{old, {{0, head}, {ms(200), line(3)}}, blank}, back: true, calls: "old new third", from: "1", took: "old 1 0s, old 2 1.001s, new 3 1.2s", open: 1},
		"asked for, refused":             {f: Follower[listMessage]{Step: Silence, MaxCalls: 2}, plays: [][]step{old, nil}, calls: "old new", from: "1", took: "old 1 0s", err: errRefused},
		"asked for, silent":              {f: Follower[listMessage]{Step: Silence, MaxCalls: 2}, plays: [][]step{old, mute, mute}, calls: "old new new", from: "1", took: "old 1 0s, old 2 1.001s", err: ErrSilent},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &agent{scripts: x.plays, started: time.Now()}
				ctx, cancel := context.WithCancel(t.Context())
				moved := make(chan struct{})
				var at atomic.Value
				at.Store("old")
				var took []string
				held, first := 0, ""
				f := x.f
				f.Client = &http.Client{Transport: &http.Transport{DialContext: a.dial, DisableKeepAlives: true}}
				f.MaxMessageBytes, f.AddressChanged, f.Revision = 1000, moved, func() int64 {
					if at.Load() == "new" && first == "" {
						first = fmt.Sprint(held)
					}
					return int64(held)
				}
				f.Address = func() string { return at.Load().(string) }
				f.Apply = func(from string, v *listMessage) error {
					held = v.Index
					took = append(took, fmt.Sprintf("%s %d %v", from, held, time.Since(a.started)))
					return nil
				}
				f.OnError = func(string, error) {}
				if f.Wait == nil {
					f.Wait = func() time.Duration { return ms(250) }
				}
				turn := func(after time.Duration, to string) {
					time.AfterFunc(after, func() {
						at.Store(to)
						select {
						case moved <- struct{}{}:
						case <-ctx.Done():
						}
					})
				}
				turn(ms(1000), "new")
				if x.back {
					turn(ms(1100), "third")
				}
				over := ms(3900)
				if x.err != nil {
					over = ms(8000)
				}
				time.AfterFunc(over, func() {
					if n := a.open.Load(); n != x.open {
						t.Errorf("%d connections are open in the end, want %d", n, x.open)
					}
					cancel()
				})
				if err := f.Follow(ctx); !errors.Is(err, cmp.Or(x.err, context.Canceled)) {
					t.Errorf("ended with %v", err)
				}
				cancel()
				time.Sleep(time.Minute) // the scripts end
				if got := strings.Join(took, ", "); got != x.took {
					t.Errorf("took %q, want %q", got, x.took)
				}
				if got := strings.Join(a.addresses, " "); got != x.calls || first != x.from {
					t.Errorf("calls to %q, the first at the new place from %s; want %q, from %s", got, first, x.calls, x.from)
				}
				if a.maxOpen > 2 || a.open.Load() != 0 {
					t.Errorf("%d connections at a time, %d left", a.maxOpen, a.open.Load())
				}
			})
		})
	}
}
