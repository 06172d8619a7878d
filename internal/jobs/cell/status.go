package cell

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"bamboofall.example/bamboofall/internal/jobs/downtime"
)

// Status describes the workers and the standing tasks as of the last summary.
type Status struct {
	// Known workers include those that the platform no longer lists.
	Known, Usable, Silent, Unlisted, Evacuated, Cold int
	// Standing is the number of standing tasks that should run, and StandingRunning of
	// those with a run that its worker has confirmed within the duration of a lease.
	Standing, StandingRunning int
	// LongestDown is the longest time for which a standing task has not run, and
	// LongestDownWithRoom that of the tasks for which a worker has room. Both are
	// counted from the first summary that found the task not running.
	LongestDown, LongestDownWithRoom time.Duration
	// IdleJobs is the number of jobs with ready tasks of which none runs. LongestIdle and
	// LongestIdleWithRoom correspond to LongestDown and LongestDownWithRoom.
	IdleJobs                         int
	LongestIdle, LongestIdleWithRoom time.Duration
	// Recovering reports whether tasks may be running at workers that have not answered
	// this owner.
	Recovering bool
}

// Status returns the status as of the last summary.
func (c *Cell) Status() Status { return c.status }

// IsSilent reports whether a worker counts as silent.
func (c *Cell) IsSilent(id string) bool {
	w := c.workers[id]
	return w != nil && w.silent()
}

// updateStatus computes the status, and logs the standing task and the idle job that have
// been down with room for longest.
func (c *Cell) updateStatus(now time.Time) {
	s := Status{Known: len(c.workerList), Recovering: c.recovering}
	for _, w := range c.workerList {
		if w.usable() {
			s.Usable++
		}
		if w.silent() {
			s.Silent++
		}
		if !w.listed {
			s.Unlisted++
		}
		if w.evacuated {
			s.Evacuated++
		}
		if w.warmth.Cold(now) {
			s.Cold++
		}
	}
	var standing, idle []downTask
	for _, j := range c.open {
		standing = c.appendStandingDown(standing, now, j, &s)
		if t := c.observeIdle(now, j); t != nil {
			idle = append(idle, downTask{Value: t, Downtime: j.idle.Downtime(now)})
		}
	}
	s.IdleJobs = len(idle)
	s.LongestDown, s.LongestDownWithRoom = c.noteLongestDown(now, "standing task", standing)
	s.LongestIdle, s.LongestIdleWithRoom = c.noteLongestDown(now, "job", idle)
	c.status = s
}

// downTask is a standing task that does not run, or a ready task of an idle job.
type downTask = downtime.Item[*task]

// appendStandingDown counts the standing tasks of a job. It appends, of each step with tasks
// that do not run, the one that has been down for longest.
func (c *Cell) appendStandingDown(down []downTask, now time.Time, j *job, s *Status) []downTask {
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if !st.Standing || st.unfinishedDeps > 0 {
				continue
			}
			var first downTask
			for i := range st.tasks {
				t := &st.tasks[i]
				if t.done {
					continue
				}
				running := c.confirmedRunning(now, t)
				t.downtime.Observe(now, running)
				s.Standing++
				if running {
					s.StandingRunning++
				} else if d := t.downtime.Downtime(now); first.Value == nil || d > first.Downtime {
					first = downTask{Value: t, Downtime: d}
				}
			}
			if first.Value != nil {
				down = append(down, first)
			}
		}
	}
	return down
}

// observeIdle updates the idle time of a job. It returns the first ready task of a job
// without standing tasks of which none runs, or nil.
func (c *Cell) observeIdle(now time.Time, j *job) (first *task) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for i := range s.tasks {
				t := &s.tasks[i]
				if s.Standing || c.confirmedRunning(now, t) {
					j.idle.Observe(now, true)
					return nil
				}
				if first == nil && s.unfinishedDeps == 0 && !t.done {
					first = t
				}
			}
		}
	}
	j.idle.Observe(now, first == nil)
	return first
}

// confirmedRunning reports whether a worker has confirmed a run of the task within the
// duration of a lease.
func (c *Cell) confirmedRunning(now time.Time, t *task) bool {
	return slices.ContainsFunc(t.attempts, func(a *attempt) bool {
		return a.state == attemptRunning && now.Sub(a.confirmedAt) < c.cfg.Lease
	})
}

// noteLongestDown returns the longest downtime and that with room. It logs why the task
// with the latter does not run.
func (c *Cell) noteLongestDown(now time.Time, what string, down []downTask) (longest, withRoom time.Duration) {
	hasRoom := func(t *task) bool { return slices.ContainsFunc(c.workerList, t.step.hasRoomAt) }
	byName := func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.step.occ.job.ID, b.step.occ.job.ID), a.step.compare(b.step))
	}
	longest, first, found := downtime.Longest(down, byName, hasRoom)
	if found && first.Downtime > 0 {
		c.noteDown(now, what, first)
	}
	return longest, first.Downtime
}

// hasRoomAt reports whether a worker has room for a task of the step, whatever this owner
// believes of the worker's health.
func (s *step) hasRoomAt(w *worker) bool {
	q := s.occ.job.queue
	return w.listed && !w.info.Draining && !w.evacuated && (q == nil || w.info.Service == q.Service) &&
		w.orphans == 0 && s.Size.Fits(w.free()) && w.hasLabel(s)
}

// noteDown logs why a task does not run although a worker has room for it.
func (c *Cell) noteDown(now time.Time, what string, down downTask) {
	t := down.Value
	state := "not waiting"
	switch {
	case t.step.occ.job.queue == nil:
		state = "its queue is not configured"
	case len(t.attempts) > 0:
		a, w := t.attempts[0], t.attempts[0].worker
		state = fmt.Sprintf("run %d at %s (listed %t, silent %t) is %s, leases end in %v", a.run, w.info.ID, w.listed, w.silent(), a.state, w.allLeasesEnd().Sub(now).Round(time.Millisecond))
	case t.queued && c.mayRunElsewhere(now, t):
		owing := slices.DeleteFunc(slices.Clone(c.workerList), func(w *worker) bool { return !w.owesReport() })
		state = fmt.Sprintf("may be running at one of %d workers that have not reported", len(owing))
	case t.queued:
		state = "waiting"
	}
	c.note(Note{Event: "waiting", Job: t.step.occ.job.ID, Task: t.name().String(), Detail: fmt.Sprintf(
		"%s down for %v with room for it: %s; workers: %s", what, down.Downtime.Round(time.Millisecond), state, c.describeObstacles(now, t))})
}

// String returns the state for log entries.
func (s attemptState) String() string {
	names := [...]string{"awaiting the store", "starting", "unknown", "running"}
	if int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}
