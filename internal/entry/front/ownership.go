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

// The topics of the project in the platform's store. The partition is the cell.
const (
	topicOwners = "keyed.bamboofall-owners"
	topicCells  = "keyed.bamboofall-cells"
	topicInbox  = "keyed.bamboofall-inbox"
)

const (
	ownerKey = "owner"
	// producerName names the owners' appends.
	producerName = "owner"
	// ownersLongPoll is how long a read for a new owner waits: the time to notice
	// that an owner is silent is a multiple of it.
	ownersLongPoll = 500 * time.Millisecond
)

// followOwner follows who owns the cell, and claims it when it should.
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
				"capacity": record.Capacity, "strongestOther": record.Strongest, "yielded": record.Yielded})
		}
	}
	defer f.owners.Wait()
	return f.follow(ctx, topicOwners, fromNewest, ownersLongPoll, apply, func(end int64) { f.claimIfExpired(ctx, end) })
}

// notify leaves an item in a channel of one, if there is none.
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
		Capacity: m.GetCapacity(), Strongest: m.GetStrongest(), Yielded: m.GetYielded(),
	}, nil
}

func encodeOwnerRecord(r lease.Record) (bamboofall.StoreRecord, error) {
	value, err := proto.Marshal(&jobpb.Ownership{
		Epoch: r.Epoch, Address: r.Address.String(), Process: r.Process, Released: r.Released,
		Capacity: r.Capacity, Strongest: r.Strongest, Yielded: r.Yielded,
	})
	return bamboofall.StoreRecord{Key: ownerKey, Value: value}, err
}

// claimIfExpired claims the cell if its owner is silent, and becomes its owner.
func (f *Front) claimIfExpired(ctx context.Context, end int64) {
	f.leaseMu.Lock()
	f.lease.Seen(now(), end)
	record, at, claim := f.lease.Claim(now())
	f.leaseMu.Unlock()
	if !claim || f.config.Load() == nil || f.owner.Load() != nil {
		return
	}
	record.Strongest, _ = f.strongestPeer(now())
	stored, err := encodeOwnerRecord(record)
	if err != nil {
		f.log.Event("claim failed", logrus.Fields{"error": err.Error()})
		return
	}
	sent := now()
	// A repeat of a sequence number gets the first answer again, so each claim
	// begins with a number of its own.
	sequence := uint64(rand.Uint32())
	end, err = f.store.Append(ctx, bamboofall.StoreAppend{
		Topic: topicOwners, Part: cellPartition, Records: []bamboofall.StoreRecord{stored}, At: at,
		Producer: producerName, Epoch: record.Epoch, Sequence: sequence,
	})
	if err != nil {
		// If the claim was written after all, it is read as this process's own
		// and the cell goes to another claim once it has been silent.
		f.log.Event("claim lost", logrus.Fields{"epoch": record.Epoch, "error": err.Error()})
		return
	}
	f.leaseMu.Lock()
	f.lease.Claimed(sent, record, end)
	formerLeasesEnd := f.lease.FormerGrants(cell.LeaseBound(f.workerLease()))
	f.leaseMu.Unlock()
	fields := f.machineFields()
	fields["epoch"] = record.Epoch
	f.log.Event("claimed", fields)
	o := newOwner(ctx, f, record, formerLeasesEnd, sequence+1)
	f.owner.Store(o)
	f.owners.Go(func() { f.runOwner(o) })
}

// runOwner runs an owner until it has ended.
func (f *Front) runOwner(o *owner) {
	err := o.run()
	f.owner.Store(nil)
	f.leaseMu.Lock()
	if f.lease.Epoch() == o.record.Epoch {
		f.lease.Lost()
	}
	f.leaseMu.Unlock()
	o.delays.resetGauges(f.metrics)
	fields := o.logFields()
	if err != nil {
		fields["error"] = err.Error()
	}
	f.log.Event("ownership ended", fields)
}

// mayAct reports whether the owner of an epoch may give orders.
func (f *Front) mayAct(epoch uint64) bool {
	f.leaseMu.Lock()
	defer f.leaseMu.Unlock()
	return f.lease.MayAct(now(), epoch)
}

// confirmedAt returns when this VM was last sure to be the only owner.
func (f *Front) confirmedAt() time.Time {
	f.leaseMu.Lock()
	defer f.leaseMu.Unlock()
	return f.lease.ConfirmedAt()
}

// currentOwner returns where the owner answers, if one is known.
func (f *Front) currentOwner() (lease.Record, bool) {
	f.leaseMu.Lock()
	defer f.leaseMu.Unlock()
	return f.lease.Owner()
}

// renewLoop appends to the owners' partition until the owner stops or is to give
// the cell up, and then releases it.
func (o *owner) renewLoop(ctx context.Context) error {
	every := lease.DefaultTiming().Renew
	for ctx.Err() == nil && !o.isReleasing() {
		record := o.record
		record.Strongest, _ = o.front.strongestPeer(now())
		var fenced *bamboofall.FencedError
		err := o.appendOwnerRecord(ctx, record)
		if errors.As(err, &fenced) {
			return err
		}
		if err != nil {
			o.waitForRenewal(ctx, storeRetryDelay)
			continue
		}
		o.waitForRenewal(ctx, every)
	}
	if ctx.Err() != nil {
		return nil
	}
	return o.release(ctx)
}

// isReleasing reports whether the owner is to release the cell, or has.
func (o *owner) isReleasing() bool { return isClosed(o.front.releasing) || isClosed(o.yielding) }

// waitForRenewal waits until the next renewal, or until the owner gives up.
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

// yieldIfSlow gives the cell to a much stronger VM if this one is slow.
func (o *owner) yieldIfSlow(at time.Time) {
	if o.isReleasing() {
		return
	}
	f := o.front
	strongest, _ := f.strongestPeer(at)
	f.leaseMu.Lock()
	yield := f.lease.Yield(at, o.delay >= cell.SlowOwner, strongest)
	f.leaseMu.Unlock()
	if !yield {
		return
	}
	fields := o.logFields()
	fields["strongestOther"] = strongest
	f.log.Event("owner yields", fields)
	close(o.yielding)
}

// releaseAttempts bounds the appends that release a cell: a store that takes none
// of them for a second lets the cell expire.
const releaseAttempts = 10

// release tells the others that the cell is free.
func (o *owner) release(ctx context.Context) error {
	released := o.record
	released.Strongest, _ = o.front.strongestPeer(now())
	released.Released, released.Yielded = true, isClosed(o.yielding)
	for range releaseAttempts {
		var fenced *bamboofall.FencedError
		if err := o.appendOwnerRecord(ctx, released); err == nil || errors.As(err, &fenced) || ctx.Err() != nil {
			break
		}
		sleep(ctx, storeRetryDelay)
	}
	return errReleased
}

// appendOwnerRecord appends a record of this owner, once.
func (o *owner) appendOwnerRecord(ctx context.Context, r lease.Record) error {
	f := o.front
	stored, err := encodeOwnerRecord(r)
	if err != nil {
		return err
	}
	sent := now()
	_, err = f.store.Append(ctx, bamboofall.StoreAppend{
		Topic: topicOwners, Part: cellPartition, Records: []bamboofall.StoreRecord{stored}, At: -1,
		Producer: producerName, Epoch: r.Epoch, Sequence: o.renewalSequence,
	})
	if err != nil {
		return err
	}
	o.renewalSequence++
	f.leaseMu.Lock()
	f.lease.Confirmed(r.Epoch, sent)
	f.leaseMu.Unlock()
	return nil
}

// errReleased says that the owner gave the cell up.
var errReleased = errors.New("the cell was released")
