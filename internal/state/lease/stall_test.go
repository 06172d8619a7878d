package lease

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newOwner returns the lease of a process that has owned the cell from the start.
func newOwner(process string) *Lease {
	l := New(start, timing, process, address, 0)
	l.SetCapacity(400)
	l.ObserveEnd(start, 0)
	l.Claimed(start, Record{Epoch: 1, Address: address, Process: process, Capacity: 400}, 1)
	return l
}

func TestStalledOwnerYieldsAfterLimit(t *testing.T) {
	l := newOwner("a")
	assert.Assert(t, !l.YieldStalled(at(10*time.Second), timing.StallBeforeYield-time.Millisecond))
	assert.Assert(t, l.YieldStalled(at(10*time.Second), timing.StallBeforeYield))
	l.Deposed()
	assert.Assert(t, !l.YieldStalled(at(20*time.Second), timing.StallBeforeYield), "not an owner")
}

// A stall that has followed the cell from owner to owner must not move it every few
// seconds.
func TestStalledOwnerYieldsLaterAfterAnotherYield(t *testing.T) {
	l := newOwner("b")
	l.Observe(at(time.Second), Record{Epoch: 1, Process: "a", Capacity: 400, Released: true, Yielded: true}, 2)
	l.Claimed(at(2*time.Second), Record{Epoch: 2, Process: "b", Capacity: 400}, 3)
	longer := repeatedStallFactor * timing.StallBeforeYield
	assert.Assert(t, !l.YieldStalled(at(30*time.Second), longer-time.Millisecond))
	assert.Assert(t, l.YieldStalled(at(30*time.Second), longer))
	assert.Assert(t, l.YieldStalled(at(time.Second+timing.MinYieldInterval), timing.StallBeforeYield), "long after the other yield")
}

// The process that yields the cell would often be the first to claim it again.
func TestProcessClaimsYieldedCellLast(t *testing.T) {
	a, weakest := newOwner("a"), New(start, timing, "b", address, 1)
	weakest.SetCapacity(1)
	assert.Assert(t, a.YieldStalled(at(10*time.Second), timing.StallBeforeYield))
	a.Deposed()
	released := Record{Epoch: 1, Address: address, Process: "a", Capacity: 400, Released: true, Yielded: true}
	for _, l := range []*Lease{a, weakest} {
		l.Observe(at(10*time.Second), released, 2)
	}
	claimedAfter := func(l *Lease) time.Duration {
		for d := time.Duration(0); d < time.Minute; d += time.Millisecond {
			if _, _, claim := l.Claim(at(10*time.Second + d)); claim {
				return d
			}
		}
		return time.Minute
	}
	assert.Assert(t, claimedAfter(weakest) < claimedAfter(a), "%v, %v", claimedAfter(weakest), claimedAfter(a))
	assert.Assert(t, claimedAfter(a) < 2*time.Second, "alone, the process claims the cell again")
}

// A new owner has heard of no other VM yet. If its VM is weak and stops, the others must
// still know that there are stronger ones.
func TestClaimCarriesStrongestKnownCapacity(t *testing.T) {
	for _, former := range []Record{
		{Epoch: 4, Address: address, Process: "a", Capacity: 800, StrongestOther: 192},
		{Epoch: 4, Address: address, Process: "a", Capacity: 192, StrongestOther: 800},
	} {
		l := New(start, timing, "b", address, 0)
		l.SetCapacity(192)
		l.Observe(start, former, 9)
		r, _, claim := l.Claim(at(time.Minute))
		assert.Assert(t, claim)
		assert.Equal(t, r.StrongestOther, uint32(800))
	}
}
