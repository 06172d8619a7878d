package cell

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"bamboofall.example/bamboofall/internal/jobs/callbudget"
	"bamboofall.example/bamboofall/internal/jobs/obstacle"
	"bamboofall.example/bamboofall/internal/jobs/placement"
	"bamboofall.example/bamboofall/internal/jobs/tailtier"
	"bamboofall.example/bamboofall/internal/jobs/urgency"
)

// maxCopies bounds the concurrent runs of a speculative task.
const maxCopies = 2

// place assigns waiting tasks to workers, the most urgent steps first. A busy owner looks at
// jobs that cannot be in time only once each placeInterval, as looking takes its processor
// from those that can.
func (c *Cell) place(now time.Time) {
	if !c.placementDue || len(c.ready) == 0 || now.Sub(c.placedAt) < c.busyPause(now) {
		return
	}
	if !c.mayStart() {
		c.startsLimitedAt = now
		return
	}
	c.placementDue = false
	c.placedAt = now
	c.rank(now)
	c.dropShapes()
	c.fits.pass++
	all := c.ownerLevel(now) == callbudget.Light || now.Sub(c.allPlacedAt) >= placeInterval
	if all {
		c.allPlacedAt = now
	}
	for i := range c.ranked {
		if !c.mayStart() {
			c.startsLimitedAt = now
			c.placementDue = true
			break
		}
		s := c.ranked[i].step
		if !all && c.ranked[i].Tier != urgency.InTime {
			continue
		}
		if len(s.waiting) == 0 {
			delete(c.ready, s)
			continue
		}
		if s.gang != nil && c.mayRunUnreported(now, s) {
			continue // a worker that has not answered may be running its tasks
		}
		if c.recovering && s.BestEffort && now.Sub(c.restoredAt) < bestEffortRecoveryDelay {
			continue // it would take the place of serving tasks
		}
		q := s.occ.job.queue
		if q == nil {
			continue
		}
		if s.gang != nil {
			c.placeGang(now, s, tierOf(now, s))
			continue
		}
		shape := c.shapeOf(s)
		if shape.BlockedPass == c.fits.pass {
			continue
		}
		if shape.Blocked(tierOf(now, s), c.fits.lastGain) || !c.placeStep(now, s) {
			shape.BlockedPass = c.fits.pass
		}
	}
}

// rankedStep is a ready step with its urgency.
type rankedStep struct {
	urgency.Key
	*step
}

func (r rankedStep) compare(o rankedStep) int {
	return cmp.Or(r.Compare(o.Key), r.step.compare(o.step))
}

// rankInterval is the time after which the ranking of ready steps is recomputed.
// Objectives are seconds, so the error is small; newly ready steps are inserted
// immediately.
const rankInterval = 50 * time.Millisecond

// rank updates the ranking of the ready steps.
func (c *Cell) rank(now time.Time) {
	if now.Sub(c.rankedAt) < max(rankInterval, 2*c.busyPause(now)) {
		for _, s := range c.newlyReady {
			r := rankedStep{c.urgencyOf(now, s), s}
			at, _ := slices.BinarySearchFunc(c.ranked, r, rankedStep.compare)
			c.ranked = slices.Insert(c.ranked, at, r)
		}
		clear(c.newlyReady)
		c.newlyReady = c.newlyReady[:0]
		return
	}
	c.rankedAt = now
	c.sampleBestEffort(now)
	c.startStarved(now)
	c.shed(now)
	for i := range c.ranked {
		c.ranked[i].inRanking = false
	}
	for _, s := range c.newlyReady {
		s.inRanking = false
	}
	clear(c.ranked)
	clear(c.newlyReady)
	c.ranked, c.newlyReady = c.ranked[:0], c.newlyReady[:0]
	for s := range c.ready {
		s.inRanking = true
		c.ranked = append(c.ranked, rankedStep{c.urgencyOf(now, s), s})
	}
	slices.SortFunc(c.ranked, rankedStep.compare)
}

// bestEffortRecoveryDelay is how long best-effort tasks wait after a handover, so that
// serving tasks get their places back first. Workers answer within a few tenths of a
// second.
const bestEffortRecoveryDelay = 1500 * time.Millisecond

// compare orders the steps of one job.
func (s *step) compare(o *step) int {
	return cmp.Or(cmp.Compare(s.occ.number, o.occ.number), cmp.Compare(s.index, o.index))
}

// urgencyOf returns the key by which a step is ranked.
func (c *Cell) urgencyOf(now time.Time, s *step) urgency.Key {
	j := s.occ.job
	k := urgency.Key{Due: j.due, Name: string(j.ID)}
	if j.queue != nil {
		k.Priority = j.queue.Priority
	}
	if !s.Standing && j.Repetitions == 0 {
		k.Tier = urgency.TierOf(now, j.accepted, j.due, c.criticalPathFrom(s))
		if k.Tier == urgency.InTime && j.shed {
			k.Tier = urgency.Shed
		}
	}
	return k
}

// placeStep places the waiting tasks of a step. It reports false if one of them fits
// nowhere.
func (c *Cell) placeStep(now time.Time, s *step) bool {
	fits := true
	set := &c.candidates
	set.last = -1
	waiting := s.waiting[:0]
	for i, t := range s.waiting {
		if t.done || len(t.attempts) >= maxCopies {
			t.queued = false
			continue
		}
		if c.mayRunElsewhere(now, t) {
			waiting = append(waiting, t)
			continue
		}
		w := c.chooseForStep(now, t, set)
		if w == nil && c.lastRun.passedOver {
			waiting = append(waiting, t) // others of the step may run where it may not
			continue
		}
		if w == nil {
			fits = false
			waiting = append(waiting, s.waiting[i:]...)
			break
		}
		c.startWaiting(now, w, t)
	}
	clear(s.waiting[len(waiting):])
	s.waiting = waiting
	if len(waiting) == 0 {
		delete(c.ready, s)
	}
	return fits
}

// startWaiting starts a task that the caller has removed from the waiting tasks of its
// step. The first task of a step with SameRack determines the rack.
func (c *Cell) startWaiting(now time.Time, w *worker, t *task) {
	t.queued = false
	if s := t.step; s.SameRack && s.rack == "" {
		s.rack = w.info.Rack()
	}
	c.start(now, w, t, c.nextRun(t))
}

// placeGang places either all tasks of a gang or none. It reports false if they do not fit.
func (c *Cell) placeGang(now time.Time, s *step, tier tailtier.Tier) bool {
	if s.runs > 0 || len(s.waiting) < s.tasksLeft {
		return true // the previous run has not ended everywhere
	}
	if c.gangBlocked(now, s) {
		return false
	}
	run := s.gang.run
	chosen := make([]*worker, 0, len(s.tasks))
	var reserved []*attempt
	for i := range s.tasks {
		run = max(run, c.nextRun(&s.tasks[i])-1)
	}
	run++
	for i := range s.tasks {
		w := c.bestWorker(now, &s.tasks[i], tier, 0)
		if w == nil {
			break
		}
		chosen = append(chosen, w)
		if s.SameRack && s.rack == "" {
			s.rack = w.info.Rack()
		}
		reserved = append(reserved, c.reserve(w, &s.tasks[i], run))
	}
	for _, a := range reserved {
		c.detach(a)
	}
	if len(chosen) < len(s.tasks) {
		s.rack = ""
		s.gang.blockedGain, s.gang.slots = c.fits.lastGain, len(chosen)
		return false
	}
	c.unqueueStep(s)
	s.gang.run = run
	for i, w := range chosen {
		c.start(now, w, &s.tasks[i], run)
		s.tasks[i].attempts[0].targetPace = w.startPace(tier)
	}
	return true
}

// chooseWorker returns the best worker for a task, or nil.
func (c *Cell) chooseWorker(now time.Time, t *task) *worker {
	return c.chooseWorkerInTier(now, t, tierOf(now, t.step))
}

// chooseWorkerInTier is chooseWorker with an explicit bound on the predicted tail
// latency.
func (c *Cell) chooseWorkerInTier(now time.Time, t *task, tier tailtier.Tier) *worker {
	c.lastRun.passedOver = false
	if t.step.occ.job.queue == nil {
		return nil
	}
	shape := c.shapeOf(t.step)
	if shape.Blocked(tier, c.fits.lastGain) {
		return nil
	}
	w := c.bestWorker(now, t, tier, shape.CheckedGain(tier))
	if w == nil && len(t.attempts) == 0 && !c.lastRun.passedOver {
		shape.Block(tier, c.fits.lastGain)
	}
	return w
}

// bestWorker returns the best worker for a task among those with a capacity gain later
// than since, or nil.
func (c *Cell) bestWorker(now time.Time, t *task, tier tailtier.Tier, since uint64) *worker {
	best := candidate{}
	c.eachFit(now, t, tier, since, func(x candidate) {
		if x.before(best) {
			best = x
		}
	})
	return best.worker
}

// candidate is a worker that can take a task, with its score.
type candidate struct {
	worker *worker
	index  int
	score  float64
}

// before reports whether a candidate is better than another one.
func (x candidate) before(o candidate) bool {
	return o.worker == nil || x.score > o.score || x.score == o.score && x.worker.info.ID < o.worker.info.ID
}

// eachFit calls a function for every worker that can take a task and has had a capacity
// gain later than since.
func (c *Cell) eachFit(now time.Time, t *task, tier tailtier.Tier, since uint64, visit func(candidate)) {
	if since > 0 {
		c.gainedSince(since, func(w *worker) {
			at := 0
			if t.step.TailTarget > 0 {
				at = c.indexOf(w)
			}
			if score, fits := c.score(now, t, tier, w, at); fits {
				visit(candidate{w, at, score})
			}
		})
		return
	}
	for at, w := range c.workerList {
		if score, fits := c.score(now, t, tier, w, at); fits {
			visit(candidate{w, at, score})
		}
	}
}

// score returns the placement score for a task of the worker at an index of workerList.
// It reports false if the task cannot start there. The index affects serving tasks only.
func (c *Cell) score(now time.Time, t *task, tier tailtier.Tier, w *worker, index int) (float64, bool) {
	c.fits.checks++
	switch c.obstacleAt(now, t, tier, w) {
	case obstacle.None:
	case obstacle.Health, obstacle.Outdated:
		c.addAvoided(w)
		return 0, false
	default:
		return 0, false
	}
	s := t.step
	view := placement.Worker{
		Room: w.info.Room, Free: w.free(), Failures: w.health.Failures(), Slowdown: w.health.Slowdown(),
	}
	if tier == tailtier.Crowded {
		view.Free.MilliProcessors -= w.bestEffortCPU
	}
	rack := s.Rack
	if s.rack != "" {
		rack = s.rack
	}
	view.OnRack = rack != "" && w.info.Rack() == rack
	kind := placement.Normal
	switch {
	case s.BestEffort:
		kind = placement.BestEffort
	case s.TailTarget > 0:
		kind = placement.Serving
		view.Rank = float64(index) / float64(len(c.workerList))
		view.SameImage, view.OtherImage = w.servesImage(s.Image)
	}
	if kind == placement.BestEffort && c.tailTooHigh(now, w, tier.MaxTail()) {
		return 0, false
	}
	if kind != placement.Normal {
		view.Tail = c.worstTailWith(now, w, s)
		if kind == placement.BestEffort && (view.Tail > tier.MaxTail() || tier == tailtier.Throttled && w.missesTarget()) {
			return 0, false
		}
	}
	if c.risksJob(now, t, w) {
		c.lastRun.passedOver = true
		return 0, false
	}
	score := placement.Score(kind, s.Size, view) - w.warmth.Demotion(now)
	if t.lastFailedOn == w.info.ID {
		score -= failedWorkerPenalty
	}
	if t.crashes.Suspect() {
		score -= suspectPenalty(now, w)
	}
	return score, true
}

// candidateSet holds the candidates for the tasks of a step while these are placed one
// after the other. Placing a task changes the score of one worker only.
type candidateSet struct {
	candidates []candidate
	// last is the index of the candidate that took the previous task, or negative if the
	// set is not filled.
	last int
}

// chooseForStep returns the best worker for one of the tasks of a step that are placed
// one after the other, or nil.
func (c *Cell) chooseForStep(now time.Time, t *task, set *candidateSet) *worker {
	c.lastRun.passedOver = false
	if len(t.attempts) > 0 || t.lastFailedOn != "" || t.onLastAttempt() || t.step.SameRack || t.crashes.Suspect() {
		set.last = -1
		return c.chooseWorker(now, t)
	}
	tier := tierOf(now, t.step)
	shape := c.shapeOf(t.step)
	if set.last < 0 {
		if shape.Blocked(tier, c.fits.lastGain) {
			return nil
		}
		set.candidates = set.candidates[:0]
		c.eachFit(now, t, tier, shape.CheckedGain(tier), func(x candidate) { set.candidates = append(set.candidates, x) })
	} else {
		x := &set.candidates[set.last]
		score, fits := c.score(now, t, tier, x.worker, x.index)
		x.score = score
		if !fits {
			set.candidates = slices.Delete(set.candidates, set.last, set.last+1)
		}
	}
	best := candidate{}
	for i, x := range set.candidates {
		if x.before(best) {
			best, set.last = x, i
		}
	}
	if best.worker == nil {
		set.last = -1
		shape.Block(tier, c.fits.lastGain)
	}
	return best.worker
}

// failedWorkerPenalty keeps a task away from the worker where it last failed, as long as
// there is another.
const failedWorkerPenalty = 10

// indexOf returns the index of a worker in workerList.
func (c *Cell) indexOf(w *worker) int {
	at, _ := slices.BinarySearchFunc(c.workerList, w, func(a, b *worker) int { return strings.Compare(a.info.ID, b.info.ID) })
	return at
}

// standingUtilization is the fraction of its reserved CPU that a standing task is assumed
// to use. The mean of the specified loads is 0.45; loads vary by half, but not all at the
// same time.
const standingUtilization = 0.5

// unusedCPU returns the CPU in milliprocessors that best-effort tasks may use.
func (w *worker) unusedCPU() int64 {
	free := w.free().MilliProcessors
	if free < 0 {
		return 0
	}
	return free + int64((1-standingUtilization)*float64(w.standingCPU))
}

// freeForBestEffort returns the CPU in milliprocessors that another best-effort task may
// use.
func (w *worker) freeForBestEffort(tier tailtier.Tier) int64 {
	if tier == tailtier.Crowded {
		return w.unusedCPU()
	}
	return w.unusedCPU() - w.bestEffortCPU
}

// gangBlocked reports whether the workers are known to have too little capacity for a
// gang. Each worker with a gain is counted with all the tasks that fit there now.
func (c *Cell) gangBlocked(now time.Time, s *step) bool {
	g := s.gang
	if g.blockedGain == 0 || s.BestEffort {
		return false
	}
	c.gainedSince(g.blockedGain, func(w *worker) { g.slots += c.slotsAt(now, s, w, len(s.tasks)) })
	g.blockedGain = c.fits.lastGain
	return g.slots < len(s.tasks)
}

// slotsAt returns how many tasks of a step fit at a worker, at most maxSlots.
func (c *Cell) slotsAt(now time.Time, s *step, w *worker, maxSlots int) int {
	switch c.obstacleAt(now, &s.tasks[0], tierOf(now, s), w) {
	case obstacle.None:
	case obstacle.Health, obstacle.Outdated:
		c.addAvoided(w)
		return 0
	default:
		return 0
	}
	free := w.free()
	n := 0
	for n < maxSlots && s.Size.Fits(free) {
		free = free.Sub(s.Size)
		n++
	}
	return n
}
