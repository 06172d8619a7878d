package cell

import (
	"time"

	"bamboofall.example/bamboofall"
)

// clockSetBack reports whether an answer cannot come from the process whose clock was read
// before the order was sent, as its clock is behind.
func (w *worker) clockSetBack(o Order, s bamboofall.ResponseMeta) bool {
	return s.Clock > 0 && s.Clock < w.clock && !o.sentAt.Before(w.clockAt)
}

// maxStartClock is the highest reading of the clock of a process that has just started.
const maxStartClock = 2 * time.Second

// clockNamesProcess reports whether an answer is of the process that reported last: a later one
// has not been up for long enough to show its clock.
func (w *worker) clockNamesProcess(now time.Time, clock time.Duration) bool {
	return !w.namedCallAt.IsZero() && clock > now.Sub(w.namedCallAt)+maxStartClock
}

// unnamedRestart handles an answer whose clock shows a restart, though it does not name the
// process. A hold call that is due at once does.
func (c *Cell) unnamedRestart(now time.Time, w *worker) {
	c.leasedByFormerClock(now, w)
	if !w.restartUnnamed {
		w.restartUnnamed = true
		c.note(Note{Event: "worker clock set back", Worker: w.info.ID})
	}
	c.fenceEarlier(w)
	w.holdNow(now)
	c.queueHold(w)
	c.probe(now, w)
}

// strayTime bounds the time from an order until a process receives it, without repetitions by
// other relays. It may wait for 0.5 s each in the owner and at a relay.
const strayTime = time.Second

// resetLeases replaces the leases of a worker that has restarted by those that its new process
// may have taken from orders for the former one.
func (c *Cell) resetLeases(now time.Time, w *worker) {
	w.leasesEnd, w.formerClockLeasesEnd = time.Time{}, time.Time{}
	// A former owner that did not learn of the restart may have used the new process.
	if w.restored && !w.answered {
		c.leasedByFormerClock(earlier(now, c.formerGrantsEnd().Add(deliveryTime)), w)
	}
	w.usedByFormer = w.usedByFormer && !w.answered
	if !w.unansweredSince.IsZero() {
		w.strayGrantAt = w.grantedAt
	}
	if !w.strayGrantAt.IsZero() && now.Sub(w.strayGrantAt) < strayTime {
		c.leasedByFormerClock(now, w)
	}
	w.unansweredSince = time.Time{}
}

// keepUnnamedRun keeps a run that the new process of a worker may have, until its first report.
// The leases of the worker ended at formerEnd before the restart was known.
func (c *Cell) keepUnnamedRun(now time.Time, a *attempt, formerEnd time.Time) {
	w := a.worker
	if a.state == attemptRunning {
		a.state = attemptUnknown
	}
	a.stopConfirmedAt = time.Time{}
	if a.restarted {
		// Its start was carried out before an earlier restart became known.
		w.formerClockLeasesEnd = later(w.formerClockLeasesEnd, formerEnd)
		return
	}
	a.restarted = a.confirmed
	c.leasedByFormerClock(now, w)
}
