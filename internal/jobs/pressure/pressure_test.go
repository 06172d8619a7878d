package pressure

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

func fills(image string) Neighbour { return Neighbour{Image: image} }

// observe plays looks at workers where pairs of images press with the given
// pressures, with a load that swings and rough figures.
func observe(m *Model, seed uint64, looks int, press map[string]float64) {
	random := rand.New(rand.NewPCG(seed, 1))
	names := []string{"heavy", "light", "none"}
	for i := range looks {
		shares := Shares{}
		for _, n := range names {
			if random.IntN(2) == 0 {
				shares.Add(fills(n), 0.05+0.15*random.Float64())
			}
		}
		tail := 0.45 + 0.15*math.Sin(float64(i)/9) + 0.05*random.NormFloat64()
		for _, s := range shares {
			tail += s.Value * press[s.Image]
		}
		m.Observe("s", tail, shares)
	}
}

func TestPressuresAreLearnedByPair(t *testing.T) {
	m := New()
	observe(m, 1, 300, map[string]float64{"heavy": 10, "light": 1})
	assert.Assert(t, math.Abs(m.Pressure("s", fills("heavy"))-10) < 1, "%v", m.Pressure("s", fills("heavy")))
	assert.Assert(t, math.Abs(m.Pressure("s", fills("light"))-1) < 0.6, "%v", m.Pressure("s", fills("light")))
	assert.Assert(t, m.Pressure("s", fills("none")) < 0.6, "%v", m.Pressure("s", fills("none")))
}

func TestAFewLooksTellAHeavyImage(t *testing.T) {
	m := New()
	for range 6 {
		m.Observe("s", 0.45, Shares{})
		m.Observe("s", 0.45+0.1*12, Shares{{fills("heavy"), 0.1}})
	}
	assert.Assert(t, m.Pressure("s", fills("heavy")) > 5, "%v", m.Pressure("s", fills("heavy")))
}

func TestPressuresThatChangeAreFollowed(t *testing.T) {
	m := New()
	observe(m, 2, 300, map[string]float64{"heavy": 10})
	observe(m, 3, 1500, map[string]float64{"heavy": 2})
	assert.Assert(t, math.Abs(m.Pressure("s", fills("heavy"))-2) < 1, "%v", m.Pressure("s", fills("heavy")))
}

// An image whose base was taken too high would get nothing beside it and be
// never corrected if looks at it alone did not count.
func TestTheBaseIsLearnedAlone(t *testing.T) {
	m := New()
	for range 20 {
		m.Observe("s", 1.4, Shares{})
	}
	high := m.Alone("s")
	for range 600 {
		m.Observe("s", 0.45, Shares{})
	}
	assert.Assert(t, high > 1.2 && m.Alone("s") < 0.75, "%v to %v", high, m.Alone("s"))
}

func TestWhatWasNotSeenIsAssumed(t *testing.T) {
	m := New()
	assert.Equal(t, m.Pressure("s", fills("new")), fillPrior)
	assert.Equal(t, m.Pressure("s", Neighbour{Image: "new", Serves: true}), servePrior)
}

func TestASuccessorKnowsWhatWasLearned(t *testing.T) {
	m, next := New(), New()
	observe(m, 1, 300, map[string]float64{"heavy": 10})
	next.Restore(m.Fits())
	assert.DeepEqual(t, next.Pressure("s", fills("heavy")), m.Pressure("s", fills("heavy")))
	assert.Equal(t, next.Alone("s"), m.Alone("s"))
	observe(next, 2, 600, map[string]float64{"heavy": 2})
	assert.Assert(t, next.Pressure("s", fills("heavy")) < 5, "%v", next.Pressure("s", fills("heavy")))
	next.Restore([]Fit{{Image: "bad", Base: math.NaN()}, {Image: "s", Pressures: []Pressure{{fills("x"), math.Inf(1), 1}}}})
	assert.Equal(t, next.Pressure("s", fills("x")), fillPrior)
}

// A sick worker shows tails of many targets whatever runs beside. They must not
// keep tasks that fill from all other workers.
func TestASickWorkerIsNotLearnedFrom(t *testing.T) {
	m := New()
	press := map[string]float64{"heavy": 10, "light": 1}
	observe(m, 1, 200, press)
	random := rand.New(rand.NewPCG(2, 1))
	for i := range 120 { // one look in six, for some 20 s
		observe(m, uint64(10+i), 5, press)
		m.Observe("s", 20+400*random.Float64(), Shares{{fills("light"), 0.1}})
	}
	assert.Assert(t, m.Alone("s") < 0.8, "alone %v", m.Alone("s"))
	assert.Equal(t, len(m.Above(0.8)), 0)
	assert.DeepEqual(t, m.Above(0.1), []string{"s"})
	assert.Assert(t, m.Pressure("s", fills("light")) < 3, "light %v", m.Pressure("s", fills("light")))
	assert.Assert(t, math.Abs(m.Pressure("s", fills("heavy"))-10) < 2, "heavy %v", m.Pressure("s", fills("heavy")))
}
