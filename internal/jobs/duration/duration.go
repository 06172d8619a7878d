// Package duration estimates how long tasks and steps take.
//
// It is meant for jobs whose declared run times are rough: an image (program) may take
// longer or shorter than declared, and the tasks of a step differ from each other. A step
// takes as long as its longest task, so a wide step takes much longer than its mean task.
// A scheduler that neglects this gives callers of wide jobs too early an objective, takes
// their jobs for late while they can still be in time, and serves others first.
package duration

import (
	"iter"
	"maps"
	"math"
	"slices"
	"time"

	"bamboofall.example/bamboofall/internal/run/lru"
)

const (
	// ratioWeight is the weight of a run in the mean ratio of an image.
	ratioWeight = 0.1
	// maxRatioStep is the highest multiple of the mean ratio with which a run counts.
	maxRatioStep = 3
	// initialSpread is assumed before the first step has been observed.
	initialSpread = 0.2
	// spreadWeight is the weight of a step in the variance of run times within steps.
	spreadWeight = 0.02
	// minSampleSize is the number of runs of a step from which on their spread counts.
	minSampleSize = 3
	// maxSpread bounds the spread, as a faulty worker may take many times as long.
	maxSpread = 0.6
	// maxImages is the number of images whose ratios are kept, those observed last.
	maxImages = 4096
)

// Model holds what was learned of run times. Create it with New.
type Model struct {
	// Ratios are the mean ratios of actual to declared run time, by image.
	ratios *lru.Map[string, float64]
	// variance is the mean variance of the logarithms of run times within a step.
	variance float64
}

// New returns a model without observations.
func New() *Model {
	return &Model{ratios: lru.New[string, float64](maxImages), variance: initialSpread * initialSpread}
}

// ratio returns the mean ratio of actual to declared run time.
func (m *Model) ratio(image string) float64 {
	if r, known := m.ratios.Get(image); known {
		return r
	}
	return 1
}

// Expected returns the expected run time of a task.
func (m *Model) Expected(image string, declared time.Duration) time.Duration {
	return time.Duration(m.ratio(image) * float64(declared))
}

// Longest returns the expected run time of the longest of a number of tasks of a step.
func (m *Model) Longest(image string, declared time.Duration, count int) time.Duration {
	return time.Duration(math.Exp(m.Spread()*highestDeviation(count)) * float64(m.Expected(image, declared)))
}

// Spread returns the standard deviation of the logarithms of run times within a step.
func (m *Model) Spread() float64 { return math.Sqrt(m.variance) }

// highestDeviation returns the expected highest of n independent standard normal
// variables, by Blom's approximation.
func highestDeviation(n int) float64 {
	if n <= 1 {
		return 0
	}
	p := (float64(n) - 0.375) / (float64(n) + 0.25)
	return math.Sqrt2 * math.Erfinv(2*p-1)
}

// Observe adds the run time of a task.
func (m *Model) Observe(image string, declared, took time.Duration) {
	r := m.ratio(image)
	sample := min(float64(took)/float64(declared), maxRatioStep*r)
	m.ratios.Put(image, r+ratioWeight*(sample-r))
}

// Sample holds the run times of the tasks of a step. The zero value is empty.
type Sample struct {
	count        int
	sum, squares float64
	longest      time.Duration
}

// Count returns the number of run times.
func (s *Sample) Count() int { return s.count }

// Longest returns the longest run time, or zero if there is none.
func (s *Sample) Longest() time.Duration { return s.longest }

// Add adds a run time.
func (s *Sample) Add(took time.Duration) {
	if took <= 0 {
		return
	}
	x := math.Log(took.Seconds())
	s.count++
	s.sum += x
	s.squares += x * x
	s.longest = max(s.longest, took)
}

// ObserveStep adds the run times of the tasks of a completed step.
func (m *Model) ObserveStep(s Sample) {
	if s.count < minSampleSize {
		return
	}
	n := float64(s.count)
	variance := max(0, (s.squares-s.sum*s.sum/n)/(n-1))
	m.variance += spreadWeight * (min(variance, maxSpread*maxSpread) - m.variance)
}

// Ratios returns the mean ratios of actual to declared run time by image, the one observed
// last first.
func (m *Model) Ratios() iter.Seq2[string, float64] { return m.ratios.All() }

// Restore replaces ratios and the spread by those that a former owner has stored. Values
// that are not positive or not finite are ignored.
func (m *Model) Restore(ratios map[string]float64, spread float64) {
	valid := func(v float64) bool { return v > 0 && !math.IsInf(v, 1) }
	for _, image := range slices.Sorted(maps.Keys(ratios)) {
		if valid(ratios[image]) {
			m.ratios.Put(image, ratios[image])
		}
	}
	if valid(spread) {
		spread = min(spread, maxSpread)
		m.variance = spread * spread
	}
}
