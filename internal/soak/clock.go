package soak

import (
	"time"

	"golang.org/x/sys/unix"
)

// monotonic returns the time of the machine's monotonic clock. All processes of a run share it, and steps of the time of day do not
// affect it.
func monotonic() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0 // never on Linux
	}
	return time.Duration(t.Nano())
}
