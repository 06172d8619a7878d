package pressure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func bestEffort(image string) Neighbour { return Neighbour{Image: image} }

// fleet simulates workers with one serving task each, whose tail latency is that of a
// queue: base / (1 - utilization), with a target of five times the base. The load of the
// task swings between 0.22 and 0.68 within 14 s.
type fleet struct {
	model   *Model
	random  *rand.Rand
	now     time.Time
	workers []fleetWorker
	// pressures maps best-effort images to the utilization that they add, per whole
	// worker.
	pressures map[string]float64
}

type fleetWorker struct {
	track Track
	phase float64
	// neighbours are the best-effort tasks at the worker, which change every 1.5 s.
	neighbours Shares
}

func newFleet(seed uint64, workers int, pressures map[string]float64) *fleet {
	f := &fleet{model: New(), random: rand.New(rand.NewPCG(seed, 1)), now: start, pressures: pressures}
	f.workers = make([]fleetWorker, workers)
	for i := range f.workers {
		f.workers[i].phase = 2 * math.Pi * f.random.Float64()
	}
	return f
}

// target is the number of base latencies that a serving task may take.
const target = 5

// tail returns the tail latency of a worker's task, relative to its target.
func (f *fleet) tail(w *fleetWorker) float64 {
	utilization := 0.45 * (1 + 0.5*math.Sin(w.phase+2*math.Pi*f.now.Sub(start).Seconds()/14))
	for _, s := range w.neighbours {
		utilization += s.Value * f.pressures[s.Image]
	}
	return 1 / (target * (1 - min(0.99, utilization)))
}

// run reports the tails of all workers every 0.5 s, with a noise of 8%.
func (f *fleet) run(reports int, images ...string) {
	for i := range reports {
		f.now = f.now.Add(500 * time.Millisecond)
		for k := range f.workers {
			w := &f.workers[k]
			if (i+k)%3 == 0 {
				w.neighbours = nil
				for _, image := range images {
					if f.random.IntN(2) == 0 {
						w.neighbours.Add(bestEffort(image), 0.05+0.1*f.random.Float64())
					}
				}
			}
			f.model.Observe(f.now, "s", &w.track, f.tail(w)*(1+0.08*f.random.NormFloat64()), w.neighbours)
		}
	}
}

func (f *fleet) pressure(image string) float64 { return f.model.Pressure("s", bestEffort(image)) }

// The load of the serving tasks changes their tails more than a light neighbour does. A
// fit of tails by the neighbours at hand cannot tell the two apart.
func TestObserveTellsHeavyFromLightNeighboursOfLoadedServices(t *testing.T) {
	f := newFleet(1, 20, map[string]float64{"heavy": 1.2, "light": 0.08})
	f.run(40, "heavy", "light", "none")
	assert.Assert(t, math.Abs(f.pressure("heavy")-target*1.2) < 1, "heavy %v", f.pressure("heavy"))
	assert.Assert(t, math.Abs(f.pressure("light")-target*0.08) < 0.6, "light %v", f.pressure("light"))
	assert.Assert(t, f.pressure("none") < 0.8, "none %v", f.pressure("none"))
}

func TestObserveDetectsHighPressureInSixObservations(t *testing.T) {
	m := New()
	track := Track{}
	for i := range 6 {
		now := start.Add(time.Duration(i) * time.Second)
		m.Observe(now, "s", &track, 0.45, nil)
		m.Observe(now.Add(500*time.Millisecond), "s", &track, 1/(1/0.45-0.1*6), Shares{{bestEffort("heavy"), 0.1}})
	}
	assert.Assert(t, m.Pressure("s", bestEffort("heavy")) > 4, "%v", m.Pressure("s", bestEffort("heavy")))
}

func TestObserveFollowsChangedPressure(t *testing.T) {
	f := newFleet(2, 20, map[string]float64{"heavy": 1.2})
	f.run(20, "heavy")
	f.pressures["heavy"] = 0.2
	f.run(75, "heavy")
	assert.Assert(t, math.Abs(f.pressure("heavy")-target*0.2) < 0.7, "%v", f.pressure("heavy"))
}

// An image whose headroom was estimated too low gets no neighbours. The estimate can be
// corrected only if observations without neighbours count.
func TestOwnHeadroomIsCorrectedByObservationsWithoutNeighbours(t *testing.T) {
	m := New()
	track := Track{}
	observe := func(count int, tail float64) {
		for range count {
			m.Observe(start, "s", &track, tail, nil)
		}
	}
	observe(600, 1.4)
	low := m.LowHeadroom("s", nil)
	observe(600, 0.45)
	assert.Assert(t, low < 0.9 && m.LowHeadroom("s", nil) > 1.2, "%v to %v", low, m.LowHeadroom("s", nil))
}

func TestPressureIsPriorWithoutObservations(t *testing.T) {
	m := New()
	assert.Equal(t, m.Pressure("s", bestEffort("new")), bestEffortPrior)
	assert.Equal(t, m.Pressure("s", Neighbour{Image: "new", Serving: true}), servingPrior)
}

// Serving neighbours stay, so they are learned from the level of the headroom.
func TestObserveLearnsPressureOfServingNeighbours(t *testing.T) {
	m := New()
	tracks := make([]Track, 40)
	random := rand.New(rand.NewPCG(3, 1))
	for i := range 100 {
		for k := range tracks {
			neighbours, headroom := Shares(nil), 2.6+0.3*random.NormFloat64()
			if k%2 == 0 {
				neighbours, headroom = Shares{{Neighbour{"other", true}, 0.4}}, headroom-0.4*3
			}
			m.Observe(start.Add(time.Duration(i)*500*time.Millisecond), "s", &tracks[k], 1/max(0.2, headroom), neighbours)
		}
	}
	pressure := m.Pressure("s", Neighbour{"other", true})
	assert.Assert(t, math.Abs(pressure-3) < 0.7, "%v", pressure)
}

func TestTrackForgetsOldReports(t *testing.T) {
	m, track := New(), Track{}
	_, known := track.OwnHeadroom(start)
	assert.Assert(t, !known)
	m.Observe(start, "s", &track, 0.5, Shares{{bestEffort("light"), 0.2}})
	own, known := track.OwnHeadroom(start.Add(time.Second))
	assert.Assert(t, known)
	assert.Equal(t, own, 2+0.2*bestEffortPrior)
	_, known = track.OwnHeadroom(start.Add(maxTrackAge + time.Millisecond))
	assert.Assert(t, !known)
}

func TestRestoreKeepsFitsAndSkipsInvalidFigures(t *testing.T) {
	f, successor := newFleet(1, 20, map[string]float64{"heavy": 1.2}), newFleet(2, 20, map[string]float64{"heavy": 0.2})
	f.run(40, "heavy")
	successor.model.Restore(f.model.Fits())
	assert.Equal(t, successor.pressure("heavy"), f.pressure("heavy"))
	assert.Equal(t, successor.model.LowHeadroom("s", nil), f.model.LowHeadroom("s", nil))
	successor.run(60, "heavy")
	assert.Assert(t, successor.pressure("heavy") < 2.5, "%v", successor.pressure("heavy"))
	successor.model.Restore([]Fit{{Image: "bad", OwnMean: math.NaN()}, {Image: "s", Pressures: []Pressure{{bestEffort("x"), math.Inf(1), 1}}}})
	assert.Equal(t, successor.pressure("x"), bestEffortPrior)
}

// A faulty worker shows tails of many times the target whatever else runs there.
// These must not keep best-effort tasks off all other workers.
func TestOutliersOfFaultyWorkersBarelyChangeFit(t *testing.T) {
	f := newFleet(4, 20, map[string]float64{"heavy": 1.2, "light": 0.08})
	f.run(20, "heavy", "light")
	faulty := make([]Track, 4)
	for i := range 40 {
		f.run(1, "heavy", "light")
		for k := range faulty {
			var neighbours Shares
			if (i+k)%2 == 0 {
				neighbours.Add(bestEffort("light"), 0.1)
			}
			f.model.Observe(f.now, "s", &faulty[k], 20+400*f.random.Float64(), neighbours)
		}
	}
	assert.Assert(t, f.model.LowHeadroom("s", nil) > 1.25, "own %v", f.model.LowHeadroom("s", nil))
	assert.Equal(t, len(f.model.ImagesBelow(1.25)), 0)
	assert.DeepEqual(t, f.model.ImagesBelow(2.5), []string{"s"})
	assert.Assert(t, f.pressure("light") < 1, "light %v", f.pressure("light"))
	assert.Assert(t, math.Abs(f.pressure("heavy")-target*1.2) < 1, "heavy %v", f.pressure("heavy"))
}

func BenchmarkObserve(b *testing.B) {
	f := newFleet(1, 900, map[string]float64{})
	images := make([]string, 30)
	for i := range images {
		images[i] = fmt.Sprintf("image %d", i)
	}
	for k := range f.workers {
		for range 4 {
			f.workers[k].neighbours.Add(bestEffort(images[f.random.IntN(len(images))]), 0.1)
		}
	}
	for i := 0; b.Loop(); i++ {
		w := &f.workers[i%len(f.workers)]
		f.model.Observe(start.Add(time.Duration(i)*time.Millisecond), images[i%16], &w.track, 0.4+0.1*f.random.Float64(), w.neighbours)
	}
}

func TestCachedPressureFollowsModel(t *testing.T) {
	m := New()
	fill, other := Neighbour{Image: "fill"}, Neighbour{Image: "other"}
	same := func(when string) {
		t.Helper()
		for range 2 {
			for _, n := range []Neighbour{fill, other, {Image: "fill", Serving: true}} {
				for _, serving := range []string{"a", "b"} {
					assert.Equal(t, m.PressureCached(serving, n), m.Pressure(serving, n), "%s: %s beside %v", when, serving, n)
				}
			}
		}
	}
	same("new")
	var track Track
	at := time.Unix(1000, 0)
	for i := range 20 {
		share := Shares{{fill, float64(i%2) * 0.5}}
		m.Observe(at, "a", &track, 0.4+0.5*float64(i%2), share)
		at = at.Add(200 * time.Millisecond)
		assert.Equal(t, m.PressureCached("a", fill), m.Pressure("a", fill))
	}
	assert.Assert(t, m.Pressure("a", fill) != m.Pressure("b", fill), "nothing was learned")
	same("observed")
	restored := New()
	restored.PressureCached("a", fill)
	restored.Restore(m.Fits())
	assert.Equal(t, restored.PressureCached("a", fill), m.Pressure("a", fill))
}
