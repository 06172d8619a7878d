// Package crashloop finds the tasks that crash the workers that start them.
//
// It answers a load in which a few tasks crash every worker soon after it has started
// them: each restart costs another worker and all that runs there. A crash does not show
// which run caused it, and workers also crash by themselves, many at the same time. Runs
// that the worker survived for TrialTime are not suspected beside younger ones; the tasks
// of the young runs become suspects, most of them innocent. The next start of a suspect
// is a trial, in which its worker is given nothing else. A worker that survives the trial
// clears the task. A task whose trial ends in a crash is given up, if no run of another
// task or gang there was as young, and the worker failed promptly after the start and no
// others with it. Other failures may be coincidences, and the next trial decides. So a
// task that crashes its worker at once is given up after the second crash in most cases,
// and its neighbours start once more and are cleared.
//
// A task that crashes its workers only after TrialTime is not found beside younger runs.
// Otherwise it is given up after a number of crashes without a long run in between.
package crashloop

import (
	"slices"
	"time"
)

const (
	// TrialTime is how long a worker must have survived a run for the run not to be
	// suspected of a crash beside younger ones.
	TrialTime = 500 * time.Millisecond
	// PromptTime is the time after a start within which a failure of the worker is not
	// taken for a coincidence, nor for an effect of runs that it has survived for longer.
	PromptTime = 200 * time.Millisecond
	// StableTime is how long a worker must have survived a run for the earlier crashes of
	// a task that is not a suspect not to count any more.
	StableTime = 10 * time.Second
	// trialCrashes is the number of crashes at which a trial decides although the worker
	// did not fail promptly.
	trialCrashes = 3
	// maxTrialCrashes and maxCrashes are the numbers of crashes after which a task is given
	// up whatever else happened, in a trial and otherwise. The platform allows two more
	// starts after the third crash, and the crash before the first trial is not counted if
	// the start was not answered.
	maxTrialCrashes = 4
	maxCrashes      = 5
)

// Task is the crash history of a task. The zero value is a task without crashes.
type Task struct {
	// runs are the numbers of the runs under which a worker crashed.
	runs    []uint32
	suspect bool
}

// Restore returns the stored history of a task: the numbers of its runs under which a
// worker crashed, and whether it is a suspect.
func Restore(runs []uint32, suspect bool) Task { return Task{runs: runs, suspect: suspect} }

// Runs returns the numbers of the runs under which a worker crashed.
func (t *Task) Runs() []uint32 { return t.runs }

// Suspect reports whether the next start of the task must be a trial.
func (t *Task) Suspect() bool { return t.suspect }

// RecordSurvival records that a worker has survived a run of the task for a time. It
// reports whether that clears the task.
func (t *Task) RecordSurvival(d time.Duration) bool {
	if len(t.runs) == 0 && !t.suspect || d < TrialTime || d < StableTime && !t.suspect {
		return false
	}
	*t = Task{}
	return true
}

// Retract takes a crash back: the worker was only out of reach.
func (t *Task) Retract(run uint32) {
	t.runs = slices.DeleteFunc(t.runs, func(r uint32) bool { return r == run })
	t.suspect = t.suspect && len(t.runs) > 0
}

// recordCrash adds a crash, once for each run.
func (t *Task) recordCrash(run uint32) {
	if !slices.Contains(t.runs, run) {
		t.runs = append(t.runs, run)
	}
}

// Run is a run at a worker that has crashed.
type Run struct {
	Task *Task
	// Gang identifies the gang of the task, or is nil. The tasks of a gang succeed or fail
	// together, so it does not matter which of them caused a crash.
	Gang any
	// Number is the number of the run within its task.
	Number uint32
	// Confirmed is set if the worker has confirmed the run. Another run may never have
	// started.
	Confirmed bool
	// Survived is how long the run is known to have been at the worker before the crash.
	Survived time.Duration
	// Trial is set if the start of the run was a trial, and Prompt if the worker failed
	// within PromptTime after it.
	Trial, Prompt bool
	// Coincident is set if several other workers failed within PromptTime of this one, so
	// that the cause is probably a common one.
	Coincident bool
}

// Suspect is a run that may have caused a crash.
type Suspect struct {
	// Index is the index of the run.
	Index int
	// GiveUp is set if the task must not be started again.
	GiveUp bool
}

// Assess records the crash of a worker in the histories of the tasks whose runs may have
// caused it, and returns these runs.
func Assess(runs []Run) []Suspect {
	young := 0
	for _, r := range runs {
		if r.Survived < TrialTime {
			young++
		}
	}
	var suspects []Suspect
	for i, r := range runs {
		if young > 0 && r.Survived >= TrialTime {
			continue
		}
		r.Task.suspect = young > 0
		if r.Confirmed || r.Trial {
			r.Task.recordCrash(r.Number)
		}
		suspects = append(suspects, Suspect{Index: i, GiveUp: mustGiveUp(runs, i)})
	}
	return suspects
}

// mustGiveUp reports whether the task of a run must be given up after the crash.
func mustGiveUp(runs []Run, index int) bool {
	r := &runs[index]
	crashes := len(r.Task.runs)
	if crashes >= maxCrashes || r.Trial && crashes >= maxTrialCrashes {
		return true
	}
	if !r.Trial || r.Coincident || crashes < 2 || crashes < trialCrashes && !(r.Confirmed && r.Prompt) {
		return false
	}
	youngest := TrialTime
	if r.Prompt {
		youngest = PromptTime
	}
	for i := range runs {
		sameGang := r.Gang != nil && runs[i].Gang == r.Gang
		if i != index && !sameGang && runs[i].Survived < youngest {
			return false
		}
	}
	return true
}
