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

// downtimes samples how long each standing task is down without a break.
type downtimes struct {
	since map[string]time.Duration
	// longest is the longest time for which a task was down, and task that task.
	longest time.Duration
	task    string
}

// sampleDowntimes samples the standing tasks of a world from a time on. Job is one of its
// jobs, which any owner knows.
func sampleDowntimes(w *sim.World, from time.Duration, job bamboofall.JobID) *downtimes {
	d := &downtimes{since: make(map[string]time.Duration)}
	var sample func()
	sample = func() {
		w.At(w.Now()+100*time.Millisecond, sample)
		if _, owned := w.Lookup(job); !owned {
			return
		}
		down := make(map[string]time.Duration)
		for _, name := range w.StandingDown() {
			since, known := d.since[name]
			if !known {
				since = w.Now()
			}
			down[name] = since
			if lasted := w.Now() - since; lasted > d.longest {
				d.longest, d.task = lasted, name
			}
		}
		d.since = down
	}
	w.At(from, sample)
	return d
}

// Workers leave one after the other while the owner is replaced every few seconds. With each
// handover all waiting tasks waited anew for a worker that left before it could report to
// the new owner.
func TestStandingTasksRunDuringHandoversInSeries(t *testing.T) {
	const (
		first = 12 * time.Second
		// bound is the time after its last run from which on callers expect a task to run,
		// and the time for which they tolerate that it does not.
		bound = standingExpected + 3*time.Second
	)
	for name, replace := range map[string]func(*sim.World, time.Duration){"killed": (*sim.World).ReplaceOwner, "released": (*sim.World).ReleaseOwner} {
		for seed := uint64(1); seed <= 18; seed++ {
			interval := []time.Duration{4 * time.Second, 5 * time.Second, 7 * time.Second}[seed%3]
			cfg := config(seed)
			cfg.Workers, cfg.FailShare = 24, 0
			w := sim.New(cfg)
			random := rand.New(rand.NewPCG(seed, 41))
			for n := range 12 {
				w.At(200*time.Millisecond, func() { w.Submit(standingJob(n, 4, 3000)) })
			}
			for at := time.Second; at < first+20*time.Second; at += 500 * time.Millisecond {
				// Workers leave with these tasks, as they have no checkpoints.
				w.At(at, func() { w.Submit(spreadJob(at)) })
			}
			for n, x := range w.Workers()[:16] {
				at := first + time.Duration(n)*time.Second + time.Duration(random.IntN(300))*time.Millisecond
				w.At(at, func() { x.Drain(4 * time.Second) })
			}
			for n := range 4 {
				at := first + 3*time.Second + time.Duration(n)*interval + time.Duration(random.IntN(1000))*time.Millisecond
				w.At(at, func() { replace(w, 600*time.Millisecond) })
			}
			down := sampleDowntimes(w, first, standingJob(0, 4, 3000).ID)
			w.Run(first + 45*time.Second)
			assert.Check(t, len(w.Violations()) == 0, "%s, seed %d, interval %v: %v", name, seed, interval, w.Violations())
			assert.Check(t, down.longest < bound, "%s, seed %d, interval %v: %s is down for %v", name, seed, interval, down.task, down.longest)
			assert.Check(t, len(w.StandingDown()) == 0, "%s, seed %d, interval %v: %v", name, seed, interval, w.StandingDown())
		}
	}
}

// spreadJob returns a job of finite tasks at different workers.
func spreadJob(at time.Duration) *bamboofall.Job {
	return &bamboofall.Job{ID: bamboofall.JobID(fmt.Sprintf("f%015x", at)), Queue: "batch", Payload: "x", Steps: []bamboofall.Step{{
		Count: 8, Size: bamboofall.Resources{MilliProcessors: 1000}, Estimate: 4 * time.Second, MaxPerWorker: 1,
	}}}
}

// standingExpected is the time after its last run from which on callers expect a standing
// task to run.
const standingExpected = 6 * time.Second

// A worker leaves with standing tasks, and the owner is replaced again and again before a lease
// has ended. The wait for its leases must not begin anew with owners whose processes started
// after that.
func TestStandingTasksOfWorkerThatLeftRunDuringHandoversInSeries(t *testing.T) {
	const (
		leftAt = 12 * time.Second
		bound  = standingExpected + 3*time.Second
	)
	for seed := uint64(1); seed <= 8; seed++ {
		interval := []time.Duration{2500 * time.Millisecond, 3 * time.Second, 3500 * time.Millisecond}[seed%3]
		cfg := config(seed)
		cfg.Workers, cfg.FailShare = 12, 0
		w := sim.New(cfg)
		random := rand.New(rand.NewPCG(seed, 45))
		for n := range 6 {
			w.At(200*time.Millisecond, func() { w.Submit(standingJob(n, 4, 3000)) })
		}
		w.At(leftAt, func() { w.Workers()[0].Leave() })
		for n := range 6 {
			at := leftAt + 3*time.Second + time.Duration(n)*interval + time.Duration(random.IntN(300))*time.Millisecond
			w.At(at, func() { w.ReleaseOwner(600 * time.Millisecond) })
		}
		down := sampleDowntimes(w, leftAt, standingJob(0, 4, 3000).ID)
		w.Run(leftAt + 40*time.Second)
		assert.Check(t, len(w.Violations()) == 0, "seed %d, interval %v: %v", seed, interval, w.Violations())
		assert.Check(t, down.longest < bound, "seed %d, interval %v: %s is down for %v", seed, interval, down.task, down.longest)
		assert.Check(t, len(w.StandingDown()) == 0, "seed %d, interval %v: %v", seed, interval, w.StandingDown())
	}
}
