package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary start that is fixed for the process.
type Clock func() time.Duration

// BootClock returns the time since boot. Unlike the monotonic clock, it includes the time in which the machine was
// suspended, so leases and other expiring state are checked against it.
func BootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock exists since Linux 2.6.39; without it no expiry can be checked.
		panic(err)
	}
	return time.Duration(t.Nano())
}
