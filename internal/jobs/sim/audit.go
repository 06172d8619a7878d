package sim

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
	"bamboofall.example/bamboofall/internal/jobs/fencing"
)

// auditOf returns the audit record of a task, which it creates if there is none.
func (w *World) auditOf(task bamboofall.TaskName) *taskAudit {
	t := w.tasks[task]
	if t == nil {
		t = &taskAudit{}
		w.tasks[task] = t
	}
	return t
}

// auditReport audits that a report of a worker has reached an owner. The owner may
// have given up the call before.
func (w *World) auditReport(owner *cell.Cell, worker *Worker, report bamboofall.HoldReport) {
	if owner != w.cell {
		return
	}
	for _, e := range report.Ends {
		if e.Cause != bamboofall.EndDone {
			continue
		}
		for _, d := range w.auditOf(e.Task).doneRuns {
			if d.worker != worker || d.run != e.Run || d.reportedTo == owner {
				continue
			}
			d.reportedTo = owner
			if d.restart != "" {
				w.reportViolation("%v: run %d was completed on %s and is reported, but %s", e.Task, e.Run, worker.ID(), d.restart)
			}
		}
	}
}

// auditEarlierEnds audits the start of a run against earlier runs of the task that
// were completed. The present owner must not know of their completion. A completion
// that no report can bring to its knowledge any more is ignored; for any other the
// start is recorded, so that auditReport can detect the violation.
func (w *World) auditEarlierEnds(worker *Worker, order bamboofall.StartOrder) {
	for _, d := range w.auditOf(order.Task).doneRuns {
		restarted := d.worker.incarnation != d.incarnation
		switch {
		case d.reportedTo != nil && d.reportedTo == w.cell:
			w.reportViolation("%v: run %d started on %s after run %d was reported as completed on %s", order.Task, order.Run, worker.ID(), d.run, d.worker.ID())
		case restarted, d.worker.leaseLapsedFor() >= cell.LateEndGrace:
		default:
			d.restart = fmt.Sprintf("run %d started on %s at %v", order.Run, worker.ID(), w.Now())
		}
	}
}

// leaseLapsedFor returns how long ago the worker's leases ended on its clock.
func (x *Worker) leaseLapsedFor() time.Duration { return x.clock() - x.leaseUntil }

// auditStart audits the start of a run of a task of step.
func (w *World) auditStart(worker *Worker, order bamboofall.StartOrder, job *submission, step *bamboofall.Step) {
	w.auditEvacuation(worker, order)
	audit := w.auditOf(order.Task)
	if audit.running > 0 && !step.Speculative {
		w.reportViolation("%v: run %d started on %s while another run was in progress", order.Task, order.Run, worker.ID())
	}
	if audit.acknowledged && !step.Speculative {
		w.reportViolation("%v: run %d started on %s after a completion of the task was acknowledged", order.Task, order.Run, worker.ID())
	}
	if !step.Speculative {
		w.auditEarlierEnds(worker, order)
	}
	audit.running++
	const cancelTime = 3 * time.Second
	if !job.cancelled.IsZero() && w.now.Sub(job.cancelled) > cancelTime && worker.LateOrderShare == 0 {
		w.reportViolation("%v: started %v after the cancellation of its job was confirmed", order.Task, w.now.Sub(job.cancelled))
	}
	for _, dependency := range step.After {
		if !w.stepDone(job, order.Task.Occurrence, dependency) {
			w.reportViolation("%v: started before step %d was completed", order.Task, dependency)
			return
		}
	}
	used, here := reservedResources(step), 1
	for _, r := range worker.runs {
		used = used.Add(reservedResources(r.step))
		if r.step == step && r.task.Job == order.Task.Job && r.task.Occurrence == order.Task.Occurrence {
			here++
		}
	}
	if room := worker.countedRoom(); !used.Fits(room) {
		w.reportViolation("%v: started on %s beyond its capacity: %v of %v", order.Task, worker.ID(), used, room)
	}
	if step.MaxPerWorker > 0 && here > step.MaxPerWorker {
		w.reportViolation("%v: is task %d of its step on %s, the maximum is %d", order.Task, here, worker.ID(), step.MaxPerWorker)
	}
}

// auditDeadlyStart audits the start of a deadly task. After three workers have crashed
// under it, it may be started twice more. Starts by a former owner, which may not know
// of the crashes, are ignored.
func (w *World) auditDeadlyStart(worker *Worker, order bamboofall.StartOrder, d *deadlyTask) {
	const minCrashes, maxStarts = 3, 2
	if d.crashes < minCrashes || fencing.Epoch(order.Token) != w.epoch {
		return
	}
	d.startsAfterThree++
	if d.startsAfterThree > maxStarts {
		w.reportViolation("%v: run %d started on %s, start %d after %d workers had crashed under it", order.Task, order.Run, worker.ID(), d.startsAfterThree, minCrashes)
	}
}

// auditFailedRun records a failed run.
func (w *World) auditFailedRun(r *run) {
	task := r.task
	if r.step.Gang {
		task.Index = 0
	}
	a := w.auditOf(task)
	if a.failedRuns == nil {
		a.failedRuns = make(map[uint32]bool)
	}
	a.failedRuns[r.number] = true
}

// auditLostRuns records the runs that end with a process, and those whose ends it has not
// reported. An owner cannot tell either from a crash under the run.
func (w *World) auditLostRuns(x *Worker) {
	record := func(task bamboofall.TaskName, number uint32) {
		if w.jobs[task.Job].spec.Steps[task.Step].Gang {
			task.Index = 0
		}
		a := w.auditOf(task)
		if a.lostRuns == nil {
			a.lostRuns = make(map[uint32]bool)
		}
		a.lostRuns[number] = true
		a.restarted = a.restarted || x.restarting
	}
	for _, r := range x.runs {
		record(r.task, r.number)
	}
	for _, e := range x.ends {
		record(e.Task, e.Run)
	}
}

// auditFailedJob audits that a job that is shown as failed has a task with too many
// failed runs, or one under which two workers
// have crashed, at least one of them in a Worker.Restart.
func (w *World) auditFailedJob(job *submission) {
	const minCrashes = 2
	if slices.ContainsFunc(w.DeadlyTasks(job.spec.ID), func(n bamboofall.TaskName) bool { return w.DeadlyCrashes(n) >= minCrashes }) {
		return
	}
	for name, a := range w.tasks {
		if name.Job == job.spec.ID && a.restarted && len(a.lostRuns) >= minCrashes {
			return
		}
		if name.Job == job.spec.ID && !job.spec.Steps[name.Step].Standing && len(a.failedRuns) >= job.queue.MaxAttempts {
			return
		}
	}
	w.reportViolation("%s: shown as failed without a cause", job.spec.ID)
}

// AuditCompletion audits that all jobs without deadly tasks that were stored and not
// cancelled are completed or, where they have standing tasks, run all of these. It is
// called once there was enough time for that.
func (w *World) AuditCompletion() {
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		job := w.jobs[id]
		if !job.stored || job.cancelRequested || len(w.DeadlyTasks(id)) > 0 {
			continue
		}
		standing := slices.ContainsFunc(job.spec.Steps, func(s bamboofall.Step) bool { return s.Standing })
		if state, _ := w.Lookup(id); !standing && state != bamboofall.JobCompleted {
			w.reportViolation("%s: not completed but %v", id, state)
		}
		if !standing {
			continue
		}
		for i, s := range job.spec.Steps {
			for k := range s.Count {
				if name := (bamboofall.TaskName{Job: id, Step: i, Index: k}); s.Standing && w.auditOf(name).running == 0 {
					w.reportViolation("%v: does not run", name)
				}
			}
		}
	}
}

// StandingDown returns the standing tasks that should run and do not, in the order of
// their names.
func (w *World) StandingDown() (down []string) {
	for id, job := range w.jobs {
		state, known := w.Lookup(id)
		if !known || state.Ended() {
			continue
		}
		for i, step := range job.spec.Steps {
			for k := range step.Count {
				name := bamboofall.TaskName{Job: id, Step: i, Index: k}
				if step.Standing && w.auditOf(name).running == 0 {
					down = append(down, name.String())
				}
			}
		}
	}
	slices.Sort(down)
	return down
}
