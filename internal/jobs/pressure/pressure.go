// Package pressure learns how much tasks that fill disturb tasks that serve.
//
// It answers fleets in which most processors are reserved by tasks that serve
// and use only a part: work that fills must run beside them, and some pairs of
// images disturb each other strongly, most not at all. For each image that
// serves, its tail latency is fitted as a base and a pressure of each image that
// fills or serves beside it times the share of the worker that it uses. Pressures
// are not negative. Old observations fade, as pressures change. The fit is robust
// (Huber weights), for the tails of a sick worker, hundreds of targets long, would
// else set the figures of its image everywhere.
package pressure

import (
	"maps"
	"math"
	"slices"
	"strings"
)

const (
	// fillPrior is what an image that fills presses that was not seen yet, in
	// targets for a whole worker: one task of a tenth of a worker may be tried.
	// servePrior is the same for an image that serves.
	fillPrior  = 1.5
	servePrior = 0.2
	// priorWeight is the weight of the prior, in squared shares: some five
	// observations of a tenth of a worker.
	priorWeight = 0.03
	// fade is the weight that an observation keeps at the next one.
	fade = 0.998
	// sweeps of coordinate descent suffice as each fit starts from the last.
	sweeps = 4
	// spread is the number of standard deviations above the mean that a tail
	// may take by its own load.
	spread = 1.3
	// residualWeight is the weight of a new residual in their running mean.
	residualWeight = 0.02
	// farTail is the tail, in targets, above which the figure says no more than
	// that the target is missed: a queue that grows has no tail.
	farTail = 3.0
	// farResidual is the residual, in targets, above which an observation weighs
	// less: a worker that is sick shows long tails whatever runs beside.
	farResidual = 0.5
	// firstBase and firstVariance are assumed of an image that was not seen.
	firstBase     = 0.45
	firstVariance = 0.02
)

// Neighbour is an image beside a task that serves.
type Neighbour struct {
	Image string
	// Serves tells tasks that serve from those that fill.
	Serves bool
}

func (n Neighbour) prior() float64 {
	if n.Serves {
		return servePrior
	}
	return fillPrior
}

// Share is the share of a worker's processors that a neighbour uses.
type Share struct {
	Neighbour
	Value float64
}

// Shares are the shares of the neighbours at a worker, in the order of the
// neighbours. Use Add.
type Shares []Share

// Add adds to the share of a neighbour.
func (s *Shares) Add(n Neighbour, value float64) {
	at, found := slices.BinarySearchFunc(*s, n, func(x Share, n Neighbour) int { return compareNeighbours(x.Neighbour, n) })
	if found {
		(*s)[at].Value += value
		return
	}
	*s = slices.Insert(*s, at, Share{n, value})
}

// Model holds what was learned. Use New.
type Model struct {
	fits map[string]*fit
}

// fit is the regression of the tail of one image that serves.
type fit struct {
	// neighbours are the columns of the regression. The first is the base.
	neighbours []Neighbour
	gram       [][]float64
	moments    []float64
	values     []float64
	variance   float64
}

// New returns a model that knows nothing.
func New() *Model { return &Model{make(map[string]*fit)} }

func newFit() *fit {
	return &fit{
		neighbours: []Neighbour{{}}, gram: [][]float64{{1}}, moments: []float64{firstBase},
		values: []float64{firstBase}, variance: firstVariance,
	}
}

// place returns the column of a neighbour and adds one if it is new.
func (f *fit) place(n Neighbour) int {
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
	f.values = append(f.values, n.prior())
	return len(f.neighbours) - 1
}

// Observe takes over the tail of an image that serves, as a share of its
// target, and what used the worker beside it.
func (m *Model) Observe(serving string, tail float64, beside Shares) {
	f := m.fits[serving]
	if f == nil {
		f = newFit()
		m.fits[serving] = f
	}
	columns := make([]int, len(beside))
	for i, s := range beside {
		columns[i] = f.place(s.Neighbour)
	}
	x := make([]float64, len(f.neighbours))
	x[0] = 1
	for i, s := range beside {
		x[columns[i]] = s.Value
	}
	expected := 0.0
	for i, v := range x {
		expected += v * f.values[i]
	}
	tail = min(tail, farTail)
	residual := math.Abs(tail - expected)
	weight := 1.0
	if residual > farResidual {
		weight = farResidual / residual
	} else {
		f.variance += residualWeight * (residual*residual - f.variance)
	}
	for i := range x {
		// The prior does not fade, so that a value without observations
		// returns to it.
		prior, moment := 0.0, 0.0
		if i > 0 {
			prior, moment = priorWeight, priorWeight*f.neighbours[i].prior()
		}
		for k := range x {
			f.gram[i][k] = f.gram[i][k]*fade + weight*x[i]*x[k]
		}
		f.gram[i][i] += (1 - fade) * prior
		f.moments[i] = f.moments[i]*fade + (1-fade)*moment + weight*x[i]*tail
	}
	f.solve()
}

// solve fits the values by coordinate descent.
func (f *fit) solve() {
	for range sweeps {
		for i := range f.values {
			rest := f.moments[i]
			for k, v := range f.values {
				if k != i {
					rest -= f.gram[i][k] * v
				}
			}
			f.values[i] = max(0, rest/f.gram[i][i])
		}
	}
}

// Pressure returns how much a neighbour disturbs an image that serves, in
// targets for a whole worker.
func (m *Model) Pressure(serving string, n Neighbour) float64 {
	f := m.fits[serving]
	if f == nil {
		return n.prior()
	}
	if i := slices.Index(f.neighbours[1:], n); i >= 0 {
		return f.values[i+1]
	}
	return n.prior()
}

// Alone returns a high tail of an image that serves with nothing beside it, as
// a share of its target.
func (m *Model) Alone(serving string) float64 {
	base, variance := firstBase, firstVariance
	if f := m.fits[serving]; f != nil {
		base, variance = f.values[0], f.variance
	}
	return base + spread*math.Sqrt(variance)
}

// Above returns the images that serve whose tails alone are expected to be above a
// share of their target.
func (m *Model) Above(share float64) []string {
	var out []string
	for image := range m.fits {
		if m.Alone(image) > share {
			out = append(out, image)
		}
	}
	slices.Sort(out)
	return out
}

// compareNeighbours makes equal observations lead to equal fits.
func compareNeighbours(a, b Neighbour) int {
	if a.Serves != b.Serves {
		if a.Serves {
			return 1
		}
		return -1
	}
	return strings.Compare(a.Image, b.Image)
}

// Fit is what was learned of an image that serves.
type Fit struct {
	Image          string
	Base, Variance float64
	Pressures      []Pressure
}

// Pressure is what was learned of a pair of images.
type Pressure struct {
	Neighbour
	Value float64
	// Weight tells how much was observed, in squared shares.
	Weight float64
}

const (
	// keptBase and keptPressure bound the weight of what a former owner has
	// learned, so that a change since then is soon noticed.
	keptBase     = 50
	keptPressure = 0.5
)

// Fits returns what was learned, in the order of the images.
func (m *Model) Fits() []Fit {
	var out []Fit
	for _, image := range slices.Sorted(maps.Keys(m.fits)) {
		f := m.fits[image]
		fit := Fit{Image: image, Base: f.values[0], Variance: f.variance}
		for i, n := range f.neighbours[1:] {
			fit.Pressures = append(fit.Pressures, Pressure{n, f.values[i+1], f.gram[i+1][i+1]})
		}
		out = append(out, fit)
	}
	return out
}

// Restore takes over what a former owner has learned. Figures that cannot be
// are left out.
func (m *Model) Restore(fits []Fit) {
	good := func(v float64) bool { return v >= 0 && v < math.MaxFloat32 }
	for _, kept := range fits {
		if !good(kept.Base) || !good(kept.Variance) {
			continue
		}
		f := newFit()
		f.values[0], f.variance = kept.Base, kept.Variance
		f.gram[0][0], f.moments[0] = keptBase, keptBase*kept.Base
		for _, p := range kept.Pressures {
			if !good(p.Value) || !good(p.Weight) {
				continue
			}
			i := f.place(p.Neighbour)
			weight := max(priorWeight, min(p.Weight, keptPressure))
			f.values[i], f.gram[i][i], f.moments[i] = p.Value, weight, weight*p.Value
		}
		m.fits[kept.Image] = f
	}
}
