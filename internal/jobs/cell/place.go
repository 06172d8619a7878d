package cell

import (
	"cmp"
	"slices"
	"strings"
	"time"

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
	c.rank(now)
	c.dropShapes()
	c.room.pass++
	for i := range c.ranked {
		if !c.mayStart() {
			c.unsettled = true
			break
		}
		s := c.ranked[i].step
		if len(s.waiting) == 0 {
			delete(c.ready, s)
			continue
		}
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
		if s.gang != nil {
			c.placeGang(now, s)
			continue
		}
		kind := c.shapeOf(s)
		if kind.fullIn == c.room.pass {
			continue
		}
		if c.stillBlocked(kind, tierOf(now, s)) || !c.placeStep(now, s) {
			kind.fullIn = c.room.pass
		}
	}
}

// rankedStep is a step in the order of waiting.
type rankedStep struct {
	urgency.Key
	*step
}

func (r rankedStep) compare(o rankedStep) int {
	return cmp.Or(r.Compare(o.Key), r.step.compare(o.step))
}

// rankEvery is the time after which the order of waiting is worked out again. It
// is little against objectives, which are seconds; steps that become ready are put
// in their place at once.
const rankEvery = 50 * time.Millisecond

// rank puts the steps that wait in order.
func (c *Cell) rank(now time.Time) {
	if now.Sub(c.rankedAt) < rankEvery {
		for _, s := range c.fresh {
			r := rankedStep{c.urgencyOf(now, s), s}
			at, _ := slices.BinarySearchFunc(c.ranked, r, rankedStep.compare)
			c.ranked = slices.Insert(c.ranked, at, r)
		}
		clear(c.fresh)
		c.fresh = c.fresh[:0]
		return
	}
	c.rankedAt = now
	fillsWait := false
	for s := range c.ready {
		fillsWait = fillsWait || s.Fills
	}
	c.noteFills(now, fillsWait)
	c.feedStarved(now)
	c.shed(now)
	for i := range c.ranked {
		c.ranked[i].ranked = false
	}
	for _, s := range c.fresh {
		s.ranked = false
	}
	clear(c.ranked)
	clear(c.fresh)
	c.ranked, c.fresh = c.ranked[:0], c.fresh[:0]
	for s := range c.ready {
		s.ranked = true
		c.ranked = append(c.ranked, rankedStep{c.urgencyOf(now, s), s})
	}
	slices.SortFunc(c.ranked, rankedStep.compare)
}

// fillsInDoubt is how long tasks that fill wait for tasks that serve to have their
// places again after a hand-over. Workers answer within some tenths of a second.
const fillsInDoubt = 1500 * time.Millisecond

// compare orders the steps of a job.
func (s *step) compare(o *step) int {
	return cmp.Or(cmp.Compare(s.occ.number, o.occ.number), cmp.Compare(s.index, o.index))
}

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
	f := &c.field
	f.last = -1
	waiting := s.waiting[:0]
	for _, t := range s.waiting {
		if t.done || len(t.attempts) >= copies {
			t.queued = false
			continue
		}
		var w *worker
		if fits {
			w = c.choosePlain(now, t, f)
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
	if c.gangBlocked(now, s) {
		return
	}
	run := s.gang.run
	chosen := make([]*worker, 0, len(s.tasks))
	var trial []*attempt
	for i := range s.tasks {
		run = max(run, c.nextRun(&s.tasks[i])-1)
	}
	run++
	for i := range s.tasks {
		w := c.best(now, &s.tasks[i], tierOf(now, s), 0)
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
		c.takeOff(a)
	}
	if len(chosen) < len(s.tasks) {
		s.rack = ""
		s.gang.blocked, s.gang.slots = c.room.last, len(chosen)
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
	return c.chooseBelow(now, t, tierOf(now, t.step))
}

// chooseBelow is choose with another limit of the expected tail for a task that
// fills.
func (c *Cell) chooseBelow(now time.Time, t *task, tier tailTier) *worker {
	if t.step.occ.job.queue == nil {
		return nil
	}
	kind := c.shapeOf(t.step)
	if c.stillBlocked(kind, tier) {
		return nil
	}
	w := c.best(now, t, tier, kind.blocked[tier])
	if w == nil && len(t.attempts) == 0 {
		c.block(kind, tier)
	}
	return w
}

// best returns the best worker for a task among those that have gained since some
// gain, or nil.
func (c *Cell) best(now time.Time, t *task, tier tailTier, since uint64) *worker {
	best := candidate{}
	c.eachFit(now, t, tier, since, func(x candidate) {
		if x.before(best) {
			best = x
		}
	})
	return best.worker
}

// candidate is a worker that has room for a task, and how well it suits.
type candidate struct {
	worker *worker
	at     int
	score  float64
}

// before reports whether a candidate suits better than another one.
func (x candidate) before(o candidate) bool {
	return o.worker == nil || x.score > o.score || x.score == o.score && x.worker.info.ID < o.worker.info.ID
}

// eachFit calls a function with the workers that have room for a task, among those
// that have gained since some gain.
func (c *Cell) eachFit(now time.Time, t *task, tier tailTier, since uint64, do func(candidate)) {
	if since > 0 {
		c.gainedSince(since, func(w *worker) {
			at := 0
			if t.step.TailTarget > 0 {
				at = c.placeOf(w)
			}
			if score, fits := c.scoreAt(now, t, tier, w, at); fits {
				do(candidate{w, at, score})
			}
		})
		return
	}
	for at, w := range c.order {
		if score, fits := c.scoreAt(now, t, tier, w, at); fits {
			do(candidate{w, at, score})
		}
	}
}

// scoreAt returns how well a worker that has a place among all suits a task. It
// reports false if the task cannot start there.
func (c *Cell) scoreAt(now time.Time, t *task, tier tailTier, w *worker, at int) (float64, bool) {
	c.room.looks++
	switch c.obstacleAt(now, t, w) {
	case noObstacle:
	case obstacleHealth:
		c.pauses(w)
		return 0, false
	default:
		return 0, false
	}
	s := t.step
	view := placement.Worker{
		Room: w.info.Room, Free: w.free(), Doubt: w.health.Failures(), Slow: w.health.slow,
	}
	rack := s.Rack
	if s.rack != "" {
		rack = s.rack
	}
	view.OnRack = rack != "" && w.rack() == rack
	kind := placement.Normal
	switch {
	case s.Fills:
		kind = placement.Filling
	case s.TailTarget > 0:
		kind = placement.Serving
		view.Rank = float64(at) / float64(len(c.order))
		view.SameImage, view.OtherImage = w.servesImage(s.Image)
	}
	if kind != placement.Normal {
		view.Tail = c.expectedTail(now, w, s)
		if kind == placement.Filling && view.Tail > tier.limit() {
			return 0, false
		}
	}
	score := placement.Score(kind, s.Size, view)
	if t.lastWorker == w.info.ID {
		score -= lastPenalty
	}
	return score, true
}

// field is where the tasks of a step may go while they are placed: a task that is
// placed changes one worker only.
type field struct {
	candidates []candidate
	// last is the candidate that was taken, or negative if none was looked for.
	last int
}

// choosePlain returns the best worker for a task of a step whose tasks are placed
// one after the other, or nil.
func (c *Cell) choosePlain(now time.Time, t *task, f *field) *worker {
	if len(t.attempts) > 0 || t.lastWorker != "" || t.step.SameRack {
		f.last = -1
		return c.choose(now, t)
	}
	tier := tierOf(now, t.step)
	kind := c.shapeOf(t.step)
	if f.last < 0 {
		if c.stillBlocked(kind, tier) {
			return nil
		}
		f.candidates = f.candidates[:0]
		c.eachFit(now, t, tier, kind.blocked[tier], func(x candidate) { f.candidates = append(f.candidates, x) })
	} else {
		x := &f.candidates[f.last]
		score, fits := c.scoreAt(now, t, tier, x.worker, x.at)
		x.score = score
		if !fits {
			f.candidates = slices.Delete(f.candidates, f.last, f.last+1)
		}
	}
	best := candidate{}
	for i, x := range f.candidates {
		if x.before(best) {
			best, f.last = x, i
		}
	}
	if best.worker == nil {
		f.last = -1
		c.block(kind, tier)
	}
	return best.worker
}

// lastPenalty keeps a task from the worker where it failed last while there is
// another.
const lastPenalty = 10

// placeOf returns the place of a worker among all.
func (c *Cell) placeOf(w *worker) int {
	at, _ := slices.BinarySearchFunc(c.order, w, func(a, b *worker) int { return strings.Compare(a.info.ID, b.info.ID) })
	return at
}

// servingUse is the share of its processors that a standing task is taken to use.
// The mean on the sheets is 0.45; loads swing by a half, not all at the same time.
const servingUse = 0.5

// unusedCPU returns the processors that are left for tasks that fill.
func (w *worker) unusedCPU() int64 {
	return w.free().MilliProcessors + int64((1-servingUse)*float64(w.standingCPU))
}

// gangBlocked reports whether the workers are known to have too little room for a
// gang. Each one that gained is taken to add all that fits there now.
func (c *Cell) gangBlocked(now time.Time, s *step) bool {
	g := s.gang
	if g.blocked == 0 || s.Fills {
		return false
	}
	c.gainedSince(g.blocked, func(w *worker) { g.slots += c.slotsAt(now, s, w, len(s.tasks)) })
	g.blocked = c.room.last
	return g.slots < len(s.tasks)
}

// slotsAt returns how many tasks of a step fit at a worker, up to a number.
func (c *Cell) slotsAt(now time.Time, s *step, w *worker, most int) int {
	switch c.obstacleAt(now, &s.tasks[0], w) {
	case noObstacle:
	case obstacleHealth:
		c.pauses(w)
		return 0
	default:
		return 0
	}
	free := w.free()
	n := 0
	for n < most && s.Size.Fits(free) {
		free = free.Sub(s.Size)
		n++
	}
	return n
}
