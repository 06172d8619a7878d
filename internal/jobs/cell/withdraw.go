package cell

import (
	"slices"
	"time"

	"bamboofall.example/bamboofall"
)

// Withdraw takes back a job of which nothing is stored, sent or promised, as if it had never
// been submitted. TakeBack is called if records of the job are part of a flush that is not
// stored: it removes these from the flush, or reports false if they may be stored. Withdraw
// reports whether the job is unknown from now on.
//
// No start of such a job has been ordered, as a start requires that the job is stored.
func (c *Cell) Withdraw(now time.Time, id bamboofall.JobID, takeBack func(keys ...string) bool) bool {
	j := c.jobs[id]
	if j == nil || j.promised || j.state != bamboofall.JobQueued || j.specFlush == 0 || c.IsStored(j.specFlush) {
		return false
	}
	p := &c.pending
	if p.specs[id] == nil && !takeBack(keyJob+string(id), keyProgress+string(id)) {
		return false
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			c.unqueueStep(s)
			for i := range s.tasks {
				for _, a := range slices.Clone(s.tasks[i].attempts) {
					c.release(a)
				}
			}
		}
	}
	c.removeOpen(j)
	delete(c.recurring, j)
	delete(c.jobs, id)
	c.countBytes(now, j)
	// An earlier job with the ID may have left records.
	p.forget(id)
	p.unstoredJobs = slices.DeleteFunc(p.unstoredJobs, func(u unstoredJob) bool { return u.job == j })
	p.unstoredStates = slices.DeleteFunc(p.unstoredStates, func(s stateChange) bool { return s.job == j })
	c.counters.Withdrawn++
	c.note(Note{Event: "withdrawn", Job: id, Detail: "it was not stored in its caller's time, waited " + now.Sub(j.accepted).Round(time.Millisecond).String()})
	return true
}

// submittedFlush returns the flush that makes the submission of a known job durable.
func (j *job) submittedFlush() uint64 {
	if j.promised {
		return 0 // the inbox holds it
	}
	return j.specFlush
}
