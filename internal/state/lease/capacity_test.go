package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// look is the time between looks of a VM at the partition while nothing is added.
const look = 500 * time.Millisecond

// vm is an entry VM in virtual time.
type vm struct {
	lease    *Lease
	capacity uint32
	up       time.Duration
	seen     int
	nextLook time.Duration
	renewAt  time.Duration
	// slow is set while the VM is slow whenever it owns the cell.
	slow bool
	down bool
}

// fleet is entry VMs that share a partition.
type fleet struct {
	t       *testing.T
	vms     []*vm
	records []Record
	now     time.Duration
	// strongest is what owners have lately heard of others.
	strongest uint32
	yields    int
}

func newFleet(t *testing.T, seed uint64, capacities ...uint32) *fleet {
	random := rand.New(rand.NewPCG(seed, 1))
	f := &fleet{t: t}
	for i, c := range capacities {
		up := time.Duration(random.IntN(300)) * time.Millisecond
		v := &vm{capacity: c, up: up, nextLook: up}
		v.lease = New(at(up), timing, fmt.Sprintf("vm-%d", i), address, random.Float64())
		v.lease.SetCapacity(c)
		f.vms = append(f.vms, v)
	}
	return f
}

func (f *fleet) append(r Record) { f.records = append(f.records, r) }

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 10 * time.Millisecond {
		for _, v := range f.vms {
			if !v.down && f.now >= v.up {
				f.tick(v)
			}
		}
	}
}

func (f *fleet) tick(v *vm) {
	news := v.seen < len(f.records)
	for ; v.seen < len(f.records); v.seen++ {
		v.lease.Observe(at(f.now), f.records[v.seen], int64(v.seen+1))
	}
	if epoch := v.lease.Epoch(); epoch != 0 {
		if v.lease.Yield(at(f.now), v.slow, f.strongest) {
			f.yields++
			f.append(Record{Epoch: epoch, Address: address, Capacity: v.capacity, Strongest: f.strongest, Released: true, Yielded: true})
			v.lease.Lost()
			return
		}
		if f.now >= v.renewAt {
			v.renewAt = f.now + timing.Renew
			f.append(Record{Epoch: epoch, Address: address, Capacity: v.capacity, Strongest: f.strongest})
			v.lease.Confirmed(epoch, at(f.now))
		}
		return
	}
	if !news && f.now < v.nextLook {
		return
	}
	v.nextLook = f.now + look
	v.lease.Seen(at(f.now), int64(len(f.records)))
	if r, end, claim := v.lease.Claim(at(f.now)); claim && end == int64(len(f.records)) {
		r.Strongest = f.strongest
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

// waitForOwner returns how long it takes until a VM owns the cell.
func (f *fleet) waitForOwner(most time.Duration) time.Duration {
	f.t.Helper()
	began := f.now
	for f.owner() == 0 {
		assert.Assert(f.t, f.now-began <= most, "no owner after %v", most)
		f.run(10 * time.Millisecond)
	}
	return f.now - began
}

func (f *fleet) killOwners(least uint32) {
	for _, v := range f.vms {
		if v.capacity >= least {
			v.down = true
		}
	}
}

func (f *fleet) killOwner() {
	for _, v := range f.vms {
		if v.lease.Epoch() != 0 {
			v.down = true
		}
	}
}

const seeds = 50

// uneven is a fleet of which most VMs are too weak for the cell.
func uneven() []uint32 {
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

// A cell once went to whichever VM was first: mostly to one that could not carry it.
func TestStrongVMsClaimFirst(t *testing.T) {
	for seed := range uint64(seeds) {
		f := newFleet(t, seed, uneven()...)
		f.waitForOwner(2 * time.Second)
		assert.Equal(t, f.owner(), uint32(800), "seed %d: the first claim", seed)
		f.run(5 * time.Second)
		f.killOwner()
		f.waitForOwner(timing.Expire + timing.Stagger + look)
		assert.Equal(t, f.owner(), uint32(800), "seed %d: after a silent owner", seed)
	}
}

func TestAFleetOfWeakVMsGetsAnOwner(t *testing.T) {
	bound := timing.DeferFirst + timing.Stagger + look + 300*time.Millisecond
	for seed := range uint64(seeds) {
		f := newFleet(t, seed, 120, 120, 120)
		f.waitForOwner(bound)
		newFleet(t, seed, 1).waitForOwner(bound)
	}
}

// Hand-overs on fleets of equal VMs take no longer than without capacities.
func TestEqualVMsClaimAsIfNothingWereKnown(t *testing.T) {
	for _, released := range []bool{false, true} {
		for _, strongest := range []uint32{0, 300, 400} {
			l, blind := New(start, timing, "a", address, 0.5), New(start, timing, "a", address, 0.5)
			l.SetCapacity(400)
			r := Record{Epoch: 4, Address: address, Process: "b", Released: released, Capacity: 400, Strongest: strongest}
			l.Observe(start, r, 9)
			blind.Observe(start, Record{Epoch: 4, Address: address, Process: "b", Released: released}, 9)
			for d := time.Duration(0); d < 3*time.Second; d += time.Millisecond {
				_, _, want := blind.Claim(at(d))
				_, _, claim := l.Claim(at(d))
				assert.Equal(t, claim, want, "%v", d)
			}
		}
	}
}

func TestDeadStrongVMsDelayAClaimByNoMoreThanTheBound(t *testing.T) {
	for seed := range uint64(seeds) {
		f := newFleet(t, seed, uneven()...)
		f.strongest = 800
		f.run(10 * time.Second)
		f.killOwners(800)
		f.waitForOwner(timing.Expire + timing.Defer + timing.Stagger + look)
		assert.Equal(t, f.owner(), uint32(192))
	}
}

// A weak VM that was first gives the cell to a strong one that comes later, once.
func TestASlowWeakOwnerYieldsToAStrongVM(t *testing.T) {
	for seed := range uint64(seeds) {
		f := newFleet(t, seed, uneven()...)
		for _, v := range f.vms {
			v.slow = v.capacity < 800
			if !v.slow {
				v.up += 20 * time.Second
				v.nextLook = v.up
			}
		}
		f.run(20 * time.Second)
		assert.Equal(t, f.owner(), uint32(192))
		assert.Equal(t, f.yields, 0, "it knows of no stronger one")
		f.run(time.Second)
		f.strongest = 800
		f.run(10 * time.Second)
		assert.Equal(t, f.owner(), uint32(800), "seed %d", seed)
		assert.Equal(t, f.yields, 1)
	}
}

func TestACellIsNotYieldedBackAndForth(t *testing.T) {
	for seed := range uint64(seeds) {
		f := newFleet(t, seed, uneven()...)
		f.strongest = 800
		for _, v := range f.vms {
			v.slow = true
			v.down = v.capacity == 800 // it is announced still
		}
		f.run(3 * timing.YieldEvery)
		assert.Assert(t, f.yields >= 1 && f.yields <= 3, "seed %d: %d yields in three spans", seed, f.yields)
		even := newFleet(t, seed, 400, 400, 400)
		even.strongest = 400
		for _, v := range even.vms {
			v.slow = true
		}
		even.run(3 * timing.YieldEvery)
		assert.Equal(t, even.yields, 0, "equal ones would be as slow")
	}
}

func TestAnOwnerYieldsOnlyIfItStaysSlow(t *testing.T) {
	l := New(start, timing, "a", address, 0)
	l.SetCapacity(192)
	l.Seen(start, 0)
	r, _, _ := l.Claim(at(timing.DeferFirst))
	l.Claimed(start, r, 1)
	assert.Assert(t, !l.Yield(start, true, 800))
	assert.Assert(t, !l.Yield(at(timing.SlowFor-time.Millisecond), true, 800))
	assert.Assert(t, !l.Yield(at(timing.SlowFor), false, 800))
	assert.Assert(t, !l.Yield(at(2*timing.SlowFor), true, 800), "it begins anew")
	assert.Assert(t, !l.Yield(at(3*timing.SlowFor), true, 383), "not much stronger")
	assert.Assert(t, l.Yield(at(3*timing.SlowFor), true, 384))
}
