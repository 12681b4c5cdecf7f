// Package loopback owns the part of the loopback range that a process of this machine holds: 127.N.0.0/16. A port that the kernel
// gave out and took back may be given to another process, or a second time to this one, before it is listened at.
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

// Part is one that nobody else on this machine holds.
type Part struct {
	N     int
	claim net.Listener
}

// Claim finds a part, and holds it until it is released, or to the end of the process.
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

// Release gives the part back.
func (p *Part) Release() { _ = p.claim.Close() }

// ownPart is this process's part, for whoever only wants addresses.
var ownPart = sync.OnceValues(Claim)

var addressCount atomic.Int32

// Address is one that nobody else on this machine listens at, and that is given once.
func Address() (string, error) {
	p, err := ownPart()
	if err != nil {
		return "", err
	}
	i := int(addressCount.Add(1)) - 1
	return fmt.Sprintf("127.%d.%d.%d:%d", p.N, i/250%250, 1+i%250, firstPort+i/62_500), nil
}

// Addresses are so many.
func Addresses(n int) (all []string, err error) {
	for range n {
		at, err := Address()
		if err != nil {
			return nil, err
		}
		all = append(all, at)
	}
	return all, nil
}
