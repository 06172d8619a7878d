package sim

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
	"bamboofall.example/bamboofall/internal/state/lease"
)

// newOwner starts an owner from the records in the store. The leases of former
// owners have ended by formerLeasesEnd.
func (w *World) newOwner(formerLeasesEnd time.Time) {
	w.epoch++
	w.appending = false
	w.cell = cell.New(cell.Config{
		Epoch: w.epoch, Lease: w.cfg.Lease, MaxLease: w.cfg.maxHold(), FormerLeasesEnd: formerLeasesEnd, EndedJobRetention: 2 * time.Minute, RemoteFactor: 2,
		MaxTailViolation: 4 * time.Second, Clock: w.nextClock(), Variant: w.cfg.Variant,
	})
	w.machine = nil
	if w.cfg.Owner != nil {
		w.machine = &ownerMachine{world: w, vm: *w.cfg.Owner, calledWorkers: make(map[string]bool)}
	}
	w.version++
	w.cell.SetConfiguration(&bamboofall.Configuration{
		Version: w.version, Queues: slices.Clone(w.cfg.Queues),
	})
	w.cell.SetEvacuated(w.now, w.evacuatedDataCentres())
	var records []bamboofall.StoredRecord
	for key, value := range w.store {
		records = append(records, bamboofall.StoredRecord{StoreRecord: bamboofall.StoreRecord{Key: key, Value: value}})
	}
	slices.SortFunc(records, func(a, b bamboofall.StoredRecord) int { return strings.Compare(a.Key, b.Key) })
	for _, err := range w.cell.Restore(w.now, records) {
		w.reportViolation("restore: %v", err)
	}
	w.takeInbox()
	for _, x := range w.workers {
		x.list()
	}
	w.cell.WorkersRead(w.now)
}

// ReplaceOwner stops the owner at once and starts a new one after a gap.
func (w *World) ReplaceOwner(gap time.Duration) {
	w.cell = nil
	w.startOwnerAfter(gap)
}

// ReleaseOwner stops the owner after it has released the cell, and starts a new one after a
// gap. Only owners before it may grant leases after that.
func (w *World) ReleaseOwner(gap time.Duration) {
	actsUntil := w.ownerActsUntil
	w.ReplaceOwner(gap)
	w.ownerActsUntil = w.now
	if actsUntil.After(w.now) {
		w.ownerActsUntil = actsUntil
	}
}

// PartitionOwner partitions the owner from the store and starts a new one after a
// gap. The old owner goes on working for formerOwnerLifetime.
func (w *World) PartitionOwner(gap time.Duration) {
	former := w.cell
	w.formerOwner = former
	w.cell = nil
	w.schedule(formerOwnerLifetime, func() {
		if w.formerOwner == former {
			w.formerOwner = nil
		}
	})
	w.startOwnerAfter(gap)
}

// nextClock returns the clock of a new owner. It is behind that of the owner before by the time
// that a record took to be read, up to maxReadDelay.
func (w *World) nextClock() lease.CellClock {
	const maxReadDelay = 500 * time.Millisecond
	random := rand.New(rand.NewPCG(w.cfg.Seed, w.epoch))
	w.clockDelay += time.Duration(random.Int64N(int64(maxReadDelay)))
	return lease.NewCellClock(max(0, w.Now()-w.clockDelay), w.now)
}

// startOwnerAfter starts a new owner after a gap, unless that is replaced as well. Leases
// of the former owner can begin up to formerOwnerLifetime after the call.
func (w *World) startOwnerAfter(gap time.Duration) {
	w.handovers++
	handover := w.handovers
	w.ownerActsUntil = w.now.Add(formerOwnerLifetime)
	w.schedule(gap, func() {
		if w.handovers == handover {
			w.newOwner(w.ownerActsUntil.Add(cell.MaxLeaseDuration(w.cfg.Lease)))
		}
	})
}
