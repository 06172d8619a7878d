// Package admission decides whether a job is accepted or refused at once.
//
// It answers a burst that brings more work than the workers can do in time.
// Jobs that can still be in time go first, so a job that will be late takes
// nothing from them, and is worth something to its caller. A job is refused if
// the work ahead of it takes so long that it would be worth nothing, and the
// caller learns when the backlog will be short enough.
package admission

import "time"

const (
	// fullUse is the share of the processors that placement can fill, as
	// whole tasks leave gaps.
	fullUse = 0.9
	// minRetry and MaxRetry bound what callers are told, so that they neither
	// spin nor leave for good.
	minRetry = 200 * time.Millisecond
	MaxRetry = 10 * time.Second
)

// Load is what stands between a job and its end.
type Load struct {
	// Ahead is the work of equal or higher priority that is not done, in
	// processor time.
	Ahead time.Duration
	// MilliProcessors is what the workers have for it.
	MilliProcessors int64
	// FreeMilliProcessors is what is idle now.
	FreeMilliProcessors int64
}

// Job is what is to be decided on.
type Job struct {
	// Work is the processor time of the job.
	Work time.Duration
	// Chain is the time that it takes with all the room it wants.
	Chain time.Duration
	// Until is the time that is left until its end is worth nothing.
	Until time.Duration
	// FirstMilliProcessors is what its first tasks take.
	FirstMilliProcessors int64
}

// Decision is whether a job is accepted.
type Decision struct {
	Accept bool
	// Wait is how long the job is expected to wait for room.
	Wait time.Duration
	// RetryAfter is when a refused job is expected to be accepted.
	RetryAfter time.Duration
}

// Decide decides on a job under a load.
func Decide(l Load, j Job) Decision {
	if l.MilliProcessors <= 0 {
		return Decision{RetryAfter: minRetry * 5}
	}
	rate := float64(l.MilliProcessors) / 1000 * fullUse
	wait := time.Duration(float64(l.Ahead) / rate)
	own := max(j.Chain, time.Duration(float64(j.Work)/rate))
	slack := j.Until - own
	if j.FirstMilliProcessors <= l.FreeMilliProcessors || wait <= slack {
		return Decision{Accept: true, Wait: wait}
	}
	return Decision{Wait: wait, RetryAfter: min(max(wait-max(slack, 0), minRetry), MaxRetry)}
}
