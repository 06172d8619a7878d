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

// A burst of wide jobs of two steps, whose longest tasks take almost twice as long as
// declared. Their objectives follow from the longest tasks, so most jobs can wait several
// seconds. A scheduler that goes by the declared times takes them for late when they have
// waited, serves new jobs before them and makes them late.
func TestWideJobsAreInTimeAfterBurst(t *testing.T) {
	cfg := config(12)
	cfg.FailShare, cfg.RunTimeSpread = 0, 0.28
	w := sim.New(cfg)
	random := rand.New(rand.NewPCG(12, 3))
	jobs := 0
	submit := func(at time.Duration) {
		jobs++
		spec := &bamboofall.Job{ID: bamboofall.JobID(fmt.Sprintf("%016x", jobs)), Queue: "batch", Steps: []bamboofall.Step{
			{Count: 15 + random.IntN(40), Size: bamboofall.Resources{MilliProcessors: 3500}, Estimate: 1700 * time.Millisecond},
			{Count: 15 + random.IntN(40), Size: bamboofall.Resources{MilliProcessors: 3500}, Estimate: 1700 * time.Millisecond, After: []int{0}},
		}}
		w.At(at, func() { w.Submit(spec) })
	}
	// 384 processors can complete 0.9 of the jobs a second, which take 416
	// processor-seconds each. The burst brings three times as many for 5 s.
	for at := 200 * time.Millisecond; at < 40*time.Second; {
		submit(at)
		rate := 0.75
		if at > 5*time.Second && at < 10*time.Second {
			rate = 2.7
		}
		at += time.Duration(float64(time.Second) / rate)
	}
	w.Run(70 * time.Second)
	t.Logf("%d jobs, %+v", jobs, w.Stats)
	assert.Equal(t, w.Stats.Completed, jobs)
	assert.Assert(t, w.Stats.InTime*100 >= 80*jobs, "%d of %d in time", w.Stats.InTime, jobs)
}
