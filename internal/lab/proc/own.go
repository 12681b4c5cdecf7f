package proc

import (
	"syscall"
	"time"
)

// OwnCPU is the processor time of this process so far.
func OwnCPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
