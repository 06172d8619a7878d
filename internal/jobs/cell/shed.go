package cell

import (
	"cmp"
	"slices"
	"time"

	"bamboofall.example/bamboofall/internal/jobs/urgency"
)

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
		p := pool{j.queue.Service, j.fills}
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
				left = max(left, c.chainFrom(s))
			}
		}
	}
	return left
}

// chainFrom returns how long a job takes from a step on with all the room it
// wants, if the other steps are off their estimates as much as this one.
func (c *Cell) chainFrom(s *step) time.Duration {
	left := s.occ.job.remaining[s.index]
	if s.Estimate <= 0 {
		return left
	}
	return time.Duration(float64(c.expected(s)) / float64(s.Estimate) * float64(left))
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

// workToPlace returns the declared processor time of the tasks that are neither
// done nor at a worker, the part of those that could start, and how many
// processors these take.
func (c *Cell) workToPlace(j *job) (all, open time.Duration, processors float64) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.Standing {
				continue
			}
			if s.waitsFor > 0 {
				all += workOf(s.Size, s.Estimate) * time.Duration(s.left)
				continue
			}
			work := workOf(s.Size, s.Estimate) * time.Duration(len(s.waiting))
			all += work
			open += work
			processors += float64(s.Size.MilliProcessors) / 1000 * float64(len(s.waiting))
		}
	}
	return all, open, processors
}

// meanWeight is the weight of a job in the running mean of its queue.
const meanWeight = 0.03

// noteWork takes a job into the mean work of its queue.
func (c *Cell) noteWork(j *job) {
	if j.work <= 0 {
		return
	}
	mean, known := c.meanWork[j.Job.Queue]
	if !known {
		mean = j.work
	}
	c.meanWork[j.Job.Queue] = mean + time.Duration(meanWeight*float64(j.work-mean))
}

const (
	// spareUse is the share of a service's processors that is reserved below which
	// no job may be without a running task for long.
	spareUse = 0.52
	// starveAfter is the time after which such a job is given one.
	starveAfter = 2 * time.Second
	// starvedTail is the expected tail up to which that task is placed. What it
	// disturbs more than that is for pacing to undo.
	starvedTail = 1.0
)

// feedStarved gives a task to each job that has none running, where less than
// about half of the room is reserved. Tails, not room, then keep tasks that fill
// waiting, and those of late jobs would wait until all others are done.
func (c *Cell) feedStarved(now time.Time) {
	var starved []*step
	spare := make(map[string]bool)
	for s := range c.ready {
		j := s.occ.job
		if s.Standing || s.gang != nil || j.queue == nil || c.doubted(now, s) || now.Sub(s.readyAt) < starveAfter {
			continue
		}
		service := j.queue.Service
		if _, known := spare[service]; !known {
			spare[service] = c.hasSpare(service)
		}
		if spare[service] && !j.hasRuns() {
			starved = append(starved, s)
		}
	}
	slices.SortFunc(starved, func(a, b *step) int {
		return cmp.Or(a.readyAt.Compare(b.readyAt), cmp.Compare(a.occ.job.ID, b.occ.job.ID), a.compare(b))
	})
	for _, s := range starved {
		t := s.firstWaiting()
		if t == nil || s.occ.job.hasRuns() {
			continue
		}
		w := c.chooseBelow(now, t, tierOfStarved(s))
		if w == nil {
			continue
		}
		s.waiting = slices.DeleteFunc(s.waiting, func(x *task) bool { return x == t })
		if len(s.waiting) == 0 {
			delete(c.ready, s)
		}
		c.startWaiting(now, w, t)
	}
}

// tierOfStarved is tierOf for a task of a job that has waited for too long.
func tierOfStarved(s *step) tailTier {
	if s.Fills {
		return starving
	}
	return gentle
}

// firstWaiting returns the first waiting task that still needs a run, or nil: what
// a worker tells may have ended a task meanwhile.
func (s *step) firstWaiting() *task {
	for _, t := range s.waiting {
		if !t.done && len(t.attempts) == 0 {
			return t
		}
	}
	return nil
}

// hasRuns reports whether a task of a job is at a worker.
func (j *job) hasRuns() bool {
	for _, o := range j.occurrences {
		if slices.ContainsFunc(o.steps, (*step).hasRuns) {
			return true
		}
	}
	return false
}

// hasRuns reports whether a task of a step is at a worker.
func (s *step) hasRuns() bool {
	return s.runs > 0
}

// hasSpare reports whether much of a service's room is not reserved.
func (c *Cell) hasSpare(service string) bool {
	used, room := int64(0), int64(0)
	for _, w := range c.order {
		if w.usable() && w.info.Service == service {
			used += w.used.MilliProcessors
			room += w.info.Room.MilliProcessors
		}
	}
	return float64(used) < spareUse*float64(room)
}
