package gossip

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport is the library's transport, except that streams have this process's address as their source, as
// its datagrams do. So a firewall, an address translation or the laboratory's links between the members can
// identify the sender. Shutdown also closes the streams.
type transport struct {
	*memberlist.NetTransport
	localIP net.IP // nil if the host is not an IP address
	ctx     context.Context
	cancel  context.CancelFunc
}

func newTransport(host string, port int) (*transport, error) {
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: log.New(io.Discard, "", 0)})
	if err != nil {
		return nil, fmt.Errorf("sockets: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &transport{t, net.ParseIP(host), ctx, cancel}, nil
}

// DialAddressTimeout opens a stream to a member.
func (t *transport) DialAddressTimeout(to memberlist.Address, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if t.localIP != nil && !t.localIP.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: t.localIP}
	}
	c, err := d.DialContext(t.ctx, "tcp", to.Addr)
	if err != nil {
		return nil, err
	}
	s := &stream{Conn: c}
	s.unregister = context.AfterFunc(t.ctx, func() { _ = c.Close() })
	return s, nil
}

// DialTimeout opens a stream to an address.
func (t *transport) DialTimeout(to string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: to}, timeout)
}

// Shutdown closes the sockets and the streams that this process has opened.
func (t *transport) Shutdown() error {
	t.cancel()
	return t.NetTransport.Shutdown()
}

// stream is a connection that is closed when its transport shuts down.
type stream struct {
	net.Conn
	unregister func() bool
}

// Close closes the connection. A second call returns no error.
func (s *stream) Close() error {
	s.unregister()
	if err := s.Conn.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
