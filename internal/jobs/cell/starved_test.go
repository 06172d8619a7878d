package cell_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
)

// Serving tasks that are above their target on every worker must not keep best-effort jobs
// waiting while most of the CPU is not reserved.
func TestStarvedJobStartsBesideTasksAboveTheirTarget(t *testing.T) {
	const (
		workers, jobs = 4, 3
		target        = 50
		// limit is the time after which such a job counts as lost.
		limit = 3 * time.Second
	)
	for _, tail := range []int64{48, 60, 200} {
		t.Run(fmt.Sprintf("tail %d ms of %d ms", tail, target), func(t *testing.T) {
			r := newResizedCell(t, workers)
			assert.Assert(t, r.submitStep(bamboofall.Step{
				Count: workers, Size: bamboofall.Resources{MilliProcessors: 8000}, Standing: true, MaxPerWorker: 1,
				Image: "serving", TailTarget: target * time.Millisecond,
			}))
			r.run(time.Second)
			for _, runs := range r.running {
				assert.Equal(t, len(runs), 1)
				runs[0].Gauge = tail
			}
			r.run(5 * time.Second)
			for n := range jobs {
				r.SubmitAccepted(r.now, &bamboofall.Job{ID: bamboofall.JobID(fmt.Sprintf("%016x", n+2)), Queue: "q", Steps: []bamboofall.Step{{
					Count: 2, Size: bamboofall.Resources{MilliProcessors: 2000}, Estimate: time.Minute, BestEffort: true, Image: "batch",
				}}}, nil)
			}
			r.run(limit)
			for n := range jobs {
				assert.Assert(t, r.countRunning(n+2) > 0, "job %d", n+2)
			}
		})
	}
}
