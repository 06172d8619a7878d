package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// audit follows the runs of all tasks, from what the minions see.
type audit struct {
	mu   sync.Mutex
	log  *record
	jobs map[string]*job
	// running holds the current runs of each task, and done its ends "done".
	running map[string][]place
	done    map[string][]*doneEnd
	failed  map[string][]*doneEnd
	broken  []string
	starts  int
}

type place struct {
	minion string
	run    uint32
	at     time.Time
}

// doneEnd is the end of a run.
type doneEnd struct {
	place
	// noted is set once last_seen has reached it, and lapsed if the minion's lease has ended
	// before.
	noted, lapsed bool
	// startsAfter are the starts of the task after it.
	startsAfter []place
}

// job is a job as a client knows it.
type job struct {
	id, queue, spec string
	steps           []step
	accepted        bool
	cancelledAt     time.Time
	// cancelAckedAt is when the cancelling was acknowledged, and rejected is set once an
	// attempt to hand the job in was rejected.
	cancelAckedAt time.Time
	rejected      bool
	// unknown is set once an attempt was accepted or not answered, and pending is the number
	// of attempts under way.
	unknown bool
	pending int
	// firstRun, interval and repetitions are those of a scheduled job.
	firstRun, interval int64
	repetitions        int
}

type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	Memory       int    `json:"memory_request_mb"`
	EstimatedMS  int    `json:"estimated_ms"`
	After        []int  `json:"after,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
	MaxPerServer int    `json:"max_per_server,omitempty"`
	Label        string `json:"required_label,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	Speculative  bool   `json:"speculative,omitempty"`
	Saves        bool   `json:"checkpointing,omitempty"`
}

func newAudit(log *record) *audit {
	return &audit{log: log, jobs: make(map[string]*job), running: make(map[string][]place), done: make(map[string][]*doneEnd), failed: make(map[string][]*doneEnd)}
}

func (a *audit) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	a.broken = append(a.broken, text)
	a.log.line("BROKEN %s", text)
}

func (a *audit) started(m *minion, c *call) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.starts++
	p := place{m.id, c.Run, time.Now()}
	j := a.jobs[strings.SplitN(c.Task, ".", 2)[0]]
	if j == nil {
		a.breaks("UNASKED: %s starts at %s", c.Task, m.id)
		return
	}
	var occurrence, number, index int
	_, _ = fmt.Sscanf(strings.SplitN(c.Task, ".", 2)[1], "%d.%d.%d", &occurrence, &number, &index)
	s := j.steps[number]
	defer func() { a.running[c.Task] = append(a.running[c.Task], p) }()
	if j.repetitions > 0 {
		if early := j.firstRun + int64(occurrence)*j.interval - p.at.UnixMilli(); early > 250 {
			a.breaks("ORDER: %s starts %d ms before its time", c.Task, early)
		}
	}
	if c.Checkpoint != "" {
		of := c.Task
		if s.Gang {
			of = c.Task[:strings.LastIndex(c.Task, ".")]
		}
		if !strings.HasPrefix(c.Checkpoint, of+"/") {
			a.breaks("UNASKED: %s starts with checkpoint %s", c.Task, c.Checkpoint)
		}
	}
	if j.spec != c.TaskSpec {
		a.breaks("UNASKED: %s starts at %s with another task_spec", c.Task, m.id)
	}
	if j.rejected && !j.unknown && j.pending == 0 {
		a.breaks("REFUSED: %s starts though all attempts to hand it in were rejected", c.Task)
	}
	if !j.cancelAckedAt.IsZero() && p.at.Sub(j.cancelAckedAt) > 3*time.Second {
		a.breaks("UNASKED: %s starts %v after the job's cancelling was acknowledged", c.Task, p.at.Sub(j.cancelAckedAt))
	}
	if s.MaxPerServer > 0 {
		beside := 0
		for i := range s.Count {
			for _, o := range a.running[fmt.Sprintf("%s.%d.%d.%d", j.id, occurrence, number, i)] {
				if o.minion == m.id {
					beside++
				}
			}
		}
		if beside >= s.MaxPerServer {
			a.breaks("ROUTE: %s starts at %s beside %d of its step", c.Task, m.id, beside)
		}
	}
	// Ends that nobody has taken note of do not count.
	n := 0
	for _, e := range a.failed[c.Task] {
		if e.noted {
			n++
		}
	}
	if n >= 3 && !s.LongRunning && !s.Speculative {
		a.breaks("BUDGET: %s starts after %d failed runs", c.Task, n)
	}
	if s.Speculative {
		return
	}
	for _, other := range a.running[c.Task] {
		a.breaks("TWICE: %s run %d starts at %s while run %d is at %s", c.Task, c.Run, m.id, other.run, other.minion)
	}
	for _, e := range a.done[c.Task] {
		e.startsAfter = append(e.startsAfter, p)
		if e.noted && !e.lapsed {
			a.breaks("TWICE: %s run %d starts at %s after run %d was done at %s", c.Task, c.Run, m.id, e.run, e.minion)
		}
	}
	for _, after := range s.After {
		missing := 0
		for i := range j.steps[after].Count {
			if len(a.done[fmt.Sprintf("%s.%d.%d.%d", j.id, occurrence, after, i)]) == 0 {
				missing++
			}
		}
		// One end "done" stands for all of a gang.
		if missing == j.steps[after].Count || missing > 0 && !j.steps[after].Gang {
			a.breaks("ORDER: %s starts before %d tasks of step %d are done", c.Task, missing, after)
		}
	}
	if s.Label != "" && !slices.Contains(m.labels, s.Label) {
		a.breaks("ROUTE: %s starts at %s without label %s", c.Task, m.id, s.Label)
	}
}

func (a *audit) take(minion, task string, run uint32) {
	a.running[task] = slices.DeleteFunc(a.running[task], func(p place) bool { return p.minion == minion && p.run == run })
}

// gone records that a run has ended with its minion.
func (a *audit) gone(minion, task string, run uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.take(minion, task, run)
}

func (a *audit) ended(minion, task string, run uint32, how string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.take(minion, task, run)
	switch how {
	case "done":
		a.done[task] = append(a.done[task], &doneEnd{place: place{minion, run, time.Now()}})
	case "failed":
		a.failed[task] = append(a.failed[task], &doneEnd{place: place{minion, run, time.Now()}})
	}
}

// lapsed records that the lease of a minion has ended.
func (a *audit) lapsed(minion string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, ends := range a.done {
		for _, e := range ends {
			e.lapsed = e.lapsed || e.minion == minion && !e.noted
		}
	}
}

// noted records that last_seen has reached an end.
func (a *audit) noted(minion, task string, run uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range a.failed[task] {
		e.noted = e.noted || e.minion == minion && e.run == run
	}
	for _, e := range a.done[task] {
		if e.minion != minion || e.run != run || e.noted || e.lapsed {
			continue
		}
		e.noted = true
		for _, p := range e.startsAfter {
			a.breaks("TWICE: %s run %d started at %s after run %d was done at %s", task, p.run, p.minion, run, minion)
		}
	}
}

// failures returns the number of runs of a job's tasks that ended "failed".
func (a *audit) failures(id string) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for task, ends := range a.failed {
		if strings.HasPrefix(task, id+".") {
			n += len(ends)
		}
	}
	return n
}

// startsOf returns the number of starts of a task of a job that has one.
func (a *audit) startsOf(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	task := id + ".0.0.0"
	return len(a.running[task]) + len(a.done[task]) + len(a.failed[task])
}

// mayFail reports whether a task or gang of a job has failed as often as allowed.
func (a *audit) mayFail(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for task, ends := range a.failed {
		if strings.HasPrefix(task, id+".") && len(ends) >= 3 {
			return true
		}
	}
	return false
}

func (a *audit) violations() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.broken)
}
