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

// Guards against a SIGTERM in a process's first moments that ends it by the signal once it listens, and with it what its
// clients sent: whoever could connect gets an answer, and it ends with 0.
func TestTermInTheFirstMoments(t *testing.T) {
	for _, after := range []time.Duration{0, time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond,
		20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond} {
		address := freeAddress(t) // one after another: side by side two could get the same
		t.Run(after.String(), func(t *testing.T) {
			t.Parallel()
			path := filepath.Join(t.TempDir(), "config.json")
			writeConfig(t, path, address, "127.0.0.1:1", settings)
			cmd := exec.Command(os.Args[0])
			var said bytes.Buffer
			cmd.Stderr = &said
			cmd.Env = append(os.Environ(), "ORCHIDDRIFT_MAIN=1", "GW_CONFIG="+path)
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = cmd.Process.Kill() }) // only if the test ends early
			time.AfterFunc(after, func() { _ = cmd.Process.Signal(syscall.SIGTERM) })
			last := time.Now().Add(after + 300*time.Millisecond) // new connections come no longer
			answers, pause := 0, time.NewTicker(2*time.Millisecond)
			defer pause.Stop()
			for ; time.Now().Before(last); <-pause.C {
				conn, err := net.Dial("tcp", address)
				if err != nil {
					continue // it does not listen: nothing is taken
				}
				_ = conn.SetDeadline(time.Now().Add(20 * time.Second)) // a read shows it
				_, _ = io.WriteString(conn, "GET /search/1 HTTP/1.1\r\nHost: s\r\nX-Request-ID: 1\r\nX-Timeout: 100m\r\n\r\n")
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					t.Fatalf("after %d answers: %v; it ended with %v and said %s", answers, err, cmd.Wait(), said.Bytes())
				}
				_ = resp.Body.Close()
				_ = conn.Close()
				answers++
			}
			err := cmd.Wait()
			var exit *exec.ExitError
			early := errors.As(err, &exit) && exit.Sys().(syscall.WaitStatus).Signal() == syscall.SIGTERM && answers == 0
			if err != nil && !early {
				t.Errorf("after %d answers: ended with %v", answers, err)
			}
		})
	}
}
