package sidecar

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// passedListeners returns n listeners, each with its own descriptor of one listening socket, as a platform passes it to each
// process.
func passedListeners(t *testing.T, n int) []net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var all []net.Listener
	for range n {
		f, err := l.(*net.TCPListener).File()
		if err != nil {
			t.Fatal(err)
		}
		own, err := net.FileListener(f)
		_ = f.Close()
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, own)
	}
	return all
}

// twoUpstreams returns the configuration of a sidecar with the upstreams a and b, and the upstream b.
func twoUpstreams(t *testing.T) (*Config, *fakeUpstream) {
	a, b := newUpstream(t, respondWith(ok200("a"))), newUpstream(t, respondWith(ok200("b")))
	c := testConfig(t, quietDiscovery(t).address, entry("a", a.address, "Ready"), entry("b", b.address, "Ready"))
	c.Ops = "127.0.0.1:0"
	return c, b
}

// awaitReady waits until READY is answered with want.
func (r *testSidecar) awaitReady(t *testing.T, want string) {
	t.Helper()
	eventually(t, "READY "+want, func() bool { return strings.HasPrefix(r.adminCall(t, "READY\n"), want) })
}

// Guards against an upgrade that loses requests, bans or connections: the new process accepts clients when it is ready, the
// old one closes each connection with its next answer, and a ban that either process gets applies in both.
func TestUpgrade(t *testing.T) {
	tmp, listeners := t.TempDir(), passedListeners(t, 2)
	c, b := twoUpstreams(t)
	old := startOnListener(t, c, listeners[0], tmp)
	old.awaitReady(t, "YES")
	eventually(t, "the socket of the hand-over", func() bool { _, err := os.Stat(filepath.Join(tmp, linkName)); return err == nil })
	if got := old.adminCall(t, "DISABLE b\n"); got != "YES\n" {
		t.Fatalf("DISABLE b: got %q, want YES", got)
	}
	if resp, _ := old.do(t, request(t, old.address, "confirm", "")); resp.Close {
		t.Errorf("response without an upgrade: got close %v, want false", resp.Close)
	}
	fresh := startOnListener(t, c, listeners[1], tmp)
	fresh.awaitReady(t, "YES")
	old.awaitReady(t, "NO")
	if resp, text := old.do(t, request(t, old.address, "confirm", "")); !resp.Close || text != "a" {
		t.Errorf("on a connection to the old process: got %s %q, close %v; want a, close true", resp.Status, text, resp.Close)
	}
	for range 20 { // new connections go to the new process
		if resp, text := fresh.do(t, request(t, fresh.address, "confirm", "")); resp.Close || text != "a" {
			t.Fatalf("on a new connection: got %s %q, close %v; want a, close false", resp.Status, text, resp.Close)
		}
	}
	for _, call := range []struct {
		on   *testSidecar
		line string
	}{{old, "ENABLE b\n"}, {fresh, "DISABLE b\n"}, {fresh, "ENABLE b\n"}, {old, "DISABLE b\n"}} {
		if got := call.on.adminCall(t, call.line); got != "YES\n" {
			t.Errorf("%q: got %q, want YES", call.line, got)
		}
		want := "targets_disabled:1|g"
		if strings.HasPrefix(call.line, "ENABLE") {
			want = "targets_disabled:0|g"
		}
		for _, r := range []*testSidecar{old, fresh} {
			eventually(t, call.line+" applies in both processes", func() bool { return strings.Contains(r.adminCall(t, "STATS\n"), want) })
		}
	}
	old.stop()
	<-old.ended
	if old.err != nil {
		t.Errorf("the old process ended with error %v, want nil", old.err)
	}
	if resp, text := fresh.do(t, request(t, fresh.address, "confirm", "")); text != "a" {
		t.Errorf("after the end of the old process: got %s %q, want a", resp.Status, text)
	}
	if got := fresh.adminCall(t, "DISABLE nobody\n"); !strings.HasPrefix(got, "NO ") {
		t.Errorf("DISABLE of an unknown upstream: got %q, want NO and a reason", got)
	}
	if n := len(b.requests()); n != 0 {
		t.Errorf("the banned upstream received %d requests, want 0", n)
	}
}

// Guards against an old process that does not accept clients again when the new one dies, before it is ready or after.
func TestNewProcessDies(t *testing.T) {
	tmp, listeners := t.TempDir(), passedListeners(t, 1)
	c, _ := twoUpstreams(t)
	old := startOnListener(t, c, listeners[0], tmp)
	old.awaitReady(t, "YES")
	for _, ready := range []bool{false, true} {
		var conn net.Conn
		eventually(t, "the socket of the hand-over", func() (ok bool) {
			var err error
			conn, err = net.Dial("unix", filepath.Join(tmp, linkName))
			return err == nil
		})
		var m handoverMessage
		if err := json.NewDecoder(conn).Decode(&m); err != nil || m.State == nil || len(m.State.List.Endpoints) != 2 {
			t.Fatalf("first message to the successor: got %+v, error %v; want the state with 2 endpoints", m, err)
		}
		if ready {
			if _, err := io.WriteString(conn, `{"Ready":true}`+"\n"); err != nil {
				t.Fatal(err)
			}
			if line, err := bufio.NewReader(conn).ReadString('\n'); err != nil || !strings.Contains(line, "Uses") {
				t.Fatalf("message to a ready successor: got %q, error %v; want Uses", line, err)
			}
			old.awaitReady(t, "NO")
		}
		_ = conn.Close()
		old.awaitReady(t, "YES")
		client := &http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Do(request(t, old.address, "confirm", ""))
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("after a successor that died, ready %v: got response %v, error %v; want status 200", ready, resp, err)
		}
		_ = resp.Body.Close()
	}
}

// Guards against clients that no process accepts while a new process ends, before or after its takeover, with a request in
// flight: the old process, if it still runs, accepts them at once.
func TestSuccessorIsTerminated(t *testing.T) {
	for _, tookOver := range []bool{false, true} {
		tmp, listeners := t.TempDir(), passedListeners(t, 2)
		s, release := pendingUpstream(t)
		c := testConfig(t, quietDiscovery(t).address, entry("s", s.address, "Ready"))
		c.Ops = "127.0.0.1:0"
		old := startOnListener(t, c, listeners[0], tmp)
		old.awaitReady(t, "YES")
		eventually(t, "the socket of the hand-over", func() bool { _, err := os.Stat(filepath.Join(tmp, linkName)); return err == nil })
		fresh := startOnListener(t, c, listeners[1], tmp)
		if tookOver {
			fresh.awaitReady(t, "YES")
			old.awaitReady(t, "NO")
			p := dialRaw(t, fresh.address)
			p.send(requestText("confirm"))
			eventually(t, "the request is at the upstream", func() bool { return len(s.requests()) == 1 })
			defer p.expectAnswer(200)
			defer release()
		}
		begun := sendSIGTERM(fresh)
		old.awaitReady(t, "YES")
		time.Sleep(time.Until(begun.Add(drainAcceptTime + 100*time.Millisecond)))
		if !tookOver {
			<-fresh.ended
		}
		for range 10 {
			p := dialRaw(t, old.address)
			p.send(requestText("search"))
			p.expectAnswer(200)
		}
		select {
		case <-fresh.ended:
			if tookOver {
				t.Error("the new process ended before its request was answered, want it to wait")
			}
		default:
		}
	}
}

// Guards against a start that fails because of files of an earlier process, and against the loss of the bans in them.
func TestWhatAnEarlierProcessLeft(t *testing.T) {
	for name, c := range map[string]struct{ bans, want string }{
		"bans":       {`["b"]`, "targets_disabled:1|g"},
		"no JSON":    {`["b"`, "targets_disabled:0|g"},
		"no strings": {`[1]`, "targets_disabled:0|g"},
	} {
		tmp := t.TempDir()
		for file, text := range map[string]string{bansName: c.bans, linkName: "stale"} {
			if err := os.WriteFile(filepath.Join(tmp, file), []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		config, _ := twoUpstreams(t)
		r := startOnListener(t, config, passedListeners(t, 1)[0], tmp)
		r.awaitReady(t, "YES")
		if got := r.adminCall(t, "STATS\n"); !strings.Contains(got, c.want) {
			t.Errorf("file of bans %s: STATS: got\n%s\nwant %s", name, got, c.want)
		}
	}
}

// Guards against a number in GW_PASSED_SOCKET that is not a usable descriptor.
func TestPassedSocket(t *testing.T) {
	for _, text := range []string{"three", "-1", "1", "9999"} {
		t.Setenv("GW_PASSED_SOCKET", text)
		if l, err := passedListener(); err == nil || l != nil {
			t.Errorf("GW_PASSED_SOCKET=%q: got listener %v, error %v; want an error", text, l, err)
		}
	}
	t.Setenv("GW_PASSED_SOCKET", "")
	if l, err := passedListener(); err != nil || l != nil {
		t.Errorf("empty GW_PASSED_SOCKET: got listener %v, error %v; want neither", l, err)
	}
}
