// Package boottime provides a clock that continues while the VM is suspended.
// Go's monotonic clock stops during a suspension, so ages and deadlines
// computed from it would be too short afterwards, and the wall clock may jump
// in either direction.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is the reading of the boot clock at the start of the process. It
// corresponds to origin.
var start = read()

// origin is added to the readings. It has no monotonic part, so that Sub only
// compares readings of the boot clock.
var origin = time.Unix(1, 0)

func read() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call cannot fail on Linux with a valid clock. A kernel without
		// CLOCK_BOOTTIME still has the monotonic clock.
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts)
	}
	return time.Duration(ts.Nano())
}

// Now returns the current time. It may only be compared with other times of
// this process that Now has returned.
func Now() time.Time { return origin.Add(read() - start) }
