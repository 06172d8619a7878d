// Package clock gives a time that goes on while the machine is suspended.
//
// Go's monotonic clock stands still meanwhile, so a lease measured by it would
// look valid after a long sleep. The time of day can jump. The time given here
// starts at the time of day and then follows CLOCK_BOOTTIME.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

var (
	startWall = time.Now().Round(0)
	startBoot = boot()
)

func boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Now returns the present time.
func Now() time.Time { return startWall.Add(boot() - startBoot) }
