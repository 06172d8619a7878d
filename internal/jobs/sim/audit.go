package sim

import (
	"fmt"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

func (w *World) audit(task bamboofall.TaskName) *taskAudit {
	t := w.tasks[task]
	if t == nil {
		t = &taskAudit{}
		w.tasks[task] = t
	}
	return t
}

// hear audits that an answer of a worker has reached an owner, in time or not.
func (w *World) hear(owner *cell.Cell, x *Worker, report bamboofall.HoldReport) {
	if owner != w.cell {
		return
	}
	for _, e := range report.Ends {
		if e.Cause != bamboofall.EndDone {
			continue
		}
		for _, d := range w.audit(e.Task).dones {
			if d.worker != x || d.run != e.Run || d.heardBy == owner {
				continue
			}
			d.heardBy = owner
			if d.again != "" {
				w.violate("%v run %d was done on %s and is listed, but %s", e.Task, e.Run, x.ID(), d.again)
			}
		}
	}
}

// checkEnds audits that no run of a task is known, or can become known, to have
// ended as done when another starts.
func (w *World) checkEnds(x *Worker, o bamboofall.StartOrder) {
	for _, d := range w.audit(o.Task).dones {
		gone := d.worker.life != d.life
		switch {
		case d.heardBy != nil && d.heardBy == w.cell:
			w.violate("%v run %d starts on %s after run %d was listed as done on %s", o.Task, o.Run, x.ID(), d.run, d.worker.ID())
		case gone, d.worker.lapsedFor() >= cell.UnseenEnds:
		default:
			d.again = fmt.Sprintf("run %d starts on %s at %v", o.Run, x.ID(), w.Now())
		}
	}
}

// lapsedFor returns for how long a worker has had no lease.
func (x *Worker) lapsedFor() time.Duration { return x.clock() - x.until }

// checkStart audits a start.
func (w *World) checkStart(x *Worker, o bamboofall.StartOrder, j *account, s *bamboofall.Step) {
	a := w.audit(o.Task)
	if a.running > 0 && !s.Speculative {
		w.violate("%v run %d starts on %s while another run goes on", o.Task, o.Run, x.ID())
	}
	if a.acknowledged && !s.Speculative {
		w.violate("%v run %d starts on %s after its end was acknowledged", o.Task, o.Run, x.ID())
	}
	if !s.Speculative {
		w.checkEnds(x, o)
	}
	a.running++
	const cancelTime = 3 * time.Second
	if !j.cancelled.IsZero() && w.now.Sub(j.cancelled) > cancelTime && x.LateShare == 0 {
		w.violate("%v starts %v after its job was cancelled", o.Task, w.now.Sub(j.cancelled))
	}
	for _, before := range s.After {
		for i := range j.spec.Steps[before].Count {
			if !w.audit(bamboofall.TaskName{Job: o.Task.Job, Occurrence: o.Task.Occurrence, Step: before, Index: i}).done {
				w.violate("%v starts before step %d is done", o.Task, before)
				return
			}
		}
	}
	used, here := reserved(s), 1
	for _, r := range x.running {
		used = used.Add(reserved(r.step))
		if r.step == s && r.task.Job == o.Task.Job && r.task.Occurrence == o.Task.Occurrence {
			here++
		}
	}
	if !used.Fits(w.cfg.Room) {
		w.violate("%v does not fit on %s: %v of %v", o.Task, x.ID(), used, w.cfg.Room)
	}
	if s.MaxPerWorker > 0 && here > s.MaxPerWorker {
		w.violate("%v is number %d on %s, at most %d", o.Task, here, x.ID(), s.MaxPerWorker)
	}
}
