package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pollInterval is the time between reads while no record is appended.
const pollInterval = 500 * time.Millisecond

// vm is an entry VM in simulated time.
type vm struct {
	lease    *Lease
	capacity uint32
	// startAt is when the VM starts.
	startAt time.Duration
	// recordsRead is the number of records that the VM has read.
	recordsRead int
	// nextPoll is when the VM reads next if no record is appended.
	nextPoll time.Duration
	// renewAt is when the VM appends its next renewal if it owns the cell.
	renewAt time.Duration
	// slow is set if the VM is slow whenever it owns the cell.
	slow bool
	down bool
}

// fleet is a set of entry VMs that share a partition.
type fleet struct {
	t       *testing.T
	vms     []*vm
	records []Record
	now     time.Duration
	// strongest is the capacity of the strongest other VM that owners heard of.
	strongest uint32
	// yields counts the yields of the cell.
	yields int
}

func newFleet(t *testing.T, seed uint64, capacities ...uint32) *fleet {
	random := rand.New(rand.NewPCG(seed, 1))
	f := &fleet{t: t}
	for i, c := range capacities {
		startAt := time.Duration(random.IntN(300)) * time.Millisecond
		v := &vm{capacity: c, startAt: startAt, nextPoll: startAt}
		v.lease = New(at(startAt), timing, fmt.Sprintf("vm-%d", i), address, random.Float64())
		v.lease.SetCapacity(c)
		f.vms = append(f.vms, v)
	}
	return f
}

func (f *fleet) append(r Record) { f.records = append(f.records, r) }

// advance runs the simulation for a duration.
func (f *fleet) advance(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 10 * time.Millisecond {
		for _, v := range f.vms {
			if !v.down && f.now >= v.startAt {
				f.tick(v)
			}
		}
	}
}

// tick runs one step of a VM that is up.
func (f *fleet) tick(v *vm) {
	newRecords := v.recordsRead < len(f.records)
	for ; v.recordsRead < len(f.records); v.recordsRead++ {
		v.lease.Observe(at(f.now), f.records[v.recordsRead], int64(v.recordsRead+1))
	}
	if epoch := v.lease.Epoch(); epoch != 0 {
		if v.lease.Yield(at(f.now), v.slow, f.strongest) {
			f.yields++
			f.append(Record{Epoch: epoch, Address: address, Capacity: v.capacity, StrongestOther: f.strongest, Released: true, Yielded: true})
			v.lease.Deposed()
			return
		}
		if f.now >= v.renewAt {
			v.renewAt = f.now + timing.RenewInterval
			f.append(Record{Epoch: epoch, Address: address, Capacity: v.capacity, StrongestOther: f.strongest})
			v.lease.Confirmed(epoch, at(f.now))
		}
		return
	}
	if !newRecords && f.now < v.nextPoll {
		return
	}
	v.nextPoll = f.now + pollInterval
	v.lease.ObserveEnd(at(f.now), int64(len(f.records)))
	if r, end, claim := v.lease.Claim(at(f.now)); claim && end == int64(len(f.records)) {
		r.StrongestOther = f.strongest
		f.append(r)
		v.lease.Claimed(at(f.now), r, end+1)
	}
}

// owner returns the capacity of the VM that owns the cell, or zero.
func (f *fleet) owner() uint32 {
	for _, v := range f.vms {
		if !v.down && v.lease.Epoch() != 0 {
			return v.capacity
		}
	}
	return 0
}

// waitForOwner runs the simulation until a VM owns the cell and returns how
// long that took.
func (f *fleet) waitForOwner(limit time.Duration) time.Duration {
	f.t.Helper()
	startedAt := f.now
	for f.owner() == 0 {
		assert.Assert(f.t, f.now-startedAt <= limit, "no owner after %v", limit)
		f.advance(10 * time.Millisecond)
	}
	return f.now - startedAt
}

// stopVMs stops the VMs with at least a capacity.
func (f *fleet) stopVMs(minCapacity uint32) {
	for _, v := range f.vms {
		if v.capacity >= minCapacity {
			v.down = true
		}
	}
}

func (f *fleet) stopOwner() {
	for _, v := range f.vms {
		if v.lease.Epoch() != 0 {
			v.down = true
		}
	}
}

// seeds is the number of simulated fleets per test.
const seeds = 50

// mixedCapacities returns the capacities of a fleet in which most VMs are too
// weak for the cell.
func mixedCapacities() []uint32 {
	var capacities []uint32
	for i := range 42 {
		if i%5 == 0 {
			capacities = append(capacities, 800)
		} else {
			capacities = append(capacities, 192)
		}
	}
	return capacities
}

// Without claim delays the cell went to whichever VM was first, in most cases
// to one that was too weak.
func TestStrongVMsClaimBeforeWeakOnes(t *testing.T) {
	for seed := range uint64(seeds) {
		f := newFleet(t, seed, mixedCapacities()...)
		f.waitForOwner(2 * time.Second)
		assert.Equal(t, f.owner(), uint32(800), "seed %d: first claim", seed)
		f.advance(5 * time.Second)
		f.stopOwner()
		f.waitForOwner(timing.ExpireAfter + timing.MaxStagger + pollInterval)
		assert.Equal(t, f.owner(), uint32(800), "seed %d: claim after the owner stopped", seed)
	}
}

func TestFleetOfWeakVMsGetsOwner(t *testing.T) {
	bound := timing.MaxFirstClaimDelay + timing.MaxStagger + pollInterval + 300*time.Millisecond
	for seed := range uint64(seeds) {
		f := newFleet(t, seed, 120, 120, 120)
		f.waitForOwner(bound)
		newFleet(t, seed, 1).waitForOwner(bound)
	}
}

// With VMs of equal capacity, handovers must not take longer than without
// capacities.
func TestEqualVMsClaimAsFastAsWithoutCapacities(t *testing.T) {
	for _, released := range []bool{false, true} {
		for _, strongest := range []uint32{0, 300, 400} {
			l, withoutCapacity := New(start, timing, "a", address, 0.5), New(start, timing, "a", address, 0.5)
			l.SetCapacity(400)
			r := Record{Epoch: 4, Address: address, Process: "b", Released: released, Capacity: 400, StrongestOther: strongest}
			l.Observe(start, r, 9)
			withoutCapacity.Observe(start, Record{Epoch: 4, Address: address, Process: "b", Released: released}, 9)
			for d := time.Duration(0); d < 3*time.Second; d += time.Millisecond {
				_, _, want := withoutCapacity.Claim(at(d))
				_, _, claim := l.Claim(at(d))
				assert.Equal(t, claim, want, "%v", d)
			}
		}
	}
}

func TestStoppedStrongVMsDelayClaimAtMostByMaximum(t *testing.T) {
	for seed := range uint64(seeds) {
		f := newFleet(t, seed, mixedCapacities()...)
		f.strongest = 800
		f.advance(10 * time.Second)
		f.stopVMs(800)
		f.waitForOwner(timing.ExpireAfter + timing.MaxClaimDelay + timing.MaxStagger + pollInterval)
		assert.Equal(t, f.owner(), uint32(192))
	}
}

// A weak VM that was the first owner yields the cell once to a strong VM that
// starts later.
func TestSlowWeakOwnerYieldsToStrongVM(t *testing.T) {
	for seed := range uint64(seeds) {
		f := newFleet(t, seed, mixedCapacities()...)
		for _, v := range f.vms {
			v.slow = v.capacity < 800
			if !v.slow {
				v.startAt += 20 * time.Second
				v.nextPoll = v.startAt
			}
		}
		f.advance(20 * time.Second)
		assert.Equal(t, f.owner(), uint32(192))
		assert.Equal(t, f.yields, 0, "the owner knows of no stronger VM")
		f.advance(time.Second)
		f.strongest = 800
		f.advance(10 * time.Second)
		assert.Equal(t, f.owner(), uint32(800), "seed %d", seed)
		assert.Equal(t, f.yields, 1)
	}
}

func TestCellIsYieldedAtMostOncePerInterval(t *testing.T) {
	for seed := range uint64(seeds) {
		f := newFleet(t, seed, mixedCapacities()...)
		f.strongest = 800
		for _, v := range f.vms {
			v.slow = true
			v.down = v.capacity == 800 // still announced as the strongest
		}
		f.advance(3 * timing.MinYieldInterval)
		assert.Assert(t, f.yields >= 1 && f.yields <= 3, "seed %d: %d yields in three intervals", seed, f.yields)
		equal := newFleet(t, seed, 400, 400, 400)
		equal.strongest = 400
		for _, v := range equal.vms {
			v.slow = true
		}
		equal.advance(3 * timing.MinYieldInterval)
		assert.Equal(t, equal.yields, 0, "a VM of equal capacity would be as slow")
	}
}

func TestOwnerYieldsOnlyAfterStayingSlow(t *testing.T) {
	l := New(start, timing, "a", address, 0)
	l.SetCapacity(192)
	l.ObserveEnd(start, 0)
	r, _, _ := l.Claim(at(timing.MaxFirstClaimDelay))
	l.Claimed(start, r, 1)
	assert.Assert(t, !l.Yield(start, true, 800))
	assert.Assert(t, !l.Yield(at(timing.OverloadBeforeYield-time.Millisecond), true, 800))
	assert.Assert(t, !l.Yield(at(timing.OverloadBeforeYield), false, 800))
	assert.Assert(t, !l.Yield(at(2*timing.OverloadBeforeYield), true, 800), "the time starts again when the owner was not slow")
	assert.Assert(t, !l.Yield(at(3*timing.OverloadBeforeYield), true, 383), "not much stronger")
	assert.Assert(t, l.Yield(at(3*timing.OverloadBeforeYield), true, 384))
}
