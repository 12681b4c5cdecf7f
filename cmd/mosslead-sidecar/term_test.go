package main

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// Guards against losing requests when SIGTERM arrives shortly after the start, while the process listens already: each
// client that could connect gets an answer, and the process ends with exit code 0.
func TestTermInTheFirstMoments(t *testing.T) {
	for _, after := range []time.Duration{0, time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond,
		20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond} {
		address := freeAddress(t) // taken here, because two parallel subtests could get the same one
		t.Run(after.String(), func(t *testing.T) {
			t.Parallel()
			path := filepath.Join(t.TempDir(), "config.json")
			writeConfig(t, path, address, "127.0.0.1:1", settings)
			cmd := exec.Command(os.Args[0])
			var stderr bytes.Buffer
			cmd.Stderr = &stderr
			cmd.Env = append(os.Environ(), "ORCHIDDRIFT_MAIN=1", "GW_CONFIG="+path)
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = cmd.Process.Kill() }) // only if the test ends early
			time.AfterFunc(after, func() { _ = cmd.Process.Signal(syscall.SIGTERM) })
			last := time.Now().Add(after + 300*time.Millisecond) // no new connections after this
			answers, pause := 0, time.NewTicker(2*time.Millisecond)
			defer pause.Stop()
			for ; time.Now().Before(last); <-pause.C {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					continue // the process does not listen, so no request is lost
				}
				_ = conn.SetDeadline(time.Now().Add(20 * time.Second)) // if this fails, the read fails too
				_, _ = io.WriteString(conn, "GET /search/1 HTTP/1.1\r\nHost: s\r\nX-Request-ID: 1\r\nX-Timeout: 100m\r\n\r\n")
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					t.Fatalf("after %d answers: got error %v, want an answer; the process ended with %v and wrote %s", answers, err, cmd.Wait(), stderr.Bytes())
				}
				_ = resp.Body.Close()
				_ = conn.Close()
				answers++
			}
			err := cmd.Wait()
			var exit *exec.ExitError
			killedEarly := errors.As(err, &exit) && exit.Sys().(syscall.WaitStatus).Signal() == syscall.SIGTERM && answers == 0
			if err != nil && !killedEarly {
				t.Errorf("after %d answers: process ended with %v, want exit code 0", answers, err)
			}
		})
	}
}
