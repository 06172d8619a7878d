// Package warmup ranks cold workers behind warm ones. A worker that has just started, or whose
// data centre has just been powered on again, is slow until it is warm, and says for how much
// longer.
//
// The load pattern is the return of a data centre under load: a quarter of the workers is
// empty and slow. Emptiest first, they get all that waits, urgent short tasks among it, which
// are late then though warm workers become free within a fraction of their time. A bound on
// what a cold worker may be given was weighed: it brings no more tasks in time than the
// order alone, and tasks wait beside idle workers.
package warmup

import "time"

// penalty is subtracted from the placement score of a worker that has just become cold. It
// outweighs all that makes one warm worker better than another, except the rack with a
// task's data.
const penalty = 4.0

// Worker is the state of a worker that may be cold. The zero value is warm.
type Worker struct {
	// from is when the worker was first known to be cold, and until when it is warm.
	from, until time.Time
}

// Announced applies an announcement that the worker is cold for some time, or warm.
func (w *Worker) Announced(now time.Time, coldFor time.Duration) {
	if coldFor <= 0 {
		*w = Worker{}
		return
	}
	if !w.Cold(now) {
		w.from = now
	}
	w.until = now.Add(coldFor)
}

// Cold reports whether the worker is cold.
func (w *Worker) Cold(now time.Time) bool { return now.Before(w.until) }

// Demotion returns what is subtracted from the placement score of the worker. It falls to
// zero as the worker warms up.
func (w *Worker) Demotion(now time.Time) float64 {
	if !w.Cold(now) {
		return 0
	}
	return penalty * min(1, float64(w.until.Sub(now))/float64(w.until.Sub(w.from)))
}
