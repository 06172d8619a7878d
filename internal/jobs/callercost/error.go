package callercost

import (
	"math"
	"time"
)

const (
	// errorWeight is the weight of a step in the mean square error of its queue.
	errorWeight = 0.05
	// maxErrorSample bounds what a single step adds, as a faulty worker may take many times as
	// long.
	maxErrorSample = 1.0
)

// Errors holds how far durations are off what was expected, by queue. The zero value has
// learned nothing.
type Errors struct{ squares map[string]float64 }

// Observe adds a step of a queue that took a time other than expected.
func (e *Errors) Observe(queue string, expected, took time.Duration) {
	if expected <= 0 || took <= 0 {
		return
	}
	x := math.Log(float64(took) / float64(expected))
	sample := min(x*x, maxErrorSample)
	if e.squares == nil {
		e.squares = make(map[string]float64)
	}
	if old, known := e.squares[queue]; known {
		sample = old + errorWeight*(sample-old)
	}
	e.squares[queue] = sample
}

// Of returns the standard deviation of the logarithm of actual over expected duration of the
// steps of a queue, or an initial value if none has been observed.
func (e *Errors) Of(queue string, initial float64) float64 {
	if square, known := e.squares[queue]; known {
		return math.Sqrt(square)
	}
	return initial
}
