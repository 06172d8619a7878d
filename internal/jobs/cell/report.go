package cell

import (
	"fmt"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
)

// MaxEndsPerReport is the maximum number of run ends in a worker's answer, a limit of the
// worker API.
const MaxEndsPerReport = 500

// findTask returns a task of an open occurrence, or nil.
func (c *Cell) findTask(name bamboofall.TaskName) *task {
	j := c.jobs[name.Job]
	if j == nil {
		return nil
	}
	o := j.occurrence(name.Occurrence)
	if o == nil || name.Step >= len(o.steps) || name.Index >= len(o.steps[name.Step].tasks) {
		return nil
	}
	return &o.steps[name.Step].tasks[name.Index]
}

// adopt takes over the runs that this owner has not started, from the first report of an
// incarnation to this owner.
func (c *Cell) adopt(now time.Time, w *worker, report bamboofall.HoldReport) {
	for _, p := range report.Running {
		t := c.findTask(p.Task)
		if t == nil {
			c.stopOrphan(now, w, p)
			continue
		}
		if t.runsAt(w, p.Run) {
			continue // the start was in flight when the worker restarted
		}
		a := c.reserve(w, t, p.Run)
		t.lastRun = max(t.lastRun, p.Run)
		a.confirmRunning(now)
		a.confirmedAt, a.startedAt, a.progressedAt = now, now, now
		a.inherited, a.named = true, !report.Born.IsZero()
		a.resumeTrial()
		if t.step.BestEffort {
			a.ackedPace = paceUnknown
		}
		c.counters.Adopted++
		if others := len(t.attempts) - 1; others > 0 {
			c.noteRun(a, "run adopted", rare, fmt.Sprintf("%d other runs of the task", others))
		}
		c.unqueue(t)
		if t.done || t.step.occ.job.state.Ended() {
			c.stop(now, a, "the task is completed or its job has ended")
		}
		c.markJobStarted(t.step.occ.job)
		t.step.released = true
	}
	c.note(Note{Event: "worker answers", Worker: w.info.ID, Detail: fmt.Sprintf("reports %d runs and %d run ends", len(report.Running), len(report.Ends))})
}

// stopOrphan stops a run whose task is not known or needs no run. What it takes is not
// known, so nothing is started at its worker before it is gone.
func (c *Cell) stopOrphan(now time.Time, w *worker, p bamboofall.RunningTask) {
	c.counters.OrphanedRuns++
	s := &step{
		occ:   &occurrence{job: &job{Job: &bamboofall.Job{ID: p.Task.Job}, state: bamboofall.JobCancelled}, number: p.Task.Occurrence},
		index: p.Task.Step, Step: &bamboofall.Step{}, orphan: true,
	}
	t := &task{step: s, index: p.Task.Index, done: true}
	a := c.reserve(w, t, p.Run)
	a.state = attemptRunning
	c.stop(now, a, "the job is not known or has ended")
}

// reconcile compares the runs that a worker reports with those that it should have.
func (c *Cell) reconcile(now time.Time, o Order, w *worker, report bamboofall.HoldReport) {
	running := report.Running
	// A run that is missing may have ended, with its end on a later page.
	endsKnown := listsAllEnds(report)
	locates := !c.formerMayAct(o.sentAt)
	type key struct {
		task bamboofall.TaskName
		run  uint32
	}
	listed := make(map[key]*bamboofall.RunningTask, len(running))
	for i := range running {
		listed[key{running[i].Task, running[i].Run}] = &running[i]
	}
	for _, a := range slices.Clone(w.attempts) {
		p := listed[key{a.task.name(), a.run}]
		delete(listed, key{a.task.name(), a.run})
		switch {
		case p != nil:
			c.confirmRun(now, a, p)
			c.nameRun(a, report.ResponseMeta)
			a.task.located = a.task.located || locates
			c.stopSecondRun(now, a)
		case !endsKnown:
		case a.state == attemptRunning && a.confirmedAt.Before(o.sentAt) && (!a.stopping || !a.stopConfirmedAt.IsZero() && a.stopConfirmedAt.Before(o.sentAt)):
			c.loseRun(now, a, "the worker no longer reports the run")
		case a.state == attemptUnknown && o.token() > a.token:
			// The process has executed a later order, so it rejects the start from now on.
			reason := "the start was not carried out"
			if a.confirmed {
				reason = "the worker restarted"
			}
			c.loseRun(now, a, reason)
		}
	}
	if len(w.serving) > 0 || len(w.bestEffort) > 0 {
		c.observeTails(now, w)
	}
	for i := range running {
		k := key{running[i].Task, running[i].Run}
		p := listed[k]
		if p == nil {
			continue
		}
		delete(listed, k)
		if t := c.findTask(p.Task); t != nil && t.runsAt(w, p.Run) {
			continue
		}
		c.stopUnexpected(now, w, *p)
	}
}

// runsAt reports whether the task has the given run at a worker.
func (t *task) runsAt(w *worker, run uint32) bool {
	return t.runAt(w, run) != nil
}

// listsAllEnds reports whether a report is the last page of run ends.
func listsAllEnds(report bamboofall.HoldReport) bool { return len(report.Ends) < MaxEndsPerReport }

// nameRun records that a report lists a run of the process that it names. The run did not end
// with a former process.
func (c *Cell) nameRun(a *attempt, s bamboofall.ResponseMeta) {
	if a.named || s.Born.IsZero() {
		return
	}
	a.named, a.giveUp = true, false
	if slices.Contains(a.task.crashes.Runs(), a.run) {
		a.task.crashes.Retract(a.run)
		c.pending.touch(a.task.step.occ.job)
	}
}

// confirmRun applies the reported state of an expected run.
func (c *Cell) confirmRun(now time.Time, a *attempt, p *bamboofall.RunningTask) {
	if a.state != attemptRunning {
		a.confirmRunning(now)
		c.markJobStarted(a.task.step.occ.job)
	}
	a.confirmedAt = now
	if a.task.step.Standing && a.percent < fullPace && p.ProgressPercent == fullPace {
		a.worker.health.RecordSuccess(a.startedAt)
		a.task.stalledOn = ""
	}
	if p.ProgressPercent != a.percent || a.ackedPace < fullPace || a.targetPace < fullPace || a.progressedAt.IsZero() {
		a.progressedAt = now
	}
	a.percent, a.gauge = p.ProgressPercent, p.Gauge
	if p.Checkpoint != "" {
		a.checkpoint = p.Checkpoint
	}
}

// stopUnexpected stops a run that this owner had given up, or that one of its orders
// started late.
func (c *Cell) stopUnexpected(now time.Time, w *worker, p bamboofall.RunningTask) {
	c.note(Note{Event: "unexpected run", Job: p.Task.Job, Task: p.Task.String(), Worker: w.info.ID, Run: p.Run})
	c.stopOrphan(now, w, p)
}
