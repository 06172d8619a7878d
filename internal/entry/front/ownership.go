package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
	"bamboofall.example/bamboofall/internal/state/lease"
	"bamboofall.example/bamboofall/internal/wire/jobpb"
)

// Topics of this project in the platform's store. The partition number is the number of
// the cell.
const (
	topicOwners = "keyed.bamboofall-owners"
	topicCells  = "keyed.bamboofall-cells"
	topicInbox  = "keyed.bamboofall-inbox"
)

const (
	ownerKey = "owner"
	// producerName is the producer name of appends to the owners and cells topics.
	producerName = "owner"
	// renewalTimeout is the timeout of an append to the owners topic, so that two of them
	// end before other VMs claim the cell. A slow store takes half a second. After
	// maxRenewalTimeouts of them in a row only the client's own timeout applies, in case
	// the store is slower than that.
	renewalTimeout     = 600 * time.Millisecond
	maxRenewalTimeouts = 2
	// maxClaimAttempts is the maximum number of attempts at a claim.
	maxClaimAttempts = 3
	// ownersLongPoll is the long-poll duration of reads of the owners topic. The time
	// after which an owner counts as silent must be several times as long.
	ownersLongPoll = 500 * time.Millisecond
)

// followOwner tracks the owner of the cell, and claims the cell when its lease has
// expired.
func (f *Front) followOwner(ctx context.Context) error {
	apply := func(r bamboofall.StoredRecord) {
		record, err := decodeOwnerRecord(r)
		if err != nil {
			f.log.Event("owner record rejected", logrus.Fields{"offset": r.Offset, "error": err.Error()})
			return
		}
		f.leaseMu.Lock()
		before, _ := f.lease.Owner()
		f.lease.Observe(now(), record, r.Offset+1)
		f.leaseMu.Unlock()
		if before.Epoch != record.Epoch || before.Released != record.Released {
			f.relay.fence(record.Epoch)
			notify(f.ownerChanged)
			f.log.Event("owner", logrus.Fields{"epoch": record.Epoch, "address": record.Address, "process": record.Process, "released": record.Released,
				"capacity": record.Capacity, "strongestOther": record.StrongestOther, "yielded": record.Yielded, "quiet": record.Quiet})
		}
	}
	defer f.owners.Wait()
	return f.follow(ctx, topicOwners, fromNewest, ownersLongPoll, topicReader{apply: apply, caughtUp: func(end int64) { f.claimIfExpired(ctx, end) }})
}

// notify sends to a channel of capacity one unless it is full.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func decodeOwnerRecord(r bamboofall.StoredRecord) (lease.Record, error) {
	m := &jobpb.Ownership{}
	if err := proto.Unmarshal(r.Value, m); err != nil {
		return lease.Record{}, err
	}
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		return lease.Record{}, err
	}
	return lease.Record{
		Epoch: m.GetEpoch(), Address: address, Process: m.GetProcess(), Released: m.GetReleased(),
		Capacity: m.GetCapacity(), StrongestOther: m.GetStrongest(), Yielded: m.GetYielded(),
		Quiet: m.GetQuiet(), FormerActsFor: time.Duration(m.GetFormerActsMs()) * time.Millisecond,
		Age: time.Duration(m.GetAgeMs()) * time.Millisecond,
	}, nil
}

func encodeOwnerRecord(record lease.Record) (bamboofall.StoreRecord, error) {
	value, err := proto.Marshal(&jobpb.Ownership{
		Epoch: record.Epoch, Address: record.Address.String(), Process: record.Process, Released: record.Released,
		Capacity: record.Capacity, Strongest: record.StrongestOther, Yielded: record.Yielded,
		Quiet: record.Quiet, FormerActsMs: uint32((record.FormerActsFor + time.Millisecond - 1) / time.Millisecond),
		AgeMs: record.Age.Milliseconds(),
	})
	return bamboofall.StoreRecord{Key: ownerKey, Value: value}, err
}

// claimIfExpired claims the cell if its owner is silent, and starts an owner if the
// claim succeeds. End is the offset up to which the owners topic has been read.
func (f *Front) claimIfExpired(ctx context.Context, end int64) {
	if f.config.Load() == nil {
		// The delay of the first claim starts when the VM could make it.
		return
	}
	f.leaseMu.Lock()
	f.lease.ObserveEnd(now(), end)
	record, expectedEnd, claim := f.lease.Claim(now())
	f.leaseMu.Unlock()
	if !claim || f.owner.Load() != nil {
		return
	}
	record = f.withStrongestPeer(record)
	stored, err := encodeOwnerRecord(record)
	if err != nil {
		f.log.Event("claim failed", logrus.Fields{"error": err.Error()})
		return
	}
	sent := now()
	// The store answers a repeated sequence number with its first answer, so each claim
	// starts from a random one.
	sequence := uint64(rand.Uint32())
	end, err = f.appendClaim(ctx, bamboofall.StoreAppend{
		Topic: topicOwners, Partition: cellPartition, Records: []bamboofall.StoreRecord{stored}, ExpectedEnd: expectedEnd,
		Producer: producerName, Epoch: record.Epoch, Sequence: sequence,
	})
	if err != nil {
		// If the claim was written despite the error, it is read back as a record of
		// this process, and the cell is claimed again after the expiry time.
		f.log.Event("claim lost", logrus.Fields{"epoch": record.Epoch, "error": err.Error()})
		return
	}
	f.leaseMu.Lock()
	f.lease.Claimed(sent, record, end)
	formerLeasesEnd := f.lease.FormerGrantsEnd(cell.MaxLeaseDuration(f.workerLease()))
	clock := f.lease.Clock()
	f.leaseMu.Unlock()
	fields := f.machineFields()
	fields["epoch"] = record.Epoch
	f.log.Event("claimed", fields)
	f.othersHeardAt.set(time.Time{})
	o := newOwner(ctx, f, record, formerLeasesEnd, clock, sequence+1)
	f.owner.Store(o)
	f.owners.Go(func() { f.runOwner(o) })
}

// appendClaim appends a claim and repeats it unchanged while its outcome is unknown. The
// former owner is fenced once the claim is stored, so the cell would have no owner until
// the claim expires.
func (f *Front) appendClaim(ctx context.Context, claim bamboofall.StoreAppend) (end int64, err error) {
	for unanswered := range maxClaimAttempts {
		end, err = f.appendToOwners(ctx, claim, unanswered)
		var unknown *bamboofall.UnknownOutcomeError
		if !errors.As(err, &unknown) {
			break
		}
		sleep(ctx, storeRetryDelay)
	}
	return end, err
}

// appendToOwners makes one attempt at an append to the owners topic. Unanswered is the
// number of attempts without an answer before it.
func (f *Front) appendToOwners(ctx context.Context, a bamboofall.StoreAppend, unanswered int) (end int64, err error) {
	if unanswered < maxRenewalTimeouts {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, renewalTimeout)
		defer cancel()
	}
	return f.store.Append(ctx, a)
}

// withStrongestPeer returns a record with the capacity of the strongest other VM, if any
// has announced itself.
func (f *Front) withStrongestPeer(record lease.Record) lease.Record {
	if capacity, known := f.strongestPeer(now()); known {
		record.StrongestOther = capacity
	}
	return record
}

// runOwner runs an owner until it stops.
func (f *Front) runOwner(o *owner) {
	err := o.run()
	f.owner.Store(nil)
	f.leaseMu.Lock()
	if f.lease.Epoch() == o.record.Epoch {
		f.lease.Deposed()
	}
	f.leaseMu.Unlock()
	o.delays.resetGauges(f.metrics)
	fields := o.logFields()
	if err != nil {
		fields["error"] = err.Error()
	}
	f.log.Event("ownership ended", fields)
}

// mayAct reports whether the owner of an epoch may send orders.
func (f *Front) mayAct(epoch uint64) bool {
	f.leaseMu.Lock()
	defer f.leaseMu.Unlock()
	return f.lease.MayAct(now(), epoch)
}

// isSoleOwner reports whether this VM is certainly the only owner. The owner of a cell that
// was claimed by another VM may not have noticed it.
func (o *owner) isSoleOwner(at time.Time) bool {
	f := o.front
	f.leaseMu.Lock()
	defer f.leaseMu.Unlock()
	return !o.isReleasing() && f.lease.SoleOwner(at, o.record.Epoch)
}

// confirmedAt returns the last time at which this VM was known to be the only owner.
func (f *Front) confirmedAt() time.Time {
	f.leaseMu.Lock()
	defer f.leaseMu.Unlock()
	return f.lease.ConfirmedAt()
}

// currentOwner returns the newest owner record, if there is one.
func (f *Front) currentOwner() (lease.Record, bool) {
	f.leaseMu.Lock()
	defer f.leaseMu.Unlock()
	return f.lease.Owner()
}

// renewLoop renews the ownership until the owner stops or has to release the cell, and
// then releases it.
func (o *owner) renewLoop(ctx context.Context) error {
	timing := lease.DefaultTiming()
	// Since renewingSince, renewals have kept other VMs from claiming the cell.
	var renewingSince, renewedAt time.Time
	for ctx.Err() == nil && !o.isReleasing() {
		record := o.front.withStrongestPeer(o.record)
		var fenced *bamboofall.FencedError
		err := o.appendOwnerRecord(ctx, record)
		if errors.As(err, &fenced) {
			return err
		}
		if err != nil {
			o.waitForRenewal(ctx, storeRetryDelay)
			continue
		}
		at := now()
		if at.Sub(renewedAt) > timing.ExpireAfter {
			renewingSince = at
		}
		renewedAt = at
		o.yieldIfStalled(at, renewingSince)
		o.waitForRenewal(ctx, timing.RenewInterval)
	}
	if ctx.Err() != nil {
		return nil
	}
	return o.release(ctx)
}

// isReleasing reports whether the owner is releasing or has released the cell.
func (o *owner) isReleasing() bool { return isClosed(o.front.releasing) || isClosed(o.yielding) }

// waitForRenewal waits for d, or until the owner has to release the cell.
func (o *owner) waitForRenewal(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-o.front.releasing:
	case <-o.yielding:
	case <-ctx.Done():
	}
}

// yieldIfOverloaded starts to release the cell if this owner is overloaded and a much
// stronger VM is known.
func (o *owner) yieldIfOverloaded(at time.Time) {
	if o.isReleasing() {
		return
	}
	f := o.front
	strongest, _ := f.strongestPeer(at)
	f.leaseMu.Lock()
	yield := f.lease.Yield(at, o.cell.Overloaded(at), strongest)
	f.leaseMu.Unlock()
	if !yield {
		return
	}
	fields := o.logFields()
	fields["reason"], fields["strongestOther"] = "overloaded", strongest
	o.yield(fields)
}

// yieldIfStalled starts to release the cell if a duty of this owner makes no progress
// although its renewals have succeeded since renewingSince.
func (o *owner) yieldIfStalled(at, renewingSince time.Time) {
	if o.isReleasing() {
		return
	}
	f := o.front
	stalled, stall := o.progress.longestStall(at)
	stall = min(stall, at.Sub(renewingSince))
	f.leaseMu.Lock()
	yield := f.lease.YieldStalled(at, stall)
	f.leaseMu.Unlock()
	if !yield {
		return
	}
	o.yield(logrus.Fields{
		"epoch": o.record.Epoch, "reason": "stalled", "duty": stalled, "stalledMs": stall.Milliseconds(),
		"ring": o.queuedEvents(), "orders": o.inFlight.Load(),
	})
}

// yield starts to release the cell and logs why.
func (o *owner) yield(fields logrus.Fields) {
	o.yieldOnce.Do(func() {
		o.front.log.Event("owner yields", fields)
		close(o.yielding)
	})
}

// releaseAttempts is the maximum number of appends that try to release the cell, about a
// second in all. If all of them fail, the ownership expires.
const releaseAttempts = 10

// release appends a record that marks the cell as free, so that other VMs claim it
// without waiting for the expiry.
func (o *owner) release(ctx context.Context) error {
	released := o.front.withStrongestPeer(o.record)
	released.Released, released.Yielded = true, isClosed(o.yielding)
	mayBeStored := false
	for range releaseAttempts {
		released.Quiet, released.FormerActsFor = o.fallQuiet(now())
		err := o.appendOwnerRecord(ctx, released)
		var fenced *bamboofall.FencedError
		if err == nil || errors.As(err, &fenced) || ctx.Err() != nil {
			break
		}
		mayBeStored = mayBeStored || o.unanswered != nil
		if !mayBeStored {
			o.quiet.Store(false) // nobody takes over yet, so leases must be renewed
		}
		sleep(ctx, storeRetryDelay)
	}
	return errReleased
}

// quietMaxAge is the longest time since the last confirmed renewal at which an owner falls
// quiet. While the store is away nobody claims the cell, and leases must be renewed.
const quietMaxAge = time.Second

// fallQuiet makes the owner take no further decisions, so that its successor knows when the
// leases that it has granted end. It returns false if the store may be away, and for how long
// a former owner may still act.
func (o *owner) fallQuiet(at time.Time) (quiet bool, formerActsFor time.Duration) {
	f := o.front
	f.leaseMu.Lock()
	defer f.leaseMu.Unlock()
	formerActsFor = f.lease.FormerActsFor(at)
	if !o.quiet.Load() && (o.unanswered != nil || at.Sub(f.lease.ConfirmedAt()) > quietMaxAge) {
		return false, 0
	}
	o.quiet.Store(true)
	return true, formerActsFor
}

// ownerAppend is an append of an encoded owner record. firstSentAt is when it was first
// sent.
type ownerAppend struct {
	stored      bamboofall.StoreRecord
	firstSentAt time.Time
}

// appendOwnerRecord makes one attempt to append a record of this owner to the owners
// topic. If the outcome of the previous append is unknown, that append is repeated
// first: the store would answer another record with the same sequence number as if it
// were a repeat, without storing it.
func (o *owner) appendOwnerRecord(ctx context.Context, record lease.Record) error {
	record.Age = o.clock.Age(now())
	stored, err := encodeOwnerRecord(record)
	if err != nil {
		return err
	}
	if o.unanswered != nil {
		if err := o.sendOwnerAppend(ctx, o.unanswered); err != nil {
			return err
		}
	}
	return o.sendOwnerAppend(ctx, &ownerAppend{stored, now()})
}

// sendOwnerAppend makes one attempt at an append.
func (o *owner) sendOwnerAppend(ctx context.Context, a *ownerAppend) error {
	f := o.front
	sentAt := now()
	_, err := f.appendToOwners(ctx, bamboofall.StoreAppend{
		Topic: topicOwners, Partition: cellPartition, Records: []bamboofall.StoreRecord{a.stored}, ExpectedEnd: -1,
		Producer: producerName, Epoch: o.record.Epoch, Sequence: o.renewalSequence,
	}, o.unansweredAppends)
	if err != nil {
		f.metrics.Increment("appendsFailed", map[string]string{"topic": topicOwners})
	}
	var notDone *bamboofall.NotDoneError
	switch {
	case err == nil:
	case errors.As(err, &notDone):
		return err
	default:
		o.unanswered = a
		o.unansweredAppends++
		return err
	}
	o.unanswered = nil
	if now().Sub(sentAt) < renewalTimeout {
		o.unansweredAppends = 0 // the store is fast enough for renewalTimeout
	}
	o.renewalSequence++
	f.leaseMu.Lock()
	// The first attempt may have stored the record, and other VMs may have read it then.
	f.lease.Confirmed(o.record.Epoch, a.firstSentAt)
	f.leaseMu.Unlock()
	return nil
}

// errReleased reports that the owner released the cell.
var errReleased = errors.New("the cell was released")
