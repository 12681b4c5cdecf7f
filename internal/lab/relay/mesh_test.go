package relay

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// member is a party: the sockets on which it sends and receives, and the address at which the others reach it.
type member struct {
	udp     *net.UDPConn
	tcp     net.Listener
	address string
}

// addMember adds a party to a mesh. The party listens on a port of host.
func addMember(t *testing.T, m *Mesh, name, host string) member {
	t.Helper()
	tcp, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	local := tcp.Addr().(*net.TCPAddr)
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: local.IP, Port: local.Port})
	if err != nil {
		t.Fatal(err)
	}
	// Finds a port for the mesh. A port that is free for TCP is taken to be free for UDP too, as for the member's own port.
	free, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	_ = free.Close()
	if err := m.Add(name, free.Addr().String(), local.String(), 1); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = udp.Close(), tcp.Close() })
	_ = udp.SetDeadline(time.Now().Add(testTimeout))
	return member{udp, tcp, free.Addr().String()}
}

// newMeshOfTwo returns a mesh with the members a and b.
func newMeshOfTwo(t *testing.T) (*Mesh, member, member) {
	t.Helper()
	m := NewMesh()
	t.Cleanup(m.Close)
	return m, addMember(t, m, "a", "127.250.1.1"), addMember(t, m, "b", "127.250.1.2")
}

func (m member) send(t *testing.T, to member, text string) {
	t.Helper()
	remote, err := net.ResolveUDPAddr("udp", to.address)
	if err == nil {
		_, err = m.udp.WriteToUDP([]byte(text), remote)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func (m member) receive(t *testing.T) string {
	t.Helper()
	buf := make([]byte, 100)
	n, _, err := m.udp.ReadFromUDP(buf)
	if err != nil {
		t.Fatal(err)
	}
	return string(buf[:n])
}

func setMeshState(t *testing.T, m *Mesh, s State) {
	t.Helper()
	if err := m.Set("a", "b", s); err != nil {
		t.Fatal(err)
	}
}

// While the direction from a to b is cut, the datagrams that a sends are dropped, and what it sends over a connection that b
// opened is held back. What b sends arrives.
func TestMeshCutsOneWay(t *testing.T) {
	m, a, b := newMeshOfTwo(t)
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: b.udp.LocalAddr().(*net.UDPAddr).IP}, Timeout: testTimeout}
	c, err := d.Dial("tcp", a.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	in, err := a.tcp.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = in.Close() }()
	setMeshState(t, m, State{SilentForth: true})
	a.send(t, b, "lost")
	b.send(t, a, "heard")
	if got := a.receive(t); got != "heard" {
		t.Errorf("a received %q, want \"heard\"", got)
	}
	buf := make([]byte, 1)
	if _, err := c.Write([]byte{7}); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(in, buf); err != nil {
		t.Errorf("a reading b's byte: got error %v, want none", err)
	}
	if _, err := in.Write([]byte{8}); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := c.Read(buf); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("b reading a's byte during the cut: got error %v, want %v", err, os.ErrDeadlineExceeded)
	}
	setMeshState(t, m, State{})
	a.send(t, b, "after")
	if got := b.receive(t); got != "after" {
		t.Errorf("b received %q, want \"after\"", got)
	}
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := io.ReadFull(c, buf); err != nil || buf[0] != 8 {
		t.Errorf("b reading a's byte after the cut: got %d and error %v, want 8 and no error", buf[0], err)
	}
	if got := m.Count("a", "b"); got.Lost != 1 || got.Packets != 1 {
		t.Errorf("datagrams from a to b: got %+v, want 1 lost and 1 passed", got)
	}
}

func TestMeshDelaysAndLoses(t *testing.T) {
	m, a, b := newMeshOfTwo(t)
	setMeshState(t, m, State{Delay: 30 * time.Millisecond})
	begun := time.Now()
	a.send(t, b, "late")
	b.receive(t)
	if took := time.Since(begun); took < 30*time.Millisecond {
		t.Errorf("a datagram over a link with a delay of 30 ms took %v, want at least 30 ms", took)
	}
	setMeshState(t, m, State{Loss: 0.3})
	const datagrams = 400
	for i := range datagrams { // one after another, so that none is lost to a full buffer
		a.send(t, b, "x")
		for end := time.Now().Add(testTimeout); m.Count("a", "b").Packets+m.Count("a", "b").Lost < i+2; time.Sleep(100 * time.Microsecond) {
			if time.Now().After(end) {
				t.Fatalf("got %+v, want a count of %d datagrams", m.Count("a", "b"), i+2)
			}
		}
	}
	if lost := m.Count("a", "b").Lost; lost < datagrams/5 || lost > datagrams*2/5 {
		t.Errorf("got %d of %d datagrams lost, want %d to %d", lost, datagrams, datagrams/5, datagrams*2/5)
	}
}

// A connection from an address that belongs to no party is broken.
func TestMeshKnowsItsParties(t *testing.T) {
	_, _, b := newMeshOfTwo(t)
	c, err := net.DialTimeout("tcp", b.address, testTimeout) // from an address that belongs to no party
	if err == nil {
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		_, err = c.Read(make([]byte, 1))
	}
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("connection from an unknown address: got error %v, want it broken before the deadline", err)
	}
}
