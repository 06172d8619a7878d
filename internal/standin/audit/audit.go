// Package audit counts what really ran, as the stand-ins for workers and
// upstream instances see it. The daemons have no part in its figures.
package audit

import (
	"fmt"
	"sync"
	"time"

	"bamboofall.example/bamboofall"
)

// maxFaults bounds the kept descriptions.
const maxFaults = 50

// Audit is the count. Use New. It is safe for concurrent use.
type Audit struct {
	mu       sync.Mutex
	running  map[bamboofall.TaskID]bamboofall.VMID
	finished map[bamboofall.TaskID]int
	// excused holds the finished tasks whose results died with their worker
	// before anyone was told. They must run again.
	excused  map[bamboofall.TaskID]bool
	onceRuns map[string]int
	answered map[string]bool
	figures  Figures
}

// Figures are the counts.
type Figures struct {
	TasksStarted  int64
	TasksFinished int64
	// TasksRanTwice counts tasks that ran in two places at once or finished
	// twice.
	TasksRanTwice int64
	// WorkLost is work done after the last checkpoint of stopped attempts.
	WorkLost time.Duration
	WorkDone time.Duration
	// Overcommitted counts the moments at which a VM had more work than room.
	Overcommitted int64
	RequestsRun   int64
	// OnceRanTwice counts keys that ran more than once.
	OnceRanTwice int64
	// NotRunRan counts requests that ran although their caller was told not.
	NotRunRan int64
	// Wrong counts answers that were not the caller's own or not whole.
	Wrong  int64
	Faults []string
}

// New returns an empty count.
func New() *Audit {
	return &Audit{
		running:  make(map[bamboofall.TaskID]bamboofall.VMID),
		finished: make(map[bamboofall.TaskID]int),
		excused:  make(map[bamboofall.TaskID]bool),
		onceRuns: make(map[string]int),
		answered: make(map[string]bool),
	}
}

func (a *Audit) fault(format string, args ...any) {
	if len(a.figures.Faults) < maxFaults {
		a.figures.Faults = append(a.figures.Faults, fmt.Sprintf(format, args...))
	}
}

// TaskStarted records that a worker began to run a task.
func (a *Audit) TaskStarted(t bamboofall.TaskID, vm bamboofall.VMID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.figures.TasksStarted++
	if other, ok := a.running[t]; ok {
		a.figures.TasksRanTwice++
		a.fault("task %s/%d runs on %s and %s", t.Run, t.Index, other, vm)
	}
	if a.finished[t] > 0 && !a.excused[t] {
		a.figures.TasksRanTwice++
		a.fault("task %s/%d starts on %s after it finished", t.Run, t.Index, vm)
	}
	a.running[t] = vm
}

// TaskStopped records that a task no longer runs at a worker, with the work
// that is lost.
func (a *Audit) TaskStopped(t bamboofall.TaskID, vm bamboofall.VMID, lost time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running[t] == vm {
		delete(a.running, t)
	}
	a.figures.WorkLost += lost
}

// TaskFinished records that a task came to its end at a worker.
func (a *Audit) TaskFinished(t bamboofall.TaskID, vm bamboofall.VMID, work time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running[t] == vm {
		delete(a.running, t)
	}
	a.figures.WorkDone += work
	if a.excused[t] {
		delete(a.excused, t)
		return
	}
	a.finished[t]++
	if a.finished[t] > 1 {
		a.figures.TasksRanTwice++
		a.fault("task %s/%d finished %d times", t.Run, t.Index, a.finished[t])
		return
	}
	a.figures.TasksFinished++
}

// ResultDied records that a finished task's result died with its worker while
// the worker was the only one to know of it.
func (a *Audit) ResultDied(t bamboofall.TaskID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.excused[t] = true
}

// Overcommitted records that a VM has more work than room.
func (a *Audit) Overcommitted(what string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.figures.Overcommitted++
	a.fault("overcommitted: %s", what)
}

// RequestRan records that an upstream began a request. The key is empty if it
// may run more than once.
func (a *Audit) RequestRan(id, key string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.figures.RequestsRun++
	if id != "" {
		a.answered[id] = true
	}
	if key == "" {
		return
	}
	a.answered[keyMark(key)] = true
	a.onceRuns[key]++
	if a.onceRuns[key] > 1 {
		a.figures.OnceRanTwice++
		a.fault("key %s ran %d times", key, a.onceRuns[key])
	}
}

func keyMark(key string) string { return "key " + key }

// CallerTold compares what a caller was told with what ran. The id is the
// caller's own mark of the call, the key that of the request. It may be empty.
func (a *Audit) CallerTold(id, key string, o bamboofall.Outcome, ownAnswer bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if o == bamboofall.OutcomeNotRun && (a.answered[id] || a.answered[keyMark(key)]) {
		a.figures.NotRunRan++
		a.fault("request %s with key %q ran, but its caller was told that it was not run", id, key)
	}
	if o == bamboofall.OutcomeAnswered && !ownAnswer {
		a.figures.Wrong++
		a.fault("request %s got an answer that is not its own", id)
	}
	delete(a.answered, id)
}

// TaskEnded reports whether a task finished.
func (a *Audit) TaskEnded(t bamboofall.TaskID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.finished[t] > 0
}

// Figures returns the counts.
func (a *Audit) Figures() Figures {
	a.mu.Lock()
	defer a.mu.Unlock()
	f := a.figures
	f.Faults = append([]string(nil), f.Faults...)
	return f
}

// Runs reports whether a task runs somewhere.
func (a *Audit) Runs(t bamboofall.TaskID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.running[t]
	return ok
}
