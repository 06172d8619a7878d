package cell

import (
	"time"

	"bamboofall.example/bamboofall/internal/wire/jobpb"
)

// recordEndAfter is how long a worker must be silent until the store is told when the leases
// that former owners granted end. Once it is, a worker that answers waits for the store before
// it gets a lease.
const recordEndAfter = time.Second

// watchUnreported returns when the workers that owe this owner a report can no longer give
// one, or zero if none does.
func (c *Cell) watchUnreported(now time.Time) (reportsEnd time.Time) {
	c.unreportedEnd = time.Time{}
	for _, w := range c.workerList {
		if !w.owesReport() {
			continue
		}
		leases, reports := c.cfg.FormerLeasesEnd, c.cfg.FormerLeasesEnd.Add(LateEndGrace)
		if !w.answered {
			leases, reports = w.allLeasesEnd(), c.reportDeadline(w)
		}
		c.unreportedEnd, reportsEnd = later(c.unreportedEnd, leases), later(reportsEnd, reports)
	}
	return reportsEnd
}

// recordFormerEnd stores when the leases of former owners end at a worker that does not answer
// this one, and thus gets none, so that its tasks do not wait anew after another handover.
func (c *Cell) recordFormerEnd(now time.Time, w *worker) {
	if !w.recorded || w.answered || !w.silent() || now.Sub(w.silentSince) < recordEndAfter {
		return
	}
	switch {
	case w.recordClosed && !w.endRecorded && c.cfg.Clock.IsKnown():
	case c.recovering && w.owesReport() && !w.recordTellsEnd:
		w.recordTellsEnd = true
	default:
		return
	}
	c.pending.workers[w.info.ID] = w
}

// reportDeadline returns the time after which a worker can no longer report anything about
// the runs started there.
func (c *Cell) reportDeadline(w *worker) time.Time {
	switch {
	case !w.owesReport():
		return w.allLeasesEnd()
	case w.answered:
		return w.allLeasesEnd().Add(LateEndGrace)
	}
	// The leases may have ended before this owner could reach the worker.
	deadline := c.cfg.FormerLeasesEnd.Add(LateEndGrace)
	if w.silent() {
		deadline = earlier(deadline, later(w.allLeasesEnd(), w.silentSince).Add(LateEndGrace))
	}
	return deadline
}

// leasedByFormerClock records that a worker may have taken an order by the clock of its former
// process just now. The lease ends far too late then, but is not longer than MaxLease.
func (c *Cell) leasedByFormerClock(now time.Time, w *worker) {
	w.formerClockLeasesEnd = later(w.formerClockLeasesEnd, now.Add(c.maxLeaseDuration()))
	if w.recorded {
		c.pending.workers[w.info.ID] = w
	}
}

// deliveryTime bounds the time from the grant of a lease until a worker takes the order. A hold
// call that waits is sent again if its relay fails, and may wait in the owner, at a relay and for
// a connection each time.
const deliveryTime = 4 * time.Second

// dropFormerClockLeases forgets the leases by the clock of a former process if the process that
// answers an order has started too late to have taken one. The clock is that of its answer.
func (w *worker) dropFormerClockLeases(o Order, clock time.Duration) {
	startedAfter := o.sentAt.Add(-time.Duration(float64(clock) / (1 - clockDrift)))
	if clock > 0 && startedAfter.After(w.grantedAt.Add(deliveryTime)) {
		w.formerClockLeasesEnd = time.Time{}
	}
}

// allLeasesEnd returns when all leases of a worker have certainly expired.
func (w *worker) allLeasesEnd() time.Time { return later(w.leasesEnd, w.formerClockLeasesEnd) }

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// encodeLeasesEnd adds the end of the leases of a silent worker to its record, by the age of
// the cell.
func (c *Cell) encodeLeasesEnd(w *worker, m *jobpb.Worker) {
	end := w.allLeasesEnd()
	if end.IsZero() || !c.cfg.Clock.IsKnown() {
		return
	}
	leasesEnd := c.cfg.Clock.Age(end).Milliseconds() + 1
	if !w.formerClockLeasesEnd.IsZero() {
		m.FormerClockLeasesEndAgeMs = c.cfg.Clock.Age(w.formerClockLeasesEnd).Milliseconds() + 1
	}
	switch {
	case w.recordClosed && (w.silent() || !w.answered):
		w.endRecorded = true
		m.LeasesEndAgeMs = leasesEnd
	case w.recordTellsEnd:
		w.endRecorded = true
		m.Former = &jobpb.FormerLeases{Epoch: c.cfg.Epoch, LeasesEndAgeMs: leasesEnd}
	}
}

// restoredLeasesEnd returns the end of the leases of a restored worker. An open record tells it
// to the next owner only.
func (c *Cell) restoredLeasesEnd(m *jobpb.Worker) time.Time {
	leasesEnd := m.GetLeasesEndAgeMs()
	if f := m.GetFormer(); f.GetEpoch()+1 == c.cfg.Epoch {
		leasesEnd = f.GetLeasesEndAgeMs()
	}
	if !c.cfg.Clock.IsKnown() {
		return c.cfg.FormerLeasesEnd
	}
	// An owner of an older build in between may have set the age of the cell back.
	latest := c.formerGrantsEnd().Add(deliveryTime + c.maxLeaseDuration())
	timeOf := func(ageMs int64) time.Time {
		return earlier(latest, c.cfg.Clock.TimeOf(time.Duration(ageMs)*time.Millisecond))
	}
	if leasesEnd == 0 {
		return later(c.cfg.FormerLeasesEnd, timeOf(m.GetFormerClockLeasesEndAgeMs()))
	}
	return timeOf(leasesEnd)
}

// maxLeaseDuration returns the longest time that a lease can last at a worker that took an
// order by the clock of its former process.
func (c *Cell) maxLeaseDuration() time.Duration {
	return MaxLeaseDuration(max(c.cfg.Lease, c.cfg.MaxLease))
}

// mayGrant reports whether a worker may be granted leases: not while a successor might
// restore a record by which they end earlier.
func (c *Cell) mayGrant(w *worker) bool { return !w.endRecorded || c.IsStored(w.recordFlush) }
