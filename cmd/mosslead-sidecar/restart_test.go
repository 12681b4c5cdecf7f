package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Many processes start at once while discovery is down or does not answer, and their list is empty or has only a draining
// upstream. Guards against processes that do not become ready: nine in ten must be ready within 10 s.
func TestManyRestartAtOnce(t *testing.T) {
	t.Parallel()
	const count = 20
	silent, _, _ := silentDiscovery(t, "")
	draining := `{"name":"s","address":"127.0.0.1:1","status":"Terminating"}`
	dir := t.TempDir()
	begun := time.Now()
	ready := make(chan bool, count)
	var cmds []*exec.Cmd
	for i := range count {
		known, discovery := []string{"", draining}[i%2], []string{"127.0.0.1:1", silent}[i/2%2]
		address, path := freeAddress(t), filepath.Join(dir, fmt.Sprint(i))
		text := fmt.Sprintf(`{"name":"n%d","listen":%q,"discovery":%q,"seed":"1f","limits":{"cores":0.5,"memory_mb":32,"sockets":256},
			"known":{"index":1,"snapshot":true,"endpoints":[%s]},"settings":%s}`, i, address, discovery, known,
			strings.Replace(settings, `"ask"`, []string{`"ask"`, `"push"`}[i/4%2], 1))
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "ORCHIDDRIFT_MAIN=1", "GW_CONFIG="+path)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = cmd.Process.Kill() }) // only if the test ends early
		cmds = append(cmds, cmd)
		go func() { // ends after 10 s at the latest
			client := &http.Client{Timeout: time.Second}
			defer client.CloseIdleConnections()
			for ; time.Since(begun) < 10*time.Second; time.Sleep(20 * time.Millisecond) {
				if resp, err := client.Get("http://" + address + "/-/ready"); err == nil {
					_ = resp.Body.Close()
					if resp.StatusCode == http.StatusOK {
						ready <- true
						return
					}
				}
			}
			ready <- false
		}()
	}
	n := 0
	for range count {
		if <-ready {
			n++
		}
	}
	if n < count*9/10 {
		t.Errorf("after 10 s: got %d of %d processes ready, want at least %d", n, count, count*9/10)
	}
	t.Logf("%d of %d ready after %v", n, count, time.Since(begun))
	for _, cmd := range cmds {
		if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Error(err)
		}
	}
	for _, cmd := range cmds {
		if err := cmd.Wait(); err != nil {
			t.Errorf("after SIGTERM: got %v, want exit code 0", err)
		}
	}
}
