package sidecar

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// Guards against a process that is not ready for as long as discovery is down, because the list that it knows is empty or only
// has servers that drain: it is ready all the same, holds what comes, refuses it in its time, and serves once discovery speaks.
func TestReadyWithoutAServer(t *testing.T) {
	t.Parallel()
	s := newUpstream(t, respondWith(ok200("done")))
	silentOne := func(back <-chan struct{}) string { // answers no call before it is back
		return newDiscovery(t, func(_ int, send func(string), done <-chan struct{}) {
			select {
			case <-back:
				send(list(2, true, entry("s", s.address, "Ready")))
				<-done
			case <-done:
			}
		}).address
	}
	refuses := func(<-chan struct{}) string { return "127.0.0.1:1" }
	for name, c := range map[string]struct {
		known     []string
		discovery func(<-chan struct{}) string
		returns   bool
	}{
		"empty, silent":    {nil, silentOne, true},
		"draining, silent": {[]string{entry("s", s.address, "Terminating")}, silentOne, true},
		"empty, down":      {nil, refuses, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			back := make(chan struct{})
			r := startOnListener(t, testConfig(t, c.discovery(back), c.known...), listenAt(t), "")
			begun := time.Now()
			status := func() int {
				resp, err := r.client.Get("http://" + r.address + "/-/ready")
				if err != nil {
					t.Fatal(err)
				}
				_ = resp.Body.Close()
				return resp.StatusCode
			}
			if got := status(); got != http.StatusServiceUnavailable {
				t.Errorf("ready at once: %d", got) // a list may come any moment
			}
			eventually(t, "ready", func() bool { return status() == http.StatusOK })
			if elapsed := time.Since(begun); elapsed < readyWithoutListAfter-100*time.Millisecond || elapsed > 8*time.Second {
				t.Errorf("ready after %v", elapsed)
			}
			req := request(t, r.address, "search", "")
			req.Header.Set("X-Timeout", "400m")
			queries := time.Now()
			if resp, _ := r.do(t, req); resp.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("without a list: %s", resp.Status)
			}
			if elapsed := time.Since(queries); elapsed > 2*time.Second { // 400 ms and what a busy machine takes
				t.Errorf("refused after %v", elapsed)
			}
			if !c.returns {
				return
			}
			pending := r.doAsync(request(t, r.address, "search", ""))
			close(back)
			if got := <-pending; got != "200 done" {
				t.Errorf("what was held as discovery came back: %s", got)
			}
		})
	}
}

// Guards against a start that waits where there is a list, however old and whatever discovery does.
func TestReadyAtOnceWithAnOldList(t *testing.T) {
	t.Parallel()
	s := newUpstream(t, respondWith(ok200("done")))
	for name, discovery := range map[string]string{"down": "127.0.0.1:1", "silent": newDiscovery(t,
		func(_ int, _ func(string), done <-chan struct{}) { <-done }).address} {
		begun := time.Now()
		r := start(t, testConfig(t, discovery, entry("s", s.address, "Ready")), "127.0.0.1:0")
		if elapsed := time.Since(begun); elapsed > readyWithoutListAfter {
			t.Errorf("%s: ready after %v", name, elapsed)
		}
		if resp, _ := r.do(t, request(t, r.address, "search", "")); resp.StatusCode != 200 {
			t.Errorf("%s: %s", name, resp.Status)
		}
	}
}

// Guards against limits that leave nothing for clients, and are taken without a word: the process would accept nobody.
func TestTooFewDescriptorsAreNamed(t *testing.T) {
	for _, c := range []struct {
		sockets int
		all     bool // doors, disk, passed socket
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
			t.Errorf("%d descriptors, all %v: %v", c.sockets, c.all, err)
		}
		if err == nil && p.maxConns < minConns {
			t.Errorf("%d descriptors, all %v: %d for clients", c.sockets, c.all, p.maxConns)
		}
		if err != nil && fmt.Sprint(err)[:16] != "limits: sockets:" {
			t.Errorf("not named: %v", err)
		}
	}
}
