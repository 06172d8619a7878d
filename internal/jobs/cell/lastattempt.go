package cell

import (
	"time"

	"bamboofall.example/bamboofall/internal/jobs/callercost"
)

// onLastAttempt reports whether a task has failed and another failure of it fails its job. The
// first run of a task goes anywhere, also if no other is permitted: workers that are known to be
// faulty get none. So do gangs, as the workers that are left must have room for all their tasks
// at once.
func (t *task) onLastAttempt() bool {
	q := t.step.occ.job.queue
	if q == nil || t.step.Standing || t.step.gang != nil {
		return false
	}
	return len(t.failedRuns) > 0 && len(t.failedRuns)+1 >= q.MaxAttempts
}

// lastRunStake is what the caller of a task on its last attempt has at stake at a time.
type lastRunStake struct {
	task  *task
	at    time.Time
	stake callercost.Stake
	// passedOver is set when a worker that could take the task that is being placed was
	// passed over for the risk alone.
	passedOver bool
}

// risksJob reports whether the last permitted run of a task had better wait for another worker.
func (c *Cell) risksJob(now time.Time, t *task, w *worker) bool {
	failures := w.health.Failures()
	if t.lastFailedOn == w.info.ID {
		failures++
	}
	if failures == 0 || !t.onLastAttempt() || c.cfg.Variant.LastRunAnywhere {
		return false
	}
	since := t.step.readyAt
	if t.failedAt.After(since) {
		since = t.failedAt
	}
	if l := &c.lastRun; l.task != t || !l.at.Equal(now) {
		l.task, l.at, l.stake = t, now, c.stakeOf(t.step)
	}
	return !c.lastRun.stake.Worthwhile(now, now.Sub(since), failures)
}

// stakeOf returns what the caller of a job has at stake while a step of it waits.
func (c *Cell) stakeOf(s *step) callercost.Stake {
	j := s.occ.job
	return callercost.Stake{Accepted: j.accepted, Due: j.due, CriticalPath: c.criticalPathFrom(s), Error: c.runTimeErrors.Of(j.Job.Queue, c.durations.Spread())}
}
