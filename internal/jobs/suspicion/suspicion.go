// Package suspicion tells sick workers from sick jobs by how runs end.
//
// It answers workers that fail or stall whatever they start while they look
// healthy, beside jobs that fail everywhere. A worker that fails several runs in
// a row is left alone for a while, then tried with one task. Failures of a job
// that fails on several workers say nothing of the worker.
package suspicion

import "time"

const (
	// failuresInRow make a worker suspect. One failure is common: tasks fail by
	// themselves at some percent.
	failuresInRow = 2
	// firstPause and maxPause bound how long a suspect worker is left alone.
	firstPause = 3 * time.Second
	maxPause   = 12 * time.Second
	// probePause is the time between tasks for a worker that is tried again.
	probePause = 2 * time.Second
	// stallTime is how long a worker may show no progress of a run, stallPercent
	// the least progress, in percent of the expected time, that may stay away:
	// progress is told in whole percents.
	stallTime    = 1500 * time.Millisecond
	stallPercent = 4
	// MaxRestarts is how often a task is begun again because a run is slow or
	// stands still. If it is the same elsewhere the task is to blame.
	MaxRestarts = 2
	// slowFactor and slowSlack tell when a run is better begun again elsewhere:
	// declared times are off by up to a half.
	slowFactor = 1.7
	slowSlack  = 500 * time.Millisecond
)

// Worker is what is held against a worker. The zero value trusts it.
type Worker struct {
	failures int
	pause    time.Duration
	until    time.Time
}

// Failed notes a failure that the job is not to blame for. It reports true if
// the worker is suspect from now on.
func (w *Worker) Failed(now time.Time, stalled bool) bool {
	w.failures++
	if w.failures < failuresInRow && !stalled {
		return false
	}
	if now.Before(w.until) {
		return false
	}
	w.pause = min(max(firstPause, 2*w.pause), maxPause)
	w.until = now.Add(w.pause)
	w.failures = max(w.failures, failuresInRow)
	return true
}

// Succeeded notes a run that ended well.
func (w *Worker) Succeeded() { *w = Worker{} }

// Failures returns the number of failures in a row.
func (w *Worker) Failures() int { return w.failures }

// Takes reports whether a worker may be given a task.
func (w *Worker) Takes(now time.Time) bool { return !now.Before(w.until) }

// Given notes that a worker was given a task. A suspect worker is tried with one
// task at a time. It need not be empty for it, as it may run tasks that last.
func (w *Worker) Given(now time.Time) {
	if w.failures >= failuresInRow {
		w.until = now.Add(probePause)
	}
}

// Progress is what is known of a run.
type Progress struct {
	// Began is when the run was ordered, Seen when the worker last showed it,
	// Moved when it last showed a new percent.
	Began, Seen, Moved time.Time
	Percent            int
	// Expected is how long such a run takes.
	Expected time.Duration
}

// Stalled reports whether a run stands still though its worker answers.
func (p Progress) Stalled() bool {
	return p.Seen.Sub(p.Moved) >= max(stallTime, p.Expected*stallPercent/100)
}

// Slow reports whether a run would be done sooner if it began again elsewhere.
func (p Progress) Slow() bool {
	ran := p.Seen.Sub(p.Began)
	if p.Percent <= 0 || ran < p.Expected/2 {
		return false
	}
	remaining := ran * time.Duration(100-p.Percent) / time.Duration(p.Percent)
	return remaining > time.Duration(slowFactor*float64(p.Expected))+slowSlack
}

// Factor returns how many times as long as expected a run takes.
func (p Progress) Factor() float64 {
	if p.Percent <= 0 || p.Expected <= 0 {
		return 1
	}
	return float64(p.Seen.Sub(p.Began)) * 100 / float64(p.Percent) / float64(p.Expected)
}
