package placement

import (
	"testing"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
)

func worker(free int64) Worker {
	return Worker{Room: bamboofall.Resources{MilliProcessors: 32_000}, Free: bamboofall.Resources{MilliProcessors: free}}
}

// checkPrefers checks that worker a has a higher score than worker b.
func checkPrefers(t *testing.T, name string, kind TaskKind, a, b Worker) {
	t.Helper()
	size := bamboofall.Resources{MilliProcessors: 4000}
	assert.Assert(t, Score(kind, size, a) > Score(kind, size, b), name)
}

func TestScorePrefersBetterWorker(t *testing.T) {
	with := func(w Worker, change func(*Worker)) Worker {
		change(&w)
		return w
	}
	halfFull, empty := worker(16_000), worker(32_000)
	checkPrefers(t, "normal tasks are packed", Normal, halfFull, empty)
	checkPrefers(t, "best-effort tasks are spread", BestEffort, empty, halfFull)
	checkPrefers(t, "best-effort tasks go where tails are lowest", BestEffort,
		with(halfFull, func(w *Worker) { w.Tail = 0.4 }), with(empty, func(w *Worker) { w.Tail = 0.75 }))
	checkPrefers(t, "serving tasks are grouped by image", Serving, with(halfFull, func(w *Worker) { w.SameImage = true }), empty)
	checkPrefers(t, "serving tasks prefer an empty worker to one with another image", Serving,
		empty, with(halfFull, func(w *Worker) { w.OtherImage = true }))
	checkPrefers(t, "serving tasks avoid workers of high rank", Serving,
		with(halfFull, func(w *Worker) { w.OtherImage = true }), with(empty, func(w *Worker) { w.Rank = 0.95 }))
	checkPrefers(t, "workers with failures are avoided", Normal, empty, with(halfFull, func(w *Worker) { w.Failures = 2 }))
	checkPrefers(t, "slow workers are avoided", Normal, empty, with(halfFull, func(w *Worker) { w.Slowdown = 5 }))
	checkPrefers(t, "the rack with the data outweighs failures", Normal,
		with(empty, func(w *Worker) { w.OnRack, w.Failures = true, 2 }), halfFull)
}
