package scale

import (
	"golang.org/x/sys/unix"
)

// now is the machine's monotonic clock in nanoseconds. All processes of one machine share it, so that what one issued can be
// set against what another saw.
func now() int64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) != nil {
		return 0 // the clock is there on every Linux
	}
	return t.Nano()
}
