// Package clock provides a wall-clock time that does not jump and includes the time
// during which the machine was suspended.
//
// Go's monotonic clock stops while the machine is suspended, so a lease measured by it
// would still look valid after a long suspend. The wall clock can jump. The time of
// this package starts at the wall-clock time of the process start and then advances
// with CLOCK_BOOTTIME.
//
// Reading CLOCK_BOOTTIME costs a system call, and each scheduling decision reads the
// time several times. Therefore Now reads the monotonic clock and adds the suspended
// time. It reads CLOCK_BOOTTIME to update the suspended time when the wall clock has
// moved against the monotonic clock, and otherwise every maxReadingAge.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxReadingAge is how long a reading of CLOCK_BOOTTIME is used. It is the longest
	// time for which a suspend goes undetected if the wall clock does not show it.
	maxReadingAge = 10 * time.Millisecond
	// minWallJump is the least change between the wall clock and the monotonic clock
	// that causes a read of CLOCK_BOOTTIME. A wall clock that is slewed gains only 5 us
	// in maxReadingAge.
	minWallJump = time.Millisecond
)

var (
	// A delay between these two reads would count as suspended time.
	startBoottime = readBoottime()
	startWall     = time.Now()
	// processClock is the clock that Now reads. Its clocks count from the start of the
	// process.
	processClock = boottimeClock{
		readClocks: func() (wall, monotonic time.Duration) {
			t := time.Now()
			return t.Round(0).Sub(startWall.Round(0)), t.Sub(startWall)
		},
		readBoottime: func() time.Duration { return readBoottime() - startBoottime },
	}
)

// readBoottime returns CLOCK_BOOTTIME.
func readBoottime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Now returns the current time.
func Now() time.Time { return startWall.Round(0).Add(processClock.elapsed()) }

// boottimeClock computes the time since its start, including suspends, from the
// monotonic clock and occasional readings of CLOCK_BOOTTIME. All its clocks count from
// the same moment.
type boottimeClock struct {
	// readClocks returns the wall clock and the monotonic clock.
	readClocks func() (wall, monotonic time.Duration)
	// readBoottime returns CLOCK_BOOTTIME.
	readBoottime func() time.Duration
	// latest is the newest reading, or nil before the first.
	latest atomic.Pointer[reading]
}

// reading is the result of comparing the clocks.
type reading struct {
	// monotonic is when the reading was taken, on the monotonic clock. wallOffset is
	// how far the wall clock was ahead of the monotonic clock.
	monotonic, wallOffset time.Duration
	// suspended is how far CLOCK_BOOTTIME is ahead of the monotonic clock: the total
	// time of suspends. It never decreases.
	suspended time.Duration
}

// elapsed returns the time since the start, including suspends. It never decreases.
func (c *boottimeClock) elapsed() time.Duration {
	wall, monotonic := c.readClocks()
	last := c.latest.Load()
	if last != nil && monotonic-last.monotonic < maxReadingAge && (wall-monotonic-last.wallOffset).Abs() < minWallJump {
		return monotonic + last.suspended
	}
	boottime := c.readBoottime()
	_, after := c.readClocks()
	next := &reading{monotonic: after, wallOffset: wall - monotonic}
	if last != nil {
		next.suspended = last.suspended
	}
	// CLOCK_BOOTTIME was read before after, so the difference is at most the suspended
	// time.
	next.suspended = max(next.suspended, boottime-after)
	for !c.latest.CompareAndSwap(last, next) {
		last = c.latest.Load()
		next.suspended = max(next.suspended, last.suspended)
	}
	return after + next.suspended
}
