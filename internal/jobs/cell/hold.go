package cell

import (
	"errors"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/crashloop"
)

const (
	// holdWait is how long a hold call may wait at the worker for a run to end. The
	// platform allows 2 s.
	holdWait = 2 * time.Second
	// holdWaitMixed is holdWait for a worker with best-effort tasks alongside serving
	// tasks, whose tail latency must be monitored.
	holdWaitMixed = 500 * time.Millisecond
	// holdWaitLossy is holdWait while answers get lost: the owner learns nothing of the
	// worker until the unanswered call has timed out.
	holdWaitLossy = 400 * time.Millisecond
	// lossyWindow is how long after an unanswered call more are expected.
	lossyWindow = 5 * time.Second
	// lossyMinWorkers and lossyMinShare are the number and the share of the workers of a
	// data centre that must have left a call unanswered before the network there counts
	// as lossy. A single worker may just have crashed.
	lossyMinWorkers = 2
	lossyMinShare   = 0.05
	// maxSlowOwnerPause bounds the pause between hold calls with which a slow owner
	// batches run ends. maxSlowOwnerFactor bounds the factor by which it lengthens call
	// intervals.
	maxSlowOwnerPause  = 300 * time.Millisecond
	maxSlowOwnerFactor = 4
	// probeInterval is the shortest time between two probes of a worker.
	probeInterval = 80 * time.Millisecond
	// holdRetryInterval is the time between a failed hold call and the next.
	holdRetryInterval = 200 * time.Millisecond
	// unstoredHoldInterval is the time between hold calls while run ends are being
	// stored, as the worker repeats unacknowledged ends immediately.
	unstoredHoldInterval = 400 * time.Millisecond
	// withheldPause is how long placement pauses after the owner withheld an order. The
	// claim renewal that lets it act again takes a few milliseconds and is retried after
	// 100 ms.
	withheldPause = 100 * time.Millisecond
	// maxClockAge is the age after which the clock of an idle worker is read again. At
	// this age the allowance for drift shortens a lease by up to 0.4 s.
	maxClockAge = 20 * time.Second
)

// callHistory holds results of the calls to a worker that affect later calls.
type callHistory struct {
	// lossyAt is when a call last got no answer.
	lossyAt time.Time
	// holdAfter is the earliest time of the next hold call while a slow owner batches run
	// ends.
	holdAfter time.Time
}

// hold makes the hold calls that are due. They renew leases and report what the workers
// run.
func (c *Cell) hold(now time.Time) {
	due := c.dueHolds(now)
	all := len(due) == len(c.workerList)
	first, limited := 0, false
	if all {
		first = c.holdCursor
	}
	for i := range due {
		index := (first + i) % len(due)
		w := due[index]
		if w.holdOpen || now.Before(w.nextHoldAt) || now.Before(w.holdAfter) && !c.tailsUnwatched(now, w) {
			continue
		}
		unstored := c.endsUnstored(w)
		if !unstored {
			w.storedEnd = w.receivedEnd
		}
		if w.answered && !w.silent() && len(w.attempts) == 0 && w.unansweredSince.IsZero() && !w.hasUnacknowledgedEnds() && !w.overtaken && now.Sub(w.clockAt) < maxClockAge {
			continue
		}
		// The runs of a worker only expire once a call to it has failed.
		if !w.answered && !w.listed && len(w.attempts) == 0 && now.After(c.reportDeadline(w)) {
			continue
		}
		if c.delaysAcknowledgement(now, w) {
			continue
		}
		if !c.mayCall(now, w) {
			if all && !limited {
				c.holdCursor, limited = index, true
			}
			continue
		}
		o := bamboofall.HoldOrder{Token: c.nextToken(w), AcknowledgedEnd: w.endToAcknowledge()}
		// A silent worker gets no new lease: the call may be carried out late, and the
		// end of its leases would never be certain.
		if w.answered && !w.silent() && !w.restartUnnamed && c.mayGrant(w) {
			o.LeaseUntil = c.grantLease(now, w)
			if !unstored && len(w.attempts) > 0 && !w.hasUnknownAttempts() {
				o.Wait = c.holdWaitAt(now, w)
			}
		}
		w.holdOpen, w.overtaken = true, false
		if o.AcknowledgedEnd > 0 {
			w.acknowledgedEnd, w.listedEnd = max(w.acknowledgedEnd, o.AcknowledgedEnd), 0
			w.acknowledgementDueAt = time.Time{}
			c.fenceEarlier(w)
		}
		c.emit(Order{
			Kind: OrderHold, Worker: w.info.WorkerRef, Hold: o, worker: w, sentAt: now, incarnation: w.incarnation,
		})
	}
}

// probe asks a worker what it runs, alongside a hold call that waits for a run to end.
func (c *Cell) probe(now time.Time, w *worker) {
	if !w.holdOpen || !w.answered || w.probeOpen || c.ownerSlow(now) || !c.mayCall(now, w) || now.Sub(w.probedAt) < probeInterval {
		return
	}
	w.probeOpen, w.probedAt, w.overtaken = true, now, false
	c.emit(Order{
		Kind: OrderHold, Worker: w.info.WorkerRef, Hold: bamboofall.HoldOrder{Token: c.nextToken(w)},
		worker: w, sentAt: now, incarnation: w.incarnation, probe: true,
	})
}

// holdWaitAt returns how long a hold call may wait at a worker for a run to end.
func (c *Cell) holdWaitAt(now time.Time, w *worker) time.Duration {
	wait := holdWait
	if w.mixed() {
		wait = min(wait, holdWaitMixed)
	}
	if c.lossy(now, w) {
		wait = min(wait, c.scaleByOwnerDelay(now, holdWaitLossy))
	}
	if lease := c.remainingLease(now, w); lease < c.cfg.Lease {
		// If this call gets no answer either, renewalWindow must be left for others.
		wait = min(wait, lease-renewalWindow-c.scaleByOwnerDelay(now, holdRetryInterval))
	}
	for _, a := range w.attempts {
		if a.comingUp() {
			wait = min(wait, a.startedAt.Add(standingStartTimeout).Sub(now))
		}
	}
	if w.trial != nil {
		wait = min(wait, crashloop.TrialTime)
	}
	return max(0, wait)
}

// tailWatchShare is the share of Config.MaxTailViolation after which a worker with
// best-effort tasks alongside serving tasks must be called, even by a slow owner. The
// answer can take as long again, and the best-effort tasks must be slowed after that.
const tailWatchShare = 0.125

// tailsUnwatched reports whether the tail latencies of a worker must be monitored and its
// last answer is too old.
func (c *Cell) tailsUnwatched(now time.Time, w *worker) bool {
	return w.mixed() && float64(now.Sub(w.clockAt)) >= tailWatchShare*float64(c.cfg.MaxTailViolation)
}

// scaleByOwnerDelay lengthens a call interval in proportion to the owner's own delay, to
// twice the interval at SlowOwnerDelay, since further calls would delay all others.
func (c *Cell) scaleByOwnerDelay(now time.Time, d time.Duration) time.Duration {
	factor := 1 + float64(c.owner.At(now))/float64(SlowOwnerDelay)
	return time.Duration(min(factor, maxSlowOwnerFactor) * float64(d))
}

// lossy reports whether answers of a worker may get lost.
func (c *Cell) lossy(now time.Time, w *worker) bool {
	recent := func(at time.Time) bool { return !at.IsZero() && now.Sub(at) < lossyWindow }
	return recent(w.lossyAt) || recent(c.zoneLossyAt[w.info.Zone])
}

// Workers returns the number of known workers and of silent ones.
func (c *Cell) Workers() (known, silent int) {
	for _, w := range c.workerList {
		if w.silent() {
			silent++
		}
	}
	return len(c.workerList), silent
}

// endsUnstored reports whether run ends of a worker are not in the store yet.
func (c *Cell) endsUnstored(w *worker) bool {
	return w.receivedEnd > w.storedEnd && !c.IsStored(w.receivedEndFlush)
}

// hasUnacknowledgedEnds reports whether the worker still lists run ends that this owner
// has received.
func (w *worker) hasUnacknowledgedEnds() bool {
	return w.receivedEnd > w.acknowledgedEnd || w.listedEnd > 0
}

// hasUnknownAttempts reports whether the outcome of a start is unknown, so that an answer
// is needed soon.
func (w *worker) hasUnknownAttempts() bool {
	for _, a := range w.attempts {
		if a.state == attemptUnknown {
			return true
		}
	}
	return false
}

// bestEffortUse returns the CPU in milliprocessors that best-effort tasks used at the
// last report.
func (w *worker) bestEffortUse() int64 {
	used := int64(0)
	for _, a := range w.attempts {
		if a.task.step.BestEffort {
			used += a.gauge
		}
	}
	return used
}

// mixed reports whether best-effort tasks run alongside serving tasks.
func (w *worker) mixed() bool {
	return len(w.bestEffort) > 0 && len(w.serving) > 0
}

// errEarlierStart reports that a process answered that started before the one that was
// called, as after a restart at a VM whose clock was set back.
var errEarlierStart = errors.New("a process with an earlier start time answers")

// HoldAnswered handles the answer to a hold order.
func (c *Cell) HoldAnswered(now time.Time, o Order, report bamboofall.HoldReport, err error) {
	w := o.worker
	if c.workers[w.info.ID] != w {
		return
	}
	c.fenceUnanswered(o, err)
	switch {
	case !o.incarnation.Equal(w.incarnation): // workerRestarted has made another call due
	case o.probe:
		w.probeOpen = false
	default:
		w.holdOpen = false
	}
	c.queueHold(w)
	if err == nil && report.Born.Before(w.incarnation) && !report.Born.IsZero() && o.incarnation.Equal(w.incarnation) {
		err = errEarlierStart
	}
	if err != nil {
		c.holdFailed(now, o, err)
		return
	}
	if !c.applyReport(now, o, report) || o.probe {
		return
	}
	w.nextHoldAt = now
	if c.ownerSlow(now) {
		w.holdAfter = now.Add(min(c.owner.At(now), maxSlowOwnerPause))
	}
	if c.endsUnstored(w) || !c.mayGrant(w) {
		w.nextHoldAt = now.Add(c.scaleByOwnerDelay(now, unstoredHoldInterval))
		if !w.inUnstoredEnds {
			w.inUnstoredEnds = true
			c.unstoredEnds = append(c.unstoredEnds, w)
		}
	}
}

// LateHoldAnswered handles the answer to a hold order that had already been given up.
func (c *Cell) LateHoldAnswered(now time.Time, o Order, report bamboofall.HoldReport) {
	o.late = true
	if c.workers[o.worker.info.ID] == o.worker {
		c.applyReport(now, o, report)
	}
}

// applyReport applies the report of a worker. It returns false if the report is of
// another incarnation than the order.
func (c *Cell) applyReport(now time.Time, o Order, report bamboofall.HoldReport) bool {
	w := o.worker
	if !c.applyResponseMeta(now, o, report.ResponseMeta) {
		return false
	}
	if !w.answered {
		w.answered = true
		w.dropFormerClockLeases(o, report.Clock)
		c.addGain(w)
		c.adopt(now, w, report)
	}
	w.endsReported = w.endsReported || listsAllEnds(report)
	c.applyEnds(now, w, report.Ends)
	if n := len(report.Ends); n > 0 && !o.late {
		w.listedEnd = max(w.listedEnd, report.Ends[n-1].Number)
	}
	c.reconcile(now, o, w, report)
	c.endAcknowledgementDelay(now, w)
	return true
}

func (c *Cell) holdFailed(now time.Time, o Order, err error) {
	w := o.worker
	if o.incarnation.Equal(w.incarnation) {
		w.nextHoldAt = now.Add(c.scaleByOwnerDelay(now, holdRetryInterval))
	}
	if !failedInTransit(err) {
		c.counters.HoldFailures++
	}
	var rejected *bamboofall.RejectedError
	if errors.As(err, &rejected) {
		c.handleRejection(now, o, rejected)
		if rejected.Cause == bamboofall.RejectFenced {
			if o.incarnation.Equal(w.incarnation) {
				w.listedEnd = max(w.listedEnd, o.Hold.AcknowledgedEnd) // still listed
			}
			return
		}
	}
	c.callFailed(now, o, err)
}

// failedInTransit reports whether an order failed at a relay or was withheld by the
// owner, so that the failure says nothing about the worker. The worker may still have
// carried out an order that failed at a relay.
func failedInTransit(err error) bool {
	var relayErr *bamboofall.RelayError
	var withheld *bamboofall.WithheldError
	return errors.As(err, &relayErr) || errors.As(err, &withheld)
}

// unreachableForLease reports whether calls to a worker have failed at relays for the
// duration of a lease. Its leases are then not renewed, whichever side is at fault.
func (c *Cell) unreachableForLease(now time.Time, w *worker, err error) bool {
	var relayErr *bamboofall.RelayError
	if !errors.As(err, &relayErr) {
		return false
	}
	if w.unreachableSince.IsZero() {
		w.unreachableSince = now
	}
	return now.Sub(w.unreachableSince) >= c.cfg.Lease
}

// recordWithheld records that the owner withheld an order because it was late or may not
// act at present. The next order would be withheld as well.
func (c *Cell) recordWithheld(now time.Time, err error) {
	var withheld *bamboofall.WithheldError
	if errors.As(err, &withheld) && withheld.Cause != bamboofall.WithheldWithdrawn && withheld.Cause != bamboofall.WithheldEvacuated {
		c.withheldAt = now
	}
}

// callFailed handles a call that the worker did not answer. A call to a former process says
// nothing about the current one.
func (c *Cell) callFailed(now time.Time, o Order, err error) {
	w := o.worker
	if !o.incarnation.Equal(w.incarnation) {
		c.recordWithheld(now, err)
		return
	}
	w.noteRefused(err)
	if failedInTransit(err) {
		c.recordWithheld(now, err)
		if !c.unreachableForLease(now, w, err) {
			return
		}
	}
	slow := c.ownerSlow(now)
	if w.failures == 0 || slow && w.listed {
		// A missing answer says nothing about the worker while the owner itself is slow.
		w.silentSince, w.failedOnTrial = now, w.trial != nil
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
		c.workerSilent(now, w, err.Error())
	}
}

func (c *Cell) workerSilent(now time.Time, w *worker, reason string) {
	c.withdrawUnordered(now, w) // a closed record does not list them
	c.closeRecord(w)
	c.note(Note{Event: "worker silent", Worker: w.info.ID, Detail: reason})
}

// recordLostAnswer records a call that got no answer although it may have been carried
// out. Answers to a slow owner are late rather than lost.
func (c *Cell) recordLostAnswer(now time.Time, w *worker, err error) {
	var unknown *bamboofall.UnknownOutcomeError
	if !errors.As(err, &unknown) || failedInTransit(err) || c.ownerSlow(now) {
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

// handleRejection handles the rejections that say something about the worker or the owner
// rather than about the order.
func (c *Cell) handleRejection(now time.Time, o Order, r *bamboofall.RejectedError) {
	w := o.worker
	switch r.Cause {
	case bamboofall.RejectFenced:
		c.orderFenced(now, o)
	case bamboofall.RejectWrongProcess:
		switch {
		case r.Born.After(w.incarnation):
			c.workerRestarted(now, w, r.Born, "a rejected "+o.Kind.String())
		case o.incarnation.Equal(w.incarnation): // a later one may have another address
			c.workerReplaced(now, w)
		}
	}
}

// applyResponseMeta applies the clock and the incarnation that an answer carries. It
// reports false if the answer is of another incarnation than the order.
func (c *Cell) applyResponseMeta(now time.Time, o Order, s bamboofall.ResponseMeta) bool {
	w := o.worker
	if !s.Born.IsZero() && s.Born.After(w.incarnation) {
		c.workerRestarted(now, w, s.Born, "the answer to a "+o.Kind.String())
	}
	if !s.Born.IsZero() && s.Born.Before(w.incarnation) || !o.incarnation.Equal(w.incarnation) && s.Born.IsZero() {
		return false
	}
	if s.Born.IsZero() && w.clockSetBack(o, s) {
		c.unnamedRestart(now, w)
		return false
	}
	if !s.Born.IsZero() {
		w.restartUnnamed, w.namedCallAt = false, later(w.namedCallAt, o.sentAt)
	}
	wasSilent := w.silent()
	w.failures = 0
	c.clearCrash(w)
	if w.recorded && (w.recordTellsEnd || w.recordClosed && (w.endRecorded || !w.info.Draining)) {
		c.recordWorker(w)
	}
	if wasSilent {
		c.addGain(w)
		c.note(Note{Event: "worker answers again", Worker: w.info.ID})
	}
	w.slowOwnerMisses = 0
	w.unreachableSince = time.Time{}
	switch {
	case !w.holdOpen && !o.late:
		w.unansweredSince = time.Time{}
	case o.sentAt.After(w.unansweredSince) && !w.unansweredSince.IsZero():
		w.unansweredSince = o.sentAt
	}
	c.budget.Answered()
	// A late answer carries the clock as it was when the answer was given.
	if s.Clock > 0 && !(o.late && w.answered) {
		w.clock, w.clockAt = s.Clock, now
	}
	return true
}

// holdStoredEnds makes hold calls due at the workers whose run ends and records are now
// stored.
func (c *Cell) holdStoredEnds(now time.Time) {
	c.unstoredEnds = slices.DeleteFunc(c.unstoredEnds, func(w *worker) bool {
		if !c.IsStored(w.receivedEndFlush) || !c.mayGrant(w) {
			return false
		}
		w.inUnstoredEnds = false
		w.holdNow(now)
		c.queueHold(w)
		return true
	})
}

// holdNow makes the next hold call of a worker due.
func (w *worker) holdNow(now time.Time) {
	if now.Before(w.nextHoldAt) {
		w.nextHoldAt = now
	}
}
