package sim

import (
	"slices"

	"bamboofall.example/bamboofall"
)

// JobsWithoutRun returns the open jobs without standing tasks that have no run at any
// worker, in the order of their IDs.
func (w *World) JobsWithoutRun() (idle []bamboofall.JobID) {
	for id, job := range w.jobs {
		state, known := w.Lookup(id)
		if !known || state.Ended() || w.hasRun(job) {
			continue
		}
		if !slices.ContainsFunc(job.spec.Steps, func(s bamboofall.Step) bool { return s.Standing }) {
			idle = append(idle, id)
		}
	}
	slices.Sort(idle)
	return idle
}

// hasRun reports whether a task of the job is at a worker.
func (w *World) hasRun(job *submission) bool {
	for i, s := range job.spec.Steps {
		for k := range s.Count {
			if w.auditOf(bamboofall.TaskName{Job: job.spec.ID, Step: i, Index: k}).running > 0 {
				return true
			}
		}
	}
	return false
}
