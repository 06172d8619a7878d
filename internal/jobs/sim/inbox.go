package sim

import (
	"slices"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
)

// Defer stores a job in the inbox, as an entry VM does that reaches the store and not the
// owner. The job is accepted. It reports false if the store is down.
func (w *World) Defer(spec *bamboofall.Job) bool {
	if w.StoreDown {
		return false
	}
	job := &submission{spec: spec, submittedAt: w.now, accepted: true, stored: true}
	job.drawRunTimes(w.random, w.cfg.RunTimeSpread)
	for _, q := range w.cfg.Queues {
		if q.Name == spec.Queue {
			job.queue = q
		}
	}
	w.Stats.Accepted++
	w.jobs[spec.ID] = job
	w.inbox = append(w.inbox, spec)
	w.watchJob(job)
	w.schedule(appendDuration, w.readInbox)
	return true
}

// readInbox makes the owner read the inbox.
func (w *World) readInbox() {
	if w.cell == nil || len(w.inbox) == 0 {
		return
	}
	if w.StoreDown {
		w.schedule(tick, w.readInbox)
		return
	}
	w.takeInbox()
	w.step()
}

// takeInbox passes the jobs in the inbox to the owner. They stay there until it has stored
// them.
func (w *World) takeInbox() {
	owner := w.cell
	for _, spec := range w.inbox {
		flush := owner.SubmitAccepted(w.now, spec, nil)
		w.whenStored(owner, flush, func() {
			w.inbox = slices.DeleteFunc(slices.Clone(w.inbox), func(s *bamboofall.Job) bool { return s == spec })
		})
	}
}

// whenStored calls done once an owner has stored a flush, unless it is replaced before.
func (w *World) whenStored(owner *cell.Cell, flush uint64, done func()) {
	switch {
	case w.cell != owner:
	case owner.IsStored(flush):
		done()
	default:
		w.schedule(tick, func() { w.whenStored(owner, flush, done) })
	}
}
