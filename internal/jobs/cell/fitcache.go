package cell

import (
	"time"

	"bamboofall.example/bamboofall/internal/jobs/fitcache"
	"bamboofall.example/bamboofall/internal/jobs/tailtier"
)

// A worker gains capacity when a reservation is released, it becomes usable or is no longer
// avoided, or, for best-effort tasks, when predicted tail latencies have changed.

// capacityGain is an event after which more tasks may fit at a worker.
type capacityGain struct {
	worker *worker
	number uint64
}

// fitCache remembers which shapes fit nowhere, so that only workers with a capacity gain
// since are checked again.
type fitCache struct {
	shapes fitcache.Shapes
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
	return fitCache{shapes: fitcache.NewShapes(), lastGain: 1}
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
func (c *Cell) shapeOf(s *step) *fitcache.Shape {
	switch {
	case s.shape != nil:
	case !s.plain():
		s.shape = fitcache.NewShape(s.Size)
	default:
		key := fitcache.Key{Service: s.occ.job.queue.Service, Size: s.Size, BestEffort: s.BestEffort, Label: s.Label}
		if s.BestEffort {
			key.Image, key.Serves = s.Image, s.TailTarget > 0
		}
		s.shape = c.fits.shapes.Of(key)
	}
	return s.shape
}

// dropShapes clears the cache when it holds many shapes that no ready step uses.
func (c *Cell) dropShapes() {
	if c.fits.shapes.Clear(len(c.ready)) {
		for s := range c.ready {
			s.shape = nil
		}
	}
}

// tierOf returns the tier for a task of a step.
func tierOf(now time.Time, s *step) tailtier.Tier {
	if !s.BestEffort || now.Sub(s.readyAt) < recentWait {
		return tailtier.Recent
	}
	return tailtier.Waiting
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
