// Package lease elects the owner of a cell and decides when the owner may act.
//
// A cell is a set of jobs and the workers that run their tasks. Its owner is the
// process that makes its scheduling decisions. The epoch is a number that increases
// with every claim of the cell.
//
// The owner appends records to a partition of the store at regular intervals. A
// process that reads the partition without errors and finds no new record for
// some time claims the cell: it appends a record with a higher epoch on the
// condition that nothing else was appended, so that exactly one claim succeeds.
// The epoch fences what the former owner still writes.
//
// This covers owners that die, freeze or lose the store while other processes
// still reach it. An owner whose appends are not confirmed for some time stops
// acting, so that its successor knows when the leases that it granted have
// ended. For rolling restarts, an owner releases the cell, and a process that was
// restarted recently claims it first. If the owner grants no leases from before it sends
// its last record on, the record says so (quiet), and the successor waits for less long.
//
// If VMs differ in capacity, the strongest claim first: weaker ones wait longer,
// up to a bound, so that a fleet of weak VMs gets an owner too. An owner that is
// overloaded yields the cell to a much stronger VM that it knows of.
//
// Renewals prove that an owner is alive, not that it does its work. An owner whose
// renewals succeed while one of its duties makes no progress keeps others from
// claiming, so it yields the cell, and claims it again only if no other process does.
package lease

import (
	"net/netip"
	"time"
)

// Timing holds the time bounds of the protocol.
type Timing struct {
	// RenewInterval is the interval at which the owner appends records.
	RenewInterval time.Duration
	// ExpireAfter is the time without a new record after which the cell is
	// claimed.
	ExpireAfter time.Duration
	// ActFor is how long an owner may act after its last confirmed append.
	ActFor time.Duration
	// MaxStagger is the maximum random delay of a claim. It spreads claims, so that
	// most processes see the first one instead of competing with it.
	MaxStagger time.Duration
	// RecentStart is the age up to which a process claims a released cell before
	// older ones. In a rolling restart the older processes are about to be stopped
	// too.
	RecentStart time.Duration
	// MaxClaimDelay is the additional delay of a claim by a VM without capacity,
	// and MaxFirstClaimDelay the additional delay while the cell has never had an
	// owner. The delay of other VMs is proportional to the capacity that they
	// lack.
	MaxClaimDelay, MaxFirstClaimDelay time.Duration
	// OverloadBeforeYield is how much longer an owner must have been overloaded than
	// not before it yields the cell. MinYieldInterval is the minimum time between two
	// yields of a cell, or UsefulYieldInterval if the first one gave it to a much
	// stronger VM.
	OverloadBeforeYield, MinYieldInterval, UsefulYieldInterval time.Duration
	// StallBeforeYield is how long a duty of an owner may make no progress before the
	// owner yields the cell. Soon after another yield it is repeatedStallFactor times as
	// long.
	StallBeforeYield time.Duration
	// YieldedClaimDelay is the additional delay of a claim by the process that
	// yielded the cell.
	YieldedClaimDelay time.Duration
}

const (
	// fullCapacity is the capacity, in thousandths of a processor, from which a VM
	// makes the first claim without delay. An owner decides in one thread, so it
	// uses one processor.
	fullCapacity = 1000
	// An owner yields only to a VM with at least yieldCapacityFactor times its
	// capacity. A handover costs a second without task starts, so a small gain is
	// not worth it.
	yieldCapacityFactor = 2
	// A stall that follows the cell to its next owner is not that owner's fault, and
	// each handover costs a restore.
	repeatedStallFactor = 4
)

// DefaultTiming returns bounds for a store that answers within milliseconds.
func DefaultTiming() Timing {
	return Timing{
		RenewInterval: 400 * time.Millisecond,
		ExpireAfter:   1600 * time.Millisecond,
		// A typical outage of the store lasts 4.5 s. The owner keeps working for most
		// of it, and a successor waits no longer than that.
		ActFor:      3500 * time.Millisecond,
		MaxStagger:  150 * time.Millisecond,
		RecentStart: 20 * time.Second,
		// Claims are checked every 0.5 s, so VMs that differ by more than half in
		// capacity do not claim at the same time. ExpireAfter and MaxClaimDelay
		// together are less than ActFor.
		MaxClaimDelay: 1200 * time.Millisecond,
		// Nothing runs before the first claim, and VMs start within about 0.3 s.
		MaxFirstClaimDelay: 3 * time.Second,
		// A burst of calls lasts a second or two.
		OverloadBeforeYield: 4 * time.Second,
		MinYieldInterval:    time.Minute,
		// The strong VM may stop again soon after it has claimed.
		UsefulYieldInterval: 15 * time.Second,
		// Longer than a typical outage of the store, after which the owner goes on
		// faster than a successor would.
		StallBeforeYield: 5 * time.Second,
		// Longer than the claim delay of the weakest VM.
		YieldedClaimDelay: 1500 * time.Millisecond,
	}
}

// Record is what an owner appends to the partition.
type Record struct {
	// Epoch increases with every claim.
	Epoch uint64
	// Address and Process identify the owner.
	Address netip.AddrPort
	Process string
	// Released is set in the last record of an owner that gives the cell up.
	Released bool
	// Capacity is the capacity of the owner's VM, and StrongestOther that of the
	// strongest other VM that the owner heard of recently, in thousandths of a
	// processor. Zero is unknown.
	Capacity, StrongestOther uint32
	// Yielded is set if the cell was released because another VM can serve it better.
	Yielded bool
	// Quiet is set with Released if the owner has granted no lease since it sent the record.
	// An owner before it may grant some for FormerActsFor after that.
	Quiet         bool
	FormerActsFor time.Duration
	// Age is the age of the cell when the record was sent, by the owner's CellClock.
	Age time.Duration
}

// Lease is the view of one process on the ownership of a cell. Use New. It is
// not safe for concurrent use.
type Lease struct {
	timing  Timing
	process string
	address netip.AddrPort
	// stagger is the delay of claims by this process.
	stagger time.Duration
	// capacity is the capacity of this VM, in thousandths of a processor. Zero is
	// unknown.
	capacity uint32

	// startedAt is when this process started.
	startedAt time.Time

	// newestRecord is the record with the highest epoch, if hasRecord is set.
	newestRecord Record
	hasRecord    bool
	// newestSeenAt is when newestRecord was read, or when the partition was found
	// empty. Zero before the first read.
	newestSeenAt time.Time
	// formerSeenAt is newestSeenAt of the former owner, at this process's claim.
	// Zero if there was none. Former owners may grant leases for formerActsFor after it.
	formerSeenAt  time.Time
	formerActsFor time.Duration
	// partitionEnd is the offset of the end of the partition.
	partitionEnd int64
	// clock is the clock of the owner of newestRecord.
	clock CellClock
	// confirmedAt is when the last confirmed append of this owner was sent.
	confirmedAt time.Time
	// ownEpoch is the epoch that this process owns, or zero.
	ownEpoch uint64
	// stopClaims is set once this process is shutting down.
	stopClaims bool
	// yieldedAt is when a record with Yielded was last read, and yieldedCapacity the
	// capacity in it. yieldUseful is set if a much stronger VM has owned the cell since.
	yieldedAt       time.Time
	yieldedCapacity uint32
	yieldUseful     bool
	// overloadedFor grows while this owner is overloaded and shrinks while it is not,
	// between zero and Timing.OverloadBeforeYield. It was last updated at
	// overloadCheckedAt, and wasOverloaded tells whether the owner was overloaded then.
	overloadedFor     time.Duration
	overloadCheckedAt time.Time
	wasOverloaded     bool
	// yieldedEpoch is the last epoch that this owner yielded, or zero.
	yieldedEpoch uint64
}

// New returns the view of a process that starts now and has read nothing. The
// rank is between 0 and 1, scales the process's stagger, and should differ
// between processes.
func New(now time.Time, t Timing, process string, address netip.AddrPort, rank float64) *Lease {
	return &Lease{timing: t, process: process, address: address, stagger: time.Duration(rank * float64(t.MaxStagger)), startedAt: now}
}

// SetCapacity sets the capacity of this VM, in thousandths of a processor.
func (l *Lease) SetCapacity(capacity uint32) { l.capacity = capacity }

// Observe records that a record was read, which ends at the offset end.
func (l *Lease) Observe(now time.Time, r Record, end int64) {
	l.partitionEnd = max(l.partitionEnd, end)
	if l.hasRecord && r.Epoch < l.newestRecord.Epoch {
		return
	}
	l.newestRecord, l.hasRecord, l.newestSeenAt = r, true, now
	l.clock = NewCellClock(r.Age, now)
	switch {
	case r.Yielded:
		l.yieldedAt, l.yieldedCapacity, l.yieldUseful = now, r.Capacity, false
	case l.yieldedCapacity > 0 && r.Capacity >= yieldCapacityFactor*l.yieldedCapacity:
		l.yieldUseful = true
	}
	if r.Epoch > l.ownEpoch {
		l.ownEpoch = 0
	}
}

// ObserveEnd records that a read found no further record before an offset.
func (l *Lease) ObserveEnd(now time.Time, end int64) {
	l.partitionEnd = max(l.partitionEnd, end)
	if l.newestSeenAt.IsZero() {
		l.newestSeenAt = now
	}
}

// Owner returns the newest record. It reports false if the cell has no owner.
func (l *Lease) Owner() (Record, bool) {
	return l.newestRecord, l.hasRecord && !l.newestRecord.Released
}

// RecordSeenAt returns when the newest record was last read or appended, or zero if there
// is none.
func (l *Lease) RecordSeenAt() time.Time {
	if !l.hasRecord {
		return time.Time{}
	}
	return l.newestSeenAt
}

// Claim reports whether the cell should be claimed now. It returns the record
// to append, with the strongest VM that was known to the last owner, and the offset
// at which the partition must end for the append to be valid. The caller must have
// read the partition without errors up to now.
func (l *Lease) Claim(now time.Time) (Record, int64, bool) {
	if l.stopClaims || l.ownEpoch != 0 || l.newestSeenAt.IsZero() {
		return Record{}, 0, false
	}
	wait := l.stagger
	if l.hasRecord && !l.newestRecord.Released {
		wait += l.timing.ExpireAfter
	} else if now.Sub(l.startedAt) > l.timing.RecentStart {
		wait += l.timing.MaxStagger
	}
	if now.Sub(l.newestSeenAt) < wait+l.claimDelay() {
		return Record{}, 0, false
	}
	r := Record{
		Epoch: l.newestRecord.Epoch + 1, Address: l.address, Process: l.process,
		Capacity: l.capacity, StrongestOther: l.newestRecord.StrongestOther, Age: l.clock.Age(now),
	}
	if l.newestRecord.Process != l.process {
		r.StrongestOther = max(r.StrongestOther, l.newestRecord.Capacity)
	}
	return r, l.partitionEnd, true
}

// claimDelay returns how long this process lets others claim first: stronger VMs, and
// all others if it yielded the cell itself. The delay for stronger VMs is proportional
// to the capacity that this one lacks compared to the strongest VM that the last owner
// knew of, or to that owner itself if it knew of none.
func (l *Lease) claimDelay() time.Duration {
	maxDelay, strongest := l.timing.MaxClaimDelay, l.newestRecord.StrongestOther
	switch {
	case !l.hasRecord:
		maxDelay, strongest = l.timing.MaxFirstClaimDelay, fullCapacity
	case strongest == 0:
		strongest = l.newestRecord.Capacity
	}
	var delay time.Duration
	if l.yieldedEpoch != 0 && l.yieldedEpoch == l.newestRecord.Epoch {
		delay = l.timing.YieldedClaimDelay
	}
	if l.capacity == 0 || l.capacity >= strongest {
		return delay
	}
	return delay + time.Duration(float64(maxDelay)*float64(strongest-l.capacity)/float64(strongest))
}

// Yield reports whether this owner should release the cell to a stronger VM. It
// must be called regularly with whether the owner is overloaded now and with the
// capacity of the strongest other VM heard of recently, or zero.
func (l *Lease) Yield(now time.Time, overloaded bool, strongest uint32) bool {
	l.updateOverloadedFor(now, overloaded)
	if !overloaded || l.ownEpoch == 0 || l.overloadedFor < l.timing.OverloadBeforeYield {
		return false
	}
	if l.capacity == 0 || strongest < yieldCapacityFactor*l.capacity {
		return false
	}
	if l.yieldedRecently(now) {
		return false
	}
	l.yieldedEpoch = l.ownEpoch
	return true
}

// updateOverloadedFor adds the time since the last update if the owner was overloaded
// then, and subtracts it otherwise.
func (l *Lease) updateOverloadedFor(now time.Time, overloaded bool) {
	if !l.overloadCheckedAt.IsZero() {
		elapsed := now.Sub(l.overloadCheckedAt)
		if !l.wasOverloaded {
			elapsed = -elapsed
		}
		l.overloadedFor = min(max(0, l.overloadedFor+elapsed), l.timing.OverloadBeforeYield)
	}
	l.overloadCheckedAt, l.wasOverloaded = now, overloaded
}

// YieldStalled reports whether this owner should release the cell because one of its
// duties has made no progress for some time although its renewals succeeded.
func (l *Lease) YieldStalled(now time.Time, stalled time.Duration) bool {
	limit := l.timing.StallBeforeYield
	if l.yieldedRecently(now) {
		limit *= repeatedStallFactor
	}
	if l.ownEpoch == 0 || stalled < limit {
		return false
	}
	l.yieldedEpoch = l.ownEpoch
	return true
}

func (l *Lease) yieldedRecently(now time.Time) bool {
	interval := l.timing.MinYieldInterval
	if l.yieldUseful {
		interval = l.timing.UsefulYieldInterval
	}
	return !l.yieldedAt.IsZero() && now.Sub(l.yieldedAt) < interval
}

// Claimed records that a claim, sent at a time, succeeded.
func (l *Lease) Claimed(sent time.Time, r Record, end int64) {
	l.formerSeenAt, l.formerActsFor = time.Time{}, l.timing.ActFor
	if l.hasRecord {
		l.formerSeenAt = l.newestSeenAt
	}
	if l.newestRecord.Quiet {
		l.formerActsFor = l.newestRecord.FormerActsFor
	}
	l.newestRecord, l.hasRecord, l.newestSeenAt = r, true, sent
	l.overloadedFor, l.overloadCheckedAt = 0, time.Time{}
	l.partitionEnd = max(l.partitionEnd, end)
	l.ownEpoch, l.confirmedAt = r.Epoch, sent
	l.clock = NewCellClock(r.Age, sent)
}

// Deposed records that a newer owner exists or that a claim failed.
func (l *Lease) Deposed() { l.ownEpoch = 0 }

// Confirmed records that a renewal, sent at a time, succeeded.
func (l *Lease) Confirmed(epoch uint64, sent time.Time) {
	if epoch == l.ownEpoch && sent.After(l.confirmedAt) {
		l.confirmedAt = sent
	}
}

// Epoch returns the epoch that this process owns, or zero.
func (l *Lease) Epoch() uint64 { return l.ownEpoch }

// ConfirmedAt returns the last time at which this process was certainly the
// only owner.
func (l *Lease) ConfirmedAt() time.Time { return l.confirmedAt }

// MayAct reports whether the owner of an epoch may give orders to workers.
func (l *Lease) MayAct(now time.Time, epoch uint64) bool {
	return l.ownEpoch == epoch && epoch != 0 && now.Sub(l.confirmedAt) < l.timing.ActFor
}

// SoleOwner reports whether the owner of an epoch is certainly the only one. Another process
// claims the cell ExpireAfter after the last record at the earliest.
func (l *Lease) SoleOwner(now time.Time, epoch uint64) bool {
	return l.ownEpoch == epoch && epoch != 0 && now.Sub(l.confirmedAt) < l.timing.ExpireAfter
}

// StopClaiming prevents further claims by this process.
func (l *Lease) StopClaiming() { l.stopClaims = true }

// FormerGrantsEnd returns when the leases that former owners granted have ended, or zero
// if there was no former owner. The longest lease takes the given time. A former owner was
// last confirmed no later than its last record was read.
func (l *Lease) FormerGrantsEnd(lease time.Duration) time.Time {
	if l.formerSeenAt.IsZero() {
		return time.Time{}
	}
	return l.formerSeenAt.Add(l.formerActsFor + lease)
}

// FormerActsFor returns for how long former owners may still grant leases.
func (l *Lease) FormerActsFor(now time.Time) time.Duration {
	if l.formerSeenAt.IsZero() {
		return 0
	}
	return max(0, l.formerSeenAt.Add(l.formerActsFor).Sub(now))
}
