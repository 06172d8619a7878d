package sim

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
)

const (
	// runnableInterval is the time between samples of a RunnableAudit.
	runnableInterval = 100 * time.Millisecond
	// maxIdle is how long a task may be kept from running without a break although there
	// is room for it.
	maxIdle = 3 * time.Second
	// standingGrace is the time after the last run of a standing task, or after its job was
	// accepted, before which it need not run.
	standingGrace = 6 * time.Second
	// handoverTime is how long a usual handover takes. Callers see a fault at its start only.
	handoverTime = 2 * time.Second
	// standingCalm is how long there must have been no fault before a standing task has to
	// run: callers count the end of a fault as 3 s of disruption, and wait for 7 s of calm.
	standingCalm = 10 * time.Second
	// finiteCalm is the same for the jobs of finite tasks, at the end of a run.
	finiteCalm = 15 * time.Second
)

// RunnableAudit audits that accepted tasks run which could. It goes by what workers run and
// by what they have room for, whatever the owner knows of either:
//
//   - A standing task must not be down for 3 s with room for it.
//   - While less than half of the processors are reserved, a job must not have nothing
//     running for 3 s although one of its tasks could start, with room for two like it.
type RunnableAudit struct {
	world *World
	// finiteFrom is when jobs of finite tasks are audited first.
	finiteFrom time.Duration
	// disruptedAt is when a fault was last in effect, and fingerprint the state that only
	// faults change.
	disruptedAt time.Duration
	fingerprint string
	// ownedAt is when there was last an owner.
	ownedAt time.Duration
	// idleSince is when the tasks and jobs that could run were first seen idle, lastRunAt
	// when tasks were last seen running.
	idleSince map[string]time.Duration
	lastRunAt map[bamboofall.TaskName]time.Duration
	// Longest is, for standing tasks, the longest time from the end of disruption, or from
	// the last run, for which a task with room was down.
	Longest time.Duration
	// reported holds what was reported already.
	reported map[string]bool
}

// AuditRunnable begins an audit of the tasks that could run, of those of finite steps from a
// time on. Violations are reported like those of other audits.
func (w *World) AuditRunnable(finiteFrom time.Duration) *RunnableAudit {
	a := &RunnableAudit{
		world: w, finiteFrom: finiteFrom, idleSince: make(map[string]time.Duration),
		lastRunAt: make(map[bamboofall.TaskName]time.Duration), reported: make(map[string]bool),
	}
	w.schedule(runnableInterval, a.sample)
	return a
}

func (a *RunnableAudit) sample() {
	w := a.world
	w.schedule(runnableInterval, a.sample)
	if w.cell != nil {
		a.ownedAt = w.Now()
	}
	if fingerprint := w.faultFingerprint(); w.faulty() || fingerprint != a.fingerprint || w.Now()-a.ownedAt > handoverTime+runnableInterval {
		a.disruptedAt, a.fingerprint = w.Now(), fingerprint
	}
	running := w.runningTasks()
	for name := range running {
		a.lastRunAt[name] = w.Now()
	}
	idle := make(map[string]bool)
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		job := w.jobs[id]
		state, known := w.Lookup(id)
		if known && state == bamboofall.JobCompleted && !a.reported[string(id)] && !w.jobDone(job) {
			a.reported[string(id)] = true
			w.reportViolation("%s: shown as completed, and not all of its tasks are", id)
		}
		if !job.stored || job.cancelRequested || known && state.Ended() {
			continue
		}
		a.sampleJob(job, running, idle)
	}
	maps.DeleteFunc(a.idleSince, func(key string, _ time.Duration) bool { return !idle[key] })
}

// sampleJob audits one job.
func (a *RunnableAudit) sampleJob(job *submission, running map[bamboofall.TaskName]bool, idle map[string]bool) {
	w := a.world
	ready := w.readyTasks(job, running)
	for _, name := range ready {
		step := &job.spec.Steps[name.Step]
		if !step.Standing || w.Slots(job, name, 1) == 0 {
			continue
		}
		since := max(a.disruptedAt+standingCalm-maxIdle, job.acceptedSinceStart(w)+standingGrace-maxIdle)
		if last, ok := a.lastRunAt[name]; ok {
			since = max(since, last+standingGrace-maxIdle)
		}
		a.observe(name.String(), since, idle, func() string { return fmt.Sprintf("%v: does not run, with room for it", name) })
	}
	if a.finiteFrom > w.Now() || w.utilization() >= 0.5 {
		return
	}
	for name := range running {
		if name.Job == job.spec.ID {
			return
		}
	}
	for _, name := range ready {
		if !job.spec.Steps[name.Step].Standing && w.Slots(job, name, 2) >= 2 {
			since := max(a.disruptedAt+finiteCalm-maxIdle, a.finiteFrom)
			a.observe(string(job.spec.ID), since, idle, func() string {
				return fmt.Sprintf("%v: could run and does not, with %.0f%% of the processors reserved", name, 100*w.utilization())
			})
			return
		}
	}
}

// observe records that something idle could run, and reports it after maxIdle. Only idle
// time from since on counts.
func (a *RunnableAudit) observe(key string, since time.Duration, idle map[string]bool, describe func() string) {
	idle[key] = true
	if _, ok := a.idleSince[key]; !ok {
		a.idleSince[key] = a.world.Now()
	}
	idleFor := a.world.Now() - max(since, a.idleSince[key])
	a.Longest = max(a.Longest, idleFor)
	if idleFor >= maxIdle && !a.reported[key] {
		a.reported[key] = true
		a.world.reportViolation("%s", describe())
	}
}

func (j *submission) acceptedSinceStart(w *World) time.Duration {
	return j.submittedAt.Sub(w.startedAt)
}

// readyTasks returns the tasks of a job whose turn has come and that do not run, in order.
// A gang is represented by its first task, and only while none of its tasks runs.
func (w *World) readyTasks(job *submission, running map[bamboofall.TaskName]bool) (ready []bamboofall.TaskName) {
	for occurrence := range job.spec.Occurrences() {
		if job.spec.Repetitions > 0 && w.now.Before(job.spec.FirstRun.Add(time.Duration(occurrence)*job.spec.Interval)) {
			break
		}
		for i := range job.spec.Steps {
			step := &job.spec.Steps[i]
			if slices.ContainsFunc(step.After, func(dep int) bool { return !w.stepAcknowledged(job, occurrence, dep) }) || w.stepDone(job, occurrence, i) {
				continue
			}
			names := taskNames(job.spec, occurrence, i)
			if step.Gang {
				if !slices.ContainsFunc(names, func(n bamboofall.TaskName) bool { return running[n] }) {
					ready = append(ready, names[0])
				}
				continue
			}
			for _, n := range names {
				if !running[n] && !w.taskDone(n) {
					ready = append(ready, n)
				}
			}
		}
	}
	return ready
}

func taskNames(spec *bamboofall.Job, occurrence, step int) []bamboofall.TaskName {
	names := make([]bamboofall.TaskName, spec.Steps[step].Count)
	for k := range names {
		names[k] = bamboofall.TaskName{Job: spec.ID, Occurrence: occurrence, Step: step, Index: k}
	}
	return names
}

func (w *World) taskDone(n bamboofall.TaskName) bool {
	t := w.tasks[n]
	return t != nil && t.done
}

// stepDone reports whether all tasks of a step are done. One task of a gang stands for all.
func (w *World) stepDone(job *submission, occurrence, step int) bool {
	names := taskNames(job.spec, occurrence, step)
	if job.spec.Steps[step].Gang {
		return slices.ContainsFunc(names, w.taskDone)
	}
	return !slices.ContainsFunc(names, func(n bamboofall.TaskName) bool { return !w.taskDone(n) })
}

// stepAcknowledged is stepDone for ends that an owner has acknowledged. A worker that leaves may
// take others with it.
func (w *World) stepAcknowledged(job *submission, occurrence, step int) bool {
	names := taskNames(job.spec, occurrence, step)
	acknowledged := func(n bamboofall.TaskName) bool { return w.tasks[n] != nil && w.tasks[n].acknowledged }
	if job.spec.Steps[step].Gang {
		return slices.ContainsFunc(names, acknowledged)
	}
	return !slices.ContainsFunc(names, func(n bamboofall.TaskName) bool { return !acknowledged(n) })
}

// jobDone reports whether all tasks of a job are done.
func (w *World) jobDone(job *submission) bool {
	for occurrence := range job.spec.Occurrences() {
		for i := range job.spec.Steps {
			if !w.stepDone(job, occurrence, i) {
				return false
			}
		}
	}
	return true
}

// runningTasks returns the tasks that workers run.
func (w *World) runningTasks() map[bamboofall.TaskName]bool {
	running := make(map[bamboofall.TaskName]bool)
	for name, t := range w.tasks {
		if t.running > 0 {
			running[name] = true
		}
	}
	return running
}

// Slots returns how often a task, or the gang that it belongs to, could be started now at
// sound workers, up to a maximum.
func (w *World) Slots(job *submission, task bamboofall.TaskName, limit int) int {
	step := &job.spec.Steps[task.Step]
	tasks := 1
	if step.Gang {
		tasks = step.Count
	}
	slots := 0
	for _, x := range w.workers {
		if !x.sound() || step.Label != "" && !slices.Contains(x.announcement().Labels, step.Label) {
			continue
		}
		free, here := x.capacity.room, 0
		for _, r := range x.runs {
			free = free.Sub(reservedResources(r.step))
			if r.step == step && r.task.Job == task.Job && r.task.Occurrence == task.Occurrence {
				here++
			}
		}
		for slots < limit*tasks && (step.MaxPerWorker == 0 || here < step.MaxPerWorker) && reservedResources(step).Fits(free) && free.Valid() {
			free = free.Sub(reservedResources(step))
			here++
			slots++
		}
	}
	return slots / tasks
}

// sound reports whether tasks could run at a worker.
func (x *Worker) sound() bool {
	return x.up && x.listed() && !x.draining && !x.faulty() && !x.isEvacuated()
}

// faulty reports whether a fault is in effect at a worker that is up.
func (x *Worker) faulty() bool {
	return x.Partitioned || x.PartitionedFromOwner || x.PartitionedFromFormerOwner || x.FailAll || x.StallAll ||
		x.SlowFactor != 1 || x.LateOrderShare > 0 || x.capacity.changed
}

// faulty reports whether a fault is in effect.
func (w *World) faulty() bool {
	return w.formerOwner != nil || w.StoreDown || slices.ContainsFunc(w.workers, func(x *Worker) bool {
		return x.up && (x.faulty() || x.draining)
	})
}

// faultFingerprint describes the state of owner and workers that changes with faults only.
func (w *World) faultFingerprint() string {
	workers := slices.SortedFunc(slices.Values(w.workers), func(a, b *Worker) int { return cmp.Compare(a.index, b.index) })
	out := fmt.Sprint(w.handovers, w.evacuationChanges)
	for _, x := range workers {
		out += fmt.Sprintf(" %d/%d/%t/%v", x.index, x.incarnation, x.up, x.capacity.room)
	}
	return out
}

// utilization returns the reserved share of the processors of all sound workers.
func (w *World) utilization() float64 {
	var reserved, room int64
	for _, x := range w.workers {
		if !x.sound() {
			continue
		}
		room += x.capacity.room.MilliProcessors
		for _, r := range x.runs {
			reserved += reservedResources(r.step).MilliProcessors
		}
	}
	return float64(reserved) / float64(max(1, room))
}
