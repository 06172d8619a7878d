package cell

import (
	"time"

	"bamboofall.example/bamboofall/internal/jobs/pacing"
	"bamboofall.example/bamboofall/internal/jobs/suspicion"
)

const (
	fullPace = pacing.Full
	// unknownPace is the share of a run that a former owner may have slowed.
	unknownPace = -1
	// rateWeight is the weight of a new sample in a running mean.
	rateWeight = 0.1
	// slowWeight is the same for a worker, of which there are fewer samples.
	slowWeight = 0.3
	// avoidFor is how long a worker that did not take an order gets no new one.
	avoidFor = 300 * time.Millisecond
	// standingStart is how long a standing task may take to be at work.
	standingStart = 4 * time.Second
)

// health is what was learned of a worker.
type health struct {
	suspicion.Worker
	avoidUntil time.Time
	// slow is how much longer than expected tasks take, minus one.
	slow float64
}

func (h *health) avoid(now time.Time) { h.avoidUntil = now.Add(avoidFor) }

func (h *health) takes(now time.Time) bool { return !now.Before(h.avoidUntil) && h.Takes(now) }

// learned holds how long tasks take against what was declared, by queue and
// image.
type learned struct {
	ratio map[string]float64
}

func newLearned() learned { return learned{make(map[string]float64)} }

func imageKey(s *step) string {
	if s.Image != "" {
		return s.Image
	}
	return s.occ.job.Job.Queue
}

// expected returns how long a task of a step should take.
func (c *Cell) expected(s *step) time.Duration {
	if r, known := c.learned.ratio[imageKey(s)]; known {
		return time.Duration(r * float64(s.Estimate))
	}
	return s.Estimate
}

func (c *Cell) learnDone(now time.Time, w *worker, a *attempt, t *task) {
	w.health.Succeeded()
	s := t.step
	if a == nil || s.Estimate <= 0 || s.Standing || a.resumed || a.want < fullPace {
		return
	}
	took := float64(now.Sub(a.startedAt))
	expected := float64(c.expected(s))
	w.health.slow += slowWeight * (took/expected - 1 - w.health.slow)
	key := imageKey(s)
	r, known := c.learned.ratio[key]
	if !known {
		r = 1
	}
	sample := min(took/float64(s.Estimate), 3*r)
	c.learned.ratio[key] = r + rateWeight*(sample-r)
}

// learnFailure notes a failure against the worker, unless the job fails
// elsewhere as well.
func (c *Cell) learnFailure(now time.Time, w *worker, t *task) {
	t.lastWorker = w.info.ID
	for _, s := range t.step.occ.steps {
		for i := range s.tasks {
			other := &s.tasks[i]
			if other.lastWorker != "" && other.lastWorker != w.info.ID {
				return
			}
		}
	}
	c.blame(now, w, false)
}

func (c *Cell) blame(now time.Time, w *worker, stalled bool) {
	if !w.health.Failed(now, stalled) {
		return
	}
	c.counters.Quarantines++
	detail := "runs fail in a row"
	if stalled {
		detail = "a run stands still"
	}
	c.note(Note{Event: "worker suspect", Worker: w.info.ID, Detail: detail})
}

// suspect looks for runs that take far too long.
func (c *Cell) suspect(now time.Time, a *attempt) {
	t := a.task
	s := t.step
	if a.state != attemptRunning || a.stopping || t.done || s.occ.job.state.Ended() {
		return
	}
	ran := now.Sub(a.startedAt)
	if s.Standing {
		if a.percent < fullPace && a.paced == fullPace && ran > standingStart {
			c.blame(now, a.worker, true)
			c.stop(now, a, "the task did not come up")
		}
		return
	}
	if s.gang != nil || a.confirmedAt.Before(a.startedAt) || t.restarts >= suspicion.MaxRestarts {
		return
	}
	expected := c.expected(s)
	if s.Rack != "" && a.worker.rack() != s.Rack {
		expected = time.Duration(float64(expected) * c.cfg.RemoteFactor)
	}
	p := suspicion.Progress{
		Began: a.startedAt, Seen: a.confirmedAt, Moved: a.movedAt, Percent: a.percent, Expected: expected,
	}
	switch {
	case p.Stalled():
		c.blame(now, a.worker, true)
		c.again(now, a, "the run stands still")
	case !s.Fills && !a.resumed && p.Slow():
		a.worker.health.slow = max(a.worker.health.slow, p.Factor()-1)
		c.again(now, a, "the run is slow")
	}
}

// again begins a run anew elsewhere: beside the first if copies are allowed, and
// in its place if not.
func (c *Cell) again(now time.Time, a *attempt, why string) {
	t := a.task
	if !t.step.Speculative {
		t.restarts++
		c.stop(now, a, why)
		return
	}
	if len(t.attempts) < copies && !t.queued {
		c.queue(t)
	}
}
