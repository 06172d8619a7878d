package cell

import (
	"fmt"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/admission"
	"bamboofall.example/bamboofall/internal/jobs/taskroom"
)

// Reasons for a refusal of a job that does not fit into the memory for jobs.
const (
	ReasonTooManyTasks = "tooManyTasks"
	// ReasonJobTooLarge is that of a job that does not fit even if there is no other.
	ReasonJobTooLarge = "jobHasTooManyTasks"
)

// roomRefusal returns the refusal of a job for which there is no memory, or nil.
func (c *Cell) roomRefusal(now time.Time, spec *bamboofall.Job) *Refusal {
	held := c.jobBytes(now)
	if c.cfg.Room.Fits(now, held, spec) {
		return nil
	}
	refusal := &Refusal{Reason: ReasonTooManyTasks, RetryAfter: admission.MaxRetryAfter}
	if !c.cfg.Room.Fits(now, 0, spec) {
		refusal = &Refusal{Reason: ReasonJobTooLarge}
	}
	c.counters.Refused++
	c.note(Note{Event: "refused", Job: spec.ID, Detail: fmt.Sprintf(
		"%s: queue %s, it takes %d bytes, the other jobs take %d", refusal.Reason, spec.Queue, taskroom.Bytes(now, spec, 0, 0), held)})
	return refusal
}

// jobBytes returns about how much memory the jobs take.
func (c *Cell) jobBytes(now time.Time) int {
	bytes := c.countedBytes
	for j := range c.recurring {
		bytes += taskroom.Bytes(now, j.Job, len(j.occurrences), j.nextOccurrence)
	}
	return bytes
}

// countBytes updates countedBytes after a change of a job.
func (c *Cell) countBytes(now time.Time, j *job) {
	bytes := 0
	switch {
	case c.jobs[j.ID] != j || c.recurring[j]:
	case j.state.Ended():
		bytes = taskroom.EndedBytes(1)
	default:
		bytes = taskroom.Bytes(now, j.Job, len(j.occurrences), j.nextOccurrence)
	}
	c.countedBytes += bytes - j.countedBytes
	j.countedBytes = bytes
}

// dropPayload frees the payload of an ended job, which no order needs any more and which
// has been encoded if the job is to be stored. The job is
// kept for callers that ask for its state.
func (j *job) dropPayload() {
	spec := *j.Job
	spec.Payload = ""
	j.Job = &spec
}
