package cell

import (
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/taskroom"
)

// OpenTasks returns the number of tasks that the open jobs keep in memory.
func (c *Cell) OpenTasks(now time.Time) int {
	tasks := 0
	for _, j := range c.open {
		tasks += taskroom.Tasks(now, j.Job, len(j.occurrences), j.nextOccurrence)
	}
	return tasks
}

// Knows reports whether a job was accepted and is not forgotten.
func (c *Cell) Knows(id bamboofall.JobID) bool { return c.jobs[id] != nil }
