package cell

import (
	"time"

	"bamboofall.example/bamboofall/internal/jobs/callercost"
)

// onLastAttempt reports whether another failure of a task fails its job.
func (t *task) onLastAttempt() bool {
	q := t.step.occ.job.queue
	if q == nil || t.step.Standing {
		return false
	}
	failed := len(t.failedRuns)
	if g := t.step.gang; g != nil {
		failed = len(g.failedRuns)
	}
	return failed > 0 && failed+1 >= q.MaxAttempts
}

// risksJob reports whether the last permitted run of a task had better wait for another worker.
func (c *Cell) risksJob(now time.Time, t *task, w *worker) bool {
	failures := w.health.Failures()
	if t.lastFailedOn == w.info.ID {
		failures++
	}
	if failures == 0 || !t.onLastAttempt() {
		return false
	}
	since := t.step.readyAt
	if t.failedAt.After(since) {
		since = t.failedAt
	}
	return !c.stakeOf(t.step).Worthwhile(now, now.Sub(since), failures)
}

// stakeOf returns what the caller of a job has at stake while a step of it waits.
func (c *Cell) stakeOf(s *step) callercost.Stake {
	j := s.occ.job
	return callercost.Stake{Accepted: j.accepted, Due: j.due, CriticalPath: c.criticalPathFrom(s), Error: c.errors.Of(j.Job.Queue, c.durations.Spread())}
}
