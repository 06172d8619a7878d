package suspicion

import "time"

const (
	// avoidFor is how long a worker gets no new task after it did not accept an order.
	avoidFor = 300 * time.Millisecond
	// slowdownWeight is the weight of a new sample in the slowdown of a worker, which has
	// few samples.
	slowdownWeight = 0.3
)

// Health is the state by which placement avoids failing or slow workers. The zero value is
// that of a worker that is neither.
type Health struct {
	Worker
	avoidUntil time.Time
	slowdown   float64
}

// Avoid records that the worker did not accept an order.
func (h *Health) Avoid(now time.Time) { h.avoidUntil = now.Add(avoidFor) }

// Accepts reports whether the worker may be given a task.
func (h *Health) Accepts(now time.Time) bool { return !now.Before(h.avoidUntil) && h.Available(now) }

// Slowdown returns the mean of actual over expected run time, minus one.
func (h *Health) Slowdown() float64 { return h.slowdown }

// RecordRunTime adds the ratio of the actual to the expected run time of a run.
func (h *Health) RecordRunTime(ratio float64) {
	h.slowdown += slowdownWeight * (ratio - 1 - h.slowdown)
}

// RecordSlowRun records a run that is slower than expected by a factor.
func (h *Health) RecordSlowRun(factor float64) { h.slowdown = max(h.slowdown, factor-1) }
