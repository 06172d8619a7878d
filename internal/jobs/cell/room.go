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
	// gentle is for tasks that have not waited for long, starving for the first
	// task of a job that has waited for too long.
	gentle tailTier = iota
	patient
	starving
	tailTiers
)

// limit returns the expected tail up to which tasks are placed.
func (t tailTier) limit() float64 {
	return [tailTiers]float64{gentleTail, maxExpectedTail, starvedTail}[t]
}

// shape is what decides whether a plain task finds room.
type shape struct {
	class *class
	size  bamboofall.Resources
	// blocked is the gain up to which no worker has room, by the expected tail, or
	// zero if that was not looked for.
	blocked [tailTiers]uint64
	// fullIn is the last pass in which a task found no room.
	fullIn uint64
}

// class is what shapes of all sizes have in common.
type class struct {
	// failed is the last size that found no room.
	failed [tailTiers]failure
}

// failure says that workers that gained after since had no room at a gain.
type failure struct {
	size      bamboofall.Resources
	at, since uint64
}

// fitKey names a shape.
type fitKey struct {
	service string
	size    bamboofall.Resources
	fills   bool
	label   string
	// image is set for tasks that fill: where they may go depends on it.
	image  string
	serves bool
}

// gain is when a worker gained room or came back.
type gain struct {
	worker *worker
	number uint64
}

// room finds out where to look again.
type room struct {
	shapes  map[fitKey]*shape
	classes map[fitKey]*class
	// gains are in their order. Only the last one of a worker counts.
	gains []gain
	last  uint64
	// pausing are workers that did not fit only because they are left alone for a
	// while.
	pausing []*worker
	pass    uint64
	// looks counts how often a worker was looked at for a task.
	looks int
}

func newRoom() room {
	return room{shapes: make(map[fitKey]*shape), classes: make(map[fitKey]*class), last: 1}
}

// plain reports whether only the size and the label of a task bind where it goes.
func (s *step) plain() bool { return s.MaxPerWorker == 0 && s.gang == nil }

// gained notes that tasks may fit at a worker that did not before.
func (c *Cell) gained(w *worker) {
	c.unsettled = true
	c.lookAt(w)
	w.wasUsable = w.usable()
	r := &c.room
	r.last++
	w.gained = r.last
	r.gains = append(r.gains, gain{w, r.last})
	if len(r.gains) > 4*len(c.order)+64 {
		kept := r.gains[:0]
		for _, g := range r.gains {
			if g.worker.gained == g.number && c.workers[g.worker.info.ID] == g.worker {
				kept = append(kept, g)
			}
		}
		clear(r.gains[len(kept):])
		r.gains = kept
	}
}

// pauses notes that a worker will gain once it is not left alone any more.
func (c *Cell) pauses(w *worker) {
	if !w.pausing {
		w.pausing = true
		c.room.pausing = append(c.room.pausing, w)
	}
}

// endPauses notes which workers are not left alone any more.
func (c *Cell) endPauses(now time.Time) {
	r := &c.room
	kept := r.pausing[:0]
	unsettled := c.unsettled
	for _, w := range r.pausing {
		if !w.health.takes(now) {
			kept = append(kept, w)
			continue
		}
		w.pausing = false
		c.gained(w)
	}
	c.unsettled = unsettled
	clear(r.pausing[len(kept):])
	r.pausing = kept
}

// renewTails notes that tasks that fill may fit at a worker by what was learned of
// tails since.
func (c *Cell) renewTails(now time.Time, w *worker) {
	if len(w.serving) == 0 || now.Sub(w.tailsGained) < tailsFor {
		return
	}
	w.tailsGained, w.tails = now, nil
	unsettled := c.unsettled
	c.gained(w)
	c.unsettled = unsettled
}

// shapeOf returns the shape of the tasks of a step. Steps of plain tasks share it.
func (c *Cell) shapeOf(s *step) *shape {
	if s.shape != nil {
		return s.shape
	}
	if !s.plain() {
		s.shape = &shape{class: &class{}, size: s.Size}
		return s.shape
	}
	key := fitKey{service: s.occ.job.queue.Service, size: s.Size, fills: s.Fills, label: s.Label}
	if s.Fills {
		key.image, key.serves = s.Image, s.TailTarget > 0
	}
	r := &c.room
	known := r.shapes[key]
	if known == nil {
		kind := key
		kind.size = bamboofall.Resources{}
		if r.classes[kind] == nil {
			r.classes[kind] = &class{}
		}
		known = &shape{class: r.classes[kind], size: s.Size}
		r.shapes[key] = known
	}
	s.shape = known
	return known
}

// shapesKept is the number of shapes from which on those are forgotten of which
// nothing waits.
const shapesKept = 4096

// dropShapes forgets shapes of which nothing waits.
func (c *Cell) dropShapes() {
	r := &c.room
	if len(r.shapes) <= shapesKept+2*len(c.ready) {
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
	if !s.Fills || now.Sub(s.readyAt) < gentleWait {
		return gentle
	}
	return patient
}

// stillBlocked reports whether a shape is known to find no room.
func (c *Cell) stillBlocked(s *shape, tier tailTier) bool {
	last := c.room.last
	if s.blocked[tier] == last {
		return true
	}
	f := &s.class.failed[tier]
	if f.at != last || f.since > s.blocked[tier] || !f.size.Fits(s.size) {
		return false
	}
	s.blocked[tier] = last
	return true
}

// block notes that a shape finds no room.
func (c *Cell) block(s *shape, tier tailTier) {
	last := c.room.last
	if f := &s.class.failed[tier]; f.at != last || s.size.MilliProcessors <= f.size.MilliProcessors {
		*f = failure{size: s.size, at: last, since: s.blocked[tier]}
	}
	s.blocked[tier] = last
}

// gainedSince calls a function with the workers that have gained since a gain.
func (c *Cell) gainedSince(number uint64, look func(*worker)) {
	for i := len(c.room.gains) - 1; i >= 0; i-- {
		g := c.room.gains[i]
		if g.number <= number {
			return
		}
		if g.worker.gained == g.number {
			look(g.worker)
		}
	}
}
