package cell

import (
	"fmt"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
)

// keepCheckpoint stores the newest checkpoint of a task.
func (c *Cell) keepCheckpoint(t *task, checkpoint string) {
	if checkpoint == "" || t.done {
		return
	}
	if g := t.step.gang; g != nil {
		g.checkpoint = checkpoint
		return
	}
	t.checkpoint = checkpoint
}

// applyEnds applies the run ends that a worker lists.
func (c *Cell) applyEnds(now time.Time, w *worker, ends []bamboofall.End) {
	for _, e := range ends {
		if e.Number <= w.receivedEnd {
			continue
		}
		w.receivedEnd = e.Number
		w.receivedEndFlush = c.pending.nextFlush
		c.applyEnd(now, w, e)
	}
	if w.receivedEnd > w.storedEnd && c.pending.empty() {
		// These ends changed nothing, but records of earlier ones may still be on their
		// way to the store.
		w.receivedEndFlush = c.pending.nextFlush - 1
	}
}

func (c *Cell) applyEnd(now time.Time, w *worker, e bamboofall.End) {
	j := c.jobs[e.Task.Job]
	t := c.findTask(e.Task)
	if t == nil {
		return
	}
	var a *attempt
	for _, b := range w.attempts {
		if b.task == t && b.run == e.Run {
			a = b
		}
	}
	c.note(Note{Event: "end " + e.Cause.String(), Job: j.ID, Task: e.Task.String(), Worker: w.info.ID, Run: e.Run, Routine: e.Cause == bamboofall.EndDone})
	c.markJobStarted(j)
	if a != nil {
		c.accountRun(now, a, e.Cause)
		c.release(a)
	}
	c.keepCheckpoint(t, e.Checkpoint)
	if slices.Contains(t.crashes.Runs(), e.Run) {
		t.crashes.Retract(e.Run) // the worker's process has not ended
	}
	switch e.Cause {
	case bamboofall.EndDone:
		c.counters.Done++
		c.learnDone(now, w, a, t)
		if t.step.gang != nil {
			c.completeGang(now, t.step)
		} else {
			c.completeTask(now, t)
		}
		for _, other := range slices.Clone(t.attempts) {
			c.stop(now, other, "another copy of the task completed")
		}
	case bamboofall.EndFailed:
		c.counters.TaskFailures++
		c.learnFailure(now, w, t)
		c.countFailure(now, t, e.Run)
	case bamboofall.EndLapsed:
		c.counters.LostRuns++
	default:
		c.counters.Stopped++
	}
	if !j.state.Ended() {
		c.pending.touch(j)
	}
	c.enqueue(t)
}

// completeGang completes all tasks of a gang, as one end is reported for all of them.
func (c *Cell) completeGang(now time.Time, s *step) {
	for i := range s.tasks {
		c.completeTask(now, &s.tasks[i])
	}
}

// countFailure counts a failed run once per run number, and fails the job when the
// attempts are used up.
func (c *Cell) countFailure(now time.Time, t *task, run uint32) {
	s := t.step
	j := s.occ.job
	if t.done {
		return
	}
	runs := &t.failedRuns
	if s.gang != nil {
		runs = &s.gang.failedRuns
	}
	if s.Standing {
		// Only a standing task can fail so often that it uses up the run numbers of an
		// epoch. A successor continues above the highest one.
		*runs = []uint32{max(run, highestRun(*runs))}
		return
	}
	if slices.Contains(*runs, run) {
		return
	}
	*runs = append(*runs, run)
	if q := j.queue; q != nil && len(*runs) >= q.MaxAttempts {
		c.finish(now, j, bamboofall.JobFailed, fmt.Sprintf("task %v failed %d times, last on worker %s", t.name(), len(*runs), t.lastFailedOn))
	}
}

// highestRun returns the highest of run numbers, or zero if there are none.
func highestRun(runs []uint32) uint32 {
	highest := uint32(0)
	for _, run := range runs {
		highest = max(highest, run)
	}
	return highest
}
