package cell

import (
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/taskroom"
)

// JobBytes returns about how much memory the jobs take.
func (c *Cell) JobBytes(now time.Time) int {
	bytes := taskroom.EndedBytes(len(c.jobs) - len(c.open))
	for _, j := range c.open {
		bytes += taskroom.Bytes(now, j.Job, len(j.occurrences), j.nextOccurrence)
	}
	return bytes
}

// Knows reports whether a job was accepted and is not forgotten.
func (c *Cell) Knows(id bamboofall.JobID) bool { return c.jobs[id] != nil }

// dropPayload frees the payload of an ended job, which no order needs any more and which
// has been encoded if the job is to be stored. The job is
// kept for callers that ask for its state.
func (j *job) dropPayload() {
	spec := *j.Job
	spec.Payload = ""
	j.Job = &spec
}
