package cell

import (
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/tailtier"
)

// In a full fleet capacity is freed at a few workers at a time while thousands of tasks
// wait. A task that fitted nowhere is therefore tried again only at workers with a
// capacity gain since: a reservation was released, the worker became usable, it is no
// longer avoided, or, for best-effort tasks, predicted tail latencies have changed. Gains
// are numbered.

// taskShape holds the properties of a task that decide where it fits.
type taskShape struct {
	class *shapeClass
	size  bamboofall.Resources
	// blockedGain is, by tier, the number of the last gain as of which the shape fitted
	// nowhere, or zero if that was never checked.
	blockedGain [tailtier.Count]uint64
	// blockedPass is the last placement pass in which a task of the shape fitted nowhere.
	blockedPass uint64
}

// shapeClass groups shapes that differ in size only.
type shapeClass struct {
	// lastFailed is, by tier, the smallest size found to fit nowhere since the last gain.
	lastFailed [tailtier.Count]failedFit
}

// failedFit records that, as of a gain, a size fitted at no worker with a gain later than
// since.
type failedFit struct {
	size        bamboofall.Resources
	gain, since uint64
}

// shapeKey identifies a shape.
type shapeKey struct {
	service    string
	size       bamboofall.Resources
	bestEffort bool
	label      string
	// image is set for best-effort tasks only, as it affects which workers fit.
	image  string
	serves bool
}

// capacityGain is an event after which more tasks may fit at a worker.
type capacityGain struct {
	worker *worker
	number uint64
}

// fitCache remembers which shapes fit nowhere, so that only workers with a capacity gain
// since are checked again.
type fitCache struct {
	shapes  map[shapeKey]*taskShape
	classes map[shapeKey]*shapeClass
	// gains is ordered by number. Only the latest gain of a worker counts.
	gains    []capacityGain
	lastGain uint64
	// avoided holds workers that were rejected only because their health, or an outdated
	// capacity, makes placement avoid them for a while.
	avoided []*worker
	// pass numbers the placement passes.
	pass uint64
	// checks counts how often a worker was checked for a task.
	checks int
}

func newFitCache() fitCache {
	return fitCache{shapes: make(map[shapeKey]*taskShape), classes: make(map[shapeKey]*shapeClass), lastGain: 1}
}

// plain reports whether the placement of a task does not depend on where the other tasks
// of its step run.
func (s *step) plain() bool { return s.MaxPerWorker == 0 && s.gang == nil }

// addGain records that more tasks may fit at a worker.
func (c *Cell) addGain(w *worker) {
	c.placementDue = true
	c.queueHold(w)
	w.wasUsable = w.usable()
	r := &c.fits
	r.lastGain++
	w.lastGain = r.lastGain
	r.gains = append(r.gains, capacityGain{w, r.lastGain})
	if len(r.gains) > 4*len(c.workerList)+64 {
		kept := r.gains[:0]
		for _, g := range r.gains {
			if g.worker.lastGain == g.number && c.workers[g.worker.info.ID] == g.worker {
				kept = append(kept, g)
			}
		}
		clear(r.gains[len(kept):])
		r.gains = kept
	}
}

// addAvoided records that a worker gains capacity once it is no longer avoided.
func (c *Cell) addAvoided(w *worker) {
	if !w.avoided {
		w.avoided = true
		c.fits.avoided = append(c.fits.avoided, w)
	}
}

// endAvoidance records a gain for each worker that is no longer avoided.
func (c *Cell) endAvoidance(now time.Time) {
	r := &c.fits
	kept := r.avoided[:0]
	unsettled := c.placementDue
	for _, w := range r.avoided {
		if !c.acceptsStart(now, w) || !c.capacityReliable(now, w) {
			kept = append(kept, w)
			continue
		}
		w.avoided = false
		c.addGain(w)
	}
	c.placementDue = unsettled
	clear(r.avoided[len(kept):])
	r.avoided = kept
}

// invalidateHeadrooms drops the cached headrooms of a worker after headroomsTTL and
// records a gain, as best-effort tasks may fit by the new ones.
func (c *Cell) invalidateHeadrooms(now time.Time, w *worker) {
	if len(w.serving) == 0 || now.Sub(w.headroomsRenewedAt) < headroomsTTL {
		return
	}
	w.headroomsRenewedAt, w.cachedHeadrooms = now, nil
	unsettled := c.placementDue
	c.addGain(w)
	c.placementDue = unsettled
}

// shapeOf returns the shape of the tasks of a step, which plain steps share.
func (c *Cell) shapeOf(s *step) *taskShape {
	if s.shape != nil {
		return s.shape
	}
	if !s.plain() {
		s.shape = &taskShape{class: &shapeClass{}, size: s.Size}
		return s.shape
	}
	key := shapeKey{service: s.occ.job.queue.Service, size: s.Size, bestEffort: s.BestEffort, label: s.Label}
	if s.BestEffort {
		key.image, key.serves = s.Image, s.TailTarget > 0
	}
	r := &c.fits
	shape := r.shapes[key]
	if shape == nil {
		classKey := key
		classKey.size = bamboofall.Resources{}
		if r.classes[classKey] == nil {
			r.classes[classKey] = &shapeClass{}
		}
		shape = &taskShape{class: r.classes[classKey], size: s.Size}
		r.shapes[key] = shape
	}
	s.shape = shape
	return shape
}

// maxIdleShapes is the number of shapes above which the cache is cleared.
const maxIdleShapes = 4096

// dropShapes clears the cache when it holds many shapes that no ready step uses.
func (c *Cell) dropShapes() {
	r := &c.fits
	if len(r.shapes) <= maxIdleShapes+2*len(c.ready) {
		return
	}
	clear(r.classes)
	clear(r.shapes)
	for s := range c.ready {
		s.shape = nil
	}
}

// tierOf returns the tier for a task of a step.
func tierOf(now time.Time, s *step) tailtier.Tier {
	if !s.BestEffort || now.Sub(s.readyAt) < recentWait {
		return tailtier.Recent
	}
	return tailtier.Waiting
}

// stillBlocked reports whether a shape is known to fit nowhere.
func (c *Cell) stillBlocked(s *taskShape, tier tailtier.Tier) bool {
	last := c.fits.lastGain
	if s.blockedGain[tier] == last {
		return true
	}
	f := &s.class.lastFailed[tier]
	if f.gain != last || f.since > s.blockedGain[tier] || !f.size.Fits(s.size) {
		return false
	}
	s.blockedGain[tier] = last
	return true
}

// block records that a shape fits nowhere.
func (c *Cell) block(s *taskShape, tier tailtier.Tier) {
	last := c.fits.lastGain
	if f := &s.class.lastFailed[tier]; f.gain != last || s.size.MilliProcessors <= f.size.MilliProcessors {
		*f = failedFit{size: s.size, gain: last, since: s.blockedGain[tier]}
	}
	s.blockedGain[tier] = last
}

// gainedSince calls a function for each worker with a later gain.
func (c *Cell) gainedSince(gain uint64, visit func(*worker)) {
	for i := len(c.fits.gains) - 1; i >= 0; i-- {
		g := c.fits.gains[i]
		if g.number <= gain {
			return
		}
		if g.worker.lastGain == g.number {
			visit(g.worker)
		}
	}
}
