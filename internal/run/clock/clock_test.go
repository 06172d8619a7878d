package clock

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// machine is a machine with three clocks.
type machine struct {
	day, steady, booted time.Duration
	looks               int
}

func (m *machine) follower() *follower {
	return &follower{
		read: func() (time.Duration, time.Duration) { return m.day, m.steady },
		boot: func() time.Duration {
			m.looks++
			return m.booted
		},
	}
}

func (m *machine) run(d time.Duration) {
	m.day += d
	m.steady += d
	m.booted += d
}

// sleep is what a suspended machine does.
func (m *machine) sleep(d time.Duration) {
	m.day += d
	m.booted += d
}

func TestTheTimeGoesOnInASleep(t *testing.T) {
	m := &machine{}
	f := m.follower()
	for range 100 {
		m.run(100 * time.Microsecond)
		assert.Equal(t, f.since(), m.booted)
		m.sleep(3 * time.Second)
		assert.Equal(t, f.since(), m.booted)
	}
}

func TestTheTimeOfDayMayJump(t *testing.T) {
	m := &machine{}
	f := m.follower()
	for i := range 100 {
		m.run(time.Millisecond)
		m.day += time.Duration(i%3-1) * time.Hour
		assert.Equal(t, f.since(), m.booted)
	}
}

// The time of day may be set back by just the time of a sleep.
func TestAHiddenSleepIsNoticedSoon(t *testing.T) {
	m := &machine{}
	f := m.follower()
	m.run(time.Millisecond)
	assert.Equal(t, f.since(), m.booted)
	m.booted += time.Hour
	m.run(lookEvery)
	assert.Equal(t, f.since(), m.booted)
}

// Each time that was asked for cost a system call.
func TestTheTimeCostsFewLooks(t *testing.T) {
	m := &machine{}
	f := m.follower()
	const spacing = 10 * time.Microsecond
	const asked = 100_000
	for range asked {
		m.run(spacing)
		assert.Equal(t, f.since(), m.booted)
	}
	assert.Assert(t, m.looks <= int(asked*spacing/lookEvery)+1, "%d looks", m.looks)
}

func TestTheTimeNeverGoesBack(t *testing.T) {
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
