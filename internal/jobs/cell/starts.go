package cell

import (
	"slices"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/crashloop"
	"bamboofall.example/bamboofall/internal/jobs/jobspec"
	"bamboofall.example/bamboofall/internal/wire/jobpb"
)

// mustStoreStart reports whether a successor must know of the next start of a task before
// it is ordered, as the start may be the second one that crashes its worker without an
// answer: the task is a suspect, or a former owner may have started it.
func (c *Cell) mustStoreStart(t *task) bool {
	return t.crashes.Suspect() || t.step.releasedFlush == 0 && t.lastRun <= c.runBase()
}

// addExpired adds a run that was given up, or that is known from a stored start only. It
// counts if the worker's process turns out to have crashed.
func (w *worker) addExpired(a *attempt) {
	w.expired = append(w.expired, a)
	a.task.dropSettled()
	a.task.expired = append(a.task.expired, a)
}

// clearExpired forgets the expired runs of a worker.
func (w *worker) clearExpired() {
	w.expired = nil
	if w.trial != nil && !w.trial.attached {
		w.trial = nil
	}
}

// dropSettled forgets the expired runs that their workers have forgotten.
func (t *task) dropSettled() {
	t.expired = slices.DeleteFunc(t.expired, func(a *attempt) bool { return !slices.Contains(a.worker.expired, a) })
}

// encodeStarts returns the starts of a task that count if their workers turn out to have
// crashed. Starts that their workers have survived for crashloop.TrialTime are left out, and
// those that have been counted.
func encodeStarts(t *task) (starts []*jobpb.Start) {
	t.dropSettled()
	for _, runs := range [][]*attempt{t.expired, t.attempts} {
		for _, a := range runs {
			if a.survived() < crashloop.TrialTime && !a.worker.crashed {
				starts = append(starts, &jobpb.Start{
					Run: a.run, Worker: a.worker.info.ID, BornUnixMs: jobspec.UnixMS(a.worker.incarnation), Trial: a.trial,
				})
			}
		}
	}
	return starts
}

// restoreJobStarts restores the stored starts of a job.
func (c *Cell) restoreJobStarts(j *job, p *jobpb.Progress) {
	if j == nil || j.state.Ended() {
		return
	}
	for _, m := range p.GetOpen() {
		for i, s := range m.GetSteps() {
			for _, t := range s.GetTasks() {
				name := bamboofall.TaskName{Job: j.ID, Occurrence: int(m.GetNumber()), Step: i, Index: int(t.GetIndex())}
				if task := c.findTask(name); task != nil && !task.done {
					c.restoreStarts(task, t.GetStarts())
				}
			}
		}
	}
}

// restoreStarts restores the stored starts of a task at the processes that a former owner
// last knew. Earlier processes have ended with its knowledge, and a closed record lists all
// runs of its worker.
func (c *Cell) restoreStarts(t *task, starts []*jobpb.Start) {
	for _, s := range starts {
		t.lastRun = max(t.lastRun, s.GetRun())
		w := c.workers[s.GetWorker()]
		if w == nil || !w.incarnation.Equal(jobspec.FromUnixMS(s.GetBornUnixMs())) {
			continue
		}
		a := t.runAt(w, s.GetRun())
		if a == nil && w.recordClosed {
			continue
		}
		if a == nil {
			a = &attempt{task: t, worker: w, run: s.GetRun(), state: attemptUnknown, inherited: true}
			w.addExpired(a)
		}
		if s.GetTrial() {
			a.trial, w.trial = true, a
		}
	}
}

// resumeTrial continues the trial of a run that a former owner started.
func (a *attempt) resumeTrial() {
	for _, former := range a.task.expired {
		if former.worker == a.worker && former.run == a.run && former.trial {
			a.trial, a.worker.trial = true, a
		}
	}
}

// runAt returns the given run of the task at a worker, or nil.
func (t *task) runAt(w *worker, run uint32) *attempt {
	for _, a := range t.attempts {
		if a.worker == w && a.run == run {
			return a
		}
	}
	return nil
}

// runBase returns the number below the run numbers of this owner.
func (c *Cell) runBase() uint32 { return uint32(c.cfg.Epoch-1) * runsPerEpoch }
