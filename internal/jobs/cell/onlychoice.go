package cell

import (
	"slices"
	"time"
)

// neededBy reports whether a worker is the only one that can run the tasks of a step, or
// those of a step that waits.
func (c *Cell) neededBy(now time.Time, w *worker, s *step) bool {
	if c.isOnlyChoice(now, w, s) {
		return true
	}
	for waiting := range c.ready {
		if len(waiting.waiting) > 0 && c.isOnlyChoice(now, w, waiting) {
			return true
		}
	}
	return false
}

// isOnlyChoice reports whether a worker can run the tasks of a step, and no other one that is
// neither suspect nor out of use can, however empty it is.
func (c *Cell) isOnlyChoice(now time.Time, w *worker, s *step) bool {
	return w.suits(s) && !slices.ContainsFunc(c.workerList, func(x *worker) bool {
		return x != w && x.usable() && x.health.Available(now) && x.suits(s)
	})
}

// suits reports whether a worker could run a task of a step if it were empty.
func (w *worker) suits(s *step) bool {
	q := s.occ.job.queue
	return q != nil && w.info.Service == q.Service && s.Size.Fits(w.info.Room) && w.hasLabel(s)
}

// hasLabel reports whether the worker has the label that a step requires, if any.
func (w *worker) hasLabel(s *step) bool {
	return s.Label == "" || slices.Contains(w.info.Labels, s.Label)
}
