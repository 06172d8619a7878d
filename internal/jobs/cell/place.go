package cell

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/placement"
	"bamboofall.example/bamboofall/internal/jobs/urgency"
)

// copies bounds the runs of a task that allows copies.
const copies = 2

// place gives waiting tasks to workers.
func (c *Cell) place(now time.Time) {
	if !c.unsettled || len(c.ready) == 0 {
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
	c.shed(now)
	for s := range c.ready {
		steps = append(steps, waitingStep{c.urgencyOf(now, s), s})
	}
	slices.SortFunc(steps, func(a, b waitingStep) int { return a.Compare(b.Key) })
	full := make(map[fitKey]bool)
	for _, waiting := range steps {
		s := waiting.step
		if c.inDoubt && s.released {
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
		ratio := 1.0
		if s.Estimate > 0 {
			ratio = float64(c.expected(s)) / float64(s.Estimate)
		}
		k.Tier = urgency.TierOf(now, j.accepted, j.due, time.Duration(ratio*float64(j.remaining[s.index])))
		if k.Tier == urgency.InTime && j.shed {
			k.Tier = urgency.Shed
		}
	}
	return k
}

// pool is the room that jobs of a kind share.
type pool struct {
	service string
	fills   bool
}

// shed decides which of the jobs that wait can be in time.
func (c *Cell) shed(now time.Time) {
	claims := make(map[pool][]*urgency.Claim)
	jobs := make(map[*urgency.Claim]*job)
	seen := make(map[*job]bool)
	for s := range c.ready {
		j := s.occ.job
		if seen[j] || j.queue == nil || c.urgencyOf(now, s).Tier > urgency.Shed || s.Standing || j.Repetitions > 0 {
			continue
		}
		seen[j] = true
		work, open, processors := c.workToPlace(j)
		claim := &urgency.Claim{
			Due: j.due, Work: work, Open: open, Processors: processors, Chain: c.chainLeft(j), Yield: urgency.Yield(j.work, work, c.meanWork[j.Job.Queue]), Name: string(j.ID),
		}
		p := pool{j.queue.Service, s.Fills}
		claims[p] = append(claims[p], claim)
		jobs[claim] = j
	}
	for p, some := range claims {
		processors, free := c.roomOf(p)
		urgency.Keep(now, processors, free, some)
		for _, claim := range some {
			jobs[claim].shed = claim.Shed
		}
	}
}

// chainLeft returns how long a job takes with all the room it wants.
func (c *Cell) chainLeft(j *job) time.Duration {
	left := time.Duration(0)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.left > 0 && s.waitsFor == 0 {
				ratio := 1.0
				if s.Estimate > 0 {
					ratio = float64(c.expected(s)) / float64(s.Estimate)
				}
				left = max(left, time.Duration(ratio*float64(j.remaining[s.index])))
			}
		}
	}
	return left
}

// roomOf returns the processors of a pool, and how many of them are idle.
func (c *Cell) roomOf(p pool) (processors, free float64) {
	for _, w := range c.order {
		if !w.listed || w.silent() || w.info.Draining || w.info.Service != p.service {
			continue
		}
		room, idle := w.info.Room.MilliProcessors-w.standingCPU, w.free().MilliProcessors
		if p.fills {
			room, idle = w.unusedCPU(), w.unusedCPU()-w.fillCPU
		}
		processors += float64(room) / 1000
		free += float64(max(0, idle)) / 1000
	}
	if p.fills && c.fillsGot > 0 {
		// Expected tails leave less to tasks that fill than is unused.
		return min(processors, c.fillsGot/1000), 0
	}
	return processors, free
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
		t.queued = false
		if s.SameRack && s.rack == "" {
			s.rack = w.rack()
		}
		c.start(now, w, t, c.nextRun(t))
	}
	s.waiting = waiting
	if len(waiting) == 0 {
		delete(c.ready, s)
	}
	return fits
}

// placeGang places all tasks of a gang or none.
func (c *Cell) placeGang(now time.Time, s *step) {
	for i := range s.tasks {
		if len(s.tasks[i].attempts) > 0 {
			return // the former run has not ended everywhere
		}
	}
	if len(s.waiting) < s.left {
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
			if kind == placement.Filling && view.Tail > tailLimit(now, s) {
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

// obstacle is why a task cannot start at a worker now.
type obstacle string

// The obstacles, in the order in which they are looked for.
const (
	noObstacle       obstacle = ""
	obstacleUnusable obstacle = "unusable"
	obstacleService  obstacle = "otherService"
	obstacleRoom     obstacle = "noRoom"
	obstacleMemory   obstacle = "noMemory"
	obstacleHealth   obstacle = "suspect"
	obstacleLabel    obstacle = "otherLabel"
	obstacleHere     obstacle = "runsThere"
	obstacleApart    obstacle = "apart"
	obstacleTail     obstacle = "tail"
)

// obstacleAt returns what keeps a task from a worker, tails aside.
func (c *Cell) obstacleAt(now time.Time, t *task, w *worker) obstacle {
	s := t.step
	if !w.listed || !w.synced || w.silent() || w.info.Draining {
		return obstacleUnusable
	}
	if w.info.Service != s.occ.job.queue.Service {
		return obstacleService
	}
	free := w.free()
	if s.Fills {
		free.MilliProcessors = w.unusedCPU() - w.fillCPU
	}
	if !s.Size.Fits(free) {
		if s.Size.MemoryBytes > free.MemoryBytes {
			return obstacleMemory
		}
		return obstacleRoom
	}
	if !w.health.takes(now) {
		return obstacleHealth
	}
	if s.Label != "" && !slices.Contains(w.info.Labels, s.Label) {
		return obstacleLabel
	}
	for _, a := range t.attempts {
		if a.worker == w {
			return obstacleHere
		}
	}
	if s.MaxPerWorker == 0 {
		return noObstacle
	}
	here := 0
	for _, a := range w.attempts {
		if a.task.step == s {
			here++
		}
	}
	if here >= s.MaxPerWorker {
		return obstacleApart
	}
	return noObstacle
}

// noteObstacles notes why the most urgent step with waiting tasks waits.
func (c *Cell) noteObstacles(now time.Time) {
	var first *step
	var key urgency.Key
	for s := range c.ready {
		if s.occ.job.queue == nil || len(s.waiting) == 0 {
			continue
		}
		if k := c.urgencyOf(now, s); first == nil || k.Compare(key) < 0 {
			first, key = s, k
		}
	}
	if first == nil {
		return
	}
	t := first.waiting[0]
	count := make(map[obstacle]int)
	for _, w := range c.order {
		o := c.obstacleAt(now, t, w)
		if o == noObstacle && first.Fills && c.expectedTail(now, w, first) > tailLimit(now, first) {
			o = obstacleTail
		}
		if o == noObstacle {
			o = "fit"
		}
		count[o]++
	}
	var parts []string
	for _, o := range slices.Sorted(maps.Keys(count)) {
		parts = append(parts, fmt.Sprintf("%s %d", o, count[o]))
	}
	c.note(Note{Event: "waiting", Job: first.occ.job.ID, Task: t.name().String(), Detail: fmt.Sprintf(
		"waits %v for %d milliprocessors and %d MB, is the most urgent of %d steps; workers: %s",
		now.Sub(first.readyAt).Round(time.Millisecond), first.Size.MilliProcessors, first.Size.MemoryBytes>>20, len(c.ready), strings.Join(parts, ", "))})
}
