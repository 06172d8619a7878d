package placement

import (
	"testing"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
)

func worker(free int64) Worker {
	return Worker{Room: bamboofall.Resources{MilliProcessors: 32_000}, Free: bamboofall.Resources{MilliProcessors: free}}
}

// better checks that a task goes to the first worker rather than the second.
func better(t *testing.T, name string, kind Kind, a, b Worker) {
	t.Helper()
	size := bamboofall.Resources{MilliProcessors: 4000}
	assert.Assert(t, Score(kind, size, a) > Score(kind, size, b), name)
}

func TestScorePrefers(t *testing.T) {
	with := func(w Worker, f func(*Worker)) Worker {
		f(&w)
		return w
	}
	half, empty := worker(16_000), worker(32_000)
	better(t, "normal tasks are packed", Normal, half, empty)
	better(t, "filling tasks are spread", Filling, empty, half)
	better(t, "filling tasks go where they disturb least", Filling,
		with(half, func(w *Worker) { w.Tail = 0.4 }), with(empty, func(w *Worker) { w.Tail = 0.75 }))
	better(t, "serving tasks go to their image", Serving, with(half, func(w *Worker) { w.SameImage = true }), empty)
	better(t, "serving tasks go to an empty worker rather than to another image", Serving,
		empty, with(half, func(w *Worker) { w.OtherImage = true }))
	better(t, "serving tasks leave some workers free", Serving,
		with(half, func(w *Worker) { w.OtherImage = true }), with(empty, func(w *Worker) { w.Rank = 0.95 }))
	better(t, "a worker that has failed is avoided", Normal, empty, with(half, func(w *Worker) { w.Doubt = 2 }))
	better(t, "a slow worker is avoided", Normal, empty, with(half, func(w *Worker) { w.Slow = 5 }))
	better(t, "the rack with the data counts most", Normal,
		with(empty, func(w *Worker) { w.OnRack, w.Doubt = true, 2 }), half)
}
