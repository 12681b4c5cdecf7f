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

// startEchoServer answers each byte with itself, until the test ends.
func startEchoServer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var open sync.WaitGroup
	open.Add(1)
	go func() {
		defer open.Done()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			open.Add(1)
			go func() {
				defer open.Done()
				defer func() { _ = c.Close() }()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	t.Cleanup(func() { _ = ln.Close(); open.Wait() })
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
		t.Errorf("a round trip over 30 ms each way took %v", took)
	}
}

// A silent link: what is open stays open and brings nothing, what is new never comes up, and both live again after.
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
				t.Errorf("on a silent link: %v, want nothing in time", err)
			}
			if fresh, err := net.DialTimeout("tcp", l.Address(), 100*time.Millisecond); err == nil {
				_ = fresh.Close()
				t.Error("a new connection came up on a silent link")
			}
			setState(t, l, State{})
			_ = c.SetDeadline(time.Now().Add(testTimeout))
			if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
				t.Errorf("what was held did not arrive after: %v", err)
			}
			if err := roundTrip(dial(t, l)); err != nil {
				t.Errorf("a new connection after the silence: %v", err)
			}
		})
	}
}

// Guards against a queue that is empty once what was to fill it has been accepted, by a call to accept that had begun before the
// silence and was held up.
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
		t.Error("a new connection came up on a silent link")
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
		t.Errorf("an open connection: %v, want a reset", err)
	}
	if fresh, err := net.DialTimeout("tcp", l.Address(), testTimeout); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a new connection: %v, want it refused", err)
		if err == nil {
			_ = fresh.Close()
		}
	}
	setState(t, l, State{})
	if err := roundTrip(dial(t, l)); err != nil {
		t.Errorf("after the reset: %v", err)
	}
}

func TestOneInFourIsBroken(t *testing.T) {
	l := newLink(t, nil)
	setState(t, l, State{ResetShare: 0.25})
	bad := 0
	for range 8 {
		if roundTrip(dial(t, l)) != nil {
			bad++
		}
	}
	if bad != 2 {
		t.Errorf("%d of 8 connections broke, want 2", bad)
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
		t.Fatalf("not the same bytes (%v)", err)
	}
	if took := time.Since(begun); took < 90*time.Millisecond {
		t.Errorf("1000 bytes at 10 kB a second took %v", took)
	}
}

// The end of the initiator's side is seen even while the link is silent: verdicts need to know when an attempt was
// given up.
func TestEndIsSeenOnASilentLink(t *testing.T) {
	ended := make(chan string, 1)
	l := newLink(t, func(dialled string) { ended <- dialled })
	c := dial(t, l)
	if err := roundTrip(c); err != nil {
		t.Fatal(err)
	}
	setState(t, l, State{SilentForth: true, SilentBack: true})
	_ = c.Close()
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Error("the end was not seen")
	}
}
