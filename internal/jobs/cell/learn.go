package cell

import (
	"slices"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/pacing"
	"bamboofall.example/bamboofall/internal/jobs/suspicion"
)

const (
	fullPace = pacing.Full
	// paceUnknown is the pace of an adopted run, which a former owner may have
	// throttled.
	paceUnknown = -1
	// standingStartTimeout is how long a standing task may take to come up.
	standingStartTimeout = 4 * time.Second
)

// runTimeKey returns the name under which run times of a step are learned: its image or,
// if it has none, its queue.
func runTimeKey(spec *bamboofall.Job, s *bamboofall.Step) string {
	if s.Image != "" {
		return s.Image
	}
	return spec.Queue
}

// expectedRunTime returns the declared run time of a step, corrected by the learned
// ratio.
func (c *Cell) expectedRunTime(s *step) time.Duration {
	return c.durations.Expected(runTimeKey(s.occ.job.Job, s.Step), s.Estimate)
}

// learnDone updates the health of a worker and, from runs that were neither resumed nor
// throttled, the expected run time.
func (c *Cell) learnDone(now time.Time, w *worker, a *attempt, t *task) {
	var startedAt time.Time // that of a run that is not known any more
	if a != nil {
		startedAt = a.startedAt
	}
	w.health.RecordSuccess(startedAt)
	s := t.step
	if a == nil || s.Estimate <= 0 || s.Standing || a.resumed || a.targetPace < fullPace {
		return
	}
	took := now.Sub(a.startedAt)
	w.health.RecordRunTime(float64(took) / float64(c.expectedRunTime(s)))
	c.durations.Observe(runTimeKey(s.occ.job.Job, s.Step), s.Estimate, took)
	s.durations.Add(took)
}

// learnFailure counts a failure against the worker, unless the job has also failed
// elsewhere.
func (c *Cell) learnFailure(now time.Time, w *worker, t *task) {
	previous := t.lastFailedOn
	t.lastFailedOn, t.failedAt = w.info.ID, now
	if previous != "" && previous != w.info.ID {
		return
	}
	for _, s := range t.step.occ.steps {
		for i := range s.tasks {
			other := &s.tasks[i]
			if other.lastFailedOn != "" && other.lastFailedOn != w.info.ID {
				return
			}
		}
	}
	c.recordFailure(now, w, t.step, false)
}

// recordFailure counts a failed or stalled run of a step against a worker.
func (c *Cell) recordFailure(now time.Time, w *worker, s *step, stalled bool) {
	if !w.health.RecordFailure(now, stalled) {
		return
	}
	c.counters.Quarantines++
	detail := "consecutive runs failed"
	if stalled {
		detail = "a run stalled"
	}
	if c.neededBy(now, w, s) {
		w.health.ShortenPause(now)
		detail += "; it is the only choice of some tasks"
	}
	c.note(Note{Event: "worker suspect", Worker: w.info.ID, Detail: detail})
}

// checkProgress stops or restarts a run that is stalled, much slower than expected or,
// for a standing task, does not come up.
func (c *Cell) checkProgress(now time.Time, a *attempt) {
	t := a.task
	s := t.step
	if a.state != attemptRunning || a.stopping || t.done || s.occ.job.state.Ended() {
		return
	}
	if s.Standing {
		c.checkStandingStart(now, a)
		return
	}
	if s.gang != nil || a.confirmedAt.Before(a.startedAt) || t.restarts >= suspicion.MaxRestarts {
		return
	}
	expected := c.expectedRunTime(s)
	if s.Rack != "" && a.worker.info.Rack() != s.Rack {
		expected = time.Duration(float64(expected) * c.cfg.RemoteFactor)
	}
	p := suspicion.Progress{
		OrderedAt: a.startedAt, ReportedAt: a.confirmedAt, ProgressedAt: a.progressedAt, Percent: a.percent, Expected: expected,
	}
	switch {
	case p.Stalled():
		c.recordStall(now, a)
		c.rerun(now, a, "the run is stalled")
	case !s.BestEffort && !a.resumed && p.Slow():
		a.worker.health.RecordSlowRun(p.Factor())
		c.rerun(now, a, "the run is slow")
	}
}

// checkStandingStart stops a run of a standing task that was not up when the worker
// reported it after standingStartTimeout.
func (c *Cell) checkStandingStart(now time.Time, a *attempt) {
	if a.comingUp() && a.confirmedAt.Sub(a.startedAt) > standingStartTimeout {
		c.recordStall(now, a)
		c.stop(now, a, "the standing task did not come up in time")
	}
}

// maxBlamedWorkers is the number of workers that are held responsible for stalled runs of a
// step. If more of them stall, the cause is the step.
const maxBlamedWorkers = 2

// recordStall counts a stalled run against its worker, unless the step stalls elsewhere too.
func (c *Cell) recordStall(now time.Time, a *attempt) {
	var workers []string
	for i := range a.task.step.tasks {
		t := &a.task.step.tasks[i]
		if on := t.stalledOn; on != "" && on != a.worker.info.ID && !t.done && !slices.Contains(workers, on) {
			workers = append(workers, on)
		}
	}
	a.task.stalledOn = a.worker.info.ID
	if len(workers) < maxBlamedWorkers {
		c.recordFailure(now, a.worker, a.task.step, true)
	}
}

// comingUp reports whether the run is of a standing task that was not up at the last
// report.
func (a *attempt) comingUp() bool {
	return a.task.step.Standing && a.state == attemptRunning && !a.stopping && a.percent < fullPace && a.ackedPace == fullPace
}

// rerun starts a run again elsewhere: alongside the first if the step allows copies,
// otherwise in place of it.
func (c *Cell) rerun(now time.Time, a *attempt, reason string) {
	t := a.task
	if !t.step.Speculative {
		t.restarts++
		c.stop(now, a, reason)
		return
	}
	if len(t.attempts) < maxCopies && !t.queued && !t.crashes.Suspect() {
		c.appendWaiting(t)
	}
}
