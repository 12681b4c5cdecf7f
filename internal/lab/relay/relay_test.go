package relay

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 10 * time.Second

// startEchoServer starts a server that echoes every byte until the test ends, and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			running.Add(1)
			go func() {
				defer running.Done()
				defer func() { _ = c.Close() }()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	t.Cleanup(func() { _ = ln.Close(); running.Wait() })
	return ln.Addr().String()
}

func newLink(t *testing.T, onEnd func(string)) *Link {
	t.Helper()
	l, err := New("a", "b", "127.0.0.1:0", startEchoServer(t), onEnd)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

func dial(t *testing.T, l *Link) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp", l.Address(), testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

// roundTrip sends a byte and waits for its echo.
func roundTrip(c net.Conn) error {
	if _, err := c.Write([]byte{7}); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

func setState(t *testing.T, l *Link, s State) {
	t.Helper()
	if err := l.Set(s); err != nil {
		t.Fatal(err)
	}
}

func TestDelayIsEachWay(t *testing.T) {
	l := newLink(t, nil)
	c := dial(t, l)
	if err := roundTrip(c); err != nil {
		t.Fatal(err)
	}
	setState(t, l, State{Delay: 30 * time.Millisecond})
	begun := time.Now()
	if err := roundTrip(c); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(begun); took < 60*time.Millisecond {
		t.Errorf("round trip with a delay of 30 ms each way took %v, want at least 60 ms", took)
	}
}

// On a silent link, open connections stay open but pass no data, and new ones are not established. After the silence, both
// work again.
func TestSilence(t *testing.T) {
	for name, s := range map[string]State{"forth": {SilentForth: true}, "back": {SilentBack: true}} {
		t.Run(name, func(t *testing.T) {
			l := newLink(t, nil)
			c := dial(t, l)
			if err := roundTrip(c); err != nil {
				t.Fatal(err)
			}
			setState(t, l, s)
			_ = c.SetDeadline(time.Now().Add(100 * time.Millisecond))
			if err := roundTrip(c); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("round trip on a silent link: got error %v, want %v", err, os.ErrDeadlineExceeded)
			}
			if fresh, err := net.DialTimeout("tcp", l.Address(), 100*time.Millisecond); err == nil {
				_ = fresh.Close()
				t.Error("dial over a silent link succeeded, want a timeout")
			}
			setState(t, l, State{})
			_ = c.SetDeadline(time.Now().Add(testTimeout))
			if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
				t.Errorf("reading the held byte after the silence: got error %v, want none", err)
			}
			if err := roundTrip(dial(t, l)); err != nil {
				t.Errorf("round trip on a new connection after the silence: got error %v, want none", err)
			}
		})
	}
}

// Guards against an accept queue that stays empty during a silence. A call to Accept that began before the silence may take
// the connection that was to fill the queue; the queue must then be filled again.
func TestSilenceWhoseQueueWasTakenFrom(t *testing.T) {
	l := newLink(t, nil)
	setState(t, l, State{SilentBack: true})
	if err := l.listener.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	c, err := l.listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if err := l.listener.SetDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	l.handle(l.listener, c)
	if fresh, err := net.DialTimeout("tcp", l.Address(), 100*time.Millisecond); err == nil {
		_ = fresh.Close()
		t.Error("dial over a silent link succeeded, want a timeout")
	}
}

func TestResetBreaksAndRefuses(t *testing.T) {
	l := newLink(t, nil)
	c := dial(t, l)
	if err := roundTrip(c); err != nil {
		t.Fatal(err)
	}
	setState(t, l, State{Reset: true})
	if err := roundTrip(c); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		t.Errorf("round trip on an open connection: got error %v, want %v or %v", err, syscall.ECONNRESET, syscall.EPIPE)
	}
	if fresh, err := net.DialTimeout("tcp", l.Address(), testTimeout); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial: got error %v, want %v", err, syscall.ECONNREFUSED)
		if err == nil {
			_ = fresh.Close()
		}
	}
	setState(t, l, State{})
	if err := roundTrip(dial(t, l)); err != nil {
		t.Errorf("round trip after the reset: got error %v, want none", err)
	}
}

func TestOneInFourIsBroken(t *testing.T) {
	l := newLink(t, nil)
	setState(t, l, State{ResetShare: 0.25})
	failed := 0
	for range 8 {
		if roundTrip(dial(t, l)) != nil {
			failed++
		}
	}
	if failed != 2 {
		t.Errorf("got %d of 8 connections failed, want 2", failed)
	}
}

func TestPiecesAndRate(t *testing.T) {
	l := newLink(t, nil)
	setState(t, l, State{Chop: 3, Rate: 10_000})
	c := dial(t, l)
	text := make([]byte, 1000)
	for i := range text {
		text[i] = byte(i)
	}
	begun := time.Now()
	if _, err := c.Write(text); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len(text))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != string(text) {
		t.Fatalf("got %d bytes %x and error %v, want %x", len(got), got, err, text)
	}
	if took := time.Since(begun); took < 90*time.Millisecond {
		t.Errorf("1000 bytes at 10 kB per second took %v, want at least 90 ms", took)
	}
}

// The link sees the end of the initiator's side even while it is silent: verdicts need to know when an attempt was given
// up.
func TestEndIsSeenOnASilentLink(t *testing.T) {
	ended := make(chan string, 1)
	l := newLink(t, func(localAddr string) { ended <- localAddr })
	c := dial(t, l)
	if err := roundTrip(c); err != nil {
		t.Fatal(err)
	}
	setState(t, l, State{SilentForth: true, SilentBack: true})
	_ = c.Close()
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Errorf("onEnd not called within %v of the close", testTimeout)
	}
}
