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

// grownConfig is a site of 490 workers.
func grownConfig(owner *sim.OwnerVM) sim.Config {
	cfg := config(1)
	cfg.Workers, cfg.PerRack, cfg.Owner = 490, 16, owner
	return cfg
}

// grownLoad hands in the jobs of such a site.
func grownLoad(w *sim.World, until time.Duration) {
	random := rand.New(rand.NewPCG(1, 6))
	n := 0
	add := func(perSecond float64, queue string, steps ...bamboofall.Step) {
		for at := time.Second; at < until; at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
			n++
			spec := &bamboofall.Job{ID: bamboofall.JobID(fmt.Sprintf("%016x", n)), Queue: queue, Payload: "x", Steps: steps}
			w.At(at, func() { w.Submit(spec) })
		}
	}
	size := func(cpu int64) bamboofall.Resources {
		return bamboofall.Resources{MilliProcessors: cpu, MemoryBytes: 2 * gb}
	}
	add(13, "urgent",
		bamboofall.Step{Count: 10, Size: size(5700), Estimate: 800 * time.Millisecond},
		bamboofall.Step{Count: 6, Size: size(5700), Estimate: 800 * time.Millisecond, After: []int{0}})
	add(20, "batch",
		bamboofall.Step{Count: 20, Size: size(3500), Estimate: 2200 * time.Millisecond, Fills: true, Checkpointing: true, Image: "light"},
		bamboofall.Step{Count: 20, Size: size(3500), Estimate: 2200 * time.Millisecond, Fills: true, Checkpointing: true, Image: "light", After: []int{0}})
	add(0.9, "standing",
		bamboofall.Step{Count: 14, Size: size(6400), Standing: true, TailTarget: 50 * time.Millisecond, Image: "a"})
}

// playGrown plays a site whose owner has some processors and some link.
func playGrown(owner *sim.OwnerVM, load, all time.Duration) *sim.World {
	w := sim.New(grownConfig(owner))
	grownLoad(w, load)
	w.Run(all)
	return w
}

const (
	// loadFor is how long jobs come, playFor the whole play.
	loadFor = 25 * time.Second
	playFor = 40 * time.Second
)

// enough is a VM that carries the load.
var enough = sim.OwnerVM{Processors: 0.26, LinkBytes: 1e6}

// limited returns VMs that carry a part of the load.
func limited(part float64) map[string]sim.OwnerVM {
	return map[string]sim.OwnerVM{
		"processor": {Processors: part * enough.Processors, LinkBytes: enough.LinkBytes},
		"link":      {Processors: enough.Processors, LinkBytes: part * enough.LinkBytes},
	}
}

// An owner that is behind takes late answers for silent workers. It must not begin
// again what was done, whatever it believes.
func TestAnOwnerAtItsLimitBreaksNoPromise(t *testing.T) {
	skipShort(t)
	for _, part := range []float64{0.6, 0.5, 0.4, 0.2} {
		for name, vm := range limited(part) {
			t.Run(fmt.Sprintf("%s for %v of it", name, part), func(t *testing.T) {
				t.Parallel()
				w := playGrown(&vm, loadFor, playFor)
				v := w.Violations()
				assert.Equal(t, len(v), 0, "the first: %v; %+v", v[:min(len(v), 3)], w.Counters())
			})
		}
	}
}

// An owner that can carry half of a load serves half of it, and does not spend what
// it has on calls that it makes again.
func TestAnOwnerAtItsLimitServesInProportion(t *testing.T) {
	skipShort(t)
	plenty := playGrown(&sim.OwnerVM{Processors: 100}, loadFor, playFor).Stats
	served := playGrown(&enough, loadFor, playFor).Stats
	assert.Assert(t, served.Completed*100 >= 95*plenty.Completed, "the load is not what such an owner carries: %d of %d", served.Completed, plenty.Completed)
	for name, vm := range limited(0.5) {
		t.Run(name, func(t *testing.T) {
			s := playGrown(&vm, loadFor, playFor).Stats
			assert.Assert(t, 2*s.Completed >= served.Completed, "%d of %d jobs; %d orders timed out, %d were stale", s.Completed, served.Completed, s.Timeouts, s.OwnerStale)
		})
	}
}

func skipShort(t *testing.T) {
	t.Helper()
	if testing.Short() {
		t.Skip("some seconds")
	}
}
