package cell

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/crashloop"
)

const (
	// commonCauseFailures is the number of other workers that fail at the same time from
	// which on the cause is taken for a common one.
	commonCauseFailures = 3
	// neighbourPenalty makes the worker with the fewest runs the best one for a suspect,
	// which may crash it. youngNeighbourPenalty avoids runs that could have caused a crash
	// as well.
	neighbourPenalty      = 10
	youngNeighbourPenalty = 1000
)

// noteRefused records whether a failed call shows that nothing listens at the worker's
// address.
func (w *worker) noteRefused(err error) {
	var notDone *bamboofall.NotDoneError
	w.noListener = w.noListener || errors.As(err, &notDone) && notDone.NoListener
}

// survived returns how long the worker is known to have survived the run, by its clock.
func (a *attempt) survived() time.Duration {
	if a.state != attemptRunning {
		return a.survivedFormer
	}
	return max(a.survivedFormer, a.worker.clock-a.startClock)
}

// confirmRunning records that the worker has confirmed the run for the first time.
func (a *attempt) confirmRunning(now time.Time) {
	a.state, a.confirmed = attemptRunning, true
	a.startClock = a.worker.clock + now.Sub(a.worker.clockAt)
}

// gone reports whether nothing listens at the address of a worker that has not restarted.
func (w *worker) gone() bool { return w.noListener && w.silent() && !w.listed }

// watchCrash detects a crash of a worker that has not restarted. A cut can end in refused
// connections too, but leaves the worker listed for as long as it reaches the platform.
func (c *Cell) watchCrash(now time.Time, w *worker) {
	if w.gone() {
		c.workerCrashed(now, w, "nothing listens at its address and it is unlisted")
	}
}

// workerCrashed records the crash of a worker with the tasks that may have caused it, and
// fails the jobs of those that must be given up.
func (c *Cell) workerCrashed(now time.Time, w *worker, evidence string) {
	if w.crashed || w.info.Draining {
		return
	}
	w.crashed = true
	c.counters.WorkersCrashed++
	attempts := slices.DeleteFunc(slices.Concat(w.expired, w.attempts), func(a *attempt) bool {
		return !a.mayRun() || a.task.done
	})
	coincident := c.failedTogether(w)
	runs := make([]crashloop.Run, len(attempts))
	for i, a := range attempts {
		var gang any
		if g := a.task.step.gang; g != nil {
			gang = g
		}
		runs[i] = crashloop.Run{
			Task: &a.task.crashes, Gang: gang, Number: a.run, Confirmed: a.confirmed, Survived: a.survived(), Trial: a.trial,
			Prompt: !a.inherited && w.silent() && w.silentSince.Sub(a.startedAt) < crashloop.PromptTime, Coincident: coincident,
		}
	}
	c.note(Note{Event: "worker crashed", Worker: w.info.ID, Detail: fmt.Sprintf("%s; %d runs", evidence, len(runs))})
	for _, s := range crashloop.Assess(runs) {
		a := attempts[s.Index]
		j := a.task.step.occ.job
		if j.state.Ended() {
			continue // it may have caused the crash, but is not started again
		}
		c.pending.touch(j)
		c.counters.TasksSuspected++
		c.noteRun(a, "task suspect", rare, fmt.Sprintf("worker crashed, the run had survived %v; crashes of the task: %d, trial %t, given up %t",
			runs[s.Index].Survived.Round(time.Millisecond), len(a.task.crashes.Runs()), a.trial, s.GiveUp))
		switch {
		case !s.GiveUp:
		case a.attached && !a.named && !w.gone():
			a.giveUpIfLost = true
		default:
			c.giveUp(now, a)
		}
	}
}

// giveUp fails the job of a task that has crashed too many workers.
func (c *Cell) giveUp(now time.Time, a *attempt) {
	c.counters.TasksGivenUp++
	c.finish(now, a.task.step.occ.job, bamboofall.JobFailed,
		fmt.Sprintf("task %v crashed %d workers, last %s", a.task.name(), len(a.task.crashes.Runs()), a.worker.info.ID))
}

// failedTogether reports whether several other workers, beside those with a trial, failed at
// about the same time as the given one.
func (c *Cell) failedTogether(w *worker) bool {
	if w.silentSince.IsZero() {
		return false
	}
	others := 0
	for _, x := range c.workerList {
		if x != w && !x.failedOnTrial && x.silentSince.Sub(w.silentSince).Abs() < crashloop.PromptTime {
			others++
		}
	}
	return others >= commonCauseFailures
}

// suspectPenalty returns by how much the runs of a worker lower its placement score for
// a suspect.
func suspectPenalty(now time.Time, w *worker) float64 {
	penalty := 0
	for _, a := range w.attempts {
		penalty += neighbourPenalty
		if a.state != attemptRunning || now.Sub(a.startedAt) < crashloop.PromptTime {
			penalty += youngNeighbourPenalty
		}
	}
	return float64(penalty)
}

// workerReplaced handles an answer by another process at a worker's address. The worker's
// own process has ended: nothing runs there any more, and no end will be reported.
func (c *Cell) workerReplaced(now time.Time, w *worker) {
	const reason = "another process answers at the worker's address"
	c.workerCrashed(now, w, reason)
	for _, a := range slices.Clone(w.attempts) {
		c.loseRun(now, a, reason)
	}
	w.usedByFormer = false
}

// clearCrash records that a worker is up. If it counted as crashed, it was only out of
// reach.
func (c *Cell) clearCrash(w *worker) {
	if w.crashed {
		for _, a := range slices.Concat(w.expired, w.attempts) {
			a.task.crashes.Retract(a.run)
			if j := a.task.step.occ.job; c.jobs[j.ID] == j && !j.state.Ended() {
				c.pending.touch(j)
			}
		}
	}
	w.crashed, w.noListener = false, false
	w.clearExpired()
}

// watchTrial clears a task that its worker has survived, and ends the trial of a run.
func (c *Cell) watchTrial(now time.Time, a *attempt) {
	w := a.worker
	if len(a.task.crashes.Runs()) == 0 && !a.task.crashes.Suspect() && w.trial != a {
		return
	}
	survived := a.survived()
	if a.task.crashes.RecordSurvival(survived) {
		c.pending.touch(a.task.step.occ.job)
		c.noteRun(a, "task cleared", rare, fmt.Sprintf("the worker has survived the run for %v", survived.Round(time.Millisecond)))
	}
	switch {
	case w.trial != a:
	case survived >= crashloop.TrialTime:
		w.trial = nil
		c.addGain(w)
	case a.mayRun() && now.Sub(a.startedAt) >= crashloop.TrialTime:
		c.probe(now, w)
	}
}
