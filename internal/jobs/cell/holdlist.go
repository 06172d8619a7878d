package cell

import (
	"slices"
	"strings"
	"time"
)

// holdAllEvery is the time after which all workers are looked at for a call that is
// due by time alone. It is little against the shortest such time, holdRetry.
const holdAllEvery = 5 * time.Millisecond

// holdList is where a call may be due by what has happened.
type holdList struct {
	workers []*worker
	// allAt is when all workers were looked at.
	allAt time.Time
}

// lookAt notes that a call to a worker may be due.
func (c *Cell) lookAt(w *worker) {
	if !w.looked {
		w.looked = true
		c.holds.workers = append(c.holds.workers, w)
	}
}

// dueHolds returns the workers to which a call may be due, in their order.
func (c *Cell) dueHolds(now time.Time) []*worker {
	l := &c.holds
	for _, w := range l.workers {
		w.looked = false
	}
	due := l.workers
	l.workers = l.workers[:0]
	if now.Sub(l.allAt) >= holdAllEvery {
		l.allAt = now
		return c.order
	}
	due = slices.DeleteFunc(due, func(w *worker) bool { return c.workers[w.info.ID] != w })
	slices.SortFunc(due, func(a, b *worker) int { return strings.Compare(a.info.ID, b.info.ID) })
	return due
}
