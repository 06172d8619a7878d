package sim_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/sim"
)

// Workers restart right before a hold call that acknowledges ends of the former process, and the
// new process executed the call late: it forgot ends that no answer had listed, and their tasks
// started again.
func TestLateAcknowledgementsForgetNoEnds(t *testing.T) {
	rejected := 0
	for seed := uint64(1); seed <= 8; seed++ {
		cfg := config(seed)
		cfg.Workers, cfg.FailShare, cfg.StrictRuns = 4, 0, true
		w := sim.New(cfg)
		w.At(2*time.Second, func() { w.LostAcknowledgementShare = 0.05 })
		w.At(22*time.Second, func() { w.LostAcknowledgementShare = 0 })
		for n := range 200 {
			w.At(time.Duration(500+100*n)*time.Millisecond, func() {
				w.Submit(&bamboofall.Job{ID: bamboofall.JobID(fmt.Sprintf("%016x", n)), Queue: "urgent", Steps: []bamboofall.Step{
					{Count: 4, Size: bamboofall.Resources{MilliProcessors: 1500}, Estimate: 300 * time.Millisecond},
				}})
			})
		}
		w.Run(40 * time.Second)
		assert.Equal(t, len(w.Violations()), 0, "seed %d: %v", seed, w.Violations())
		t.Logf("seed %d: late calls executed %d, rejected %d", seed, w.Stats.LateHoldsExecuted, w.Stats.LateHoldsRejected)
		rejected += w.Stats.LateHoldsRejected
	}
	assert.Assert(t, rejected > 0, "no late call reached a new process")
}
