// Package warmup decides how much a cold worker is given. A worker that has just started,
// or whose data centre has just been powered on again, is slow until it is warm, and says
// for how much longer.
//
// The load pattern is the return of a data centre under load: a quarter of the workers is
// empty and slow. Filled at once, they get all that waits, urgent short tasks among it,
// which are late then though warm workers become free within a fraction of their time. So
// warm workers go first, and a cold one is filled in steps. Where all workers are cold, as at
// the start of a fleet, there is nothing to prefer, and they are filled at once.
package warmup

import "time"

const (
	// steps is the number of steps in which the share of a cold worker that may be
	// reserved rises to the whole.
	steps = 4
	// Penalty is subtracted from the placement score of a worker that has just become
	// cold. It outweighs all that makes one warm worker better than another, except the rack
	// with a task's data.
	Penalty = 4.0
)

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

// left returns the share of the cold time that is left.
func (w *Worker) left(now time.Time) float64 {
	if !w.Cold(now) {
		return 0
	}
	return min(1, float64(w.until.Sub(now))/float64(w.until.Sub(w.from)))
}

// Step returns the number of the present step, which rises from 1 to 4 as the worker
// warms up.
func (w *Worker) Step(now time.Time) int {
	return min(steps, 1+int(steps*(1-w.left(now))))
}

// Accepts reports whether a worker may be given a task that makes the reserved part of its
// processors as large as stated. An idle worker accepts any task.
func (w *Worker) Accepts(now time.Time, reserved, size, room int64) bool {
	return reserved <= 0 || (reserved+size)*steps <= room*int64(w.Step(now))
}

// Demotion returns what is subtracted from the score of the worker.
func (w *Worker) Demotion(now time.Time) float64 { return Penalty * w.left(now) }
