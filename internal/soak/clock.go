package soak

import (
	"time"

	"golang.org/x/sys/unix"
)

// monotonic is the time since the machine started: one clock for all processes of a soak, which no step of the time of day
// changes.
func monotonic() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0 // never on Linux
	}
	return time.Duration(t.Nano())
}
