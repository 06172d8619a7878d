package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// handOver returns a process that started at a time, read a record of the owner that was sent
// and arrived at the given times, and has claimed the cell.
func handOver(t *testing.T, owner *Lease, started, sent, arrived time.Duration) *Lease {
	t.Helper()
	next := New(at(started), timing, "next", address, 0)
	next.Observe(at(arrived), Record{Epoch: owner.Epoch(), Process: "owner", Age: owner.Clock().Age(at(sent)), Released: true}, 1)
	claimedAt := arrived + timing.MaxStagger
	r, _, claim := next.Claim(at(claimedAt))
	assert.Assert(t, claim)
	next.Claimed(at(claimedAt+5*time.Millisecond), r, 2)
	return next
}

func firstOwner(t *testing.T) *Lease {
	t.Helper()
	l := New(at(0), timing, "first", address, 0)
	l.ObserveEnd(at(0), 0)
	r, _, claim := l.Claim(at(timing.MaxFirstClaimDelay))
	assert.Assert(t, claim)
	l.Claimed(at(timing.MaxFirstClaimDelay), r, 1)
	return l
}

// A successor must not take a time that a former owner stored for past before it is.
func TestStoredTimeIsNotPastTooEarly(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
		owners, now := []*Lease{firstOwner(t)}, timing.MaxFirstClaimDelay
		ends := make(map[time.Duration]time.Duration)
		for range 6 {
			owner := owners[len(owners)-1]
			now += upTo(4 * time.Second)
			end := now + upTo(6*time.Second)
			ends[end] = owner.Clock().Age(at(end))
			sent := now
			arrived := sent + upTo(3*time.Second)
			owners = append(owners, handOver(t, owner, sent-upTo(time.Second), sent, arrived))
			now = arrived + timing.MaxStagger + 5*time.Millisecond
			for end, age := range ends {
				restored := owners[len(owners)-1].Clock().TimeOf(age)
				assert.Assert(t, !restored.Before(at(end)), "seed %d: end at %v restored as %v", seed, end, restored.Sub(start))
			}
		}
	}
}

// In rolling restarts the next owner has mostly started after a time was stored. It must not
// count the time from its own start.
func TestStoredTimeDoesNotMoveWithLateStartedOwners(t *testing.T) {
	const interval, readDelay = 3500 * time.Millisecond, 20 * time.Millisecond
	owner, now := firstOwner(t), timing.MaxFirstClaimDelay
	end := now + 5*time.Second
	age := owner.Clock().Age(at(end))
	for n := 1; n <= 4; n++ {
		now += interval
		owner = handOver(t, owner, now-time.Second, now, now+readDelay)
		moved := owner.Clock().TimeOf(age).Sub(at(end))
		assert.Assert(t, moved <= time.Duration(n)*(readDelay+5*time.Millisecond), "moved by %v after %d handovers", moved, n)
	}
}

// Builds that do not tell the age may own the cell in between.
func TestOwnerWithoutAgeMovesStoredTimesBack(t *testing.T) {
	owner := firstOwner(t)
	end := timing.MaxFirstClaimDelay + 5*time.Second
	age := owner.Clock().Age(at(end))
	next := New(at(0), timing, "next", address, 0)
	next.Observe(at(timing.MaxFirstClaimDelay), Record{Epoch: 1, Process: "first"}, 1)
	next.Observe(at(end), Record{Epoch: 2, Process: "older build", Released: true}, 2)
	assert.Assert(t, next.Clock().TimeOf(age).After(at(end)))
	assert.Assert(t, !CellClock{}.IsKnown())
}
