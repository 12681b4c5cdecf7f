package sidecar

import (
	"net"
	"testing"
)

// Guards against a client whose progress is misjudged: bytes that it has written count even if they have not been delivered.
func TestWhatAPeerHasWritten(t *testing.T) {
	for _, listen := range []string{"127.0.0.1:0", "[::1]:0"} {
		l, err := net.Listen("tcp", listen)
		if err != nil && listen != "127.0.0.1:0" {
			continue // the machine has no IPv6
		}
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		client, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = client.Close() }()
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10) // what is written does not fit into it
		for _, total := range []int64{0, 1000, 300 << 10} {
			before, _ := progressOfPeer(c)
			if _, err := client.Write(make([]byte, total-before.written)); err != nil {
				t.Fatal(err)
			}
			got, ok := progressOfPeer(c)
			if !ok || got.written != total {
				t.Errorf("%s: got %d bytes, known %v, want %d", listen, got.written, ok, total)
			}
			if arrived := unread(c); got.queued < total-arrived || got.queued > total {
				t.Errorf("%s: got %d bytes queued, want at least %d, which have not arrived, and %d at most", listen, got.queued, total-arrived, total)
			}
		}
	}
	if _, ok := progressOfPeer(&net.TCPConn{}); ok {
		t.Error("a connection without addresses: got known, want unknown")
	}
}
