package sim_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/sim"
)

// lateWorth is the worth of a late job, as a part of that of one in time.
const lateWorth = 0.15

// burstProcessors is the part of a processor with which an owner handles the load of
// simulateBurst.
const burstProcessors = 0.52

// simulateBurst simulates a fleet whose owner has a part of the processor that it needs: a
// stream of short urgent jobs, over which wide jobs arrive, two and a half times as many of
// them for six seconds.
func simulateBurst(part float64) *sim.World {
	w := sim.New(largeConfig(&sim.OwnerVM{Processors: part * burstProcessors}))
	submitLargeLoad(w, loadDuration)
	random := rand.New(rand.NewPCG(1, 7))
	wide := bamboofall.Step{Count: 20, Size: bamboofall.Resources{MilliProcessors: 3500, MemoryBytes: 2 * gb}, Estimate: 2200 * time.Millisecond, BestEffort: true, Checkpointing: true, Image: "light"}
	after := wide
	after.After = []int{0}
	for at, n := 8*time.Second, 0; at < 14*time.Second; at, n = at+time.Duration(random.ExpFloat64()/30*float64(time.Second)), n+1 {
		spec := &bamboofall.Job{ID: bamboofall.JobID(fmt.Sprintf("b%015x", n)), Queue: "batch", Payload: "x", Steps: []bamboofall.Step{wide, after}}
		w.At(at, func() { w.Submit(spec) })
	}
	w.Run(simDuration)
	return w
}

// An owner with too little of a processor decides less, but what it decides must be of use:
// the worth of each queue falls in proportion to the processor, less a part for what the owner
// does in any case. The urgent queue comes first and needs a sixth of the starts.
func TestWorthFallsInProportionToOwnersProcessor(t *testing.T) {
	skipShort(t)
	const fixedPart, urgentPart, urgentWorth = 0.15, 0.3, 0.5
	parts := []float64{1, 0.9, 0.8, 0.7, 0.6, 0.5, 0.4, 0.3}
	worlds := make([]*sim.World, len(parts))
	var done sync.WaitGroup
	for i, part := range parts {
		done.Go(func() { worlds[i] = simulateBurst(part) })
	}
	done.Wait()
	for i, part := range parts {
		s := worlds[i].Stats
		urgent, batch := s.Queues["urgent"].Worth(lateWorth), s.Queues["batch"].Worth(lateWorth)
		t.Logf("%v of the processor: urgent %.2f, batch %.2f of the worth, %d orders timed out", part, urgent, batch, s.Timeouts)
		assert.Check(t, urgent >= part-fixedPart, "urgent: %.2f with %v of the processor", urgent, part)
		assert.Check(t, batch >= part-fixedPart, "batch: %.2f with %v of the processor", batch, part)
		assert.Check(t, part < urgentPart || urgent >= urgentWorth, "urgent: %.2f with %v of the processor", urgent, part)
		assert.Equal(t, len(worlds[i].Violations()), 0)
	}
}
