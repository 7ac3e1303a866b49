// Package timekeeper provides a clock that advances while the VM is suspended.
// Promises with an expiry, such as leases, must be checked against it: the Go
// runtime's monotonic clock stops during a suspension.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// origin relates the clock to the wall time at the start of the process.
var origin = struct {
	wall time.Time
	boot time.Duration
}{wall: time.Now().Round(0), boot: sinceBoot()}

// Now returns the wall time at the start of the process plus the time elapsed since,
// including suspensions. Steps of the wall clock don't affect it.
func Now() time.Time { return origin.wall.Add(sinceBoot() - origin.boot) }

// sinceBoot reads the boot-time clock, which includes suspensions. The call fails
// only if the kernel lacks the clock, and all kernels that Go supports have this one.
func sinceBoot() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(at.Nano())
}
