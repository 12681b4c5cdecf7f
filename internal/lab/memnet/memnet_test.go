package memnet

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/net/nettest"
)

func dialPair(t *testing.T, n *Network) (near, far net.Conn, a, b *Host) {
	t.Helper()
	a, b = n.Host("a", "10.0.0.1", time.Microsecond), n.Host("b", "10.0.0.2", 0)
	l, err := b.Listen(80)
	if err != nil {
		t.Fatal(err)
	}
	if near, err = a.Dial(t.Context(), "tcp", "10.0.0.2:80"); err == nil {
		far, err = l.Accept()
	}
	if err != nil {
		t.Fatal(err)
	}
	return near, far, a, b
}

// Guards against connections that break the standard library's rules for a net.Conn, on order, deadlines and races.
func TestConnectionsAreConnections(t *testing.T) {
	nettest.TestConn(t, func() (net.Conn, net.Conn, func(), error) {
		n := New(func(Event) {})
		near, far, _, _ := dialPair(t, n)
		return near, far, n.Close, nil
	})
}

// Guards against a connection whose other side can't tell how it ended: by an orderly close, by a close with bytes unread
// or on their way, or by the death of a process.
func TestEnds(t *testing.T) {
	for name, c := range map[string]struct {
		end         func(near, far net.Conn, b *Host)
		text        string
		read, write error // error that ends the near side's reading, and error of its write after that
	}{
		"closed": {func(_, far net.Conn, _ *Host) { _, _ = io.WriteString(far, "ab"); _ = far.Close() }, "ab", nil, nil},
		"half":   {func(_, far net.Conn, _ *Host) { _ = far.(*connEnd).CloseWrite() }, "", nil, nil},
		"unread": {func(near, far net.Conn, _ *Host) {
			_, _ = near.Write([]byte("x"))
			time.Sleep(time.Second)
			_ = far.Close()
		}, "", syscall.ECONNRESET, syscall.EPIPE},
		"crossed": {func(near, far net.Conn, _ *Host) {
			_, _ = near.Write([]byte("x"))
			_ = far.Close()
			time.Sleep(time.Second)
		}, "", nil, syscall.EPIPE},
		"too late": {func(near, far net.Conn, _ *Host) {
			_ = far.Close()
			time.Sleep(time.Second)
			_, _ = near.Write([]byte("x"))
			time.Sleep(time.Second)
		}, "", nil, syscall.EPIPE},
		"dead":   {func(_, far net.Conn, b *Host) { _, _ = io.WriteString(far, "ab"); b.Kill() }, "ab", syscall.ECONNRESET, syscall.EPIPE},
		"silent": {func(_, far net.Conn, b *Host) { b.Silence(true); _ = far.Close() }, "", os.ErrDeadlineExceeded, nil},
		"back again": {func(_, far net.Conn, b *Host) {
			b.Silence(true)
			_, _ = io.WriteString(far, "ab")
			_ = far.Close()
			b.Silence(false)
		}, "ab", nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := New(func(Event) {})
				defer n.Close()
				near, far, _, b := dialPair(t, n)
				c.end(near, far, b)
				_ = near.SetReadDeadline(time.Now().Add(time.Minute))
				text, err := io.ReadAll(near)
				if _, writeErr := near.Write([]byte("y")); string(text) != c.text || !errors.Is(err, c.read) || !errors.Is(writeErr, c.write) {
					t.Errorf("got %q, read error %v, write error %v; want %q, %v, %v", text, err, writeErr, c.text, c.read, c.write)
				}
			})
		})
	}
}

// Guards against two connections with one local address: a dial that takes longer than the next one must keep its
// own port.
func TestPortsAreOnesOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(func(Event) {})
		defer n.Close()
		a, b := n.Host("a", "10.0.0.1", time.Second), n.Host("b", "10.0.0.2", time.Second)
		if _, err := b.Listen(80); err != nil {
			t.Fatal(err)
		}
		b.Late(time.Second)
		ports := make(chan string, 2)
		for range 2 {
			go func() {
				c, err := a.Dial(t.Context(), "tcp", "10.0.0.2:80")
				if err != nil {
					t.Error(err)
				}
				ports <- c.LocalAddr().String()
			}()
		}
		if first, second := <-ports, <-ports; first == second {
			t.Errorf("got local address %s for both connections, want different ones", first)
		}
	})
}

// Guards against a dial that ends too early or never. A dial takes the delay there and back if it succeeds or is refused, and
// otherwise lasts until its context ends.
func TestDialling(t *testing.T) {
	for name, c := range map[string]struct {
		address string
		silent  bool
		late    time.Duration
		want    error
		took    time.Duration
	}{
		"up":      {"10.0.0.2:80", false, 0, nil, 4 * time.Second},
		"late":    {"10.0.0.2:80", false, 5 * time.Second, nil, 9 * time.Second},
		"lost":    {"10.0.0.2:80", false, -1, os.ErrDeadlineExceeded, time.Minute},
		"refused": {"10.0.0.2:81", false, 0, syscall.ECONNREFUSED, 4 * time.Second},
		"silent":  {"10.0.0.2:80", true, 0, os.ErrDeadlineExceeded, time.Minute},
		"no host": {"10.0.0.3:80", false, 0, os.ErrDeadlineExceeded, time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := New(func(Event) {})
				defer n.Close()
				a, b := n.Host("a", "10.0.0.1", time.Second), n.Host("b", "10.0.0.2", time.Second)
				if _, err := b.Listen(80); err != nil {
					t.Fatal(err)
				}
				b.Silence(c.silent)
				b.Late(c.late)
				begun := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				if _, err := a.Dial(ctx, "tcp", c.address); !errors.Is(err, c.want) || time.Since(begun) != c.took {
					t.Errorf("Dial: got error %v after %v, want %v after %v", err, time.Since(begun), c.want, c.took)
				}
			})
		})
	}
}
