package cell_test

import (
	"fmt"
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

// A run at a lost worker has ended with its lease, though its task waits for a late report.
// Other tasks of its job must not wait as well.
func TestWaitingTaskOfStarvedJobStartsOnceLeaseOfItsRunHasEnded(t *testing.T) {
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
	r.run(8 * time.Second) // LateEndGrace is not over
	assert.Equal(t, r.countRunning(2), 2)
}

// Starved gangs that do not fit are tried in each placement. What one of them shows holds for
// all of its kind.
func TestStarvedGangsThatDoNotFitAreCheckedOnce(t *testing.T) {
	const workers, gangs = 10, 30
	r := newResizedCell(t, workers)
	for n := range gangs {
		r.Submit(r.now, &bamboofall.Job{ID: bamboofall.JobID(fmt.Sprintf("%016x", n+1)), Queue: "q", Steps: []bamboofall.Step{{
			Count: workers + 1, Size: bamboofall.Resources{MilliProcessors: 4000}, Estimate: time.Minute, BestEffort: true, Image: "batch", Gang: true, MaxPerWorker: 1,
		}}}, true)
	}
	const period = 1500 * time.Millisecond
	checks := func() int {
		before := r.FitChecks()
		r.run(period)
		return r.FitChecks() - before
	}
	early := checks()
	r.run(time.Second)
	starved := checks()
	assert.Assert(t, starved < 2*early, "checks of workers for tasks: %d, %d once the gangs are starved", early, starved)
}
