package cell

import (
	"cmp"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/callercost"
	"bamboofall.example/bamboofall/internal/jobs/jobspec"
	"bamboofall.example/bamboofall/internal/jobs/pacing"
	"bamboofall.example/bamboofall/internal/jobs/tailtier"
	"bamboofall.example/bamboofall/internal/jobs/urgency"
)

// capacityPool identifies the capacity that a kind of jobs shares.
type capacityPool struct {
	service    string
	bestEffort bool
}

// shed marks the waiting jobs that cannot finish in time alongside the others. They are
// ranked behind those that can.
func (c *Cell) shed(now time.Time) {
	if c.cfg.Variant.NoShedding {
		return
	}
	candidates := make(map[capacityPool][]*urgency.Candidate)
	byPriority := make(map[int][]*urgency.Candidate)
	jobs := make(map[*urgency.Candidate]*job)
	seen := make(map[*job]bool)
	for s := range c.ready {
		j := s.occ.job
		if seen[j] || j.queue == nil || c.urgencyOf(now, s).Tier > urgency.Shed || s.Standing || j.Repetitions > 0 {
			continue
		}
		seen[j] = true
		work, startable, processors := c.workToPlace(j)
		remaining, waiting := startsToMake(j)
		candidate := &urgency.Candidate{
			Due: j.due, RemainingWork: work, StartableWork: startable, Processors: processors, CriticalPath: c.criticalPathLeft(j), ValueDensity: callercost.Density(j.work, work, c.meanWork[j.Job.Queue]), Name: string(j.ID),
			RemainingStarts: remaining, WaitingStarts: waiting,
		}
		p := capacityPool{j.queue.Service, j.bestEffort}
		candidates[p] = append(candidates[p], candidate)
		byPriority[j.queue.Priority] = append(byPriority[j.queue.Priority], candidate)
		jobs[candidate] = j
	}
	for p, poolCandidates := range candidates {
		processors, free := c.capacityOf(p)
		urgency.ShedExcess(now, processors, free, poolCandidates)
	}
	for priority, queued := range byPriority {
		if perSecond, limited := c.startRate(priority); limited {
			urgency.ShedExcessStarts(now, perSecond, queued)
		}
	}
	for candidate, j := range jobs {
		j.shed = candidate.Shed
	}
}

// startsToMake returns how many tasks of a job are neither completed nor at a worker, and how
// many of them are ready to start.
func startsToMake(j *job) (total, waiting int) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			switch {
			case s.Standing:
			case s.unfinishedDeps > 0:
				total += s.tasksLeft
			default:
				total += len(s.waiting)
				waiting += len(s.waiting)
			}
		}
	}
	return total, waiting
}

// criticalPathLeft returns the remaining run time of a job with unlimited capacity.
func (c *Cell) criticalPathLeft(j *job) time.Duration {
	left := time.Duration(0)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.tasksLeft > 0 && s.unfinishedDeps == 0 {
				left = max(left, c.criticalPathFrom(s))
			}
		}
	}
	return left
}

// criticalPathFrom returns the run time of a job from a step on with unlimited capacity,
// if all tasks of the step that are not completed start now.
func (c *Cell) criticalPathFrom(s *step) time.Duration {
	return c.durations.Longest(runTimeKey(s.occ.job.Job, s.Step), s.Estimate, s.tasksLeft) + s.occ.job.remainingPaths[s.index]
}

// capacityOf returns the processors of a pool and how many of them are idle.
func (c *Cell) capacityOf(p capacityPool) (processors, free float64) {
	for _, w := range c.workerList {
		if !w.countsAsRoom() || w.info.Service != p.service {
			continue
		}
		room, idle := max(0, w.info.Room.MilliProcessors-w.standingCPU), w.free().MilliProcessors
		if p.bestEffort {
			room, idle = w.unusedCPU(), w.unusedCPU()-w.bestEffortCPU
		}
		processors += float64(room) / 1000
		free += float64(max(0, idle)) / 1000
	}
	if bound, known := c.bestEffortBound(); known && p.bestEffort {
		// The bounds on tail latency leave best-effort tasks less than the unused CPU.
		return min(processors, bound/1000), 0
	}
	return processors, free
}

// workToPlace returns the declared processor time of the tasks that are neither completed
// nor at a worker, the part of it that is ready to start, and the processors that the
// ready tasks take.
func (c *Cell) workToPlace(j *job) (total, open time.Duration, processors float64) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.Standing {
				continue
			}
			if s.unfinishedDeps > 0 {
				total += jobspec.ProcessorTime(s.Size, s.Estimate) * time.Duration(s.tasksLeft)
				continue
			}
			work := jobspec.ProcessorTime(s.Size, s.Estimate) * time.Duration(len(s.waiting))
			total += work
			open += work
			processors += float64(s.Size.MilliProcessors) / 1000 * float64(len(s.waiting))
		}
	}
	return total, open, processors
}

// meanWorkWeight is the weight of a job in the running mean of its queue.
const meanWorkWeight = 0.03

// updateMeanWork adds a job to the mean work of its queue.
func (c *Cell) updateMeanWork(j *job) {
	if j.work <= 0 {
		return
	}
	mean, known := c.meanWork[j.Job.Queue]
	if !known {
		mean = j.work
	}
	c.meanWork[j.Job.Queue] = mean + time.Duration(meanWorkWeight*float64(j.work-mean))
}

const (
	// spareUtilization is the reserved fraction of a service's CPU below which no job may
	// be without a running task for long.
	spareUtilization = 0.52
	// starvationDelay is how long such a job waits before it is given a task.
	starvationDelay = 2 * time.Second
	// crowdedDelay is how much longer it waits for a worker at which no target is missed and
	// idle CPU is left that no other best-effort task was given.
	crowdedDelay = 400 * time.Millisecond
)

// startStarved starts one task of each job that has none running, for services with less
// than about half of their CPU reserved. There the bounds on tail latency rather than
// capacity keep best-effort tasks waiting, and late jobs would otherwise wait until all
// others have finished, or for ever where every worker serves what they disturb.
func (c *Cell) startStarved(now time.Time) {
	var starved []*step
	spare := make(map[string]bool)
	for s := range c.ready {
		j := s.occ.job
		if s.Standing || j.queue == nil || c.mayRunUnreported(now, s) || now.Sub(s.readyAt) < starvationDelay {
			continue
		}
		service := j.queue.Service
		if _, known := spare[service]; !known {
			spare[service] = c.hasSpare(service)
		}
		if spare[service] && !c.hasRuns(now, j) {
			starved = append(starved, s)
		}
	}
	slices.SortFunc(starved, func(a, b *step) int {
		return cmp.Or(a.readyAt.Compare(b.readyAt), cmp.Compare(a.occ.job.ID, b.occ.job.ID), a.compare(b))
	})
	blocked := make(map[gangFit]bool)
	for _, s := range starved {
		for _, tier := range tiersOfStarved(now, s) {
			switch {
			case c.hasRuns(now, s.occ.job):
			case s.gang == nil:
				c.startStarvedStep(now, s, tier)
			default:
				k := gangFit{s.occ.job.queue.Service, s.Image, s.Label, s.Size, s.Count, s.MaxPerWorker, s.BestEffort, tier}
				blocked[k] = blocked[k] || !c.placeGang(now, s, tier)
			}
		}
	}
}

// gangFit holds what decides whether a gang fits.
type gangFit struct {
	service, image, label string
	size                  bamboofall.Resources
	count, maxPerWorker   int
	bestEffort            bool
	tier                  tailtier.Tier
}

// startStarvedStep starts a task of a step by a bound on the predicted tail latency.
func (c *Cell) startStarvedStep(now time.Time, s *step, tier tailtier.Tier) {
	t := s.firstWaiting()
	if t == nil {
		return
	}
	w := c.chooseWorkerInTier(now, t, tier)
	if w == nil {
		return
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(x *task) bool { return x == t })
	if len(s.waiting) == 0 {
		delete(c.ready, s)
	}
	c.startWaiting(now, w, t)
	t.attempts[0].targetPace = w.startPace(tier)
}

// startPace returns the pace at which a task that is placed by a tier starts at the worker.
func (w *worker) startPace(tier tailtier.Tier) int {
	if tier >= tailtier.Throttled && len(w.serving) > 0 {
		return pacing.Cautious
	}
	return fullPace
}

// tiersOfStarved returns the tiers for a task of a job that has waited too long, in the order
// in which they are tried.
func tiersOfStarved(now time.Time, s *step) []tailtier.Tier {
	if !s.BestEffort {
		return []tailtier.Tier{tailtier.Recent}
	}
	j := s.occ.job
	if j.starvedSince.IsZero() {
		j.starvedSince = now
		// Placement may not have been tried at the very end of the delay.
		if end := s.readyAt.Add(starvationDelay); now.Sub(end) <= placeInterval {
			j.starvedSince = end
		}
	}
	if now.Sub(j.starvedSince) < crowdedDelay {
		return []tailtier.Tier{tailtier.Starved, tailtier.Throttled}
	}
	return []tailtier.Tier{tailtier.Starved, tailtier.Throttled, tailtier.Crowded}
}

// firstWaiting returns the first waiting task that still needs a run, or nil. A report
// may have completed waiting tasks.
func (s *step) firstWaiting() *task {
	for _, t := range s.waiting {
		if !t.done && len(t.attempts) == 0 {
			return t
		}
	}
	return nil
}

// hasRuns reports whether a task of the job is at a worker where its lease may not have expired.
func (c *Cell) hasRuns(now time.Time, j *job) bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for i := 0; s.runs > 0 && i < len(s.tasks); i++ {
				if slices.ContainsFunc(s.tasks[i].attempts, func(a *attempt) bool {
					return !a.worker.silent() || !c.surelyExpired(now, a.worker.allLeasesEnd())
				}) {
					return true
				}
			}
		}
	}
	return false
}

// hasSpare reports whether much of a service's CPU is not reserved, that of workers which
// get no tasks at present included, or much of that outside the evacuated data centres.
func (c *Cell) hasSpare(service string) bool {
	var used, room, usedLeft, roomLeft int64
	for _, w := range c.workerList {
		if !w.listed || w.info.Service != service {
			continue
		}
		used += w.used.MilliProcessors
		room += w.info.Room.MilliProcessors
		if !w.evacuated {
			usedLeft += w.used.MilliProcessors
			roomLeft += w.info.Room.MilliProcessors
		}
	}
	return float64(used) < spareUtilization*float64(room) || float64(usedLeft) < spareUtilization*float64(roomLeft)
}
