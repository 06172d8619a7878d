package cell

import (
	"errors"
	"fmt"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/pacing"
	"bamboofall.example/bamboofall/internal/jobs/pressure"
)

const (
	// tailSettleTime is how long a serving task must have run before its tail latency is
	// representative. Tasks taken over from a former owner count as settled.
	tailSettleTime = 1500 * time.Millisecond
	// pausedMoveDelay is how long a best-effort task is paused before it is moved.
	pausedMoveDelay = 600 * time.Millisecond
	// movePauses is the time between two checks whether a run can move, in pauses of a busy
	// owner.
	movePauses = 10
	// drainMargin is the part of a draining worker's remaining time that is reserved for
	// stopping its tasks.
	drainMargin = 600 * time.Millisecond
)

// observeTails updates the interference model with the reported tail latencies and
// decides the pace of the best-effort tasks.
func (c *Cell) observeTails(now time.Time, w *worker) {
	if now.Sub(w.tailsObservedAt) < pacing.MinInterval {
		return
	}
	w.tailsObservedAt = now
	// Shares of an unknown size are not finite. A single one would leave the model without
	// a valid fit.
	sizeKnown := w.sizeKnown()
	var shares pressure.Shares
	if sizeKnown {
		shares = w.usedShares()
	}
	load := 0.0
	var worst *step
	for _, a := range w.attempts {
		s := a.task.step
		if s.TailTarget <= 0 || a.state != attemptRunning || a.percent < fullPace || !a.inherited && now.Sub(a.startedAt) < tailSettleTime {
			continue
		}
		tail := float64(a.gauge) / float64(s.TailTarget.Milliseconds())
		if sizeKnown {
			c.pressure.Observe(now, s.Image, &a.track, tail, shares)
		}
		if tail > load {
			load, worst = tail, s
		}
	}
	if load < 1 {
		w.tailsWithinTargetAt = now
	}
	for _, a := range w.attempts {
		s := a.task.step
		if !s.BestEffort || a.state != attemptRunning || a.stopping {
			continue
		}
		if worst == nil {
			a.targetPace = fullPace
			continue
		}
		interferes := !sizeKnown || w.share(s.Size.MilliProcessors)*c.pressure.Pressure(worst.Image, pressure.Neighbour{Image: s.Image}) >= pacing.MinInterference
		a.targetPace = pacing.Next(a.targetPace, load, interferes, now.Sub(w.tailsWithinTargetAt), c.cfg.MaxTailViolation)
		if a.targetPace > 0 {
			a.pausedSince = now
		}
	}
}

// pace orders the decided paces, and moves tasks that stay paused.
func (c *Cell) pace(now time.Time, w *worker) {
	for _, a := range w.attempts {
		if !a.task.step.BestEffort || a.state != attemptRunning || a.pacePending || a.stopping {
			continue
		}
		if a.targetPace == 0 && a.task.step.Checkpointing && now.Sub(a.pausedSince) >= pausedMoveDelay && c.moveCheckDue(now, a) && c.canMove(now, a.task) {
			c.stop(now, a, "it disturbs serving tasks and fits at another worker")
			continue
		}
		if a.ackedPace == a.targetPace {
			continue
		}
		a.pacePending = true
		c.counters.Paced++
		o := c.newOrder(now, OrderPace, a)
		o.Percent = a.targetPace
		c.emit(o)
		c.noteRun(a, "pace", routine, fmt.Sprintf("%d%%", a.targetPace))
	}
}

// moveCheckDue reports whether to check again if a run can move. The check looks at all
// workers, so a busy owner makes it less often.
func (c *Cell) moveCheckDue(now time.Time, a *attempt) bool {
	if now.Sub(a.moveCheckedAt) < movePauses*c.busyPause(now) {
		return false
	}
	a.moveCheckedAt = now
	return true
}

// PaceAnswered handles the answer to a pace order.
func (c *Cell) PaceAnswered(now time.Time, o Order, s bamboofall.ResponseMeta, err error) {
	o.attempt.pacePending = false
	c.fenceUnanswered(o, err)
	var rejected *bamboofall.RejectedError
	if errors.As(err, &rejected) {
		c.handleRejection(now, o, rejected)
	}
	if err == nil && c.applyResponseMeta(now, o, s) {
		o.attempt.ackedPace = o.Percent
	}
}

// emptyDraining stops runs that will not end before a draining worker leaves, once there is
// capacity elsewhere. Finite tasks are only moved if they have checkpoints.
func (c *Cell) emptyDraining(now time.Time, w *worker) {
	if !w.info.Draining || w.drainingSince.IsZero() {
		return
	}
	left := max(0, w.info.Remaining-now.Sub(w.drainingSince)-drainMargin)
	for _, a := range w.attempts {
		s := a.task.step
		if a.state != attemptRunning || a.stopping || s.gang != nil {
			continue
		}
		if !s.Standing {
			remaining := c.expectedRunTime(s) * time.Duration(100-min(100, max(0, a.percent))) / 100
			if !s.Checkpointing || remaining <= left {
				continue
			}
		}
		if c.canMove(now, a.task) {
			c.stop(now, a, "its worker is draining")
		}
	}
}
