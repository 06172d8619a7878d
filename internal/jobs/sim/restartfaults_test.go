package sim_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall/internal/jobs/sim"
)

// unnoticedRestart is the name of the fault that restarts some workers without the owner's
// notice.
const unnoticedRestart = "worker restarts unnoticed"

// restartSequences and firstRestart select the random sequences of unnoticed restarts.
var (
	restartSequences = flag.Uint64("restart-sequences", 12, "random sequences of unnoticed restarts of workers")
	firstRestart     = flag.Uint64("restart-first", 1, "seed of the first of these sequences")
)

// restartWorkers restarts up to ten workers, some of them several times.
func restartWorkers(w *sim.World, r *rand.Rand) {
	at := w.Now()
	for range 1 + r.IntN(10) {
		w.At(at, func() { restartAnyWorker(w, r) })
		at += time.Duration(r.IntN(900)) * time.Millisecond
	}
}

// restartAnyWorker restarts a worker, an idle one in every second case.
func restartAnyWorker(w *sim.World, r *rand.Rand) {
	x := randomWorker(w, r)
	if r.IntN(2) == 0 {
		for range len(w.Workers()) {
			if x.Running() == 0 {
				break
			}
			x = randomWorker(w, r)
		}
	}
	down := time.Duration(0)
	if r.IntN(3) > 0 {
		down = time.Duration(r.IntN(300)) * time.Millisecond
	}
	restart := func() {
		x.Restart(down, []sim.WaitingCalls{sim.WaitingCallsMove, sim.WaitingCallsMove, sim.WaitingCallsHang, sim.WaitingCallsBreak}[r.IntN(4)])
	}
	restart()
	if r.IntN(4) == 0 {
		w.At(w.Now()+down+time.Duration(r.IntN(600))*time.Millisecond, restart)
	}
}

// Workers restart without the owner's notice in a series, beside other faults, under a load
// of jobs of all kinds.
func TestInvariantsHoldUnderUnnoticedRestarts(t *testing.T) {
	sequences := *restartSequences
	if testing.Short() {
		sequences = min(sequences, 4)
	}
	for seed := *firstRestart; seed < *firstRestart+sequences; seed++ {
		checkRestarts(t, seed)
	}
}

// The owner is replaced before it knows of a restart. The new owner must wait for the report of
// the new process, which may run what the former one has ordered.
func TestTasksRunOnceIfOwnerIsReplacedBeforeRestartIsKnown(t *testing.T) {
	checkRestarts(t, 37)
}

func checkRestarts(t *testing.T, seed uint64) {
	t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
		t.Parallel()
		w, names := restartWorld(seed)
		if v := w.Violations(); len(v) > 0 {
			t.Errorf("seed %d, %v: %d violations, the first: %v", seed, names, len(v), v[:min(len(v), 6)])
		}
		assert.Check(t, w.Stats.Completed > 0)
	})
}

// restartWorld runs a simulation with unnoticed restarts, and with other faults for three
// seeds of four.
func restartWorld(seed uint64) (w *sim.World, names []string) {
	random := rand.New(rand.NewPCG(seed, 11))
	cfg := config(seed)
	cfg.Workers, cfg.StrictRuns = 6+random.IntN(15), true
	cfg.MaxHold = []time.Duration{6 * time.Second, 10 * time.Second}[random.IntN(2)]
	w = sim.New(cfg)
	until := 10*time.Second + time.Duration(random.IntN(8000))*time.Millisecond
	mixedLoad{
		random: rand.New(rand.NewPCG(seed, 12)), until: until, perSecond: 1 + 7*random.Float64(),
		bestEffort: []float64{0, 0.2, 0.5}[random.IntN(3)], apart: random.IntN(2) == 0,
	}.submit(w)
	if seed%4 > 0 {
		names = faultSequence(w, random, allFaults(), until)
	}
	every := 50 + random.IntN(1500)
	names = append(names, fmt.Sprintf("restarts each %d ms", every))
	for at := 500 * time.Millisecond; at < until+4*time.Second; at += time.Duration(2*random.IntN(every)) * time.Millisecond {
		w.At(at, func() { restartAnyWorker(w, random) })
	}
	if random.IntN(2) == 0 {
		share := []float64{0.02, 0.1, 0.3}[random.IntN(3)]
		names = append(names, fmt.Sprintf("relay faults %v", share))
		w.At(time.Second, func() { w.RelayFaultShare = share })
		w.At(until+4*time.Second, func() { w.RelayFaultShare = 0 })
	}
	w.AuditRunnable(until)
	w.Run(until + 35*time.Second)
	return w, names
}
