// Package worker is a stand-in for the platform's agent on a worker.
//
// It runs tasks under leases that it measures by its own clock, refuses
// smaller tokens, checkpoints now and then, and reports usage with a lag. What
// a task really takes and how long it really runs may be far from what was
// declared. It decides nothing.
package worker

import (
	"sort"
	"sync"
	"time"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/standin/audit"
)

const (
	// usageLag is the age of reported usage.
	usageLag = 3 * time.Second
	// checkpointEvery is the time between a task's own checkpoints.
	checkpointEvery = 10 * time.Second
	fullThrottle    = 1000
)

// Truth tells what a task really does.
type Truth struct {
	RunTime time.Duration
	Size    bamboofall.Resources
	Fails   bool
}

// Model returns the truth about a task from its command.
type Model func(c bamboofall.Command) Truth

// Faults are the faults in force. The zero value has none.
type Faults struct {
	// Silent means that no round reaches the worker; its tasks go on.
	Silent bool
	// Paused means that nothing happens on the worker while its clock goes on.
	Paused bool
	// FailsAll means that every task that starts fails at once.
	FailsAll bool
}

type attempt struct {
	bamboofall.AttemptReport
	command    bamboofall.Command
	truth      Truth
	started    time.Time
	done       time.Duration
	lastSeen   time.Time
	checkpoint time.Duration
	leaseUntil time.Duration
}

// Worker is a worker. Use New. It is safe for concurrent use.
type Worker struct {
	mu       sync.Mutex
	vm       bamboofall.VM
	audit    *audit.Audit
	model    Model
	faults   Faults
	boot     time.Time
	token    bamboofall.Token
	attempts map[bamboofall.TaskID]*attempt
	services bamboofall.Resources
}

// New returns a worker without tasks that booted at a moment.
func New(now time.Time, vm bamboofall.VM, a *audit.Audit, m Model) *Worker {
	w := &Worker{vm: vm, audit: a, model: m, boot: now, attempts: make(map[bamboofall.TaskID]*attempt)}
	for _, i := range vm.Instances {
		w.services = w.services.Add(i.Size)
	}
	return w
}

// SetFaults puts faults in force.
func (w *Worker) SetFaults(now time.Time, f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.faults = f
}

// Restart loses everything that the worker knows, as a reboot does.
func (w *Worker) Restart(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	for id, a := range w.attempts {
		if a.Status == bamboofall.AttemptRunning {
			w.audit.TaskStopped(id, w.vm.ID, a.done-a.checkpoint)
		}
		if a.Status == bamboofall.AttemptFinished {
			w.audit.ResultDied(id)
		}
	}
	w.attempts = make(map[bamboofall.TaskID]*attempt)
	w.token = 0
	w.boot = now
}

// Advance lets time pass.
func (w *Worker) Advance(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
}

// advance moves the tasks on to now.
func (w *Worker) advance(now time.Time) {
	for _, a := range w.attempts {
		switch {
		case a.Status != bamboofall.AttemptRunning:
		case w.faults.Paused:
			w.standStill(now, a)
		default:
			w.advanceAttempt(now, a)
		}
	}
}

// standStill lets time pass over a task of a paused worker. Nothing of it runs,
// and if its lease ends meanwhile it never will.
func (w *Worker) standStill(now time.Time, a *attempt) {
	a.lastSeen = now
	if w.boot.Add(a.leaseUntil).Before(now) {
		a.Status = bamboofall.AttemptLapsed
		w.audit.TaskStopped(a.Task, w.vm.ID, a.done-a.checkpoint)
	}
}

func (w *Worker) advanceAttempt(now time.Time, a *attempt) {
	until := now
	if end := w.boot.Add(a.leaseUntil); end.Before(until) {
		until = end
	}
	if passed := until.Sub(a.lastSeen); passed > 0 {
		share := a.command.Throttle
		if share == 0 {
			share = fullThrottle
		}
		a.done += passed * time.Duration(share) / fullThrottle
		a.lastSeen = until
	}
	for a.done-a.checkpoint >= checkpointEvery {
		a.checkpoint += checkpointEvery
	}
	a.Progress = a.checkpoint
	switch {
	case a.truth.Fails:
		a.Status = bamboofall.AttemptFailed
		w.audit.TaskStopped(a.Task, w.vm.ID, a.done-a.command.Progress)
	case !a.command.Standing && a.done >= a.truth.RunTime:
		a.Status = bamboofall.AttemptFinished
		a.Progress = a.truth.RunTime
		w.audit.TaskFinished(a.Task, w.vm.ID, a.truth.RunTime)
	case until.Before(now):
		a.Status = bamboofall.AttemptLapsed
		w.audit.TaskStopped(a.Task, w.vm.ID, a.done-a.checkpoint)
	}
}

// Sync takes a round. It reports false if the worker does not answer.
func (w *Worker) Sync(now time.Time, req bamboofall.SyncRequest) (bamboofall.SyncReport, error, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.Silent || w.faults.Paused {
		return bamboofall.SyncReport{}, nil, false
	}
	w.advance(now)
	if req.Token < w.token {
		return bamboofall.SyncReport{}, &bamboofall.StaleTokenError{Given: req.Token, Seen: w.token}, true
	}
	w.token = req.Token
	for _, c := range req.Commands {
		w.command(now, c)
	}
	return w.report(now), nil, true
}

func (w *Worker) command(now time.Time, c bamboofall.Command) {
	a := w.attempts[c.Task]
	if a == nil || a.Attempt < c.Attempt && a.Status != bamboofall.AttemptRunning {
		if c.Kind == bamboofall.CommandRun {
			w.start(now, c)
			return
		}
		if a == nil && c.Kind != bamboofall.CommandForget {
			// The order to stop came before the order to run: it must not run.
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
			a.Progress = a.done
			w.audit.TaskStopped(c.Task, w.vm.ID, 0)
		}
	case bamboofall.CommandStop:
		if running {
			a.Status = bamboofall.AttemptStopped
			w.audit.TaskStopped(c.Task, w.vm.ID, a.done-a.checkpoint)
		}
	case bamboofall.CommandForget:
		if !running {
			delete(w.attempts, c.Task)
		}
	}
}

func (w *Worker) start(now time.Time, c bamboofall.Command) {
	if c.LeaseUntil <= now.Sub(w.boot) {
		return
	}
	a := &attempt{
		AttemptReport: bamboofall.AttemptReport{Task: c.Task, Attempt: c.Attempt, Status: bamboofall.AttemptRunning},
		command:       c, truth: w.model(c), started: now, lastSeen: now,
		done: c.Progress, checkpoint: c.Progress, leaseUntil: c.LeaseUntil,
	}
	a.truth.Fails = a.truth.Fails || w.faults.FailsAll
	a.Progress = c.Progress
	w.attempts[c.Task] = a
	w.audit.TaskStarted(c.Task, w.vm.ID)
	if used := w.granted(); !used.Fits(w.vm.Room) {
		w.audit.Overcommitted(string(w.vm.ID))
	}
}

// granted returns the room that was given to services and running tasks.
func (w *Worker) granted() bamboofall.Resources {
	used := w.services
	for _, a := range w.attempts {
		if a.Status == bamboofall.AttemptRunning {
			used = used.Add(a.command.Size)
		}
	}
	return used
}

func (w *Worker) report(now time.Time) bamboofall.SyncReport {
	rep := bamboofall.SyncReport{Clock: now.Sub(w.boot)}
	for _, a := range w.attempts {
		r := a.AttemptReport
		if now.Sub(a.started) >= usageLag {
			r.Usage = a.truth.Size
		}
		rep.Attempts = append(rep.Attempts, r)
	}
	sort.Slice(rep.Attempts, func(i, j int) bool {
		x, y := rep.Attempts[i].Task, rep.Attempts[j].Task
		if x.Run != y.Run {
			return x.Run < y.Run
		}
		return x.Index < y.Index
	})
	return rep
}

// Jobs counts the running tasks of each job, by their share of throttle.
func (w *Worker) Jobs() map[string]float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	jobs := make(map[string]float64)
	for _, a := range w.attempts {
		if a.Status != bamboofall.AttemptRunning {
			continue
		}
		share := a.command.Throttle
		if share == 0 {
			share = fullThrottle
		}
		jobs[a.command.Job] += float64(share) / fullThrottle
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
