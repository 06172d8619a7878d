// Package taskroom decides whether a job and its tasks fit into the memory of the VM that
// owns the cell.
//
// It answers the load of callers whose requests are small and whose jobs are not: a request
// of a hundred bytes may submit a job of a hundred thousand tasks, or one with as many
// occurrences that are all due at once. It also answers callers that submit small jobs as
// fast as they can. Admission by processor time accepts both if the tasks are short, and
// each later owner would restore them.
package taskroom

import (
	"time"

	"bamboofall.example/bamboofall"
)

const (
	// bytesPerTask, bytesPerJob and bytesPerEndedJob are the memory of an open task in the
	// cell, of an open job beside its tasks and its payload, and of one that has ended.
	bytesPerTask     = 512
	bytesPerJob      = 4 << 10
	bytesPerEndedJob = 1 << 10
	// memoryShare is the share of the VM's memory that jobs may take, as 1/memoryShare.
	memoryShare = 4
	// defaultMemory is the memory of a VM of which it is not known.
	defaultMemory = 512 << 20
	// horizon is how far ahead occurrences count that are not open yet.
	horizon = time.Minute
)

// Room is the memory that a VM has for jobs. Use For. The zero Room has no bound.
type Room struct{ bytes int }

// For returns the room of a VM with the given memory, or with the default if it is zero.
func For(memoryBytes uint64) Room {
	if memoryBytes == 0 {
		memoryBytes = defaultMemory
	}
	return Room{int(min(memoryBytes, 1<<50) / memoryShare)}
}

// Fits reports whether a job can be accepted beside others that take held bytes.
func (r Room) Fits(now time.Time, held int, job *bamboofall.Job) bool {
	return r.bytes == 0 || Bytes(now, job, 0, 0) <= r.bytes-held
}

// Bytes returns the memory that a job takes with its tasks; see Tasks.
func Bytes(now time.Time, job *bamboofall.Job, open, next int) int {
	return bytesPerJob + len(job.Payload) + bytesPerTask*Tasks(now, job, open, next)
}

// EndedBytes returns the memory of a number of ended jobs.
func EndedBytes(jobs int) int { return bytesPerEndedJob * jobs }

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
