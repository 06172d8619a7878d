package sim_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/sim"
)

// largeConfig is a fleet of 490 workers.
func largeConfig(owner *sim.OwnerVM) sim.Config {
	cfg := config(1)
	cfg.Workers, cfg.PerRack, cfg.Owner = 490, 16, owner
	return cfg
}

// submitLargeLoad submits the jobs of such a fleet.
func submitLargeLoad(w *sim.World, until time.Duration) {
	random := rand.New(rand.NewPCG(1, 6))
	n := 0
	add := func(perSecond float64, queue string, steps ...bamboofall.Step) {
		for at := time.Second; at < until; at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
			n++
			spec := &bamboofall.Job{ID: bamboofall.JobID(fmt.Sprintf("%016x", n)), Queue: queue, Payload: "x", Steps: steps}
			w.At(at, func() { w.Submit(spec) })
		}
	}
	size := func(milliProcessors int64) bamboofall.Resources {
		return bamboofall.Resources{MilliProcessors: milliProcessors, MemoryBytes: 2 * gb}
	}
	add(13, "urgent",
		bamboofall.Step{Count: 10, Size: size(5700), Estimate: 800 * time.Millisecond},
		bamboofall.Step{Count: 6, Size: size(5700), Estimate: 800 * time.Millisecond, After: []int{0}})
	add(20, "batch",
		bamboofall.Step{Count: 20, Size: size(3500), Estimate: 2200 * time.Millisecond, BestEffort: true, Checkpointing: true, Image: "light"},
		bamboofall.Step{Count: 20, Size: size(3500), Estimate: 2200 * time.Millisecond, BestEffort: true, Checkpointing: true, Image: "light", After: []int{0}})
	add(0.9, "standing",
		bamboofall.Step{Count: 14, Size: size(6400), Standing: true, TailTarget: 50 * time.Millisecond, Image: "a"})
}

// simulateLarge simulates a fleet of 490 workers for the duration all. Jobs are
// submitted for the duration load.
func simulateLarge(owner *sim.OwnerVM, load, all time.Duration) *sim.World {
	w := sim.New(largeConfig(owner))
	submitLargeLoad(w, load)
	w.Run(all)
	return w
}

const (
	// loadDuration is how long jobs are submitted, simDuration the length of the
	// whole simulation.
	loadDuration = 25 * time.Second
	simDuration  = 40 * time.Second
)

// sufficientVM is a VM that can handle the load.
var sufficientVM = sim.OwnerVM{Processors: 0.26, LinkBytes: 1e6}

// limitedVMs returns VMs with a part of the processor or of the link of
// sufficientVM.
func limitedVMs(part float64) map[string]sim.OwnerVM {
	return map[string]sim.OwnerVM{
		"processor": {Processors: part * sufficientVM.Processors, LinkBytes: sufficientVM.LinkBytes},
		"link":      {Processors: sufficientVM.Processors, LinkBytes: part * sufficientVM.LinkBytes},
	}
}

// An overloaded owner mistakes late answers for silent workers. It must not restart
// tasks that may have been completed.
func TestInvariantsHoldWhenOwnerIsOverloaded(t *testing.T) {
	skipShort(t)
	for _, part := range []float64{0.6, 0.5, 0.4, 0.2} {
		for name, vm := range limitedVMs(part) {
			t.Run(fmt.Sprintf("%s at %v of sufficient capacity", name, part), func(t *testing.T) {
				t.Parallel()
				w := simulateLarge(&vm, loadDuration, simDuration)
				v := w.Violations()
				assert.Equal(t, len(v), 0, "the first: %v; %+v", v[:min(len(v), 3)], w.Counters())
			})
		}
	}
}

// An owner with half the required capacity must complete about half of the jobs
// instead of spending its capacity on repeated calls.
func TestOverloadedOwnerCompletesJobsInProportionToCapacity(t *testing.T) {
	skipShort(t)
	unlimited := simulateLarge(&sim.OwnerVM{Processors: 100}, loadDuration, simDuration).Stats
	served := simulateLarge(&sufficientVM, loadDuration, simDuration).Stats
	assert.Assert(t, served.Completed*100 >= 95*unlimited.Completed, "sufficientVM does not handle the load: %d of %d jobs completed", served.Completed, unlimited.Completed)
	for name, vm := range limitedVMs(0.5) {
		t.Run(name, func(t *testing.T) {
			s := simulateLarge(&vm, loadDuration, simDuration).Stats
			assert.Assert(t, 2*s.Completed >= served.Completed, "%d of %d jobs completed; %d orders timed out, %d were stale", s.Completed, served.Completed, s.Timeouts, s.StaleOrders)
		})
	}
}

func skipShort(t *testing.T) {
	t.Helper()
	if testing.Short() {
		t.Skip("takes several seconds")
	}
}
