package sim_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/sim"
)

// checkSensitiveServices runs best-effort jobs beside a service that they disturb strongly. It
// runs at every worker, on a small part of the processors. No job must wait for a worker at which
// it would disturb nothing.
func checkSensitiveServices(t *testing.T, edit func(*bamboofall.Step)) {
	t.Helper()
	cfg := config(10)
	cfg.FailShare, cfg.StrictRuns = 0, true
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
		step := bamboofall.Step{
			Count: 8, Size: bamboofall.Resources{MilliProcessors: 7000, MemoryBytes: 4 * gb}, Estimate: 1700 * time.Millisecond,
			BestEffort: true, Image: "heavy", Checkpointing: n%2 == 0,
		}
		edit(&step)
		w.At(10*time.Second+time.Duration(n)*200*time.Millisecond, func() {
			w.Submit(&bamboofall.Job{ID: bamboofall.JobID(fmt.Sprintf("%016x", n)), Queue: "batch", Steps: []bamboofall.Step{step}})
		})
	}
	w.Run(60 * time.Second)
	assert.DeepEqual(t, w.Violations(), []string(nil))
	const allowed = 4 * time.Second
	assert.Check(t, w.Stats.LongestHarm < allowed, "a service was over its target for %v", w.Stats.LongestHarm)
}

func TestBestEffortJobRunsBesideSensitiveServicesAtAllWorkers(t *testing.T) {
	checkSensitiveServices(t, func(*bamboofall.Step) {})
}

func TestBestEffortGangRunsBesideSensitiveServicesAtAllWorkers(t *testing.T) {
	checkSensitiveServices(t, func(s *bamboofall.Step) { s.Gang, s.Count = true, 4 })
}
