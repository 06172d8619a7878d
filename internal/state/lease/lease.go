// Package lease decides who owns a cell and when an owner may act.
//
// The owner appends to a partition from time to time. A process that reads the
// partition without trouble and sees nothing for a while claims the cell: it
// appends a higher epoch on the condition that nothing was added meanwhile, so
// one claim wins. The epoch fences what the former owner still writes.
//
// It answers owners that die, freeze or lose the store while others still reach
// it. An owner that has not been confirmed for some time stops acting, so that a
// successor knows when what the former owner granted has ended. It answers restarts
// in turn: a cell that is released goes to a process that has been restarted.
//
// Where VMs differ, strong ones claim first: weaker ones wait longer, up to a
// bound, so a fleet of weak ones has an owner as well. An owner that is slow gives
// the cell to a much stronger VM that it knows of.
package lease

import (
	"net/netip"
	"time"
)

// Timing holds the bounds of the protocol.
type Timing struct {
	// Renew is the time between two appends of the owner.
	Renew time.Duration
	// Expire is the silence after which the cell is claimed.
	Expire time.Duration
	// Act is how long an owner acts after its last confirmed append.
	Act time.Duration
	// Stagger spreads claims, so that most processes see the first one.
	Stagger time.Duration
	// Young is the age up to which a process goes before others if an owner
	// releases the cell. When processes are restarted in turn, older ones are
	// about to be stopped as well.
	Young time.Duration
	// Defer is how much longer a VM that can carry nothing against others waits
	// before it claims, DeferFirst how much longer before the first claim of all.
	// Others wait in proportion to what they lack.
	Defer, DeferFirst time.Duration
	// SlowFor is how long an owner must have been slow before it yields, YieldEvery
	// the least time between two times that a cell is yielded.
	SlowFor, YieldEvery time.Duration
}

const (
	// ample is the capacity with which a VM claims first without waiting: an owner
	// decides in one thread, so a whole processor.
	ample = 1000
	// muchStronger is how much more another VM must carry for an owner to yield. A
	// hand-over costs a second without starts, so it must bring more than a little.
	muchStronger = 2
)

// DefaultTiming returns bounds for a store that answers in milliseconds.
func DefaultTiming() Timing {
	return Timing{
		Renew:  400 * time.Millisecond,
		Expire: 1600 * time.Millisecond,
		// Work goes on for most of a common outage of the store, of 4.5 s, and
		// a successor waits for it no longer than that.
		Act:     3500 * time.Millisecond,
		Stagger: 150 * time.Millisecond,
		Young:   20 * time.Second,
		// Claims are looked at every 0.5 s, so VMs that differ by more than half do
		// not meet. Silence and waiting together stay below the Act time.
		Defer: 1200 * time.Millisecond,
		// Nothing runs before the first claim, and VMs start within some 0.3 s.
		DeferFirst: 3 * time.Second,
		// A burst of calls is over in a second or two.
		SlowFor:    4 * time.Second,
		YieldEvery: time.Minute,
	}
}

// Record is what an owner appends.
type Record struct {
	Epoch    uint64
	Address  netip.AddrPort
	Process  string
	Released bool
	// Capacity is what the owner's VM can carry, Strongest what the strongest other
	// VM can that was lately heard, in thousandths of a processor. Zero is unknown.
	Capacity, Strongest uint32
	// Yielded is set if the cell was released to a stronger VM.
	Yielded bool
}

// Lease is the view of one process on the owner of a cell. Use New.
type Lease struct {
	timing  Timing
	process string
	address netip.AddrPort
	stagger time.Duration
	// capacity is what this VM can carry, or zero if that is not known.
	capacity uint32

	// startedAt is when this process started.
	startedAt time.Time

	newest Record
	known  bool
	// heardAt is when the newest record was seen.
	heardAt time.Time
	// formerHeardAt is heardAt of the owner before this process.
	formerHeardAt time.Time
	end           int64
	// confirmedAt is when the last confirmed append of this owner was sent.
	confirmedAt time.Time
	ownEpoch    uint64
	leaving     bool
	// yieldedAt is when the cell was last seen to be yielded, slowSince since when
	// this owner has been slow.
	yieldedAt, slowSince time.Time
}

// New returns a view of a process that starts now and knows nothing. Rank is
// between 0 and 1 and should differ between processes.
func New(now time.Time, t Timing, process string, address netip.AddrPort, rank float64) *Lease {
	return &Lease{timing: t, process: process, address: address, stagger: time.Duration(rank * float64(t.Stagger)), startedAt: now}
}

// SetCapacity tells what this VM can carry, in thousandths of a processor.
func (l *Lease) SetCapacity(capacity uint32) { l.capacity = capacity }

// Observe takes over a record, and the end of the partition behind it.
func (l *Lease) Observe(now time.Time, r Record, end int64) {
	l.end = max(l.end, end)
	if l.known && r.Epoch < l.newest.Epoch {
		return
	}
	l.newest, l.known, l.heardAt = r, true, now
	if r.Yielded {
		l.yieldedAt = now
	}
	if r.Epoch > l.ownEpoch {
		l.ownEpoch = 0
	}
}

// Seen takes over that a read found nothing more before an offset.
func (l *Lease) Seen(now time.Time, end int64) {
	l.end = max(l.end, end)
	if l.heardAt.IsZero() {
		l.heardAt = now
	}
}

// Owner returns the newest record.
func (l *Lease) Owner() (Record, bool) { return l.newest, l.known && !l.newest.Released }

// Claim returns the record to append and the offset at which the partition must
// end, if the cell should be claimed now. The reads must have succeeded up to now.
func (l *Lease) Claim(now time.Time) (Record, int64, bool) {
	if l.leaving || l.ownEpoch != 0 || l.heardAt.IsZero() {
		return Record{}, 0, false
	}
	wait := l.stagger
	if l.known && !l.newest.Released {
		wait += l.timing.Expire
	} else if now.Sub(l.startedAt) > l.timing.Young {
		wait += l.timing.Stagger
	}
	if now.Sub(l.heardAt) < wait+l.deference() {
		return Record{}, 0, false
	}
	return Record{Epoch: l.newest.Epoch + 1, Address: l.address, Process: l.process, Capacity: l.capacity}, l.end, true
}

// deference returns how long this VM lets stronger ones go first: in proportion to
// what it lacks against the strongest that the last owner knew of, or against that
// owner itself.
func (l *Lease) deference() time.Duration {
	bound, strongest := l.timing.Defer, l.newest.Strongest
	switch {
	case !l.known:
		bound, strongest = l.timing.DeferFirst, ample
	case strongest == 0:
		strongest = l.newest.Capacity
	}
	if l.capacity == 0 || l.capacity >= strongest {
		return 0
	}
	return time.Duration(float64(bound) * float64(strongest-l.capacity) / float64(strongest))
}

// Yield reports whether this owner should release the cell to a stronger VM. It
// must be told from time to time whether the owner is slow, and what the strongest
// other VM can carry that was lately heard, or zero.
func (l *Lease) Yield(now time.Time, slow bool, strongest uint32) bool {
	if !slow || l.ownEpoch == 0 {
		l.slowSince = time.Time{}
		return false
	}
	if l.slowSince.IsZero() {
		l.slowSince = now
	}
	if l.capacity == 0 || strongest < muchStronger*l.capacity || now.Sub(l.slowSince) < l.timing.SlowFor {
		return false
	}
	return l.yieldedAt.IsZero() || now.Sub(l.yieldedAt) >= l.timing.YieldEvery
}

// Claimed takes over that a claim sent at a time has won.
func (l *Lease) Claimed(sent time.Time, r Record, end int64) {
	l.formerHeardAt = time.Time{}
	if l.known {
		l.formerHeardAt = l.heardAt
	}
	l.newest, l.known, l.heardAt = r, true, sent
	l.slowSince = time.Time{}
	l.end = max(l.end, end)
	l.ownEpoch, l.confirmedAt = r.Epoch, sent
}

// Lost takes over that a newer owner exists or that a claim failed.
func (l *Lease) Lost() { l.ownEpoch = 0 }

// Confirmed takes over that a renewal, sent at a time, succeeded.
func (l *Lease) Confirmed(epoch uint64, sent time.Time) {
	if epoch == l.ownEpoch && sent.After(l.confirmedAt) {
		l.confirmedAt = sent
	}
}

// Epoch returns the epoch that this process owns, or zero.
func (l *Lease) Epoch() uint64 { return l.ownEpoch }

// ConfirmedAt returns when this owner was last sure to be the only one.
func (l *Lease) ConfirmedAt() time.Time { return l.confirmedAt }

// MayAct reports whether the owner of an epoch may give orders.
func (l *Lease) MayAct(now time.Time, epoch uint64) bool {
	return l.ownEpoch == epoch && epoch != 0 && now.Sub(l.confirmedAt) < l.timing.Act
}

// Leave stops claims by this process.
func (l *Lease) Leave() { l.leaving = true }

// FormerGrants returns when the last lease that a former owner granted has
// ended, given how long a lease is at most. A former owner was confirmed at the
// latest when it was last heard. It returns zero if there was none.
func (l *Lease) FormerGrants(lease time.Duration) time.Time {
	if l.formerHeardAt.IsZero() {
		return time.Time{}
	}
	return l.formerHeardAt.Add(l.timing.Act + lease)
}
