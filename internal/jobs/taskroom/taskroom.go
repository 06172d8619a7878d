// Package taskroom decides whether the tasks of a job fit into the memory of the VM that
// owns the cell.
//
// It answers the load of callers whose requests are small and whose jobs are not: a request
// of a hundred bytes may submit a job of a hundred thousand tasks, or one with as many
// occurrences that are all due at once. Admission by processor time accepts them if their
// tasks are short, and each later owner would restore them.
package taskroom

import (
	"time"

	"bamboofall.example/bamboofall"
)

const (
	// bytesPerTask is the memory of an open task in the cell, and memoryShare the share of
	// the VM's memory that open tasks may take, as 1/memoryShare.
	bytesPerTask = 512
	memoryShare  = 4
	// defaultMemory is the memory of a VM of which it is not known.
	defaultMemory = 512 << 20
	// horizon is how far ahead occurrences count that are not open yet.
	horizon = time.Minute
)

// Room is the number of open tasks that a VM has memory for. Use For.
type Room struct{ tasks int }

// For returns the room of a VM with the given memory, or with the default if it is zero.
func For(memoryBytes uint64) Room {
	if memoryBytes == 0 {
		memoryBytes = defaultMemory
	}
	return Room{int(min(memoryBytes, 1<<50) / memoryShare / bytesPerTask)}
}

// Fits reports whether a job can be accepted beside the given number of open tasks.
func (r Room) Fits(now time.Time, open int, job *bamboofall.Job) bool {
	return Tasks(now, job, 0, 0) <= r.tasks-open
}

// Tasks returns the number of tasks that a job keeps open soon: those of its open
// occurrences and of the occurrences from number next on that are due within the horizon.
func Tasks(now time.Time, job *bamboofall.Job, open, next int) int {
	occurrences := open
	switch ahead := now.Add(horizon).Sub(job.FirstRun); {
	case job.Repetitions == 0:
		occurrences = 1
	case ahead < 0:
	case job.Interval <= 0:
		occurrences += max(0, job.Repetitions-next)
	default:
		occurrences += max(0, min(job.Repetitions, int(ahead/job.Interval)+1)-next)
	}
	tasks := 0
	for _, s := range job.Steps {
		tasks += s.Count
	}
	return tasks * occurrences
}
