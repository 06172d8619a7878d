package cell

import (
	"cmp"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/crashloop"
	"bamboofall.example/bamboofall/internal/jobs/downtime"
	"bamboofall.example/bamboofall/internal/jobs/duration"
	"bamboofall.example/bamboofall/internal/jobs/fitcache"
	"bamboofall.example/bamboofall/internal/jobs/jobspec"
)

// job is a job and its progress.
type job struct {
	*bamboofall.Job
	queue    *bamboofall.Queue
	accepted time.Time
	state    bamboofall.JobState
	endedAt  time.Time
	// countedBytes is the part of the job in Cell.countedBytes.
	countedBytes int
	// occurrences holds the open ones, ordered by number.
	occurrences []*occurrence
	// openIndex is the index of the job in Cell.open.
	openIndex int
	// nextOccurrence is the number of the next occurrence to open.
	nextOccurrence int
	// doneCount is the number of completed occurrences.
	doneCount int
	// started is set once a worker has started one of the tasks.
	started bool
	// promised is set if the caller was told that the job is accepted before this owner
	// stored it.
	promised bool
	// specFlush is the flush that makes the submission durable, or zero if a former owner
	// has stored it.
	specFlush uint64
	// stateFlush is the flush that makes the latest state durable.
	stateFlush uint64
	// visibleState is the durable state, which callers see.
	visibleState bamboofall.JobState
	// criticalPath is the longest run time of a chain of dependent steps, as expected when
	// the job was accepted. A step takes as long as its longest task.
	criticalPath time.Duration
	// remainingPaths is the longest expected run time from the end of each step to the end
	// of the job.
	remainingPaths []time.Duration
	// due is the deadline that follows from the objective of the queue.
	due time.Time
	// work is the declared processor time of all tasks.
	work time.Duration
	// spent is the processor time of its runs that is not accounted for yet.
	spent time.Duration
	// bestEffort is set if one of the steps is best-effort.
	bestEffort bool
	// shed is set while the job is ranked behind those that can finish in time.
	shed bool
	// idle is the time for which none of its ready tasks has run, as of the last summary.
	idle downtime.Clock
	// starvedSince is since when the job is starved, or zero.
	starvedSince time.Time
}

// occurrence is one execution of the steps of a job.
type occurrence struct {
	job    *job
	number int
	steps  []*step
	// stepsLeft counts the steps that are not completed.
	stepsLeft int
}

// step is a step of an occurrence.
type step struct {
	occ   *occurrence
	index int
	*bamboofall.Step
	tasks []task
	// unfinishedDeps counts the steps in After that are not completed.
	unfinishedDeps int
	// tasksLeft counts the tasks that are not completed.
	tasksLeft int
	// released is set once a task may have been started. releasedFlush is the flush that
	// makes this durable, or zero if a former owner began the step.
	released      bool
	releasedFlush uint64
	// waiting holds the tasks that need a run.
	waiting []*task
	// readyAt is when the tasks became ready.
	readyAt time.Time
	// rack is the rack chosen for a step with SameRack.
	rack string
	gang *gangState
	// runs is the number of attempts of its tasks at workers.
	runs int
	// inRanking is set while the step is in Cell.ranked or Cell.newlyReady.
	inRanking bool
	shape     *fitcache.Shape
	// orphan is set for the step of a run whose task is not known.
	orphan bool
	// durations holds the run times of its completed tasks.
	durations duration.Sample
}

// gangState is the state that the tasks of a gang share.
type gangState struct {
	failedRuns []uint32
	checkpoint string
	// run is the number of the last run of the gang.
	run uint32
	// blockedGain is the number of the last gain as of which at most slots tasks of the
	// gang fitted at the workers together, or zero if that was never checked.
	blockedGain uint64
	slots       int
}

// task is one task of a step.
type task struct {
	step  *step
	index int
	done  bool
	// queued is set while the task is in step.waiting.
	queued bool
	// failedRuns holds the runs that failed, of a standing task the highest one only.
	failedRuns []uint32
	checkpoint string
	// lastRun is the highest run number used so far.
	lastRun  uint32
	attempts []*attempt
	// located is set once a worker has reported a run of the task at a time at which no former
	// owner could act. No other run can then exist, unless the step allows copies.
	located bool
	// expired holds the runs that are in worker.expired of their workers, and maybe some
	// that no longer are.
	expired []*attempt
	// restarts counts the runs that were stopped as slow or stalled.
	restarts int
	// crashes holds the crashes of workers under the task.
	crashes crashloop.Task
	// lastFailedOn is the ID of the worker where the task last failed.
	lastFailedOn string
	// failedAt is when this owner learned of its last failure.
	failedAt time.Time
	// stalledOn is the ID of the worker where a run of the task last stalled, unless it has
	// come up since.
	stalledOn string
	// downtime is that of a standing task, as of the last summary.
	downtime downtime.Clock
}

func (t *task) name() bamboofall.TaskName {
	return bamboofall.TaskName{Job: t.step.occ.job.ID, Occurrence: t.step.occ.number, Step: t.step.index, Index: t.index}
}

// newJob returns a job without open occurrences.
func (c *Cell) newJob(spec *bamboofall.Job, q *bamboofall.Queue, accepted time.Time) *job {
	j := &job{
		Job: spec, accepted: accepted, state: bamboofall.JobQueued, visibleState: bamboofall.JobQueued,
	}
	j.work = jobspec.Work(spec)
	j.bestEffort = slices.ContainsFunc(spec.Steps, func(s bamboofall.Step) bool { return s.BestEffort })
	j.remainingPaths = make([]time.Duration, len(spec.Steps))
	for i := len(spec.Steps) - 1; i >= 0; i-- {
		s := &spec.Steps[i]
		path := c.durations.Longest(runTimeKey(spec, s), s.Estimate, s.Count) + j.remainingPaths[i]
		j.criticalPath = max(j.criticalPath, path)
		for _, dep := range s.After {
			j.remainingPaths[dep] = max(j.remainingPaths[dep], path)
		}
	}
	j.setQueue(q)
	return j
}

// setQueue sets the queue, or nil if it is not known, and the deadline that follows from it.
func (j *job) setQueue(q *bamboofall.Queue) {
	j.queue = q
	if q != nil {
		j.due = j.accepted.Add(time.Duration(q.Stretch*float64(j.criticalPath)) + q.Slack)
	}
}

// compareNumber compares the number of the occurrence with another.
func (o *occurrence) compareNumber(number int) int { return cmp.Compare(o.number, number) }

// occurrence returns an open occurrence, or nil.
func (j *job) occurrence(number int) *occurrence {
	at, found := slices.BinarySearchFunc(j.occurrences, number, (*occurrence).compareNumber)
	if !found {
		return nil
	}
	return j.occurrences[at]
}

// addOpen adds a job to the open ones.
func (c *Cell) addOpen(j *job) {
	j.openIndex = len(c.open)
	c.open = append(c.open, j)
}

// removeOpen removes a job from the open ones.
func (c *Cell) removeOpen(j *job) {
	last := len(c.open) - 1
	c.open[last].openIndex = j.openIndex
	c.open[j.openIndex] = c.open[last]
	c.open[last] = nil
	c.open = c.open[:last]
}

// openOccurrence adds an occurrence without making its tasks ready.
func (j *job) openOccurrence(number int) *occurrence {
	o := &occurrence{job: j, number: number, stepsLeft: len(j.Steps)}
	at, _ := slices.BinarySearchFunc(j.occurrences, number, (*occurrence).compareNumber)
	j.occurrences = slices.Insert(j.occurrences, at, o)
	for i := range j.Steps {
		s := &step{occ: o, index: i, Step: &j.Steps[i], tasksLeft: j.Steps[i].Count}
		s.tasks = make([]task, s.Count)
		for k := range s.tasks {
			s.tasks[k] = task{step: s, index: k}
		}
		if s.Gang {
			s.gang = &gangState{}
		}
		s.unfinishedDeps = len(s.After)
		o.steps = append(o.steps, s)
	}
	return o
}

// priority returns the priority of the job's queue, or that of the most urgent ones if the
// queue is not known.
func (j *job) priority() int {
	if j.queue == nil {
		return 0
	}
	return j.queue.Priority
}

// openReadySteps makes the tasks of all steps without unfinished dependencies ready.
func (c *Cell) openReadySteps(now time.Time, o *occurrence) {
	for _, s := range o.steps {
		if s.unfinishedDeps == 0 && s.tasksLeft > 0 {
			c.openStep(now, s)
		}
	}
}

func (c *Cell) openStep(now time.Time, s *step) {
	s.readyAt = now
	for i := range s.tasks {
		c.enqueue(&s.tasks[i])
	}
}

// enqueue makes a task wait for a run, unless it has one or needs none.
func (c *Cell) enqueue(t *task) {
	s := t.step
	if t.done || t.queued || len(t.attempts) > 0 || s.unfinishedDeps > 0 || s.occ.job.state.Ended() {
		return
	}
	c.appendWaiting(t)
}

// appendWaiting adds a task to the waiting ones of its step.
func (c *Cell) appendWaiting(t *task) {
	t.queued = true
	t.step.waiting = append(t.step.waiting, t)
	c.ready[t.step] = true
	if !t.step.inRanking {
		t.step.inRanking = true
		c.newlyReady = append(c.newlyReady, t.step)
	}
	c.placementDue = true
}

// unqueue removes a task from the waiting ones of its step.
func (c *Cell) unqueue(t *task) {
	if t.queued {
		t.queued = false
		t.step.waiting = slices.DeleteFunc(t.step.waiting, func(x *task) bool { return x == t })
	}
}

// unqueueStep removes all waiting tasks of a step.
func (c *Cell) unqueueStep(s *step) {
	for _, t := range s.waiting {
		t.queued = false
	}
	s.waiting = nil
	delete(c.ready, s)
}

// completeTask records the completion of a task and what follows from it for its step and
// job.
func (c *Cell) completeTask(now time.Time, t *task) {
	if t.done {
		return
	}
	t.done = true
	t.checkpoint = ""
	s := t.step
	if t.queued {
		t.queued = false
		s.waiting = slices.DeleteFunc(s.waiting, func(x *task) bool { return x == t })
	}
	s.tasksLeft--
	if s.tasksLeft > 0 {
		return
	}
	c.unqueueStep(s)
	if !s.Standing {
		expected := c.durations.Longest(runTimeKey(s.occ.job.Job, s.Step), s.Estimate, s.durations.Count())
		c.runTimeErrors.Observe(s.occ.job.Job.Queue, expected, s.durations.Longest())
	}
	c.durations.ObserveStep(s.durations)
	o := s.occ
	o.stepsLeft--
	for _, successor := range o.steps[s.index+1:] {
		for _, dep := range successor.After {
			if dep != s.index {
				continue
			}
			successor.unfinishedDeps--
			if successor.unfinishedDeps == 0 {
				c.openStep(now, successor)
			}
		}
	}
	if o.stepsLeft > 0 {
		return
	}
	o.job.occurrences = slices.DeleteFunc(o.job.occurrences, func(x *occurrence) bool { return x == o })
	o.job.doneCount++
	c.countBytes(now, o.job)
	if o.job.doneCount >= o.job.Occurrences() {
		c.finish(now, o.job, bamboofall.JobCompleted, "")
	}
}

// finish ends a job and stops its runs.
func (c *Cell) finish(now time.Time, j *job, state bamboofall.JobState, reason string) {
	if j.state.Ended() {
		return
	}
	j.state = state
	j.endedAt = now
	if c.pending.specs[j.ID] == nil {
		j.dropPayload()
	}
	c.accountJob(j)
	c.ended = append(c.ended, j)
	c.removeOpen(j)
	delete(c.recurring, j)
	c.countBytes(now, j)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			c.unqueueStep(s)
			for i := range s.tasks {
				for _, a := range slices.Clone(s.tasks[i].attempts) {
					c.stop(now, a, state.String())
				}
			}
		}
	}
	switch state {
	case bamboofall.JobCompleted:
		c.counters.Completed++
	case bamboofall.JobFailed:
		c.counters.Failed++
	case bamboofall.JobCancelled:
		c.counters.Cancelled++
	}
	c.pending.touch(j)
	c.note(Note{Event: "job " + state.String(), Job: j.ID, Detail: reason})
}

// openDueOccurrences opens the occurrences whose start time has come.
func (c *Cell) openDueOccurrences(now time.Time) {
	for j := range c.recurring {
		for j.nextOccurrence < j.Occurrences() && !now.Before(j.FirstRun.Add(time.Duration(j.nextOccurrence)*j.Interval)) {
			o := j.openOccurrence(j.nextOccurrence)
			j.nextOccurrence++
			c.openReadySteps(now, o)
			c.pending.touch(j)
		}
		if j.nextOccurrence >= j.Occurrences() {
			delete(c.recurring, j)
			c.countBytes(now, j)
		}
	}
}

// expireEnded forgets jobs that ended more than EndedJobRetention ago.
func (c *Cell) expireEnded(now time.Time) {
	n := 0
	for _, j := range c.ended {
		if now.Sub(j.endedAt) < c.cfg.EndedJobRetention {
			break
		}
		delete(c.jobs, j.ID)
		c.countBytes(now, j)
		c.pending.forget(j.ID)
		n++
	}
	c.ended = c.ended[n:]
}
