package burden

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
)

// part is 127.N.0.0/16, which this process holds to its end as laboratories do. A port that the kernel gave out and took back may
// be given to another process, or a second time to this one, before it is listened at.
var part struct {
	once  sync.Once
	n     int
	claim net.Listener // open to the end of the process
	err   error
	given atomic.Int32
}

const (
	firstPart, lastPart = 16, 250 // as in package lab
	addressPort         = 7600
)

// Address is one that nobody else on this machine listens at, and that is given once.
func Address() (string, error) {
	part.once.Do(func() {
		parts := lastPart - firstPart + 1
		for i := range parts {
			n := firstPart + (os.Getpid()+i)%parts
			if l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:9999", n)); err == nil {
				part.n, part.claim = n, l
				return
			}
		}
		part.err = fmt.Errorf("all of 127.%d.0.0 to 127.%d.255.255 is in use", firstPart, lastPart)
	})
	i := int(part.given.Add(1)) - 1
	return fmt.Sprintf("127.%d.%d.%d:%d", part.n, i/250%250, 1+i%250, addressPort+i/62_500), part.err
}
