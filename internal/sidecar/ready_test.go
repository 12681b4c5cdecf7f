package sidecar

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// Guards against a process that is not ready while discovery is down, because its list is empty or has only draining upstreams:
// it becomes ready nevertheless, queues requests, rejects them within their deadlines, and serves once discovery answers.
func TestReadyWithoutAServer(t *testing.T) {
	t.Parallel()
	s := newUpstream(t, respondWith(ok200("done")))
	silentUntil := func(back <-chan struct{}) string { // answers no call before back is closed
		return newDiscovery(t, func(_ int, send func(string), done <-chan struct{}) {
			select {
			case <-back:
				send(list(2, true, entry("s", s.address, "Ready")))
				<-done
			case <-done:
			}
		}).address
	}
	unreachable := func(<-chan struct{}) string { return "127.0.0.1:1" }
	for name, c := range map[string]struct {
		known     []string
		discovery func(<-chan struct{}) string
		returns   bool
	}{
		"empty, silent":    {nil, silentUntil, true},
		"draining, silent": {[]string{entry("s", s.address, "Terminating")}, silentUntil, true},
		"empty, down":      {nil, unreachable, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			back := make(chan struct{})
			r := startOnListener(t, testConfig(t, c.discovery(back), c.known...), listenLoopback(t), "")
			startedAt := time.Now()
			status := func() int {
				resp, err := r.client.Get("http://" + r.address + "/-/ready")
				if err != nil {
					t.Fatal(err)
				}
				_ = resp.Body.Close()
				return resp.StatusCode
			}
			if got := status(); got != http.StatusServiceUnavailable {
				t.Errorf("at the start: got status %d, want 503", got) // a list may be received at any moment
			}
			eventually(t, "ready", func() bool { return status() == http.StatusOK })
			if elapsed := time.Since(startedAt); elapsed < readyWithoutListAfter-100*time.Millisecond || elapsed > 8*time.Second {
				t.Errorf("got ready after %v, want %v to 8 s", elapsed, readyWithoutListAfter)
			}
			req := request(t, r.address, "search", "")
			req.Header.Set("X-Timeout", "400m")
			sentAt := time.Now()
			if resp, _ := r.do(t, req); resp.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("without a list: got status %s, want 503", resp.Status)
			}
			if elapsed := time.Since(sentAt); elapsed > 2*time.Second { // 400 ms and the delays of a busy machine
				t.Errorf("got the rejection after %v, want 2 s or less", elapsed)
			}
			if !c.returns {
				return
			}
			pending := r.doAsync(request(t, r.address, "search", ""))
			close(back)
			if got := <-pending; got != "200 done" {
				t.Errorf("request queued before discovery returned: got %s, want 200 done", got)
			}
		})
	}
}

// Guards against a start that waits although there is a list, however old it is and whatever discovery does.
func TestReadyAtOnceWithAnOldList(t *testing.T) {
	t.Parallel()
	s := newUpstream(t, respondWith(ok200("done")))
	for name, discovery := range map[string]string{"down": "127.0.0.1:1", "silent": newDiscovery(t,
		func(_ int, _ func(string), done <-chan struct{}) { <-done }).address} {
		startedAt := time.Now()
		r := start(t, testConfig(t, discovery, entry("s", s.address, "Ready")), "127.0.0.1:0")
		if elapsed := time.Since(startedAt); elapsed > readyWithoutListAfter {
			t.Errorf("%s: got ready after %v, want %v or less", name, elapsed, readyWithoutListAfter)
		}
		if resp, _ := r.do(t, request(t, r.address, "search", "")); resp.StatusCode != 200 {
			t.Errorf("%s: got status %s, want 200", name, resp.Status)
		}
	}
}

// Guards against descriptor limits under which none is available for clients: the process would accept no connection, so newProcess
// returns an error that names the limit.
func TestTooFewDescriptorsAreNamed(t *testing.T) {
	for _, c := range []struct {
		sockets int
		all     bool // with operators' port, state directory, forwarding between peers, and hand-over
		ok      bool
	}{{64, false, true}, {64, true, false}, {35, false, false}, {256, true, true}} {
		conf := testConfig(t, "127.0.0.1:1")
		conf.Limits.Sockets = c.sockets
		tmp := ""
		if c.all {
			conf.Ops, conf.State, tmp = "127.0.0.1:1", t.TempDir(), t.TempDir()
			conf.Peers = &Peers{Forward: "127.0.0.1:1"}
		}
		p, err := newProcess(conf, nil, c.all, tmp, nil)
		if (err == nil) != c.ok {
			t.Errorf("%d descriptors, all %v: got error %v, want success %v", c.sockets, c.all, err, c.ok)
		}
		if err == nil && p.maxConns < minConns {
			t.Errorf("%d descriptors, all %v: got %d for clients, want %d or more", c.sockets, c.all, p.maxConns, minConns)
		}
		if err != nil && fmt.Sprint(err)[:16] != "limits: sockets:" {
			t.Errorf("got error %v, want it to begin with limits: sockets:", err)
		}
	}
}
