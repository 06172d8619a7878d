package cell

import (
	"time"

	"bamboofall.example/bamboofall"
)

// A full fleet gives room back at a few workers at a time, while thousands of
// tasks wait. What found no room anywhere is therefore looked at again only at
// the workers that have gained since: where a task did not fit, it fits only
// after room was given back, the worker came back, its pause is over, or, for a
// task that fills, tails are expected anew.

// tailTier tells up to which expected tail a task that fills is placed.
type tailTier uint8

const (
	// tierRecent is for tasks that have not waited for long, starving for the first
	// task of a job that has waited for too long.
	tierRecent tailTier = iota
	tierWaiting
	tierStarved
	numTailTiers
)

// limit returns the expected tail up to which tasks are placed.
func (t tailTier) limit() float64 {
	return [numTailTiers]float64{maxRecentTail, maxExpectedTail, maxStarvedTail}[t]
}

// taskShape is what decides whether a plain task finds room.
type taskShape struct {
	class *shapeClass
	size  bamboofall.Resources
	// blockedGain is the gain up to which no worker has room, by the expected tail, or
	// zero if that was not looked for.
	blockedGain [numTailTiers]uint64
	// blockedPass is the last pass in which a task found no room.
	blockedPass uint64
}

// shapeClass is what shapes of all sizes have in common.
type shapeClass struct {
	// lastFailed is the last size that found no room.
	lastFailed [numTailTiers]failedFit
}

// failedFit says that workers that gained after since had no room at a gain.
type failedFit struct {
	size        bamboofall.Resources
	gain, since uint64
}

// shapeKey names a shape.
type shapeKey struct {
	service string
	size    bamboofall.Resources
	fills   bool
	label   string
	// image is set for tasks that fill: where they may go depends on it.
	image  string
	serves bool
}

// capacityGain is when a worker gained room or came back.
type capacityGain struct {
	worker *worker
	number uint64
}

// fitCache finds out where to look again.
type fitCache struct {
	shapes  map[shapeKey]*taskShape
	classes map[shapeKey]*shapeClass
	// gains are in their order. Only the last one of a worker counts.
	gains    []capacityGain
	lastGain uint64
	// avoided are workers that did not fit only because they are left alone for a
	// while.
	avoided []*worker
	pass    uint64
	// checks counts how often a worker was looked at for a task.
	checks int
}

func newFitCache() fitCache {
	return fitCache{shapes: make(map[shapeKey]*taskShape), classes: make(map[shapeKey]*shapeClass), lastGain: 1}
}

// plain reports whether only the size and the label of a task bind where it goes.
func (s *step) plain() bool { return s.MaxPerWorker == 0 && s.gang == nil }

// noteGain notes that tasks may fit at a worker that did not before.
func (c *Cell) noteGain(w *worker) {
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

// noteAvoided notes that a worker will gain once it is not left alone any more.
func (c *Cell) noteAvoided(w *worker) {
	if !w.avoided {
		w.avoided = true
		c.fits.avoided = append(c.fits.avoided, w)
	}
}

// endAvoidance notes which workers are not left alone any more.
func (c *Cell) endAvoidance(now time.Time) {
	r := &c.fits
	kept := r.avoided[:0]
	unsettled := c.placementDue
	for _, w := range r.avoided {
		if !w.health.accepts(now) {
			kept = append(kept, w)
			continue
		}
		w.avoided = false
		c.noteGain(w)
	}
	c.placementDue = unsettled
	clear(r.avoided[len(kept):])
	r.avoided = kept
}

// invalidateTails notes that tasks that fill may fit at a worker by what was learned of
// tails since.
func (c *Cell) invalidateTails(now time.Time, w *worker) {
	if len(w.serving) == 0 || now.Sub(w.tailsRenewedAt) < tailsTTL {
		return
	}
	w.tailsRenewedAt, w.cachedTails = now, nil
	unsettled := c.placementDue
	c.noteGain(w)
	c.placementDue = unsettled
}

// shapeOf returns the shape of the tasks of a step. Steps of plain tasks share it.
func (c *Cell) shapeOf(s *step) *taskShape {
	if s.shape != nil {
		return s.shape
	}
	if !s.plain() {
		s.shape = &taskShape{class: &shapeClass{}, size: s.Size}
		return s.shape
	}
	key := shapeKey{service: s.occ.job.queue.Service, size: s.Size, fills: s.Fills, label: s.Label}
	if s.Fills {
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

// maxIdleShapes is the number of shapes from which on those are forgotten of which
// nothing waits.
const maxIdleShapes = 4096

// dropShapes forgets shapes of which nothing waits.
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

// tierOf returns up to which expected tail a task of a step is placed.
func tierOf(now time.Time, s *step) tailTier {
	if !s.Fills || now.Sub(s.readyAt) < recentWait {
		return tierRecent
	}
	return tierWaiting
}

// stillBlocked reports whether a shape is known to find no room.
func (c *Cell) stillBlocked(s *taskShape, tier tailTier) bool {
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

// block notes that a shape finds no room.
func (c *Cell) block(s *taskShape, tier tailTier) {
	last := c.fits.lastGain
	if f := &s.class.lastFailed[tier]; f.gain != last || s.size.MilliProcessors <= f.size.MilliProcessors {
		*f = failedFit{size: s.size, gain: last, since: s.blockedGain[tier]}
	}
	s.blockedGain[tier] = last
}

// gainedSince calls a function with the workers that have gained since a gain.
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
