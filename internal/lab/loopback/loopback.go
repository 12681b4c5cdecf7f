// Package loopback gives each process on this machine a part of the loopback range of its own, 127.N.0.0/16. A port that the kernel
// assigned and took back could be assigned again, to another process or to this one, before somebody listens on it.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
)

const (
	firstPart, lastPart = 16, 250
	firstPort           = 7600
)

// Part is a part of the loopback range that no other process on this machine holds.
type Part struct {
	N     int // of 127.N.0.0/16
	claim net.Listener
}

// Claim finds a free part, and holds it until it is released or the process ends.
func Claim() (*Part, error) {
	parts := lastPart - firstPart + 1
	for i := range parts {
		n := firstPart + (os.Getpid()+i)%parts
		if l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:9999", n)); err == nil {
			return &Part{n, l}, nil
		}
	}
	return nil, fmt.Errorf("all of 127.%d.0.0 to 127.%d.255.255 is in use", firstPart, lastPart)
}

// Release gives the part up.
func (p *Part) Release() { _ = p.claim.Close() }

// ownPart returns this process's part, for callers that need only addresses.
var ownPart = sync.OnceValues(Claim)

// addressCount is the number of addresses that were given out.
var addressCount atomic.Int32

// Address returns an address on which nobody else on this machine listens. It returns each address once.
func Address() (string, error) {
	p, err := ownPart()
	if err != nil {
		return "", err
	}
	i := int(addressCount.Add(1)) - 1
	return fmt.Sprintf("127.%d.%d.%d:%d", p.N, i/250%250, 1+i%250, firstPort+i/62_500), nil
}

// Addresses returns n addresses.
func Addresses(n int) (all []string, err error) {
	for range n {
		address, err := Address()
		if err != nil {
			return nil, err
		}
		all = append(all, address)
	}
	return all, nil
}
