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

// passed gives processes their own descriptors of one listening socket, as a platform does that holds it.
func passed(t *testing.T, n int) []net.Listener {
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

func twoUpstreams(t *testing.T) (*Config, *fakeUpstream) {
	a, b := newUpstream(t, respondWith(ok200("a"))), newUpstream(t, respondWith(ok200("b")))
	c := testConfig(t, quietDiscovery(t).address, entry("a", a.address, "Ready"), entry("b", b.address, "Ready"))
	c.Ops = "127.0.0.1:0"
	return c, b
}

func (r *testSidecar) awaitReady(t *testing.T, want string) {
	t.Helper()
	eventually(t, "READY "+want, func() bool { return strings.HasPrefix(r.adminCall(t, "READY\n"), want) })
}

// Guards against an upgrade that loses requests, bans or connections: the new process takes clients when it is ready, the
// old one ends each connection with its next answer, and a ban holds in both, whichever was called.
func TestUpgrade(t *testing.T) {
	tmp, listeners := t.TempDir(), passed(t, 2)
	c, b := twoUpstreams(t)
	old := startOnListener(t, c, listeners[0], tmp)
	old.awaitReady(t, "YES")
	eventually(t, "the socket", func() bool { _, err := os.Stat(filepath.Join(tmp, linkName)); return err == nil })
	if got := old.adminCall(t, "DISABLE b\n"); got != "YES\n" {
		t.Fatal(got)
	}
	if resp, _ := old.do(t, request(t, old.address, "confirm", "")); resp.Close {
		t.Error("a connection ended without an upgrade")
	}
	fresh := startOnListener(t, c, listeners[1], tmp)
	fresh.awaitReady(t, "YES")
	old.awaitReady(t, "NO")
	if resp, text := old.do(t, request(t, old.address, "confirm", "")); !resp.Close || text != "a" {
		t.Errorf("on a connection to the old process: %s %q, close %v", resp.Status, text, resp.Close)
	}
	for range 20 { // a new connection comes to the new process
		if resp, text := fresh.do(t, request(t, fresh.address, "confirm", "")); resp.Close || text != "a" {
			t.Fatalf("on a new connection: %s %q, close %v", resp.Status, text, resp.Close)
		}
	}
	for _, call := range []struct {
		on   *testSidecar
		line string
	}{{old, "ENABLE b\n"}, {fresh, "DISABLE b\n"}, {fresh, "ENABLE b\n"}, {old, "DISABLE b\n"}} {
		if got := call.on.adminCall(t, call.line); got != "YES\n" {
			t.Errorf("%s: %q", call.line, got)
		}
		want := "targets_disabled:1|g"
		if strings.HasPrefix(call.line, "ENABLE") {
			want = "targets_disabled:0|g"
		}
		for _, r := range []*testSidecar{old, fresh} {
			eventually(t, call.line+" in both", func() bool { return strings.Contains(r.adminCall(t, "STATS\n"), want) })
		}
	}
	old.stop()
	<-old.ended
	if old.err != nil {
		t.Errorf("the old process ended with %v", old.err)
	}
	if resp, text := fresh.do(t, request(t, fresh.address, "confirm", "")); text != "a" {
		t.Errorf("afterwards: %s %q", resp.Status, text)
	}
	if got := fresh.adminCall(t, "DISABLE nobody\n"); !strings.HasPrefix(got, "NO ") {
		t.Error(got)
	}
	if n := len(b.requests()); n != 0 {
		t.Errorf("the banned one got %d requests", n)
	}
}

// Guards against an old process that stays useless when the new one dies, before it is ready or after.
func TestNewProcessDies(t *testing.T) {
	tmp, listeners := t.TempDir(), passed(t, 1)
	c, _ := twoUpstreams(t)
	old := startOnListener(t, c, listeners[0], tmp)
	old.awaitReady(t, "YES")
	for _, ready := range []bool{false, true} {
		var conn net.Conn
		eventually(t, "the socket", func() (ok bool) {
			var err error
			conn, err = net.Dial("unix", filepath.Join(tmp, linkName))
			return err == nil
		})
		var m handoverMessage
		if err := json.NewDecoder(conn).Decode(&m); err != nil || m.State == nil || len(m.State.List.Endpoints) != 2 {
			t.Fatalf("told %+v, %v", m, err)
		}
		if ready {
			if _, err := io.WriteString(conn, `{"Ready":true}`+"\n"); err != nil {
				t.Fatal(err)
			}
			if line, err := bufio.NewReader(conn).ReadString('\n'); err != nil || !strings.Contains(line, "Uses") {
				t.Fatalf("%q, %v", line, err)
			}
			old.awaitReady(t, "NO")
		}
		_ = conn.Close()
		old.awaitReady(t, "YES")
		client := &http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Do(request(t, old.address, "confirm", ""))
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("ready %v, then gone: %v, %v", ready, resp, err)
		}
		_ = resp.Body.Close()
	}
}

// Guards against clients that nobody accepts while a new process ends again, before it took over or after, with a request
// in flight: the old one, if it stays, takes them at once.
func TestSuccessorIsTerminated(t *testing.T) {
	for _, tookOver := range []bool{false, true} {
		tmp, listeners := t.TempDir(), passed(t, 2)
		s, release := pendingUpstream(t)
		c := testConfig(t, quietDiscovery(t).address, entry("s", s.address, "Ready"))
		c.Ops = "127.0.0.1:0"
		old := startOnListener(t, c, listeners[0], tmp)
		old.awaitReady(t, "YES")
		eventually(t, "the socket", func() bool { _, err := os.Stat(filepath.Join(tmp, linkName)); return err == nil })
		fresh := startOnListener(t, c, listeners[1], tmp)
		if tookOver {
			fresh.awaitReady(t, "YES")
			old.awaitReady(t, "NO")
			p := dialRaw(t, fresh.address)
			p.send(text("confirm"))
			eventually(t, "request at the upstream", func() bool { return len(s.requests()) == 1 })
			defer p.answered(200)
			defer release()
		}
		begun := term(fresh)
		old.awaitReady(t, "YES")
		time.Sleep(time.Until(begun.Add(drainAcceptTime + 100*time.Millisecond)))
		if !tookOver {
			<-fresh.ended
		}
		for range 10 {
			p := dialRaw(t, old.address)
			p.send(text("search"))
			p.answered(200)
		}
		select {
		case <-fresh.ended:
			if tookOver {
				t.Error("it ended before its request was answered")
			}
		default:
		}
	}
}

// Guards against a start that fails for what an earlier process left, and against bans that are lost with it.
func TestWhatAnEarlierProcessLeft(t *testing.T) {
	for name, c := range map[string]struct{ bans, want string }{
		"bans":      {`["b"]`, "targets_disabled:1|g"},
		"no use":    {`["b"`, "targets_disabled:0|g"},
		"no string": {`[1]`, "targets_disabled:0|g"},
	} {
		tmp := t.TempDir()
		for file, text := range map[string]string{bansName: c.bans, linkName: "stale"} {
			if err := os.WriteFile(filepath.Join(tmp, file), []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		config, _ := twoUpstreams(t)
		r := startOnListener(t, config, passed(t, 1)[0], tmp)
		r.awaitReady(t, "YES")
		if got := r.adminCall(t, "STATS\n"); !strings.Contains(got, c.want) {
			t.Errorf("%s: %s", name, got)
		}
	}
}

// Guards against a descriptor that is none.
func TestPassedSocket(t *testing.T) {
	for _, text := range []string{"three", "-1", "1", "9999"} {
		t.Setenv("GW_PASSED_SOCKET", text)
		if l, err := passedListener(); err == nil || l != nil {
			t.Errorf("%q: taken", text)
		}
	}
	t.Setenv("GW_PASSED_SOCKET", "")
	if l, err := passedListener(); err != nil || l != nil {
		t.Errorf("none: %v, %v", l, err)
	}
}
