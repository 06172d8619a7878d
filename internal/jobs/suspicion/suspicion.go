// Package suspicion detects faulty workers and faulty jobs from the way in which
// runs end.
//
// It is meant for workers that look healthy while every run they start fails or
// stalls, in a fleet where some jobs fail everywhere. A worker at which several
// runs in a row fail is suspect: it gets no tasks for a pause and is then probed
// with one task at a time. Failures of a job that fails at several workers are not
// counted against the workers.
package suspicion

import "time"

const (
	// suspectAfterFailures is the number of consecutive failures after which a
	// worker is suspect. A single failure is common, since a few percent of the
	// tasks fail by themselves.
	suspectAfterFailures = 2
	// provenAfterFailures is the number of consecutive failures after which runs from before
	// the last one no longer speak for a worker. Two may be chance.
	provenAfterFailures = 3
	// initialPause and maxPause bound how long a suspect worker gets no tasks.
	initialPause = 3 * time.Second
	maxPause     = 12 * time.Second
	// probeInterval is the time between tasks for a suspect worker after its pause.
	probeInterval = 2 * time.Second
	// A run is stalled if it makes no progress for minStallTime and for
	// stallPercentOfExpected percent of its expected duration. The latter is needed
	// for long runs, as progress is reported in whole percents.
	minStallTime           = 1500 * time.Millisecond
	stallPercentOfExpected = 4
	// MaxRestarts is how often a task is restarted because a run is slow or
	// stalled. If the next run is no better, the cause is the task.
	MaxRestarts = 2
	// A run is slow, and is better restarted elsewhere, if its remaining time
	// exceeds slowRemainingFactor times the expected duration plus
	// slowRemainingSlack. Declared durations are off by up to a half.
	slowRemainingFactor = 1.7
	slowRemainingSlack  = 500 * time.Millisecond
)

// Worker is the failure state of a worker. The zero value is a worker without
// failures.
type Worker struct {
	// consecutiveFailures is the number of failures since the last success, and failedAt the
	// time of the last one.
	consecutiveFailures int
	failedAt            time.Time
	// pause is the length of the latest pause, and pausedUntil the time at which it
	// ends. nextProbeAt is the earliest time of the next task after the pause.
	pause                    time.Duration
	pausedUntil, nextProbeAt time.Time
}

// RecordFailure records a failure that is not the fault of the job. A stalled run makes
// the worker suspect at once. RecordFailure reports whether a new pause begins, which is
// not the case during a pause: the run was started before it.
func (w *Worker) RecordFailure(now time.Time, stalled bool) bool {
	w.consecutiveFailures++
	w.failedAt = now
	if w.consecutiveFailures < suspectAfterFailures && !stalled {
		return false
	}
	if now.Before(w.pausedUntil) {
		return false
	}
	w.pause = min(max(initialPause, 2*w.pause), maxPause)
	w.pausedUntil = now.Add(w.pause)
	w.consecutiveFailures = max(w.consecutiveFailures, suspectAfterFailures)
	return true
}

// ShortenPause limits the pause that begins now to the first one's length, for a worker that
// tasks depend on.
func (w *Worker) ShortenPause(now time.Time) {
	w.pause = initialPause
	w.pausedUntil = now.Add(initialPause)
}

// RecordSuccess records the success of a run, which clears all failures. After several of them
// a run that started before the last one clears nothing: the worker may have become faulty
// since, and its long runs end well for seconds while all new ones fail.
func (w *Worker) RecordSuccess(startedAt time.Time) {
	if w.consecutiveFailures >= provenAfterFailures && startedAt.Before(w.failedAt) {
		return
	}
	*w = Worker{}
}

// Failures returns the number of consecutive failures.
func (w *Worker) Failures() int { return w.consecutiveFailures }

// Available reports whether the worker may be given a task.
func (w *Worker) Available(now time.Time) bool {
	return !now.Before(w.pausedUntil) && !now.Before(w.nextProbeAt)
}

// RecordAssignment records that the worker was given a task. If it is suspect, the next
// task has to wait for probeInterval. The worker need not be empty by then, since it may
// run standing tasks, which do not end by themselves.
func (w *Worker) RecordAssignment(now time.Time) {
	if w.consecutiveFailures >= suspectAfterFailures {
		w.nextProbeAt = now.Add(probeInterval)
	}
}

// Progress is the reported progress of a run.
type Progress struct {
	// OrderedAt is when the run was ordered, ReportedAt when the worker last reported it,
	// and ProgressedAt when the reported percentage last changed.
	OrderedAt, ReportedAt, ProgressedAt time.Time
	// Percent is the part of the run that is done.
	Percent int
	// Expected is the expected duration of the run.
	Expected time.Duration
}

// Stalled reports whether a run makes no progress although its worker reports it.
func (p Progress) Stalled() bool {
	return p.ReportedAt.Sub(p.ProgressedAt) >= max(minStallTime, p.Expected*stallPercentOfExpected/100)
}

// Slow reports whether a run would probably end sooner if it were restarted at
// another worker.
func (p Progress) Slow() bool {
	elapsed := p.ReportedAt.Sub(p.OrderedAt)
	if p.Percent <= 0 || elapsed < p.Expected/2 {
		return false
	}
	remaining := elapsed * time.Duration(100-p.Percent) / time.Duration(p.Percent)
	return remaining > time.Duration(slowRemainingFactor*float64(p.Expected))+slowRemainingSlack
}

// Factor returns the ratio of the projected to the expected duration of a run, or 1
// if it is unknown.
func (p Progress) Factor() float64 {
	if p.Percent <= 0 || p.Expected <= 0 {
		return 1
	}
	return float64(p.ReportedAt.Sub(p.OrderedAt)) * 100 / float64(p.Percent) / float64(p.Expected)
}
