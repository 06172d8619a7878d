package sim_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/sim"
)

// Idle workers restart without the owner's notice and carry out starts. When the restarts are
// announced, the runs must not be taken for runs of the former processes and started again.
func TestTasksRunOnceAtWorkersThatRestartedUnnoticed(t *testing.T) {
	for _, step := range []bamboofall.Step{
		{Count: 8, Size: bamboofall.Resources{MilliProcessors: 1500}, Estimate: 800 * time.Millisecond},
		{Count: 8, Size: bamboofall.Resources{MilliProcessors: 1500}, Standing: true},
		{Count: 8, Size: bamboofall.Resources{MilliProcessors: 1500}, Estimate: 800 * time.Millisecond, Gang: true},
	} {
		for seed := uint64(1); seed <= 5; seed++ {
			cfg := config(seed)
			cfg.Workers, cfg.FailShare, cfg.StrictRuns = 4, 0, true
			w := sim.New(cfg)
			for n := range 10 {
				at := time.Duration(1+2*n) * time.Second
				w.At(at, func() {
					for _, x := range w.Workers() {
						if x.Running() == 0 {
							x.Restart(0, sim.WaitingCallsMove)
						}
					}
				})
				spec := &bamboofall.Job{ID: bamboofall.JobID(fmt.Sprintf("%016x", n)), Queue: "urgent", Steps: []bamboofall.Step{step}}
				w.At(at+5*time.Millisecond, func() { w.Submit(spec) })
				w.At(at+1500*time.Millisecond, func() { w.Cancel(spec.ID) })
			}
			w.Run(25 * time.Second)
			assert.Equal(t, len(w.Violations()), 0, "seed %d, standing %t, gang %t: %v", seed, step.Standing, step.Gang, w.Violations())
		}
	}
}
