package cell_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"bamboofall.example/bamboofall"
	"bamboofall.example/bamboofall/internal/jobs/cell"
	"bamboofall.example/bamboofall/internal/wire/jobpb"
)

// crashFleet plays workers that deadly tasks crash. A worker that has crashed refuses
// connections, is unlisted after unlistDelay and never returns; another worker replaces it.
type crashFleet struct {
	t       *testing.T
	now     time.Time
	cell    *cell.Cell
	epoch   uint64
	stored  map[string][]byte
	workers map[string]*fleetWorker
	last    int
	// unanswered makes the deadly tasks crash their workers before the start is answered.
	unanswered bool
	// losesOwner, if set, is called with the records of each flush. If it returns true, the
	// owner is replaced before it learns that they are stored.
	losesOwner func(records []bamboofall.StoreRecord) bool
	// reuseAddresses makes the worker that replaces another one answer at its address.
	reuseAddresses bool
	// deadly are the tasks that crash their workers.
	deadly map[string]bool
	// starts and crashes count the starts and the crashes by task.
	starts, crashes map[string]int
}

type fleetWorker struct {
	bamboofall.Worker
	running []bamboofall.RunningTask
	ends    []bamboofall.End
	// crashAt is when a deadly task crashes the worker.
	crashAt   time.Time
	crashedAt time.Time
	// cut makes calls end in refused connections.
	cut bool
}

const unlistDelay = 3 * time.Second

func newCrashFleet(t *testing.T, workers int, deadly ...string) *crashFleet {
	f := &crashFleet{
		t: t, now: testStart, stored: make(map[string][]byte), workers: make(map[string]*fleetWorker),
		deadly: make(map[string]bool), starts: make(map[string]int), crashes: make(map[string]int),
	}
	for _, task := range deadly {
		f.deadly[task] = true
	}
	f.replaceOwner()
	for range workers {
		f.addWorker()
	}
	return f
}

func (f *crashFleet) addWorker() {
	f.last++
	w := testWorker(f.last)
	w.Born = f.now
	f.workers[w.ID] = &fleetWorker{Worker: w}
	f.cell.SetWorker(f.now, w)
}

// replaceOwner replaces the owner by one that knows what is stored.
func (f *crashFleet) replaceOwner() {
	f.epoch++
	f.cell = cell.New(cell.Config{
		Epoch: f.epoch, Lease: 5 * time.Second, FormerLeasesEnd: f.now.Add(6 * time.Second), EndedJobRetention: time.Hour, RemoteFactor: 2,
	})
	f.cell.SetConfiguration(&bamboofall.Configuration{Version: 1, Queues: []bamboofall.Queue{
		{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, Slack: time.Second},
	}})
	records := storedRecords(f.stored)
	assert.Equal(f.t, len(f.cell.Restore(f.now, records)), 0)
	for _, id := range slices.Sorted(maps.Keys(f.workers)) {
		if w := f.workers[id]; w.crashedAt.IsZero() {
			f.cell.SetWorker(f.now, w.Worker)
		}
	}
}

func (f *crashFleet) run(d time.Duration) {
	const tick = 10 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		for _, id := range slices.Sorted(maps.Keys(f.workers)) {
			w := f.workers[id]
			switch {
			case !w.crashAt.IsZero() && w.crashedAt.IsZero() && !f.now.Before(w.crashAt):
				f.crash(w)
			case !w.crashedAt.IsZero() && f.now.Equal(w.crashedAt.Add(unlistDelay)):
				f.cell.RemoveWorker(f.now, id)
				f.addWorker()
			}
		}
		f.cell.SetClaimConfirmed(f.now)
		for _, o := range f.cell.Step(f.now).Orders {
			f.answer(o)
		}
		records, number, err := f.cell.Flush()
		assert.NilError(f.t, err)
		for _, r := range records {
			f.stored[r.Key] = r.Value
			if r.Value == nil {
				delete(f.stored, r.Key)
			}
		}
		if f.losesOwner != nil && f.losesOwner(records) {
			f.replaceOwner()
			continue
		}
		f.cell.Stored(f.now, number)
	}
}

func (f *crashFleet) crash(w *fleetWorker) {
	w.crashedAt = f.now
	for _, r := range w.running {
		f.crashes[r.Task.String()]++
	}
	w.running = nil
}

func (f *crashFleet) answer(o cell.Order) {
	w := f.workers[o.Worker.ID]
	var err error
	if !w.crashedAt.IsZero() || w.cut {
		err = &bamboofall.NotDoneError{Call: "order", Reason: "connection refused", NoListener: true}
	}
	if f.reuseAddresses && !w.crashedAt.IsZero() && !f.now.Before(w.crashedAt.Add(unlistDelay-time.Second)) {
		err = &bamboofall.RejectedError{Call: "order", Cause: bamboofall.RejectWrongProcess}
	}
	meta := bamboofall.ResponseMeta{Clock: f.now.Sub(w.Born) + time.Second, Born: w.Born}
	switch o.Kind {
	case cell.OrderStart:
		if err == nil {
			name := o.Start.Task.String()
			f.starts[name]++
			w.running = append(w.running, bamboofall.RunningTask{Task: o.Start.Task, Run: o.Start.Run, ProgressPercent: 50})
			if f.deadly[name] {
				w.crashAt = f.now.Add(10 * time.Millisecond)
			}
			if f.deadly[name] && f.unanswered {
				f.crash(w)
				err = &bamboofall.UnknownOutcomeError{Call: "order"}
			}
		}
		f.cell.StartAnswered(f.now, o, meta, err)
	case cell.OrderStop:
		f.cell.StopAnswered(f.now, o, meta, err)
	case cell.OrderHold:
		f.cell.HoldAnswered(f.now, o, bamboofall.HoldReport{ResponseMeta: meta, Running: slices.Clone(w.running), Ends: w.ends}, err)
	}
}

// runningAt returns the workers at which a task runs.
func (f *crashFleet) runningAt(task string) []*fleetWorker {
	var at []*fleetWorker
	for _, w := range f.workers {
		if slices.ContainsFunc(w.running, func(r bamboofall.RunningTask) bool { return r.Task.String() == task }) {
			at = append(at, w)
		}
	}
	return at
}

// longStep is a step whose tasks do not end during a test.
func longStep(count int) bamboofall.Step {
	return bamboofall.Step{Count: count, Size: bamboofall.Resources{MilliProcessors: 1000}, Estimate: time.Hour}
}

func jobState(c *cell.Cell, id bamboofall.JobID) string {
	state, known := c.Lookup(id)
	if !known {
		return "unknown"
	}
	return state.String()
}

const (
	deadlyJob  = "00000000000000d1"
	deadlyTask = deadlyJob + ".0.0.0"
	soundJob   = "0000000000000001"
)

func TestDeadlyTaskIsNotStartedAgainAfterItsTrial(t *testing.T) {
	for name, step := range map[string]bamboofall.Step{
		"finite":   longStep(1),
		"standing": {Count: 1, Size: bamboofall.Resources{MilliProcessors: 1000}, Standing: true},
		"gang":     {Count: 2, Size: bamboofall.Resources{MilliProcessors: 1000}, Estimate: time.Hour, Gang: true},
		"copies":   {Count: 1, Size: bamboofall.Resources{MilliProcessors: 1000}, Estimate: time.Hour, Speculative: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(t, 6, deadlyTask)
			submit(f.cell, soundJob, "q", longStep(12))
			submit(f.cell, deadlyJob, "q", step)
			f.run(90 * time.Second)
			assert.Equal(t, jobState(f.cell, deadlyJob), "failed")
			assert.Assert(t, f.starts[deadlyTask] >= 2 && f.starts[deadlyTask] <= 3, "starts: %v", f.starts)
			assert.Equal(t, jobState(f.cell, soundJob), "running")
			for i := range 12 {
				assert.Equal(t, len(f.runningAt(fmt.Sprintf("%s.0.0.%d", soundJob, i))), 1)
			}
		})
	}
}

// The trials of a gang may share a worker if there is no other.
func TestDeadlyGangOnOneWorkerIsNotStartedAgainAfterItsTrial(t *testing.T) {
	f := newCrashFleet(t, 1, deadlyTask)
	submit(f.cell, deadlyJob, "q", bamboofall.Step{Count: 4, Size: bamboofall.Resources{MilliProcessors: 1000}, Estimate: time.Hour, Gang: true})
	f.run(90 * time.Second)
	assert.Equal(t, jobState(f.cell, deadlyJob), "failed")
	assert.Assert(t, f.starts[deadlyTask] <= 3, "starts: %v", f.starts)
}

// Several deadly tasks start, crash their workers and are tried again at the same times.
func TestDeadlyTasksThatStartTogetherAreGivenUp(t *testing.T) {
	const jobs = 6
	var names []string
	for n := range jobs {
		names = append(names, fmt.Sprintf("%015dd.0.0.0", n))
	}
	for _, reuse := range []bool{false, true} {
		f := newCrashFleet(t, 2*jobs, names...)
		f.reuseAddresses = reuse
		f.run(time.Second)
		for n := range jobs {
			s := longStep(1)
			s.Size.MilliProcessors = 20_000 // one to a worker
			submit(f.cell, fmt.Sprintf("%015dd", n), "q", s)
		}
		f.run(90 * time.Second)
		for n, name := range names {
			assert.Equal(t, jobState(f.cell, bamboofall.JobID(fmt.Sprintf("%015dd", n))), "failed")
			assert.Equal(t, f.starts[name], 2, "addresses reused %t: starts: %v", reuse, f.starts)
		}
	}
}

func TestNothingStartsBesideTrial(t *testing.T) {
	f := newCrashFleet(t, 1)
	submit(f.cell, soundJob, "q", longStep(1))
	for f.starts[soundJob+".0.0.0"] == 0 {
		f.run(10 * time.Millisecond)
	}
	f.workers["i-1"].crashAt = f.now
	f.run(10 * time.Second)
	assert.Equal(t, len(f.workers), 2)
	for range 2000 {
		if f.run(10 * time.Millisecond); len(f.workers["i-2"].running) > 0 {
			break
		}
	}
	submit(f.cell, "0000000000000002", "q", longStep(1))
	f.run(400 * time.Millisecond)
	assert.Equal(t, f.starts["0000000000000002.0.0.0"], 0)
	f.run(400 * time.Millisecond)
	assert.Equal(t, f.starts["0000000000000002.0.0.0"], 1)
}

// A worker that is only out of reach, or that leaves, has not crashed.
func TestCutOrLeavingWorkerHasNotCrashed(t *testing.T) {
	f := newCrashFleet(t, 2)
	submit(f.cell, soundJob, "q", longStep(4))
	f.run(time.Second)
	w := f.workers["i-1"]
	w.cut = true
	f.run(2 * time.Second)
	assert.Equal(t, f.cell.Counters().WorkersCrashed, int64(0))
	f.cell.RemoveWorker(f.now, "i-1")
	f.run(time.Second)
	w.cut = false
	f.cell.SetWorker(f.now, w.Worker)
	f.run(2 * time.Second)
	counted := f.cell.Counters().WorkersCrashed
	starts := maps.Clone(f.starts)
	f.replaceOwner()
	f.run(2 * time.Second)
	assert.DeepEqual(t, f.starts, starts)
	assert.Assert(t, counted <= 1)

	leaving := f.workers["i-2"].Worker
	leaving.Draining, leaving.Remaining = true, 2*time.Second
	f.cell.SetWorker(f.now, leaving)
	f.run(2 * time.Second)
	f.workers["i-2"].cut = true
	f.cell.RemoveWorker(f.now, "i-2")
	f.run(10 * time.Second)
	assert.Equal(t, f.cell.Counters().WorkersCrashed, int64(0))
	assert.Equal(t, f.cell.Counters().TasksSuspected, int64(0))
}

// The crash of a worker that was only out of reach counts for none of its tasks, whether
// the leases of their runs have ended or not.
func TestCrashIsTakenBackForExpiredRuns(t *testing.T) {
	f := newCrashFleet(t, 1)
	w := f.workers["i-1"]
	submit(f.cell, soundJob, "q", bamboofall.Step{Count: 1, Size: bamboofall.Resources{MilliProcessors: 1000}, Standing: true})
	f.run(200 * time.Millisecond)
	w.cut = true
	f.run(time.Second)
	f.cell.RemoveWorker(f.now, "i-1")
	f.run(4700 * time.Millisecond)
	assert.Equal(t, f.cell.Counters().WorkersCrashed, int64(1))
	w.running, w.cut = nil, false
	f.cell.SetWorker(f.now, w.Worker)
	for range 200 {
		if f.run(10 * time.Millisecond); f.starts[soundJob+".0.0.0"] == 2 {
			break
		}
	}
	w.crashAt = f.now
	f.run(10 * time.Second)
	assert.Equal(t, f.crashes[soundJob+".0.0.0"], 1)
	assert.Equal(t, jobState(f.cell, soundJob), "running")
}

// Owners of earlier builds take the state of a gang from the last of the records of its
// tasks.
func TestRecordOfFirstGangTaskIsLast(t *testing.T) {
	f := newCrashFleet(t, 1)
	submit(f.cell, soundJob, "q", bamboofall.Step{Count: 2, Size: bamboofall.Resources{MilliProcessors: 1000}, Estimate: time.Hour, Gang: true, Checkpointing: true})
	f.run(200 * time.Millisecond)
	w := f.workers["i-1"]
	for i := range w.running {
		w.running[i].Checkpoint = "c"
	}
	f.run(200 * time.Millisecond)
	w.crashAt = f.now
	f.run(unlistDelay + 200*time.Millisecond)
	progress := &jobpb.Progress{}
	assert.NilError(t, proto.Unmarshal(f.stored["p"+soundJob], progress))
	tasks := progress.GetOpen()[0].GetSteps()[0].GetTasks()
	assert.Equal(t, len(tasks), 2)
	assert.Equal(t, len(tasks[0].GetCrashedRuns()), 1)
	assert.Equal(t, tasks[1].GetIndex(), uint32(0))
}
