package cell

import (
	"time"

	"bamboofall.example/bamboofall/internal/state/lease"
	"bamboofall.example/bamboofall/internal/wire/jobpb"
)

// SetMark sets the last mark that this owner has stored, to which the ends of leases are
// related in records. Without a mark a successor waits for all leases of former owners.
func (c *Cell) SetMark(m lease.Mark) { c.mark = m }

// recordEndAfter is how long a worker must be silent until the store is told when the leases
// that former owners granted end. Once it is, a worker that answers waits for the store before
// it gets a lease.
const recordEndAfter = time.Second

// watchUnreported returns when the last lease of a former owner ends at the workers that owe
// this one a report, or zero if none does. It stores the end at a worker that does not answer,
// and thus gets no lease, so that its tasks do not wait anew after another handover.
func (c *Cell) watchUnreported(now time.Time) (last time.Time) {
	for _, w := range c.workerList {
		if !w.owesReport() {
			continue
		}
		end := c.cfg.FormerLeasesEnd
		if !w.answered {
			end = w.leasesEnd
		}
		if end.After(last) {
			last = end
		}
		if w.recorded && !w.answered && !w.recordTellsEnd && w.silent() && now.Sub(w.silentSince) >= recordEndAfter {
			w.recordTellsEnd = true
			c.pending.workers[w.info.ID] = w
		}
	}
	return last
}

// encodeLeasesEnd adds the end of the leases of a silent worker to its record.
func (c *Cell) encodeLeasesEnd(w *worker, m *jobpb.Worker) {
	if (w.recordClosed || w.recordTellsEnd) && !w.leasesEnd.IsZero() && !c.mark.At.IsZero() {
		w.endRecorded = true
		m.Mark, m.LeasesEndMs = c.mark.End, w.leasesEnd.Sub(c.mark.At).Milliseconds()+1
	}
}

// restoredLeasesEnd returns the end of the leases of a restored worker.
func (c *Cell) restoredLeasesEnd(m *jobpb.Worker) time.Time {
	end := c.cfg.FormerLeasesEnd
	if m.GetMark() == 0 || c.cfg.MarkSeenBy == nil {
		return end
	}
	seen := c.cfg.MarkSeenBy(m.GetMark())
	if recorded := seen.Add(time.Duration(m.GetLeasesEndMs()) * time.Millisecond); !seen.IsZero() && recorded.Before(end) {
		return recorded
	}
	return end
}

// mayGrant reports whether a worker may be granted leases: not while a successor might
// restore a record by which they end earlier.
func (c *Cell) mayGrant(w *worker) bool { return !w.endRecorded || c.IsStored(w.recordFlush) }
