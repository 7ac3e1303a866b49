// Package timekeeper tells a time that goes on while the VM is suspended. What
// is promised until a time, such as a lease, must be judged by it: the steady
// clock of the runtime stands still during a suspension.
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// origin ties the clock to the time of day at the start of the process.
var origin = struct {
	wall time.Time
	boot time.Duration
}{wall: time.Now().Round(0), boot: sinceBoot()}

// Now returns the time of day at the start of the process and the time passed
// since, suspensions included. Steps of the time of day don't move it.
func Now() time.Time { return origin.wall.Add(sinceBoot() - origin.boot) }

// sinceBoot reads the clock that counts suspensions. The call fails only for
// clocks that the kernel lacks; this one is older than what Go runs on.
func sinceBoot() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(at.Nano())
}
