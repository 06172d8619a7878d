// Package clock gives a time that goes on while the machine is suspended.
//
// Go's monotonic clock stands still meanwhile, so a lease measured by it would
// look valid after a long sleep. The time of day can jump. The time given here
// starts at the time of day and then follows CLOCK_BOOTTIME.
//
// CLOCK_BOOTTIME costs a system call, and the time is asked for several times for
// each decision. So it is the monotonic clock that is read, and what a sleep has
// added to the other is looked up when the time of day tells of one, and often
// anyway.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lookEvery is the longest time between looks at CLOCK_BOOTTIME: how late a
	// sleep is noticed that the time of day does not tell of.
	lookEvery = 10 * time.Millisecond
	// jump is the least change between the time of day and the monotonic clock that
	// may be a sleep. A clock that is being set right gains 5 us in lookEvery.
	jump = time.Millisecond
)

var (
	// A delay between the two counts as sleep.
	startBoot = boot()
	startWall = time.Now()
	// present is the clock of this process.
	present = follower{
		read: func() (day, steady time.Duration) {
			t := time.Now()
			return t.Round(0).Sub(startWall.Round(0)), t.Sub(startWall)
		},
		boot: func() time.Duration { return boot() - startBoot },
	}
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
func Now() time.Time { return startWall.Round(0).Add(present.since()) }

// follower follows the clock that goes on in a sleep by way of one that does not.
// Both count from the same moment.
type follower struct {
	// read returns the time of day and the steady clock.
	read func() (day, steady time.Duration)
	boot func() time.Duration
	last atomic.Pointer[look]
}

// look is what the last look at the boot clock showed.
type look struct {
	// steady is when it was taken, ahead how far the time of day was ahead then.
	steady, ahead time.Duration
	// slept is how far the boot clock is ahead. It never shrinks.
	slept time.Duration
}

func (f *follower) since() time.Duration {
	day, steady := f.read()
	last := f.last.Load()
	if last != nil && steady-last.steady < lookEvery && (day-steady-last.ahead).Abs() < jump {
		return steady + last.slept
	}
	booted := f.boot()
	_, after := f.read()
	next := &look{steady: after, ahead: day - steady}
	if last != nil {
		next.slept = last.slept
	}
	// The boot clock was read by the time of after, so this is no more than the
	// sleep there was.
	next.slept = max(next.slept, booted-after)
	for !f.last.CompareAndSwap(last, next) {
		last = f.last.Load()
		next.slept = max(next.slept, last.slept)
	}
	return after + next.slept
}
