package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is the time of a process since an arbitrary start.
type Clock func() time.Duration

// BootClock counts the time in which the machine was suspended, which the monotonic clock leaves out. What
// must not be used after a time is judged by it.
func BootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The clock exists since Linux 2.6.39; without it nothing can be judged.
		panic(err)
	}
	return time.Duration(t.Nano())
}
