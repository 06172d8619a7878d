package sim_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/sim"
)

// A new owner does not know the paces of the tasks that it takes over. It must pause those that
// disturb services as soon as the former owner would have.
func TestServicesAreNotDisturbedForLongAfterHandover(t *testing.T) {
	for _, size := range []int64{200, 400} {
		cfg := config(7)
		cfg.FailShare = 0
		cfg.Pressure = map[string]map[string]float64{"heavy": {"a": 3}}
		w := sim.New(cfg)
		submitServing(w, cfg.Workers)
		for n := range 240 {
			w.At(6*time.Second+time.Duration(n)*20*time.Millisecond, func() {
				w.Submit(&bamboofall.Job{ID: bamboofall.JobID(fmt.Sprintf("%016x", n)), Queue: "batch", Steps: []bamboofall.Step{{
					Count: 3, Size: bamboofall.Resources{MilliProcessors: size, MemoryBytes: gb / 4}, Estimate: 8 * time.Second, BestEffort: true, Image: "heavy",
				}}})
			})
		}
		w.At(14*time.Second, func() { w.ReplaceOwner(500 * time.Millisecond) })
		w.Run(40 * time.Second)
		const allowed = 4 * time.Second
		assert.Check(t, w.Stats.LongestHarm < allowed, "%d milliprocessors: a service was over its target for %v", size, w.Stats.LongestHarm)
		assert.DeepEqual(t, w.Violations(), []string(nil))
	}
}
