package cell

import (
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/callercost"
	"bamboofall.example/bamboofall/internal/jobs/jobspec"
	"bamboofall.example/bamboofall/internal/jobs/usage"
)

// Usage returns the processor time of finite tasks by what became of it.
func (c *Cell) Usage() usage.Account { return c.usage }

// kind returns the kind of the tasks of a job.
func (j *job) kind() usage.Kind {
	if j.bestEffort {
		return usage.BestEffort
	}
	return usage.Reserved
}

// accountRun accounts for a run that has ended. The processor time of a run with a result
// counts for its job, as does that of a run with checkpoints, which is resumed.
func (c *Cell) accountRun(now time.Time, a *attempt, cause bamboofall.EndCause) {
	s := a.task.step
	if s.Standing || a.startedAt.IsZero() {
		return
	}
	j := s.occ.job
	spent := jobspec.ProcessorTime(s.Size, now.Sub(a.startedAt))
	if (cause == bamboofall.EndDone || s.Checkpointing) && !j.state.Ended() {
		j.spent += spent
		return
	}
	c.usage.Add(j.kind(), usage.Discarded, spent)
}

// accountJob accounts for the processor time of a job that has ended.
func (c *Cell) accountJob(j *job) {
	outcome := usage.Unfinished
	if j.state == bamboofall.JobCompleted {
		allowed := j.due.Sub(j.accepted)
		outcome = usage.OutcomeOf(j.endedAt.Sub(j.accepted), allowed, callercost.LateFactor*allowed)
	}
	c.usage.Add(j.kind(), outcome, j.spent)
	j.spent = 0
}
