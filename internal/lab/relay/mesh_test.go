package relay

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// member is a party that sends and listens at an address of its own, and the address at which the others reach it.
type member struct {
	udp     *net.UDPConn
	tcp     net.Listener
	address string
}

func addMember(t *testing.T, m *Mesh, name, host string) member {
	t.Helper()
	tcp, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	at := tcp.Addr().(*net.TCPAddr)
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: at.IP, Port: at.Port})
	if err != nil {
		t.Fatal(err)
	}
	// A free port for both kinds, found as this member's was.
	free, err := net.Listen("tcp", host+":0")
	if err != nil {
		t.Fatal(err)
	}
	_ = free.Close()
	if err := m.Add(name, free.Addr().String(), at.String(), 1); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = udp.Close(), tcp.Close() })
	_ = udp.SetDeadline(time.Now().Add(testTimeout))
	return member{udp, tcp, free.Addr().String()}
}

// newMeshOfTwo is a mesh of two.
func newMeshOfTwo(t *testing.T) (*Mesh, member, member) {
	t.Helper()
	m := NewMesh()
	t.Cleanup(m.Close)
	return m, addMember(t, m, "a", "127.250.1.1"), addMember(t, m, "b", "127.250.1.2")
}

func (m member) send(t *testing.T, to member, text string) {
	t.Helper()
	at, err := net.ResolveUDPAddr("udp", to.address)
	if err == nil {
		_, err = m.udp.WriteToUDP([]byte(text), at)
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

// A one-way cut takes what a sends, as datagrams and over connections that b opened, and nothing of what b sends.
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
		t.Errorf("a heard %q", got)
	}
	one := make([]byte, 1)
	if _, err := c.Write([]byte{7}); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(in, one); err != nil {
		t.Errorf("b's byte to a: %v", err)
	}
	if _, err := in.Write([]byte{8}); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := c.Read(one); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a's byte to b: %v, want nothing in time", err)
	}
	setMeshState(t, m, State{})
	a.send(t, b, "after")
	if got := b.receive(t); got != "after" {
		t.Errorf("b heard %q, want what was said after the cut", got)
	}
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := io.ReadFull(c, one); err != nil || one[0] != 8 {
		t.Errorf("a's byte after the cut: %v", err)
	}
	if got := m.Count("a", "b"); got.Lost != 1 || got.Packets != 1 {
		t.Errorf("%+v, want one lost and one through", got)
	}
}

func TestMeshDelaysAndLoses(t *testing.T) {
	m, a, b := newMeshOfTwo(t)
	setMeshState(t, m, State{Delay: 30 * time.Millisecond})
	begun := time.Now()
	a.send(t, b, "late")
	b.receive(t)
	if took := time.Since(begun); took < 30*time.Millisecond {
		t.Errorf("over a link of 30 ms it took %v", took)
	}
	setMeshState(t, m, State{Loss: 0.3})
	const said = 400
	for i := range said { // one after another: none is lost for want of room
		a.send(t, b, "x")
		for end := time.Now().Add(testTimeout); m.Count("a", "b").Packets+m.Count("a", "b").Lost < i+2; time.Sleep(100 * time.Microsecond) {
			if time.Now().After(end) {
				t.Fatalf("%+v after %d datagrams", m.Count("a", "b"), i+2)
			}
		}
	}
	if lost := m.Count("a", "b").Lost; lost < said/5 || lost > said*2/5 {
		t.Errorf("%d of %d lost, want about 3 in 10", lost, said)
	}
}

// Who is no party gets nothing through.
func TestMeshKnowsItsParties(t *testing.T) {
	_, _, b := newMeshOfTwo(t)
	c, err := net.DialTimeout("tcp", b.address, testTimeout) // from no party's address
	if err == nil {
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		_, err = c.Read(make([]byte, 1))
	}
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a stranger's connection: %v, want it broken", err)
	}
}
