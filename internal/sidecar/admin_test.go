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

// adminCall makes one call of operators and brings all of its answer.
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
		t.Fatalf("%q: %v", line, err)
	}
	return string(text)
}

// startWithAdminPort is a running sidecar with an admin port, over upstreams of these names that answer with theirs.
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

// Guards against calls that crash, hang or are taken for another: each gets a YES or a NO with a reason.
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
			t.Errorf("%.40q: %q, want %s", c.line, got, c.want)
		}
	}
}

// Guards against a call cut off by a broken connection that is carried out: DISABLE s-1 is not DISABLE s-12.
func TestPartOfALineIsNoCall(t *testing.T) {
	for broken, want := range map[error]int{io.EOF: 1, errors.New("reset"): 0} {
		ours, theirs := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, ours) }()
		calls := 0
		d := &adminServer{ban: func(string, bool) error { calls++; return nil }}
		d.serve(&brokenConn{theirs, io.MultiReader(strings.NewReader("DISABLE s-1"), iotest.ErrReader(broken))})
		_ = ours.Close()
		if calls != want {
			t.Errorf("ended by %v: %d calls carried out", broken, calls)
		}
	}
}

// brokenConn reads from elsewhere.
type brokenConn struct {
	net.Conn
	reader io.Reader
}

func (c *brokenConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// Guards against callers that hold the admin port shut by sending nothing: the oldest of them is evicted.
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
		t.Errorf("beside silent callers: %q", got)
	}
	_ = silent[0].SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := silent[0].Read(make([]byte, 1)); err == nil {
		t.Error("the oldest was answered")
	}
}

// Guards against work to an upstream that operators took out, whatever lists say; against requests that wait where all
// are out; and against one that stays out when it was called back once.
func TestDisableAndEnable(t *testing.T) {
	r, ups := startWithAdminPort(t, "a", "b")
	for _, call := range []string{"DISABLE a\n", "DISABLE a\n"} {
		if got := r.adminCall(t, call); got != "YES\n" {
			t.Fatalf("%s: %q", call, got)
		}
	}
	for range 20 {
		if resp, text := r.do(t, request(t, r.address, "confirm", "")); resp.StatusCode != 200 || text != "b" {
			t.Fatalf("with a out: %s %q", resp.Status, text)
		}
	}
	if got := r.adminCall(t, "DISABLE b\n"); got != "YES\n" {
		t.Fatal(got)
	}
	begun := time.Now()
	if resp, _ := r.do(t, request(t, r.address, "confirm", "")); resp.StatusCode != 503 {
		t.Errorf("with all out: %s", resp.Status)
	}
	if elapsed := time.Since(begun); elapsed > 2*time.Second { // its client would wait for 9
		t.Errorf("with all out: answered after %v", elapsed)
	}
	if got := r.adminCall(t, "ENABLE a\n"); got != "YES\n" {
		t.Fatal(got)
	}
	if resp, text := r.do(t, request(t, r.address, "confirm", "")); resp.StatusCode != 200 || text != "a" {
		t.Errorf("with a back: %s %q", resp.Status, text)
	}
	if n := len(ups["b"].requests()); n != 20 {
		t.Errorf("b got %d", n)
	}
}

// Guards against a send that was decided on before the ban: it is stopped at its write.
func TestBanHoldsAtTheWrite(t *testing.T) {
	d := newEndpointDirectory(newClock(), func(string) {})
	d.apply(mustParseListing(t, list(1, true, entry("s", "127.0.0.1:1", "Ready"))))
	at, _ := d.address("s")
	if !d.ban("s", false) || d.ready("s", at) {
		t.Fatal("banned, and still ready")
	}
	d.apply(mustParseListing(t, list(2, true)))
	d.apply(mustParseListing(t, list(3, false, entry("s", "127.0.0.1:1", "Ready"))))
	if d.ready("s", at) {
		t.Error("a list lifted the ban")
	}
	if listed, avoided := d.countUnavailable([]string{"s"}); listed != 1 || avoided != 1 {
		t.Errorf("%d listed, %d avoided", listed, avoided)
	}
	if !d.ban("s", true) || !d.ready("s", at) || d.ban("nobody", false) {
		t.Error("lifted, and not ready, or an unknown id taken")
	}
}

// Guards against figures that do not add up: each request counts once, under its class and end, and an attempt once it
// was written.
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
	eventually(t, "true figures", func() bool { got = r.adminCall(t, "STATS\n"); return got == want || t.Failed() })
}

// Guards against an admin port where none is configured, and against one at a place that is none.
func TestDoorIsConfigured(t *testing.T) {
	text := fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:9000","discovery":"127.0.0.1:1","seed":"1",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":%s}`, testSettings)
	if c, err := parseConfig([]byte(text)); err != nil || c.Ops != "" {
		t.Errorf("without ops: %v, %v", c, err)
	}
	with := strings.Replace(text, `"name":"n"`, `"name":"n","ops":"127.0.0.1:9800"`, 1)
	if c, err := parseConfig([]byte(with)); err != nil || c.Ops != "127.0.0.1:9800" {
		t.Errorf("with ops: %v, %v", c, err)
	}
	if _, err := parseConfig([]byte(strings.Replace(with, "127.0.0.1:9800", "somewhere", 1))); err == nil {
		t.Error("a bad address was taken")
	}
}

// Guards against a caller that ends its sending in place of the line's end.
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
		t.Errorf("%q, %v", line, err)
	}
}
