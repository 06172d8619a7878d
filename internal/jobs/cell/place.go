package cell

import (
	"slices"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/placement"
	"bamboofall.example/bamboofall/internal/jobs/urgency"
)

// copies bounds the runs of a task that allows copies.
const copies = 2

// place gives waiting tasks to workers.
func (c *Cell) place(now time.Time) {
	if !c.unsettled || len(c.ready) == 0 || !c.mayStart() {
		return
	}
	c.unsettled = false
	c.placedAt = now
	type waitingStep struct {
		urgency.Key
		*step
	}
	steps := make([]waitingStep, 0, len(c.ready))
	fillsWait := false
	for s := range c.ready {
		fillsWait = fillsWait || s.Fills
	}
	c.noteFills(now, fillsWait)
	c.feedStarved(now)
	c.shed(now)
	for s := range c.ready {
		steps = append(steps, waitingStep{c.urgencyOf(now, s), s})
	}
	slices.SortFunc(steps, func(a, b waitingStep) int { return a.Compare(b.Key) })
	full := make(map[fitKey]bool)
	for _, waiting := range steps {
		if !c.mayStart() {
			c.unsettled = true
			break
		}
		s := waiting.step
		if c.doubted(now, s) {
			continue // a worker that has not answered may run its tasks
		}
		if c.inDoubt && s.Fills && now.Sub(c.restoredAt) < fillsInDoubt {
			continue // it would take the place of tasks that serve
		}
		q := s.occ.job.queue
		if q == nil {
			continue
		}
		key := fitKey{q.Service, s.Size, s.Fills, s.Label, ""}
		if s.Fills {
			key.image = s.Image
		}
		if s.plain() && full[key] {
			continue
		}
		if s.gang != nil {
			c.placeGang(now, s)
			continue
		}
		if !c.placeStep(now, s) && s.plain() {
			full[key] = true
		}
	}
}

// fillsInDoubt is how long tasks that fill wait for tasks that serve to have their
// places again after a hand-over. Workers answer within some tenths of a second.
const fillsInDoubt = 1500 * time.Millisecond

// fitKey names what decides whether a plain task finds room.
type fitKey struct {
	service string
	size    bamboofall.Resources
	fills   bool
	label   string
	// image is set for tasks that fill: where they may go depends on it.
	image string
}

// plain reports whether only the size and the label of a task bind where it goes.
func (s *step) plain() bool { return s.MaxPerWorker == 0 && s.gang == nil }

// urgencyOf returns the place of a step in the order of waiting.
func (c *Cell) urgencyOf(now time.Time, s *step) urgency.Key {
	j := s.occ.job
	k := urgency.Key{Due: j.due, Name: string(j.ID)}
	if j.queue != nil {
		k.Priority = j.queue.Priority
	}
	if !s.Standing && j.Repetitions == 0 {
		k.Tier = urgency.TierOf(now, j.accepted, j.due, c.chainFrom(s))
		if k.Tier == urgency.InTime && j.shed {
			k.Tier = urgency.Shed
		}
	}
	return k
}

// fillsSample is the time between looks at what fills use, and fillsWeight the
// weight of a look.
const (
	fillsSample = 200 * time.Millisecond
	fillsWeight = 0.15
)

// noteFills learns how many processors tasks that fill get while some wait.
func (c *Cell) noteFills(now time.Time, wait bool) {
	if now.Sub(c.fillsAt) < fillsSample {
		return
	}
	c.fillsAt = now
	if !wait {
		c.fillsGot = 0
		return
	}
	used := int64(0)
	for _, w := range c.order {
		used += w.fillCPU
	}
	if c.fillsGot == 0 {
		c.fillsGot = float64(used)
	}
	c.fillsGot += fillsWeight * (float64(used) - c.fillsGot)
}

// placeStep places the waiting tasks of a step. It reports false if one found
// no room.
func (c *Cell) placeStep(now time.Time, s *step) bool {
	fits := true
	waiting := s.waiting[:0]
	for _, t := range s.waiting {
		if t.done || len(t.attempts) >= copies {
			t.queued = false
			continue
		}
		var w *worker
		if fits {
			w = c.choose(now, t)
		}
		if w == nil {
			fits = false
			waiting = append(waiting, t)
			continue
		}
		c.startWaiting(now, w, t)
	}
	s.waiting = waiting
	if len(waiting) == 0 {
		delete(c.ready, s)
	}
	return fits
}

// startWaiting starts a task that is taken off the queue of its step. The first
// one of a step of one rack sets the rack.
func (c *Cell) startWaiting(now time.Time, w *worker, t *task) {
	t.queued = false
	if s := t.step; s.SameRack && s.rack == "" {
		s.rack = w.rack()
	}
	c.start(now, w, t, c.nextRun(t))
}

// placeGang places all tasks of a gang or none.
func (c *Cell) placeGang(now time.Time, s *step) {
	if s.hasRuns() || len(s.waiting) < s.left {
		return // the former run has not ended everywhere
	}
	run := s.gang.run
	chosen := make([]*worker, 0, len(s.tasks))
	var trial []*attempt
	for i := range s.tasks {
		run = max(run, c.nextRun(&s.tasks[i])-1)
	}
	run++
	for i := range s.tasks {
		w := c.choose(now, &s.tasks[i])
		if w == nil {
			break
		}
		chosen = append(chosen, w)
		if s.SameRack && s.rack == "" {
			s.rack = w.rack()
		}
		trial = append(trial, c.reserve(w, &s.tasks[i], run))
	}
	for _, a := range trial {
		c.release(a)
	}
	if len(chosen) < len(s.tasks) {
		s.rack = ""
		return
	}
	c.dequeue(s)
	s.gang.run = run
	for i, w := range chosen {
		c.start(now, w, &s.tasks[i], run)
	}
}

// choose returns the best worker for a task, or nil.
func (c *Cell) choose(now time.Time, t *task) *worker {
	return c.chooseBelow(now, t, tailLimit(now, t.step))
}

// chooseBelow is choose with another limit of the expected tail for a task that
// fills.
func (c *Cell) chooseBelow(now time.Time, t *task, limit float64) *worker {
	var best *worker
	bestScore := 0.0
	s := t.step
	rack := s.Rack
	if s.rack != "" {
		rack = s.rack
	}
	kind := placement.Normal
	switch {
	case s.Fills:
		kind = placement.Filling
	case s.TailTarget > 0:
		kind = placement.Serving
	}
	for i, w := range c.order {
		if c.obstacleAt(now, t, w) != noObstacle {
			continue
		}
		view := placement.Worker{
			Room: w.info.Room, Free: w.free(), OnRack: rack != "" && w.rack() == rack,
			Rank:  float64(i) / float64(len(c.order)),
			Doubt: w.health.Failures(), Slow: w.health.slow,
		}
		if kind == placement.Serving {
			view.SameImage, view.OtherImage = w.servesImage(s.Image)
		}
		if kind != placement.Normal {
			view.Tail = c.expectedTail(now, w, s)
			if kind == placement.Filling && view.Tail > limit {
				continue
			}
		}
		score := placement.Score(kind, s.Size, view)
		if t.lastWorker == w.info.ID {
			score -= 10
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// servingUse is the share of its processors that a standing task is taken to use.
// The mean on the sheets is 0.45; loads swing by a half, not all at the same time.
const servingUse = 0.5

// unusedCPU returns the processors that are left for tasks that fill.
func (w *worker) unusedCPU() int64 {
	return w.free().MilliProcessors + int64((1-servingUse)*float64(w.standingCPU))
}
