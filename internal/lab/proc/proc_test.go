package proc

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const testTimeout = 10 * time.Second

// TestMain runs the tests. With PROC_TEST_LAB set it acts as a laboratory instead, which starts a child and waits to be
// killed.
func TestMain(m *testing.M) {
	if log := os.Getenv("PROC_TEST_LAB"); log != "" {
		c, err := Start(Spec{Name: "child", Path: "/bin/sleep", Args: []string{"600"}, LogFile: log})
		if err != nil {
			panic(err)
		}
		fmt.Println(c.PID())
		select {}
	}
	os.Exit(m.Run())
}

func alive(pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return err == nil && !strings.Contains(string(text), ") Z ") // a zombie has ended
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not happen within %v", what, testTimeout)
		}
	}
}

// startScript starts a shell script and waits until it has created the file "ready".
func startScript(t *testing.T, text string) (c *Child, dir string) {
	t.Helper()
	dir = t.TempDir()
	c, err := Start(Spec{Name: "child", Path: "/bin/sh", Args: []string{"-c", text}, Dir: dir, LogFile: filepath.Join(dir, "log")})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Kill() })
	waitFor(t, "start of the script", func() bool { return fileExists(dir, "ready") })
	return c, dir
}

func fileExists(dir, name string) bool {
	_, err := os.Stat(filepath.Join(dir, name))
	return err == nil
}

// Guards against children that outlive a laboratory that is killed by SIGKILL.
func TestChildrenDieWithTheLab(t *testing.T) {
	lab := exec.Command(os.Args[0])
	lab.Env = append(os.Environ(), "PROC_TEST_LAB="+filepath.Join(t.TempDir(), "log"))
	out, err := lab.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := lab.Start(); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	var pid int
	if _, err := fmt.Sscan(line, &pid); err != nil || !alive(pid) {
		t.Fatalf("child with process ID %q: not running (error %v), want it running", line, err)
	}
	_ = lab.Process.Signal(syscall.SIGKILL)
	_ = lab.Wait() // it was killed
	waitFor(t, "end of the child", func() bool { return !alive(pid) })
}

func TestStopIsCleanOrKills(t *testing.T) {
	const loop = "; : > ready; while :; do sleep 0.01; done"
	c, _ := startScript(t, "trap 'exit 0' TERM"+loop)
	if clean, err := c.Stop(testTimeout, func() {}); !clean || err != nil {
		t.Errorf("Stop: got clean %v, error %v (%s), want clean true, no error", clean, err, c.Exit())
	}
	ignoring, _ := startScript(t, "trap '' TERM"+loop)
	if clean, err := ignoring.Stop(50*time.Millisecond, func() {}); clean || err != nil || !strings.Contains(ignoring.Exit(), "killed") {
		t.Errorf("Stop of a process that ignores SIGTERM: got clean %v, error %v (%s), want clean false, no error, killed", clean, err, ignoring.Exit())
	}
}

func TestUseAndFileLimit(t *testing.T) {
	c, dir := startScript(t, "trap '' XFSZ; : > ready; while [ ! -e go ]; do sleep 0.01; done; echo text > file || : > noroom; exec sleep 600")
	u, err := c.Use()
	if err != nil || u.Descriptors < 3 || u.MemoryMB <= 0 {
		t.Errorf("Use: got %+v, error %v, want at least 3 descriptors, memory above 0, no error", u, err)
	}
	none := uint64(0)
	if err := c.FileLimit(&none); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "go"), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "a write that exceeds the file limit", func() bool { return fileExists(dir, "noroom") })
	if err := c.Kill(); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Use(); err == nil {
		t.Error("Use of a process that has ended succeeded, want an error")
	}
}
