package clock

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fakeClocks is a set of clocks that a test advances.
type fakeClocks struct {
	wall, monotonic, boottime time.Duration
	boottimeReads             int
}

func (c *fakeClocks) newClock() *boottimeClock {
	return &boottimeClock{
		readClocks: func() (time.Duration, time.Duration) { return c.wall, c.monotonic },
		readBoottime: func() time.Duration {
			c.boottimeReads++
			return c.boottime
		},
	}
}

// advance advances all clocks, as on a running machine.
func (c *fakeClocks) advance(d time.Duration) {
	c.wall += d
	c.monotonic += d
	c.boottime += d
}

// suspend advances the clocks that continue while a machine is suspended.
func (c *fakeClocks) suspend(d time.Duration) {
	c.wall += d
	c.boottime += d
}

func TestElapsedIncludesSuspend(t *testing.T) {
	m := &fakeClocks{}
	f := m.newClock()
	for range 100 {
		m.advance(100 * time.Microsecond)
		assert.Equal(t, f.elapsed(), m.boottime)
		m.suspend(3 * time.Second)
		assert.Equal(t, f.elapsed(), m.boottime)
	}
}

func TestElapsedIgnoresWallClockJumps(t *testing.T) {
	m := &fakeClocks{}
	f := m.newClock()
	for i := range 100 {
		m.advance(time.Millisecond)
		m.wall += time.Duration(i%3-1) * time.Hour
		assert.Equal(t, f.elapsed(), m.boottime)
	}
}

// A wall clock that is set back by just the duration of a suspend hides the suspend.
func TestSuspendHiddenByWallClockIsDetectedWithinMaxReadingAge(t *testing.T) {
	m := &fakeClocks{}
	f := m.newClock()
	m.advance(time.Millisecond)
	assert.Equal(t, f.elapsed(), m.boottime)
	m.boottime += time.Hour
	m.advance(maxReadingAge)
	assert.Equal(t, f.elapsed(), m.boottime)
}

// Reading CLOCK_BOOTTIME costs a system call, so most calls must do without.
func TestFrequentCallsSeldomReadBoottime(t *testing.T) {
	m := &fakeClocks{}
	f := m.newClock()
	const spacing = 10 * time.Microsecond
	const calls = 100_000
	for range calls {
		m.advance(spacing)
		assert.Equal(t, f.elapsed(), m.boottime)
	}
	assert.Assert(t, m.boottimeReads <= int(calls*spacing/maxReadingAge)+1, "%d reads of CLOCK_BOOTTIME", m.boottimeReads)
}

func TestNowNeverGoesBackwards(t *testing.T) {
	var all sync.WaitGroup
	for range 4 {
		all.Go(func() {
			last := Now()
			for range 200_000 {
				now := Now()
				if !assert.Check(t, !now.Before(last), "%v after %v", now, last) {
					return
				}
				last = now
			}
		})
	}
	all.Wait()
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
