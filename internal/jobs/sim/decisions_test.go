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

// TestDecisionsStayTheSame holds the decisions of worlds with faults and backlogs
// against those of the golden file. A change that only makes decisions cheaper
// leaves it as it is; one that changes decisions writes it anew and says so.
func TestDecisionsStayTheSame(t *testing.T) {
	var out strings.Builder
	for i, names := range [][]string{
		{"cut", "stalling worker"}, {"late orders", "owner cut from the store"}, {"stalling worker", "dark"}, {"owner", "stalling worker"},
		{"owner at a cut", "owner cut from the store"}, {"owner cut from the store at a cut", "dark"}, {"leave", "stalling worker"},
		{"dark", "owner cut from the store"},
	} {
		seed := uint64(i + 1)
		fmt.Fprintf(&out, "seed %d, %v\n%s", seed, names, decisions(crowded(seed, 12, 28, 12*time.Second, names...)))
	}
	for seed := uint64(21); seed <= 22; seed++ {
		fmt.Fprintf(&out, "seed %d, backlog\n%s", seed, decisions(crowded(seed, 40, 160, 8*time.Second, "late orders")))
	}
	golden.Assert(t, out.String(), "decisions.golden")
}

// crowded plays a world with more work than room.
func crowded(seed uint64, workers int, perSecond float64, until time.Duration, names ...string) *sim.World {
	cfg := config(seed)
	cfg.Workers = workers
	w := sim.New(cfg)
	w.Verbose = true
	load(w, seed, until, perSecond)
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

// decisions sums up what an owner decided: on each job, run and worker, in order.
func decisions(w *sim.World) string {
	hash := sha256.New()
	count := 0
	for _, n := range w.Notes {
		switch n.Event {
		case "summary", "waiting", "images without fills":
			continue
		}
		count++
		fmt.Fprintln(hash, n.Event, n.Job, n.Task, n.Worker, n.Run, n.Detail)
	}
	s := w.Stats
	return fmt.Sprintf("  %d decisions %x\n  accepted %d refused %d completed %d failed %d in aim %d late %d starts %d looks %d over target %d violations %d\n",
		count, hash.Sum(nil)[:12], s.Accepted, s.Refused, s.Completed, s.Failed, s.InAim, s.Late, s.Starts, s.Looks, s.OverTarget, len(w.Violations()))
}
