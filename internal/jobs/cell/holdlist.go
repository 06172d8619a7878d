package cell

import (
	"slices"
	"strings"
	"time"
)

// holdScanInterval is the time after which all workers are looked at for a call that is
// due by time alone. It is little against the shortest such time, holdRetry.
const holdScanInterval = 5 * time.Millisecond

// holdCandidates is where a call may be due by what has happened.
type holdCandidates struct {
	workers []*worker
	// scannedAt is when all workers were looked at.
	scannedAt time.Time
}

// queueHold notes that a call to a worker may be due.
func (c *Cell) queueHold(w *worker) {
	if !w.holdQueued {
		w.holdQueued = true
		c.holdQueue.workers = append(c.holdQueue.workers, w)
	}
}

// dueHolds returns the workers to which a call may be due, in their order.
func (c *Cell) dueHolds(now time.Time) []*worker {
	l := &c.holdQueue
	for _, w := range l.workers {
		w.holdQueued = false
	}
	due := l.workers
	l.workers = l.workers[:0]
	if now.Sub(l.scannedAt) >= holdScanInterval {
		l.scannedAt = now
		return c.workerList
	}
	due = slices.DeleteFunc(due, func(w *worker) bool { return c.workers[w.info.ID] != w })
	slices.SortFunc(due, func(a, b *worker) int { return strings.Compare(a.info.ID, b.info.ID) })
	return due
}
