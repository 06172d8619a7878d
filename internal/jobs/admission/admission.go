// Package admission decides whether a job is accepted or refused when it is
// submitted.
//
// It is meant for bursts that bring more work than the workers can complete in
// time. Jobs that can still be in time go first, so a job that will be late takes
// no capacity from them and its result may still have value to its caller. A job is
// refused if it would have to wait so long that its result had no value. The caller
// is told when the backlog is expected to be short enough.
//
// An owner with too little of a processor is a limit of its own: it may be unable to start
// the tasks ahead in time though workers are idle. Then a job is refused if its objective
// cannot be met, as each job that the owner accepts, starts and reports in vain takes its
// processor from others.
package admission

import "time"

const (
	// usableShare is the share of the processors that placement can use, since
	// whole tasks leave gaps.
	usableShare = 0.9
	// minRetryAfter and MaxRetryAfter bound the retry time that callers are told, so
	// that they neither retry in a busy loop nor give up for good.
	minRetryAfter = 200 * time.Millisecond
	MaxRetryAfter = 10 * time.Second
)

// Load describes the backlog and the capacity at the time of the decision.
type Load struct {
	// WorkAhead is the unfinished work that goes before the job, in processor time.
	WorkAhead time.Duration
	// MilliProcessors is the capacity of the workers for this work.
	MilliProcessors int64
	// FreeMilliProcessors is the idle part of that capacity.
	FreeMilliProcessors int64
	// StartsAhead is the number of tasks to start before those of the job, and
	// StartsPerSecond how many the owner of the cell starts, or zero if it is not the owner
	// that limits them.
	StartsAhead     int
	StartsPerSecond float64
}

// startTime returns how long the owner takes for a number of starts.
func (l Load) startTime(starts int) time.Duration {
	if l.StartsPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(starts) / l.StartsPerSecond * float64(time.Second))
}

// Job describes the job to decide on.
type Job struct {
	// Work is the processor time of all its tasks.
	Work time.Duration
	// CriticalPath is the length of its critical path: its duration with unlimited
	// capacity.
	CriticalPath time.Duration
	// TimeToExpiry is the time left until its result has no value any more.
	TimeToExpiry time.Duration
	// TimeToDue is the time left until its objective.
	TimeToDue time.Duration
	// FirstMilliProcessors is what the tasks need that can start at once.
	FirstMilliProcessors int64
	// Starts is the number of its tasks.
	Starts int
}

// Decision says whether a job is accepted.
type Decision struct {
	Accept bool
	// Wait is how long the job is expected to wait for capacity.
	Wait time.Duration
	// RetryAfter is when a refused job is expected to be accepted.
	RetryAfter time.Duration
}

// Decide decides whether a job is accepted under a load.
func Decide(load Load, job Job) Decision {
	if load.MilliProcessors <= 0 {
		return Decision{RetryAfter: minRetryAfter * 5}
	}
	processors := float64(load.MilliProcessors) / 1000 * usableShare
	wait := time.Duration(float64(load.WorkAhead) / processors)
	duration := max(job.CriticalPath, time.Duration(float64(job.Work)/processors), load.startTime(job.Starts))
	slack := job.TimeToExpiry - duration
	startWait := load.startTime(load.StartsAhead)
	startsInTime := load.StartsPerSecond <= 0 || startWait <= job.TimeToDue-duration
	if startsInTime && (job.FirstMilliProcessors <= load.FreeMilliProcessors || wait <= slack) {
		return Decision{Accept: true, Wait: wait}
	}
	excess := wait - max(slack, 0)
	if !startsInTime {
		excess = max(excess, startWait-max(job.TimeToDue-duration, 0))
	}
	return Decision{Wait: max(wait, startWait), RetryAfter: min(max(excess, minRetryAfter), MaxRetryAfter)}
}
