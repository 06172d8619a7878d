package cell

import (
	"fmt"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/freshness"
	"bamboofall.example/bamboofall/internal/jobs/jobspec"
)

// WorkersRead records that the list of workers has been read completely. Until it has
// been for the first time, it counts as read.
func (c *Cell) WorkersRead(now time.Time) { c.workerListing.Read(now) }

// capacityReliable reports whether the announced capacity of a worker may be relied on.
// That of a former process may not.
func (c *Cell) capacityReliable(now time.Time, w *worker) bool {
	if !w.info.Born.IsZero() && w.info.Born.Before(w.incarnation) {
		return false
	}
	return c.workerListing.Reliable(now, w.announcementAge(now))
}

// capacitiesReliable reports whether the capacities may be relied on by which an attempt,
// and all others of its gang, were placed.
func (c *Cell) capacitiesReliable(now time.Time, a *attempt) bool {
	s := a.task.step
	if s.gang == nil {
		return c.capacityReliable(now, a.worker)
	}
	for i := range s.tasks {
		for _, member := range s.tasks[i].attempts {
			if !c.capacityReliable(now, member.worker) {
				return false
			}
		}
	}
	return true
}

// announcementAge returns the age of the latest announcement of a worker.
func (w *worker) announcementAge(now time.Time) time.Duration {
	if w.info.Clock == 0 || w.clock == 0 {
		return freshness.UnknownAge
	}
	return w.clock + now.Sub(w.clockAt) - w.info.Clock
}

// noteResized logs a change of the capacity in the announcements of a worker. A worker
// that was restored was not announced before.
func (c *Cell) noteResized(w *worker, former bamboofall.Worker) {
	if former.Room == w.info.Room || former.Service == "" {
		return
	}
	c.note(Note{Event: "worker resized", Worker: w.info.ID, Detail: fmt.Sprintf(
		"%s to %s; reserved %s", jobspec.DescribeResources(former.Room), jobspec.DescribeResources(w.info.Room), jobspec.DescribeResources(w.used))})
}

// withdrawUnordered withdraws starts that are not ordered yet: all of a silent, draining or
// evacuated worker, and of an overfull one the latest until the others fit. Runs that may have
// started go on.
func (c *Cell) withdrawUnordered(now time.Time, w *worker) {
	if !w.silent() && !w.info.Draining && !w.evacuated && w.free().Valid() {
		return
	}
	for _, a := range slices.Backward(slices.Clone(w.attempts)) {
		switch {
		case !a.attached || a.state != attemptAwaitingStore:
		case w.silent():
			c.withdraw(now, a, "the worker is silent")
		case w.info.Draining:
			c.withdraw(now, a, "the worker is draining")
		case w.evacuated:
			c.withdraw(now, a, "its data centre is evacuated")
		case !w.free().Valid():
			c.withdraw(now, a, "the worker has shrunk")
		}
	}
}

// withdraw withdraws a start that is not ordered yet, and all of its gang.
func (c *Cell) withdraw(now time.Time, a *attempt, reason string) {
	s := a.task.step
	c.noteRun(a, "start not done", rare, reason)
	c.stop(now, a, reason)
	c.enqueue(a.task)
	if s.gang != nil {
		c.withdrawGang(now, s, reason)
	}
}

// withdrawGang stops all runs of a gang, one of which was not started.
func (c *Cell) withdrawGang(now time.Time, s *step, reason string) {
	for i := range s.tasks {
		t := &s.tasks[i]
		for _, other := range slices.Clone(t.attempts) {
			c.stop(now, other, reason)
		}
		c.enqueue(t)
	}
}
