package cell

import (
	"errors"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
)

const (
	// holdWait is how long a worker may wait for an end before it answers. The
	// platform allows 2 s.
	holdWait = 2 * time.Second
	// holdWaitMixed is holdWait at a worker with tasks that fill beside tasks
	// that serve, whose tail latency must be watched.
	holdWaitMixed = 500 * time.Millisecond
	// holdWaitLossy is holdWait while answers get lost, as nothing is learned of a
	// worker until a call without an answer has timed out.
	holdWaitLossy = 400 * time.Millisecond
	// lossyWindow is how long after a call without an answer others are expected.
	lossyWindow = 5 * time.Second
	// lossyMinWorkers and lossyShare are the number and the share of the workers of a data
	// centre that must have left a call unanswered for answers to count as lost on
	// the way there: single workers crash.
	lossyMinWorkers = 2
	lossyMinShare   = 0.05
	// maxSlowOwnerPause bounds how long a slow owner lets ends gather at a worker, slowMost
	// by how much it lengthens the times between calls.
	maxSlowOwnerPause  = 300 * time.Millisecond
	maxSlowOwnerFactor = 4
	// probeInterval is the least time between questions beside a call that waits.
	probeInterval = 80 * time.Millisecond
	// holdRetryInterval is the time to the next try after a call that failed.
	holdRetryInterval = 200 * time.Millisecond
	// unstoredHoldInterval is the time between calls while ends wait for the store, for
	// the worker repeats them at once.
	unstoredHoldInterval = 400 * time.Millisecond
	// withheldPause is how long nothing is placed after the owner has held back an
	// order: a renewal that confirms the owner takes a few milliseconds, and is tried
	// again after 100.
	withheldPause = 100 * time.Millisecond
	// maxClockAge is the age at which the clock of an idle worker is looked at
	// again: after it a lease would be shorter by up to 0.4 s.
	maxClockAge = 20 * time.Second
)

// callHistory is what the callHistory to a worker came to.
type callHistory struct {
	// lossyAt is when a call last got no answer.
	lossyAt time.Time
	// holdAfter is until when a slow owner lets ends gather at the worker.
	holdAfter time.Time
}

// hold renews leases and asks workers what they run.
func (c *Cell) hold(now time.Time) {
	due := c.dueHolds(now)
	all := len(due) == len(c.workerList)
	first, limited := 0, false
	if all {
		first = c.holdCursor
	}
	for i := range due {
		at := (first + i) % len(due)
		w := due[at]
		if w.holdOpen || now.Before(w.nextHoldAt) || now.Before(w.holdAfter) && !c.tailsUnwatched(now, w) {
			continue
		}
		unstored := c.endsUnstored(w)
		if !unstored {
			w.storedEnd = w.receivedEnd
		}
		if w.answered && !w.silent() && len(w.attempts) == 0 && !w.hasUnacknowledgedEnds() && now.Sub(w.clockAt) < maxClockAge {
			continue
		}
		if !w.answered && !w.listed && now.After(w.reportDeadline()) {
			continue
		}
		if !c.mayCall(now, w) {
			if all && !limited {
				c.holdCursor, limited = at, true
			}
			continue
		}
		o := bamboofall.HoldOrder{Token: c.cfg.Token, Seen: w.storedEnd}
		// A worker that does not answer gets no new lease: the call may be carried
		// out late, and the end of the leases could never be told.
		if w.answered && !w.silent() {
			o.LeaseUntil = c.grantLease(now, w)
			if !unstored && len(w.attempts) > 0 && !w.hasUnknownAttempts() {
				o.Wait = c.holdWaitAt(now, w)
			}
		}
		w.holdOpen = true
		w.acknowledgedEnd = max(w.acknowledgedEnd, o.Seen)
		c.emit(Order{
			Kind: OrderHold, Worker: w.info.WorkerRef, Hold: o, worker: w, sentAt: now, incarnation: w.incarnation,
		})
	}
}

// probe asks a worker for what it runs beside a call that waits for an end.
func (c *Cell) probe(now time.Time, w *worker) {
	if !w.holdOpen || !w.answered || w.probeOpen || c.ownerSlow(now) || !c.mayCall(now, w) || now.Sub(w.probedAt) < probeInterval {
		return
	}
	w.probeOpen, w.probedAt = true, now
	c.emit(Order{
		Kind: OrderHold, Worker: w.info.WorkerRef, Hold: bamboofall.HoldOrder{Token: c.cfg.Token, Seen: w.acknowledgedEnd},
		worker: w, sentAt: now, incarnation: w.incarnation, probe: true,
	})
}

// holdWaitAt returns how long a worker may wait for an end before it answers.
func (c *Cell) holdWaitAt(now time.Time, w *worker) time.Duration {
	wait := holdWait
	if w.mixed() {
		wait = min(wait, holdWaitMixed)
	}
	if c.lossy(now, w) {
		wait = min(wait, c.scaleByOwnerDelay(now, holdWaitLossy))
	}
	return wait
}

// tailWatchShare is the part of the time that a standing task may miss its target after
// which a worker with tasks that fill beside it is called, also by a slow owner. As
// much passes until it answers, and then a task must be slowed.
const tailWatchShare = 0.125

// tailsUnwatched reports whether a worker whose tails must be watched was not heard for long.
func (c *Cell) tailsUnwatched(now time.Time, w *worker) bool {
	return w.mixed() && float64(now.Sub(w.clockAt)) >= tailWatchShare*float64(c.cfg.HarmAfter)
}

// scaleByOwnerDelay makes a time between calls longer by the owner's own delay: twice as long
// for an owner that just counts as slow. A call more would make all others later.
func (c *Cell) scaleByOwnerDelay(now time.Time, d time.Duration) time.Duration {
	factor := 1 + float64(c.ownerDelayAt(now))/float64(SlowOwner)
	return time.Duration(min(factor, maxSlowOwnerFactor) * float64(d))
}

// lossy reports whether answers of a worker may get lost.
func (c *Cell) lossy(now time.Time, w *worker) bool {
	recent := func(at time.Time) bool { return !at.IsZero() && now.Sub(at) < lossyWindow }
	return recent(w.lossyAt) || recent(c.zoneLossyAt[w.info.Zone])
}

// Workers returns the number of workers that are known, and of those that do not
// answer.
func (c *Cell) Workers() (known, silent int) {
	for _, w := range c.workerList {
		if w.silent() {
			silent++
		}
	}
	return len(c.workerList), silent
}

// endsUnstored reports whether ends of a worker are not in the store yet.
func (c *Cell) endsUnstored(w *worker) bool {
	return w.receivedEnd > w.storedEnd && !c.IsStored(w.receivedEndFlush)
}

// hasUnacknowledgedEnds reports whether the worker lists ends that are stored.
func (w *worker) hasUnacknowledgedEnds() bool { return w.receivedEnd > w.acknowledgedEnd }

// hasUnknownAttempts reports whether a start or stop is open, so that an answer is
// needed soon.
func (w *worker) hasUnknownAttempts() bool {
	for _, a := range w.attempts {
		if a.state == attemptUnknown {
			return true
		}
	}
	return false
}

// bestEffortUse returns what tasks that fill were last seen to use, in thousandths of
// a processor.
func (w *worker) bestEffortUse() int64 {
	used := int64(0)
	for _, a := range w.attempts {
		if a.task.step.Fills {
			used += a.gauge
		}
	}
	return used
}

// mixed reports whether tasks that fill work beside tasks that serve.
func (w *worker) mixed() bool {
	return len(w.bestEffort) > 0 && len(w.serving) > 0
}

// Held takes over the answer to a hold order.
func (c *Cell) Held(now time.Time, o Order, report bamboofall.HoldReport, err error) {
	w := o.worker
	if c.workers[w.info.ID] != w {
		return
	}
	if o.probe {
		w.probeOpen = false
	} else {
		w.holdOpen = false
	}
	c.queueHold(w)
	if err != nil {
		c.holdFailed(now, w, err)
		return
	}
	if !c.applyReport(now, o, report) || o.probe {
		return
	}
	w.nextHoldAt = now
	if c.ownerSlow(now) {
		w.holdAfter = now.Add(min(c.ownerDelayAt(now), maxSlowOwnerPause))
	}
	if c.endsUnstored(w) {
		w.nextHoldAt = now.Add(c.scaleByOwnerDelay(now, unstoredHoldInterval))
		if !w.inUnstoredEnds {
			w.inUnstoredEnds = true
			c.unstoredEnds = append(c.unstoredEnds, w)
		}
	}
}

// HeldLate takes over the answer to a hold order that was given up before.
func (c *Cell) HeldLate(now time.Time, o Order, report bamboofall.HoldReport) {
	o.late = true
	if c.workers[o.worker.info.ID] == o.worker {
		c.applyReport(now, o, report)
	}
}

// applyReport takes over what a worker reports. It returns false if the report is of
// another life than the order.
func (c *Cell) applyReport(now time.Time, o Order, report bamboofall.HoldReport) bool {
	w := o.worker
	if !c.applySighting(now, o, report.Sighting) {
		return false
	}
	if !w.answered {
		w.answered = true
		c.noteGain(w)
		c.adopt(now, w, report)
	}
	w.endsReported = w.endsReported || listsAllEnds(report)
	c.applyEnds(now, w, report.Ends)
	c.reconcile(now, o, w, report)
	return true
}

func (c *Cell) holdFailed(now time.Time, w *worker, err error) {
	w.nextHoldAt = now.Add(c.scaleByOwnerDelay(now, holdRetryInterval))
	if !failedBeforeWorker(err) {
		c.counters.HoldFailures++
	}
	var rejected *bamboofall.RejectedError
	if errors.As(err, &rejected) {
		c.handleRejection(now, w, rejected)
		return
	}
	c.callFailed(now, w, err)
}

// failedBeforeWorker reports whether an order failed before it was the worker's.
func failedBeforeWorker(err error) bool {
	var carrier *bamboofall.CarrierError
	var withheld *bamboofall.WithheldError
	return errors.As(err, &carrier) || errors.As(err, &withheld)
}

// unreachableForLease reports whether calls to a worker have failed at carriers for as long as
// a lease: then nothing keeps its runs, whoever is at fault.
func (c *Cell) unreachableForLease(now time.Time, w *worker, err error) bool {
	var carrier *bamboofall.CarrierError
	if !errors.As(err, &carrier) {
		return false
	}
	if w.unreachableSince.IsZero() {
		w.unreachableSince = now
	}
	return now.Sub(w.unreachableSince) >= c.cfg.Lease
}

// recordWithheld notes that the owner held back an order as it was late or may not
// act. The next would be held back as well.
func (c *Cell) recordWithheld(now time.Time, err error) {
	var withheld *bamboofall.WithheldError
	if errors.As(err, &withheld) && withheld.Cause != bamboofall.WithheldWithdrawn {
		c.withheldAt = now
	}
}

// callFailed notes that a worker did not answer.
func (c *Cell) callFailed(now time.Time, w *worker, err error) {
	if failedBeforeWorker(err) {
		c.recordWithheld(now, err)
		if !c.unreachableForLease(now, w, err) {
			return
		}
	}
	slow := c.ownerSlow(now)
	if w.failures == 0 || slow && w.listed {
		// What an owner that is slow does not hear shows nothing.
		w.silentSince = now
	}
	if slow {
		w.slowOwnerMisses++
		if w.slowOwnerMisses < slowOwnerFailures {
			return
		}
	}
	w.failures++
	c.recordLostAnswer(now, w, err)
	if w.failures == silentFailures {
		c.closeRecord(w)
		c.note(Note{Event: "worker silent", Worker: w.info.ID, Detail: err.Error()})
	}
}

// recordLostAnswer notes that a call got no answer though it may have been done. Answers to
// a slow owner are late, not lost.
func (c *Cell) recordLostAnswer(now time.Time, w *worker, err error) {
	var unknown *bamboofall.UnknownOutcomeError
	if !errors.As(err, &unknown) || failedBeforeWorker(err) || c.ownerSlow(now) {
		return
	}
	w.lossyAt = now
	zone, all, lossy := w.info.Zone, 0, 0
	for _, x := range c.workerList {
		if x.info.Zone != zone || !x.listed {
			continue
		}
		all++
		if !x.lossyAt.IsZero() && now.Sub(x.lossyAt) < lossyWindow {
			lossy++
		}
	}
	if lossy >= lossyMinWorkers && float64(lossy) >= lossyMinShare*float64(all) {
		c.zoneLossyAt[zone] = now
	}
}

// handleRejection takes over a rejection that says something of the worker itself.
func (c *Cell) handleRejection(now time.Time, w *worker, r *bamboofall.RejectedError) {
	switch r.Cause {
	case bamboofall.RejectFenced:
		c.out.Deposed = true
		c.note(Note{Event: "fenced", Worker: w.info.ID, Detail: "the worker has seen a larger token"})
	case bamboofall.RejectLife:
		if r.Born.After(w.incarnation) {
			c.restarted(now, w, r.Born)
		}
	}
}

// applySighting takes over the clock and the life that an answer shows. It reports
// false if the answer is of another life than the order.
func (c *Cell) applySighting(now time.Time, o Order, s bamboofall.Sighting) bool {
	w := o.worker
	if !s.Born.IsZero() && s.Born.After(w.incarnation) {
		c.restarted(now, w, s.Born)
	}
	if !s.Born.IsZero() && s.Born.Before(w.incarnation) || !o.incarnation.Equal(w.incarnation) && s.Born.IsZero() {
		return false
	}
	wasSilent := w.silent()
	w.failures = 0
	if w.recordClosed && w.recorded {
		c.recordWorker(w)
	}
	if wasSilent {
		c.noteGain(w)
		c.note(Note{Event: "worker answers again", Worker: w.info.ID})
	}
	w.slowOwnerMisses = 0
	w.unreachableSince = time.Time{}
	c.budget.answered++
	// A late answer tells what the clock was when it was given.
	if s.Clock > 0 && !(o.late && w.answered) {
		w.clock, w.clockAt = s.Clock, now
	}
	return true
}

// holdStoredEnds asks the workers again whose ends are stored by now.
func (c *Cell) holdStoredEnds(now time.Time) {
	c.unstoredEnds = slices.DeleteFunc(c.unstoredEnds, func(w *worker) bool {
		if !c.IsStored(w.receivedEndFlush) {
			return false
		}
		w.inUnstoredEnds = false
		w.holdNow(now)
		c.queueHold(w)
		return true
	})
}

// holdNow makes the next hold of a worker due.
func (w *worker) holdNow(now time.Time) {
	if now.Before(w.nextHoldAt) {
		w.nextHoldAt = now
	}
}
