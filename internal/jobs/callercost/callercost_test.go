package callercost

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// stake is that of a job that takes 2 s and is due 3 s after it was accepted.
func stake() Stake {
	return Stake{Accepted: start, Due: start.Add(3 * time.Second), CriticalPath: 2 * time.Second, Error: 0.2}
}

func TestValueFallsWithDelay(t *testing.T) {
	last := 1.0
	for _, c := range []struct {
		delay    time.Duration
		min, max float64
	}{{0, 0.97, 1}, {time.Second, 0.62, 0.63}, {3 * time.Second, 0.24, 0.26}, {7 * time.Second, 0.12, 0.13}, {9 * time.Second, 0, 0}} {
		v := stake().Value(start.Add(c.delay))
		assert.Assert(t, v >= c.min && v <= c.max && v <= last, "after %v: %v", c.delay, v)
		last = v
	}
}

// The last permitted run waits for a better worker while there is time for that.
func TestLastRunWaitsForBetterWorker(t *testing.T) {
	for _, c := range []struct {
		name     string
		at       time.Duration
		waited   time.Duration
		failures int
		start    bool
	}{
		{"worker without failures", 0, 0, 0, true},
		{"worker that failed once", 0, 0, 1, false},
		{"the objective is close", 900 * time.Millisecond, 0, 1, true},
		{"the objective is close, but runs fail there", 0, 0, 9, false},
		{"late already", 4 * time.Second, 0, 2, false},
		{"late and waited long enough", 4 * time.Second, maxWait, 2, true},
		{"without value", 20 * time.Second, 0, 2, true},
	} {
		assert.Equal(t, stake().Worthwhile(start.Add(c.at), c.waited, c.failures), c.start, c.name)
	}
}

func TestDensityCountsCallersAndWork(t *testing.T) {
	mean := 60 * time.Second
	small, large := Density(mean/4, mean/4, mean), Density(4*mean, 4*mean, mean)
	assert.Assert(t, small > large)
	assert.Assert(t, large > 1-headShare, "large jobs would wait for ever: %v", large)
	assert.Assert(t, Density(mean, mean/4, mean) > small, "work that is done counts")
}

func TestErrorsAreLearnedByQueue(t *testing.T) {
	var e Errors
	assert.Equal(t, e.Of("a", 0.2), 0.2)
	for range 100 {
		e.Observe("a", time.Second, 2*time.Second)
		e.Observe("b", time.Second, time.Second)
	}
	assert.Assert(t, e.Of("a", 0.2) > 0.69 && e.Of("a", 0.2) < 0.70)
	assert.Equal(t, e.Of("b", 0.2), 0.0)
}
