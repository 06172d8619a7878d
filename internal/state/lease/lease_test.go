package lease

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"
)

var (
	start   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	address = netip.MustParseAddrPort("10.0.0.1:7000")
	timing  = DefaultTiming()
)

func at(d time.Duration) time.Time { return start.Add(d) }

func TestEmptyCellIsClaimedImmediately(t *testing.T) {
	l := New(start, timing, "a", address, 0)
	_, _, claim := l.Claim(start)
	assert.Assert(t, !claim, "the partition was not read yet")
	l.ObserveEnd(start, 0)
	r, end, claim := l.Claim(start)
	assert.Assert(t, claim)
	assert.Equal(t, end, int64(0))
	assert.DeepEqual(t, r, Record{Epoch: 1, Address: address, Process: "a"}, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }))
	l.Claimed(start, r, 1)
	assert.Assert(t, l.MayAct(start, 1))
	assert.Assert(t, l.FormerGrantsEnd(time.Second).IsZero())
}

func TestSilentOwnerIsReplacedAfterExpireAndStagger(t *testing.T) {
	l := New(start, timing, "b", address, 0.5)
	l.Observe(start, Record{Epoch: 4, Address: address, Process: "a"}, 9)
	l.ObserveEnd(at(timing.ExpireAfter), 9)
	_, _, claim := l.Claim(at(timing.ExpireAfter))
	assert.Assert(t, !claim, "claims are staggered")
	r, end, claim := l.Claim(at(timing.ExpireAfter + timing.MaxStagger))
	assert.Assert(t, claim)
	assert.Equal(t, r.Epoch, uint64(5))
	assert.Equal(t, end, int64(9))
}

func TestReleasedCellIsClaimedWithoutWaiting(t *testing.T) {
	l := New(start, timing, "b", address, 0)
	l.Observe(start, Record{Epoch: 4, Address: address, Process: "a", Released: true}, 9)
	_, known := l.Owner()
	assert.Assert(t, !known)
	_, _, claim := l.Claim(start)
	assert.Assert(t, claim)
}

// An owner that was suspended must not act when it resumes. Its successor
// relies on FormerGrantsEnd for the end of all leases that it granted.
func TestUnconfirmedOwnerStopsActingBeforeItsGrantsEnd(t *testing.T) {
	a := New(start, timing, "a", address, 0)
	a.ObserveEnd(start, 0)
	r, _, _ := a.Claim(start)
	a.Claimed(start, r, 1)
	a.Confirmed(1, at(time.Second))
	b := New(start, timing, "b", address, 0)
	b.Observe(at(time.Second), r, 2)
	b.ObserveEnd(at(3*time.Second), 2)
	next, _, claim := b.Claim(at(3 * time.Second))
	assert.Assert(t, claim)
	b.Claimed(at(3*time.Second), next, 3)
	const lease = 5 * time.Second
	for d := time.Duration(0); d < 20*time.Second; d += 100 * time.Millisecond {
		if a.MayAct(at(d), 1) {
			assert.Assert(t, !at(d).Add(lease).After(b.FormerGrantsEnd(lease)), "%v", d)
		}
	}
}

func TestNewerEpochDeposesOwner(t *testing.T) {
	a := New(start, timing, "a", address, 0)
	a.ObserveEnd(start, 0)
	r, _, _ := a.Claim(start)
	a.Claimed(start, r, 1)
	a.Observe(at(time.Second), Record{Epoch: 2, Address: address, Process: "b"}, 2)
	assert.Assert(t, !a.MayAct(at(time.Second), 1))
	a.Observe(at(time.Second), Record{Epoch: 1, Address: address, Process: "a"}, 3)
	owner, _ := a.Owner()
	assert.Equal(t, owner.Epoch, uint64(2))
}

func TestLeavingProcessDoesNotClaim(t *testing.T) {
	l := New(start, timing, "a", address, 0)
	l.ObserveEnd(start, 0)
	l.StopClaiming()
	_, _, claim := l.Claim(at(time.Minute))
	assert.Assert(t, !claim)
}

// In a rolling restart, a released cell should not go to a process that is
// stopped next.
func TestReleasedCellGoesToRecentlyStartedProcess(t *testing.T) {
	released := Record{Epoch: 4, Address: address, Process: "a", Released: true}
	later := at(time.Hour)
	recent, old := New(later.Add(-time.Second), timing, "b", address, 1), New(start, timing, "c", address, 0)
	recent.Observe(later, released, 9)
	old.Observe(later, released, 9)
	_, _, claim := old.Claim(later.Add(timing.MaxStagger - time.Millisecond))
	assert.Assert(t, !claim)
	_, _, claim = recent.Claim(later.Add(timing.MaxStagger))
	assert.Assert(t, claim)
	_, _, claim = old.Claim(later.Add(timing.MaxStagger))
	assert.Assert(t, claim, "old processes claim if no recent one does")
}

func TestRecordSeenAtIsWhenTheNewestRecordWasRead(t *testing.T) {
	l := New(start, timing, "b", address, 0)
	l.ObserveEnd(start, 0)
	assert.Assert(t, l.RecordSeenAt().IsZero(), "the partition is empty")
	l.Observe(at(time.Second), Record{Epoch: 2, Address: address, Process: "a"}, 1)
	l.Observe(at(2*time.Second), Record{Epoch: 1, Address: address, Process: "c"}, 2)
	l.ObserveEnd(at(3*time.Second), 2)
	assert.Equal(t, l.RecordSeenAt(), at(time.Second))
}

// A process must not take itself for the only owner when another one may have claimed the
// cell.
func TestOwnerIsSoleUntilOthersMayClaim(t *testing.T) {
	a, b := New(start, timing, "a", address, 0), New(start, timing, "b", address, 0)
	a.ObserveEnd(start, 0)
	r, _, _ := a.Claim(start)
	a.Claimed(start, r, 1)
	b.Observe(start, r, 1)
	sole := true
	for d := time.Duration(0); d < 2*timing.ExpireAfter; d += 10 * time.Millisecond {
		_, _, claim := b.Claim(at(d))
		was := sole
		sole = a.SoleOwner(at(d), r.Epoch)
		assert.Assert(t, !sole || !claim, d)
		assert.Assert(t, was || !sole, d)
	}
	assert.Assert(t, !sole)
	a.Confirmed(r.Epoch, at(timing.ExpireAfter))
	assert.Assert(t, a.SoleOwner(at(timing.ExpireAfter), r.Epoch))
	assert.Assert(t, !a.SoleOwner(at(timing.ExpireAfter), r.Epoch+1))
}

// A successor waits for the leases of an owner that released the cell from its last record
// on, and for those of an owner before it that might have acted after that.
func TestLeasesOfQuietOwnerEndSooner(t *testing.T) {
	const duration = 5 * time.Second
	l := New(start, timing, "b", address, 0)
	l.Observe(start, Record{Epoch: 4, Address: address, Process: "a"}, 9)
	claimedAt := at(2 * time.Second)
	l.ObserveEnd(claimedAt, 9)
	r, _, claim := l.Claim(claimedAt)
	assert.Assert(t, claim)
	l.Claimed(claimedAt, r, 10)
	assert.Equal(t, l.FormerActsFor(claimedAt), timing.ActFor-2*time.Second, "the silent owner may not have noticed the claim")
	assert.Equal(t, l.FormerActsFor(at(timing.ActFor+1)), time.Duration(0))
	assert.Assert(t, l.FormerGrantsEnd(duration).Equal(at(timing.ActFor+duration)))

	releasedAt := at(10 * time.Second)
	for _, c := range []struct {
		released Record
		actsFor  time.Duration
	}{
		{Record{}, timing.ActFor},
		{Record{Quiet: true}, 0},
		{Record{Quiet: true, FormerActsFor: time.Second}, time.Second},
	} {
		next := New(start, timing, "c", address, 0)
		c.released.Epoch, c.released.Process, c.released.Released = 5, "b", true
		next.Observe(releasedAt, c.released, 11)
		claimedAt := releasedAt.Add(timing.MaxStagger)
		r, _, claim := next.Claim(claimedAt)
		assert.Assert(t, claim)
		assert.Assert(t, !r.Quiet)
		next.Claimed(claimedAt, r, 12)
		assert.Equal(t, next.FormerActsFor(releasedAt), c.actsFor)
		assert.Assert(t, next.FormerGrantsEnd(duration).Equal(releasedAt.Add(c.actsFor+duration)))
	}
}
