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

// runnableSequences and firstRunnable select the random sequences of faults under a mixed load.
var (
	runnableSequences = flag.Uint64("runnable-sequences", 24, "random sequences of faults under a mixed load")
	firstRunnable     = flag.Uint64("runnable-first", 1, "seed of the first of these sequences")
)

// mixedLoad is the load of a day with jobs of all kinds.
type mixedLoad struct {
	random *rand.Rand
	// until is when the last job is submitted, perSecond the rate of finite jobs, and
	// bestEffort the share of best-effort steps among those of low priority.
	until                 time.Duration
	perSecond, bestEffort float64
	// apart is set if most standing tasks are kept apart.
	apart bool
}

// submit submits standing jobs at the start, and finite ones until the end. Some go to the
// inbox, and some are cancelled.
func (l mixedLoad) submit(w *sim.World) {
	n := 0
	submit := func(at time.Duration, spec *bamboofall.Job) {
		deferred := l.random.IntN(4) == 0
		w.At(at, func() {
			if !deferred || !w.Defer(spec) {
				w.Submit(spec)
			}
		})
		if l.random.IntN(12) == 0 {
			w.At(at+time.Duration(l.random.IntN(15_000))*time.Millisecond, func() { w.Cancel(spec.ID) })
		}
	}
	for range 6 + l.random.IntN(14) {
		n++
		submit(200*time.Millisecond+time.Duration(l.random.IntN(2000))*time.Millisecond, l.standing(n))
	}
	for at := 100 * time.Millisecond; at < l.until; at += time.Duration(l.random.ExpFloat64() / l.perSecond * float64(time.Second)) {
		n++
		if l.random.IntN(25) == 0 {
			submit(at, l.standing(n))
			continue
		}
		submit(at, l.finite(n, at))
	}
}

func (l mixedLoad) size(milliProcessors int) bamboofall.Resources {
	return bamboofall.Resources{MilliProcessors: int64(milliProcessors + l.random.IntN(milliProcessors)), MemoryBytes: int64(1+l.random.IntN(8)) * gb}
}

func (l mixedLoad) standing(n int) *bamboofall.Job {
	s := bamboofall.Step{Count: 1 + l.random.IntN(6), Size: l.size(2000), Standing: true, TailTarget: 50 * time.Millisecond, Image: []string{"a", "b"}[l.random.IntN(2)]}
	switch kind := l.random.IntN(8); {
	case kind == 0:
		s.Gang, s.TailTarget, s.Image = true, 0, ""
	case kind < 3 || l.apart:
		s.MaxPerWorker = 1 + l.random.IntN(2)
	case kind == 3:
		s.Label = fmt.Sprintf("r%d", l.random.IntN(3))
	case kind == 4:
		s.SameRack = true
	}
	return &bamboofall.Job{ID: bamboofall.JobID(fmt.Sprintf("%016x", n)), Queue: "standing", Steps: []bamboofall.Step{s}}
}

// finite returns the nth job, for submission at a time.
func (l mixedLoad) finite(n int, at time.Duration) *bamboofall.Job {
	r := l.random
	spec := &bamboofall.Job{ID: bamboofall.JobID(fmt.Sprintf("%016x", n)), Queue: []string{"urgent", "batch"}[r.IntN(2)], Payload: "x"}
	for i := range 1 + r.IntN(3) {
		s := bamboofall.Step{Count: 1 + r.IntN(8), Size: l.size(1500), Estimate: time.Duration(300+r.IntN(1800)) * time.Millisecond, Checkpointing: r.IntN(2) == 0}
		if r.IntN(20) == 0 {
			s.Count = 20 + r.IntN(60)
		}
		if i > 0 && r.IntN(5) > 0 {
			s.After = []int{r.IntN(i)}
		}
		switch r.IntN(10) {
		case 0:
			s.Gang, s.SameRack = true, r.IntN(2) == 0
			s.Count = min(s.Count, 10)
		case 1:
			s.Speculative = true
		case 2:
			s.MaxPerWorker = 1 + r.IntN(2)
		case 3:
			s.Label = fmt.Sprintf("r%d", r.IntN(3))
		case 4:
			s.SameRack, s.Rack = true, []string{"", fmt.Sprintf("r%d", r.IntN(3))}[r.IntN(2)]
		}
		if spec.Queue == "batch" && r.Float64() < l.bestEffort {
			s.BestEffort, s.Image = true, []string{"heavy", "light", "other"}[r.IntN(3)]
		}
		spec.Steps = append(spec.Steps, s)
	}
	if r.IntN(10) == 0 {
		spec.Repetitions, spec.Interval = 1+r.IntN(4), time.Duration(500+r.IntN(3000))*time.Millisecond
		spec.FirstRun = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(at + time.Duration(r.IntN(4000))*time.Millisecond)
	}
	return spec
}

// fault is a fault of any kind.
type fault func(*sim.World, *rand.Rand)

// allFaults returns the faults of all tests, by name.
func allFaults() map[string]fault {
	all := make(map[string]fault)
	for name, f := range faults {
		all[name] = f
	}
	delete(all, unnoticedRestart) // has sequences of its own
	delete(all, evacuated)        // likewise
	for name, f := range standingFaults {
		all["standing: "+name] = f
	}
	for name, f := range workerLosses {
		all["worker "+name] = f
		all["workers "+name] = func(w *sim.World, r *rand.Rand) {
			for range 2 + r.IntN(4) {
				f(w, r)
			}
		}
	}
	for name, f := range handovers {
		all["handover "+name] = func(w *sim.World, _ *rand.Rand) { f(w) }
	}
	all["two handovers"] = func(w *sim.World, r *rand.Rand) {
		w.ReplaceOwner(time.Duration(200+r.IntN(2000)) * time.Millisecond)
		w.At(w.Now()+time.Duration(500+r.IntN(4000))*time.Millisecond, func() {
			w.ReplaceOwner(time.Duration(200+r.IntN(2000)) * time.Millisecond)
		})
	}
	all["loss during handover"] = func(w *sim.World, r *rand.Rand) {
		w.ReplaceOwner(2 * time.Second)
		w.At(w.Now()+time.Duration(r.IntN(2500))*time.Millisecond, func() { randomWorker(w, r).Lose() })
	}
	all["rack partitioned"] = func(w *sim.World, r *rand.Rand) {
		rack := w.Workers()[:4]
		for _, x := range rack {
			x.Partitioned = true
		}
		w.At(w.Now()+time.Duration(1000+r.IntN(9000))*time.Millisecond, func() {
			for _, x := range rack {
				x.Partitioned = false
			}
		})
	}
	all["rolling drains"] = func(w *sim.World, r *rand.Rand) {
		for i := range 3 {
			w.At(w.Now()+time.Duration(i)*time.Second, func() {
				x := randomWorker(w, r)
				x.Drain(4500 * time.Millisecond)
			})
		}
	}
	return all
}

// Accepted tasks must run when they can, after any sequence of faults under a mixed load.
func TestRunnableTasksRunAfterRandomFaults(t *testing.T) {
	sequences := *runnableSequences
	if testing.Short() {
		sequences = min(sequences, 6)
	}
	for seed := *firstRunnable; seed < *firstRunnable+sequences; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			checkRunnable(t, seed)
		})
	}
}

// runnableWorld returns a simulation with a mixed load until a time, and random faults.
func runnableWorld(seed uint64) (w *sim.World, faultNames []string, until time.Duration) {
	random := rand.New(rand.NewPCG(seed, 9))
	cfg := config(seed)
	cfg.Workers, cfg.StrictRuns = 12+4*random.IntN(3), true
	pressure := []float64{0.5, 1.6, 4.5}[random.IntN(3)]
	cfg.Pressure = map[string]map[string]float64{"heavy": {"a": pressure}, "light": {"a": 0.05, "b": 0.05}, "other": {"b": pressure}}
	w = sim.New(cfg)
	until = 20*time.Second + time.Duration(random.IntN(10_000))*time.Millisecond
	mixedLoad{
		random: rand.New(rand.NewPCG(seed, 10)), until: until, perSecond: 1 + 7*random.Float64(),
		bestEffort: []float64{0.2, 0.5, 0.9}[random.IntN(3)], apart: random.IntN(2) == 0,
	}.submit(w)
	return w, faultSequence(w, random, allFaults(), until), until
}

func checkRunnable(t *testing.T, seed uint64) {
	t.Helper()
	w, names, until := runnableWorld(seed)
	w.AuditRunnable(until)
	w.Run(until + 40*time.Second)
	if v := w.Violations(); len(v) > 0 {
		t.Errorf("seed %d, traffic until %v, %v: %d violations, the first: %v", seed, until, names, len(v), v[:min(len(v), 6)])
	}
	assert.Check(t, w.Stats.Completed > 0)
}

// faultSequence injects random faults until a time, and returns their names.
func faultSequence(w *sim.World, random *rand.Rand, all map[string]fault, until time.Duration) (names []string) {
	keys := maps.Clone(all)
	for range 1 + random.IntN(6) {
		name := randomKey(random, keys)
		at := 2*time.Second + time.Duration(random.Int64N(int64(until)))
		names = append(names, fmt.Sprintf("%v %s", at.Round(time.Millisecond), name))
		w.At(at, func() { all[name](w, random) })
	}
	return names
}
