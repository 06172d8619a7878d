package sim_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/sim"
)

// submitServing submits a job with one serving task at each of a number of workers.
func submitServing(w *sim.World, workers int, milliProcessors int64) {
	w.At(200*time.Millisecond, func() {
		w.Submit(&bamboofall.Job{ID: "00000000000000ff", Queue: "standing", Steps: []bamboofall.Step{{
			Count: workers, Size: bamboofall.Resources{MilliProcessors: milliProcessors}, Estimate: time.Second, Standing: true,
			Image: "a", TailTarget: 50 * time.Millisecond, MaxPerWorker: 1,
		}}})
	})
}

// longestWithoutRun runs a simulation and returns the longest time for which an open job
// had no run at any worker.
func longestWithoutRun(w *sim.World, until time.Duration) time.Duration {
	const interval = 50 * time.Millisecond
	idleSince := make(map[bamboofall.JobID]time.Duration)
	longest := time.Duration(0)
	for at := interval; at < until; at += interval {
		w.At(at, func() {
			idle := make(map[bamboofall.JobID]time.Duration)
			for _, id := range w.JobsWithoutRun() {
				idle[id] = w.Now()
				if since, known := idleSince[id]; known {
					idle[id] = since
				}
				longest = max(longest, w.Now()-idle[id])
			}
			idleSince = idle
		})
	}
	w.Run(until)
	return longest
}

// maxWithoutRun is the time after which callers take a job without a run for lost, if less
// than half of the processors are reserved.
const maxWithoutRun = 3 * time.Second

// The image of the waiting tasks disturbs the serving tasks of every worker so much that
// tails above their target are expected wherever one is placed.
func TestJobsRunThoughTailsAboveTargetAreExpectedEverywhere(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		cfg := config(seed)
		cfg.FailShare = 0
		cfg.Pressure = map[string]map[string]float64{"heavy": {"a": 4}}
		cfg.Queues[1].Slack = 20 * time.Second
		w := sim.New(cfg)
		submitServing(w, cfg.Workers, 12_000)
		const jobs = 24
		for n := range jobs {
			w.At(4*time.Second+time.Duration(n)*250*time.Millisecond, func() {
				w.Submit(&bamboofall.Job{ID: bamboofall.JobID(fmt.Sprintf("%016x", n)), Queue: "batch", Steps: []bamboofall.Step{{
					Count: 6, Size: bamboofall.Resources{MilliProcessors: 4000, MemoryBytes: 4 * gb}, Estimate: 2 * time.Second, BestEffort: true, Image: "heavy", Checkpointing: true,
				}}})
			})
		}
		longest := longestWithoutRun(w, 40*time.Second)
		assert.Assert(t, longest < maxWithoutRun, "seed %d: a job had no run for %v", seed, longest)
		assert.Equal(t, w.Stats.Accepted, jobs+1)
		assert.DeepEqual(t, w.Violations(), []string(nil))
	}
}

// Long tasks of one job use all processors that serving tasks leave idle.
func TestJobsRunThoughOthersUseAllIdleProcessors(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		cfg := config(seed)
		cfg.FailShare = 0
		w := sim.New(cfg)
		submitServing(w, cfg.Workers, 12_000)
		submit := func(n, tasks int, estimate time.Duration) {
			w.Submit(&bamboofall.Job{ID: bamboofall.JobID(fmt.Sprintf("%016x", n)), Queue: "batch", Steps: []bamboofall.Step{{
				Count: tasks, Size: bamboofall.Resources{MilliProcessors: 4000, MemoryBytes: 4 * gb}, Estimate: estimate, BestEffort: true, Image: "light", Checkpointing: true,
			}}})
		}
		w.At(4*time.Second, func() { submit(0, 100, 20*time.Second) })
		for n := range 8 {
			w.At(6*time.Second+time.Duration(n)*time.Second, func() { submit(n+1, 6, 2*time.Second) })
		}
		longest := longestWithoutRun(w, 30*time.Second)
		assert.Assert(t, longest < maxWithoutRun, "seed %d: a job had no run for %v", seed, longest)
		assert.DeepEqual(t, w.Violations(), []string(nil))
	}
}

// Workers that are draining and empty do not count as used: less than half of the processors
// are reserved, but more than half of those of the other workers.
func TestJobsRunWhileEmptyWorkersDrain(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		cfg := config(seed)
		cfg.FailShare = 0
		cfg.Pressure = map[string]map[string]float64{"heavy": {"a": 4}}
		cfg.Queues[1].Slack = 20 * time.Second
		w := sim.New(cfg)
		submitServing(w, 8, 20_000)
		w.At(3900*time.Millisecond, func() {
			for _, x := range w.Workers() {
				if x.Running() == 0 {
					x.Drain(40 * time.Second)
				}
			}
		})
		for n := range 12 {
			w.At(4*time.Second+time.Duration(n)*250*time.Millisecond, func() {
				w.Submit(&bamboofall.Job{ID: bamboofall.JobID(fmt.Sprintf("%016x", n)), Queue: "batch", Steps: []bamboofall.Step{{
					Count: 6, Size: bamboofall.Resources{MilliProcessors: 4000, MemoryBytes: 4 * gb}, Estimate: 2 * time.Second, BestEffort: true, Image: "heavy", Checkpointing: true,
				}}})
			})
		}
		longest := longestWithoutRun(w, 30*time.Second)
		assert.Assert(t, longest < maxWithoutRun, "seed %d: a job had no run for %v", seed, longest)
		assert.DeepEqual(t, w.Violations(), []string(nil))
	}
}
