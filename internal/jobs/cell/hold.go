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
	// holdWaitBeside is holdWait at a worker with tasks that fill beside tasks
	// that serve, whose tail latency must be watched.
	holdWaitBeside = 500 * time.Millisecond
	// holdWaitLossy is holdWait while answers get lost, as nothing is learned of a
	// worker until a call without an answer has timed out.
	holdWaitLossy = 400 * time.Millisecond
	// lossyFor is how long after a call without an answer others are expected.
	lossyFor = 5 * time.Second
	// lossyLeast and lossyShare are the number and the share of the workers of a data
	// centre that must have left a call unanswered for answers to count as lost on
	// the way there: single workers crash.
	lossyLeast = 2
	lossyShare = 0.05
	// restMost bounds how long a slow owner lets ends gather at a worker, slowMost
	// by how much it lengthens the times between calls.
	restMost = 300 * time.Millisecond
	slowMost = 4
	// askEvery is the least time between questions beside a call that waits.
	askEvery = 80 * time.Millisecond
	// holdRetry is the time to the next try after a call that failed.
	holdRetry = 200 * time.Millisecond
	// holdUnstored is the time between calls while ends wait for the store, for
	// the worker repeats them at once.
	holdUnstored = 400 * time.Millisecond
	// withheldPause is how long nothing is placed after the owner has held back an
	// order: a renewal that confirms the owner takes a few milliseconds, and is tried
	// again after 100.
	withheldPause = 100 * time.Millisecond
	// clockFresh is the age at which the clock of an idle worker is looked at
	// again: after it a lease would be shorter by up to 0.4 s.
	clockFresh = 20 * time.Second
)

// calls is what the calls to a worker came to.
type calls struct {
	// lossyAt is when a call last got no answer.
	lossyAt time.Time
	// restUntil is until when a slow owner lets ends gather at the worker.
	restUntil time.Time
}

// hold renews leases and asks workers what they run.
func (c *Cell) hold(now time.Time) {
	due := c.dueHolds(now)
	all := len(due) == len(c.order)
	from, refused := 0, false
	if all {
		from = c.holdFrom
	}
	for i := range due {
		at := (from + i) % len(due)
		w := due[at]
		if w.holding || now.Before(w.nextHold) || now.Before(w.restUntil) && !c.unwatched(now, w) {
			continue
		}
		unstored := c.endsUnstored(w)
		if !unstored {
			w.seen = w.got
		}
		if w.synced && !w.silent() && len(w.attempts) == 0 && !w.mustAcknowledge() && now.Sub(w.clockAt) < clockFresh {
			continue
		}
		if !w.synced && !w.listed && now.After(w.toldUntil()) {
			continue
		}
		if !c.mayCall(now, w) {
			if all && !refused {
				c.holdFrom, refused = at, true
			}
			continue
		}
		o := bamboofall.HoldOrder{Token: c.cfg.Token, Seen: w.seen}
		// A worker that does not answer gets no new lease: the call may be carried
		// out late, and the end of the leases could never be told.
		if w.synced && !w.silent() {
			o.LeaseUntil = c.grant(now, w)
			if !unstored && len(w.attempts) > 0 && !w.unsure() {
				o.Wait = c.holdWaitAt(now, w)
			}
		}
		w.holding = true
		w.acknowledged = max(w.acknowledged, o.Seen)
		c.give(Order{
			Kind: OrderHold, Worker: w.info.WorkerRef, Hold: o, worker: w, sent: now, born: w.born,
		})
	}
}

// ask asks a worker for what it runs beside a call that waits for an end.
func (c *Cell) ask(now time.Time, w *worker) {
	if !w.holding || !w.synced || w.asking || c.ownerSlow(now) || !c.mayCall(now, w) || now.Sub(w.askedAt) < askEvery {
		return
	}
	w.asking, w.askedAt = true, now
	c.give(Order{
		Kind: OrderHold, Worker: w.info.WorkerRef, Hold: bamboofall.HoldOrder{Token: c.cfg.Token, Seen: w.acknowledged},
		worker: w, sent: now, born: w.born, beside: true,
	})
}

// holdWaitAt returns how long a worker may wait for an end before it answers.
func (c *Cell) holdWaitAt(now time.Time, w *worker) time.Duration {
	wait := holdWait
	if w.mixed() {
		wait = min(wait, holdWaitBeside)
	}
	if c.lossy(now, w) {
		wait = min(wait, c.slowed(now, holdWaitLossy))
	}
	return wait
}

// watchShare is the part of the time that a standing task may miss its target after
// which a worker with tasks that fill beside it is called, also by a slow owner. As
// much passes until it answers, and then a task must be slowed.
const watchShare = 0.125

// unwatched reports whether a worker whose tails must be watched was not heard for long.
func (c *Cell) unwatched(now time.Time, w *worker) bool {
	return w.mixed() && float64(now.Sub(w.clockAt)) >= watchShare*float64(c.cfg.HarmAfter)
}

// slowed makes a time between calls longer by the owner's own delay: twice as long
// for an owner that just counts as slow. A call more would make all others later.
func (c *Cell) slowed(now time.Time, d time.Duration) time.Duration {
	factor := 1 + float64(c.ownerDelayAt(now))/float64(SlowOwner)
	return time.Duration(min(factor, slowMost) * float64(d))
}

// lossy reports whether answers of a worker may get lost.
func (c *Cell) lossy(now time.Time, w *worker) bool {
	recent := func(at time.Time) bool { return !at.IsZero() && now.Sub(at) < lossyFor }
	return recent(w.lossyAt) || recent(c.lossyAt[w.info.Zone])
}

// Workers returns the number of workers that are known, and of those that do not
// answer.
func (c *Cell) Workers() (known, silent int) {
	for _, w := range c.order {
		if w.silent() {
			silent++
		}
	}
	return len(c.order), silent
}

// endsUnstored reports whether ends of a worker are not in the store yet.
func (c *Cell) endsUnstored(w *worker) bool { return w.got > w.seen && !c.IsStored(w.gotAt) }

// mustAcknowledge reports whether the worker lists ends that are stored.
func (w *worker) mustAcknowledge() bool { return w.got > w.acknowledged }

// unsure reports whether a start or stop is open, so that an answer is
// needed soon.
func (w *worker) unsure() bool {
	for _, a := range w.attempts {
		if a.state == attemptUnsure {
			return true
		}
	}
	return false
}

// fillsUse returns what tasks that fill were last seen to use, in thousandths of
// a processor.
func (w *worker) fillsUse() int64 {
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
	return len(w.filling) > 0 && len(w.serving) > 0
}

// Held takes over the answer to a hold order.
func (c *Cell) Held(now time.Time, o Order, report bamboofall.HoldReport, err error) {
	w := o.worker
	if c.workers[w.info.ID] != w {
		return
	}
	if o.beside {
		w.asking = false
	} else {
		w.holding = false
	}
	c.lookAt(w)
	if err != nil {
		c.holdFailed(now, w, err)
		return
	}
	if !c.heard(now, o, report) || o.beside {
		return
	}
	w.nextHold = now
	if c.ownerSlow(now) {
		w.restUntil = now.Add(min(c.ownerDelayAt(now), restMost))
	}
	if c.endsUnstored(w) {
		w.nextHold = now.Add(c.slowed(now, holdUnstored))
		if !w.awaitsStore {
			w.awaitsStore = true
			c.unstored = append(c.unstored, w)
		}
	}
}

// HeldLate takes over the answer to a hold order that was given up before.
func (c *Cell) HeldLate(now time.Time, o Order, report bamboofall.HoldReport) {
	o.late = true
	if c.workers[o.worker.info.ID] == o.worker {
		c.heard(now, o, report)
	}
}

// heard takes over what a worker reports. It returns false if the report is of
// another life than the order.
func (c *Cell) heard(now time.Time, o Order, report bamboofall.HoldReport) bool {
	w := o.worker
	if !c.sighted(now, o, report.Sighting) {
		return false
	}
	if !w.synced {
		w.synced = true
		c.gained(w)
		c.adopt(now, w, report)
	}
	w.told = w.told || allEnds(report)
	c.takeEnds(now, w, report.Ends)
	c.compare(now, o, w, report)
	return true
}

func (c *Cell) holdFailed(now time.Time, w *worker, err error) {
	w.nextHold = now.Add(c.slowed(now, holdRetry))
	if !failedOnTheWay(err) {
		c.counters.HoldFailures++
	}
	var rejected *bamboofall.RejectedError
	if errors.As(err, &rejected) {
		c.rejected(now, w, rejected)
		return
	}
	c.unheard(now, w, err)
}

// failedOnTheWay reports whether an order failed before it was the worker's.
func failedOnTheWay(err error) bool {
	var carrier *bamboofall.CarrierError
	var withheld *bamboofall.WithheldError
	return errors.As(err, &carrier) || errors.As(err, &withheld)
}

// outOfReach reports whether calls to a worker have failed at carriers for as long as
// a lease: then nothing keeps its runs, whoever is at fault.
func (c *Cell) outOfReach(now time.Time, w *worker, err error) bool {
	var carrier *bamboofall.CarrierError
	if !errors.As(err, &carrier) {
		return false
	}
	if w.unreachedSince.IsZero() {
		w.unreachedSince = now
	}
	return now.Sub(w.unreachedSince) >= c.cfg.Lease
}

// noteWithheld notes that the owner held back an order as it was late or may not
// act. The next would be held back as well.
func (c *Cell) noteWithheld(now time.Time, err error) {
	var withheld *bamboofall.WithheldError
	if errors.As(err, &withheld) && withheld.Cause != bamboofall.WithheldWithdrawn {
		c.withheldAt = now
	}
}

// unheard notes that a worker did not answer.
func (c *Cell) unheard(now time.Time, w *worker, err error) {
	if failedOnTheWay(err) {
		c.noteWithheld(now, err)
		if !c.outOfReach(now, w, err) {
			return
		}
	}
	slow := c.ownerSlow(now)
	if w.failures == 0 || slow && w.listed {
		// What an owner that is slow does not hear shows nothing.
		w.silentSince = now
	}
	if slow {
		w.missed++
		if w.missed < slowFailures {
			return
		}
	}
	w.failures++
	c.noteLoss(now, w, err)
	if w.failures == silentAfter {
		c.closeRecord(w)
		c.note(Note{Event: "worker silent", Worker: w.info.ID, Detail: err.Error()})
	}
}

// noteLoss notes that a call got no answer though it may have been done. Answers to
// a slow owner are late, not lost.
func (c *Cell) noteLoss(now time.Time, w *worker, err error) {
	var unknown *bamboofall.UnknownOutcomeError
	if !errors.As(err, &unknown) || failedOnTheWay(err) || c.ownerSlow(now) {
		return
	}
	w.lossyAt = now
	zone, all, lossy := w.info.Zone, 0, 0
	for _, x := range c.order {
		if x.info.Zone != zone || !x.listed {
			continue
		}
		all++
		if !x.lossyAt.IsZero() && now.Sub(x.lossyAt) < lossyFor {
			lossy++
		}
	}
	if lossy >= lossyLeast && float64(lossy) >= lossyShare*float64(all) {
		c.lossyAt[zone] = now
	}
}

// rejected takes over a rejection that says something of the worker itself.
func (c *Cell) rejected(now time.Time, w *worker, r *bamboofall.RejectedError) {
	switch r.Cause {
	case bamboofall.RejectFenced:
		c.out.Deposed = true
		c.note(Note{Event: "fenced", Worker: w.info.ID, Detail: "the worker has seen a larger token"})
	case bamboofall.RejectLife:
		if r.Born.After(w.born) {
			c.reborn(now, w, r.Born)
		}
	}
}

// sighted takes over the clock and the life that an answer shows. It reports
// false if the answer is of another life than the order.
func (c *Cell) sighted(now time.Time, o Order, s bamboofall.Sighting) bool {
	w := o.worker
	if !s.Born.IsZero() && s.Born.After(w.born) {
		c.reborn(now, w, s.Born)
	}
	if !s.Born.IsZero() && s.Born.Before(w.born) || !o.born.Equal(w.born) && s.Born.IsZero() {
		return false
	}
	wasSilent := w.silent()
	w.failures = 0
	if w.closed && w.recorded {
		c.record(w)
	}
	if wasSilent {
		c.gained(w)
		c.note(Note{Event: "worker answers again", Worker: w.info.ID})
	}
	w.missed = 0
	w.unreachedSince = time.Time{}
	c.budget.done++
	// A late answer tells what the clock was when it was given.
	if s.Clock > 0 && !(o.late && w.synced) {
		w.clock, w.clockAt = s.Clock, now
	}
	return true
}

// wakeStored asks the workers again whose ends are stored by now.
func (c *Cell) wakeStored(now time.Time) {
	c.unstored = slices.DeleteFunc(c.unstored, func(w *worker) bool {
		if !c.IsStored(w.gotAt) {
			return false
		}
		w.awaitsStore = false
		w.wake(now)
		c.lookAt(w)
		return true
	})
}

// wake makes the next hold of a worker due.
func (w *worker) wake(now time.Time) {
	if now.Before(w.nextHold) {
		w.nextHold = now
	}
}
