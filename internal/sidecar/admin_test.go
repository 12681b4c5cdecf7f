package sidecar

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"
)

// adminCall makes a call on the operators' port and returns the complete answer.
func (r *testSidecar) adminCall(t *testing.T, line string) string {
	t.Helper()
	conn, err := net.Dial("tcp", r.ops.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(conn, line); err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(conn)
	if err != nil {
		t.Fatalf("call %q: reading the answer: %v", line, err)
	}
	return string(text)
}

// startWithAdminPort starts a sidecar with an operators' port, and upstreams with these names, each of which answers
// with its name.
func startWithAdminPort(t *testing.T, names ...string) (*testSidecar, map[string]*fakeUpstream) {
	t.Helper()
	ups := map[string]*fakeUpstream{}
	var entries []string
	for _, name := range names {
		ups[name] = newUpstream(t, respondWith(ok200(name)))
		entries = append(entries, entry(name, ups[name].address, "Ready"))
	}
	c := testConfig(t, quietDiscovery(t).address, entries...)
	c.Ops = "127.0.0.1:0"
	return start(t, c, "127.0.0.1:0"), ups
}

// Guards against calls that crash the sidecar, hang or are mistaken for another call: each gets one line of YES or NO.
func TestDoorCalls(t *testing.T) {
	r, _ := startWithAdminPort(t, "s", "other")
	for _, c := range []struct{ line, want string }{
		{"READY\n", "YES"}, {"READY\r\n", "YES"}, {"READY now\n", "NO READY"}, {"PEERS\n", "NO this sidecar shares nothing"}, {"\n", "NO the line is empty"},
		{"DISABLE\n", "NO DISABLE takes one id"}, {"DISABLE s other\n", "NO DISABLE takes"}, {"DISABLE nobody\n", "NO no upstream"},
		{"ENABLE nobody\n", "NO no upstream"}, {"REBOOT\n", "NO no such call"}, {"\x00\xff\n", "NO no such call"},
		{"GET / HTTP/1.1\r\n\r\n", "NO no such call"}, {strings.Repeat("x", 4*maxAdminLine), "NO the line is too long"},
		{"DISABLE s\n", "YES"}, {"DISABLE s\n", "YES"}, {"ENABLE s\n", "YES"}, {"ENABLE s\n", "YES"},
	} {
		if got := r.adminCall(t, c.line); !strings.HasPrefix(got, c.want) || strings.Count(got, "\n") != 1 {
			t.Errorf("call %.40q: got answer %q, want one line that begins with %q", c.line, got, c.want)
		}
	}
}

// Guards against carrying out a call that a broken connection cut off: DISABLE s-1 may have been DISABLE s-12.
func TestPartOfALineIsNoCall(t *testing.T) {
	for readErr, want := range map[error]int{io.EOF: 1, errors.New("reset"): 0} {
		callerEnd, serverEnd := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, callerEnd) }()
		calls := 0
		s := &adminServer{ban: func(string, bool) error { calls++; return nil }}
		s.serve(&brokenConn{serverEnd, io.MultiReader(strings.NewReader("DISABLE s-1"), iotest.ErrReader(readErr))})
		_ = callerEnd.Close()
		if calls != want {
			t.Errorf("line ended by %v: got %d calls carried out, want %d", readErr, calls, want)
		}
	}
}

// brokenConn is a connection that reads from reader.
type brokenConn struct {
	net.Conn
	reader io.Reader
}

func (c *brokenConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// Guards against callers that block the operators' port by sending nothing: the oldest of them is evicted.
func TestSilentCallersGiveWay(t *testing.T) {
	r, _ := startWithAdminPort(t, "s")
	var silent []net.Conn
	for range 2 * maxAdminConns {
		conn, err := net.Dial("tcp", r.ops.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		silent = append(silent, conn)
	}
	if got := r.adminCall(t, "READY\n"); got != "YES\n" {
		t.Errorf("READY beside silent callers: got %q, want YES", got)
	}
	_ = silent[0].SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := silent[0].Read(make([]byte, 1)); err == nil {
		t.Error("the oldest silent caller got an answer, want its connection closed")
	}
}

// Guards against requests to an upstream that operators disabled, against requests that wait if all upstreams are disabled,
// and against an upstream that was disabled twice and stays disabled after one ENABLE.
func TestDisableAndEnable(t *testing.T) {
	r, ups := startWithAdminPort(t, "a", "b")
	for _, call := range []string{"DISABLE a\n", "DISABLE a\n"} {
		if got := r.adminCall(t, call); got != "YES\n" {
			t.Fatalf("call %q: got answer %q, want YES", call, got)
		}
	}
	for range 20 {
		if resp, text := r.do(t, request(t, r.address, "confirm", "")); resp.StatusCode != 200 || text != "b" {
			t.Fatalf("with a disabled: got %s %q, want 200 from b", resp.Status, text)
		}
	}
	if got := r.adminCall(t, "DISABLE b\n"); got != "YES\n" {
		t.Fatalf("call DISABLE b: got answer %q, want YES", got)
	}
	begun := time.Now()
	if resp, _ := r.do(t, request(t, r.address, "confirm", "")); resp.StatusCode != 503 {
		t.Errorf("with all disabled: got %s, want 503", resp.Status)
	}
	if elapsed := time.Since(begun); elapsed > 2*time.Second { // the request's X-Timeout is 9 s
		t.Errorf("with all disabled: answered after %v, want 2s or less", elapsed)
	}
	if got := r.adminCall(t, "ENABLE a\n"); got != "YES\n" {
		t.Fatalf("call ENABLE a: got answer %q, want YES", got)
	}
	if resp, text := r.do(t, request(t, r.address, "confirm", "")); resp.StatusCode != 200 || text != "a" {
		t.Errorf("with a enabled again: got %s %q, want 200 from a", resp.Status, text)
	}
	if n := len(ups["b"].requests()); n != 20 {
		t.Errorf("b got %d requests, want 20", n)
	}
}

// Guards against sending an attempt that was decided before a ban: before the write, ready reports that the upstream is banned.
func TestBanHoldsAtTheWrite(t *testing.T) {
	d := newEndpointDirectory(newClock(), func(string) {})
	d.apply(mustParseListing(t, list(1, true, entry("s", "127.0.0.1:1", "Ready"))))
	address, _ := d.address("s")
	if !d.ban("s", false) || d.ready("s", address) {
		t.Fatal("s is unknown, or ready after its ban; want it known and not ready")
	}
	d.apply(mustParseListing(t, list(2, true)))
	d.apply(mustParseListing(t, list(3, false, entry("s", "127.0.0.1:1", "Ready"))))
	if d.ready("s", address) {
		t.Error("s is ready after lists without it and with it, want it still banned")
	}
	if listed, unavailable := d.countUnavailable([]string{"s"}); listed != 1 || unavailable != 1 {
		t.Errorf("got %d listed and %d unavailable, want 1 and 1", listed, unavailable)
	}
	if !d.ban("s", true) || !d.ready("s", address) || d.ban("nobody", false) {
		t.Error("s is not ready after its ban was cleared, or the unknown id nobody could be banned; want s ready and no ban of nobody")
	}
}

// Guards against counts that do not add up: each request counts once, under its class and outcome, and an attempt counts
// once it is written.
func TestFigures(t *testing.T) {
	r, _ := startWithAdminPort(t, "s")
	for range 3 {
		r.do(t, request(t, r.address, "search", ""))
	}
	r.adminCall(t, "DISABLE s\n")
	r.do(t, request(t, r.address, "confirm", ""))
	want := "gw.success.confirm:0|c\ngw.overload.confirm:1|c\ngw.error.confirm:0|c\n" +
		"gw.success.record:0|c\ngw.overload.record:0|c\ngw.error.record:0|c\n" +
		"gw.success.search:3|c\ngw.overload.search:0|c\ngw.error.search:0|c\n" +
		"gw.dispatches:3|c\ngw.concurrent:0|g\ngw.targets:1|g\ngw.targets_disabled:1|g\n" +
		"gw.reload_success:0|c\ngw.reload_failure:0|c\nEND\n"
	got := ""
	eventually(t, "the expected answer to STATS", func() bool { got = r.adminCall(t, "STATS\n"); return got == want || t.Failed() })
}

// Guards against an operators' port that the configuration does not name, and against accepting a malformed address for it.
func TestDoorIsConfigured(t *testing.T) {
	text := fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:9000","discovery":"127.0.0.1:1","seed":"1",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":%s}`, testSettings)
	if c, err := parseConfig([]byte(text)); err != nil || c.Ops != "" {
		t.Errorf("without ops: got %+v, error %v; want no operators' port", c, err)
	}
	withOps := strings.Replace(text, `"name":"n"`, `"name":"n","ops":"127.0.0.1:9800"`, 1)
	if c, err := parseConfig([]byte(withOps)); err != nil || c.Ops != "127.0.0.1:9800" {
		t.Errorf("with ops: got %+v, error %v; want 127.0.0.1:9800", c, err)
	}
	if _, err := parseConfig([]byte(strings.Replace(withOps, "127.0.0.1:9800", "somewhere", 1))); err == nil {
		t.Error("ops \"somewhere\" was accepted, want an error")
	}
}

// Guards against a caller that gets no answer because it closes its sending side instead of sending a newline.
func TestDoorTakesALineWithoutItsEnd(t *testing.T) {
	r, _ := startWithAdminPort(t, "s")
	conn, err := net.Dial("tcp", r.ops.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(conn, "READY"); err != nil {
		t.Fatal(err)
	}
	_ = conn.(*net.TCPConn).CloseWrite()
	if line, err := bufio.NewReader(conn).ReadString('\n'); err != nil || line != "YES\n" {
		t.Errorf("got %q, error %v; want YES", line, err)
	}
}
