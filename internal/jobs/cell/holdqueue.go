package cell

import (
	"slices"
	"strings"
	"time"
)

// holdScanInterval is the time between checks of all workers for hold calls that become
// due by time alone. It is short against the shortest such time, holdRetryInterval.
const holdScanInterval = 5 * time.Millisecond

// holdCandidates holds the workers for which an event may have made a hold call due.
type holdCandidates struct {
	workers []*worker
	// scannedAt is when all workers were last checked.
	scannedAt time.Time
}

// queueHold records that a hold call to a worker may be due.
func (c *Cell) queueHold(w *worker) {
	if !w.holdQueued {
		w.holdQueued = true
		c.holdQueue.workers = append(c.holdQueue.workers, w)
	}
}

// dueHolds returns the workers to check for a due hold call, sorted by ID.
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
