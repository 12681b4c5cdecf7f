package proc

import (
	"syscall"
	"time"
)

// OwnCPU returns the processor time that this process has used so far.
func OwnCPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
