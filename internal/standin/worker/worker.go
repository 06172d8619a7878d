// Package worker is a stand-in for the platform's agent on a worker.
//
// The stand-in simulates running tasks under leases measured by the worker's own
// clock, rejects sync requests with a stale fencing token, checkpoints tasks
// periodically, and reports resource usage with a delay. A task's actual usage
// and run time may differ widely from the declared ones. The worker follows
// commands and makes no scheduling decisions.
package worker

import (
	"sort"
	"sync"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/standin/audit"
)

const (
	// usageReportDelay is how long an attempt runs before its usage is
	// reported.
	usageReportDelay = 3 * time.Second
	// checkpointInterval is the amount of work between two checkpoints of a task.
	checkpointInterval = 10 * time.Second
	// fullThrottlePermille is the Command.Throttle of a task that may use all
	// of its processors.
	fullThrottlePermille = 1000
)

// TaskBehaviour is the actual behaviour of a task, as opposed to the declared
// one.
type TaskBehaviour struct {
	// RunTime is the amount of work after which the task finishes.
	RunTime time.Duration
	// Size is the resource usage that the worker reports for the task.
	Size bamboofall.Resources
	// Fails makes the task fail at the next update after its start.
	Fails bool
}

// Model returns the actual behaviour of the task that a command starts.
type Model func(c bamboofall.Command) TaskBehaviour

// Faults are the faults injected into a worker. The zero value has none.
type Faults struct {
	// Silent drops all sync requests; tasks continue to run.
	Silent bool
	// Paused drops all sync requests and stops all tasks from progressing, while
	// the worker's clock and the tasks' leases run on.
	Paused bool
	// FailsAll makes every task fail that starts from now on.
	FailsAll bool
}

// attempt is the latest attempt of a task on the worker, running or ended.
type attempt struct {
	bamboofall.AttemptReport
	// command is the command that started the attempt, with its latest throttle.
	command   bamboofall.Command
	actual    TaskBehaviour
	startedAt time.Time
	// workDone includes the work of earlier attempts up to the checkpoint from
	// which this one started.
	workDone time.Duration
	// advancedTo is the time up to which workDone is accounted for.
	advancedTo time.Time
	// checkpointedWork is the part of workDone that the latest checkpoint
	// covers.
	checkpointedWork time.Duration
	// leaseUntil is the end of the lease on the worker's clock.
	leaseUntil time.Duration
}

// Worker simulates one worker VM. Use New. It is safe for concurrent use.
type Worker struct {
	mu     sync.Mutex
	vm     bamboofall.VM
	audit  *audit.Audit
	model  Model
	faults Faults
	// bootTime is the zero of the worker's clock.
	bootTime time.Time
	// largestToken is the largest fencing token received since bootTime.
	largestToken bamboofall.Token
	attempts     map[bamboofall.TaskID]*attempt
	// serviceSize is the total size of the service instances on the VM.
	serviceSize bamboofall.Resources
}

// New returns a worker that booted at now and has no tasks.
func New(now time.Time, vm bamboofall.VM, a *audit.Audit, m Model) *Worker {
	w := &Worker{vm: vm, audit: a, model: m, bootTime: now, attempts: make(map[bamboofall.TaskID]*attempt)}
	for _, i := range vm.Instances {
		w.serviceSize = w.serviceSize.Add(i.Size)
	}
	return w
}

// SetFaults replaces the injected faults as of now.
func (w *Worker) SetFaults(now time.Time, f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.faults = f
}

// Restart simulates a reboot: the worker loses its attempts, their results and
// its token, and its clock starts again at zero.
func (w *Worker) Restart(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	for id, a := range w.attempts {
		if a.Status == bamboofall.AttemptRunning {
			w.audit.TaskStopped(id, w.vm.ID, a.workDone-a.checkpointedWork)
		}
		if a.Status == bamboofall.AttemptFinished {
			w.audit.ResultLost(id)
		}
	}
	w.attempts = make(map[bamboofall.TaskID]*attempt)
	w.largestToken = 0
	w.bootTime = now
}

// Advance simulates the worker's tasks up to now.
func (w *Worker) Advance(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
}

func (w *Worker) advance(now time.Time) {
	for _, a := range w.attempts {
		switch {
		case a.Status != bamboofall.AttemptRunning:
		case w.faults.Paused:
			w.advancePausedAttempt(now, a)
		default:
			w.advanceAttempt(now, a)
		}
	}
}

// advancePausedAttempt advances an attempt of a paused worker to now. The
// attempt does no work, and lapses if its lease has ended.
func (w *Worker) advancePausedAttempt(now time.Time, a *attempt) {
	a.advancedTo = now
	if w.bootTime.Add(a.leaseUntil).Before(now) {
		a.Status = bamboofall.AttemptLapsed
		w.audit.TaskStopped(a.Task, w.vm.ID, a.workDone-a.checkpointedWork)
	}
}

// advanceAttempt advances a running attempt to now or to the end of its lease,
// whichever comes first, and records whether it failed, finished or lapsed.
func (w *Worker) advanceAttempt(now time.Time, a *attempt) {
	until := now
	if end := w.bootTime.Add(a.leaseUntil); end.Before(until) {
		until = end
	}
	if passed := until.Sub(a.advancedTo); passed > 0 {
		share := a.command.Throttle
		if share == 0 {
			share = fullThrottlePermille
		}
		a.workDone += passed * time.Duration(share) / fullThrottlePermille
		a.advancedTo = until
	}
	for a.workDone-a.checkpointedWork >= checkpointInterval {
		a.checkpointedWork += checkpointInterval
	}
	a.Progress = a.checkpointedWork
	switch {
	case a.actual.Fails:
		a.Status = bamboofall.AttemptFailed
		w.audit.TaskStopped(a.Task, w.vm.ID, a.workDone-a.command.Progress)
	case !a.command.Standing && a.workDone >= a.actual.RunTime:
		a.Status = bamboofall.AttemptFinished
		a.Progress = a.actual.RunTime
		w.audit.TaskFinished(a.Task, w.vm.ID, a.actual.RunTime)
	case until.Before(now):
		a.Status = bamboofall.AttemptLapsed
		w.audit.TaskStopped(a.Task, w.vm.ID, a.workDone-a.checkpointedWork)
	}
}

// Sync applies the commands of a sync request and returns the worker's report.
// The boolean is false if the worker does not answer because of a fault.
func (w *Worker) Sync(now time.Time, req bamboofall.SyncRequest) (bamboofall.SyncReport, error, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.Silent || w.faults.Paused {
		return bamboofall.SyncReport{}, nil, false
	}
	w.advance(now)
	if req.Token < w.largestToken {
		return bamboofall.SyncReport{}, &bamboofall.StaleTokenError{Given: req.Token, Seen: w.largestToken}, true
	}
	w.largestToken = req.Token
	for _, c := range req.Commands {
		w.applyCommand(now, c)
	}
	return w.report(now), nil, true
}

// applyCommand applies a command to the task that it names. Commands of
// superseded attempts are ignored.
func (w *Worker) applyCommand(now time.Time, c bamboofall.Command) {
	a := w.attempts[c.Task]
	if a == nil || a.Attempt < c.Attempt && a.Status != bamboofall.AttemptRunning {
		if c.Kind == bamboofall.CommandRun {
			w.start(now, c)
			return
		}
		if a == nil && c.Kind != bamboofall.CommandForget {
			// The stop or evict command overtook the run command. Recording a
			// stopped attempt keeps a late run command from starting it.
			w.attempts[c.Task] = &attempt{AttemptReport: bamboofall.AttemptReport{
				Task: c.Task, Attempt: c.Attempt, Status: bamboofall.AttemptStopped, Progress: c.Progress,
			}}
		}
		return
	}
	if a.Attempt != c.Attempt {
		return
	}
	running := a.Status == bamboofall.AttemptRunning
	switch c.Kind {
	case bamboofall.CommandRun:
		a.leaseUntil = max(a.leaseUntil, c.LeaseUntil)
		a.command.Throttle = c.Throttle
	case bamboofall.CommandEvict:
		if running {
			a.Status = bamboofall.AttemptEvicted
			a.Progress = a.workDone
			w.audit.TaskStopped(c.Task, w.vm.ID, 0)
		}
	case bamboofall.CommandStop:
		if running {
			a.Status = bamboofall.AttemptStopped
			w.audit.TaskStopped(c.Task, w.vm.ID, a.workDone-a.checkpointedWork)
		}
	case bamboofall.CommandForget:
		if !running {
			delete(w.attempts, c.Task)
		}
	}
}

// start starts an attempt, unless its lease has already ended.
func (w *Worker) start(now time.Time, c bamboofall.Command) {
	if c.LeaseUntil <= now.Sub(w.bootTime) {
		return
	}
	a := &attempt{
		AttemptReport: bamboofall.AttemptReport{Task: c.Task, Attempt: c.Attempt, Status: bamboofall.AttemptRunning},
		command:       c, actual: w.model(c), startedAt: now, advancedTo: now,
		workDone: c.Progress, checkpointedWork: c.Progress, leaseUntil: c.LeaseUntil,
	}
	a.actual.Fails = a.actual.Fails || w.faults.FailsAll
	a.Progress = c.Progress
	w.attempts[c.Task] = a
	w.audit.TaskStarted(c.Task, w.vm.ID)
	if used := w.allocated(); !used.Fits(w.vm.Room) {
		w.audit.Overcommitted(string(w.vm.ID))
	}
}

// allocated returns the total size of service instances and running tasks.
func (w *Worker) allocated() bamboofall.Resources {
	used := w.serviceSize
	for _, a := range w.attempts {
		if a.Status == bamboofall.AttemptRunning {
			used = used.Add(a.command.Size)
		}
	}
	return used
}

// report returns the state of all attempts, sorted by task.
func (w *Worker) report(now time.Time) bamboofall.SyncReport {
	report := bamboofall.SyncReport{Clock: now.Sub(w.bootTime)}
	for _, a := range w.attempts {
		r := a.AttemptReport
		if now.Sub(a.startedAt) >= usageReportDelay {
			r.Usage = a.actual.Size
		}
		report.Attempts = append(report.Attempts, r)
	}
	sort.Slice(report.Attempts, func(i, j int) bool {
		task1, task2 := report.Attempts[i].Task, report.Attempts[j].Task
		if task1.Run != task2.Run {
			return task1.Run < task2.Run
		}
		return task1.Index < task2.Index
	})
	return report
}

// RunningTasksByJob returns the number of running tasks of each job. A
// throttled task counts as its share of full speed.
func (w *Worker) RunningTasksByJob() map[string]float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	jobs := make(map[string]float64)
	for _, a := range w.attempts {
		if a.Status != bamboofall.AttemptRunning {
			continue
		}
		share := a.command.Throttle
		if share == 0 {
			share = fullThrottlePermille
		}
		jobs[a.command.Job] += float64(share) / fullThrottlePermille
	}
	return jobs
}

// Running returns the number of running tasks.
func (w *Worker) Running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, a := range w.attempts {
		if a.Status == bamboofall.AttemptRunning {
			n++
		}
	}
	return n
}
