package cell_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
)

// Best-effort tasks do not count against a worker's CPU. Those of one job must not keep
// another job without a running task.
func TestStarvedJobStartsBesideBestEffortTasksOfAnotherJob(t *testing.T) {
	const workers = 2
	r := newResizedCell(t, workers)
	fill := bamboofall.Step{Count: 8 * workers, Size: bamboofall.Resources{MilliProcessors: 4000, MemoryBytes: 1 << 30}, Estimate: time.Hour, BestEffort: true, Image: "batch"}
	r.Submit(r.now, &bamboofall.Job{ID: "0000000000000001", Queue: "q", Steps: []bamboofall.Step{fill}}, true)
	r.run(time.Second)
	assert.Equal(t, r.countRunning(1), 8*workers)
	fill.Count = 1
	r.Submit(r.now, &bamboofall.Job{ID: "0000000000000002", Queue: "q", Steps: []bamboofall.Step{fill}}, true)
	r.run(3 * time.Second)
	assert.Equal(t, r.countRunning(2), 1)
}

// A gang of which a part fits beside the best-effort tasks of another job must not wait for
// these to end.
func TestStarvedGangStartsBesideBestEffortTasksOfAnotherJob(t *testing.T) {
	const workers = 2
	r := newResizedCell(t, workers)
	fill := bamboofall.Step{Count: 8*workers - 1, Size: bamboofall.Resources{MilliProcessors: 4000, MemoryBytes: 1 << 30}, Estimate: time.Hour, BestEffort: true, Image: "batch"}
	r.Submit(r.now, &bamboofall.Job{ID: "0000000000000001", Queue: "q", Steps: []bamboofall.Step{fill}}, true)
	r.run(time.Second)
	assert.Equal(t, r.countRunning(1), 8*workers-1)
	fill.Count, fill.Gang = 2, true
	r.Submit(r.now, &bamboofall.Job{ID: "0000000000000002", Queue: "q", Steps: []bamboofall.Step{fill}}, true)
	r.run(3 * time.Second)
	assert.Equal(t, r.countRunning(2), 2)
}

// A run at a worker that does not answer may have ended. The waiting tasks of its job must not
// count on it.
func TestWaitingTaskOfStarvedJobStartsOnceWorkerOfItsRunIsSilent(t *testing.T) {
	const workers = 4
	r := newResizedCell(t, workers)
	assert.Assert(t, r.submitStep(bamboofall.Step{
		Count: workers, Size: bamboofall.Resources{MilliProcessors: 8000}, Standing: true, MaxPerWorker: 1,
		Image: "serving", TailTarget: 50 * time.Millisecond,
	}))
	r.run(time.Second)
	for _, runs := range r.running {
		assert.Equal(t, len(runs), 1)
		runs[0].Gauge = 48
	}
	r.run(5 * time.Second)
	r.Submit(r.now, &bamboofall.Job{ID: "0000000000000002", Queue: "q", Steps: []bamboofall.Step{{
		Count: 2, Size: bamboofall.Resources{MilliProcessors: 2000}, Estimate: time.Minute, BestEffort: true, Image: "batch",
	}}}, true)
	r.run(3 * time.Second)
	assert.Equal(t, r.countRunning(2), 1)
	for id, runs := range r.running {
		if len(runs) > 1 {
			r.silent = id
		}
	}
	r.run(3 * time.Second)
	assert.Equal(t, r.countRunning(2), 2)
}
