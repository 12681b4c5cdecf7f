package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the case's record.txt: what was sent, answered and run, with the time since the start of the case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		unable("record: %v", err)
	}
	return &record{file: f, start: time.Now()}
}

func (r *record) now() time.Duration { return time.Since(r.start) }

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

var (
	cleanupMu sync.Mutex
	cleanups  []func()
)

// atEnd registers a function that runs before the program exits.
func atEnd(f func()) {
	cleanupMu.Lock()
	cleanups = append(cleanups, f)
	cleanupMu.Unlock()
}

func exit(code int) {
	cleanupMu.Lock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	os.Exit(code)
}

// unable ends the program because the case could not run.
func unable(format string, args ...any) {
	fmt.Printf("could not run: "+format+"\n", args...)
	exit(exitUnable)
}

// runCommand returns the value of run in the deploy file.
func runCommand(root string) string {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		unable("%v", err)
	}
	m := regexp.MustCompile(`(?m)^run *= *"([^"]*)"`).FindSubmatch(text)
	if m == nil {
		unable("no run in deploy/balancer.toml")
	}
	return string(m[1])
}

// freeAddress returns a loopback address with a port that was free a moment ago.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		unable("%v", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// sidecar is one process of the project's sidecar, started by run of the deploy file.
type sidecar struct {
	rec    *record
	name   string
	listen string
	config string // path of the configuration file
	cmd    *exec.Cmd
	ended  chan struct{}
	err    error
}

// sidecarOptions are what differs between the configurations of the cases.
type sidecarOptions struct {
	name, listen, discovery, ops string
	memoryMB, sockets            int
	settings                     map[string]any
	known                        any
	passed                       *os.File // the clients' listening socket, if the platform holds it
	tmp                          string   // TMPDIR; a new one if empty
	extra                        map[string]any
}

func writeConfig(path string, o sidecarOptions) {
	c := map[string]any{"name": o.name, "listen": o.listen, "discovery": o.discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": o.memoryMB, "sockets": o.sockets},
		"settings": o.settings}
	if o.known != nil {
		c["known"] = o.known
	}
	if o.ops != "" {
		c["ops"] = o.ops
	}
	for k, v := range o.extra {
		c[k] = v
	}
	text, err := json.MarshalIndent(c, "", " ")
	if err != nil {
		unable("%v", err)
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		unable("%v", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		unable("%v", err)
	}
}

// tempDir returns a new folder that is removed at the end.
func tempDir() string {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		unable("%v", err)
	}
	atEnd(func() { _ = os.RemoveAll(dir) })
	return dir
}

func startSidecar(rec *record, root string, o sidecarOptions) *sidecar {
	dir := tempDir()
	if o.tmp == "" {
		o.tmp = filepath.Join(dir, "tmp")
		_ = os.Mkdir(o.tmp, 0o700)
	}
	s := &sidecar{rec: rec, name: o.name, listen: o.listen, config: filepath.Join(dir, "config.json"), ended: make(chan struct{})}
	writeConfig(s.config, o)
	s.cmd = exec.Command("/bin/sh", "-c", runCommand(root))
	s.cmd.Dir = root
	s.cmd.Env = append(os.Environ(), "GW_CONFIG="+s.config, "GW_NAME="+o.name, "GW_LISTEN="+o.listen, "GW_DISCOVERY="+o.discovery, "TMPDIR="+o.tmp)
	if o.passed != nil {
		s.cmd.ExtraFiles = []*os.File{o.passed}
		s.cmd.Env = append(s.cmd.Env, "GW_PASSED_SOCKET=3")
	}
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	out, err := s.cmd.StderrPipe()
	if err != nil {
		unable("%v", err)
	}
	if err := s.cmd.Start(); err != nil {
		unable("starting the sidecar: %v", err)
	}
	rec.log("platform   started %s by %q, pid %d", o.name, runCommand(root), s.cmd.Process.Pid)
	go func() {
		var tail strings.Builder
		buf := make([]byte, 4096)
		for {
			n, err := out.Read(buf)
			tail.Write(buf[:n])
			for {
				line, rest, ok := strings.Cut(tail.String(), "\n")
				if !ok {
					break
				}
				if !strings.Contains(line, `"component":"counts"`) {
					rec.log("log of %s %s", o.name, line)
				}
				tail.Reset()
				tail.WriteString(rest)
			}
			if err != nil {
				break
			}
		}
		s.err = s.cmd.Wait()
		rec.log("platform   %s has ended: %v", o.name, s.cmd.ProcessState)
		close(s.ended)
	}()
	atEnd(func() {
		_ = syscall.Kill(-s.cmd.Process.Pid, syscall.SIGKILL)
		select {
		case <-s.ended:
		case <-time.After(2 * time.Second):
		}
	})
	return s
}

// awaitReady waits until GET /-/ready answers 200, for 30 s at most.
func (s *sidecar) awaitReady() {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		select {
		case <-s.ended:
			unable("%s ended before it was ready: %v", s.name, s.err)
		default:
		}
		c, err := net.DialTimeout("tcp", s.listen, time.Second)
		if err != nil {
			continue
		}
		_ = c.SetDeadline(time.Now().Add(time.Second))
		_, _ = io.WriteString(c, "GET /-/ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n")
		b, _ := io.ReadAll(c)
		_ = c.Close()
		if strings.HasPrefix(string(b), "HTTP/1.1 200") {
			s.rec.log("platform   %s is ready", s.name)
			return
		}
	}
	unable("%s is not ready after 30 s", s.name)
}

func (s *sidecar) signal(sig syscall.Signal) {
	s.rec.log("platform   signal %v to %s", sig, s.name)
	_ = s.cmd.Process.Signal(sig)
}

// rssMB returns the resident anonymous memory of the process in MB, without the pages of its program file, or 0 if it has ended.
func (s *sidecar) rssMB() float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	m := regexp.MustCompile(`RssAnon:\s+(\d+) kB`).FindSubmatch(b)
	if m == nil {
		return 0
	}
	kb, _ := strconv.ParseFloat(string(m[1]), 64)
	return kb / 1024
}

// hasEnded reports whether the process has ended.
func (s *sidecar) hasEnded() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

//go:embed settings.json
var settingsText []byte

// siteSettings returns the settings of the wire page's example, with two classes and two zones.
func siteSettings() map[string]any {
	var m map[string]any
	if err := json.Unmarshal(settingsText, &m); err != nil {
		panic(err)
	}
	return m
}

// The names that the settings give: a class that may be repeated, one that may not, the sidecars' zone and another one, a tenant,
// and a kind of machine.
var (
	readClass  = settingsName("Classes", 0)
	writeClass = settingsName("Classes", 1)
	home       = settingsName("FailureDomains", 0)
	away       = settingsName("FailureDomains", 1)
	tenant     = settingsName("Tenants", 0)
	machine    = settingsName("HostTypes", 0)
)

// settingsName returns the n-th name in a list of the settings.
func settingsName(key string, n int) string {
	x := siteSettings()[key].([]any)[n]
	if object, ok := x.(map[string]any); ok {
		return object["Name"].(string)
	}
	return x.(string)
}
