// Package pressure learns how much tasks disturb the serving tasks at the same worker.
//
// It is meant for fleets in which serving tasks, which have a tail-latency target, have
// reserved most processors and use about half of them, while best-effort tasks
// (Step.BestEffort), which reserve none, wait for the other half. Some pairs of images
// (programs) interfere strongly, most hardly at all, and the load of each serving task
// swings within seconds.
//
// The model works with headrooms. The headroom of a serving task is its target divided
// by its tail latency; below 1 the target is missed. The tail latency of a queue grows
// as 1/(1-utilization), so the headroom falls linearly with everything that uses the
// worker:
//
//	headroom = own headroom - sum over neighbours of share × pressure
//
// The share is the part of the worker's processors that the neighbour uses. The tail
// latency itself is not linear: the same neighbour doubles the tail of a calm service
// and multiplies that of a loaded one, so a fit of tails is dominated by outliers.
//
// The own headroom of a task follows its load, which is not known. Pressures are
// therefore learned from the changes between successive reports of the same task, in
// which the load changes little and neighbours come and go. A Track follows the own
// headroom of a task. Its load may rise while a new neighbour runs, so callers take the
// lower of that and of LowHeadroom.
package pressure

import (
	"math"
	"slices"
	"strings"
	"time"

	"bamboofall.example/bamboofall/internal/run/lru"
)

const (
	// bestEffortPrior is the pressure assumed of a best-effort image that was not
	// observed: headroom lost per whole worker. It is low enough for trying one task
	// that uses a tenth of a worker. servingPrior is the same for a serving image.
	bestEffortPrior = 1.5
	servingPrior    = 0.5
	// priorVariance is the variance of a pressure that was not observed, and
	// minVariance the lowest variance, so that a changed pressure is still learned.
	priorVariance = 9
	minVariance   = 0.1
	// reportNoise is the relative standard deviation of a reported tail latency, and
	// loadNoise that of the change of the own headroom between two reports.
	reportNoise = 0.09
	loadNoise   = 0.1
	// maxDeviations bounds the deviation from the expected change that is learned from,
	// in standard deviations.
	maxDeviations = 3
	// minShareChange is the lowest change of a neighbour's share that is learned from.
	minShareChange = 0.005
	// maxReportGap is the longest time between two reports whose difference is learned
	// from.
	maxReportGap = 1500 * time.Millisecond
	// maxHeadroom bounds reported headrooms. Above it a task is idle.
	maxHeadroom = 8
	// initialOwn and initialVariance are the mean and the variance of the own headroom
	// assumed of a serving image that was not observed.
	initialOwn      = 2.2
	initialVariance = 0.7
	// ownWeight is the lowest weight of a report in the running mean and variance of the
	// own headrooms of an image. The first reports weigh more: the initial values count as
	// initialReports.
	ownWeight      = 0.005
	initialReports = 10
	// ownDeviations is the number of standard deviations below the mean at which an own
	// headroom that was not reported is assumed.
	ownDeviations = 1.3
	// maxOwnDeviations bounds the deviation from the mean that is learned from, in standard
	// deviations: faulty workers show long tails, and after a disturbance the tail takes
	// seconds to recover. minOwnVariance keeps the bound above zero.
	maxOwnDeviations = 2
	minOwnVariance   = 0.05
	// levelNoise is the variance of an own headroom as an observation of what serving
	// neighbours take. It is large as successive reports of a task depend on each other.
	levelNoise = 8
	// maxImages is the number of serving images that are kept, and maxNeighbours that of the
	// neighbours of each, those observed last.
	maxImages     = 1024
	maxNeighbours = 512
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

// Model holds what was learned of each serving image. Create it with New.
type Model struct {
	images *lru.Map[string, *image]
	// changes is reused by learnChanges.
	changes []change
	// cached holds the pressures of one neighbour.
	cached neighbourPressures
}

// neighbourPressures holds the pressures of a neighbour on serving images, in the order in
// which they were asked for. There are few images, so a search is faster than a map.
type neighbourPressures struct {
	neighbour Neighbour
	images    []string
	values    []float64
}

// image is what was learned of a serving image.
type image struct {
	// ownMean and ownVariance are those of the own headroom of its tasks.
	ownMean, ownVariance float64
	// reports is the number of reports in the mean.
	reports   int
	pressures *lru.Map[Neighbour, *estimate]
}

// estimate is an estimate of a pressure with its variance.
type estimate struct {
	value, variance float64
}

// correct is the update of a Kalman filter: with a neighbour at a share, the headroom
// deviated from what was expected, and variance is that of the deviation.
func (e *estimate) correct(share, deviation, variance float64) {
	gain := e.variance * share / variance
	e.value = max(0, e.value-gain*deviation)
	e.variance = max(minVariance, e.variance*(1-gain*share))
}

// change is a change of a neighbour's share between two reports.
type change struct {
	*estimate
	share float64
}

func (p *neighbourPressures) clear() { p.images, p.values = p.images[:0], p.values[:0] }

// New returns a model without observations.
func New() *Model { return &Model{images: lru.New[string, *image](maxImages)} }

func newImage() *image {
	return &image{ownMean: initialOwn, ownVariance: initialVariance, pressures: lru.New[Neighbour, *estimate](maxNeighbours)}
}

// image returns what was learned of a serving image that is observed.
func (m *Model) image(name string) *image {
	i, known := m.images.Get(name)
	if !known {
		i = newImage()
	}
	m.images.Put(name, i)
	return i
}

// estimateOf returns the estimate of the pressure of a neighbour that is observed.
func (i *image) estimateOf(n Neighbour) *estimate {
	e, known := i.pressures.Get(n)
	if !known {
		e = &estimate{n.prior(), priorVariance}
	}
	i.pressures.Put(n, e)
	return e
}

// pressure returns the pressure of a neighbour.
func (i *image) pressure(n Neighbour) float64 {
	if e, known := i.pressures.Get(n); known {
		return e.value
	}
	return n.prior()
}

// Observe adds a report of a serving task: its tail latency relative to its target, and
// what else used its worker at that time. It updates the track of the task.
func (m *Model) Observe(now time.Time, serving string, t *Track, tail float64, neighbours Shares) {
	if tail <= 0 {
		return // nothing was measured yet
	}
	headroom := min(1/tail, maxHeadroom)
	m.cached.clear()
	i := m.image(serving)
	if !t.at.IsZero() && now.Sub(t.at) <= maxReportGap {
		m.learnChanges(i, t, headroom, neighbours)
	}
	own := headroom
	for _, s := range neighbours {
		if !s.Serving {
			own += s.Value * i.pressure(s.Neighbour)
		}
	}
	i.learnOwn(own, neighbours)
	t.update(now, headroom, own, neighbours)
}

// learnChanges updates the pressures of the best-effort neighbours whose shares have
// changed since the previous report of a task. It is a Kalman filter that neglects the
// covariances of pressures.
func (m *Model) learnChanges(i *image, t *Track, headroom float64, neighbours Shares) {
	m.changes = m.changes[:0]
	expected := 0.0
	variance := loadNoise*loadNoise + reportNoise*reportNoise*(headroom*headroom+t.headroom*t.headroom)
	eachChange(t.neighbours, neighbours, func(n Neighbour, share float64) {
		if n.Serving || math.Abs(share) < minShareChange {
			return
		}
		c := change{i.estimateOf(n), share}
		m.changes = append(m.changes, c)
		expected -= c.value * share
		variance += c.variance * share * share
	})
	limit := maxDeviations * math.Sqrt(variance)
	deviation := max(-limit, min(limit, headroom-t.headroom-expected))
	for _, c := range m.changes {
		c.correct(c.share, deviation, variance)
	}
}

// eachChange calls a function with the change of each neighbour's share.
func eachChange(before, after Shares, visit func(Neighbour, float64)) {
	for len(before) > 0 || len(after) > 0 {
		order := 0
		switch {
		case len(before) == 0:
			order = 1
		case len(after) == 0:
			order = -1
		default:
			order = compareNeighbours(before[0].Neighbour, after[0].Neighbour)
		}
		switch {
		case order < 0:
			visit(before[0].Neighbour, -before[0].Value)
			before = before[1:]
		case order > 0:
			visit(after[0].Neighbour, after[0].Value)
			after = after[1:]
		default:
			visit(after[0].Neighbour, after[0].Value-before[0].Value)
			before, after = before[1:], after[1:]
		}
	}
}

// learnOwn updates the mean and the variance of the own headrooms of an image, and the
// pressures of the serving neighbours, which reduce the own headroom for as long as they
// run.
func (i *image) learnOwn(own float64, neighbours Shares) {
	variance := float64(levelNoise)
	deviation := own - i.ownMean
	for _, s := range neighbours {
		if s.Serving {
			e := i.estimateOf(s.Neighbour)
			deviation += s.Value * e.value
			variance += e.variance * s.Value * s.Value
		}
	}
	for _, s := range neighbours {
		if s.Serving {
			i.estimateOf(s.Neighbour).correct(s.Value, deviation, variance)
		}
	}
	i.reports++
	weight := max(ownWeight, 1/float64(initialReports+i.reports))
	limit := maxOwnDeviations * math.Sqrt(i.ownVariance)
	if math.Abs(deviation) <= limit {
		i.ownVariance = max(minOwnVariance, i.ownVariance+weight*(deviation*deviation-i.ownVariance))
	}
	i.ownMean += weight * max(-limit, min(limit, deviation))
}

// Pressure returns how much headroom a neighbour takes from a serving image, per whole
// worker.
func (m *Model) Pressure(serving string, n Neighbour) float64 {
	if i, known := m.images.Get(serving); known {
		return i.pressure(n)
	}
	return n.prior()
}

// PressureCached is Pressure for a caller that asks for the same neighbour many times, as one
// does who looks for a worker.
func (m *Model) PressureCached(serving string, n Neighbour) float64 {
	c := &m.cached
	if c.neighbour != n {
		c.neighbour = n
		c.clear()
	}
	if i := slices.Index(c.images, serving); i >= 0 {
		return c.values[i]
	}
	value := m.Pressure(serving, n)
	c.images, c.values = append(c.images, serving), append(c.values, value)
	return value
}

// LowHeadroom returns a low estimate of the headroom of a serving image beside the given
// neighbours.
func (m *Model) LowHeadroom(serving string, neighbours Shares) float64 {
	mean, variance := initialOwn, initialVariance
	if i, known := m.images.Get(serving); known {
		mean, variance = i.ownMean, i.ownVariance
	}
	headroom := mean - ownDeviations*math.Sqrt(variance)
	for _, s := range neighbours {
		headroom -= s.Value * m.Pressure(serving, s.Neighbour)
	}
	return headroom
}

// ImagesBelow returns the serving images whose LowHeadroom without neighbours is below a
// limit, sorted by name.
func (m *Model) ImagesBelow(limit float64) []string {
	var images []string
	for image := range m.images.All() {
		if m.LowHeadroom(image, nil) < limit {
			images = append(images, image)
		}
	}
	slices.Sort(images)
	return images
}
