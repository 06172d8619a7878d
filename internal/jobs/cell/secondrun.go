package cell

import (
	"slices"
	"time"
)

// stopSecondRun stops all runs of a task but one if several are at work, given one that its
// worker has just listed. The run with the most progress is kept.
func (c *Cell) stopSecondRun(now time.Time, a *attempt) {
	t := a.task
	if len(t.attempts) < 2 || a.stopping || t.done || t.step.Speculative || t.step.gang != nil {
		return
	}
	const reason = "another run of the task is at work"
	for _, other := range slices.Clone(t.attempts) {
		switch {
		case other == a || other.stopping || other.worker.silent():
		case other.state == attemptAwaitingStore || other.state == attemptStarting:
			c.stop(now, other, reason)
		case other.state != attemptRunning || !other.named: // it may not be at work
		case other.percent < a.percent:
			c.stop(now, other, reason)
		default:
			c.stop(now, a, reason)
			return
		}
	}
}
