package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mosslead/internal/statestore"
)

// adminCall makes a call at an admin port, and gives its first line; empty: nobody answers.
func adminCall(address, line string) string {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return ""
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second)) // where it fails, so does what follows
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return ""
	}
	answer, _ := bufio.NewReader(c).ReadString('\n') // half an answer is none
	return strings.TrimSpace(answer)
}

// awaitYes makes a call again until its answer is yes.
func awaitYes(t *testing.T, address, line string) {
	t.Helper()
	last := ""
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if last = adminCall(address, line); last == "YES" {
			return
		}
	}
	t.Fatalf("%s: never yes, at last %q", line, last)
}

// Guards against two processes that write, or none: the old process of an upgrade is killed at any moment of it, and the
// new one takes the writing up, with every ban that got its yes from either.
func TestStateInAnUpgradeKilledAtAnyMoment(t *testing.T) {
	for _, after := range []time.Duration{0, time.Millisecond, 3 * time.Millisecond, 6 * time.Millisecond, 10 * time.Millisecond,
		15 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			socket, err := l.(*net.TCPListener).File()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = socket.Close() }()
			dir := t.TempDir()
			path := filepath.Join(dir, "config.json")
			text := fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":"127.0.0.1:1","seed":"1f","limits":{"cores":1,"memory_mb":192,"sockets":1024},
				"known":{"index":1,"snapshot":true,"endpoints":[{"name":"a","address":"127.0.0.1:1","status":"Ready"},
				{"name":"b","address":"127.0.0.1:2","status":"Ready"}]},"settings":%s}`, l.Addr(), strings.Replace(settings, `"ask"`, `"push"`, 1))
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			kept := filepath.Join(dir, "state")
			begin := func() (*exec.Cmd, string) {
				door := freeAddress(t)
				cmd := exec.Command(os.Args[0])
				cmd.Env = append(os.Environ(), "ORCHIDDRIFT_MAIN=1", "GW_CONFIG="+path, "GW_OPS="+door, "GW_STATE="+kept, "GW_PASSED_SOCKET=3", "TMPDIR="+dir)
				cmd.ExtraFiles = []*os.File{socket}
				if err := cmd.Start(); err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { _ = cmd.Process.Kill() }) // only if the test ends early
				return cmd, door
			}
			old, oldDoor := begin()
			awaitYes(t, oldDoor, "READY")
			awaitYes(t, oldDoor, "DISABLE a")
			fresh, freshDoor := begin()
			time.Sleep(after) // the moment that is tried; whichever it is, what follows has to hold
			if err := old.Process.Kill(); err != nil {
				t.Fatal(err)
			}
			_ = old.Wait() // it was killed
			awaitYes(t, freshDoor, "READY")
			awaitYes(t, freshDoor, "DISABLE b")
			k, err := statestore.New(kept, "n1").Load(time.Now())
			if err != nil || len(k.Corruptions) > 0 || k.Bans["a"] == "" || k.Bans["b"] == "" {
				t.Errorf("on disk: %v, %v, %v", k.Bans, k.Corruptions, err)
			}
			terminate(t, fresh)
			if k, err := statestore.New(kept, "n1").Load(time.Now()); err != nil || k.Crashed || len(k.Bans) != 2 {
				t.Errorf("after the new one's end: crashed %v, bans %v, %v", k.Crashed, k.Bans, err)
			}
		})
	}
}
