package pressure

import (
	"math"
	"slices"

	"bamboofall.example/bamboofall/internal/wire/jobpb"
)

// Fit is the stored form of what was learned of a serving image.
type Fit struct {
	Image string
	// OwnMean and OwnVariance are those of its headroom without neighbours.
	OwnMean, OwnVariance float64
	Pressures            []Pressure
}

// Pressure is the stored form of what was learned of a pair of images.
type Pressure struct {
	Neighbour
	// Value is the pressure, in headroom per whole worker, and Variance that of Value.
	Value, Variance float64
}

// minRestoredVariance is the lowest variance of a restored pressure, so that a change
// since the former owner's observations shows soon.
const minRestoredVariance = 0.5

// restoredReports is the number of reports for which a restored mean counts.
const restoredReports = 50

// Fits returns what was learned of each serving image, the one observed last first. The
// neighbours of each are in the same order.
func (m *Model) Fits() []Fit {
	var fits []Fit
	for name, i := range m.images.All() {
		fit := Fit{Image: name, OwnMean: i.ownMean, OwnVariance: i.ownVariance}
		for n, e := range i.pressures.All() {
			fit.Pressures = append(fit.Pressures, Pressure{n, e.value, e.variance})
		}
		fits = append(fits, fit)
	}
	return fits
}

// Restore replaces fits by those that a former owner has stored. Values that are
// negative, not a number or too large for a float32 are ignored.
func (m *Model) Restore(fits []Fit) {
	m.cached.clear()
	valid := func(v float64) bool { return v >= 0 && v < math.MaxFloat32 }
	for _, restored := range slices.Backward(fits) {
		if !valid(restored.OwnMean) || !valid(restored.OwnVariance) {
			continue
		}
		i := newImage()
		i.ownMean, i.ownVariance, i.reports = restored.OwnMean, max(minOwnVariance, restored.OwnVariance), restoredReports
		for _, p := range slices.Backward(restored.Pressures) {
			if valid(p.Value) && valid(p.Variance) {
				i.pressures.Put(p.Neighbour, &estimate{p.Value, max(minRestoredVariance, p.Variance)})
			}
		}
		m.images.Put(restored.Image, i)
	}
}

// EncodeFits returns the protobuf form of fits.
func EncodeFits(fits []Fit) []*jobpb.Fit {
	out := make([]*jobpb.Fit, 0, len(fits))
	for _, f := range fits {
		m := &jobpb.Fit{Image: f.Image, OwnMean: f.OwnMean, OwnVariance: f.OwnVariance}
		for _, p := range f.Pressures {
			m.Pressures = append(m.Pressures, &jobpb.Pressure{Image: p.Image, Serves: p.Serving, Value: p.Value, Variance: p.Variance})
		}
		out = append(out, m)
	}
	return out
}

// DecodeFits returns the fits of protobuf messages.
func DecodeFits(messages []*jobpb.Fit) []Fit {
	out := make([]Fit, 0, len(messages))
	for _, m := range messages {
		f := Fit{Image: m.GetImage(), OwnMean: m.GetOwnMean(), OwnVariance: m.GetOwnVariance()}
		for _, p := range m.GetPressures() {
			f.Pressures = append(f.Pressures, Pressure{Neighbour{Image: p.GetImage(), Serving: p.GetServes()}, p.GetValue(), p.GetVariance()})
		}
		out = append(out, f)
	}
	return out
}
