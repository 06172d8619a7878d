package pressure

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

func bestEffort(image string) Neighbour { return Neighbour{Image: image} }

// observe adds simulated observations of workers at which images have the given
// pressures, with an oscillating load and measurement noise.
func observe(m *Model, seed uint64, observations int, pressures map[string]float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	images := []string{"heavy", "light", "none"}
	for i := range observations {
		shares := Shares{}
		for _, n := range images {
			if rng.IntN(2) == 0 {
				shares.Add(bestEffort(n), 0.05+0.15*rng.Float64())
			}
		}
		tail := 0.45 + 0.15*math.Sin(float64(i)/9) + 0.05*rng.NormFloat64()
		for _, s := range shares {
			tail += s.Value * pressures[s.Image]
		}
		m.Observe("s", tail, shares)
	}
}

func TestObserveLearnsPressurePerImage(t *testing.T) {
	m := New()
	observe(m, 1, 300, map[string]float64{"heavy": 10, "light": 1})
	assert.Assert(t, math.Abs(m.Pressure("s", bestEffort("heavy"))-10) < 1, "%v", m.Pressure("s", bestEffort("heavy")))
	assert.Assert(t, math.Abs(m.Pressure("s", bestEffort("light"))-1) < 0.6, "%v", m.Pressure("s", bestEffort("light")))
	assert.Assert(t, m.Pressure("s", bestEffort("none")) < 0.6, "%v", m.Pressure("s", bestEffort("none")))
}

func TestObserveDetectsHighPressureInSixObservations(t *testing.T) {
	m := New()
	for range 6 {
		m.Observe("s", 0.45, Shares{})
		m.Observe("s", 0.45+0.1*12, Shares{{bestEffort("heavy"), 0.1}})
	}
	assert.Assert(t, m.Pressure("s", bestEffort("heavy")) > 5, "%v", m.Pressure("s", bestEffort("heavy")))
}

func TestObserveFollowsChangedPressure(t *testing.T) {
	m := New()
	observe(m, 2, 300, map[string]float64{"heavy": 10})
	observe(m, 3, 1500, map[string]float64{"heavy": 2})
	assert.Assert(t, math.Abs(m.Pressure("s", bestEffort("heavy"))-2) < 1, "%v", m.Pressure("s", bestEffort("heavy")))
}

// An image whose base was estimated too high gets no neighbours. Its base can be
// corrected only if observations without neighbours count.
func TestBaseIsCorrectedByObservationsWithoutNeighbours(t *testing.T) {
	m := New()
	for range 20 {
		m.Observe("s", 1.4, Shares{})
	}
	high := m.TailAlone("s")
	for range 600 {
		m.Observe("s", 0.45, Shares{})
	}
	assert.Assert(t, high > 1.2 && m.TailAlone("s") < 0.75, "%v to %v", high, m.TailAlone("s"))
}

func TestPressureIsPriorWithoutObservations(t *testing.T) {
	m := New()
	assert.Equal(t, m.Pressure("s", bestEffort("new")), bestEffortPrior)
	assert.Equal(t, m.Pressure("s", Neighbour{Image: "new", Serving: true}), servingPrior)
}

func TestRestoreKeepsFitsAndSkipsInvalidFigures(t *testing.T) {
	m, successor := New(), New()
	observe(m, 1, 300, map[string]float64{"heavy": 10})
	successor.Restore(m.Fits())
	assert.DeepEqual(t, successor.Pressure("s", bestEffort("heavy")), m.Pressure("s", bestEffort("heavy")))
	assert.Equal(t, successor.TailAlone("s"), m.TailAlone("s"))
	observe(successor, 2, 600, map[string]float64{"heavy": 2})
	assert.Assert(t, successor.Pressure("s", bestEffort("heavy")) < 5, "%v", successor.Pressure("s", bestEffort("heavy")))
	successor.Restore([]Fit{{Image: "bad", Base: math.NaN()}, {Image: "s", Pressures: []Pressure{{bestEffort("x"), math.Inf(1), 1}}}})
	assert.Equal(t, successor.Pressure("s", bestEffort("x")), bestEffortPrior)
}

// A faulty worker shows tails of many times the target whatever else runs there.
// These must not keep best-effort tasks off all other workers.
func TestOutliersOfFaultyWorkerBarelyChangeFit(t *testing.T) {
	m := New()
	pressures := map[string]float64{"heavy": 10, "light": 1}
	observe(m, 1, 200, pressures)
	rng := rand.New(rand.NewPCG(2, 1))
	for i := range 120 { // one observation in six, for about 20 s
		observe(m, uint64(10+i), 5, pressures)
		m.Observe("s", 20+400*rng.Float64(), Shares{{bestEffort("light"), 0.1}})
	}
	assert.Assert(t, m.TailAlone("s") < 0.8, "alone %v", m.TailAlone("s"))
	assert.Equal(t, len(m.ImagesAbove(0.8)), 0)
	assert.DeepEqual(t, m.ImagesAbove(0.1), []string{"s"})
	assert.Assert(t, m.Pressure("s", bestEffort("light")) < 3, "light %v", m.Pressure("s", bestEffort("light")))
	assert.Assert(t, math.Abs(m.Pressure("s", bestEffort("heavy"))-10) < 2, "heavy %v", m.Pressure("s", bestEffort("heavy")))
}
