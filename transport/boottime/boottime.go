// Package boottime is a clock that goes on while the VM is suspended. Go's own
// monotonic clock stops then, so ages and deadlines taken from it come out too
// young after a pause, and the time of day may jump either way.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is the reading of the boot clock that maps to the zero time below.
var start = read()

// origin makes the readings ordinary times without a monotonic part, so that
// Sub compares boot readings only.
var origin = time.Unix(1, 0)

func read() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call cannot fail on Linux with a valid clock; a kernel without
		// it still has the monotonic one.
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts)
	}
	return time.Duration(ts.Nano())
}

// Now returns a time that is only good for differences with others of this
// process.
func Now() time.Time { return origin.Add(read() - start) }
