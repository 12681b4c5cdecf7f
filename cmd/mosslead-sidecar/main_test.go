package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestMain runs the program instead of the tests if a test started this process for that.
func TestMain(m *testing.M) {
	if os.Getenv("ORCHIDDRIFT_MAIN") == "1" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

const settings = `{"Discovery":"ask","TickMs":5,"Classes":[{"Name":"search","Semantics":"retryable",
	"AimMs":1000,"DeadlineMs":2000}]}`

// lastHost is the number of the last host that a test used.
var lastHost atomic.Int64

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	// Each address has its own host: on a shared host, another test or an outgoing connection could get the port meanwhile.
	n, pid := lastHost.Add(1), os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid%250, pid/250%250, 1+n%250))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// writeConfig writes a configuration file.
func writeConfig(t *testing.T, path, listen, discovery, settings string) {
	t.Helper()
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"1f",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"index":1,"snapshot":true,"endpoints":[
		{"name":"s","address":"127.0.0.1:1","status":"Ready"}]},"settings":%s}`, listen, discovery, settings)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// startMain starts the program, and waits until it is ready.
func startMain(t *testing.T, path, address string, stderr io.Writer) *exec.Cmd {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "ORCHIDDRIFT_MAIN=1", "GW_CONFIG="+path)
	cmd.Stderr = stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() }) // only if the test ends early
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get("http://" + address + "/-/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return cmd
			}
		}
		if time.Now().After(deadline) {
			t.Fatalf("got no status 200 from /-/ready within 20s (last error %v), want one", err)
		}
	}
}

// terminate sends SIGTERM to the program, and waits until it ends with exit code 0.
func terminate(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("after SIGTERM: got %v, want exit code 0", err)
	}
}

// Guards against a planned restart that looks like a crash: after SIGTERM the program ends with exit code 0, and its address is
// free again at once.
func TestTermEndsWithZero(t *testing.T) {
	address, path := freeAddress(t), filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, address, "127.0.0.1:1", settings)
	for range 2 {
		terminate(t, startMain(t, path, address, os.Stderr))
	}
}

// Guards against a reload that ends the program or applies an unusable file: SIGHUP moves the watch to the file's address of
// discovery, and an error in the file is logged.
func TestHupMovesTheWatch(t *testing.T) {
	address, path := freeAddress(t), filepath.Join(t.TempDir(), "config.json")
	watches := make(chan string, 64)
	discovery := func(name string) string {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			watches <- name
			_, _ = fmt.Fprintln(w, `{"index":2,"snapshot":false,"endpoints":[]}`)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}))
		t.Cleanup(srv.CloseClientConnections)
		return strings.TrimPrefix(srv.URL, "http://")
	}
	wait := func(want string) {
		t.Helper()
		select {
		case got := <-watches:
			if got != want {
				t.Fatalf("got a watch at %s, want one at %s", got, want)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("got no watch at %s within 20s", want)
		}
	}
	pushSettings := strings.Replace(settings, `"ask"`, `"push"`, 1)
	writeConfig(t, path, address, discovery("the old one"), pushSettings)
	var stderr logBuffer
	cmd := startMain(t, path, address, &stderr)
	wait("the old one")
	hup := func() {
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	writeConfig(t, path, address, discovery("the new one"), pushSettings)
	hup()
	wait("the new one")
	if err := os.WriteFile(path, []byte(`{"name":`), 0o600); err != nil {
		t.Fatal(err)
	}
	hup()
	for deadline := time.Now().Add(20 * time.Second); !strings.Contains(stderr.String(), reloadRejected); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("got log %q, want a line with %s", stderr.String(), reloadRejected)
		}
	}
	writeConfig(t, path, address, discovery("the last one"), pushSettings)
	hup()
	wait("the last one")
	terminate(t, cmd)
}

const reloadRejected = `"msg":"reload rejected, configuration unchanged"`

// logBuffer is a buffer for a log, which can be read while it is written.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// Guards against a start with a malformed configuration that seems to succeed, or fails without a reason.
func TestMalformedConfigIsOneLineAndNonZero(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(bad, []byte(`{"name":"n1","listen":"nowhere"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{"", bad, bad + ".missing"} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "ORCHIDDRIFT_MAIN=1", "GW_CONFIG="+path)
		var stderr bytes.Buffer
		cmd.Stderr = &stderr
		err := cmd.Run()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 1 {
			t.Errorf("configuration %q: got %v, want exit code 1", path, err)
		}
		if text := stderr.String(); !strings.HasPrefix(text, "mosslead-sidecar: ") || strings.Count(text, "\n") != 1 {
			t.Errorf("configuration %q: got output %q, want one line that begins with mosslead-sidecar:", path, text)
		}
	}
}
