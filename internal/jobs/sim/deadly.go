package sim

import (
	"cmp"
	"slices"
	"time"

	"bamboofall.example/bamboofall"
)

const (
	// unlistedAfterCrash is the time after which the platform stops listing a crashed
	// worker, and relistedAfterCrash the time after which it has restarted and is listed.
	unlistedAfterCrash = 3 * time.Second
	relistedAfterCrash = 3300 * time.Millisecond
	// DefaultDeadlyDelay is the usual time between the start of a run of a deadly task
	// and the crash of its worker.
	DefaultDeadlyDelay = 10 * time.Millisecond
	// gangTimeout is how long the runs of an incomplete gang wait for the others.
	gangTimeout = 2 * time.Second
)

// Return is how a crashed worker returns.
type Return int

const (
	// ReturnSameWorker means that the worker returns under its ID, with a later start
	// time.
	ReturnSameWorker Return = iota
	// ReturnNewAddress means that a worker with a new ID and a new address takes its
	// place.
	ReturnNewAddress
	// ReturnSameAddress means that a worker with a new ID takes its place at the same
	// address, where it rejects orders to the former one.
	ReturnSameAddress
	// ReturnNever means that the worker is lost and nothing takes its place.
	ReturnNever
)

// CrashMode is how a worker crashes and returns.
type CrashMode struct {
	Return Return
	// Silent leaves calls to the worker unanswered while it is down. Otherwise
	// connections to it break and are refused.
	Silent bool
	// Down is the time until the return, relistedAfterCrash if it is zero.
	Down time.Duration
}

// deadlyTask is a task that crashes each worker that starts it.
type deadlyTask struct {
	delay time.Duration
	mode  CrashMode
	// starts is the number of runs, crashes that of the workers that crashed while they ran
	// the task.
	starts, crashes int
	// startsAfterThree counts the starts after three of these crashes.
	startsAfterThree int
}

// MakeDeadly makes a task crash each worker that starts it, with a delay after the
// start of the run. Without a delay the start is not answered.
func (w *World) MakeDeadly(task bamboofall.TaskName, delay time.Duration, mode CrashMode) {
	w.deadly[task] = &deadlyTask{delay: delay, mode: mode}
}

// DeadlyCrashes returns the number of workers that crashed while they ran a deadly
// task.
func (w *World) DeadlyCrashes(task bamboofall.TaskName) int { return w.deadly[task].crashes }

// DeadlyTasks returns the deadly tasks of a job in order.
func (w *World) DeadlyTasks(job bamboofall.JobID) []bamboofall.TaskName {
	var names []bamboofall.TaskName
	for name := range w.deadly {
		if name.Job == job {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b bamboofall.TaskName) int { return cmp.Or(a.Step-b.Step, a.Index-b.Index) })
	return names
}

// hasDeadlyTask reports whether a step of a job has a deadly task.
func (w *World) hasDeadlyTask(job bamboofall.JobID, step int) bool {
	return slices.ContainsFunc(w.DeadlyTasks(job), func(n bamboofall.TaskName) bool { return n.Step == step })
}

// scheduleCrash crashes the worker after the delay of a deadly task, unless the run
// has ended by then.
func (x *Worker) scheduleCrash(r *run, d *deadlyTask) {
	d.starts++
	if x.world.OnDeadlyStart != nil {
		x.world.OnDeadlyStart(r.task, d.starts)
	}
	crash := func() {
		if !x.up || !slices.Contains(x.runs, r) {
			return
		}
		x.CrashAndReturn(d.mode)
		if x.world.OnDeadlyCrash != nil {
			x.world.OnDeadlyCrash(r.task, d.crashes)
		}
	}
	if d.delay == 0 {
		crash()
		return
	}
	x.world.schedule(d.delay, crash)
}

// breakCall ends a call to a worker that has crashed.
func (x *Worker) breakCall(answer reply) {
	if x.refusing {
		answer(bamboofall.ResponseMeta{}, bamboofall.HoldReport{}, &bamboofall.UnknownOutcomeError{Call: "order", Err: errConnectionClosed})
	}
}

// CrashAndReturn stops the worker at once, without notice. The platform goes on
// listing it for a while, and some time later the worker returns. It does nothing while
// the worker is down.
func (x *Worker) CrashAndReturn(mode CrashMode) {
	if !x.up {
		return
	}
	w := x.world
	x.breakGangs()
	broken := x.waitingHolds
	x.dropRuns()
	x.up = false
	x.incarnation++
	x.returning, x.listedWhileDown, x.refusing = true, !x.unlisted, !mode.Silent
	if x.refusing {
		for _, h := range broken {
			w.schedule(0, func() { x.answerHold(h) })
		}
	}
	incarnation := x.incarnation
	down := cmp.Or(mode.Down, relistedAfterCrash)
	w.schedule(unlistedAfterCrash, func() {
		if !x.listedWhileDown || x.incarnation != incarnation {
			return
		}
		x.listedWhileDown = false
		x.unlist()
	})
	if mode.Return == ReturnNever {
		return
	}
	if mode.Silent && mode.Return != ReturnNewAddress {
		x.restartAt = w.now.Add(down)
	}
	w.schedule(down, func() {
		switch {
		case !x.returning || x.incarnation != incarnation: // a worker that was to leave has left while it was down
		case mode.Return == ReturnSameWorker:
			x.restart()
		default:
			x.replace(mode.Return == ReturnSameAddress)
		}
	})
}

// Lose stops the worker at once and for good.
func (x *Worker) Lose() { x.CrashAndReturn(CrashMode{Return: ReturnNever, Silent: true}) }

// Replace stops the worker at once and for good, and starts another one at its address
// after a time.
func (x *Worker) Replace(down time.Duration) {
	x.CrashAndReturn(CrashMode{Return: ReturnSameAddress, Silent: true, Down: down})
}

// replace starts a worker with a new ID in place of a worker that is down.
func (x *Worker) replace(sameAddress bool) {
	w := x.world
	x.returning = false
	successor := newWorker(w, w.nextIndex)
	w.nextIndex++
	successor.rack = x.rack
	if sameAddress {
		successor.address = x.address
		x.successor = successor
	}
	w.workers[slices.Index(w.workers, x)] = successor
	w.byID[successor.ID()] = successor
	successor.announce(successor.announcement())
}

// processAtAddress returns the worker that answers at the worker's address, or nil.
func (x *Worker) processAtAddress() *Worker {
	for ; x != nil; x = x.successor {
		if x.up {
			return x
		}
	}
	return nil
}

// gangRun identifies a run of a gang by its first task.
type gangRun struct {
	first bamboofall.TaskName
	run   uint32
}

func gangRunOf(r *run) gangRun {
	first := r.task
	first.Index = 0
	return gangRun{first, r.number}
}

// breakGangs marks the gangs that have a run at the worker as broken. Their other runs
// end.
func (x *Worker) breakGangs() {
	for _, r := range x.runs {
		if r.step.Gang {
			x.world.brokenGangs[gangRunOf(r)] = true
		}
	}
}

// gangPresent reports whether all tasks of a gang are present in the given run.
func (w *World) gangPresent(r *run) bool {
	present := 0
	for _, x := range w.workers {
		for _, other := range x.runs {
			if other.step.Gang && gangRunOf(other) == gangRunOf(r) {
				present++
			}
		}
	}
	return present == r.step.Count
}
