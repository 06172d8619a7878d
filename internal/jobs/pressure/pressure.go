// Package pressure learns how much tasks raise the tail latency of serving tasks at
// the same worker.
//
// Two kinds of tasks share workers: serving tasks, which have a tail-latency
// target, and best-effort tasks (Step.BestEffort), which reserve no processors and use
// what other tasks leave idle. In a fleet where serving tasks have reserved most
// processors and use only a part of them, best-effort tasks must run beside serving
// tasks; some pairs of images (programs) interfere strongly, most not at all.
//
// For each serving image the model fits its tail latency, relative to the target,
// as a base plus, for each image at the same worker, the share of the worker that
// the image uses times a coefficient, the pressure. Pressures are not negative. Old
// observations decay, since pressures change. The fit is robust (Huber weights):
// otherwise a faulty worker, whose tails can be hundreds of times the target, would
// determine the fit of its images for the whole fleet.
package pressure

import (
	"maps"
	"math"
	"slices"
	"strings"
)

const (
	// bestEffortPrior is the pressure assumed of a best-effort image that was not
	// observed, in multiples of the target per whole worker. It is low enough for
	// trying one task that uses a tenth of a worker. servingPrior is the same for a
	// serving image.
	bestEffortPrior = 1.5
	servingPrior    = 0.2
	// priorWeight is the weight of the prior, in squared shares: that of three
	// observations of a tenth of a worker.
	priorWeight = 3 * 0.1 * 0.1
	// decay is the factor by which the weight of earlier observations shrinks with
	// each new one.
	decay = 0.998
	// solverSweeps is the number of coordinate-descent sweeps per observation. A
	// few suffice, as each fit starts from the previous one.
	solverSweeps = 4
	// tailStdDevs is the number of standard deviations above the mean that a tail
	// is expected to reach by variations of its own load.
	tailStdDevs = 1.3
	// residualWeight is the weight of a new squared residual in the running
	// variance.
	residualWeight = 0.02
	// maxTail is the tail, in multiples of the target, at which observations are
	// cut off. A higher value says only that the target is missed, since a growing
	// queue has no steady tail.
	maxTail = 3.0
	// huberThreshold is the residual, in multiples of the target, above which an
	// observation gets less weight: a faulty worker shows long tails whatever else
	// runs there.
	huberThreshold = 0.5
	// initialBase and initialVariance are assumed of a serving image that was not
	// observed.
	initialBase     = 0.45
	initialVariance = 0.02
)

// Neighbour is an image that runs at the same worker as a serving task.
type Neighbour struct {
	Image string
	// Serving is set for serving tasks of the image and unset for best-effort tasks.
	Serving bool
}

func (n Neighbour) prior() float64 {
	if n.Serving {
		return servingPrior
	}
	return bestEffortPrior
}

// Share is the share of a worker's processors that a neighbour uses, from 0 to 1.
type Share struct {
	Neighbour
	Value float64
}

// Shares are the shares of all neighbours at a worker, sorted by neighbour. Use Add
// to build them.
type Shares []Share

// Add adds to the share of a neighbour.
func (s *Shares) Add(n Neighbour, value float64) {
	i, found := slices.BinarySearchFunc(*s, n, func(share Share, n Neighbour) int { return compareNeighbours(share.Neighbour, n) })
	if found {
		(*s)[i].Value += value
		return
	}
	*s = slices.Insert(*s, i, Share{n, value})
}

// Model holds one fit per serving image. Create it with New.
type Model struct {
	fits map[string]*fit
}

// fit is the regression of the tail of one serving image.
type fit struct {
	// neighbours are the columns of the regression. Column 0 is the base.
	neighbours []Neighbour
	// gram and moments are the weighted normal equations, with the priors.
	gram    [][]float64
	moments []float64
	// coefficients are the base and the pressures, variance the running mean of the
	// squared residuals without outliers.
	coefficients []float64
	variance     float64
}

// New returns a model without observations.
func New() *Model { return &Model{make(map[string]*fit)} }

func newFit() *fit {
	return &fit{
		neighbours: []Neighbour{{}}, gram: [][]float64{{1}}, moments: []float64{initialBase},
		coefficients: []float64{initialBase}, variance: initialVariance,
	}
}

// column returns the column of a neighbour, which it adds if it is new.
func (f *fit) column(n Neighbour) int {
	if i := slices.Index(f.neighbours[1:], n); i >= 0 {
		return i + 1
	}
	f.neighbours = append(f.neighbours, n)
	for i := range f.gram {
		f.gram[i] = append(f.gram[i], 0)
	}
	row := make([]float64, len(f.neighbours))
	row[len(row)-1] = priorWeight
	f.gram = append(f.gram, row)
	f.moments = append(f.moments, priorWeight*n.prior())
	f.coefficients = append(f.coefficients, n.prior())
	return len(f.neighbours) - 1
}

// Observe adds an observation: the tail of a serving image relative to its target,
// and what else used its worker at that time.
func (m *Model) Observe(serving string, tail float64, neighbours Shares) {
	f := m.fits[serving]
	if f == nil {
		f = newFit()
		m.fits[serving] = f
	}
	columns := make([]int, len(neighbours))
	for i, s := range neighbours {
		columns[i] = f.column(s.Neighbour)
	}
	inputs := make([]float64, len(f.neighbours))
	inputs[0] = 1
	for i, s := range neighbours {
		inputs[columns[i]] = s.Value
	}
	expected := 0.0
	for i, v := range inputs {
		expected += v * f.coefficients[i]
	}
	tail = min(tail, maxTail)
	residual := math.Abs(tail - expected)
	observationWeight := 1.0
	if residual > huberThreshold {
		observationWeight = huberThreshold / residual
	} else {
		f.variance += residualWeight * (residual*residual - f.variance)
	}
	for i := range inputs {
		// The prior does not decay, so that a coefficient without new observations
		// returns to it.
		priorGram, priorMoment := 0.0, 0.0
		if i > 0 {
			priorGram, priorMoment = priorWeight, priorWeight*f.neighbours[i].prior()
		}
		for k := range inputs {
			f.gram[i][k] = f.gram[i][k]*decay + observationWeight*inputs[i]*inputs[k]
		}
		f.gram[i][i] += (1 - decay) * priorGram
		f.moments[i] = f.moments[i]*decay + (1-decay)*priorMoment + observationWeight*inputs[i]*tail
	}
	f.solve()
}

// solve updates the coefficients by coordinate descent.
func (f *fit) solve() {
	for range solverSweeps {
		for i := range f.coefficients {
			residual := f.moments[i]
			for k, v := range f.coefficients {
				if k != i {
					residual -= f.gram[i][k] * v
				}
			}
			f.coefficients[i] = max(0, residual/f.gram[i][i])
		}
	}
}

// Pressure returns how much a neighbour raises the tail of a serving image, in
// multiples of the target per whole worker.
func (m *Model) Pressure(serving string, n Neighbour) float64 {
	f := m.fits[serving]
	if f == nil {
		return n.prior()
	}
	if i := slices.Index(f.neighbours[1:], n); i >= 0 {
		return f.coefficients[i+1]
	}
	return n.prior()
}

// TailAlone returns a high estimate of the tail of a serving image without neighbours,
// relative to its target.
func (m *Model) TailAlone(serving string) float64 {
	base, variance := initialBase, initialVariance
	if f := m.fits[serving]; f != nil {
		base, variance = f.coefficients[0], f.variance
	}
	return base + tailStdDevs*math.Sqrt(variance)
}

// ImagesAbove returns the serving images for which TailAlone is above a limit, sorted by
// name. The limit is relative to the target.
func (m *Model) ImagesAbove(limit float64) []string {
	var images []string
	for image := range m.fits {
		if m.TailAlone(image) > limit {
			images = append(images, image)
		}
	}
	slices.Sort(images)
	return images
}

// compareNeighbours defines the order of shares. It is fixed so that equal
// observations lead to equal fits.
func compareNeighbours(a, b Neighbour) int {
	if a.Serving != b.Serving {
		if a.Serving {
			return 1
		}
		return -1
	}
	return strings.Compare(a.Image, b.Image)
}

// Fit is the stored form of what was learned of a serving image.
type Fit struct {
	Image string
	// Base is the tail without neighbours, relative to the target, and Variance the
	// mean squared residual without outliers.
	Base, Variance float64
	Pressures      []Pressure
}

// Pressure is the stored form of what was learned of a pair of images.
type Pressure struct {
	Neighbour
	// Value is the pressure, in multiples of the target per whole worker.
	Value float64
	// Weight is the weight of the observations, in squared shares.
	Weight float64
}

const (
	// restoredBaseWeight is the weight of a restored base, and maxRestoredWeight
	// the maximum weight of a restored pressure. They are low, so that a change
	// since the former owner's observations shows soon.
	restoredBaseWeight = 50
	maxRestoredWeight  = 0.5
)

// Fits returns what was learned, sorted by image.
func (m *Model) Fits() []Fit {
	var fits []Fit
	for _, image := range slices.Sorted(maps.Keys(m.fits)) {
		f := m.fits[image]
		fit := Fit{Image: image, Base: f.coefficients[0], Variance: f.variance}
		for i, n := range f.neighbours[1:] {
			fit.Pressures = append(fit.Pressures, Pressure{n, f.coefficients[i+1], f.gram[i+1][i+1]})
		}
		fits = append(fits, fit)
	}
	return fits
}

// Restore replaces fits by those that a former owner has stored. Values that are
// negative, not a number or too large for a float32 are ignored.
func (m *Model) Restore(fits []Fit) {
	valid := func(v float64) bool { return v >= 0 && v < math.MaxFloat32 }
	for _, restored := range fits {
		if !valid(restored.Base) || !valid(restored.Variance) {
			continue
		}
		f := newFit()
		f.coefficients[0], f.variance = restored.Base, restored.Variance
		f.gram[0][0], f.moments[0] = restoredBaseWeight, restoredBaseWeight*restored.Base
		for _, p := range restored.Pressures {
			if !valid(p.Value) || !valid(p.Weight) {
				continue
			}
			i := f.column(p.Neighbour)
			weight := max(priorWeight, min(p.Weight, maxRestoredWeight))
			f.coefficients[i], f.gram[i][i], f.moments[i] = p.Value, weight, weight*p.Value
		}
		m.fits[restored.Image] = f
	}
}
