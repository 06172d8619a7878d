// Package audit counts what really ran, as seen by the simulated workers and
// upstream instances, and detects violations of the guarantees of bamboofall.
// It takes no figures from the entry daemons under test.
package audit

import (
	"fmt"
	"sync"
	"time"

	"bamboofall.example/bamboofall"
)

// maxViolations limits the number of stored violation messages.
const maxViolations = 50

// Audit collects events from the stand-ins and compares them. Use New. It is
// safe for concurrent use.
type Audit struct {
	mu sync.Mutex
	// running holds the VM on which each running task started last.
	running map[bamboofall.TaskID]bamboofall.VMID
	// finished counts how often each task finished.
	finished map[bamboofall.TaskID]int
	// resultLost holds the finished tasks whose results were lost with their
	// worker. These tasks have to run again.
	resultLost map[bamboofall.TaskID]bool
	// runsByKey counts the upstream executions of each idempotency key.
	runsByKey map[string]int
	// ran holds the call IDs and keyedRequestIDs of requests that an upstream
	// started to process. A call ID is removed when the call ends.
	ran     map[string]bool
	figures Figures
}

// Figures are the counts and violations of an Audit.
type Figures struct {
	TasksStarted  int64
	TasksFinished int64
	// TasksRanTwice counts tasks that ran in two places at once, or started or
	// finished again after they had finished.
	TasksRanTwice int64
	// WorkLost is the work that stopped attempts had done after their last
	// checkpoint.
	WorkLost time.Duration
	// WorkDone is the total run time of finished tasks.
	WorkDone time.Duration
	// Overcommitted counts starts that allocated more than a VM or an instance
	// has.
	Overcommitted int64
	// RequestsRun counts the requests that upstream instances started to
	// process.
	RequestsRun int64
	// OnceRanTwice counts repeated executions of requests with an idempotency
	// key.
	OnceRanTwice int64
	// NotRunRan counts requests that ran although their caller received the
	// outcome "not run".
	NotRunRan int64
	// Wrong counts answers that were truncated or belonged to another request.
	Wrong int64
	// Faults describes the first violations, at most maxViolations.
	Faults []string
}

// New returns an Audit without events.
func New() *Audit {
	return &Audit{
		running:    make(map[bamboofall.TaskID]bamboofall.VMID),
		finished:   make(map[bamboofall.TaskID]int),
		resultLost: make(map[bamboofall.TaskID]bool),
		runsByKey:  make(map[string]int),
		ran:        make(map[string]bool),
	}
}

func (a *Audit) recordViolation(format string, args ...any) {
	if len(a.figures.Faults) < maxViolations {
		a.figures.Faults = append(a.figures.Faults, fmt.Sprintf(format, args...))
	}
}

// TaskStarted records that a worker started a task.
func (a *Audit) TaskStarted(t bamboofall.TaskID, vm bamboofall.VMID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.figures.TasksStarted++
	if other, ok := a.running[t]; ok {
		a.figures.TasksRanTwice++
		a.recordViolation("task %s/%d runs on %s and %s", t.Run, t.Index, other, vm)
	}
	if a.finished[t] > 0 && !a.resultLost[t] {
		a.figures.TasksRanTwice++
		a.recordViolation("task %s/%d starts on %s after it finished", t.Run, t.Index, vm)
	}
	a.running[t] = vm
}

// TaskStopped records that a task stopped on a worker without a result; lost is
// the work done since its last checkpoint.
func (a *Audit) TaskStopped(t bamboofall.TaskID, vm bamboofall.VMID, lost time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running[t] == vm {
		delete(a.running, t)
	}
	a.figures.WorkLost += lost
}

// TaskFinished records that a task finished on a worker after the given work.
func (a *Audit) TaskFinished(t bamboofall.TaskID, vm bamboofall.VMID, work time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running[t] == vm {
		delete(a.running, t)
	}
	a.figures.WorkDone += work
	if a.resultLost[t] {
		delete(a.resultLost, t)
		return
	}
	a.finished[t]++
	if a.finished[t] > 1 {
		a.figures.TasksRanTwice++
		a.recordViolation("task %s/%d finished %d times", t.Run, t.Index, a.finished[t])
		return
	}
	a.figures.TasksFinished++
}

// ResultLost records that a worker restarted while it still held the result of
// a finished task. Another run of the task is not a violation.
func (a *Audit) ResultLost(t bamboofall.TaskID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.resultLost[t] = true
}

// Overcommitted records that more was allocated than a VM or an instance has.
// The description names the VM or the instance and its load.
func (a *Audit) Overcommitted(description string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.figures.Overcommitted++
	a.recordViolation("overcommitted: %s", description)
}

// RequestRan records that an upstream started to process a request. The key is
// empty if the request has no idempotency key, that is, may run more than once.
func (a *Audit) RequestRan(id, key string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.figures.RequestsRun++
	if id != "" {
		a.ran[id] = true
	}
	if key == "" {
		return
	}
	a.ran[keyedRequestID(key)] = true
	a.runsByKey[key]++
	if a.runsByKey[key] > 1 {
		a.figures.OnceRanTwice++
		a.recordViolation("request with key %s ran %d times", key, a.runsByKey[key])
	}
}

// keyedRequestID returns the ID under which Audit.ran holds a request with an
// idempotency key, distinct from all call IDs.
func keyedRequestID(key string) string { return "key " + key }

// CallEnded compares the outcome that a caller received with what ran. The id
// identifies the call; key is the idempotency key of the request, if it has
// one. ownAnswer is whether the caller received the whole answer to its own
// request.
func (a *Audit) CallEnded(id, key string, outcome bamboofall.Outcome, ownAnswer bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if outcome == bamboofall.OutcomeNotRun && (a.ran[id] || a.ran[keyedRequestID(key)]) {
		a.figures.NotRunRan++
		a.recordViolation("request %s with key %q ran, but its caller got the outcome notRun", id, key)
	}
	if outcome == bamboofall.OutcomeAnswered && !ownAnswer {
		a.figures.Wrong++
		a.recordViolation("request %s got a truncated answer or that of another request", id)
	}
	delete(a.ran, id)
}

// TaskEnded reports whether a task has finished.
func (a *Audit) TaskEnded(t bamboofall.TaskID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.finished[t] > 0
}

// Figures returns a copy of the counts and violations so far.
func (a *Audit) Figures() Figures {
	a.mu.Lock()
	defer a.mu.Unlock()
	f := a.figures
	f.Faults = append([]string(nil), f.Faults...)
	return f
}

// Runs reports whether a task is running on any worker.
func (a *Audit) Runs(t bamboofall.TaskID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.running[t]
	return ok
}
