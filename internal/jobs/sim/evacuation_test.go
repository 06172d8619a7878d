package sim_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/sim"
)

// evacuationSequences and firstEvacuation select the random sequences of evacuations and other
// faults.
var (
	evacuationSequences = flag.Uint64("evacuation-sequences", 24, "random sequences of evacuations beside other faults")
	firstEvacuation     = flag.Uint64("evacuation-first", 1, "seed of the first of these sequences")
)

// evacuated is the name of the fault that evacuates a data centre for a time.
const evacuated = "data centre evacuated"

func evacuateDataCentre(w *sim.World, r *rand.Rand) {
	dc := randomWorker(w, r).DataCentre()
	w.Evacuate(dc, time.Duration(500+r.IntN(14_000))*time.Millisecond)
}

// evacuationFaults are evacuations that meet other events.
func evacuationFaults() map[string]fault {
	during := func(disturb func(*sim.World)) fault {
		return func(w *sim.World, r *rand.Rand) {
			disturb(w)
			w.At(w.Now()+time.Duration(r.IntN(2500))*time.Millisecond, func() { evacuateDataCentre(w, r) })
		}
	}
	before := func(disturb func(*sim.World)) fault {
		return func(w *sim.World, r *rand.Rand) {
			evacuateDataCentre(w, r)
			w.At(w.Now()+time.Duration(r.IntN(600))*time.Millisecond, func() { disturb(w) })
		}
	}
	replace := func(w *sim.World) { w.ReplaceOwner(2 * time.Second) }
	cut := func(w *sim.World) { w.PartitionOwner(1800 * time.Millisecond) }
	storeDown := func(w *sim.World) {
		w.StoreDown = true
		w.At(w.Now()+4500*time.Millisecond, func() { w.StoreDown = false })
	}
	return map[string]fault{
		evacuated: evacuateDataCentre,
		"two evacuated": func(w *sim.World, r *rand.Rand) {
			evacuateDataCentre(w, r)
			evacuateDataCentre(w, r)
		},
		"all evacuated": func(w *sim.World, r *rand.Rand) {
			for _, dc := range []bamboofall.DataCentre{"dc-0", "dc-1", "dc-2", "dc-3"} {
				w.Evacuate(dc, time.Duration(500+r.IntN(6000))*time.Millisecond)
			}
		},
		"evacuated during handover": during(replace), "evacuated before handover": before(replace),
		"evacuated while owner cut off": during(cut), "evacuated before owner cut off": before(cut),
		"evacuated while store down": during(storeDown), "evacuated before store down": before(storeDown),
	}
}

// Nothing may start in an evacuated data centre, and all that can must run elsewhere, or there after its
// return, in any sequence of evacuations and other faults.
func TestNothingStartsInEvacuatedDataCentresUnderFaults(t *testing.T) {
	sequences := *evacuationSequences
	if testing.Short() {
		sequences = min(sequences, 6)
	}
	for seed := *firstEvacuation; seed < *firstEvacuation+sequences; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 12))
			cfg := config(seed)
			cfg.Workers, cfg.DataCentres, cfg.StrictRuns = 12+4*random.IntN(3), 4, true
			w := sim.New(cfg)
			until := 20*time.Second + time.Duration(random.IntN(10_000))*time.Millisecond
			mixedLoad{
				random: rand.New(rand.NewPCG(seed, 13)), until: until, perSecond: 1 + 7*random.Float64(),
				bestEffort: []float64{0.2, 0.5, 0.9}[random.IntN(3)], apart: random.IntN(2) == 0,
			}.submit(w)
			all := allFaults()
			among := evacuationFaults()
			names := append(faultSequence(w, random, among, until), faultSequence(w, random, among, until)...)
			if random.IntN(2) == 0 {
				maps.Copy(all, among)
				names = append(names, faultSequence(w, random, all, until)...)
			}
			w.AuditRunnable(until)
			w.Run(until + 50*time.Second)
			v := w.Violations()
			assert.Check(t, len(v) == 0, "seed %d, traffic until %v, %v: %d violations, the first: %v", seed, until, names, len(v), v[:min(len(v), 6)])
			assert.Check(t, w.Stats.Completed > 0)
		})
	}
}

// Two of four data centres are evacuated under a burst and taken back. Most of the jobs that are
// accepted meanwhile are in time.
func TestAcceptedJobsAreInTimeWhileHalfIsEvacuated(t *testing.T) {
	run := func(evacuate bool) sim.Stats {
		cfg := config(3)
		cfg.Workers, cfg.DataCentres, cfg.FailShare = 16, 4, 0
		w := sim.New(cfg)
		random := rand.New(rand.NewPCG(3, 14))
		for n := range 900 {
			at := time.Duration(n) * 33 * time.Millisecond
			w.At(at, func() {
				w.Submit(&bamboofall.Job{ID: bamboofall.JobID(fmt.Sprintf("%016x", n)), Queue: "urgent", Steps: []bamboofall.Step{{
					Count: 5, Size: bamboofall.Resources{MilliProcessors: int64(2000 + random.IntN(1000)), MemoryBytes: gb}, Estimate: 800 * time.Millisecond,
				}}})
			})
		}
		if evacuate {
			w.At(8*time.Second, func() {
				w.Evacuate("dc-0", 12*time.Second)
				w.Evacuate("dc-1", 9*time.Second)
			})
		}
		w.Run(40 * time.Second)
		assert.Equal(t, len(w.Violations()), 0, "%v", w.Violations())
		return w.Stats
	}
	without, with := run(false), run(true)
	t.Logf("not evacuated: %d accepted, %d in time; evacuated: %d accepted, %d refused, %d in time, %d late",
		without.Accepted, without.InTime, with.Accepted, with.Refused, with.InTime, with.Late)
	assert.Check(t, with.InTime*10 >= 7*without.InTime)
	assert.Check(t, with.InTime+with.Late >= with.Accepted*95/100)
}
