package sidecar

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// idleDetector finds out when a processor has nothing else to run. It makes a file descriptor readable and waits for it in the network
// poller, which the Go scheduler asks only once no goroutine is left to run. All connections that were readable before are found by
// the same poll, and their goroutines run before the wait ends.
type idleDetector struct {
	file *os.File // an eventfd(2)
	raw  syscall.RawConn
}

// maxIdleWait is how long a wait lasts at most. A processor that streams large bodies may have no idle moment for long.
const maxIdleWait = 50 * time.Millisecond

// newIdleDetector returns an idleDetector. It uses one file descriptor until the process ends.
func newIdleDetector() (*idleDetector, error) {
	fd, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	file := os.NewFile(uintptr(fd), "eventfd")
	raw, err := file.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	return &idleDetector{file, raw}, nil
}

// await blocks until no goroutine is left to run, or for maxIdleWait. It is called by one goroutine at a time. A nil detector only lets the
// goroutines run that are ready now.
func (d *idleDetector) await() {
	if d == nil {
		runtime.Gosched()
		return
	}
	_ = d.file.SetReadDeadline(time.Now().Add(maxIdleWait)) // if it fails, so does the read
	counter, signalled := [8]byte{7: 1}, false              // not 0 in either byte order
	_ = d.raw.Read(func(fd uintptr) (done bool) {
		if !signalled {
			signalled = true
			_, err := unix.Write(int(fd), counter[:])
			return err != nil // otherwise the read waits in the poller
		}
		_, err := unix.Read(int(fd), counter[:])
		return !errors.Is(err, unix.EAGAIN)
	})
	// The goroutines that the same poll has made ready go first. If the read failed, as it does if the poller does not support the
	// descriptor, only those go first that are ready now. It is done twice since the scheduler takes one goroutine in 61 out of turn.
	runtime.Gosched()
	runtime.Gosched()
}
