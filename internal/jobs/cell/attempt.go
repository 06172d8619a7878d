package cell

import (
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/pressure"
	"bamboofall.example/bamboofall/internal/jobs/stage"
)

type attemptState uint8

const (
	// attemptAwaitingStore is not ordered yet: a flush must be stored first.
	attemptAwaitingStore attemptState = iota
	// attemptStarting has a start order in progress.
	attemptStarting
	// attemptUnknown may be running, or be started later by an order that is still in
	// flight.
	attemptUnknown
	attemptRunning
)

// attempt is a run of a task at a worker.
type attempt struct {
	// attached reports whether the attempt counts at its task and its worker.
	attached bool
	task     *task
	worker   *worker
	run      uint32
	state    attemptState
	// requiredFlush is the flush that must be stored before the start is ordered.
	requiredFlush uint64
	// confirmedAt is when the worker last confirmed the run. Calls can overtake each
	// other, so only the answer to a call sent later can show that the run is gone.
	confirmedAt time.Time
	// placedAt is when the task was placed at the worker.
	placedAt  time.Time
	startedAt time.Time
	// progressedAt is when the reported progress last changed or could not be expected
	// to, as the run was throttled.
	progressedAt time.Time
	// percent is the progress that the worker last reported, 0 to 100; a standing task is
	// up at 100.
	percent int
	// gauge is the figure that the worker last reported: the tail latency in ms of a
	// serving task, the CPU in milliprocessors that a best-effort task uses.
	gauge int64
	// track follows the headroom of a serving task.
	track      pressure.Track
	checkpoint string

	// stopping reports whether the run must end. stopOrderedAt is when the last stop was
	// ordered, stopConfirmedAt when the worker confirmed one, and stopPending reports
	// whether one is unanswered.
	stopping        bool
	stopReason      string
	stopOrderedAt   time.Time
	stopPending     bool
	stopConfirmedAt time.Time
	// targetPace is the decided CPU share in percent, ackedPace the one that the worker
	// last acknowledged, and pacePending reports whether a pace order is unanswered.
	targetPace, ackedPace int
	pacePending           bool
	// pausedSince is the last time at which targetPace was above zero.
	pausedSince time.Time
	// moveCheckedAt is when it was last checked whether the run can move.
	moveCheckedAt time.Time
	// withdrawn is set once the start order must not be sent any more.
	withdrawn atomic.Bool
	// resumed reports whether the run began from a checkpoint.
	resumed bool
	// confirmed is set once the worker has confirmed the run to this owner or a former one,
	// and startClock is the worker's clock when it first did so to this owner.
	confirmed  bool
	startClock time.Duration
	// named is set once an answer that names the worker's process has confirmed the run. The
	// answer to a start may come from a process that started after it.
	named bool
	// restarted is set if a restart became known after the worker had confirmed the run, and no
	// report has shown it since.
	restarted bool
	// giveUp is set if the job fails once it is known that the run ended with a former process.
	giveUp bool
	// trial is set if the task was a suspect when the run was ordered.
	trial bool
	// token is that of the start order, or zero if a former owner sent it.
	token bamboofall.Token
	// inherited is set if a former owner started the run, so that startedAt is not the time
	// of the start. survivedFormer is how long the worker is known to have survived the run
	// under former owners.
	inherited      bool
	survivedFormer time.Duration
}

// reservation returns what the attempt reserves at its worker. Best-effort tasks reserve
// no CPU.
func (a *attempt) reservation() bamboofall.Resources {
	r := a.task.step.Size
	if a.task.step.BestEffort {
		r.MilliProcessors = 0
	}
	return r
}

// newOrder returns an order concerning a run.
func (c *Cell) newOrder(now time.Time, kind OrderKind, a *attempt) Order {
	return Order{
		Kind: kind, Worker: a.worker.info.WorkerRef, DataCentre: a.worker.info.Zone, attempt: a, worker: a.worker, sentAt: now, incarnation: a.worker.incarnation,
		Start: bamboofall.StartOrder{Task: a.task.name(), Run: a.run, Token: c.nextToken(a.worker)},
	}
}

// Values for the isRoutine argument of noteRun.
const (
	routine = true
	rare    = false
)

// noteRun logs a decision about a run.
func (c *Cell) noteRun(a *attempt, event string, isRoutine bool, detail string) {
	c.note(Note{
		Event: event, Job: a.task.step.occ.job.ID, Task: a.task.name().String(), Worker: a.worker.info.ID, Run: a.run,
		Detail: detail, Routine: isRoutine,
	})
}

// reserve adds an attempt for a task to a worker.
func (c *Cell) reserve(w *worker, t *task, run uint32) *attempt {
	a := &attempt{task: t, worker: w, run: run, targetPace: fullPace, ackedPace: fullPace}
	w.attempts = append(w.attempts, a)
	a.attached = true
	w.updateTotals(a, 1)
	c.queueHold(w)
	t.attempts = append(t.attempts, a)
	t.step.runs++
	return a
}

// release removes an attempt and records the freed capacity.
func (c *Cell) release(a *attempt) {
	if a.attached {
		c.detach(a)
		c.addGain(a.worker)
	}
}

// detach removes an attempt from its worker and its task.
func (c *Cell) detach(a *attempt) {
	w := a.worker
	a.attached = false
	a.withdrawn.Store(true)
	if w.trial == a {
		w.trial = nil
	}
	w.attempts = slices.DeleteFunc(w.attempts, func(b *attempt) bool { return a == b })
	w.updateTotals(a, -1)
	if w.recordClosed && w.recorded {
		c.pending.workers[w.info.ID] = w
	}
	a.task.attempts = slices.DeleteFunc(a.task.attempts, func(b *attempt) bool { return a == b })
	a.task.step.runs--
}

// nextRun returns a run number above all that the task can have had under this or a
// former owner.
func (c *Cell) nextRun(t *task) uint32 {
	return max(c.runBase(), t.lastRun) + 1
}

// start places a task at a worker and orders the start once the store holds what a
// successor must know about it.
func (c *Cell) start(now time.Time, w *worker, t *task, run uint32) {
	mustStore := c.mustStoreStart(t)
	if w.recordClosed {
		c.recordWorker(w) // the worker does not drain any more
	}
	a := c.reserve(w, t, run)
	a.placedAt = now
	if t.lastRun == 0 {
		c.passStage(t.step.occ.job, stage.Placement, now.Sub(t.step.readyAt))
	}
	t.lastRun = max(t.lastRun, run)
	t.step.occ.job.starvedSince = time.Time{}
	c.budget.Start(t.step.occ.job.priority())
	w.health.RecordAssignment(now)
	s := t.step
	if !s.released {
		s.released = true
		c.pending.touch(s.occ.job)
		s.releasedFlush = s.occ.job.stateFlush
	}
	a.requiredFlush = max(s.releasedFlush, w.recordFlush)
	if t.crashes.Suspect() {
		a.trial, w.trial = true, a
	}
	if mustStore {
		c.pending.touch(s.occ.job)
		a.requiredFlush = max(a.requiredFlush, s.occ.job.stateFlush)
	}
	if c.IsStored(a.requiredFlush) {
		c.orderStart(now, a)
		return
	}
	c.awaitingStore = append(c.awaitingStore, a)
}

// markJobStarted records that a worker has started a task of a job.
func (c *Cell) markJobStarted(j *job) {
	if j.started || c.jobs[j.ID] != j {
		return
	}
	j.started = true
	if j.state == bamboofall.JobQueued {
		j.state = bamboofall.JobRunning
	}
	if !j.state.Ended() {
		c.pending.touch(j)
	}
}

// orderStoredStarts orders the starts whose required flush is stored.
func (c *Cell) orderStoredStarts(now time.Time) {
	if len(c.awaitingStore) == 0 {
		return
	}
	kept := c.awaitingStore[:0]
	for _, a := range c.awaitingStore {
		switch {
		case !a.attached || a.state != attemptAwaitingStore:
		case a.stopping:
			c.release(a)
		case c.IsStored(a.requiredFlush) && c.capacitiesReliable(now, a):
			c.orderStart(now, a)
		default:
			kept = append(kept, a)
		}
	}
	clear(c.awaitingStore[len(kept):])
	c.awaitingStore = kept
}

func (c *Cell) orderStart(now time.Time, a *attempt) {
	w, t := a.worker, a.task
	if !w.answered || w.restartUnnamed {
		// The worker restarted since the task was placed, so the attempt is lost.
		c.loseRun(now, a, "the worker restarted and has not answered yet")
		return
	}
	a.state = attemptStarting
	a.startedAt = now
	c.passStage(t.step.occ.job, stage.Release, now.Sub(a.placedAt))
	checkpoint := t.checkpoint
	if t.step.gang != nil {
		checkpoint = t.step.gang.checkpoint
	}
	a.resumed = checkpoint != ""
	c.counters.Started++
	o := c.newOrder(now, OrderStart, a)
	a.token = o.Start.Token
	o.Start.Payload, o.Start.Checkpoint, o.Start.LeaseUntil = t.step.occ.job.Payload, checkpoint, c.grantLease(now, w)
	c.emit(o)
	c.noteRun(a, "start", routine, fmt.Sprintf("waited %v, worker has %d of %d milliprocessors reserved",
		now.Sub(t.step.readyAt).Round(time.Millisecond), w.used.MilliProcessors, w.info.Room.MilliProcessors))
}

// StartAnswered handles the answer to a start order.
func (c *Cell) StartAnswered(now time.Time, o Order, s bamboofall.ResponseMeta, err error) {
	a, w := o.attempt, o.worker
	c.fenceUnanswered(o, err)
	defer c.endAcknowledgementDelay(now, w)
	sighted := err != nil || c.applyResponseMeta(now, o, s)
	var notDone *bamboofall.NotDoneError
	if !o.incarnation.Equal(w.incarnation) && !errors.As(err, &notDone) {
		c.leasedByFormerClock(now, w) // it may have been carried out after the restart was known
	}
	if !a.attached || a.state != attemptStarting {
		c.noteRun(a, "start answered late", routine, fmt.Sprintf("%v after the order: %s", now.Sub(o.sentAt).Round(time.Millisecond), outcome(err)))
		return
	}
	if !sighted {
		// If the answer names an incarnation, an earlier one started the run.
		if s.Born.IsZero() {
			c.markStartUnknown(now, a)
			return
		}
		c.loseRun(now, a, "the worker restarted")
		return
	}
	if err == nil {
		c.passStage(a.task.step.occ.job, stage.Confirmation, now.Sub(a.startedAt))
		a.confirmRunning(now)
		a.named = !s.Born.IsZero() || w.clockNamesProcess(now, s.Clock)
		a.confirmedAt, a.progressedAt = now, now
		c.markJobStarted(a.task.step.occ.job)
		if len(w.attempts) == 1 || !w.holdOpen {
			w.holdNow(now)
		}
		return
	}
	var rejected *bamboofall.RejectedError
	switch {
	case errors.As(err, &rejected) && rejected.Cause == bamboofall.RejectEndedRun:
		// The worker had a run with this number, and it may have completed.
		c.counters.StartsRejected++
		c.noteRun(a, "start rejected", rare, string(rejected.Cause))
		c.markStartUnknown(now, a)
		w.health.Avoid(now)
	case errors.As(err, &rejected):
		c.counters.StartsRejected++
		c.noteRun(a, "start rejected", rare, string(rejected.Cause))
		c.release(a)
		if rejected.Cause != bamboofall.RejectFenced {
			w.health.Avoid(now)
		}
		w.holdNow(now)
		c.handleRejection(now, o, rejected)
		c.enqueue(a.task)
	case errors.As(err, &notDone):
		c.noteRun(a, "start not done", rare, err.Error())
		c.release(a)
		if !failedInTransit(err) {
			w.health.Avoid(now)
		}
		c.callFailed(now, o, err)
		w.holdNow(now)
		c.enqueue(a.task)
		c.withdrawGangOfWithheld(now, a, err)
	default:
		c.counters.StartsUnanswered++
		c.recordLostAnswer(now, w, err)
		c.noteRun(a, "start unanswered", rare, err.Error())
		c.markStartUnknown(now, a)
		if !failedInTransit(err) {
			w.health.Avoid(now)
		}
	}
}

// outcome describes the result of an order for the log.
func outcome(err error) string {
	if err != nil {
		return err.Error()
	}
	return "carried out"
}

// markStartUnknown marks the outcome of a start as unknown and probes the worker for it.
func (c *Cell) markStartUnknown(now time.Time, a *attempt) {
	a.state = attemptUnknown
	c.fenceEarlier(a.worker)
	a.worker.holdNow(now)
	c.probe(now, a.worker)
}

// stop ends a run.
func (c *Cell) stop(now time.Time, a *attempt, reason string) {
	if a.stopping {
		return
	}
	a.stopping = true
	a.stopReason = reason
	if a.state == attemptAwaitingStore {
		c.release(a)
		return
	}
	a.withdrawn.Store(true)
	c.orderStop(now, a)
}

func (c *Cell) orderStop(now time.Time, a *attempt) {
	a.stopOrderedAt = now
	a.stopPending = true
	c.emit(c.newOrder(now, OrderStop, a))
	c.noteRun(a, "stop", routine, a.stopReason)
}

// StopAnswered handles the answer to a stop order.
func (c *Cell) StopAnswered(now time.Time, o Order, s bamboofall.ResponseMeta, err error) {
	a := o.attempt
	a.stopPending = false
	c.fenceUnanswered(o, err)
	if err == nil && !c.applyResponseMeta(now, o, s) {
		return
	}
	if !a.attached {
		return
	}
	var rejected *bamboofall.RejectedError
	if errors.As(err, &rejected) {
		c.handleRejection(now, o, rejected)
		if rejected.Cause == bamboofall.RejectFenced {
			a.stopOrderedAt = time.Time{} // repeated at once
		}
	}
	if err != nil {
		return
	}
	a.stopConfirmedAt = now
	a.worker.holdNow(now)
	if a.state == attemptUnknown {
		c.probe(now, a.worker)
	}
}

const (
	// overdueFactor and overdueSlack define when the end of a run is overdue. Few runs
	// take longer, and the call that should report the end may have been lost.
	overdueFactor = 1.4
	overdueSlack  = 200 * time.Millisecond
	// overdueProbeInterval is the time between probes for an overdue end.
	overdueProbeInterval = 600 * time.Millisecond
)

// overdue reports whether the end of a run should have been reported by now.
func (c *Cell) overdue(now time.Time, a *attempt) bool {
	s := a.task.step
	if s.Standing || s.Estimate <= 0 || a.state != attemptRunning || a.stopping || a.ackedPace < fullPace {
		return false
	}
	due := time.Duration(overdueFactor*float64(c.expectedRunTime(s))) + overdueSlack
	return now.Sub(a.startedAt) > due && now.Sub(a.confirmedAt) > overdueProbeInterval
}

// watchAttempt probes for unknown starts and overdue ends, and repeats unanswered stops.
func (c *Cell) watchAttempt(now time.Time, a *attempt) {
	c.watchTrial(now, a)
	if a.state == attemptRunning && !a.stopping && a.task.step.Standing && a.percent >= fullPace {
		return // fast path: most attempts are standing tasks that are up
	}
	if a.state == attemptUnknown || c.overdue(now, a) {
		c.probe(now, a.worker)
	}
	if a.stopping && !a.stopPending && a.stopConfirmedAt.IsZero() && now.Sub(a.stopOrderedAt) >= stopRetryInterval && !a.worker.silent() {
		c.orderStop(now, a)
	}
	c.checkProgress(now, a)
}

// loseRun gives up a run whose end will not be reported, and requeues its task.
func (c *Cell) loseRun(now time.Time, a *attempt, reason string) {
	if !a.attached {
		return
	}
	c.counters.LostRuns++
	c.noteRun(a, "run lost", rare, reason)
	c.accountRun(now, a, bamboofall.EndLapsed)
	c.release(a)
	c.keepCheckpoint(a.task, a.checkpoint)
	if a.giveUp {
		c.giveUpTask(now, a)
	}
	c.enqueue(a.task)
}
