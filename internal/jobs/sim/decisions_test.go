package sim_test

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/golden"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/sim"
)

// Guards against unintended changes of decisions, in simulations with faults and
// backlogs. A change that only makes decisions cheaper must leave the golden file
// as it is. One that changes decisions regenerates it with -update and says so in
// the commit.
func TestDecisionsStayTheSame(t *testing.T) {
	var out strings.Builder
	for i, names := range [][]string{
		{"partition", "stalling worker"}, {"late orders", "owner partitioned from store"}, {"stalling worker", "crash and partition"}, {"owner replaced", "stalling worker"},
		{"owner replaced during partition", "owner partitioned from store"}, {"owner partitioned from store and worker from new owner", "crash and partition"}, {"worker drained", "stalling worker"},
		{"crash and partition", "owner partitioned from store"},
	} {
		seed := uint64(i + 1)
		fmt.Fprintf(&out, "seed %d, %v\n%s", seed, names, summarizeDecisions(simulateBacklog(seed, 12, 28, 12*time.Second, names...)))
	}
	for seed := uint64(21); seed <= 22; seed++ {
		fmt.Fprintf(&out, "seed %d, backlog\n%s", seed, summarizeDecisions(simulateBacklog(seed, 40, 160, 8*time.Second, "late orders")))
	}
	golden.Assert(t, out.String(), "decisions.golden")
}

// simulateBacklog simulates a cell with more work than capacity.
func simulateBacklog(seed uint64, workers int, perSecond float64, until time.Duration, names ...string) *sim.World {
	cfg := config(seed)
	cfg.Workers = workers
	w := sim.New(cfg)
	w.Verbose = true
	submitLoad(w, seed, until, perSecond)
	for n := range workers / 2 {
		w.At(time.Duration(50+40*n)*time.Millisecond, func() {
			w.Submit(&bamboofall.Job{ID: bamboofall.JobID(fmt.Sprintf("%016x", 1<<20+n)), Queue: "standing", Steps: []bamboofall.Step{{
				Count: 2, Size: bamboofall.Resources{MilliProcessors: 6000, MemoryBytes: 8 * gb}, Standing: true,
				TailTarget: 50 * time.Millisecond, Image: []string{"a", "b"}[n%2], MaxPerWorker: 1,
			}}})
		})
	}
	random := rand.New(rand.NewPCG(seed, 6))
	for _, name := range names {
		at := time.Duration(1000+random.IntN(8000)) * time.Millisecond
		w.At(at, func() { faults[name](w, random) })
	}
	w.Run(2*until + 4*time.Second)
	return w
}

// summarizeDecisions returns the number and a hash of all notes on jobs, runs and
// workers, in order, and the statistics.
func summarizeDecisions(w *sim.World) string {
	hash := sha256.New()
	count := 0
	for _, n := range w.Notes {
		switch n.Event {
		case "summary", "waiting", "images without fills", "stages":
			continue
		}
		count++
		fmt.Fprintln(hash, n.Event, n.Job, n.Task, n.Worker, n.Run, n.Detail)
	}
	s := w.Stats
	return fmt.Sprintf("  %d decisions %x\n  accepted %d refused %d completed %d failed %d in time %d late %d starts %d tail samples %d over target %d violations %d\n",
		count, hash.Sum(nil)[:12], s.Accepted, s.Refused, s.Completed, s.Failed, s.InTime, s.Late, s.Starts, s.TailSamples, s.OverTarget, len(w.Violations()))
}
