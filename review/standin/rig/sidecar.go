package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

// Sidecar is one process that the deploy file's run command starts.
type Sidecar struct {
	Listen string
	rec    *Record
	cmd    *exec.Cmd
	dir    string
	config map[string]any
	log    *os.File
	done   chan struct{}
}

// FreeAddress returns a loopback address with a free port.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// RunCommand returns the run command of the deploy file.
func RunCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if m == nil {
		return "", fmt.Errorf("no run command in the deploy file")
	}
	return string(m[1]), nil
}

// NewSidecar returns a sidecar, not yet started. config is what the platform writes into its configuration, but for listen. dir is
// a private temporary folder.
func NewSidecar(rec *Record, dir string, config map[string]any) (*Sidecar, error) {
	listen, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	s := &Sidecar{Listen: listen, rec: rec, dir: dir, config: config}
	config["listen"] = listen
	return s, s.writeConfig()
}

func (s *Sidecar) writeConfig() error {
	text, err := json.MarshalIndent(s.config, "", " ")
	if err != nil {
		return err
	}
	path := filepath.Join(s.dir, "config.json")
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Start starts the process and waits until it is ready, 10 s at most.
func (s *Sidecar) Start(root string) error {
	run, err := RunCommand(root)
	if err != nil {
		return err
	}
	tmp := filepath.Join(s.dir, "tmp")
	_ = os.RemoveAll(tmp)
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return err
	}
	if s.log, err = os.OpenFile(filepath.Join(s.dir, "sidecar.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	s.cmd = exec.Command("/bin/sh", "-c", run)
	s.cmd.Dir, s.cmd.Stdout, s.cmd.Stderr = root, s.log, s.log
	s.cmd.Env = []string{"GW_CONFIG=" + filepath.Join(s.dir, "config.json"), "TMPDIR=" + tmp, "PATH=" + os.Getenv("PATH")}
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.cmd.Start(); err != nil {
		return err
	}
	s.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) { _ = c.Wait(); close(done) }(s.cmd, s.done)
	s.rec.Log("sidecar started as process %d: %s", s.cmd.Process.Pid, run)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		resp, err := client.Get("http://" + s.Listen + "/-/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				s.rec.Log("sidecar ready")
				return nil
			}
		}
	}
	return fmt.Errorf("the sidecar was not ready within 10 s, see %s", filepath.Join(s.dir, "sidecar.log"))
}

// Exited reports whether the process has ended.
func (s *Sidecar) Exited() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// Kill ends the process and waits for its end.
func (s *Sidecar) Kill() {
	if s.cmd != nil && s.cmd.Process != nil && s.done != nil {
		_ = s.cmd.Process.Kill()
		<-s.done
	}
	if s.log != nil {
		_ = s.log.Close()
	}
}

// CopyLog appends the process's log to the record.
func (s *Sidecar) CopyLog() {
	text, _ := os.ReadFile(filepath.Join(s.dir, "sidecar.log"))
	if len(text) > 200_000 {
		text = text[len(text)-200_000:]
	}
	s.rec.Log("the sidecar's log:\n%s", text)
}

// Pid returns the process's id.
func (s *Sidecar) Pid() int { return s.cmd.Process.Pid }
