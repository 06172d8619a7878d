package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxRecoveryTime is how long callers may go without service once the VMs that they
// need are up.
const maxRecoveryTime = 15 * time.Second

// newFleetWithWeakOwner returns a fleet of four weak VMs, of which one owns the cell, and
// of a VM four times as strong that starts later.
func newFleetWithWeakOwner(t *testing.T, seed uint64) (f *fleet, strong *vm) {
	t.Helper()
	f = newFleet(t, seed, 192, 192, 192, 192, 800)
	strong = f.vms[4]
	strong.startAt += 5 * time.Second
	strong.nextPoll = strong.startAt
	f.advance(5 * time.Second)
	assert.Equal(t, f.owner(), uint32(192), "seed %d", seed)
	return f, strong
}

// advanceWithSlowOwner runs the simulation until the strong VM owns the cell, at most for
// a limit. Weak owners are alternately slow and not slow.
func (f *fleet) advanceWithSlowOwner(slow, notSlow, limit time.Duration) {
	setSlow := func(slow bool) {
		for _, v := range f.vms {
			v.slow = slow && v.capacity < 800
		}
	}
	for end := f.now + limit; f.now < end && f.owner() != 800; {
		setSlow(true)
		f.advance(min(slow, end-f.now))
		setSlow(false)
		f.advance(min(notSlow, end-f.now))
	}
}

// One moment without delay within 4 s kept the cell with an owner that was slow most of
// the time.
func TestMostlySlowWeakOwnerYieldsToStrongVM(t *testing.T) {
	for seed := range uint64(seeds) {
		f, _ := newFleetWithWeakOwner(t, seed)
		f.strongest = 800
		f.advanceWithSlowOwner(3500*time.Millisecond, 250*time.Millisecond, maxRecoveryTime)
		assert.Equal(t, f.owner(), uint32(800), "seed %d: slow for 14 of %v", seed, maxRecoveryTime)
	}
}

// The interval between yields kept a weak owner for a minute although strong VMs were
// back.
func TestSlowWeakOwnerYieldsAgainWhenStrongVMReturns(t *testing.T) {
	for seed := range uint64(seeds) {
		f, strong := newFleetWithWeakOwner(t, seed)
		f.strongest = 800
		f.advanceWithSlowOwner(maxRecoveryTime, 0, maxRecoveryTime)
		assert.Equal(t, f.owner(), uint32(800), "seed %d: first yield", seed)

		strong.down = true
		f.strongest = 192
		f.advance(5 * time.Second)
		assert.Equal(t, f.owner(), uint32(192), "seed %d: strong VM stopped", seed)

		restarted := &vm{capacity: strong.capacity, startAt: f.now, nextPoll: f.now}
		restarted.lease = New(at(f.now), timing, "restarted", address, 0.5)
		restarted.lease.SetCapacity(restarted.capacity)
		f.vms = append(f.vms, restarted)
		f.strongest = 800
		f.advanceWithSlowOwner(maxRecoveryTime, 0, maxRecoveryTime)
		assert.Equal(t, f.owner(), uint32(800), "seed %d: strong VM back for %v", seed, maxRecoveryTime)
	}
}

// A strong VM that stops soon after each claim must not pull the cell back and forth all
// the time.
func TestFlappingStrongVMGetsCellAtMostOncePerInterval(t *testing.T) {
	const length = 2 * time.Minute
	for seed := range uint64(seeds) {
		f, strong := newFleetWithWeakOwner(t, seed)
		for _, v := range f.vms {
			v.slow = v.capacity < 800
		}
		for end := f.now + length; f.now < end; {
			f.strongest = 800
			for f.owner() != 800 && f.now < end {
				f.advance(10 * time.Millisecond)
			}
			f.advance(2 * time.Second)
			strong.down = true
			f.strongest = 192
			f.advance(3 * time.Second)
			strong = &vm{capacity: strong.capacity, startAt: f.now, nextPoll: f.now}
			strong.lease = New(at(f.now), timing, "restarted", address, 0.5)
			strong.lease.SetCapacity(strong.capacity)
			f.vms = append(f.vms, strong)
		}
		assert.Assert(t, f.yields <= 1+int(length/timing.UsefulYieldInterval), "seed %d: %d yields", seed, f.yields)
	}
}
