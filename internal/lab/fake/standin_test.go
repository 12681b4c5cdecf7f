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

// sendRequest sends a request, and returns the status, the not-processed mark and the body of its answer.
func sendRequest(t *testing.T, c net.Conn, r *bufio.Reader, method, path, id, body string) (status int, mark, answer string) {
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
	for _, tt := range []struct {
		name, method, path, id, body string
		status                       int
	}{
		{"a safe request", "GET", "/read/k", "a", "", 200},
		{"an unsafe request", "POST", "/charge/k", "b", "order b\n", 200},
		{"a request without an id", "GET", "/read/k", "", "", 404},
		{"a request that no client sent", "GET", "/read/k", "zz", "", 400},
		{"a request with another path", "GET", "/read/other", "a", "", 400},
		{"a request with another body", "POST", "/charge/k", "b", "order c\n", 400},
		{"a health probe", "GET", "/-/healthy", "", "", 200},
		{"a load probe", "GET", "/-/load", "", "", 200},
	} {
		status, _, body := sendRequest(t, c, r, tt.method, tt.path, tt.id, tt.body)
		if status != tt.status {
			t.Errorf("%s: got status %d, want %d", tt.name, status, tt.status)
		}
		if tt.id == "a" && status == 200 && !strings.HasPrefix(body, "a u ") {
			t.Errorf("%s: got body %q, want one that begins with \"a u \"", tt.name, body)
		}
		if tt.path == "/-/load" && !strings.Contains(body, "inflight=0, queue=0") {
			t.Errorf("%s: got body %q, want one with \"inflight=0, queue=0\"", tt.name, body)
		}
	}
	if got := rec.Attempts[0]; got.How != record.OK || got.Ended-got.Begun < 20*time.Millisecond {
		t.Errorf("first attempt: got %+v, want OK after at least 20 ms", got)
	}
}

// A full or draining upstream answers 503 with the not-processed mark; one that dies resets its connections and refuses
// new ones.
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
		t.Errorf("full: got status %d with mark %q, want 503 with \"1\"", status, mark)
	}
	u.Kill()
	if _, err := busyReader.ReadByte(); err == nil {
		t.Error("read from a connection of a killed process succeeded, want an error")
	}
	if fresh, err := net.DialTimeout("tcp", u.Address(), testTimeout); err == nil {
		_ = fresh.Close()
		t.Error("dial to a killed process succeeded, want an error")
	}
	if err := u.Start(2, true); err != nil {
		t.Fatal(err)
	}
	u.Set(Trouble{TurnAway: true})
	c, r = dial(t, u.Address())
	if status, mark, _ := sendRequest(t, c, r, "GET", "/r/k", "next", ""); status != 503 || mark != "1" {
		t.Errorf("draining: got status %d with mark %q, want 503 with \"1\"", status, mark)
	}
}

// watch reads the messages of a watch.
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
				w.t.Fatalf("decoding message %q: %v", w.lines.Text(), err)
			}
			return l
		}
	}
	w.t.Fatalf("watch ended (error %v), want another message", w.lines.Err())
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
		t.Errorf("whole list: got %+v, want a snapshot of index 2 with 2 endpoints, the first at u0:1", l)
	}
	d.Change(Entry{Name: "u0", Status: Terminating})
	if l := w.next(); l.Snapshot || l.Index != 3 || len(l.Endpoints) != 1 || l.Endpoints[0].Status != Terminating {
		t.Errorf("change: got %+v, want index 3 with one endpoint that is Terminating", l)
	}
	a.Set(Mood{Silent: true})
	d.Change(Entry{Name: "u0", Status: Gone})
	d.Change(Entry{Name: "u2", Status: Ready})
	a.Set(Mood{})
	if l := w.next(); l.Index != 5 || len(l.Endpoints) != 2 {
		t.Errorf("after silence: got %+v, want index 5 with 2 endpoints", l)
	}
	if l := newWatch(t, a, "4").next(); l.Snapshot || len(l.Endpoints) != 1 || l.Endpoints[0].Name != "u2" {
		t.Errorf("watch from index 4: got %+v, want u2 alone, no snapshot", l)
	}
	a.Set(Mood{Empty: true})
	if l := w.next(); !l.Snapshot || len(l.Endpoints) != 0 {
		t.Errorf("mood Empty: got %+v, want an empty snapshot", l)
	}
	a.Set(Mood{})
	if l := w.next(); !l.Snapshot || len(l.Endpoints) != 2 {
		t.Errorf("after mood Empty: got %+v, want a snapshot with 2 endpoints", l)
	}
	usable := map[string]bool{}
	for _, news := range rec.Told {
		usable[news.Upstream] = news.Usable
	}
	if usable["u0"] || !usable["u1"] || !usable["u2"] {
		t.Errorf("usable as last told: got %v, want u1 and u2 only", usable)
	}
}
