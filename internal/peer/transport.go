package peer

import (
	"fmt"
	"io"
	"log"
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport is the library's sockets, with streams that leave from the address of this process, as its datagrams do: what
// stands between the members (a firewall, an address translation, the laboratory's links) then knows who sends.
type transport struct {
	*memberlist.NetTransport
	from net.IP
}

func newTransport(host string, port int) (*transport, error) {
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: log.New(io.Discard, "", 0)})
	if err != nil {
		return nil, fmt.Errorf("sockets: %w", err)
	}
	return &transport{t, net.ParseIP(host)}, nil
}

// DialAddressTimeout opens a stream to a member.
func (t *transport) DialAddressTimeout(to memberlist.Address, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if t.from != nil && !t.from.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: t.from}
	}
	return d.Dial("tcp", to.Addr)
}

// DialTimeout opens a stream to an address.
func (t *transport) DialTimeout(to string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: to}, timeout)
}
