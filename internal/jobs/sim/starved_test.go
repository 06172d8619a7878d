package sim_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/sim"
)

// A service that best-effort tasks disturb strongly runs at every worker, on a small part of
// its processors. A job must not wait for a worker at which it would disturb nothing.
func TestBestEffortJobRunsBesideSensitiveServicesAtAllWorkers(t *testing.T) {
	cfg := config(10)
	cfg.FailShare = 0
	cfg.Pressure = map[string]map[string]float64{"heavy": {"a": 4.5}}
	w := sim.New(cfg)
	w.AuditRunnable(30 * time.Second)
	w.At(200*time.Millisecond, func() {
		w.Submit(&bamboofall.Job{ID: "00000000000000ff", Queue: "standing", Steps: []bamboofall.Step{{
			Count: 12, Size: bamboofall.Resources{MilliProcessors: 8000}, Standing: true,
			Image: "a", TailTarget: 50 * time.Millisecond, MaxPerWorker: 1,
		}}})
	})
	const jobs = 30
	for n := range jobs {
		w.At(10*time.Second+time.Duration(n)*200*time.Millisecond, func() {
			w.Submit(&bamboofall.Job{ID: bamboofall.JobID(fmt.Sprintf("%016x", n)), Queue: "batch", Steps: []bamboofall.Step{{
				Count: 8, Size: bamboofall.Resources{MilliProcessors: 7000, MemoryBytes: 4 * gb}, Estimate: 1700 * time.Millisecond, BestEffort: true, Image: "heavy", Checkpointing: n%2 == 0,
			}}})
		})
	}
	w.Run(60 * time.Second)
	assert.DeepEqual(t, w.Violations(), []string(nil))
	const allowed = 4 * time.Second
	assert.Check(t, w.Stats.LongestHarm < allowed, "a service was over its target for %v", w.Stats.LongestHarm)
}
