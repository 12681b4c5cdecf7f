package fake

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"mosslead/internal/lab/model"
	"mosslead/internal/lab/record"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 10 * time.Second

func testUpstream(t *testing.T, spec model.Spec) (*Upstream, *record.Record) {
	t.Helper()
	rec := record.New()
	u := NewUpstream("u", "127.0.0.1:0", spec, rec, func() {})
	if err := u.Start(1, false); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Close)
	return u, rec
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.DialTimeout("tcp", address, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return c, bufio.NewReader(c)
}

// sendRequest sends a request of the record's, or what differs from it.
func sendRequest(t *testing.T, c net.Conn, r *bufio.Reader, method, path, id, body string) (status int, unprocessed, got string) {
	t.Helper()
	head := ""
	if id != "" {
		head = "X-Request-ID: " + id + "\r\n"
	}
	_, _ = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", method, path, head, len(body), body)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header.Get(notProcessed), string(text)
}

func TestUpstreamSpeaksTheProtocol(t *testing.T) {
	u, rec := testUpstream(t, model.Spec{Cores: 1, Speed: 1, SlotsPerCore: 1, QueuePerCore: 0})
	rec.Request(&record.Request{ID: "a", Class: "read", Key: "k", Safe: true, Work: 20 * time.Millisecond})
	rec.Request(&record.Request{ID: "b", Class: "charge", Key: "k", Work: 20 * time.Millisecond})
	c, r := dial(t, u.Address())
	for _, x := range []struct {
		name, method, path, id, body string
		status                       int
	}{
		{"a client's", "GET", "/read/k", "a", "", 200},
		{"an unsafe one", "POST", "/charge/k", "b", "order b\n", 200},
		{"without an id", "GET", "/read/k", "", "", 404},
		{"nobody's", "GET", "/read/k", "zz", "", 400},
		{"another path", "GET", "/read/other", "a", "", 400},
		{"another body", "POST", "/charge/k", "b", "order c\n", 400},
		{"a probe", "GET", "/-/healthy", "", "", 200},
		{"a probe of load", "GET", "/-/load", "", "", 200},
	} {
		status, _, body := sendRequest(t, c, r, x.method, x.path, x.id, x.body)
		if status != x.status {
			t.Errorf("%s: %d, want %d", x.name, status, x.status)
		}
		if x.id == "a" && status == 200 && !strings.HasPrefix(body, "a u ") {
			t.Errorf("%s: body %q", x.name, body)
		}
		if x.path == "/-/load" && !strings.Contains(body, "inflight=0, queue=0") {
			t.Errorf("%s: %q", x.name, body)
		}
	}
	if got := rec.Attempts[0]; got.How != record.OK || got.Ended-got.Begun < 20*time.Millisecond {
		t.Errorf("the first attempt: %+v", got)
	}
}

// Full, draining and dying are told apart by what the other side sees: unprocessed, and a reset.
func TestUpstreamTurnsAwayAndDies(t *testing.T) {
	u, rec := testUpstream(t, model.Spec{Cores: 1, Speed: 1, SlotsPerCore: 1})
	rec.Request(&record.Request{ID: "long", Class: "r", Key: "k", Safe: true, Work: time.Hour})
	rec.Request(&record.Request{ID: "next", Class: "r", Key: "k", Safe: true, Work: time.Millisecond})
	busy, busyReader := dial(t, u.Address())
	_, _ = fmt.Fprint(busy, "GET /r/k HTTP/1.1\r\nHost: x\r\nX-Request-ID: long\r\n\r\n")
	for u.Held() == 0 {
		time.Sleep(time.Millisecond)
	}
	c, r := dial(t, u.Address())
	if status, mark, _ := sendRequest(t, c, r, "GET", "/r/k", "next", ""); status != 503 || mark != "1" {
		t.Errorf("full: %d, mark %q", status, mark)
	}
	u.Kill()
	if _, err := busyReader.ReadByte(); err == nil {
		t.Error("a connection outlived its process")
	}
	if fresh, err := net.DialTimeout("tcp", u.Address(), testTimeout); err == nil {
		_ = fresh.Close()
		t.Error("a dead process takes connections")
	}
	if err := u.Start(2, true); err != nil {
		t.Fatal(err)
	}
	u.Set(Trouble{TurnAway: true})
	c, r = dial(t, u.Address())
	if status, mark, _ := sendRequest(t, c, r, "GET", "/r/k", "next", ""); status != 503 || mark != "1" {
		t.Errorf("draining: %d, mark %q", status, mark)
	}
}

// watch reads a list's messages.
type watch struct {
	t     *testing.T
	lines *bufio.Scanner
}

func newWatch(t *testing.T, a *Agent, from string) *watch {
	t.Helper()
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + a.Address() + "/api/targets?watch=1&from=" + from)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return &watch{t, bufio.NewScanner(resp.Body)}
}

func (w *watch) next() (l Listing) {
	w.t.Helper()
	for w.lines.Scan() {
		if len(w.lines.Bytes()) > 0 {
			if err := json.Unmarshal(w.lines.Bytes(), &l); err != nil {
				w.t.Fatalf("%q: %v", w.lines.Text(), err)
			}
			return l
		}
	}
	w.t.Fatalf("the watch ended: %v", w.lines.Err())
	return l
}

func TestDiscoveryTellsListsChangesAndMoods(t *testing.T) {
	rec := record.New()
	d := NewDiscovery(rec)
	d.Change(Entry{Name: "u0", Status: Ready})
	d.Change(Entry{Name: "u1", Status: Ready})
	a, err := d.Agent("s", "127.0.0.1:0", 0, func(name string) string { return name + ":1" })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	w := newWatch(t, a, "0")
	if l := w.next(); !l.Snapshot || l.Index != 2 || len(l.Endpoints) != 2 || l.Endpoints[0].Address != "u0:1" {
		t.Errorf("the whole list: %+v", l)
	}
	d.Change(Entry{Name: "u0", Status: Terminating})
	if l := w.next(); l.Snapshot || l.Index != 3 || len(l.Endpoints) != 1 || l.Endpoints[0].Status != Terminating {
		t.Errorf("a change: %+v", l)
	}
	a.Set(Mood{Silent: true})
	d.Change(Entry{Name: "u0", Status: Gone})
	d.Change(Entry{Name: "u2", Status: Ready})
	a.Set(Mood{})
	if l := w.next(); l.Index != 5 || len(l.Endpoints) != 2 {
		t.Errorf("what came while it was silent: %+v", l)
	}
	if l := newWatch(t, a, "4").next(); l.Snapshot || len(l.Endpoints) != 1 || l.Endpoints[0].Name != "u2" {
		t.Errorf("resumed after 4: %+v", l)
	}
	a.Set(Mood{Empty: true})
	if l := w.next(); !l.Snapshot || len(l.Endpoints) != 0 {
		t.Errorf("empty: %+v", l)
	}
	a.Set(Mood{})
	if l := w.next(); !l.Snapshot || len(l.Endpoints) != 2 {
		t.Errorf("after the empty list: %+v", l)
	}
	usable := map[string]bool{}
	for _, told := range rec.Told {
		usable[told.Upstream] = told.Usable
	}
	if usable["u0"] || !usable["u1"] || !usable["u2"] {
		t.Errorf("as told at last: %v", usable)
	}
}
