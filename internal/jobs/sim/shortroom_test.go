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

// shortRoom is a load on a fleet whose standing tasks leave little room. Rates are in jobs per
// second, bursts multiply them from burstFrom to burstTo.
type shortRoom struct {
	name                    string
	urgent, batch, standing float64
	urgentBurst, batchBurst float64
	// rival is the rate of small jobs of a rival in the same queue as batch, rivalBurst its
	// factor in the burst.
	rival, rivalBurst float64
	// width is the number of tasks of a step of a batch job.
	width int
	// spread is that of the run times.
	spread float64
	events func(*sim.World)
}

const (
	burstFrom = 10 * time.Second
	burstTo   = 16 * time.Second
	loadEnd   = 24 * time.Second
)

// callerStats counts the callers of a queue by how they fare.
type callerStats struct {
	jobs, refusedEarly, refusedLate int
}

// callers submits jobs like a client that retries a refused submission when it is told to, for
// up to 3 s and up to four times.
func callers(w *sim.World, stats map[string]*callerStats, label string, spec *bamboofall.Job, first time.Duration, try int) {
	s := stats[label]
	if s == nil {
		s = &callerStats{}
		stats[label] = s
	}
	if try == 0 {
		s.jobs++
	}
	accepted, retry := w.Submit(spec)
	if accepted {
		return
	}
	retry = max(retry, 100*time.Millisecond)
	switch left := first + 3*time.Second - w.Now(); {
	case try < 4 && retry < left:
		w.At(w.Now()+retry, func() { callers(w, stats, label, spec, first, try+1) })
	case w.Now()-first < 300*time.Millisecond:
		s.refusedEarly++
	default:
		s.refusedLate++
	}
}

func (l shortRoom) run(seed uint64) (*sim.World, map[string]*callerStats) {
	cfg := config(seed)
	cfg.Workers, cfg.PerRack, cfg.RunTimeSpread = 48, 8, max(0.12, l.spread)
	for i := range cfg.Queues {
		if cfg.Queues[i].Name == "batch" {
			cfg.Queues[i].MaxAttempts = 2
			rival := cfg.Queues[i]
			rival.Name = "rival"
			cfg.Queues = append(cfg.Queues, rival)
		}
	}
	w := sim.New(cfg)
	stats := make(map[string]*callerStats)
	random := rand.New(rand.NewPCG(seed, 9))
	n := 0
	add := func(queue string, perSecond, burst float64, from time.Duration, steps func() []bamboofall.Step) {
		for at := from; at < loadEnd && perSecond > 0; {
			rate := perSecond
			if burst > 0 && at >= burstFrom && at < burstTo {
				rate *= burst
			}
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			n++
			spec := &bamboofall.Job{ID: bamboofall.JobID(fmt.Sprintf("%016x", n)), Queue: queue, Payload: "x", Steps: steps()}
			w.At(at, func() { callers(w, stats, queue, spec, w.Now(), 0) })
		}
	}
	size := func(milliProcessors int64, memory int64) bamboofall.Resources {
		return bamboofall.Resources{MilliProcessors: milliProcessors*3/4 + random.Int64N(milliProcessors/2), MemoryBytes: memory * gb}
	}
	standing := func() []bamboofall.Step {
		return []bamboofall.Step{{Count: 6 + random.IntN(16), Size: size(6400, 13), Standing: true, TailTarget: 50 * time.Millisecond, Image: []string{"a", "b"}[random.IntN(2)]}}
	}
	batch := func(width int) func() []bamboofall.Step {
		return func() []bamboofall.Step {
			image := []string{"heavy", "light", "other"}[random.IntN(3)]
			first := bamboofall.Step{Count: 1 + random.IntN(2*width), Size: size(3500, 6), Estimate: time.Duration(700+random.IntN(1400)) * time.Millisecond, BestEffort: true, Checkpointing: true, Image: image}
			second := first
			second.Count, second.After = 1+random.IntN(2*width), []int{0}
			return []bamboofall.Step{first, second}
		}
	}
	for range 14 {
		n++
		w.Submit(&bamboofall.Job{ID: bamboofall.JobID(fmt.Sprintf("%016x", n)), Queue: "standing", Payload: "x", Steps: standing()})
	}
	add("standing", l.standing, 0, 5*time.Second, standing)
	add("urgent", l.urgent, l.urgentBurst, 5*time.Second, func() []bamboofall.Step {
		return []bamboofall.Step{{Count: 1 + random.IntN(12), Size: size(5700, 11), Estimate: time.Duration(400+random.IntN(800)) * time.Millisecond}}
	})
	add("batch", l.batch, l.batchBurst, 5*time.Second, batch(max(8, l.width)))
	add("rival", l.rival, l.rivalBurst, 5*time.Second, batch(2))
	if l.events != nil {
		l.events(w)
	}
	w.Run(60 * time.Second)
	return w, stats
}

// failEighth makes an eighth of the workers fail all runs during the burst.
func failEighth(w *sim.World) {
	set := func(fail bool) {
		for i, x := range w.Workers() {
			if i%8 == 3 {
				x.FailAll = fail
			}
		}
	}
	w.At(burstFrom, func() { set(true) })
	w.At(burstTo, func() { set(false) })
}

// shrink takes a quarter of the room of each worker away during the burst.
func shrink(w *sim.World) {
	for _, x := range w.Workers() {
		room := x.Room()
		less := bamboofall.Resources{MilliProcessors: room.MilliProcessors * 3 / 4, MemoryBytes: room.MemoryBytes * 3 / 4}
		w.At(burstFrom, func() { x.Resize(less) })
		w.At(burstTo, func() { x.Resize(room) })
	}
}

// outcome counts, over the seeds of a load, jobs in time by queue, callers that were turned away
// (other than with standing tasks) and jobs that failed.
type outcome struct{ urgent, batch, rival, refused, failed int }

func (o outcome) inTime() int { return o.urgent + o.batch + o.rival }

// Two other policies under the same loads. The former one held what best-effort tasks have now
// for their room and all processors for that of others, let the last permitted run of a task go
// to any worker, and took a run from before a worker's failures for its recovery. The other is
// the former one without shedding: the earliest objective goes first.
var shortRooms = []struct {
	shortRoom
	former, byObjective outcome
}{
	{shortRoom{name: "calm", urgent: 5, batch: 8}, outcome{250, 463, 0, 0, 3}, outcome{250, 463, 0, 0, 3}},
	{shortRoom{name: "burst of the lower kind", urgent: 5, batch: 9, batchBurst: 3}, outcome{250, 603, 0, 0, 5}, outcome{254, 568, 0, 0, 3}},
	{shortRoom{name: "burst of the urgent kind into it", urgent: 5, batch: 9, urgentBurst: 3, batchBurst: 3}, outcome{297, 558, 0, 0, 6}, outcome{272, 515, 0, 0, 6}},
	{shortRoom{name: "rival with many small jobs", urgent: 5, batch: 8, rival: 15, rivalBurst: 5}, outcome{249, 320, 1270, 0, 7}, outcome{250, 288, 1217, 0, 5}},
	{shortRoom{name: "run times off by half", urgent: 5, batch: 9, batchBurst: 2, spread: 0.5}, outcome{247, 594, 0, 0, 6}, outcome{251, 580, 0, 0, 8}},
	{shortRoom{name: "a quarter of the room away", urgent: 5, batch: 8, events: shrink}, outcome{235, 346, 0, 47, 1}, outcome{244, 339, 0, 52, 1}},
	{shortRoom{name: "wide jobs", urgent: 5, batch: 3, batchBurst: 3, width: 30}, outcome{257, 152, 0, 0, 10}, outcome{252, 127, 0, 0, 3}},
	{shortRoom{name: "standing tasks ask for more", urgent: 5, batch: 8, standing: 0.6}, outcome{203, 455, 0, 0, 3}, outcome{205, 454, 0, 0, 3}},
	{shortRoom{name: "an eighth of the workers fails all", urgent: 5, batch: 9, batchBurst: 1.5, events: failEighth}, outcome{247, 526, 0, 0, 17}, outcome{247, 524, 0, 0, 17}},
	{shortRoom{name: "new owner in a burst", urgent: 5, batch: 9, batchBurst: 2, events: func(w *sim.World) {
		w.At(burstFrom+time.Second, func() { w.ReplaceOwner(300 * time.Millisecond) })
	}}, outcome{252, 567, 0, 0, 3}, outcome{252, 554, 0, 0, 6}},
}

// When room is short, more callers get their results in time and fewer are turned away or lose
// their jobs than with the two other policies, and under no load are those of a kind worse off
// by more than chance.
func TestCallersWhenRoomIsShort(t *testing.T) {
	skipShort(t)
	outcomes := make([]outcome, len(shortRooms))
	t.Run("loads", func(t *testing.T) {
		for i, l := range shortRooms {
			t.Run(l.name, func(t *testing.T) {
				t.Parallel()
				o := l.play(t)
				outcomes[i] = o
				const chance = 0.04
				atLeast := func(kind string, got, former int) {
					assert.Assert(t, float64(got) >= (1-chance)*float64(former), "%s: %d in time, %d with the former policy", kind, got, former)
				}
				atLeast("urgent", o.urgent, l.former.urgent)
				atLeast("batch", o.batch, l.former.batch)
				atLeast("rival", o.rival, l.former.rival)
				assert.Assert(t, float64(o.inTime()) >= (1-chance)*float64(l.byObjective.inTime()), "%d in time, %d by objective alone", o.inTime(), l.byObjective.inTime())
				if l.former.failed > 15 { // others fail by the share of runs that fail anywhere
					assert.Assert(t, 3*o.failed <= 2*l.former.failed, "%d jobs failed, %d with the former policy", o.failed, l.former.failed)
				}
				assert.Assert(t, 2*o.refused <= l.former.refused, "%d callers were turned away, %d with the former policy", o.refused, l.former.refused)
			})
		}
	})
	var got, former, byObjective outcome
	for i, l := range shortRooms {
		for sum, o := range map[*outcome]outcome{&got: outcomes[i], &former: l.former, &byObjective: l.byObjective} {
			*sum = outcome{sum.urgent + o.urgent, sum.batch + o.batch, sum.rival + o.rival, sum.refused + o.refused, sum.failed + o.failed}
		}
	}
	for _, o := range []outcome{former, byObjective} {
		assert.Assert(t, got.urgent > o.urgent && got.inTime() > o.inTime() && got.refused < o.refused, "%+v; another policy: %+v", got, o)
	}
}

// play plays a load with a few seeds.
func (l shortRoom) play(t *testing.T) outcome {
	var o outcome
	for seed := uint64(1); seed <= 3; seed++ {
		w, stats := l.run(seed)
		assert.Equal(t, len(w.Violations()), 0, "seed %d: %v", seed, w.Violations())
		for q, s := range stats {
			t.Logf("seed %d, %s: %+v, %+v", seed, q, *s, *w.Stats.Queues[q])
			if q != "standing" {
				o.refused += s.refusedEarly + s.refusedLate
			}
		}
		inTime := func(q string) int {
			if s := w.Stats.Queues[q]; s != nil {
				return s.InTime
			}
			return 0
		}
		o.urgent += inTime("urgent")
		o.batch += inTime("batch")
		o.rival += inTime("rival")
		o.failed += w.Stats.Failed
	}
	t.Logf("%+v", o)
	return o
}
