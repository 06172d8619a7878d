package cell

import (
	"fmt"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
)

// EndsListed is how many ends a worker lists at a time, as on the users' page.
const EndsListed = 500

// find returns a task of an open occurrence, or nil.
func (c *Cell) find(name bamboofall.TaskName) *task {
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

// adopt takes over what a worker runs that this owner has not started.
func (c *Cell) adopt(now time.Time, w *worker, report bamboofall.HoldReport) {
	for _, p := range report.Running {
		t := c.find(p.Task)
		if t == nil {
			c.orphan(now, w, p)
			continue
		}
		if t.runsAt(w, p.Run) {
			continue // a start that was under way to a former life
		}
		a := c.reserve(w, t, p.Run)
		t.lastRun = max(t.lastRun, p.Run)
		a.state = attemptRunning
		a.confirmedAt, a.startedAt, a.movedAt = now, now, now
		if t.step.Fills {
			a.paced = unknownPace
		}
		c.counters.Adopted++
		c.unqueue(t)
		if t.done || t.step.occ.job.state.Ended() {
			c.stop(now, a, "the task needs no run")
		}
		c.begun(t.step.occ.job)
		t.step.released = true
	}
	c.note(Note{Event: "worker answers", Worker: w.info.ID, Detail: fmt.Sprintf("runs %d tasks, lists %d ends", len(report.Running), len(report.Ends))})
}

// orphan stops a run of a task that is not known or needs no run.
func (c *Cell) orphan(now time.Time, w *worker, p bamboofall.Placed) {
	c.counters.Orphans++
	s := &step{occ: &occurrence{job: &job{Job: &bamboofall.Job{ID: p.Task.Job}, state: bamboofall.JobCancelled}, number: p.Task.Occurrence}, index: p.Task.Step, Step: &bamboofall.Step{Size: w.info.Room}}
	t := &task{step: s, index: p.Task.Index, done: true}
	a := c.reserve(w, t, p.Run)
	a.state = attemptRunning
	c.stop(now, a, "the job is not known or has ended")
}

// compare holds what a worker says it runs against what it should run.
func (c *Cell) compare(now time.Time, o Order, w *worker, report bamboofall.HoldReport) {
	running := report.Running
	// What is not running may have ended, and its end be listed later.
	endsKnown := allEnds(report)
	type key struct {
		task bamboofall.TaskName
		run  uint32
	}
	listed := make(map[key]*bamboofall.Placed, len(running))
	for i := range running {
		listed[key{running[i].Task, running[i].Run}] = &running[i]
	}
	for _, a := range slices.Clone(w.attempts) {
		p := listed[key{a.task.name(), a.run}]
		delete(listed, key{a.task.name(), a.run})
		switch {
		case p != nil:
			c.runs(now, a, p)
		case !endsKnown:
		case a.state == attemptRunning && a.confirmedAt.Before(o.sent) && (!a.stopping || !a.stopped.IsZero() && a.stopped.Before(o.sent)):
			c.lost(now, a, "the worker does not run it any more")
		case a.state == attemptUnsure && !a.stopped.IsZero() && a.stopped.Before(o.sent):
			// The stop was confirmed before, so the start cannot happen any more.
			c.lost(now, a, "the start was not done")
		case a.state == attemptUnsure && !a.stopping && a.doubtedAt.Before(o.sent):
			c.stop(now, a, "the start was not answered")
		}
	}
	if len(w.serving) > 0 {
		c.observe(now, w)
	}
	for i := range running {
		k := key{running[i].Task, running[i].Run}
		p := listed[k]
		if p == nil {
			continue
		}
		delete(listed, k)
		if t := c.find(p.Task); t != nil && t.runsAt(w, p.Run) {
			continue
		}
		c.unexpected(now, w, *p)
	}
}

// runsAt reports whether a run of a task is known at a worker.
func (t *task) runsAt(w *worker, run uint32) bool {
	return slices.ContainsFunc(t.attempts, func(a *attempt) bool { return a.worker == w && a.run == run })
}

// allEnds reports whether an answer lists all the ends that there are.
func allEnds(report bamboofall.HoldReport) bool { return len(report.Ends) < EndsListed }

// runs takes over that a worker runs what it should.
func (c *Cell) runs(now time.Time, a *attempt, p *bamboofall.Placed) {
	if a.state != attemptRunning {
		a.state = attemptRunning
		c.begun(a.task.step.occ.job)
	}
	a.confirmedAt = now
	if a.task.step.Standing && a.percent < fullPace && p.Percent == fullPace {
		a.worker.health.Succeeded()
	}
	if p.Percent != a.percent || a.paced < fullPace || a.want < fullPace || a.movedAt.IsZero() {
		a.movedAt = now
	}
	a.percent, a.gauge = p.Percent, p.Gauge
	if p.Checkpoint != "" {
		a.checkpoint = p.Checkpoint
	}
}

// unexpected stops a run that this owner gave up, or that an order of it
// started late.
func (c *Cell) unexpected(now time.Time, w *worker, p bamboofall.Placed) {
	c.note(Note{Event: "unexpected run", Job: p.Task.Job, Task: p.Task.String(), Worker: w.info.ID, Run: p.Run})
	c.orphan(now, w, p)
}
